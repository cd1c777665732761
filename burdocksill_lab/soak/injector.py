"""Inject the faults of a plan, each in its own task."""

import signal
from collections.abc import Awaitable, Callable, Mapping
from functools import partial
from types import MappingProxyType
from typing import Final

import attrs
import trio

from burdocksill.platform.records import UPSTREAMS
from burdocksill_lab.packets.drill import MAX_REWRITE_SECONDS
from burdocksill_lab.packets.store import StoreFault
from burdocksill_lab.packets.upstream import LabUpstream
from burdocksill_lab.packets.world import write_entry
from burdocksill_lab.soak.changes import Changes
from burdocksill_lab.soak.deployment import (
    SoakDeployment,
    SoakNode,
    copy_for_restore,
    until,
)
from burdocksill_lab.soak.foreign import FlowMover, ForeignWriter
from burdocksill_lab.soak.plan import HARMLESS, FaultKind, PlannedFault
from burdocksill_lab.soak.proxy import LinkFault

# Delay after which the platform restarts a process.
RESTART_SECONDS: Final = 0.5
GRACE_SECONDS: Final = 6.0
READY_SECONDS: Final = 20.0
STEP_SECONDS: Final = 0.05
SLOW_SECONDS: Final = 0.25
RESTORE_AWAY_SECONDS: Final = 0.5
# Expired entries are registered again within two seconds of recovery.
REREGISTER_SECONDS: Final = 1.5
LINKS: Final[Mapping[FaultKind, LinkFault]] = MappingProxyType(
    {
        FaultKind.LINK_DELAY: LinkFault.DELAY,
        FaultKind.LINK_RESET: LinkFault.RESET,
        FaultKind.LINK_ONE_WAY: LinkFault.ONE_WAY,
        FaultKind.LINK_SILENT: LinkFault.SILENT,
    }
)
STORE: Final[Mapping[FaultKind, StoreFault]] = MappingProxyType(
    {
        FaultKind.STORE_BUSY: StoreFault.BUSY,
        FaultKind.STORE_SILENT: StoreFault.SILENT,
    }
)
Action = Callable[[PlannedFault], Awaitable[None]]


