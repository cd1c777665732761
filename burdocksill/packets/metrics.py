"""The metrics page of a node: counters, gauges and what answers took."""

import attrs

from burdocksill.observe.counters import Counters
from burdocksill.packets.core import PacketCore
from burdocksill.packets.sync import StoreSync


@attrs.define(kw_only=True, eq=False, repr=False)
class MetricsPage:
    """Bring the counts of the packet path into the usual text format.

    The path itself counts in plain numbers: its start must not wait for the
    libraries that write them, which this page alone needs.
    """

    core: PacketCore
    store_sync: StoreSync
    counters: Counters = attrs.field(factory=Counters)
    shown: dict[tuple[str, str], int] = attrs.field(factory=dict)

    def render(self, now: float) -> str:
        """Write everything that is known now."""
        for reason, count in self.core.counts.items():
            more = self.since_shown('packets', reason, count)
            self.counters.add('packets', more, reason=reason)
        for status, count in self.store_sync.calls.items():
            more = self.since_shown('store_calls', str(status), count)
            self.counters.add('store_calls', more, status=str(status))
        self.count_answers()
        self.count_signs()
        for priority, count in self.core.forwarder.refused_for_load.items():
            more = self.since_shown('refused', str(priority), count)
            self.counters.add('refused_for_load', more, priority=str(priority))
        answers = self.core.forwarder.flows.answers
        while answers:
            service, seconds = answers.popleft()
            self.counters.record('answer', seconds, service=service)
        return self.counters.render() + self.gauges(now)

    def count_answers(self) -> None:
        """Count what the store has sent, and what was given up of it."""
        count = self.store_sync.received_bytes
        more = self.since_shown('store_received_bytes', '', count)
        self.counters.add('store_received_bytes', more)
        count = self.store_sync.truncated
        more = self.since_shown('store_answers_cut_short', '', count)
        self.counters.add('store_answers_cut_short', more)

    def count_signs(self) -> None:
        """Count what nodes tell each other of upstreams."""
        for direction, count in self.store_sync.observations.items():
            more = self.since_shown('signs', direction, count)
            self.counters.add('signs', more, direction=direction)

    def since_shown(self, name: str, label: str, count: int) -> int:
        """Return by how much a count grew since the last page."""
        before = self.shown.get((name, label), 0)
        self.shown[name, label] = count
        return count - before

    def gauges(self, now: float) -> str:
        """Write what is so at this moment."""
        updater = self.core.updater
        known = updater.upstreams.by_name.values()
        found = {
            'manifest_version': updater.table.version,
            'store_revision': self.core.progress.revision,
            'store_age_seconds': round(self.core.progress.age(), 3),
            'upstreams': len(known),
            'upstreams_aside': sum(one.health.is_ejected(now) for one in known),
            'flows_seen': len(self.core.forwarder.flows.flows),
            'domains_out': len(updater.placer.domains_out),
            'domains_suspected': sum(
                1 for _ in updater.placer.outages.suspected_domains(now)
            ),
            'reads_for_domain': int(self.store_sync.is_reader),
        }
        lines = [
            f'# TYPE burdocksill_{name} gauge\nburdocksill_{name} {value}'
            for name, value in found.items()
        ]
        return '\n'.join((*lines, *self.loads())) + '\n'

    def loads(self) -> list[str]:
        """Write what this node sees in progress on each service."""
        lines: list[str] = []
        for name, limiter in self.core.updater.upstreams.limiters.items():
            found = {
                'requests_waiting': limiter.waiting,
                'slots': limiter.slots,
                'waiting_limit_per_slot': round(limiter.limit, 3),
                'usual_answer_seconds': round(limiter.baseline_seconds, 3),
            }
            lines.extend(
                f'burdocksill_{gauge}{{service="{name}"}} {value}'
                for gauge, value in found.items()
            )
        return lines
