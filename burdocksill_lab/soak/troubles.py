"""Bring the troubles of a plan about, each in a task of its own."""

import signal
from collections.abc import Awaitable, Callable, Mapping
from functools import partial
from types import MappingProxyType
from typing import Final

import attrs
import trio

from burdocksill.platform.records import UPSTREAMS
from burdocksill_lab.packets.store import Trouble as StoreTrouble
from burdocksill_lab.packets.upstream import LabUpstream
from burdocksill_lab.packets.world import write_entry
from burdocksill_lab.soak.changes import Changes
from burdocksill_lab.soak.day import SoakDay, SoakNode, until
from burdocksill_lab.soak.plan import CHANGES, Kind, Trouble
from burdocksill_lab.soak.proxy import Harm

# The platform starts a process again after this.
RESTART_SECONDS: Final = 0.5
GRACE_SECONDS: Final = 6.0
READY_SECONDS: Final = 20.0
STEP_SECONDS: Final = 0.05
SLOW_SECONDS: Final = 0.25
# A lapsed entry is back within two seconds of the store's return.
BACK_SECONDS: Final = 1.5
LINKS: Final[Mapping[Kind, Harm]] = MappingProxyType(
    {
        Kind.LINK_DELAY: Harm.DELAY,
        Kind.LINK_RESET: Harm.RESET,
        Kind.LINK_ONE_WAY: Harm.ONE_WAY,
        Kind.LINK_SILENT: Harm.SILENT,
    }
)
STORE: Final[Mapping[Kind, StoreTrouble]] = MappingProxyType(
    {
        Kind.STORE_BUSY: StoreTrouble.BUSY,
        Kind.STORE_SILENT: StoreTrouble.SILENT,
    }
)
Action = Callable[[Trouble], Awaitable[None]]


