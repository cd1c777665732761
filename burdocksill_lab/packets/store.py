"""A stand-in of the users' store: its published calls over real sockets."""

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
# Keys that operators and upstreams write, which the system may not.
FOREIGN: Final = ('op/', 'servers/')
MILLISECONDS: Final = 1000
SENT_BYTES: Final = 16384
# How late a lease may end.
LEASE_STEP_SECONDS: Final = 0.05


class Trouble(enum.Enum):
    """Name what is wrong with the store."""

    NONE = 'none'
    BUSY = 'busy'
    MANY = 'many'
    RESET = 'reset'
    SILENT = 'silent'
    # Writes are done, and their answers lost.
    LOST = 'lost'
    # Answers stop half-way.
    HALF = 'half'


@attrs.define(kw_only=True)
class Item:
    """Hold one key; a removed one stays in the history without a value."""

    key: str
    value: bytes
    revision: int
    created: int
    lease: int = 0
    removed: bool = False

    def body(self) -> dict[str, Any]:
        """Write it as the store's calls do."""
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
    """Hold how long a lease runs after each renewal, and until when."""

    seconds: float
    until: float


@attrs.define(kw_only=True)
class LabStore:
    """Hold keys, their history and the watches that wait for changes."""

    revision: int = 10
    items: dict[str, Item] = attrs.field(factory=dict)
    history: list[Item] = attrs.field(factory=list)
    # Watches from before this revision get 410.
    compacted: int = 0
    page_items: int = PAGE_ITEMS
    leases: dict[int, Lease] = attrs.field(factory=dict)
    leases_begun: int = 0
    # Hosts that are turned away while the others are served.
    turned_away: set[str] = attrs.field(factory=set)
    trouble: Trouble = Trouble.NONE
    delay_seconds: float = 0
    connections: int = 0
    # Connections up to this number carry nothing more; new ones work.
    muted: int = 0
    # What the store's link carries; 0 for any amount.
    bytes_per_second: float = 0
    calls: list[str] = attrs.field(factory=list)
    changed: trio.Event = attrs.field(factory=trio.Event)

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write a key."""
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
        self.note(item)

    def remove(self, key: str) -> None:
        """Remove a key that is there."""
        before = self.items.pop(key)
        self.revision += 1
        self.note(
            Item(
                key=key,
                value=b'',
                revision=self.revision,
                created=before.created,
                removed=True,
            ),
        )

    def note(self, item: Item) -> None:
        """Keep a change and wake the watches."""
        self.history.append(item)
        waiting = self.changed
        self.changed = trio.Event()
        waiting.set()

    def compact(self) -> None:
        """Forget the history."""
        self.compacted = self.revision
        self.history.clear()

    async def run_leases(self) -> None:
        """End leases that are not renewed, for as long as the store runs."""
        while True:
            await trio.sleep(LEASE_STEP_SECONDS)
            now = trio.current_time()
            for number, lease in list(self.leases.items()):
                if lease.until < now:
                    self.end(number)

    def end(self, number: int) -> bool:
        """End a lease and remove its keys; False when there is none."""
        if self.leases.pop(number, None) is None:
            return False
        for key, item in list(self.items.items()):
            if item.lease == number:
                self.remove(key)
        return True

    async def serve(self, stream: trio.abc.Stream) -> None:
        """Answer the requests of one connection."""
        if host_of(stream) in self.turned_away:
            await trio.aclose_forcefully(stream)
            return
        protocol = h11.Connection(h11.SERVER)
        self.connections += 1
        try:
            await self.serve_all(protocol, stream, self.connections)
        except (h11.ProtocolError, OSError, trio.BrokenResourceError):
            # The client went away; its connection is all there is to end.
            return
        finally:
            await trio.aclose_forcefully(stream)

    async def serve_all(
        self,
        protocol: h11.Connection,
        stream: trio.abc.Stream,
        number: int,
    ) -> None:
        """Answer one request after the other."""
        while True:
            request = await next_event(protocol, stream)
            if not isinstance(request, h11.Request):
                return
            if host_of(stream) in self.turned_away:
                return
            body = await read_body(protocol, stream)
            reply = await self.answer(request, body)
            if reply is None:
                return
            if number <= self.muted:
                await trio.sleep_forever()
            written = write_reply(protocol, reply)
            if self.trouble is Trouble.HALF:
                await stream.send_all(written[: len(written) // 2])
                await trio.sleep_forever()
            await self.send(stream, written)
            protocol.start_next_cycle()

    async def send(self, stream: trio.abc.Stream, written: bytes) -> None:
        """Send an answer, not faster than the store's link carries it."""
        if not self.bytes_per_second:
            await stream.send_all(written)
            return
        for start in range(0, len(written), SENT_BYTES):
            part = written[start : start + SENT_BYTES]
            await stream.send_all(part)
            await trio.sleep(len(part) / self.bytes_per_second)

    async def answer(
        self, request: h11.Request, body: bytes
    ) -> HttpReply | None:
        """Return an answer, None to break the connection."""
        target = request.target.decode()
        self.calls.append(target)
        await trio.sleep(self.delay_seconds)
        refused = await self.in_trouble()
        if refused is not None or self.trouble is Trouble.RESET:
            return refused
        parts = urlsplit(target)
        query = {name: last[-1] for name, last in parse_qs(parts.query).items()}
        reply = await self.handle(parts.path, query, body)
        if self.trouble is Trouble.LOST and request.method == b'POST':
            await trio.sleep_forever()
        return reply

    async def in_trouble(self) -> HttpReply | None:
        """Refuse or hold a call, as the trouble wants."""
        if self.trouble is Trouble.SILENT:
            await trio.sleep_forever()
        if self.trouble is Trouble.BUSY:
            return HttpReply(status=UNAVAILABLE)
        if self.trouble is Trouble.MANY:
            return HttpReply(status=TOO_MANY)
        return None

    async def handle(
        self,
        path: str,
        query: dict[str, str],
        body: bytes,
    ) -> HttpReply:
        """Carry out one call."""
        if path == '/-/kv-watch':
            return await self.watch(query)
        calls: dict[str, Callable[[], HttpReply]] = {
            '/-/kv-key': lambda: self.read_key(query),
            '/-/kv-range': lambda: self.read_range(query),
            '/-/kv-txn': lambda: self.write(json.loads(body)),
            '/-/kv-lease': lambda: self.grant(json.loads(body)),
        }
        head, _, number = path.rpartition('/')
        if head == '/-/kv-keep':
            return self.keep(int(number))
        if head == '/-/kv-lease-end':
            return HttpReply(status=OK if self.end(int(number)) else NOT_FOUND)
        found = calls.get(path)
        return found() if found else HttpReply(status=NOT_FOUND)

    def read_key(self, query: dict[str, str]) -> HttpReply:
        """Answer with one key."""
        item = self.items.get(query.get('Key', ''))
        if item is None:
            return HttpReply(status=NOT_FOUND)
        return answered({**item.body(), 'AsOf': self.revision})

    def read_range(self, query: dict[str, str]) -> HttpReply:
        """Answer with a page of keys."""
        prefix, after = query.get('Prefix', ''), query.get('after', '')
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        page = [self.items[key].body() for key in keys[: self.page_items]]
        more = len(keys) > self.page_items
        return answered(
            {'items': page, 'HasMore': more, 'AsOf': self.revision},
        )

    async def watch(self, query: dict[str, str]) -> HttpReply:
        """Answer once something has changed, or the wait is over."""
        after = int(query['after'])
        prefix = query.get('Prefix', '')
        with trio.move_on_after(int(query['WaitMs']) / MILLISECONDS):
            while not self.since(after, prefix) and after >= self.compacted:
                await self.changed.wait()
        if after < self.compacted:
            return HttpReply(status=GONE)
        events = [item.body() for item in self.since(after, prefix)]
        return answered({'events': events, 'AsOf': self.revision})

    def since(self, after: int, prefix: str) -> list[Item]:
        """Return the changes after a revision."""
        return [
            item
            for item in self.history
            if item.revision > after and item.key.startswith(prefix)
        ]

    def write(self, wanted: dict[str, Any]) -> HttpReply:
        """Write all or nothing."""
        rows = wanted.get('Expect', [])
        for row in rows:
            if self.revision_of(row['Key']) != row['Rev']:
                current = [
                    self.items[one['Key']].body()
                    for one in rows
                    if one['Key'] in self.items
                ]
                return answered({'items': current}, CONFLICT)
        puts = wanted.get('Puts', [])
        if any(put['Key'].startswith(FOREIGN) for put in puts):
            return HttpReply(status=FORBIDDEN)
        leases = {put.get('Lease', 0) for put in puts} - {0}
        if leases - self.leases.keys():
            return HttpReply(status=NOT_FOUND)
        for put in puts:
            value = base64.b64decode(put['Value'])
            self.put(put['Key'], value, put.get('Lease', 0))
        for key in wanted.get('Delete', []):
            if key in self.items:
                self.remove(key)
        return answered({'Rev': self.revision})

    def revision_of(self, key: str) -> int:
        """Return the revision of a key, 0 where there is none."""
        item = self.items.get(key)
        return item.revision if item else 0

    def grant(self, wanted: dict[str, Any]) -> HttpReply:
        """Begin a lease."""
        self.leases_begun += 1
        seconds = wanted['TtlMs'] / MILLISECONDS
        self.leases[self.leases_begun] = Lease(
            seconds=seconds,
            until=trio.current_time() + seconds,
        )
        return answered({'Lease': self.leases_begun, **wanted})

    def keep(self, number: int) -> HttpReply:
        """Renew a lease that still runs."""
        lease = self.leases.get(number)
        if lease is None:
            return HttpReply(status=NOT_FOUND)
        lease.until = trio.current_time() + lease.seconds
        return answered({'TtlMs': round(lease.seconds * MILLISECONDS)})


def host_of(stream: trio.abc.Stream) -> str:
    """Return the host at the other end, empty where it isn't known."""
    if isinstance(stream, trio.SocketStream):
        return str(stream.socket.getpeername()[0])
    return str(getattr(stream, 'remote', ''))


def answered(body: dict[str, Any], status: int = OK) -> HttpReply:
    """Return a JSON answer."""
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


def write_reply(protocol: h11.Connection, reply: HttpReply) -> bytes:
    """Return the bytes of an answer that keeps the connection."""
    head = h11.Response(
        status_code=reply.status,
        headers=[
            ('Content-Type', reply.media_type),
            ('Content-Length', str(len(reply.body))),
        ],
    )
    out = protocol.send(head) or b''
    out += protocol.send(h11.Data(data=reply.body)) or b''
    return out + (protocol.send(h11.EndOfMessage()) or b'')


__all__ = ('READ_BYTES', 'LabStore', 'Trouble')
