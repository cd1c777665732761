"""Run a node with one guard taken out, to see whether a soak notices."""

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


def forget_drain() -> None:
    """Give new flows to upstreams that leave."""
    original = upstreams.UpstreamRegistry.add_candidate

    def place(self: Any, known: Any) -> None:
        if known.record.state is UpstreamState.DRAINING:
            domains = self.by_service.setdefault(known.record.service, {})
            found = domains.setdefault(known.record.domain, {})
            found[known.record.name] = known
        original(self, known)

    upstreams.UpstreamRegistry.add_candidate = (  # type: ignore[method-assign]
        place
    )


def forget_domains() -> None:
    """Give new flows to domains that were taken out."""
    StateUpdater.apply_domain = lambda *_: None  # type: ignore[method-assign]


def trust_silence() -> None:
    """End flows of upstreams that this node does not know."""

    def reset(self: Any, packet: Any, _now: float) -> Any:
        return self.reset(packet, Reason.UNKNOWN_ECHO)

    forwarding.Forwarder.without_upstream = reset  # type: ignore[method-assign,assignment]


def count_backlog() -> None:
    """Take repeats that have waited in this node for silence."""
    flows.MIN_RETRANSMIT_SECONDS = -1  # type: ignore[misc]
    core.BEHIND_SECONDS = 1e9  # type: ignore[misc]


def change_packets() -> None:
    """Write into a field that belongs to the ends of a flow."""
    original = header.with_echo

    def with_echo(payload: bytes, echo: int) -> bytes:
        return original(payload, echo)[:-1] + b'\x90'

    forwarding.with_echo = with_echo  # type: ignore[attr-defined]


def forget_manifests() -> None:
    """Keep the first manifest for ever."""
    original = StateUpdater.apply_manifest

    def learn(self: Any, news: Any) -> None:
        if not self.table.version:
            original(self, news)

    StateUpdater.apply_manifest = learn  # type: ignore[method-assign]


GUARDS: Final[Mapping[str, Callable[[], None]]] = MappingProxyType(
    {
        'drain': forget_drain,
        'domains': forget_domains,
        'silence': trust_silence,
        'backlog': count_backlog,
        'packets': change_packets,
        'manifests': forget_manifests,
    },
)


def main() -> None:
    """Take out the guard that the first argument names, and run."""
    early = bind_early()
    GUARDS[sys.argv[1]]()
    from burdocksill.packets.main import main as run_node

    run_node(early)


if __name__ == '__main__':
    main()
