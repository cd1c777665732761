"""What the store's calls look like, without making any."""

from __future__ import annotations

import base64
import binascii
import json
from collections.abc import Generator

from burdocksill.network.reply import HttpReply
from burdocksill.platform.exceptions import PlatformReplyError
from burdocksill.platform.values import Snapshot, StoredValue

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Any, Final


# What an item takes in an answer beside its key and its value.
ITEM_BYTES: Final = 90


def item_bytes(stored: StoredValue) -> int:
    """Return about how much of an answer an item takes."""
    encoded = len(stored.value) * 4 // 3
    return ITEM_BYTES + len(stored.key) + encoded


def quote(text: str) -> str:
    """Write text so that it may stand in a query.

    Every byte is written in hex: a start shouldn't wait for urllib.
    """
    return ''.join(f'%{byte:02X}' for byte in text.encode())


def key_target(key: str, *, stale: bool = False) -> str:
    """Return the target of a call that reads one key.

    A stale answer may be seconds old, and costs a tenth.
    """
    target = f'/-/kv-key?Key={quote(key)}'
    return f'{target}&AllowStale=1' if stale else target


def watch_target(prefix: str, after: int, wait_milliseconds: int) -> str:
    """Return the target of a call that waits for changes."""
    query = f'after={after}&WaitMs={wait_milliseconds}'
    return f'/-/kv-watch?Prefix={quote(prefix)}&{query}'


def range_target(prefix: str, after: str) -> str:
    """Return the target of a call that reads a page below a prefix.

    Here `after` is the last key of the page before; in a watch the same word
    is a revision.
    """
    query = f'Prefix={quote(prefix)}'
    if after:
        query = f'{query}&after={quote(after)}'
    return f'/-/kv-range?{query}'


def write_body(key: str, value: bytes, expected: int, lease: int) -> bytes:
    """Return the body of a call that writes one key under a condition."""
    row: dict[str, object] = {
        'Key': key,
        'Value': base64.b64encode(value).decode(),
    }
    if lease:
        row['Lease'] = lease
    wanted = {
        'Expect': [{'Key': key, 'Rev': expected}],
        'Puts': [row],
        'Delete': [],
    }
    return json.dumps(wanted).encode()


def range_pages(prefix: str) -> Generator[str, HttpReply, Snapshot]:
    """Yield the targets that read all values below a prefix, return these.

    Pages are read one after the other while the store may change, so the
    revision is that of the first: a watch from there repeats what changed
    meanwhile.
    """
    values: list[StoredValue] = []
    revision = 0
    last = ''
    while True:
        target = range_target(prefix, last)
        answer = decode_body(target, (yield target))
        page = decode_items(answer, 'items')
        values.extend(page)
        revision = revision or decode_revision(answer)
        if not answer.get('HasMore') or not page:
            return Snapshot(values=tuple(values), revision=revision)
        last = page[-1].key


def decode_watch(target: str, reply: HttpReply) -> Snapshot:
    """Read the changes that a watch answered with."""
    answer = decode_body(target, reply)
    return Snapshot(
        values=tuple(decode_items(answer, 'events')),
        revision=decode_revision(answer),
    )


def decode_items(answer: dict[str, Any], name: str) -> list[StoredValue]:
    """Read a list of items."""
    found = answer.get(name, [])
    if not isinstance(found, list):
        raise PlatformReplyError(
            message=f'{name} is {found!r}',
            hint='check that the address is that of the store',
        )
    return [decode_item(item) for item in found]


def decode_revision(answer: dict[str, Any]) -> int:
    """Return the store's revision at which a call was answered."""
    revision = answer.get('AsOf')
    if not isinstance(revision, int):
        raise PlatformReplyError(
            message=f'AsOf is {revision!r}',
            hint='check that the address is that of the store',
        )
    return revision


def decode_item(item: dict[str, Any]) -> StoredValue:
    """Read one item; a removed one has no value left."""
    try:
        return StoredValue(
            key=str(item['Key']),
            value=base64.b64decode(
                item.get('Value') or '',
                validate=True,
            ),
            revision=int(item.get('Rev', 0)),
            removed=bool(item.get('Removed')),
        )
    except (KeyError, TypeError, ValueError, binascii.Error) as error:
        raise PlatformReplyError(
            message=f'an item of the store cannot be read: {error!r}',
            hint='check that the address is that of the store',
        ) from error


def decode_body(target: str, reply: HttpReply) -> dict[str, Any]:
    """Read the JSON object of an answer."""
    try:
        answer = json.loads(reply.body)
    except ValueError as error:
        raise PlatformReplyError(
            message=f'{target} answered something that is not JSON',
            hint='check that the address is that of the store',
        ) from error
    if not isinstance(answer, dict):
        raise PlatformReplyError(
            message=f'{target} answered {type(answer).__name__}',
            hint='check that the address is that of the store',
        )
    return answer