@attrs.define(kw_only=True)
class FaultInjector:
    """Inject the faults of a plan into a deployment."""

    deployment: SoakDeployment
    changes: Changes = attrs.field(init=False)
    foreign_writer: ForeignWriter = attrs.field(init=False)
    flow_mover: FlowMover = attrs.field(init=False)
    injected: list[str] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Create the changes that teams and operators make."""
        self.changes = Changes(deployment=self.deployment)
        self.foreign_writer = ForeignWriter(deployment=self.deployment)
        self.flow_mover = FlowMover(deployment=self.deployment)

    async def run(self, plan: list[PlannedFault], began: float) -> None:
        """Start each fault at its time; faults may overlap."""
        async with trio.open_nursery() as nursery:
            for fault in plan:
                await trio.sleep_until(began + fault.at)
                nursery.start_soon(self.inject, fault)

    async def inject(self, fault: PlannedFault) -> None:
        """Inject one fault and report its duration to the checker."""
        at = f'{fault.at:7.3f} {fault.kind}'
        self.injected.append(f'{at} {fault.target} for {fault.seconds} s')
        is_fault = fault.kind not in HARMLESS
        if is_fault:
            self.deployment.checker.begin_fault()
        try:
            await self.action(fault.kind)(fault)
            if is_fault:
                await self.wait_until_ready()
        finally:
            if is_fault:
                self.deployment.checker.end_fault()

    def action(self, kind: FaultKind) -> Action:
        """Return the action that injects a kind of fault."""
        if kind in LINKS:
            return self.inject_link_fault
        if kind in STORE:
            return self.inject_store_fault
        actions: dict[FaultKind, Action] = {
            FaultKind.STOP: self.stop,
            FaultKind.KILL: self.kill,
            FaultKind.KILL_ALL: self.kill_all,
            FaultKind.PAUSE: self.pause,
            FaultKind.HANG_UP: self.reload,
            FaultKind.STORE_SLOW: self.slow_store,
            FaultKind.STORE_LAPSE: self.expire_entries,
            FaultKind.STORE_COMPACT: self.compact,
            FaultKind.STORE_RESTORED: self.restore_store,
            FaultKind.PACKETS_LOST: partial(
                self.inject_packet_fault, name='lost'
            ),
            FaultKind.PACKETS_DOUBLED: partial(
                self.inject_packet_fault, name='doubled'
            ),
            FaultKind.UPSTREAM_DARK: self.changes.fail_upstream,
            FaultKind.UPSTREAM_REUSED: self.changes.reuse_address,
            FaultKind.MANIFEST: self.changes.toggle_route,
            FaultKind.STORM: self.changes.write_manifests,
            FaultKind.DOMAIN_OUT: self.changes.take_out,
            FaultKind.RELEASE: self.changes.release,
            FaultKind.FOREIGN_ENTRY: self.foreign_writer.write,
            FaultKind.FLOWS_MOVED: self.flow_mover.move,
        }
        return actions[kind]

    def node(self, fault: PlannedFault) -> SoakNode:
        """Return the target node of a fault."""
        return self.deployment.nodes[fault.target % len(self.deployment.nodes)]

    async def wait_until_ready(self) -> None:
        """Wait until all nodes are in rotation; else record a violation."""
        with trio.move_on_after(READY_SECONDS):
            await until(self.deployment.are_ready, STEP_SECONDS)
            return
        self.deployment.checker.record_violation(
            'a node is ready again', 'not after 20 s'
        )

    async def restart_node(
        self, node: SoakNode, number: signal.Signals
    ) -> None:
        """Stop a process by a signal and restart it."""
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

    async def stop(self, fault: PlannedFault) -> None:
        """Stop a node by SIGTERM."""
        await self.restart_node(self.node(fault), signal.SIGTERM)

    async def kill(self, fault: PlannedFault) -> None:
        """Stop a node by SIGKILL."""
        await self.restart_node(self.node(fault), signal.SIGKILL)

    async def kill_all(self, _: PlannedFault) -> None:
        """Kill every node at once."""
        async with trio.open_nursery() as nursery:
            for node in self.deployment.nodes:
                nursery.start_soon(self.restart_node, node, signal.SIGKILL)

    async def pause(self, fault: PlannedFault) -> None:
        """Suspend a process with SIGSTOP, then continue it."""
        node = self.node(fault)
        if node.is_down:
            return
        node.process.signal(signal.SIGSTOP)
        await trio.sleep(fault.seconds)
        node.process.signal(signal.SIGCONT)

    async def reload(self, fault: PlannedFault) -> None:
        """Send SIGHUP, so that a process reloads its settings.

        Waits until the process handles the signal: during the start of the
        interpreter SIGHUP ends the process, which is not under test here.
        """
        node = self.node(fault)
        with trio.move_on_after(fault.seconds):
            await until(node.process.survives_hang_up, STEP_SECONDS)
            if not node.is_down:
                node.process.signal(signal.SIGHUP)

    async def inject_store_fault(self, fault: PlannedFault) -> None:
        """Let the store refuse every call, or leave it unanswered."""
        self.deployment.store.injected_fault = STORE[fault.kind]
        await trio.sleep(fault.seconds)
        self.deployment.store.injected_fault = StoreFault.NONE

    async def slow_store(self, fault: PlannedFault) -> None:
        """Delay the answers of the store."""
        self.deployment.store.delay_seconds = SLOW_SECONDS
        await trio.sleep(fault.seconds)
        self.deployment.store.delay_seconds = 0

    async def expire_entries(self, fault: PlannedFault) -> None:
        """Make the store unresponsive while the upstreams' entries expire."""
        self.deployment.store.injected_fault = StoreFault.SILENT
        await trio.sleep(fault.seconds)
        registered = [
            upstream
            for upstream in self.deployment.upstreams
            if UPSTREAMS + upstream.name in self.deployment.store.items
        ]
        for upstream in registered:
            self.deployment.deregister(upstream)
        self.deployment.store.injected_fault = StoreFault.NONE
        await trio.sleep(REREGISTER_SECONDS)
        for upstream in registered:
            self.reregister(upstream)

    def reregister(self, upstream: LabUpstream) -> None:
        """Write an entry again, unless its upstream has ended meanwhile."""
        expected = self.deployment.checker.expected
        if upstream.name in expected.ended:
            return
        leaving = upstream.name in expected.draining
        state = 'draining' if leaving else 'ready'
        write_entry(self.deployment.store.put, upstream, state)

    async def compact(self, _: PlannedFault) -> None:
        """Compact the store's history."""
        self.deployment.store.compact()

    async def restore_store(self, fault: PlannedFault) -> None:
        """Lose the changes of some seconds, and the store for a moment.

        Of several lost manifests only the last is written again, so that the
        store goes on with lower revisions than before.
        """
        self.deployment.drill = copy_for_restore(self.deployment)
        await self.changes.write_manifests(fault)
        await trio.sleep(fault.seconds)
        await self.deployment.drill.restore(RESTORE_AWAY_SECONDS)
        await trio.sleep(MAX_REWRITE_SECONDS)

    async def inject_link_fault(self, fault: PlannedFault) -> None:
        """Inject a fault into a node's connections to the store."""
        proxy = self.node(fault).proxy
        await proxy.set(LINKS[fault.kind])
        await trio.sleep(fault.seconds)
        # Dropped bytes are not sent again: those connections stay unresponsive.
        await proxy.set(LinkFault.NONE)

    async def inject_packet_fault(
        self, fault: PlannedFault, *, name: str
    ) -> None:
        """Drop or duplicate a third of a node's packets."""
        node = self.node(fault)
        setattr(node, name, 1 / 3)
        await trio.sleep(fault.seconds)
        setattr(node, name, 0)
