"""Status report of a node for operators."""

from collections import Counter
from typing import Final

from burdocksill import VERSION
from burdocksill.admin.messages import (
    DomainStatus,
    MemberStatus,
    NodeStatus,
    OwnedStatus,
    RecordStatus,
    RefusalStatus,
    ServiceStatus,
    UpstreamState,
)
from burdocksill.documents.models import DomainState
from burdocksill.documents.store import DocumentStore
from burdocksill.entry.node import EntryNode
from burdocksill.observe.decisions import Decision, DecisionLog
from burdocksill.ownership.owned import OwnedUpstream
from burdocksill.platform import keys
from burdocksill.requests.verdict import Reason

REFUSAL_SECONDS: Final = 60.0


def node_status(node: EntryNode) -> NodeStatus:
    """Return a VM's status; parts of it are empty while the VM starts."""
    settings = node.settings
    ring = node.keys.ring
    serving = node.serving.is_set()
    return NodeStatus(
        name=settings.name,
        domain=settings.domain,
        version=VERSION,
        serving=serving,
        quorate=node.membership.quorate(),
        admin_port=settings.admin.port,
        platform_answers=node.fleet.platform_watcher.reachable,
        key_id=ring.current if ring else None,
        members=member_lines(node),
        owned=owned_lines(node) if serving else (),
        records=tuple(
            RecordStatus(key=record.key, revision=record.revision)
            for record in node.store.records.values()
            # Written by the watchers rather than by operators.
            if record.key != keys.DEPARTURES
        ),
        services=service_lines(node.store),
        domains_out=domain_lines(node.store),
        refusals=refusal_lines(node.router.decisions) if serving else (),
    )


def member_lines(node: EntryNode) -> tuple[MemberStatus, ...]:
    """Return the members that this VM knows, ordered by domain and name."""
    members = sorted(
        (entry.member for entry in node.membership.table.entries.values()),
        key=lambda member: (member.domain, member.name),
    )
    return tuple(
        MemberStatus(
            name=member.name,
            domain=member.domain,
            state=member.state.value,
            host=member.peer_address.host,
        )
        for member in members
    )


def owned_lines(node: EntryNode) -> tuple[OwnedStatus, ...]:
    """Return the upstreams that this VM owns, ordered by name."""
    lines = [
        owned_line(owned, node.store) for owned in node.owners.owned.values()
    ]
    return tuple(sorted(lines, key=lambda line: (line.service, line.upstream)))


def owned_line(owned: OwnedUpstream, store: DocumentStore) -> OwnedStatus:
    """Return the state of one owned upstream."""
    upstream = owned.upstream
    current = owned.epochs.current
    return OwnedStatus(
        service=owned.document.service,
        upstream=upstream.name,
        domain=upstream.domain,
        address=str(upstream.address),
        epoch=current.epoch.hex() if current else '',
        tenure=owned.state.value,
        state=upstream_state(owned, store),
        busy=owned.in_flight.running,
        limit=owned.admission.limiter.limit,
        slots=upstream.slots,
    )


def upstream_state(
    owned: OwnedUpstream,
    store: DocumentStore,
) -> UpstreamState:
    """Return the state that best explains whether an upstream gets work."""
    if store.is_out(owned.upstream.domain):
        return UpstreamState.DOMAIN_OUT
    if owned.admission.leaving(owned.upstream):
        return UpstreamState.LEAVING
    if not owned.client.connected:
        return UpstreamState.UNREACHABLE
    if owned.admission.limiter.paused:
        return UpstreamState.PAUSED
    if owned.admission.limiter.cold:
        return UpstreamState.COLD
    return UpstreamState.CONNECTED


def service_lines(store: DocumentStore) -> tuple[ServiceStatus, ...]:
    """Return the services with a document in force, ordered by name."""
    return tuple(
        ServiceStatus(
            service=name,
            team=document.team,
            upstreams=tuple(upstream.name for upstream in document.upstreams),
            revision=revision_of(store, keys.document_key(name)),
        )
        for name, document in sorted(store.services.items())
    )


def domain_lines(store: DocumentStore) -> tuple[DomainStatus, ...]:
    """Return the failure domains that are out, ordered by name."""
    return tuple(
        DomainStatus(
            domain=name,
            reason=record.reason,
            revision=revision_of(store, keys.domain_key(name)),
        )
        for name, record in sorted(store.domains.items())
        if record.state is DomainState.OUT
    )


def revision_of(store: DocumentStore, key: str) -> int:
    """Return the revision of a record in force, 0 for none."""
    record = store.records.get(key)
    return record.revision if record else 0


def refusal_lines(decisions: DecisionLog) -> tuple[RefusalStatus, ...]:
    """Count the refusals of the last minute, the most frequent first.

    Requests without a cookie are left out: every new flow is refused once for
    that reason, by design.
    """
    earliest = decisions.clock.now() - REFUSAL_SECONDS
    counted = Counter(
        refusal_key(decision)
        for decision in decisions.refused_since(earliest)
        if decision.reason != Reason.COOKIE_NEEDED.value
    )
    return tuple(
        RefusalStatus(
            service=service,
            verdict=verdict,
            reason=reason,
            count=count,
        )
        for (service, verdict, reason), count in counted.most_common()
    )


def refusal_key(decision: Decision) -> tuple[str, str, str]:
    """Return the key by which refusals are counted."""
    return decision.service, decision.verdict, decision.reason
