"""Write what the fleet knows as one screen for a tired reader.

What needs a hand comes first in each part; a part without news is one line.
"""

from collections.abc import Iterable, Iterator
from typing import Final

import attrs

from burdocksill.admin.client import FleetStatus
from burdocksill.admin.messages import NodeStatus, OwnedStatus, UpstreamState
from burdocksill.membership.protocols import MemberState
from burdocksill.ownership.owned import OwnershipState
from burdocksill.platform.keys import PREFIX

IN_ORDER: Final = 'none'
GOOD: Final = 'ok'
# Lines without news that each part shows, so that it stays one screen.
GOOD_SHOWN: Final = 24
# A cold upstream serves; its limit on the line says how much.
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
    """Show the VMs, those that do not answer first."""
    total = len(fleet.nodes) + len(fleet.silent)
    yield f'ENTRY VMS  {len(fleet.nodes)} of {total} answer'
    for name in fleet.silent:
        yield f'  !! {name} does not answer'
    for name in sorted(dead_names(fleet.nodes)):
        yield f'  -- {name} is believed dead'
    yield from shortened(
        f'{vm_mark(node)} {node.name} in {node.domain}: {vm_text(node)}'
        for node in fleet.nodes
    )


def shortened(lines: Iterable[str]) -> Iterator[str]:
    """Yield every line that needs a look, and some of those that do not."""
    marked = sorted(lines, key=lambda line: line.startswith(GOOD))
    good = [line for line in marked if line.startswith(GOOD)]
    shown = len(marked) - max(0, len(good) - GOOD_SHOWN)
    for line in marked[:shown]:
        yield f'  {line}'
    if shown < len(marked):
        yield f'  {GOOD} and {len(marked) - shown} more'


def dead_names(nodes: Iterable[NodeStatus]) -> set[str]:
    """Return the members that some VM believes dead and none alive."""
    told = [member for node in nodes for member in node.members]
    dead = {line.name for line in told if line.state == MemberState.DEAD.value}
    return dead - {
        line.name for line in told if line.state != MemberState.DEAD.value
    }


def vm_mark(node: NodeStatus) -> str:
    """Mark a VM that needs a look."""
    healthy = node.serving and node.quorate and node.key_id is not None
    return 'ok' if healthy else '!!'


def vm_text(node: NodeStatus) -> str:
    """Say what a VM does."""
    if not node.serving:
        return 'not serving: it has learned no documents and keys yet'
    seen = sum(
        member.state != MemberState.DEAD.value for member in node.members
    )
    parts = [f'owns {len(node.owned)}', f'sees {seen} VMs']
    if not node.quorate:
        parts.append('hears no majority of its domain')
    if not node.platform_answers:
        parts.append('gets no answer from the platform')
    if node.key_id is None:
        parts.append('has no fleet keys')
    return ', '.join(parts)


def domain_lines(nodes: Iterable[NodeStatus]) -> Iterator[str]:
    """Show the failure domains that are out, and who does not know it."""
    out = {
        record.domain: record for node in nodes for record in node.domains_out
    }
    yield f'FAILURE DOMAINS OUT  {len(out) or IN_ORDER}'
    for name, record in sorted(out.items()):
        unaware = [
            node.name
            for node in nodes
            if name not in {known.domain for known in node.domains_out}
        ]
        why = record.reason or 'no reason given'
        late = f'; NOT known on {", ".join(unaware)}' if unaware else ''
        yield f'  -- {name}: {why}{late}'


def document_lines(nodes: tuple[NodeStatus, ...]) -> Iterator[str]:
    """Show the records in force and where they are not yet."""
    newest = newest_revisions(nodes)
    late = list(lagging(nodes, newest))
    behind = {record.key for record in late}
    yield f'RECORDS  {len(newest)} in force, {len(late)} not everywhere'
    for record in late:
        yield (
            f'  !! {short(record.key)} revision {record.revision} not yet on '
            f'{", ".join(record.behind)}'
        )
    fine: list[str] = []
    for key, revision in sorted(newest.items()):
        if key not in behind:
            fine.append(f'{GOOD} {short(key)} revision {revision}')
    yield from shortened(fine)


def short(key: str) -> str:
    """Return a record's key as operators say it."""
    return key.removeprefix(PREFIX)


def newest_revisions(nodes: Iterable[NodeStatus]) -> dict[str, int]:
    """Return the highest revision of each record that any VM has."""
    newest: dict[str, int] = {}
    for node in nodes:
        for record in node.records:
            known = newest.get(record.key, 0)
            newest[record.key] = max(known, record.revision)
    return newest


def lagging(
    nodes: Iterable[NodeStatus],
    newest: dict[str, int],
) -> Iterator[LaggingRecord]:
    """Return the records that some VM has only in an older revision."""
    for key, revision in sorted(newest.items()):
        behind = tuple(
            node.name for node in nodes if node.revision(key) < revision
        )
        if behind:
            yield LaggingRecord(key=key, revision=revision, behind=behind)


def upstream_lines(nodes: tuple[NodeStatus, ...]) -> Iterator[str]:
    """Show every upstream with its owner, those in trouble first."""
    owners = [(line, node.name) for node in nodes for line in node.owned]
    owners.sort(key=lambda pair: (pair[0].service, pair[0].upstream))
    yield f'UPSTREAMS  {len(owners)} owned'
    yield from shortened(
        f'{upstream_text(line)}, owner {owner}' for line, owner in owners
    )
    for missing in unowned(nodes):
        yield f'  !! {missing} has no owner that answers'


def upstream_text(line: OwnedStatus) -> str:
    """Say what an owner knows of its upstream."""
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
    """Return the upstreams that no VM that answered owns."""
    owned = {
        f'{line.service}/{line.upstream}'
        for node in nodes
        for line in node.owned
    }
    services = {
        service.service: service for node in nodes for service in node.services
    }
    named = {
        f'{name}/{upstream}'
        for name, service in services.items()
        for upstream in service.upstreams
    }
    return sorted(named - owned)


def refusal_lines(nodes: Iterable[NodeStatus]) -> Iterator[str]:
    """Show what was refused in the last minute, where and why."""
    refusals = [(line, node.name) for node in nodes for line in node.refusals]
    total = sum(line.count for line, _ in refusals)
    yield f'REFUSED IN THE LAST MINUTE  {total or IN_ORDER}'
    refusals.sort(key=lambda pair: pair[0].count, reverse=True)
    for line, name in refusals:
        service = line.service or 'unknown service'
        yield (
            f'  {line.count:5} {service}: {line.reason} ({line.verdict}) '
            f'on {name}'
        )
