"""The few VMs of each failure domain that talk to the other domains."""

import math
import struct
from typing import Final

import attrs

from burdocksill.flows.cookie import TAG_BYTES, name_tag
from burdocksill.membership.protocols import Member
from burdocksill.membership.table import MemberTable
from burdocksill.ownership.rendezvous import ranked

CONTACTS_PER_DOMAIN: Final = 3
CONTACT_SECONDS: Final = 1.0
# domain tag, age in tenths of a second.
HEARD: Final = struct.Struct(f'>{TAG_BYTES}sB')
AGE_STEP_SECONDS: Final = 0.1
OLDEST: Final = 255
# A domain counts as cut off after this silence; each other domain adds a
# step because a contact asks them in turn.
SILENCE_SECONDS: Final = 4.0
SILENCE_STEP_SECONDS: Final = 0.5


@attrs.define(kw_only=True)
class DomainContacts:
    """Know who talks to other domains and when each was heard.

    Ages travel, not times, so that no two clocks are ever compared.
    """

    table: MemberTable
    received_at: dict[str, float] = attrs.field(factory=dict)
    names: dict[bytes, str] = attrs.field(factory=dict)
    next_index: int = 0

    def contacts(self, domain: str) -> list[Member]:
        """Return the members that talk for a domain."""
        members = self.table.live(domain)
        return ranked(members, f'contact/{domain}')[:CONTACTS_PER_DOMAIN]

    def is_contact(self) -> bool:
        """Return True when this VM talks for its domain."""
        own = self.table.local_member
        return own in self.contacts(own.domain)

    def others(self) -> list[str]:
        """Return the other domains."""
        own = self.table.local_member.domain
        return [name for name in sorted(self.received_at) if name != own]

    def next_domain(self) -> str | None:
        """Return the domain to ask next, each in turn."""
        others = self.others()
        if not others:
            return None
        self.next_index += 1
        return others[self.next_index % len(others)]

    def record_received(self, domain: str, at: float) -> None:
        """Remember that a domain was heard."""
        self.received_at[domain] = max(self.received_at.get(domain, at), at)

    def add_domain(self, domain: str, now: float) -> None:
        """Start a domain's silence when it becomes known."""
        self.names[name_tag(domain)] = domain
        self.received_at.setdefault(domain, now)

    def is_unreachable(self, domain: str, now: float) -> bool:
        """Return True after a domain's silence."""
        last_received_at = self.received_at.get(domain)
        if last_received_at is None or domain == self.table.local_member.domain:
            return False
        allowed = SILENCE_SECONDS + SILENCE_STEP_SECONDS * len(self.received_at)
        return now - last_received_at > allowed

    def pack(self, now: float) -> bytes:
        """Pack how long ago each other domain was heard."""
        parts: list[bytes] = []
        for domain in sorted(self.received_at):
            age = (now - self.received_at[domain]) / AGE_STEP_SECONDS
            # Rounded up, so that passing an age on never makes it younger.
            steps = min(OLDEST, math.ceil(age) + 1)
            parts.append(HEARD.pack(name_tag(domain), steps))
        return b''.join(parts)

    def merge_ages(self, packed: bytes, now: float) -> None:
        """Take what a member of the own domain heard."""
        whole = len(packed) // HEARD.size * HEARD.size
        for tag, steps in HEARD.iter_unpack(packed[:whole]):
            domain = self.names.get(tag)
            if domain is not None and steps < OLDEST:
                self.record_received(domain, now - steps * AGE_STEP_SECONDS)
