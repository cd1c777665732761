"""Client of the platform's key-value service (etcd v3 JSON gateway)."""

import base64
import json
import logging
from collections.abc import AsyncGenerator, Iterable, Iterator
from typing import Any, Final

import attrs
import httpx

from burdocksill.platform import keys
from burdocksill.platform.exceptions import (
    PlatformCompactedError,
    PlatformReplyError,
    PlatformUnavailableError,
)
from burdocksill.platform.protocols import SwapResult, VmRecord
from burdocksill.platform.values import Snapshot, StoredValue
from burdocksill.platform.vms import decode_vms

CALL_TIMEOUT_SECONDS: Final = 2.0
# A watch receives nothing while nothing changes; it is renewed after this time,
# so that a dead connection is noticed.
WATCH_IDLE_TIMEOUT_SECONDS: Final = 30.0
MAX_LOGGED_BYTES: Final = 200

logger = logging.getLogger(__name__)


def encode_text(text: str) -> str:
    """Encode text in base64, as the gateway requires."""
    return base64.b64encode(text.encode()).decode()


def range_end(prefix: str) -> str:
    """Return the base64 end of the range of keys with a prefix."""
    last = prefix.encode()
    return base64.b64encode(last[:-1] + bytes([last[-1] + 1])).decode()


def decode_pair(pair: dict[str, Any]) -> StoredValue | None:
    """Decode a key-value pair of the gateway's JSON.

    Return None for a key that isn't text: nothing here has written it.
    """
    try:
        key = base64.b64decode(pair['key'])
        encoded = base64.b64decode(pair.get('value', ''))
        revision = int(pair.get('mod_revision', 0))
    except (KeyError, TypeError, ValueError) as error:
        raise PlatformReplyError(
            message=f'a pair of the platform cannot be read: {error!r}',
            hint='check the endpoint of the platform service',
        ) from error
    try:
        name = key.decode()
    except UnicodeDecodeError:
        logger.warning(
            'key unreadable', extra={'key': repr(key[:MAX_LOGGED_BYTES])}
        )
        return None
    return StoredValue(key=name, value=encoded, revision=revision)


def decode_pairs(pairs: Iterable[dict[str, Any]]) -> Iterator[StoredValue]:
    """Yield the pairs whose keys are text."""
    decoded = (decode_pair(pair) for pair in pairs)
    return (stored for stored in decoded if stored is not None)


@attrs.define(kw_only=True)
class EtcdPlatform:
    """Client of the gateway over HTTP; one instance for each process."""

    endpoint: str
    client: httpx.AsyncClient = attrs.field()

    @client.default
    def make_client(self) -> httpx.AsyncClient:
        """Return an HTTP client with time-outs."""
        return httpx.AsyncClient(
            base_url=self.endpoint,
            timeout=CALL_TIMEOUT_SECONDS,
            trust_env=False,
        )

    async def call(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """Make one call and return its JSON answer."""
        try:
            reply = await self.client.post(path, json=body)
        except httpx.HTTPError as error:
            raise PlatformUnavailableError(
                message=f'{self.endpoint}{path} did not answer: {error!r}',
                hint='the platform may be down; the state in force is kept',
            ) from error
        if reply.status_code != httpx.codes.OK:
            raise PlatformUnavailableError(
                message=f'{self.endpoint}{path} answered {reply.status_code}',
                hint='try again; after a write, read the key first',
            )
        try:
            answer: dict[str, Any] = reply.json()
        except ValueError as error:
            raise PlatformReplyError(
                message=f'{path} did not answer with JSON',
                hint='check the endpoint of the platform service',
            ) from error
        return answer

    async def read(self, key: str) -> StoredValue | None:
        """Return one value, or None when the key is absent."""
        answer = await self.call('/v3/kv/range', {'key': encode_text(key)})
        pairs = answer.get('kvs', [])
        return next(decode_pairs(pairs), None)

    async def read_prefix(self, prefix: str) -> Snapshot:
        """Return all values with a prefix, at one revision."""
        answer = await self.call(
            '/v3/kv/range',
            {'key': encode_text(prefix), 'range_end': range_end(prefix)},
        )
        pairs = answer.get('kvs', [])
        return Snapshot(
            values=tuple(decode_pairs(pairs)),
            revision=int(answer['header']['revision']),
        )

    async def compare_and_swap(
        self,
        *,
        key: str,
        value: bytes,
        expected_revision: int,
    ) -> SwapResult:
        """Write if the key still has the expected revision (0: absent)."""
        name = encode_text(key)
        compare = {
            'key': name,
            'target': 'MOD',
            'result': 'EQUAL',
            'mod_revision': str(expected_revision),
        }
        put = {'key': name, 'value': base64.b64encode(value).decode()}
        answer = await self.call(
            '/v3/kv/txn',
            {
                'compare': [compare],
                'success': [{'request_put': put}],
                'failure': [{'request_range': {'key': name}}],
            },
        )
        revision = int(answer['header']['revision'])
        if answer.get('succeeded'):
            written = StoredValue(key=key, value=value, revision=revision)
            return SwapResult(
                accepted=True,
                revision=revision,
                current=written,
            )
        found = answer['responses'][0]['response_range'].get('kvs', [])
        current = next(decode_pairs(found), None)
        return SwapResult(accepted=False, revision=revision, current=current)

    async def watch(
        self,
        *,
        prefix: str,
        from_revision: int,
    ) -> AsyncGenerator[StoredValue, None]:
        """Yield changes of keys with a prefix, oldest first."""
        create = {
            'key': encode_text(prefix),
            'range_end': range_end(prefix),
            'start_revision': str(from_revision),
        }
        stream = self.client.stream(
            'POST',
            '/v3/watch',
            json={'create_request': create},
            timeout=httpx.Timeout(
                CALL_TIMEOUT_SECONDS,
                read=WATCH_IDLE_TIMEOUT_SECONDS,
            ),
        )
        try:
            async with stream as reply:
                async for line in reply.aiter_lines():
                    for change in decode_events(line):
                        yield change
        except httpx.HTTPError as error:
            raise PlatformUnavailableError(
                message=f'the watch of {prefix} ended: {error!r}',
                hint='the watch is opened again',
            ) from error

    async def list_vms(self) -> tuple[VmRecord, ...]:
        """Return the live and leaving VMs; the list lags behind."""
        snapshot = await self.read_prefix(keys.VMS)
        return tuple(decode_vms(snapshot.values))


def decode_events(line: str) -> list[StoredValue]:
    """Decode the events in one line of a watch's answer."""
    if not line.strip():
        return []
    try:
        answer = json.loads(line).get('result', {})
    except (AttributeError, ValueError) as error:
        raise PlatformReplyError(
            message=f'a line of a watch cannot be read: {error!r}',
            hint='check the endpoint of the platform service',
        ) from error
    if answer.get('canceled'):
        # The gateway keeps the stream open after this without sending events:
        # without an error, the watch would miss every change.
        raise PlatformCompactedError(
            revision=int(answer.get('compact_revision', 0)),
        )
    return list(decode_pairs(event['kv'] for event in answer.get('events', [])))
