"""Ask an upstream how it is; only its owner does."""

import enum
from typing import Final, TypeVar

import attrs
import msgspec
import trio

from burdocksill.requests.exceptions import RequestFailedError
from burdocksill.upstreams.connection import HTTP_OK, UpstreamConnection
from burdocksill.upstreams.messages import UpstreamRequest

HEALTH_PATH: Final = '/.well-known/burdocksill/health'
LOAD_PATH: Final = '/.well-known/burdocksill/load'
POLL_SECONDS: Final = 0.5
ANSWER_SECONDS: Final = 1.0

Report = TypeVar('Report')


class HealthState(enum.StrEnum):
    """Name what an upstream says of itself."""

    READY = 'ready'
    COLD = 'cold'
    DRAINING = 'draining'


@attrs.frozen(kw_only=True)
class HealthReport:
    """Hold an upstream's own word on its state."""

    state: HealthState
    instance: str = ''


@attrs.frozen(kw_only=True)
class LoadReport:
    """Hold how many requests an upstream says it can bear at once."""

    bearable: int
    busy: int = 0


async def poll(
    connection: UpstreamConnection,
    path: str,
    kind: type[Report],
) -> Report | None:
    """Return one report, None when there is none that can be read.

    A report that fails to come changes nothing: whether the connection is
    alive is for PING to find, not for an endpoint that may lag.
    """
    request = UpstreamRequest(method='GET', path=path)
    try:
        with trio.fail_after(ANSWER_SECONDS):
            answer = await connection.exchange(request)
    except (RequestFailedError, trio.TooSlowError):
        return None
    if answer.status != HTTP_OK:
        return None
    try:
        return msgspec.json.decode(answer.payload, type=kind)
    except msgspec.MsgspecError:
        return None
