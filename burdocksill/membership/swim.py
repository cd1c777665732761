"""Membership inside a failure domain by the SWIM protocol."""

import math
from collections.abc import Awaitable, Callable
from random import Random
from typing import Final

import attrs
import trio

from burdocksill.exceptions import BurdocksillError
from burdocksill.membership.beliefs import MemberStates
from burdocksill.membership.contacts import CONTACT_SECONDS
from burdocksill.membership.heartbeats import DIRECT_TIMEOUT_SECONDS, Heartbeats
from burdocksill.membership.protocols import Member, MemberState
from burdocksill.membership.quorum import Quorum
from burdocksill.membership.rotation import ProbeRotation
from burdocksill.membership.table import MemberEntry, MemberTable
from burdocksill.network.protocols import Address, WallClock
from burdocksill.observe.counters import Counters
from burdocksill.peers.messages import Probe, ProbeRequest
from burdocksill.platform.protocols import Platform

PERIOD_SECONDS: Final = 0.5
INDIRECT_TIMEOUT_SECONDS: Final = 0.3
INDIRECT_PROBES: Final = 3
RETRY_DEAD_SECONDS: Final = 2.0
# A longer gap between ticks means that the event loop was paused.
MAX_TICK_GAP_SECONDS: Final = 1.5
LIST_SECONDS: Final = 10.0
MAX_INITIAL_PROBES: Final = 16
LEAVE_ROUNDS: Final = 3


