"""Mapping between CoAP and HTTP/2 (RFC 7252, section 10; RFC 8075)."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final
from urllib.parse import quote

from burdocksill.requests.messages import Answer, CallerRequest
from burdocksill.requests.verdict import Reason, Verdict
from burdocksill.upstreams.messages import UpstreamAnswer, UpstreamRequest

HTTP_METHODS: Final[Mapping[str, str]] = MappingProxyType(
    {
        'iPATCH': 'PATCH',
    }
)
CONTENT_FORMATS: Final[Mapping[str, int]] = MappingProxyType(
    {
        'text/plain': 0,
        'application/octet-stream': 42,
        'application/json': 50,
        'application/cbor': 60,
    }
)
MEDIA_TYPES: Final[Mapping[int, str]] = MappingProxyType(
    {number: name for name, number in CONTENT_FORMATS.items()}
)
COAP_CODES: Final[Mapping[int, str]] = MappingProxyType(
    {
        201: 'CREATED',
        204: 'CHANGED',
        304: 'VALID',
        400: 'BAD_REQUEST',
        401: 'FORBIDDEN',
        403: 'FORBIDDEN',
        404: 'NOT_FOUND',
        405: 'METHOD_NOT_ALLOWED',
        406: 'NOT_ACCEPTABLE',
        409: 'CONFLICT',
        412: 'PRECONDITION_FAILED',
        413: 'REQUEST_ENTITY_TOO_LARGE',
        415: 'UNSUPPORTED_CONTENT_FORMAT',
        422: 'UNPROCESSABLE_ENTITY',
        501: 'NOT_IMPLEMENTED',
        502: 'BAD_GATEWAY',
        504: 'GATEWAY_TIMEOUT',
    }
)
SUCCESS_CODES: Final[Mapping[str, str]] = MappingProxyType(
    {
        'GET': 'CONTENT',
        'FETCH': 'CONTENT',
        'DELETE': 'DELETED',
    }
)
HTTP_OK: Final = 200
HTTP_ERROR: Final = 400
HTTP_UNAVAILABLE: Final = 503


def upstream_request(
    request: CallerRequest,
    *,
    flow_id: bytes,
    timeout_seconds: float,
) -> UpstreamRequest:
    """Convert a caller's request to an HTTP/2 request."""
    path = '/' + '/'.join(quote(part, safe='') for part in request.path)
    if request.query:
        path += '?' + '&'.join(quote(part, safe='=') for part in request.query)
    return UpstreamRequest(
        method=HTTP_METHODS.get(request.method, request.method),
        path=path,
        payload=request.payload,
        content_type=MEDIA_TYPES.get(request.content_format or 0, ''),
        timeout_seconds=timeout_seconds,
        flow=flow_id.hex(),
    )


def caller_answer(request: CallerRequest, received: UpstreamAnswer) -> Answer:
    """Convert an upstream's complete answer to a CoAP answer."""
    if received.status == HTTP_UNAVAILABLE:
        return Answer(
            code='SERVICE_UNAVAILABLE',
            verdict=Verdict.NOT_RUN,
            reason=Reason.UPSTREAM_SHED,
            message='the upstream sheds load',
            max_age_seconds=1,
        )
    media_type = received.content_type.split(';')[0]
    return Answer(
        code=coap_code(request.method, received.status),
        verdict=Verdict.RAN,
        payload=received.payload,
        content_format=CONTENT_FORMATS.get(media_type),
    )


def coap_code(method: str, status: int) -> str:
    """Return the CoAP code of an HTTP status."""
    mapped = COAP_CODES.get(status)
    if mapped is not None:
        return mapped
    if status < HTTP_ERROR:
        return SUCCESS_CODES.get(method, 'CHANGED')
    return 'INTERNAL_SERVER_ERROR'
