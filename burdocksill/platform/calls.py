"""Encoding and decoding of calls to the store, without I/O."""

from __future__ import annotations

import base64
import binascii
import json
from collections.abc import Generator

from burdocksill.network.reply import HttpReply
from burdocksill.platform.exceptions import PlatformReplyError
from burdocksill.platform.revisions import (
    MAX_NUMBER,
    era_of,
    join_revision,
    number_of,
)
from burdocksill.platform.values import Snapshot, StoredValue

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Any, Final


# Overhead of an item in an answer, beside its key and value.
ITEM_OVERHEAD_BYTES: Final = 90
# Header of all answers that counts how often the store was restored.
ERA_HEADER: Final = 'store-era'
# Longer ones do not fit into a revision.
MAX_ERA_DIGITS: Final = 4


def item_bytes(stored: StoredValue) -> int:
    """Return the approximate size of an item in an answer, in bytes."""
    encoded = len(stored.value) * 4 // 3
    return ITEM_OVERHEAD_BYTES + len(stored.key) + encoded


def quote(text: str) -> str:
    """Percent-encode text for a query.

    Every byte is encoded, because importing urllib would delay the start.
    """
    return ''.join(f'%{byte:02X}' for byte in text.encode())


def key_target(key: str, *, stale: bool = False) -> str:
    """Return the target of a call that reads one key.

    A stale answer may be seconds old, and costs the store a tenth.
    """
    target = f'/-/kv-key?Key={quote(key)}'
    return f'{target}&AllowStale=1' if stale else target


def watch_target(prefix: str, after: int, wait_milliseconds: int) -> str:
    """Return the target of a call that waits for changes."""
    query = f'after={number_of(after)}&WaitMs={wait_milliseconds}'
    return f'/-/kv-watch?Prefix={quote(prefix)}&{query}'


def range_target(prefix: str, after: str) -> str:
    """Return the target of a call that reads a page of a prefix.

    Here `after` is the last key of the previous page; in a watch the parameter
    of the same name is a revision.
    """
    query = f'Prefix={quote(prefix)}'
    if after:
        query = f'{query}&after={quote(after)}'
    return f'/-/kv-range?{query}'


def write_body(key: str, value: bytes, expected: int, lease: int) -> bytes:
    """Return the body of a conditional write of one key."""
    row: dict[str, object] = {
        'Key': key,
        'Value': base64.b64encode(value).decode(),
    }
    if lease:
        row['Lease'] = lease
    wanted = {
        'Expect': [{'Key': key, 'Rev': number_of(expected)}],
        'Puts': [row],
        'Delete': [],
    }
    return json.dumps(wanted).encode()


def range_pages(
    prefix: str, known_era: int = 0
) -> Generator[str, HttpReply, Snapshot]:
    """Yield the targets of all pages of a prefix; return a snapshot.

    The store may change between pages, so the snapshot has the revision of the
    first page: a watch from there delivers the changes since then again. If it
    is restored between two pages, the first one is read again.
    """
    values: list[StoredValue] = []
    revision = 0
    last = ''
    while True:
        target = range_target(prefix, last)
        reply = yield target
        era = read_era(reply, known_era)
        if revision and era != era_of(revision):
            values = []
            revision = 0
            last = ''
            continue
        answer = decode_body(target, reply)
        page = decode_items(answer, 'items', era)
        values.extend(page)
        revision = revision or decode_revision(answer, era)
        if not answer.get('HasMore') or not page:
            return Snapshot(values=tuple(values), revision=revision)
        last = page[-1].key


def read_era(reply: HttpReply, known_era: int = 0) -> int:
    """Return the era in an answer, the known one if missing or malformed."""
    text = reply.header(ERA_HEADER)
    is_valid = text.isdecimal() and len(text) <= MAX_ERA_DIGITS
    return int(text) if is_valid else known_era


def decode_watch(target: str, reply: HttpReply, known_era: int) -> Snapshot:
    """Decode the changes in a watch's answer."""
    answer = decode_body(target, reply)
    era = read_era(reply, known_era)
    return Snapshot(
        values=tuple(decode_items(answer, 'events', era)),
        revision=decode_revision(answer, era),
    )


def decode_items(
    answer: dict[str, Any], name: str, era: int
) -> list[StoredValue]:
    """Decode a list of items."""
    found = answer.get(name, [])
    if not isinstance(found, list):
        raise PlatformReplyError(
            message=f'{name} is not a list: {found!r}',
            hint='check the address of the store',
        )
    return [decode_item(item, era) for item in found]


def decode_revision(answer: dict[str, Any], era: int) -> int:
    """Return the revision of the store in an answer."""
    number = answer.get('AsOf')
    if not isinstance(number, int) or not 0 <= number <= MAX_NUMBER:
        raise PlatformReplyError(
            message=f'AsOf is not the number of a revision: {number!r}',
            hint='check the address of the store',
        )
    return join_revision(era, number)


def decode_item(item: dict[str, Any], era: int) -> StoredValue:
    """Decode one item; a removed one has an empty value."""
    try:
        return StoredValue(
            key=str(item['Key']),
            value=base64.b64decode(
                item.get('Value') or '',
                validate=True,
            ),
            revision=join_revision(era, int(item.get('Rev', 0))),
            removed=bool(item.get('Removed')),
        )
    except (KeyError, TypeError, ValueError, binascii.Error) as error:
        raise PlatformReplyError(
            message=f'an item of the store cannot be read: {error!r}',
            hint='check the address of the store',
        ) from error


def decode_body(target: str, reply: HttpReply) -> dict[str, Any]:
    """Decode the JSON object of an answer."""
    try:
        answer = json.loads(reply.body)
    except ValueError as error:
        raise PlatformReplyError(
            message=f'{target} did not answer with JSON',
            hint='check the address of the store',
        ) from error
    if not isinstance(answer, dict):
        raise PlatformReplyError(
            message=f'{target} answered no object: {type(answer).__name__}',
            hint='check the address of the store',
        )
    return answer
