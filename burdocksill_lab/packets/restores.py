"""Random play of restores of the store, checked against what was written."""

import json
import math
from collections import Counter
from collections.abc import Iterator
from random import Random
from typing import Final

import attrs
import trio

from burdocksill.packets.messages import UpstreamState
from burdocksill.platform.keys import READERS
from burdocksill.platform.records import DOMAINS_OUT, UPSTREAMS
from burdocksill_lab.packets.drill import RestoreDrill
from burdocksill_lab.packets.fleet import STORE, FleetNode, SharedFleet

SERVICE: Final = 'ledger'
# Bounds of the promises, counted from the write while the store works.
LEAVE_SECONDS: Final = 3.0
MANIFEST_SECONDS: Final = 3.0
DOMAIN_SECONDS: Final = 5.0
START_SECONDS: Final = 5.0
READER_SECONDS: Final = 10.0
# Operators and upstreams have written again by then what a restore lost.
REWRITTEN_SECONDS: Final = 2.0
# Nodes batch changes, so that one may apply what was just replaced.
LEARN_SECONDS: Final = 1.0
# A node is not judged for this long after its start or a disturbance.
STABLE_SECONDS: Final = 4.0
SAMPLE_SECONDS: Final = 0.1
# Time from an upstream's announcement that it leaves to its end.
DRAIN_SECONDS: Final = 4.0
# The play goes on for this long after the last restore.
SETTLE_SECONDS: Final = 12.0


@attrs.define(kw_only=True)
class WrittenState:
    """What operators and upstreams have written, with the times."""

    manifests: list[tuple[float, int]] = attrs.field(factory=list)
    started: dict[str, float] = attrs.field(factory=dict)
    leaving: dict[str, float] = attrs.field(factory=dict)
    domains: dict[str, tuple[float, bool]] = attrs.field(factory=dict)
    restored_at: float = -math.inf

    def due_since(self, written_at: float, bound: float) -> float:
        """Return the time from which a write must have its effect."""
        rewritten_at = self.restored_at + REWRITTEN_SECONDS
        return max(written_at, rewritten_at) + bound

    def due_version(self, now: float) -> int:
        """Return the version that must be in force."""
        return max(
            (
                version
                for at, version in self.manifests
                if self.due_since(at, MANIFEST_SECONDS) <= now
            ),
            default=0,
        )


@attrs.define(kw_only=True)
class SeenState:
    """What one node believed when it was last checked."""

    since: float
    checked_at: float = -math.inf
    version: int = 0
    domains_out: frozenset[str] = frozenset()
    # Upstreams that it knew to leave, or to have ended.
    leaving: frozenset[str] = frozenset()


@attrs.define(kw_only=True, eq=False)
class RestoreChecker:
    """Compare all nodes with what was written, again and again."""

    fleet: SharedFleet
    written: WrittenState
    seen: dict[int, SeenState] = attrs.field(factory=dict)
    # Hosts that were disturbed, with the end of the time without checks.
    excused: dict[str, float] = attrs.field(factory=dict)
    violations: Counter[str] = attrs.field(factory=Counter)

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            for node in self.fleet.living():
                self.check(node, trio.current_time())
            await trio.sleep(SAMPLE_SECONDS)

    def check(self, node: FleetNode, now: float) -> None:
        """Check one node."""
        seen = self.seen.setdefault(id(node), SeenState(since=now))
        excused_until = self.excused.get(node.host, 0)
        if now >= max(seen.since + STABLE_SECONDS, excused_until):
            for violation in self.find_violations(node, seen, now):
                self.violations[violation] += 1
        seen.checked_at = now
        seen.version = node.version
        seen.domains_out = frozenset(node.core.updater.placer.domains_out)
        seen.leaving = frozenset(leaving_upstreams(node))

    def find_violations(
        self, node: FleetNode, seen: SeenState, now: float
    ) -> Iterator[str]:
        """Yield the names of the promises that a node breaks."""
        if node.version < seen.version:
            yield 'a manifest went back'
        if node.version < self.written.due_version(now):
            yield 'a manifest is not in force'
        yield from self.find_domain_violations(node, seen, now)
        yield from self.find_upstream_violations(node, seen, now)

    def find_domain_violations(
        self, node: FleetNode, seen: SeenState, now: float
    ) -> Iterator[str]:
        """Yield what is wrong about failure domains out of service."""
        believed = node.core.updater.placer.domains_out
        for domain, (at, out) in self.written.domains.items():
            if (domain in believed) is out:
                continue
            if now >= self.written.due_since(at, DOMAIN_SECONDS):
                yield 'a domain is not out' if out else 'a domain is not back'
            was_right = (domain in seen.domains_out) is out
            if was_right and seen.checked_at >= at + LEARN_SECONDS:
                yield 'a domain went back to an older state'

    def find_upstream_violations(
        self, node: FleetNode, seen: SeenState, now: float
    ) -> Iterator[str]:
        """Yield what is wrong about upstreams for new flows."""
        registry = node.core.updater.upstreams
        # One whose entry expired is the last choice, and not counted.
        available = {
            upstream.record.name
            for upstream in registry.available_in_service(SERVICE, now)
            if upstream.is_registered
        }
        written = self.written
        for name, at in written.leaving.items():
            if name not in available:
                continue
            if now >= written.due_since(at, LEAVE_SECONDS):
                yield 'an upstream that leaves gets flows'
            was_leaving = name in seen.leaving
            if was_leaving and seen.checked_at >= at + LEARN_SECONDS:
                yield 'an upstream that leaves gets flows again'
        for name, at in written.started.items():
            late = now >= written.due_since(at, START_SECONDS)
            gone = name in written.leaving
            if late and not gone and name not in available:
                yield 'an upstream is missing'


