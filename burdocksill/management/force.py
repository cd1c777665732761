"""Wait until a record is in force on every VM, and name where it is not."""

from typing import Final

import attrs
import trio

from burdocksill.management.target import Target

POLL_SECONDS: Final = 0.2


@attrs.frozen(kw_only=True)
class InForce:
    """Hold where a record is in force at a revision or a later one."""

    key: str
    revision: int
    on: tuple[str, ...] = ()
    not_on: tuple[str, ...] = ()


async def look(target: Target, key: str, revision: int) -> InForce:
    """Ask every VM once; one that does not answer counts as "not on"."""
    fleet = await target.fleet()
    ahead = tuple(
        node.name for node in fleet.nodes if node.revision(key) >= revision
    )
    behind = tuple(
        node.name for node in fleet.nodes if node.revision(key) < revision
    )
    return InForce(
        key=key,
        revision=revision,
        on=ahead,
        not_on=(*behind, *fleet.silent),
    )


async def wait_in_force(
    target: Target,
    key: str,
    revision: int,
    *,
    seconds: float,
) -> InForce:
    """Ask until every VM has it in force or the time is over."""
    deadline = trio.current_time() + seconds
    while True:
        seen = await look(target, key, revision)
        if not seen.not_on or trio.current_time() >= deadline:
            return seen
        await trio.sleep(POLL_SECONDS)
