"""The command that measures limits, placement and retries."""

import json
import logging
from collections.abc import Iterator
from statistics import fmean
from typing import Final

import attrs
import click

from burdocksill_lab.measure_upstreams.deployments import (
    DEPLOYMENTS,
    VECINAS,
    VRATKA,
    Deployment,
)
from burdocksill_lab.measure_upstreams.stories import run_story
from burdocksill_lab.measure_upstreams.variants import (
    NO_BUDGET,
    NO_BUDGET_NO_RAMP,
    NO_RAMP,
    PRODUCT,
    RANDOM_PLACEMENT,
    Variant,
)
from burdocksill_lab.proofs.base import Figure

LARGE: Final = (VRATKA, VECINAS)


@attrs.frozen(kw_only=True)
class Case:
    """Name one story of one deployment with one variant."""

    story: str
    deployment: Deployment
    variant: Variant


@attrs.define(kw_only=True)
class Report:
    """Hold the figures of one case over all seeds."""

    case: Case
    runs: list[list[Figure]]

    def rows(self) -> Iterator[str]:
        """Write mean, least and most of each figure."""
        for column in zip(*self.runs, strict=True):
            found = [figure.value for figure in column]
            yield (
                f'  {column[0].name:28} mean {fmean(found):9.3f}'
                f'  least {min(found):9.3f}  most {max(found):9.3f}'
            )

    def as_json(self) -> dict[str, object]:
        """Return the figures of each seed."""
        return {
            'story': self.case.story,
            'deployment': self.case.deployment.name,
            'variant': self.case.variant.name,
            'figures': {
                column[0].name: [round(figure.value, 4) for figure in column]
                for column in zip(*self.runs, strict=True)
            },
        }


def cases() -> Iterator[Case]:
    """Name every case: the product's beside its baselines."""
    for deployment in DEPLOYMENTS:
        for variant in (PRODUCT, RANDOM_PLACEMENT):
            yield Case(
                story='steady',
                deployment=deployment,
                variant=variant,
            )
    for large in LARGE:
        for variant in (PRODUCT, NO_RAMP):
            yield Case(
                story='domain-away',
                deployment=large,
                variant=variant,
            )
        for variant in (PRODUCT, NO_BUDGET, NO_BUDGET_NO_RAMP):
            yield Case(story='half-shed', deployment=large, variant=variant)


@click.command('measure-upstreams')
@click.option('--seeds', default=3, show_default=True, help='Runs of each.')
@click.option('--story', default='', help='Only this story.')
@click.option('--json', 'as_json', is_flag=True, help='Print JSON lines.')
def measure_upstreams(seeds: int, story: str, as_json: bool) -> None:
    """Measure placement, cold starts and retries beside their baselines."""
    logging.disable(logging.CRITICAL)
    for case in cases():
        if story and case.story != story:
            continue
        runs = [
            run_story(case.deployment, case.variant, seed, case.story)
            for seed in range(1, seeds + 1)
        ]
        report = Report(case=case, runs=runs)
        if as_json:
            click.echo(json.dumps(report.as_json()))
            continue
        click.echo(
            f'{case.story}, {case.deployment.name}, {case.variant.name}',
        )
        click.echo('\n'.join(report.rows()))