def leaving_upstreams(node: FleetNode) -> Iterator[str]:
    """Yield the names of upstreams that leave or have no entry."""
    for name, upstream in node.core.updater.upstreams.by_name.items():
        is_ready = upstream.record.state is UpstreamState.READY
        if not is_ready or upstream.absent_since:
            yield name


@attrs.define(kw_only=True, eq=False)
class Disturbance:
    """Disturb a reader, or all nodes, at a random time."""

    fleet: SharedFleet
    rng: Random
    checker: RestoreChecker

    async def run(self) -> None:
        """Disturb a reader, or all nodes, around a restore."""
        await trio.sleep(self.rng.uniform(0, 2))
        readers = [node for node in self.fleet.living() if node.is_reader]
        if not readers:
            return
        node = self.rng.choice(readers)
        actions = (
            self.restart,
            self.pause,
            self.lose,
            self.cut_off,
            self.restart_all,
        )
        await self.rng.choice(actions)(node, self.rng.uniform(0.3, 3))

    def excuse(self, node: FleetNode, seconds: float) -> None:
        """Do not judge a node for some seconds."""
        until = trio.current_time() + seconds
        self.checker.excused[node.host] = until

    async def restart(self, node: FleetNode, seconds: float) -> None:
        """Kill a node's process and start it again."""
        self.excuse(node, seconds + STABLE_SECONDS)
        self.fleet.kill(node, silent=False)
        await trio.sleep(seconds)
        name = node.settings.name
        await self.fleet.add_node(node.settings.domain, name=name)

    async def pause(self, node: FleetNode, seconds: float) -> None:
        """Pause a node's host for some seconds."""
        self.excuse(node, seconds + STABLE_SECONDS)
        self.fleet.network.pause(node.host)
        await trio.sleep(seconds)
        self.fleet.network.resume(node.host)

    async def lose(self, node: FleetNode, seconds: float) -> None:
        """Lose a node's host, and add another node some time later."""
        self.fleet.kill(node)
        await trio.sleep(seconds)
        await self.fleet.add_node(node.settings.domain)

    async def cut_off(self, node: FleetNode, seconds: float) -> None:
        """Cut a node off from the store for some seconds."""
        self.excuse(node, seconds + STABLE_SECONDS)
        self.fleet.network.cut([node.host], [STORE.host])
        await trio.sleep(seconds)
        self.fleet.network.heal()

    async def restart_all(self, _: FleetNode, seconds: float) -> None:
        """Kill the processes of all nodes, and start them again."""
        async with trio.open_nursery() as nursery:
            for node in list(self.fleet.living()):
                nursery.start_soon(self.restart, node, seconds)


