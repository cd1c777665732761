"""Waiting until a record is in force on every VM."""

from typing import Final

import attrs
import trio

from burdocksill.management.target import Target

POLL_SECONDS: Final = 0.2


@attrs.frozen(kw_only=True)
class InForce:
    """Hold on which VMs a record is in force, at a revision or a later one."""

    key: str
    revision: int
    on: tuple[str, ...] = ()
    not_on: tuple[str, ...] = ()


async def check_in_force(target: Target, key: str, revision: int) -> InForce:
    """Query every VM once; one that does not answer counts as "not on"."""
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
    """Poll until a record is in force on every VM or the time has passed."""
    deadline = trio.current_time() + seconds
    while True:
        in_force = await check_in_force(target, key, revision)
        if not in_force.not_on or trio.current_time() >= deadline:
            return in_force
        await trio.sleep(POLL_SECONDS)
