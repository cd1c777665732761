"""The command `burdocksill-lab load`: a burst, with and without admission."""

from pathlib import Path

import click

from burdocksill_lab.packets.deployment import (
    CALM_SECONDS,
    FEED_PORT,
    OBJECTIVES,
    OFFER_PORT,
    SLICE_SECONDS,
    LoadedDeployment,
    share_refused,
)
from burdocksill_lab.packets.load import Served, count_served
from burdocksill_lab.packets.plots import Course, plot_courses
from burdocksill_lab.packets.world import PacketWorld

FIRST_SEED = 1


@click.command('load')
@click.option('--nodes', default=2, show_default=True, help='In a domain.')
@click.option('--upstreams', default=3, show_default=True, help='In a domain.')
@click.option('--slots', default=4, show_default=True, help='Of an upstream.')
@click.option('--calm', default=0.5, show_default=True, help='Of capacity.')
@click.option('--burst', default=1.3, show_default=True, help='Of capacity.')
@click.option('--seconds', default=6.0, show_default=True, help='Of the burst.')
@click.option('--seeds', default=3, show_default=True, help='Plays of each.')
@click.option('--plot', type=click.Path(path_type=Path), help='A picture.')
def play_load(
    *,
    nodes: int,
    upstreams: int,
    slots: int,
    calm: float,
    burst: float,
    seconds: float,
    seeds: int,
    plot: Path | None,
) -> None:
    """Play a burst of load on three domains, and count what callers got."""
    courses: list[Course] = []
    for admission in (False, True):
        name = 'admission' if admission else 'no admission'
        for seed in range(FIRST_SEED, FIRST_SEED + seeds):
            deployment = LoadedDeployment(
                world=PacketWorld(seed=seed),
                nodes=nodes,
                upstreams=upstreams,
                slots=slots,
                admission=admission,
            )
            deployment.build()
            deployment.play(calm, burst, seconds)
            report(f'{name}, seed {seed}', deployment)
        courses.append(course(name, deployment))
    if plot is not None:
        plot_courses(courses, plot)


def report(name: str, deployment: LoadedDeployment) -> None:
    """Write what callers of the burst got, and how even upstreams were."""
    end = CALM_SECONDS + deployment.burst_seconds
    calm = deployment.imbalance(1, CALM_SECONDS)
    burst = deployment.imbalance(CALM_SECONDS, end)
    click.echo(
        f'{name}: feeds {shares(deployment.in_burst(FEED_PORT))}; '
        f'offers {shares(deployment.in_burst(OFFER_PORT))}; '
        f'busiest upstream over mean {calm:.2f} calm, {burst:.2f} in the burst',
    )


def shares(served: Served) -> str:
    """Write the parts of the calls."""
    late = served.late / max(1, served.asked)
    return (
        f'{served.in_time_share:.2f} in time, {late:.2f} late, '
        f'{served.never_share:.2f} never'
    )


def course(name: str, deployment: LoadedDeployment) -> Course:
    """Return what callers got in each slice of time."""
    end = 2 * CALM_SECONDS + deployment.burst_seconds
    times = [one * SLICE_SECONDS for one in range(round(end / SLICE_SECONDS))]
    objective = OBJECTIVES[FEED_PORT].seconds
    slices = [deployment.calls(at, at + SLICE_SECONDS) for at in times]
    return Course(
        name=name,
        times=times,
        in_time=[count_served(one, objective).in_time_share for one in slices],
        refused=[share_refused(one) for one in slices],
    )
