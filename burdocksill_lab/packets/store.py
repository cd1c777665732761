"""Fake of the users' store that serves its published calls over HTTP."""

import base64
import enum
import json
from collections.abc import Callable
from typing import Any, Final
from urllib.parse import parse_qs, urlsplit

import attrs
import h11
import trio

from burdocksill.network.http import READ_BYTES, next_event
from burdocksill.network.reply import HttpReply

PAGE_ITEMS: Final = 500
OK: Final = 200
FORBIDDEN: Final = 403
NOT_FOUND: Final = 404
GONE: Final = 410
CONFLICT: Final = 412
TOO_MANY: Final = 429
UNAVAILABLE: Final = 503
MEDIA_TYPE: Final = 'application/json'
# Prefixes that only operators and upstreams may write; a call gets 403.
READ_ONLY_PREFIXES: Final = ('op/', 'servers/')
MILLISECONDS: Final = 1000
CHUNK_BYTES: Final = 16384
# Interval of the check for expired leases; they end at most this late.
LEASE_CHECK_SECONDS: Final = 0.05


class StoreFault(enum.Enum):
    """Fault that is injected into the store's answers."""

    NONE = 'none'
    BUSY = 'busy'
    MANY = 'many'
    RESET = 'reset'
    SILENT = 'silent'
    # Writes are applied, but their answers are never sent.
    LOST = 'lost'
    # The first half of each answer is sent, then nothing more.
    HALF = 'half'


@attrs.define(kw_only=True)
class Item:
    """One revision of a key; a removal has no value."""

    key: str
    value: bytes
    revision: int
    created: int
    lease: int = 0
    removed: bool = False

    def to_json(self) -> dict[str, Any]:
        """Return the item in the JSON form of the store's API."""
        if self.removed:
            return {'Key': self.key, 'Rev': self.revision, 'Removed': True}
        return {
            'Key': self.key,
            'Value': base64.b64encode(self.value).decode(),
            'Rev': self.revision,
            'CreateRev': self.created,
            'Lease': self.lease,
        }


@attrs.define(kw_only=True)
class Lease:
    """Lease with its time to live and its expiry time, in seconds."""

    seconds: float
    expires_at: float


