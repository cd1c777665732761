"""The stand-in platform as a process: etcd's JSON gateway over HTTP."""

import base64
import json
from collections.abc import Awaitable, Callable
from contextlib import aclosing
from typing import Any

import attrs
from hypercorn.config import Config
from hypercorn.trio import serve

from burdocksill.network.protocols import Address
from burdocksill.platform import keys
from burdocksill.platform.values import StoredValue
from burdocksill_lab.stand_ins.store import MemoryPlatform

Body = dict[str, Any]
Receive = Callable[[], Awaitable[Body]]
Send = Callable[[Body], Awaitable[None]]


def text_of(encoded: str) -> str:
    """Read a base64 text."""
    return base64.b64decode(encoded).decode()


def pair_of(stored: StoredValue) -> Body:
    """Write a stored value as the gateway does."""
    return {
        'key': base64.b64encode(stored.key.encode()).decode(),
        'value': base64.b64encode(stored.value).decode(),
        'mod_revision': str(stored.revision),
    }


@attrs.define(kw_only=True)
class Gateway:
    """Answer the calls that burdocksill makes."""

    platform: MemoryPlatform = attrs.field(factory=MemoryPlatform)

    async def __call__(self, scope: Body, receive: Receive, send: Send) -> None:
        """Serve one HTTP request (ASGI)."""
        if scope['type'] == 'lifespan':
            await live(receive, send)
            return
        body = await read_body(receive)
        path = scope['path']
        if path == '/v3/watch':
            await self.watch(body['create_request'], send)
            return
        calls = {
            '/v3/kv/range': self.range,
            '/v3/kv/put': self.put,
            '/v3/kv/deleterange': self.delete,
            '/v3/kv/txn': self.txn,
        }
        call = calls.get(path)
        if call is None:
            await respond(send, 404, {'error': f'unknown path {path}'})
            return
        await respond(send, 200, await call(body))

    def header(self) -> Body:
        """Write the header that every answer carries."""
        return {'revision': str(self.platform.revision)}

    async def range(self, body: Body) -> Body:
        """Read one key or a prefix."""
        key = text_of(body['key'])
        if 'range_end' in body:
            snapshot = await self.platform.read_prefix(key)
            found = list(snapshot.values)
        else:
            stored = await self.platform.read(key)
            found = [stored] if stored else []
        return {
            'header': self.header(),
            'kvs': [pair_of(stored) for stored in found],
        }

    async def put(self, body: Body) -> Body:
        """Write one key, as the platform's own tools do."""
        key = text_of(body['key'])
        self.platform.put(key, base64.b64decode(body['value']))
        return {'header': self.header()}

    async def delete(self, body: Body) -> Body:
        """Take one VM off the list, as the platform does when it is gone."""
        name = text_of(body['key']).removeprefix(keys.VMS)
        self.platform.drop_vm(name)
        return {'header': self.header()}

    async def txn(self, body: Body) -> Body:
        """Compare and swap."""
        put = body['success'][0]['request_put']
        swap = await self.platform.compare_and_swap(
            key=text_of(put['key']),
            value=base64.b64decode(put['value']),
            expected_revision=int(body['compare'][0]['mod_revision']),
        )
        if swap.accepted:
            return {'header': self.header(), 'succeeded': True}
        found = [pair_of(swap.current)] if swap.current else []
        return {
            'header': self.header(),
            'responses': [{'response_range': {'kvs': found}}],
        }

    async def watch(self, create: Body, send: Send) -> None:
        """Stream changes, one JSON object a line."""
        await send(
            {
                'type': 'http.response.start',
                'status': 200,
                'headers': [(b'content-type', b'application/json')],
            }
        )
        created = {'result': {'header': self.header(), 'created': True}}
        await send_line(send, created)
        changes = self.platform.watch(
            prefix=text_of(create['key']),
            from_revision=int(create['start_revision']),
        )
        async with aclosing(changes):
            async for stored in changes:
                event = {'type': 'PUT', 'kv': pair_of(stored)}
                await send_line(send, {'result': {'events': [event]}})


async def live(receive: Receive, send: Send) -> None:
    """Follow the server's start and stop (ASGI lifespan)."""
    while True:
        message = await receive()
        await send({'type': f'{message["type"]}.complete'})
        if message['type'] == 'lifespan.shutdown':
            return


async def read_body(receive: Receive) -> Body:
    """Read a request's JSON body."""
    parts = bytearray()
    while True:
        message = await receive()
        parts.extend(message.get('body', b''))
        if not message.get('more_body'):
            break
    body: Body = json.loads(parts or b'{}')
    return body


async def send_line(send: Send, line: Body) -> None:
    """Send one line of a stream."""
    await send(
        {
            'type': 'http.response.body',
            'body': json.dumps(line).encode() + b'\n',
            'more_body': True,
        }
    )


async def respond(send: Send, status: int, body: Body) -> None:
    """Send a whole JSON answer."""
    await send(
        {
            'type': 'http.response.start',
            'status': status,
            'headers': [(b'content-type', b'application/json')],
        }
    )
    await send(
        {'type': 'http.response.body', 'body': json.dumps(body).encode()}
    )


async def serve_gateway(address: Address) -> None:
    """Serve the gateway until cancelled."""
    config = Config()
    config.bind = [str(address)]
    config.loglevel = 'WARNING'
    await serve(Gateway(), config)  # type: ignore[arg-type]
