"""Run a node without one safeguard, to test that a soak detects it."""

import sys
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, Final

from burdocksill.packets import core, flows, header, upstreams
from burdocksill.packets import forwarder as forwarding
from burdocksill.packets.messages import UpstreamState
from burdocksill.packets.updater import StateUpdater
from burdocksill.packets.verdicts import Reason
from burdocksill.platform.early import bind_early


def ignore_draining() -> None:
    """Place new flows on draining upstreams."""
    original = upstreams.UpstreamRegistry.add_candidate

    def place(self: Any, upstream: Any) -> None:
        if upstream.record.state is UpstreamState.DRAINING:
            domains = self.by_service.setdefault(upstream.record.service, {})
            candidates = domains.setdefault(upstream.record.domain, {})
            candidates[upstream.record.name] = upstream
        original(self, upstream)

    upstreams.UpstreamRegistry.add_candidate = (  # type: ignore[method-assign]
        place
    )


def ignore_domains() -> None:
    """Place new flows in domains that are out of service."""
    StateUpdater.apply_domain = lambda *_: None  # type: ignore[method-assign]


def reset_unknown_flows() -> None:
    """Reset flows of upstreams that this node does not know."""

    def reset(self: Any, packet: Any, _now: float) -> Any:
        return self.reset(packet, Reason.UNKNOWN_ECHO)

    forwarding.Forwarder.reject_unknown_echo = reset  # type: ignore[method-assign,assignment]


def count_backlogged_packets() -> None:
    """Count retransmissions that waited in this node as unanswered."""
    flows.MIN_RETRANSMIT_SECONDS = -1  # type: ignore[misc]
    core.BACKLOG_SECONDS = 1e9  # type: ignore[misc]


def corrupt_packets() -> None:
    """Overwrite a header field that only the ends of a flow may change."""
    original = header.with_echo

    def with_echo(payload: bytes, echo: int) -> bytes:
        return original(payload, echo)[:-1] + b'\x90'

    forwarding.with_echo = with_echo  # type: ignore[attr-defined]


def ignore_new_manifests() -> None:
    """Ignore every manifest after the first."""
    original = StateUpdater.apply_manifest

    def apply_first(self: Any, update: Any) -> None:
        if not self.table.version:
            original(self, update)

    StateUpdater.apply_manifest = apply_first  # type: ignore[method-assign]


SAFEGUARDS: Final[Mapping[str, Callable[[], None]]] = MappingProxyType(
    {
        'drain': ignore_draining,
        'domains': ignore_domains,
        'silence': reset_unknown_flows,
        'backlog': count_backlogged_packets,
        'packets': corrupt_packets,
        'manifests': ignore_new_manifests,
    },
)


def main() -> None:
    """Disable the safeguard named by the first argument and run the node."""
    early = bind_early()
    SAFEGUARDS[sys.argv[1]]()
    from burdocksill.packets.main import main as run_node

    run_node(early)


if __name__ == '__main__':
    main()
