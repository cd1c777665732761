"""Registration and execution of system checks."""

from collections.abc import Awaitable, Callable, Iterable, Mapping
from pathlib import Path
from typing import Protocol

import attrs

from burdocksill.admin.client import FleetStatus
from burdocksill.checks.messages import CheckMessage
from burdocksill.platform.protocols import Platform


@attrs.frozen(kw_only=True)
class CheckContext:
    """The settings, documents and connections that checks examine."""

    settings: Mapping[str, str | None]
    documents: tuple[Path, ...] = ()
    platform: Platform | None = None
    ask_fleet: Callable[[], Awaitable[FleetStatus]] | None = None


class Check(Protocol):
    """A system check."""

    async def __call__(self, context: CheckContext) -> list[CheckMessage]:
        """Return the findings, empty if there are none."""


@attrs.frozen(kw_only=True)
class RegisteredCheck:
    """A check and the tag by which it is selected."""

    tag: str
    check: Check


async def run_checks(
    registered: Iterable[RegisteredCheck],
    context: CheckContext,
    *,
    tags: tuple[str, ...] = (),
) -> list[CheckMessage]:
    """Run the checks with some tags, or all checks without tags."""
    messages: list[CheckMessage] = []
    for entry in registered:
        if not tags or entry.tag in tags:
            messages.extend(await entry.check(context))
    return messages
