"""Prepare each scenario: a seed, and a place for what steps share."""

import logging

from behave.model import Scenario
from behave.runner import Context


def before_all(context: Context) -> None:
    """Keep the fleet's log lines out of the report."""
    logging.disable(logging.CRITICAL)


def before_scenario(context: Context, scenario: Scenario) -> None:
    """Start every scenario with the same seed."""
    context.seed = 1
