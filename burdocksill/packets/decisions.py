"""Log lines of decisions on flows."""

from __future__ import annotations

from burdocksill.observe.early import EarlyLogger
from burdocksill.packets.header import flow_id
from burdocksill.packets.verdicts import Reason

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Mapping

    from burdocksill.packets.admission import ConcurrencyLimiter
    from burdocksill.packets.messages import Route
    from burdocksill.packets.upstreams import KnownUpstream

logger = EarlyLogger(__name__)


class PacketDecisions:
    """Log each decision that opens, moves or resets a flow."""

    def decided(
        self,
        flow: tuple[int, int, int, int],
        reason: Reason,
        upstream: KnownUpstream | None,
        repeat: int = 0,
    ) -> None:
        """Log a decision with the state of its upstream."""
        if not logger.is_enabled('INFO'):
            return
        fields: dict[str, object] = {'flow': flow_id(flow), 'repeat': repeat}
        if upstream is not None:
            fields['upstream'] = upstream.record.name
            fields['domain'] = upstream.record.domain
            fields['flows'] = upstream.flows
            fields['waiting'] = upstream.waiting
            fields['silent'] = len(upstream.health.unanswered_flows)
            fields['certain'] = sum(
                one.is_certain
                for one in upstream.health.unanswered_flows.values()
            )
            fields['answer_s'] = round(upstream.health.answer_seconds, 3)
        logger.info(reason.value, extra=fields)

    def overloaded(
        self,
        flow: tuple[int, int, int, int],
        route: Route,
        limiters: Mapping[str, ConcurrencyLimiter],
        repeat: int,
    ) -> None:
        """Log the refusal of an opening with the load of its services."""
        logger.info(
            Reason.OVERLOADED.value,
            extra={
                'flow': flow_id(flow),
                'repeat': repeat,
                'route': route.name,
                'priority': route.priority,
                'objective_s': route.objective_seconds,
                'services': {
                    name: limiter.log_fields()
                    for name, limiter in limiters.items()
                },
            },
        )
