"""Entries of other writers, and flows that move while an upstream is busy."""

import json
import math
from typing import Final

import attrs
import trio

from burdocksill.platform.records import UPSTREAMS
from burdocksill_lab.packets.upstream import Condition, LabUpstream
from burdocksill_lab.packets.world import write_entry
from burdocksill_lab.soak.deployment import SoakDeployment
from burdocksill_lab.soak.plan import PlannedFault

FOREIGN_KEY: Final = f'{UPSTREAMS}helper-00000000ff'
LATER: Final = 2
# Fields of an entry with values that make it unusable; None leaves it out.
ODD_FIELDS: Final = (
    ('Slots', None),
    ('Slots', 10**320),
    ('Version', None),
    ('WarmupMs', -1),
    ('Seq', 'one'),
    ('State', 'leaving'),
    ('Service', 'unknown'),
    ('born', math.pi),
)
# Work of a request while an upstream has a queue.
BUSY_SECONDS: Final = 0.3
QUEUE_SECONDS: Final = 0.6
# After the first retransmission of a request in the queue.
MOVE_SECONDS: Final = 0.25


@attrs.define(kw_only=True)
class ForeignWriter:
    """Write entries as another program would."""

    deployment: SoakDeployment

    async def write(self, fault: PlannedFault) -> None:
        """Write an unusable entry for some time, in turn under two keys.

        Both have the address of a living upstream; one key is its own.
        """
        serving = self.deployment.serving()
        upstream = serving[fault.target % len(serving)]
        number, is_own = divmod(fault.target, 2)
        field, odd = ODD_FIELDS[number % len(ODD_FIELDS)]
        entry = {**upstream.entry('ready', born=LATER), field: odd}
        if odd is None:
            del entry[field]
        key = UPSTREAMS + upstream.name if is_own else FOREIGN_KEY
        self.deployment.store.put(key, json.dumps(entry).encode())
        await trio.sleep(fault.seconds)
        if not is_own:
            self.deployment.drill.remove(key)
        elif key in self.deployment.store.items:
            self.write_back(upstream)

    def write_back(self, upstream: LabUpstream) -> None:
        """Write the upstream's own entry again, unless it has ended."""
        expected = self.deployment.checker.expected
        if upstream.name not in expected.ended:
            is_leaving = upstream.name in expected.draining
            state = 'draining' if is_leaving else 'ready'
            write_entry(self.deployment.store.put, upstream, state)


@attrs.define(kw_only=True)
class FlowMover:
    """Take a machine away and back while upstreams have queues."""

    deployment: SoakDeployment

    async def move(self, fault: PlannedFault) -> None:
        """Change the routers' nodes twice, each time in a queue."""
        nodes = self.deployment.nodes
        node = nodes[fault.target % len(nodes)]
        serving = self.deployment.serving()
        upstream = serving[fault.target % len(serving)]
        for is_hidden in (True, False):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.keep_busy, upstream)
                await trio.sleep(MOVE_SECONDS)
                node.is_hidden = is_hidden
            await trio.sleep(fault.seconds)

    async def keep_busy(self, upstream: LabUpstream) -> None:
        """Let an upstream work long on each request for a moment."""
        usual = upstream.work_seconds
        if upstream.condition is Condition.HEALTHY and usual < BUSY_SECONDS:
            upstream.work_seconds = BUSY_SECONDS
            await trio.sleep(QUEUE_SECONDS)
            upstream.work_seconds = usual