@attrs.define(kw_only=True)
class Troublemaker:
    """Do to a day what its plan says."""

    day: SoakDay
    changes: Changes = attrs.field(init=False)
    told: list[str] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Prepare what teams and operators do."""
        self.changes = Changes(day=self.day)

    async def run(self, plan: list[Trouble], began: float) -> None:
        """Start each trouble at its time; they overlap."""
        async with trio.open_nursery() as nursery:
            for trouble in plan:
                await trio.sleep_until(began + trouble.at)
                nursery.start_soon(self.bring_about, trouble)

    async def bring_about(self, trouble: Trouble) -> None:
        """Carry out one trouble, and tell the judge while it lasts."""
        at = f'{trouble.at:7.3f} {trouble.kind}'
        self.told.append(f'{at} {trouble.target} for {trouble.seconds} s')
        disturbs = trouble.kind not in CHANGES
        if disturbs:
            self.day.judge.begin()
        try:
            await self.action(trouble.kind)(trouble)
            if disturbs:
                await self.wait_until_ready()
        finally:
            if disturbs:
                self.day.judge.end()

    def action(self, kind: Kind) -> Action:
        """Return what brings a kind about."""
        if kind in LINKS:
            return self.harm_link
        if kind in STORE:
            return self.break_store
        actions: dict[Kind, Action] = {
            Kind.STOP: self.stop,
            Kind.KILL: self.kill,
            Kind.KILL_ALL: self.kill_all,
            Kind.PAUSE: self.pause,
            Kind.HANG_UP: self.hang_up,
            Kind.STORE_SLOW: self.slow_store,
            Kind.STORE_LAPSE: self.lapse,
            Kind.STORE_COMPACT: self.compact,
            Kind.PACKETS_LOST: partial(self.harm_packets, name='lost'),
            Kind.PACKETS_DOUBLED: partial(self.harm_packets, name='doubled'),
            Kind.UPSTREAM_DARK: self.changes.darken,
            Kind.UPSTREAM_REUSED: self.changes.reuse,
            Kind.MANIFEST: self.changes.toggle_route,
            Kind.STORM: self.changes.storm,
            Kind.DOMAIN_OUT: self.changes.take_out,
            Kind.RELEASE: self.changes.release,
        }
        return actions[kind]

    def node(self, trouble: Trouble) -> SoakNode:
        """Return the node that a trouble is for."""
        return self.day.nodes[trouble.target % len(self.day.nodes)]

    async def wait_until_ready(self) -> None:
        """Wait until routers use every node again."""
        with trio.move_on_after(READY_SECONDS):
            await until(self.day.are_ready, STEP_SECONDS)
            return
        self.day.judge.blame('a node is ready again', 'not after 20 s')

    async def end(self, node: SoakNode, number: signal.Signals) -> None:
        """End a process by a signal, and start it again."""
        if node.is_down:
            return
        node.is_down = True
        node.process.signal(number)
        with trio.move_on_after(GRACE_SECONDS):
            await until(node.process.has_ended, STEP_SECONDS)
        node.process.end()
        await trio.sleep(RESTART_SECONDS)
        node.process.start()
        node.is_down = False

    async def stop(self, trouble: Trouble) -> None:
        """Stop a node as planned."""
        await self.end(self.node(trouble), signal.SIGTERM)

    async def kill(self, trouble: Trouble) -> None:
        """Kill a node."""
        await self.end(self.node(trouble), signal.SIGKILL)

    async def kill_all(self, _: Trouble) -> None:
        """Kill every node at once."""
        async with trio.open_nursery() as nursery:
            for node in self.day.nodes:
                nursery.start_soon(self.end, node, signal.SIGKILL)

    async def pause(self, trouble: Trouble) -> None:
        """Let a process stand still."""
        node = self.node(trouble)
        if node.is_down:
            return
        node.process.signal(signal.SIGSTOP)
        await trio.sleep(trouble.seconds)
        node.process.signal(signal.SIGCONT)

    async def hang_up(self, trouble: Trouble) -> None:
        """Tell a process to read its settings again.

        While the interpreter itself starts, nothing can keep the signal from
        ending the process; that is not what is asked here.
        """
        node = self.node(trouble)
        with trio.move_on_after(trouble.seconds):
            await until(node.process.survives_hang_up, STEP_SECONDS)
            if not node.is_down:
                node.process.signal(signal.SIGHUP)

    async def break_store(self, trouble: Trouble) -> None:
        """Let the store refuse or hold every call."""
        self.day.store.trouble = STORE[trouble.kind]
        await trio.sleep(trouble.seconds)
        self.day.store.trouble = StoreTrouble.NONE

    async def slow_store(self, trouble: Trouble) -> None:
        """Let the store answer late."""
        self.day.store.delay_seconds = SLOW_SECONDS
        await trio.sleep(trouble.seconds)
        self.day.store.delay_seconds = 0

    async def lapse(self, trouble: Trouble) -> None:
        """Take the store down while the upstreams' entries run out."""
        self.day.store.trouble = StoreTrouble.SILENT
        await trio.sleep(trouble.seconds)
        kept = [
            upstream
            for upstream in self.day.upstreams
            if UPSTREAMS + upstream.name in self.day.store.items
        ]
        for upstream in kept:
            self.day.deregister(upstream)
        self.day.store.trouble = StoreTrouble.NONE
        await trio.sleep(BACK_SECONDS)
        for upstream in kept:
            self.register_again(upstream)

    def register_again(self, upstream: LabUpstream) -> None:
        """Write an entry anew, unless its upstream has ended meanwhile."""
        ledger = self.day.judge.ledger
        if upstream.name in ledger.ended:
            return
        leaving = upstream.name in ledger.draining
        state = 'draining' if leaving else 'ready'
        write_entry(self.day.store.put, upstream, state)

    async def compact(self, _: Trouble) -> None:
        """Let the store forget its history."""
        self.day.store.compact()

    async def harm_link(self, trouble: Trouble) -> None:
        """Harm a node's connections to the store."""
        proxy = self.node(trouble).proxy
        await proxy.set(LINKS[trouble.kind])
        await trio.sleep(trouble.seconds)
        # Bytes that were swallowed are gone: those connections stay silent.
        await proxy.set(Harm.NONE)

    async def harm_packets(self, trouble: Trouble, *, name: str) -> None:
        """Lose or double a third of a node's packets."""
        node = self.node(trouble)
        setattr(node, name, 1 / 3)
        await trio.sleep(trouble.seconds)
        setattr(node, name, 0)
