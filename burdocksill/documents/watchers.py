"""Selection of the VMs of a failure domain that watch the store."""

from typing import Final

import attrs

from burdocksill.membership.protocols import MemberView
from burdocksill.ownership.rendezvous import ranked

# Two may be paused or partitioned from the store while the third watches.
WATCHERS_PER_DOMAIN: Final = 3


@attrs.define(kw_only=True)
class WatcherSelector:
    """Select watchers by rendezvous hashing; extra ones do no harm."""

    members: MemberView

    def __call__(self) -> bool:
        """Return True when this VM is among the watchers of its domain."""
        own = self.members.local_member
        live = self.members.live(own.domain)
        watchers = ranked(live, f'watch/{own.domain}')[:WATCHERS_PER_DOMAIN]
        return own in watchers
