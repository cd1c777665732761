"""Messages between nodes about the store and about upstreams."""

import attrs

from burdocksill.packets.silence import SilenceNotice, SilenceReport
from burdocksill.platform.values import StoredValue
from burdocksill.readers.load_messages import LoadReport, LoadSummary
from burdocksill.readers.messages import Observation


@attrs.frozen(kw_only=True)
class UpdateRequest:
    """Request the changes after a revision."""

    # Random for each request; every update that it leads to repeats it.
    token: int
    revision: int


@attrs.frozen(kw_only=True)
class Update:
    """Send changes, and the age of the sender's data."""

    token: int
    # The update covers the changes after this one, up to `revision`.
    after: int
    revision: int
    # Seconds since `revision` was known to be the newest.
    age: float
    # Seconds for which the store has been read without failure; below 0 while
    # it can't be read.
    stable: float
    # Number of subscribers of the sender.
    followers: int = 0
    # None: they exceed a datagram, or are no longer in the log.
    changes: tuple[StoredValue, ...] | None = ()


@attrs.frozen(kw_only=True)
class Offer:
    """Offer the data of a follower to a reader that can't read the store."""

    revision: int
    # Seconds since `revision` was known to be the newest.
    age: float


@attrs.frozen(kw_only=True)
class Observations:
    """Send which upstreams answered or missed an opening, by reporter."""

    observations: tuple[Observation, ...]


@attrs.frozen(kw_only=True)
class SilenceReports:
    """Report retransmissions and answers to the domain's reader."""

    reports: tuple[SilenceReport, ...]


@attrs.frozen(kw_only=True)
class SilenceNotices:
    """Ask all nodes of a domain for answers, or tell which are silent."""

    notices: tuple[SilenceNotice, ...]


Message = (
    UpdateRequest
    | Update
    | Offer
    | Observations
    | LoadReport
    | LoadSummary
    | SilenceReports
    | SilenceNotices
)