@attrs.define(kw_only=True, eq=False)
class RestorePlay:
    """Write, restore and disturb at random times from a seed."""

    fleet: SharedFleet
    rng: Random
    domains: tuple[str, ...]
    written: WrittenState = attrs.field(factory=WrittenState)
    checker: RestoreChecker = attrs.field(init=False)
    disturbance: Disturbance = attrs.field(init=False)
    started: int = 0
    drill: RestoreDrill = attrs.field(init=False)
    # Set while the store answers.
    store_works: trio.Event = attrs.field(factory=trio.Event)

    def __attrs_post_init__(self) -> None:
        """Create the checker and a first copy; the store works."""
        self.copy_store()
        self.store_works.set()
        self.checker = RestoreChecker(fleet=self.fleet, written=self.written)
        self.disturbance = Disturbance(
            fleet=self.fleet, rng=self.rng, checker=self.checker
        )

    async def run(self, restores: int, *, disturb: bool) -> Counter[str]:
        """Run the play; return the broken promises with their numbers."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.checker.run)
            nursery.start_soon(self.write)
            for _ in range(restores):
                await self.fleet.run(self.rng.uniform(1, 8))
                await self.restore(disturb=disturb)
            await self.fleet.run(SETTLE_SECONDS)
            self.check_readers()
            nursery.cancel_scope.cancel()
        return self.checker.violations

    def copy_store(self) -> None:
        """Copy the store for the next restore."""
        self.drill = RestoreDrill(
            store=self.fleet.store,
            nursery=self.fleet.nursery,
            rng=self.rng,
        )

    async def restore(self, *, disturb: bool) -> None:
        """Restore the store from a copy that is some seconds old."""
        self.copy_store()
        await self.fleet.run(self.rng.uniform(1, 6))
        if disturb:
            self.fleet.nursery.start_soon(self.disturbance.run)
        self.store_works = trio.Event()
        await self.drill.restore(self.rng.uniform(0.2, 1.5))
        self.store_works.set()
        self.written.restored_at = trio.current_time()

    async def write(self) -> None:
        """Write at random times while the store works, until cancelled."""
        writes = (
            self.write_manifest,
            self.start_upstream,
            self.leave_upstream,
            self.crash_upstream,
            self.move_domain,
        )
        while True:
            await trio.sleep(self.rng.uniform(0.05, 0.8))
            if self.store_works.is_set():
                self.rng.choice(writes)()

    def write_manifest(self) -> None:
        """Write the next manifest."""
        version = self.fleet.put_version()
        self.written.manifests.append((trio.current_time(), version))

    def start_upstream(self) -> None:
        """Register a new upstream."""
        self.started += 1
        name = f'i-{1000 + self.started:08x}'
        self.written.started[name] = trio.current_time()
        self.put_upstream(name, 'ready')

    def leave_upstream(self) -> None:
        """Let an upstream announce that it leaves, and end later."""
        name = self.choose_staying()
        if name:
            self.written.leaving[name] = trio.current_time()
            self.put_upstream(name, 'draining')
            self.fleet.nursery.start_soon(self.end_later, name)

    def crash_upstream(self) -> None:
        """Remove the entry of an upstream that has crashed."""
        name = self.choose_staying()
        if name:
            self.written.leaving[name] = trio.current_time()
            self.drill.remove(UPSTREAMS + name)

    def choose_staying(self) -> str:
        """Return an upstream that does not leave, empty if there is none."""
        staying = self.written.started.keys() - self.written.leaving.keys()
        return self.rng.choice(sorted(staying)) if staying else ''

    async def end_later(self, name: str) -> None:
        """End an upstream some time after its announcement."""
        await trio.sleep(DRAIN_SECONDS)
        await self.store_works.wait()
        self.drill.remove(UPSTREAMS + name)

    def put_upstream(self, name: str, state: str) -> None:
        """Write an upstream's entry."""
        number = int(name.rpartition('-')[2], 16)
        entry = {
            'Service': SERVICE,
            'Address': f'10.3.{number // 250}.{number % 250 + 1}:8080',
            'Zone': self.domains[number % len(self.domains)],
            'Version': 'v1',
            'Slots': 2,
            'State': state,
            'WarmupMs': 0,
            'Seq': 1,
            'born': number,
        }
        self.fleet.store.put(UPSTREAMS + name, json.dumps(entry).encode())

    def move_domain(self) -> None:
        """Take a failure domain out of service, or put it back."""
        domain = self.rng.choice(self.domains)
        key = DOMAINS_OUT + domain
        _, was_out = self.written.domains.get(domain, (-math.inf, False))
        self.written.domains[domain] = (trio.current_time(), not was_out)
        if was_out:
            self.drill.remove(key)
        else:
            self.fleet.store.put(key, b'{}')

    def check_readers(self) -> None:
        """Check that each failure domain has one reader, as the store says."""
        found = Counter(
            node.settings.domain
            for node in self.fleet.living()
            if node.is_reader
            and node.settings.name == self.elected(node.settings.domain)
        )
        readers = sum(node.is_reader for node in self.fleet.living())
        wrong = sum(found[domain] != 1 for domain in self.domains)
        if wrong or readers != len(self.domains):
            self.checker.violations['a domain has no single reader'] += 1

    def elected(self, domain: str) -> str:
        """Return the name of the reader in the store, empty if none."""
        item = self.fleet.store.items.get(READERS + domain)
        name: str = json.loads(item.value)['name'] if item else ''
        return name
