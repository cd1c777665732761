"""The metrics page of a node: counters, gauges and what answers took."""

import attrs

from burdocksill.observe.counters import Counters
from burdocksill.packets.core import PacketCore


@attrs.define(kw_only=True)
class MetricsPage:
    """Bring the counts of the packet path into the usual text format.

    The path itself counts in plain numbers: its start must not wait for the
    libraries that write them, which this page alone needs.
    """

    core: PacketCore
    counters: Counters = attrs.field(factory=Counters)
    shown: dict[str, int] = attrs.field(factory=dict)

    def render(self, now: float) -> str:
        """Write everything that is known now."""
        for reason, count in self.core.counts.items():
            more = count - self.shown.get(reason, 0)
            self.counters.add('packets', more, reason=reason)
            self.shown[reason] = count
        answers = self.core.forwarder.flows.answers
        while answers:
            service, seconds = answers.popleft()
            self.counters.record('answer', seconds, service=service)
        return self.counters.render() + self.gauges(now)

    def gauges(self, now: float) -> str:
        """Write what is so at this moment."""
        learner = self.core.learner
        known = learner.upstreams.by_name.values()
        found = {
            'manifest_version': learner.table.version,
            'store_revision': self.core.progress.revision,
            'store_age_seconds': round(self.core.progress.age(now), 3),
            'upstreams': len(known),
            'upstreams_aside': sum(one.health.is_aside(now) for one in known),
            'flows_seen': len(self.core.forwarder.flows.flows),
            'domains_out': len(learner.placer.out),
        }
        lines = [
            f'# TYPE burdocksill_{name} gauge\nburdocksill_{name} {value}'
            for name, value in found.items()
        ]
        return '\n'.join(lines) + '\n'