@attrs.define(kw_only=True)
class LabStore:
    """In-memory key-value store with revisions, watches and leases."""

    revision: int = 10
    # Number of restores, sent with each answer from the first restore on.
    era: int = 0
    items: dict[str, Item] = attrs.field(factory=dict)
    history: list[Item] = attrs.field(factory=list)
    # Watches that start before this revision get 410.
    compacted: int = 0
    page_items: int = PAGE_ITEMS
    leases: dict[int, Lease] = attrs.field(factory=dict)
    leases_granted: int = 0
    # Client hosts whose connections are closed without an answer.
    rejected_hosts: set[str] = attrs.field(factory=set)
    injected_fault: StoreFault = StoreFault.NONE
    delay_seconds: float = 0
    connections: int = 0
    # Connections numbered up to this one get no more answers; newer ones do.
    unanswered_up_to: int = 0
    # Bandwidth of the store's link; 0 is unlimited.
    bytes_per_second: float = 0
    calls: list[str] = attrs.field(factory=list)
    changed: trio.Event = attrs.field(factory=trio.Event)

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write a key at the next revision."""
        self.revision += 1
        before = self.items.get(key)
        created = before.created if before else self.revision
        item = Item(
            key=key,
            value=value,
            revision=self.revision,
            created=created,
            lease=lease,
        )
        self.items[key] = item
        self.record_change(item)

    def remove(self, key: str) -> None:
        """Remove an existing key; KeyError if there is none."""
        before = self.items.pop(key)
        self.revision += 1
        self.record_change(
            Item(
                key=key,
                value=b'',
                revision=self.revision,
                created=before.created,
                removed=True,
            ),
        )

    def record_change(self, item: Item) -> None:
        """Append a change to the history and wake the watches."""
        self.history.append(item)
        waiting = self.changed
        self.changed = trio.Event()
        waiting.set()

    def compact(self) -> None:
        """Discard the history up to the current revision."""
        self.compacted = self.revision
        self.history.clear()

    async def run_leases(self) -> None:
        """Expire leases that are not renewed, until cancelled."""
        while True:
            await trio.sleep(LEASE_CHECK_SECONDS)
            now = trio.current_time()
            for number, lease in list(self.leases.items()):
                if lease.expires_at < now:
                    self.revoke_lease(number)

    def revoke_lease(self, number: int) -> bool:
        """Revoke a lease and remove its keys; False when there is none."""
        if self.leases.pop(number, None) is None:
            return False
        for key, item in list(self.items.items()):
            if item.lease == number:
                self.remove(key)
        return True

    async def serve(self, stream: trio.abc.Stream) -> None:
        """Answer the requests of one connection."""
        if host_of(stream) in self.rejected_hosts:
            await trio.aclose_forcefully(stream)
            return
        protocol = h11.Connection(h11.SERVER)
        self.connections += 1
        try:
            await self.serve_all(protocol, stream, self.connections)
        except (h11.ProtocolError, OSError, trio.BrokenResourceError):
            # The client disconnected; only its connection has to be closed.
            return
        finally:
            await trio.aclose_forcefully(stream)

    async def serve_all(
        self,
        protocol: h11.Connection,
        stream: trio.abc.Stream,
        number: int,
    ) -> None:
        """Answer requests in order until the connection ends."""
        while True:
            request = await next_event(protocol, stream)
            if not isinstance(request, h11.Request):
                return
            if host_of(stream) in self.rejected_hosts:
                return
            body = await read_body(protocol, stream)
            reply = await self.answer(request, body)
            if reply is None:
                return
            if number <= self.unanswered_up_to:
                await trio.sleep_forever()
            encoded = write_reply(protocol, reply, self.era)
            if self.injected_fault is StoreFault.HALF:
                await stream.send_all(encoded[: len(encoded) // 2])
                await trio.sleep_forever()
            await self.send(stream, encoded)
            protocol.start_next_cycle()

    async def send(self, stream: trio.abc.Stream, encoded: bytes) -> None:
        """Send an answer, throttled to `bytes_per_second`."""
        if not self.bytes_per_second:
            await stream.send_all(encoded)
            return
        for start in range(0, len(encoded), CHUNK_BYTES):
            part = encoded[start : start + CHUNK_BYTES]
            await stream.send_all(part)
            await trio.sleep(len(part) / self.bytes_per_second)

    async def answer(
        self, request: h11.Request, body: bytes
    ) -> HttpReply | None:
        """Return the answer to a request; None closes the connection."""
        target = request.target.decode()
        self.calls.append(target)
        await trio.sleep(self.delay_seconds)
        refused = await self.inject_fault()
        if refused is not None or self.injected_fault is StoreFault.RESET:
            return refused
        parts = urlsplit(target)
        query = {name: last[-1] for name, last in parse_qs(parts.query).items()}
        reply = await self.handle(parts.path, query, body)
        if self.injected_fault is StoreFault.LOST and request.method == b'POST':
            await trio.sleep_forever()
        return reply

    async def inject_fault(self) -> HttpReply | None:
        """Return an error answer, or block, as the injected fault demands."""
        if self.injected_fault is StoreFault.SILENT:
            await trio.sleep_forever()
        if self.injected_fault is StoreFault.BUSY:
            return HttpReply(status=UNAVAILABLE)
        if self.injected_fault is StoreFault.MANY:
            return HttpReply(status=TOO_MANY)
        return None

    async def handle(
        self,
        path: str,
        query: dict[str, str],
        body: bytes,
    ) -> HttpReply:
        """Dispatch a call by its path."""
        if path == '/-/kv-watch':
            return await self.watch(query)
        calls: dict[str, Callable[[], HttpReply]] = {
            '/-/kv-key': lambda: self.read_key(query),
            '/-/kv-range': lambda: self.read_range(query),
            '/-/kv-txn': lambda: self.write(json.loads(body)),
            '/-/kv-lease': lambda: self.grant_lease(json.loads(body)),
        }
        head, _, number = path.rpartition('/')
        if head == '/-/kv-keep':
            return self.keep_lease_alive(int(number))
        if head == '/-/kv-lease-end':
            return HttpReply(
                status=OK if self.revoke_lease(int(number)) else NOT_FOUND
            )
        handler = calls.get(path)
        return handler() if handler else HttpReply(status=NOT_FOUND)

    def read_key(self, query: dict[str, str]) -> HttpReply:
        """Answer with one key, 404 when it does not exist."""
        item = self.items.get(query.get('Key', ''))
        if item is None:
            return HttpReply(status=NOT_FOUND)
        return json_reply({**item.to_json(), 'AsOf': self.revision})

    def read_range(self, query: dict[str, str]) -> HttpReply:
        """Answer with a page of the keys under a prefix, in order."""
        prefix, after = query.get('Prefix', ''), query.get('after', '')
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        page = [self.items[key].to_json() for key in keys[: self.page_items]]
        has_more = len(keys) > self.page_items
        return json_reply(
            {'items': page, 'HasMore': has_more, 'AsOf': self.revision},
        )

    async def watch(self, query: dict[str, str]) -> HttpReply:
        """Answer once a key under the prefix changes, or at the timeout."""
        after = int(query['after'])
        prefix = query.get('Prefix', '')
        with trio.move_on_after(int(query['WaitMs']) / MILLISECONDS):
            while (
                not self.changes_after(after, prefix)
                and self.compacted <= after <= self.revision
            ):
                await self.changed.wait()
        if not self.compacted <= after <= self.revision:
            return HttpReply(status=GONE)
        events = [item.to_json() for item in self.changes_after(after, prefix)]
        return json_reply({'events': events, 'AsOf': self.revision})

    def changes_after(self, after: int, prefix: str) -> list[Item]:
        """Return the changes of keys under a prefix after a revision."""
        return [
            item
            for item in self.history
            if item.revision > after and item.key.startswith(prefix)
        ]

    def write(self, arguments: dict[str, Any]) -> HttpReply:
        """Apply a transaction; 412 when an expected revision differs."""
        rows = arguments.get('Expect', [])
        for row in rows:
            if self.revision_of(row['Key']) != row['Rev']:
                current = [
                    self.items[one['Key']].to_json()
                    for one in rows
                    if one['Key'] in self.items
                ]
                return json_reply({'items': current}, CONFLICT)
        puts = arguments.get('Puts', [])
        if any(put['Key'].startswith(READ_ONLY_PREFIXES) for put in puts):
            return HttpReply(status=FORBIDDEN)
        leases = {put.get('Lease', 0) for put in puts} - {0}
        if leases - self.leases.keys():
            return HttpReply(status=NOT_FOUND)
        for put in puts:
            value = base64.b64decode(put['Value'])
            self.put(put['Key'], value, put.get('Lease', 0))
        for key in arguments.get('Delete', []):
            if key in self.items:
                self.remove(key)
        return json_reply({'Rev': self.revision})

    def revision_of(self, key: str) -> int:
        """Return the revision of a key, 0 where there is none."""
        item = self.items.get(key)
        return item.revision if item else 0

    def grant_lease(self, arguments: dict[str, Any]) -> HttpReply:
        """Grant a lease."""
        self.leases_granted += 1
        seconds = arguments['TtlMs'] / MILLISECONDS
        self.leases[self.leases_granted] = Lease(
            seconds=seconds,
            expires_at=trio.current_time() + seconds,
        )
        return json_reply({'Lease': self.leases_granted, **arguments})

    def keep_lease_alive(self, number: int) -> HttpReply:
        """Renew a lease, 404 when it has expired."""
        lease = self.leases.get(number)
        if lease is None:
            return HttpReply(status=NOT_FOUND)
        lease.expires_at = trio.current_time() + lease.seconds
        return json_reply({'TtlMs': round(lease.seconds * MILLISECONDS)})


def host_of(stream: trio.abc.Stream) -> str:
    """Return the peer's host, or an empty string if unknown."""
    if isinstance(stream, trio.SocketStream):
        return str(stream.socket.getpeername()[0])
    return str(getattr(stream, 'remote', ''))


def json_reply(body: dict[str, Any], status: int = OK) -> HttpReply:
    """Return a reply with a JSON body."""
    return HttpReply(
        status=status,
        body=json.dumps(body).encode(),
        media_type=MEDIA_TYPE,
    )


async def read_body(
    protocol: h11.Connection,
    stream: trio.abc.Stream,
) -> bytes:
    """Read the body of a request."""
    parts: list[bytes] = []
    while True:
        event = await next_event(protocol, stream)
        if isinstance(event, h11.Data):
            parts.append(bytes(event.data))
        else:
            return b''.join(parts)


def write_reply(protocol: h11.Connection, reply: HttpReply, era: int) -> bytes:
    """Return the bytes of an answer; the connection is kept open."""
    headers = [
        ('Content-Type', reply.media_type),
        ('Content-Length', str(len(reply.body))),
    ]
    if era:
        headers.append(('Store-Era', str(era)))
    head = h11.Response(status_code=reply.status, headers=headers)
    out = protocol.send(head) or b''
    out += protocol.send(h11.Data(data=reply.body)) or b''
    return out + (protocol.send(h11.EndOfMessage()) or b'')


__all__ = ('READ_BYTES', 'LabStore', 'StoreFault')
