"""Text of `burdocksill status`: the state of the fleet on one screen.

Each part lists problems first; a part with nothing to report is one line.
"""

from collections.abc import Iterable, Iterator
from typing import Final

import attrs

from burdocksill.admin.client import FleetStatus
from burdocksill.admin.messages import NodeStatus, OwnedStatus, UpstreamState
from burdocksill.membership.protocols import MemberState
from burdocksill.ownership.owned import OwnershipState
from burdocksill.platform.keys import PREFIX

NONE: Final = 'none'
OK: Final = 'ok'
# Lines without a problem that each part shows, to fit one screen.
MAX_OK_LINES: Final = 24
# A cold upstream serves, up to the limit that its line shows.
HEALTHY: Final = frozenset((UpstreamState.CONNECTED, UpstreamState.COLD))


@attrs.frozen(kw_only=True)
class LaggingRecord:
    """Hold a record that is not in force at its highest revision."""

    key: str
    revision: int
    behind: tuple[str, ...]


def status_screen(fleet: FleetStatus) -> str:
    """Return the whole screen."""
    if not fleet.nodes:
        return f'no VM answered; asked: {", ".join(fleet.silent) or "nobody"}'
    parts = (
        vm_lines(fleet),
        domain_lines(fleet.nodes),
        document_lines(fleet.nodes),
        upstream_lines(fleet.nodes),
        refusal_lines(fleet.nodes),
    )
    return '\n'.join(line for part in parts for line in part)


def vm_lines(fleet: FleetStatus) -> Iterator[str]:
    """Yield the lines about VMs, those that do not answer first."""
    total = len(fleet.nodes) + len(fleet.silent)
    yield f'ENTRY VMS  {len(fleet.nodes)} of {total} answer'
    for name in fleet.silent:
        yield f'  !! {name} does not answer'
    for name in sorted(dead_names(fleet.nodes)):
        yield f'  -- {name} is believed dead'
    yield from limit_ok_lines(
        f'{vm_mark(node)} {node.name} in {node.domain}: {vm_text(node)}'
        for node in fleet.nodes
    )


def limit_ok_lines(lines: Iterable[str]) -> Iterator[str]:
    """Yield every line with a problem, then at most MAX_OK_LINES others."""
    ordered = sorted(lines, key=lambda line: line.startswith(OK))
    without_problem = [line for line in ordered if line.startswith(OK)]
    shown = len(ordered) - max(0, len(without_problem) - MAX_OK_LINES)
    for line in ordered[:shown]:
        yield f'  {line}'
    if shown < len(ordered):
        yield f'  {OK} and {len(ordered) - shown} more'


def dead_names(nodes: Iterable[NodeStatus]) -> set[str]:
    """Return the members that some VM considers dead and none alive."""
    statuses = [member for node in nodes for member in node.members]
    dead = {
        status.name
        for status in statuses
        if status.state == MemberState.DEAD.value
    }
    return dead - {
        status.name
        for status in statuses
        if status.state != MemberState.DEAD.value
    }


def vm_mark(node: NodeStatus) -> str:
    """Return the mark of a VM: "ok", or "!!" for a problem."""
    healthy = node.serving and node.quorate and node.key_id is not None
    return 'ok' if healthy else '!!'


def vm_text(node: NodeStatus) -> str:
    """Return the state of a VM as text."""
    if not node.serving:
        return 'not serving: it has learned no documents and keys yet'
    visible = sum(
        member.state != MemberState.DEAD.value for member in node.members
    )
    parts = [f'owns {len(node.owned)}', f'sees {visible} VMs']
    if not node.quorate:
        parts.append('hears no majority of its domain')
    if not node.platform_answers:
        parts.append('gets no answer from the platform')
    if node.key_id is None:
        parts.append('has no fleet keys')
    return ', '.join(parts)


def domain_lines(nodes: Iterable[NodeStatus]) -> Iterator[str]:
    """Yield the failure domains that are out, and VMs unaware of it."""
    out = {
        record.domain: record for node in nodes for record in node.domains_out
    }
    yield f'FAILURE DOMAINS OUT  {len(out) or NONE}'
    for name, record in sorted(out.items()):
        unaware = [
            node.name
            for node in nodes
            if name not in {each.domain for each in node.domains_out}
        ]
        why = record.reason or 'no reason given'
        missing = f'; NOT known on {", ".join(unaware)}' if unaware else ''
        yield f'  -- {name}: {why}{missing}'


