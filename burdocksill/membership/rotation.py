"""Order in which members are probed."""

from random import Random

import attrs

from burdocksill.membership.beliefs import DEAD_PROBE_SECONDS
from burdocksill.membership.protocols import Member, MemberState
from burdocksill.membership.table import MemberEntry, MemberTable


@attrs.define(kw_only=True)
class ProbeRotation:
    """Select each member of the own domain once in a shuffled round."""

    table: MemberTable
    rng: Random
    rest: list[bytes] = attrs.field(factory=list)

    def next_target(self, now: float) -> Member | None:
        """Return the next member of the own domain, each in turn."""
        while True:
            if not self.rest:
                self.rest = self.new_round(now)
                if not self.rest:
                    return None
            entry = self.table.find(self.rest.pop())
            if entry is not None and self.is_probed(entry, now):
                return entry.member

    def new_round(self, now: float) -> list[bytes]:
        """Shuffle the members to probe."""
        found = [
            entry.member.tag
            for entry in self.table.of_domain(self.table.local_member.domain)
            if self.is_probed(entry, now)
        ]
        return self.rng.sample(found, len(found))

    def is_probed(self, entry: MemberEntry, now: float) -> bool:
        """Return True for other members, also for recently dead ones.

        A VM that is partitioned from all others must not conclude at once that
        its domain has shrunk: they stay in the count of its quorum.
        """
        if entry.member.tag == self.table.local_member.tag:
            return False
        dead = entry.state is MemberState.DEAD
        return not dead or now - entry.since < DEAD_PROBE_SECONDS
