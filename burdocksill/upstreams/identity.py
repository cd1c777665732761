"""Identity of the process at an upstream's address."""

from typing import Final

import msgspec

from burdocksill.decoding import decode_json
from burdocksill.requests.exceptions import RequestFailedError
from burdocksill.requests.verdict import Reason, Verdict
from burdocksill.upstreams.connection import HTTP_OK, UpstreamConnection
from burdocksill.upstreams.exceptions import IdentityMismatchError
from burdocksill.upstreams.messages import Identity, UpstreamRequest

IDENTITY_PATH: Final = '/.well-known/burdocksill/identity'


async def identify(connection: UpstreamConnection) -> Identity:
    """Request an upstream's identity.

    Raise RequestFailedError when there is none, IdentityMismatchError when it
    cannot be read.
    """
    answer = await connection.exchange(
        UpstreamRequest(method='GET', path=IDENTITY_PATH),
    )
    if answer.status != HTTP_OK:
        raise RequestFailedError(
            verdict=Verdict.NOT_RUN,
            reason=Reason.UPSTREAM_DOWN,
            message=f'{IDENTITY_PATH} answered {answer.status}',
        )
    try:
        return decode_json(answer.payload, Identity)
    except msgspec.MsgspecError as error:
        raise IdentityMismatchError(
            message=f'{IDENTITY_PATH} cannot be read: {error}',
            hint='serve JSON with service, upstream and instance',
        ) from error
