"""Contacts: the few VMs of each failure domain that probe other domains."""

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
DOMAIN_AGE: Final = struct.Struct(f'>{TAG_BYTES}sB')
AGE_STEP_SECONDS: Final = 0.1
MAX_AGE_STEPS: Final = 255
# A domain is unreachable without a message for this long. Each other domain
# adds a step because a contact probes them in turn.
UNREACHABLE_SECONDS: Final = 4.0
UNREACHABLE_STEP_SECONDS: Final = 0.5


@attrs.define(kw_only=True)
class DomainContacts:
    """Select contacts and hold the time of each domain's last message.

    Messages carry ages instead of times, so that no clocks are compared.
    """

    table: MemberTable
    received_at: dict[str, float] = attrs.field(factory=dict)
    names: dict[bytes, str] = attrs.field(factory=dict)
    next_index: int = 0

    def contacts(self, domain: str) -> list[Member]:
        """Return the contacts of a domain."""
        members = self.table.live(domain)
        return ranked(members, f'contact/{domain}')[:CONTACTS_PER_DOMAIN]

    def is_contact(self) -> bool:
        """Return True when this VM is a contact of its domain."""
        own = self.table.local_member
        return own in self.contacts(own.domain)

    def others(self) -> list[str]:
        """Return the other domains."""
        own = self.table.local_member.domain
        return [name for name in sorted(self.received_at) if name != own]

    def next_domain(self) -> str | None:
        """Return the domain to probe next, each in turn."""
        others = self.others()
        if not others:
            return None
        self.next_index += 1
        return others[self.next_index % len(others)]

    def record_received(self, domain: str, at: float) -> None:
        """Record a message of a domain."""
        self.received_at[domain] = max(self.received_at.get(domain, at), at)

    def add_domain(self, domain: str, now: float) -> None:
        """Add a domain, with the current time as that of its last message."""
        self.names[name_tag(domain)] = domain
        self.received_at.setdefault(domain, now)

    def is_unreachable(self, domain: str, now: float) -> bool:
        """Return True if a domain has sent no message for too long."""
        last_received_at = self.received_at.get(domain)
        if last_received_at is None or domain == self.table.local_member.domain:
            return False
        allowed = UNREACHABLE_SECONDS + UNREACHABLE_STEP_SECONDS * len(
            self.received_at
        )
        return now - last_received_at > allowed

    def pack(self, now: float) -> bytes:
        """Encode the age of each domain's last message."""
        parts: list[bytes] = []
        for domain in sorted(self.received_at):
            age = (now - self.received_at[domain]) / AGE_STEP_SECONDS
            # Rounded up, so that forwarding never makes an age smaller.
            steps = min(MAX_AGE_STEPS, math.ceil(age) + 1)
            parts.append(DOMAIN_AGE.pack(name_tag(domain), steps))
        return b''.join(parts)

    def merge_ages(self, packed: bytes, now: float) -> None:
        """Merge the ages that a member of the own domain has sent."""
        whole = len(packed) // DOMAIN_AGE.size * DOMAIN_AGE.size
        for tag, steps in DOMAIN_AGE.iter_unpack(packed[:whole]):
            domain = self.names.get(tag)
            if domain is not None and steps < MAX_AGE_STEPS:
                self.record_received(domain, now - steps * AGE_STEP_SECONDS)
