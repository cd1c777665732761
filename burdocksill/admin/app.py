"""The admin interface of one VM: a small ASGI application.

It has no login and writes nothing; it is bound to an internal address.
"""

from collections.abc import Awaitable, Callable
from typing import Any, Final
from urllib.parse import parse_qs

import attrs
import msgspec
from hypercorn.config import Config
from hypercorn.trio import serve

from burdocksill.admin.explain import ExplainQuery, explain
from burdocksill.admin.messages import Health, Problem
from burdocksill.admin.report import node_status
from burdocksill.entry.node import EntryNode
from burdocksill.exceptions import BurdocksillError
from burdocksill.network.exceptions import AddressUnavailableError

Body = dict[str, Any]
Receive = Callable[[], Awaitable[Body]]
Send = Callable[[Body], Awaitable[None]]

HTTP_OK: Final = 200
HTTP_BAD_REQUEST: Final = 400
HTTP_NOT_FOUND: Final = 404
HTTP_UNAVAILABLE: Final = 503
JSON_TYPE: Final = b'application/json'
METRICS_TYPE: Final = b'text/plain; version=0.0.4; charset=utf-8'


@attrs.frozen(kw_only=True)
class Page:
    """Hold one HTTP answer."""

    status: int
    payload: bytes
    media_type: bytes = JSON_TYPE


def json_page(told: object, *, status: int = HTTP_OK) -> Page:
    """Write a typed message as JSON."""
    return Page(status=status, payload=msgspec.json.encode(told))


@attrs.define(kw_only=True)
class AdminApp:
    """Answer operators about one node."""

    node: EntryNode

    async def __call__(self, scope: Body, receive: Receive, send: Send) -> None:
        """Serve one HTTP request (ASGI)."""
        if scope['type'] == 'lifespan':
            await live(receive, send)
            return
        try:
            page = self.page(scope['path'], scope['query_string'].decode())
        except BurdocksillError as error:
            problem = Problem(
                code=error.code,
                message=error.message,
                hint=error.hint,
            )
            page = json_page(problem, status=HTTP_BAD_REQUEST)
        await respond(send, page)

    def page(self, path: str, query: str) -> Page:
        """Return the page of a path."""
        match path:
            case '/health':
                return self.health()
            case '/status':
                return json_page(node_status(self.node))
            case '/explain':
                return json_page(explain(self.node, read_query(query)))
            case '/metrics':
                text = self.node.counters.render()
                return Page(
                    status=HTTP_OK,
                    payload=text.encode(),
                    media_type=METRICS_TYPE,
                )
        problem = Problem(
            code='burdocksill.E105',
            message=f'there is no page {path}',
            hint='ask for /health, /status, /explain or /metrics',
        )
        return json_page(problem, status=HTTP_NOT_FOUND)

    def health(self) -> Page:
        """Say whether callers are served; a starting VM answers 503."""
        serving = self.node.serving.is_set()
        return json_page(
            Health(serving=serving),
            status=HTTP_OK if serving else HTTP_UNAVAILABLE,
        )


def read_query(query: str) -> ExplainQuery:
    """Read the query of an explanation; unknown fields are ignored."""
    fields = parse_qs(query)
    return ExplainQuery(
        flow=first(fields, 'flow'),
        tokens=tuple(fields.get('token', ())),
        cookie=first(fields, 'cookie'),
    )


def first(fields: dict[str, list[str]], name: str) -> str:
    """Return the first value of a field, empty without one."""
    return fields.get(name, [''])[0]


async def live(receive: Receive, send: Send) -> None:
    """Follow the server's start and stop (ASGI lifespan)."""
    while True:
        message = await receive()
        await send({'type': f'{message["type"]}.complete'})
        if message['type'] == 'lifespan.shutdown':
            return


async def respond(send: Send, page: Page) -> None:
    """Send one whole answer."""
    headers = [
        (b'content-type', page.media_type),
        (b'content-length', str(len(page.payload)).encode()),
    ]
    await send(
        {
            'type': 'http.response.start',
            'status': page.status,
            'headers': headers,
        },
    )
    await send({'type': 'http.response.body', 'body': page.payload})


async def serve_admin(node: EntryNode) -> None:
    """Serve a node's admin interface until cancelled."""
    config = Config()
    config.bind = [str(node.settings.admin)]
    config.loglevel = 'WARNING'
    try:
        await serve(AdminApp(node=node), config)  # type: ignore[arg-type]
    except* OSError as group:
        cause = group.exceptions[0]
        raise AddressUnavailableError(
            message=f'{node.settings.admin} cannot be bound: {cause}',
            hint='give an address of this VM that no process holds',
        ) from group
