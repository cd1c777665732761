"""Log lines of what a node decided for packets."""

import logging

import attrs

from burdocksill.packets.header import flow_id
from burdocksill.packets.upstreams import KnownUpstream
from burdocksill.packets.verdicts import Reason

logger = logging.getLogger(__name__)


@attrs.define(kw_only=True, eq=False, repr=False)
class PacketDecisions:
    """Write a line for each decision that touches a flow."""

    def decided(
        self,
        flow: tuple[int, int, int, int],
        reason: Reason,
        upstream: KnownUpstream | None,
        repeat: int = 0,
    ) -> None:
        """Write down one decision with what decided it."""
        if not logger.isEnabledFor(logging.INFO):
            return
        fields: dict[str, object] = {'flow': flow_id(flow), 'repeat': repeat}
        if upstream is not None:
            fields['upstream'] = upstream.record.name
            fields['domain'] = upstream.record.domain
            fields['flows'] = upstream.flows
            fields['waiting'] = upstream.waiting
            fields['silent'] = len(upstream.health.silent)
            fields['answer_s'] = round(upstream.health.answer_seconds, 3)
        logger.info(reason.value, extra=fields)
