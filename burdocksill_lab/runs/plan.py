"""The file that names the faults of a run.

    [[faults]]
    at = 5.0                   # seconds after the load began
    kind = "domain-out"        # one of FaultKind
    target = "cz-a"            # a VM, a failure domain, an upstream, a service

`others` names the other side of a cut (all other hosts when it is left out),
`share` the share of datagrams lost.
"""

import enum
import tomllib
from pathlib import Path
from typing import Any

import attrs
import msgspec

from burdocksill.exceptions import BurdocksillError


class FaultPlanError(BurdocksillError):
    """Name what is wrong with a file of faults."""

    code = 'burdocksill.E904'


class FaultKind(enum.StrEnum):
    """Name the faults that the proofs need; there are no others."""

    # An entry VM ends without a word, stops as planned, freezes, goes on.
    KILL = 'kill'
    STOP = 'stop'
    PAUSE = 'pause'
    RESUME = 'resume'
    # Hosts lose each other, in both directions, until healed.
    CUT = 'cut'
    HEAL = 'heal'
    # The platform answers nobody; it answers again.
    PLATFORM_OUTAGE = 'platform-outage'
    PLATFORM_RETURN = 'platform-return'
    # Of all datagrams this share is lost, 0 ends it.
    LOSS = 'loss'
    # An operator takes a failure domain out of service or returns it.
    DOMAIN_OUT = 'domain-out'
    DOMAIN_RETURN = 'domain-return'
    # An upstream starts again cold; the document says that it leaves.
    UPSTREAM_RESTART = 'upstream-restart'
    UPSTREAM_DRAIN = 'upstream-drain'
    # A team edits its service's document without a change in substance.
    DOCUMENT_EDIT = 'document-edit'


@attrs.frozen(kw_only=True)
class Fault:
    """Hold one fault with its time and target."""

    at: float
    kind: FaultKind
    target: str = ''
    others: tuple[str, ...] = ()
    share: float = 0


@attrs.frozen(kw_only=True)
class FaultPlan:
    """Hold the faults of one run."""

    faults: tuple[Fault, ...] = ()

    def in_order(self) -> list[Fault]:
        """Return the faults by time."""
        return sorted(self.faults, key=lambda fault: fault.at)


def parse_plan(text: str) -> FaultPlan:
    """Read a file of faults."""
    try:
        raw: dict[str, Any] = tomllib.loads(text)
        return msgspec.convert(raw, FaultPlan)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise FaultPlanError(
            message=f'the faults cannot be read: {error}',
            hint='see docs/reference/faults.md',
        ) from error


def read_plan(path: Path) -> FaultPlan:
    """Read a file of faults by its path."""
    return parse_plan(path.read_text())
