"""Run the checks that the slices bring, in a fixed order."""

from collections.abc import Awaitable, Callable, Iterable, Mapping
from pathlib import Path
from typing import Protocol

import attrs

from burdocksill.admin.client import FleetStatus
from burdocksill.checks.messages import CheckMessage
from burdocksill.platform.protocols import Platform


@attrs.frozen(kw_only=True)
class CheckContext:
    """Hold what the checks may look at."""

    settings: Mapping[str, str | None]
    documents: tuple[Path, ...] = ()
    platform: Platform | None = None
    ask_fleet: Callable[[], Awaitable[FleetStatus]] | None = None


class Check(Protocol):
    """Look at one matter and say what was found."""

    async def __call__(self, context: CheckContext) -> list[CheckMessage]:
        """Return messages, none when there is nothing to say."""


@attrs.frozen(kw_only=True)
class RegisteredCheck:
    """Hold a check under the tag by which it is chosen."""

    tag: str
    check: Check


async def run_checks(
    registered: Iterable[RegisteredCheck],
    context: CheckContext,
    *,
    tags: tuple[str, ...] = (),
) -> list[CheckMessage]:
    """Run the checks with the tags, all of them when no tag is given."""
    messages: list[CheckMessage] = []
    for entry in registered:
        if not tags or entry.tag in tags:
            messages.extend(await entry.check(context))
    return messages
