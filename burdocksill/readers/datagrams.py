"""What nodes say to each other about the store and about upstreams."""

import attrs

from burdocksill.platform.values import StoredValue
from burdocksill.readers.messages import Observation


@attrs.frozen(kw_only=True)
class UpdateRequest:
    """Ask a node for what has changed since a revision."""

    # Drawn anew for each ask; every answer to it repeats it.
    token: int
    revision: int


@attrs.frozen(kw_only=True)
class Update:
    """Tell what has changed, and how old that is."""

    token: int
    # All changes after this revision are told, up to the other one.
    after: int
    revision: int
    # Seconds since everything up to `revision` was known to be all.
    age: float
    # Seconds for which the store has been read without trouble; below 0 while
    # it can't be read.
    stable: float
    # How many nodes its sender tells of changes.
    followers: int = 0
    # None: they are too many for a datagram, or too old to be kept.
    changes: tuple[StoredValue, ...] | None = ()


@attrs.frozen(kw_only=True)
class Offer:
    """Tell a reader without touch that its follower has read the store."""

    revision: int
    # Seconds since everything up to `revision` was known to be all.
    age: float


@attrs.frozen(kw_only=True)
class Observations:
    """Tell which upstreams answered or missed an opening, and who saw it."""

    observations: tuple[Observation, ...]


Message = UpdateRequest | Update | Offer | Observations
