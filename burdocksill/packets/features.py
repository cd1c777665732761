"""Decisions under load that a deployment asks for by its settings.

A node without them decides as nodes did before these decisions existed. They
are independent of each other, so that operators can switch off a single one.
"""

from __future__ import annotations

import enum

from burdocksill.conf.exceptions import SettingChoiceError

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Final

# Environment variable with the names of the features, separated by commas. It
# replaces the choice of the settings file.
VARIABLE: Final = 'BURDOCKSILL_FEATURES'
NONE: Final = 'none'
ALL: Final = 'all'


class Feature(enum.Enum):
    """Feature of the packet path, by its name in settings."""

    # Nodes of a domain tell each other the load of upstreams.
    LOAD_REPORTS = 'load-reports'
    # New flows go by the load that all nodes of the domain report.
    SHARED_PLACEMENT = 'shared-placement'
    # Routes share the room of a service by priority, then evenly.
    FAIR_ADMISSION = 'fair-admission'
    # Flows that lack room at home go where other domains report room.
    SPILLOVER = 'spillover'
    # New flows avoid upstreams that are slow or answer errors.
    OUTLIER_EJECTION = 'outlier-ejection'
    # Nodes conclude together that an upstream has fallen silent.
    SILENCE_REPORTS = 'silence-reports'


ALL_FEATURES: Final = frozenset(Feature)
NO_FEATURES: Final[frozenset[Feature]] = frozenset()


def parse_features(text: str) -> frozenset[Feature]:
    """Return the named features; raise SettingChoiceError for unknown ones."""
    if text.strip() == ALL:
        return ALL_FEATURES
    names = {name.strip() for name in text.split(',')} - {'', NONE}
    known = {feature.value: feature for feature in Feature}
    unknown = sorted(names - set(known))
    if unknown:
        raise SettingChoiceError(
            message=f'{VARIABLE} names {", ".join(unknown)}',
            hint=f'{NONE}, {ALL}, or any of {", ".join(known)}',
        )
    return frozenset(known[name] for name in names)
