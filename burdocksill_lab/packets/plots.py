"""Plots of the results of calls over time."""

from collections.abc import Sequence
from pathlib import Path
from typing import Final

import attrs
import matplotlib as mpl

mpl.use('Agg')

from matplotlib import pyplot as plt  # noqa: E402

SIZE_INCHES: Final = (9, 4)
DOTS_PER_INCH: Final = 100


@attrs.frozen(kw_only=True)
class Course:
    """Fractions of the calls over time, for one variant."""

    name: str
    times: Sequence[float]
    in_time: Sequence[float]
    refused: Sequence[float]


def plot_courses(courses: Sequence[Course], path: Path) -> None:
    """Plot the fractions in time and refused, one subplot per variant."""
    figure, axes = plt.subplots(
        1,
        len(courses),
        figsize=SIZE_INCHES,
        layout='constrained',
        sharey=True,
        squeeze=False,
    )
    for one, course in zip(axes[0], courses, strict=True):
        one.plot(course.times, course.in_time, label='in time')
        one.plot(course.times, course.refused, label='met a refusal of a node')
        one.set_title(course.name)
        one.set_xlabel('seconds')
        one.legend()
    axes[0][0].set_ylabel('part of the calls')
    figure.savefig(path, dpi=DOTS_PER_INCH)
    plt.close(figure)
