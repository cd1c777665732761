"""Health and load reports of an upstream, polled by its owner only."""

import enum
from typing import Final, TypeVar

import attrs
import msgspec
import trio

from burdocksill.decoding import decode_json
from burdocksill.requests.exceptions import RequestFailedError
from burdocksill.upstreams.connection import HTTP_OK, UpstreamConnection
from burdocksill.upstreams.messages import UpstreamRequest

HEALTH_PATH: Final = '/.well-known/burdocksill/health'
LOAD_PATH: Final = '/.well-known/burdocksill/load'
POLL_SECONDS: Final = 0.5
POLL_TIMEOUT_SECONDS: Final = 1.0

Report = TypeVar('Report')


class HealthState(enum.StrEnum):
    """Name the state that an upstream reports of itself."""

    READY = 'ready'
    COLD = 'cold'
    DRAINING = 'draining'


@attrs.frozen(kw_only=True)
class HealthReport:
    """Hold an upstream's report of its state."""

    state: HealthState
    instance: str = ''


@attrs.frozen(kw_only=True)
class LoadReport:
    """Hold how many concurrent requests an upstream says it can handle."""

    bearable: int
    busy: int = 0


async def poll(
    connection: UpstreamConnection,
    path: str,
    kind: type[Report],
) -> Report | None:
    """Return a report, or None when none could be read.

    A missing report changes nothing: PING decides whether the connection
    works, as the endpoint may be slow while the upstream is healthy.
    """
    request = UpstreamRequest(method='GET', path=path)
    try:
        with trio.fail_after(POLL_TIMEOUT_SECONDS):
            answer = await connection.exchange(request)
    except (RequestFailedError, trio.TooSlowError):
        return None
    if answer.status != HTTP_OK:
        return None
    try:
        return decode_json(answer.payload, kind)
    except msgspec.MsgspecError:
        return None
