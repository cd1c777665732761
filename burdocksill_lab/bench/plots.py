"""Plots of a bench's figures."""

from pathlib import Path
from typing import Any

import matplotlib as mpl

from burdocksill_lab.bench.measure import PhaseFigures
from burdocksill_lab.bench.report import BenchReport

mpl.use('Agg')

from matplotlib import pyplot as plt  # noqa: E402

BAR_WIDTH = 0.38
SIZE_INCHES = (9, 4)
DOTS_PER_INCH = 100


def plot(report: BenchReport, path: Path) -> None:
    """Draw the CPU of each phase and the cost of held flows."""
    figure, (left, right) = plt.subplots(
        1,
        2,
        figsize=SIZE_INCHES,
        layout='constrained',
    )
    plot_phases(left, report)
    plot_held(right, report)
    figure.suptitle(f'revision {report.revision}')
    figure.savefig(path, dpi=DOTS_PER_INCH)
    plt.close(figure)


def plot_phases(axes: Any, report: BenchReport) -> None:
    """Draw the CPU of each phase, another revision's beside it."""
    names = [phase.name for phase in report.phases]
    places = range(len(names))
    axes.barh(
        [place - BAR_WIDTH / 2 for place in places],
        [total(phase) for phase in report.phases],
        BAR_WIDTH,
        label=report.revision,
    )
    if report.against is not None:
        axes.barh(
            [place + BAR_WIDTH / 2 for place in places],
            [total(phase) for phase in report.against.phases],
            BAR_WIDTH,
            label=report.against.revision,
        )
    axes.set_yticks(list(places), names)
    axes.invert_yaxis()
    axes.set_xlabel('microseconds of CPU, owner and relay')
    axes.legend()


def total(phase: PhaseFigures) -> float:
    """Return the CPU of both entry VMs."""
    return phase.owner_microseconds + phase.relay_microseconds


def plot_held(axes: Any, report: BenchReport) -> None:
    """Draw cost and memory against the held flows."""
    flows = [held.flows for held in report.held]
    cost = [held.request_microseconds for held in report.held]
    axes.semilogx(flows, cost, 'o-', label='us of CPU a request')
    opened = [held.flow_microseconds for held in report.held]
    axes.semilogx(flows, opened, 'd-', label='us of CPU a new flow')
    owner = [held.owner_bytes_each for held in report.held]
    axes.semilogx(flows, owner, 's--', label='bytes at the owner')
    relay = [held.relay_bytes_each for held in report.held]
    axes.semilogx(flows, relay, '^:', label='bytes at a relay')
    axes.set_xlabel('held flows')
    axes.set_ylim(bottom=0)
    axes.legend()