@attrs.define(kw_only=True)
class SwimMembership:
    """Probe one member a period; probes and acks piggyback gossip."""

    initial_member: Member
    platform: Platform
    clock: WallClock
    rng: Random
    counters: Counters
    # Sleeps until the next tick; longer on paused hosts of the lab.
    sleep: Callable[[float], Awaitable[None]] = trio.sleep
    # Tells whether this VM is one of the few that poll the platform's list.
    should_read_list: Callable[[], bool] = lambda: True
    table: MemberTable = attrs.field(init=False)
    member_states: MemberStates = attrs.field(init=False)
    heartbeats: Heartbeats = attrs.field(init=False)
    quorum: Quorum = attrs.field(init=False)
    rotation: ProbeRotation = attrs.field(init=False)
    contacted_at: float = -math.inf
    retried_at: float = -math.inf

    def __attrs_post_init__(self) -> None:
        """Start an incarnation above those of earlier processes."""
        local_member = attrs.evolve(
            self.initial_member,
            incarnation=int(self.clock.now()),
        )
        self.table = MemberTable(local_member=local_member)
        self.member_states = MemberStates(
            table=self.table, counters=self.counters
        )
        self.heartbeats = Heartbeats(member_states=self.member_states)
        self.rotation = ProbeRotation(table=self.table, rng=self.rng)
        self.quorum = Quorum(
            table=self.table,
            max_gap_seconds=MAX_TICK_GAP_SECONDS,
        )

    @property
    def local_member(self) -> Member:
        """Return the member of this VM."""
        return self.table.local_member

    def live(self, domain: str) -> tuple[Member, ...]:
        """Return the members that may own upstreams, sorted by name."""
        if self.member_states.contacts.is_unreachable(
            domain, trio.current_time()
        ):
            return ()
        return self.table.live(domain)

    def leaving(self, domain: str) -> tuple[Member, ...]:
        """Return the members that are handing over before they stop."""
        return tuple(
            entry.member
            for entry in self.table.of_domain(domain)
            if entry.state is MemberState.LEAVING
        )

    def find(self, tag: bytes) -> Member | None:
        """Return a member that packets can be relayed to, leaving included."""
        entry = self.table.find(tag)
        if entry is None or entry.state is MemberState.DEAD:
            return None
        now = trio.current_time()
        if self.member_states.contacts.is_unreachable(entry.member.domain, now):
            return None
        return entry.member

    def quorate(self) -> bool:
        """Return True while a majority of the domain answers this VM."""
        return self.quorum.is_quorate(trio.current_time(), self.clock.now())

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call a listener after each change of members."""
        self.table.listeners.append(listener)

    async def refresh(self) -> None:
        """Read the platform's list once; it can only add members."""
        try:
            records = await self.platform.list_vms()
        except BurdocksillError:
            self.counters.add('list_unreadable')
            return
        self.member_states.apply_list(records)

    async def bootstrap(self, seeds: tuple[Address, ...] = ()) -> None:
        """Probe listed members before serving.

        Otherwise a VM that starts from a stale list would send its first flows
        to owners that no longer exist.
        """
        await self.refresh()
        for seed in seeds:
            probe = Probe(number=0, gossip=self.heartbeats.gossip())
            self.heartbeats.send(probe, seed)
        peers = [
            entry
            for entry in self.table.of_domain(self.local_member.domain)
            if entry.member.tag != self.local_member.tag
        ]
        probed = self.rng.sample(peers, min(MAX_INITIAL_PROBES, len(peers)))
        for entry in probed:
            self.heartbeats.send_probe(entry.member, 0)
        if probed or seeds:
            await trio.sleep(DIRECT_TIMEOUT_SECONDS + INDIRECT_TIMEOUT_SECONDS)
        for entry in probed:
            if entry.received_at < entry.since:
                self.suspect(entry)

    async def run(self) -> None:
        """Run the protocol periods until cancelled."""
        async with trio.open_nursery() as nursery:
            self.heartbeats.nursery = nursery
            nursery.start_soon(self.read_list)
            while True:
                self.tick()
                await self.sleep(PERIOD_SECONDS * self.rng.uniform(0.9, 1.1))

    async def read_list(self) -> None:
        """Poll the platform's list on the few VMs that do."""
        while True:
            await trio.sleep(LIST_SECONDS * self.rng.uniform(0.9, 1.1))
            if self.should_read_list():
                await self.refresh()

    def tick(self) -> None:
        """Run one protocol period."""
        now = trio.current_time()
        if self.quorum.record_tick(now, self.clock.now()):
            self.member_states.restart_suspicions(now)
        self.member_states.end_due_suspicions(now)
        target = self.rotation.next_target(now)
        if target is not None:
            self.start_probe(target)
        self.probe_other_domain(now)
        self.retry_dead(now)

    def start_probe(self, target: Member) -> None:
        """Probe a member in a new task."""
        if self.heartbeats.nursery is not None:
            self.quorum.record_probe(target.tag, trio.current_time())
            self.heartbeats.nursery.start_soon(self.probe, target)

    async def probe(self, target: Member) -> None:
        """Probe a member directly, then indirectly, then suspect it."""
        started = trio.current_time()
        number, answered = self.heartbeats.register_probe()
        self.heartbeats.send_probe(target, number)
        with trio.move_on_after(DIRECT_TIMEOUT_SECONDS):
            await answered.wait()
        if not answered.is_set():
            self.heartbeats.send_probe(target, number)
            self.request_indirect_probes(target, number)
            with trio.move_on_after(INDIRECT_TIMEOUT_SECONDS):
                await answered.wait()
        self.heartbeats.pending_probes.pop(number)
        entry = self.table.find(target.tag)
        was_paused = trio.current_time() - started > MAX_TICK_GAP_SECONDS
        # After a pause of this VM the answer may still be in the socket.
        if answered.is_set() or was_paused or entry is None:
            return
        if entry.received_at < started:
            self.suspect(entry)

    def request_indirect_probes(self, target: Member, number: int) -> None:
        """Ask a few members to probe one that does not answer."""
        candidates = [
            member
            for member in self.table.live(self.local_member.domain)
            if member.tag not in {target.tag, self.local_member.tag}
        ]
        for helper in self.rng.sample(
            candidates, min(INDIRECT_PROBES, len(candidates))
        ):
            request = ProbeRequest(number=number, target=target.tag)
            self.heartbeats.send(request, helper.peer_address)

    def suspect(self, entry: MemberEntry) -> None:
        """Suspect a member, and probe it so that it can refute at once."""
        self.member_states.suspect(entry)
        self.heartbeats.send_probe(entry.member, 0)

    def probe_other_domain(self, now: float) -> None:
        """Probe a member of another domain, if this VM is a contact."""
        if now - self.contacted_at < CONTACT_SECONDS:
            return
        domain = self.member_states.contacts.next_domain()
        if domain is None or not self.member_states.contacts.is_contact():
            return
        self.contacted_at = now
        members = self.table.live(domain)
        if members:
            self.heartbeats.send_probe(self.rng.choice(members), 0)

    def retry_dead(self, now: float) -> None:
        """Probe a dead member at times, as a partition may have healed.

        Both sides of a partition have the other as dead and would not probe
        it again. A member that answers learns its state and refutes it.
        """
        if now - self.retried_at < RETRY_DEAD_SECONDS:
            return
        self.retried_at = now
        dead = [
            entry.member
            for entry in self.table.unhealthy_entries()
            if entry.state is MemberState.DEAD
        ]
        if dead:
            self.heartbeats.send_probe(self.rng.choice(dead), 0)

    async def leave(self) -> None:
        """Announce that this VM takes no new work from now on."""
        self.member_states.announce(
            MemberState.LEAVING, self.local_member.incarnation + 1
        )
        for _ in range(LEAVE_ROUNDS):
            peers = [
                member
                for member in self.table.live(self.local_member.domain)
                if member.tag != self.local_member.tag
            ]
            for peer in self.rng.sample(
                peers, min(MAX_INITIAL_PROBES, len(peers))
            ):
                self.heartbeats.send_probe(peer, 0)
            await trio.sleep(DIRECT_TIMEOUT_SECONDS)
