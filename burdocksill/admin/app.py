"""Read-only admin interface of one VM, as an ASGI application.

It has no authentication, so it has to be bound to an internal address.
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

Message = dict[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]

HTTP_OK: Final = 200
HTTP_BAD_REQUEST: Final = 400
HTTP_NOT_FOUND: Final = 404
HTTP_UNAVAILABLE: Final = 503
JSON_TYPE: Final = b'application/json'
METRICS_TYPE: Final = b'text/plain; version=0.0.4; charset=utf-8'


@attrs.frozen(kw_only=True)
class Response:
    """Hold one HTTP response."""

    status: int
    payload: bytes
    media_type: bytes = JSON_TYPE


def json_response(content: object, *, status: int = HTTP_OK) -> Response:
    """Return a response that holds a typed message as JSON."""
    return Response(status=status, payload=msgspec.json.encode(content))


@attrs.define(kw_only=True)
class AdminApp:
    """Serve the state of one node to operators."""

    node: EntryNode

    async def __call__(
        self, scope: Message, receive: Receive, send: Send
    ) -> None:
        """Serve one HTTP request (ASGI)."""
        if scope['type'] == 'lifespan':
            await handle_lifespan(receive, send)
            return
        try:
            response = self.response(
                scope['path'], scope['query_string'].decode()
            )
        except BurdocksillError as error:
            problem = Problem(
                code=error.code,
                message=error.message,
                hint=error.hint,
            )
            response = json_response(problem, status=HTTP_BAD_REQUEST)
        await send_response(send, response)

    def response(self, path: str, query: str) -> Response:
        """Return the response for a path."""
        match path:
            case '/health':
                return self.health()
            case '/status':
                return json_response(node_status(self.node))
            case '/explain':
                return json_response(explain(self.node, read_query(query)))
            case '/metrics':
                text = self.node.counters.render()
                return Response(
                    status=HTTP_OK,
                    payload=text.encode(),
                    media_type=METRICS_TYPE,
                )
        problem = Problem(
            code='burdocksill.E105',
            message=f'there is no page {path}',
            hint='ask for /health, /status, /explain or /metrics',
        )
        return json_response(problem, status=HTTP_NOT_FOUND)

    def health(self) -> Response:
        """Return whether callers are served; 503 while the VM starts."""
        serving = self.node.serving.is_set()
        return json_response(
            Health(serving=serving),
            status=HTTP_OK if serving else HTTP_UNAVAILABLE,
        )


def read_query(query: str) -> ExplainQuery:
    """Parse the query string of /explain; ignore unknown fields."""
    fields = parse_qs(query)
    return ExplainQuery(
        flow=first_value(fields, 'flow'),
        tokens=tuple(fields.get('token', ())),
        cookie=first_value(fields, 'cookie'),
    )


def first_value(fields: dict[str, list[str]], name: str) -> str:
    """Return the first value of a field, or an empty string."""
    return fields.get(name, [''])[0]


async def handle_lifespan(receive: Receive, send: Send) -> None:
    """Confirm the server's start and stop (ASGI lifespan)."""
    while True:
        message = await receive()
        await send({'type': f'{message["type"]}.complete'})
        if message['type'] == 'lifespan.shutdown':
            return


async def send_response(send: Send, response: Response) -> None:
    """Send one response."""
    headers = [
        (b'content-type', response.media_type),
        (b'content-length', str(len(response.payload)).encode()),
    ]
    await send(
        {
            'type': 'http.response.start',
            'status': response.status,
            'headers': headers,
        },
    )
    await send({'type': 'http.response.body', 'body': response.payload})


async def serve_admin(node: EntryNode) -> None:
    """Serve a node's admin interface until cancelled.

    Raise AddressUnavailableError when the address cannot be bound.
    """
    config = Config()
    config.bind = [str(node.settings.admin)]
    config.loglevel = 'WARNING'
    try:
        await serve(AdminApp(node=node), config)  # type: ignore[arg-type]
    except* OSError as group:
        cause = group.exceptions[0]
        raise AddressUnavailableError(
            message=f'{node.settings.admin} cannot be bound: {cause}',
            hint='give an address of this VM that no other process uses',
        ) from group
