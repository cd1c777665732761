"""The metrics page of a node: counters, gauges and answer times."""

import attrs

from burdocksill.observe.counters import Counters
from burdocksill.packets.core import PacketCore
from burdocksill.packets.load_table import LoadTable
from burdocksill.packets.supervision import failures
from burdocksill.packets.sync import StoreSync
from burdocksill.platform.revisions import era_of, number_of


@attrs.define(kw_only=True, eq=False, repr=False)
class MetricsPage:
    """Render the counts of the packet path in the Prometheus text format.

    The packet path itself counts in plain integers, so that its start does not
    wait for the metrics libraries, which only this page needs.
    """

    core: PacketCore
    store_sync: StoreSync
    counters: Counters = attrs.field(factory=Counters)
    last_counts: dict[tuple[str, str], int] = attrs.field(factory=dict)

    def render(self, now: float) -> str:
        """Return the page with the current values."""
        for reason, count in self.core.counts.items():
            increase = self.count_increase('packets', reason, count)
            self.counters.add('packets', increase, reason=reason)
        for status, count in self.store_sync.calls.items():
            increase = self.count_increase('store_calls', str(status), count)
            self.counters.add('store_calls', increase, status=str(status))
        self.count_store_answers()
        self.count_signs()
        self.count_spilled()
        for priority, count in self.core.forwarder.refused_for_load.items():
            increase = self.count_increase('refused', str(priority), count)
            self.counters.add(
                'refused_for_load', increase, priority=str(priority)
            )
        answers = self.core.forwarder.flows.answer_times
        while answers:
            service, seconds = answers.popleft()
            self.counters.record('answer', seconds, service=service)
        return self.counters.render() + self.gauges(now)

    def count_store_answers(self) -> None:
        """Count bytes received from the store and truncated answers."""
        count = self.store_sync.received_bytes
        increase = self.count_increase('store_received_bytes', '', count)
        self.counters.add('store_received_bytes', increase)
        count = self.store_sync.truncated
        increase = self.count_increase('store_answers_cut_short', '', count)
        self.counters.add('store_answers_cut_short', increase)

    def count_signs(self) -> None:
        """Count observations and loads of upstreams exchanged with peers."""
        for direction, count in self.store_sync.observations.items():
            increase = self.count_increase('signs', direction, count)
            self.counters.add('signs', increase, direction=direction)
        for direction, count in self.store_sync.load_rows.items():
            increase = self.count_increase('load_rows', direction, count)
            self.counters.add('load_rows', increase, direction=direction)
        self.count_silence()
        for part, count in failures.items():
            increase = self.count_increase('failed', part, count)
            self.counters.add('parts_failed', increase, part=part)

    def count_spilled(self) -> None:
        """Count new flows that left the own domain for lack of room."""
        spillover = self.core.updater.placer.spillover
        if spillover is None:
            return
        for (service, domain), count in spillover.placed.items():
            label = f'{service} {domain}'
            increase = self.count_increase('spilled', label, count)
            self.counters.add(
                'spilled', increase, service=service, domain=domain
            )

    def count_silence(self) -> None:
        """Count what nodes tell each other of silent upstreams."""
        for direction, count in self.store_sync.silence_reports.items():
            increase = self.count_increase('silence', direction, count)
            self.counters.add('silence_reports', increase, direction=direction)
        silence = self.core.silence
        if silence is None:
            return
        increase = self.count_increase('silent', '', silence.confirmed)
        self.counters.add('upstreams_silent', increase)
        increase = self.count_increase('denied', '', silence.denied)
        self.counters.add('silence_denied', increase)

    def count_increase(self, name: str, label: str, count: int) -> int:
        """Return the increase of a count since the last page."""
        before = self.last_counts.get((name, label), 0)
        self.last_counts[name, label] = count
        return count - before

    def gauges(self, now: float) -> str:
        """Return the gauges as text."""
        updater = self.core.updater
        known = updater.upstreams.by_name.values()
        found = {
            'manifest_version': updater.table.version,
            'store_revision': number_of(self.core.progress.revision),
            'store_era': era_of(self.core.progress.revision),
            'store_entries_deferred': len(updater.restore_policy.deferred),
            'store_age_seconds': round(self.core.progress.age(), 3),
            'upstreams': len(known),
            'upstreams_aside': sum(one.health.is_ejected(now) for one in known),
            'flows_seen': len(self.core.forwarder.flows.flows),
            'domains_out': len(updater.placer.domains_out),
            'domains_suspected': sum(
                1 for _ in updater.placer.outages.suspected_domains(now)
            ),
            'reads_for_domain': int(self.store_sync.is_reader),
            **self.load_gauges(now),
        }
        if updater.placer.outliers is not None:
            found['upstreams_outliers'] = updater.placer.outliers.count_ejected(
                now
            )
        node_counter = updater.placer.cold.node_counter
        if node_counter is not None:
            found['nodes_counted'] = node_counter.counted
        lines = [
            f'# TYPE burdocksill_{name} gauge\nburdocksill_{name} {value}'
            for name, value in found.items()
        ]
        return '\n'.join((*lines, *self.service_gauges())) + '\n'

    def load_gauges(self, now: float) -> dict[str, float]:
        """Return the gauges of the shared load while it is known."""
        view = self.core.updater.placer.load_view
        if not isinstance(view, LoadTable) or not view.is_current(now):
            return {}
        return {
            'shared_load_age_seconds': round(view.age(now), 3),
            'shared_load_nodes': view.node_count(now) or 0,
        }

    def service_gauges(self) -> list[str]:
        """Return the gauges of each service's load, one line each."""
        lines: list[str] = []
        spillover = self.core.updater.placer.spillover
        states = {} if spillover is None else spillover.services
        for name, limiter in self.core.updater.upstreams.limiters.items():
            found = {
                'requests_waiting': limiter.waiting,
                'slots': limiter.slots,
                'waiting_limit_per_slot': round(limiter.limit, 3),
                'usual_answer_seconds': round(limiter.baseline_seconds, 3),
            }
            state = states.get(name)
            if state is not None:
                found['spillover_fraction'] = round(state.fraction, 3)
                found['load_at_home'] = round(state.load, 3)
            lines.extend(
                f'burdocksill_{gauge}{{service="{name}"}} {value}'
                for gauge, value in found.items()
            )
        return lines