def document_lines(nodes: tuple[NodeStatus, ...]) -> Iterator[str]:
    """Yield the records, first those that are not in force on every VM."""
    highest = highest_revisions(nodes)
    not_everywhere = list(lagging_records(nodes, highest))
    behind = {record.key for record in not_everywhere}
    yield (
        f'RECORDS  {len(highest)} in force, '
        f'{len(not_everywhere)} not everywhere'
    )
    for record in not_everywhere:
        yield (
            f'  !! {short_key(record.key)} revision {record.revision} '
            f'not yet on {", ".join(record.behind)}'
        )
    ok_lines: list[str] = []
    for key, revision in sorted(highest.items()):
        if key not in behind:
            ok_lines.append(f'{OK} {short_key(key)} revision {revision}')
    yield from limit_ok_lines(ok_lines)


def short_key(key: str) -> str:
    """Return a record's key without the common prefix."""
    return key.removeprefix(PREFIX)


def highest_revisions(nodes: Iterable[NodeStatus]) -> dict[str, int]:
    """Return the highest revision of each record that any VM has."""
    highest: dict[str, int] = {}
    for node in nodes:
        for record in node.records:
            previous = highest.get(record.key, 0)
            highest[record.key] = max(previous, record.revision)
    return highest


def lagging_records(
    nodes: Iterable[NodeStatus],
    highest: dict[str, int],
) -> Iterator[LaggingRecord]:
    """Yield the records of which some VM has an older revision."""
    for key, revision in sorted(highest.items()):
        behind = tuple(
            node.name for node in nodes if node.revision(key) < revision
        )
        if behind:
            yield LaggingRecord(key=key, revision=revision, behind=behind)


def upstream_lines(nodes: tuple[NodeStatus, ...]) -> Iterator[str]:
    """Yield every upstream with its owner, those with problems first."""
    owners = [(line, node.name) for node in nodes for line in node.owned]
    owners.sort(key=lambda pair: (pair[0].service, pair[0].upstream))
    yield f'UPSTREAMS  {len(owners)} owned'
    yield from limit_ok_lines(
        f'{upstream_text(line)}, owner {owner}' for line, owner in owners
    )
    for missing in unowned(nodes):
        yield f'  !! {missing} has no owner that answers'


def upstream_text(line: OwnedStatus) -> str:
    """Return an upstream's state as its owner reports it."""
    healthy = line.state in HEALTHY
    phase = (
        ''
        if line.tenure == OwnershipState.SERVING.value
        else f', {line.tenure}'
    )
    return (
        f'{"ok" if healthy else "!!"} {line.service}/{line.upstream} in '
        f'{line.domain}: {line.state.value}{phase}, '
        f'{line.busy} busy, limit {line.limit} of {line.slots}'
    )


def unowned(nodes: Iterable[NodeStatus]) -> list[str]:
    """Return the upstreams that none of the answering VMs owns."""
    owned = {
        f'{line.service}/{line.upstream}'
        for node in nodes
        for line in node.owned
    }
    services = {
        service.service: service for node in nodes for service in node.services
    }
    documented = {
        f'{name}/{upstream}'
        for name, service in services.items()
        for upstream in service.upstreams
    }
    return sorted(documented - owned)


def refusal_lines(nodes: Iterable[NodeStatus]) -> Iterator[str]:
    """Yield the refusals of the last minute by reason and VM."""
    refusals = [(line, node.name) for node in nodes for line in node.refusals]
    total = sum(line.count for line, _ in refusals)
    yield f'REFUSED IN THE LAST MINUTE  {total or NONE}'
    refusals.sort(key=lambda pair: pair[0].count, reverse=True)
    for line, name in refusals:
        service = line.service or 'unknown service'
        yield (
            f'  {line.count:5} {service}: {line.reason} ({line.verdict}) '
            f'on {name}'
        )
