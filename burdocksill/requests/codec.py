"""Encoding and decoding of CoAP requests and answers.

`aiocoap` is used only as a codec (RFC 7252, 7641, 7959, 9175). Errors are
encoded as problem documents (RFC 9290).
"""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, Final

import aiocoap
import attrs
import cbor2
from aiocoap import Code, Message
from aiocoap.error import Error as CoapError

from burdocksill.requests.exceptions import (
    MalformedDatagramError,
    UnsupportedRequestError,
)
from burdocksill.requests.messages import (
    MAX_EXPONENT,
    Answer,
    Block,
    CallerRequest,
)
from burdocksill.requests.verdict import Reason, Verdict

# Options of the experimental range (RFC 7252, section 12.2). All three are
# elective, safe to forward and not part of the cache key.
OPTION_TIMEOUT_MS: Final = 65052
OPTION_CANCEL: Final = 65084
OPTION_HOPS: Final = 65116
PROBLEM_FORMAT: Final = 257
# Keys of a problem document (RFC 9290, sections 2 and 2.2). Custom entries are
# in a nested map under a URI.
PROBLEM_TITLE: Final = -1
PROBLEM_DETAIL: Final = -2
PROBLEM_REQUEST: Final = 'tag:burdocksill,2026:request'
PROBLEM_VERDICT: Final = 'verdict'
PROBLEM_REASON: Final = 'reason'
MS_PER_SECOND: Final = 1000
MAX_TIMEOUT_BYTES: Final = 4
HEADER_BYTES: Final = 4
TOKEN_LENGTH_MASK: Final = 15
MAX_TOKEN_BYTES: Final = 8
BLOCK_NUMBERS: Final = 1 << 20
# Uri-Host, Uri-Port, Uri-Path, Uri-Query, Block2 and Block1 (RFC 7252, section
# 5.10; RFC 7959).
SUPPORTED_CRITICAL_OPTIONS: Final = frozenset((3, 7, 11, 15, 23, 27))
REPEATABLE: Final = frozenset((11, 15))
PROXY_OPTIONS: Final = frozenset((35, 39))
METHODS: Final = frozenset(
    ('GET', 'POST', 'PUT', 'DELETE', 'FETCH', 'PATCH', 'iPATCH')
)


@attrs.frozen(kw_only=True)
class Problem:
    """Hold the verdict, reason and detail of a problem document."""

    verdict: Verdict
    reason: Reason | None
    detail: str = ''


NOT_RUN_PROBLEM: Final = Problem(
    verdict=Verdict.NOT_RUN,
    reason=Reason.BAD_REQUEST,
)
DEFAULT_PROBLEMS: Final[Mapping[str, Problem]] = MappingProxyType(
    {
        'UNAUTHORIZED': Problem(
            verdict=Verdict.NOT_RUN, reason=Reason.COOKIE_NEEDED
        ),
        'SERVICE_UNAVAILABLE': Problem(
            verdict=Verdict.NOT_RUN, reason=Reason.OVERLOADED
        ),
        'GATEWAY_TIMEOUT': Problem(
            verdict=Verdict.MAY_HAVE_RUN, reason=Reason.OWNER_LOST
        ),
        'BAD_GATEWAY': Problem(
            verdict=Verdict.RAN, reason=Reason.ANSWER_DROPPED
        ),
    }
)


def decode_block(block: Any) -> Block | None:
    """Convert a block option of aiocoap, None if it is absent."""
    if block is None:
        return None
    number, more, exponent = block
    if exponent > MAX_EXPONENT or number >= BLOCK_NUMBERS:
        return INVALID_BLOCK
    return Block(number=number, more=more, exponent=exponent)


def encode_block(block: Block | None) -> Any:
    """Return a block option in the form that aiocoap takes."""
    if block is None:
        return None
    return (block.number, block.more, block.exponent)


# Result of decoding an invalid block option; the request is refused.
INVALID_BLOCK: Final = Block(number=BLOCK_NUMBERS)


def option_bytes(message: Message, number: int) -> bytes | None:
    """Return the bytes of the first option with a number, if any."""
    found = message.opt.get_option(number)
    return bytes(found[0].encode()) if found else None


def decode_message(payload: bytes) -> Message:
    """Decode one CoAP message; raise MalformedDatagramError."""
    token_bytes = payload[0] & TOKEN_LENGTH_MASK if payload else 0
    is_complete = len(payload) >= HEADER_BYTES + token_bytes
    if token_bytes > MAX_TOKEN_BYTES or not is_complete:
        raise MalformedDatagramError(
            message=f'{len(payload)} bytes with a token of {token_bytes}',
            hint='a token has at most 8 bytes (RFC 7252, section 3)',
        )
    try:
        return Message.decode(payload, None)
    except (CoapError, ValueError, IndexError, KeyError) as error:
        raise MalformedDatagramError(
            message=f'not a CoAP message: {error}',
            hint='it is counted and dropped',
        ) from error


def decode_request(payload: bytes) -> CallerRequest:
    """Decode a caller's datagram.

    Raise MalformedDatagramError if it is not a request, and
    UnsupportedRequestError if CoAP requires that the request is refused.
    """
    message = decode_message(payload)
    if not message.code.is_request():
        raise MalformedDatagramError(
            message=f'{message.code} is no request',
            hint='callers send requests only',
        )
    opt = message.opt
    request = CallerRequest(
        service=opt.uri_host or '',
        method=method_name(message.code),
        token=message.token,
        message_id=message.mid,
        confirmable=message.mtype is aiocoap.CON,
        path=tuple(opt.uri_path),
        query=tuple(opt.uri_query),
        payload=message.payload,
        cookie=opt.echo or b'',
        timeout_seconds=decode_timeout(message),
        observe=opt.observe,
        block1=decode_block(opt.block1),
        block2=decode_block(opt.block2),
        etag=opt.etag or b'',
        request_tag=b''.join(opt.request_tag),
        size1=opt.size1,
        content_format=opt.content_format,
        wants_hops=option_bytes(message, OPTION_HOPS) is not None,
        cancels=option_bytes(message, OPTION_CANCEL) is not None,
    )
    require_supported(message, request)
    return request


def method_name(code: Code) -> str:
    """Return a method's name, empty for an undefined method."""
    name = getattr(code, 'name', '')
    return name if name in METHODS else ''


def decode_timeout(message: Message) -> float:
    """Return the caller's timeout in seconds, 0 if missing or invalid."""
    encoded = option_bytes(message, OPTION_TIMEOUT_MS) or b''
    if len(encoded) > MAX_TIMEOUT_BYTES:
        # An elective option of invalid length is ignored (RFC 7252, section
        # 5.4.3).
        return 0
    return int.from_bytes(encoded, 'big') / MS_PER_SECOND


def require_supported(message: Message, request: CallerRequest) -> None:
    """Raise UnsupportedRequestError if CoAP requires a refusal."""
    numbers = [int(option.number) for option in message.opt.option_list()]
    critical = [number for number in numbers if number % 2]
    if not request.method:
        raise UnsupportedRequestError(
            request=request,
            coap_code='METHOD_NOT_ALLOWED',
            message=f'method {message.code} is unknown',
        )
    if PROXY_OPTIONS.intersection(critical):
        raise UnsupportedRequestError(
            request=request,
            coap_code='PROXYING_NOT_SUPPORTED',
            message='this is no forward proxy',
        )
    for number in critical:
        repeated = number not in REPEATABLE and critical.count(number) > 1
        if number not in SUPPORTED_CRITICAL_OPTIONS or repeated:
            raise UnsupportedRequestError(
                request=request,
                coap_code='BAD_OPTION',
                message=f'critical option {number} is unknown or repeated',
            )
    if INVALID_BLOCK in {request.block1, request.block2}:
        raise UnsupportedRequestError(
            request=request,
            coap_code='BAD_REQUEST',
            message='a block option is out of its range',
        )


def encode_request(request: CallerRequest) -> bytes:
    """Encode a caller's datagram."""
    message = Message(
        code=Code[request.method],
        _mtype=aiocoap.CON if request.confirmable else aiocoap.NON,
        _mid=request.message_id,
        _token=request.token,
        payload=request.payload,
        uri_host=request.service,
        uri_path=request.path,
        uri_query=request.query,
    )
    opt = message.opt
    opt.echo = request.cookie or None
    opt.observe = request.observe
    opt.content_format = request.content_format
    opt.etags = [request.etag] if request.etag else []
    opt.request_tag = [request.request_tag] if request.request_tag else []
    opt.size1 = request.size1
    opt.block1 = encode_block(request.block1)
    opt.block2 = encode_block(request.block2)
    if request.timeout_seconds > 0:
        timeout = int(request.timeout_seconds * MS_PER_SECOND)
        add_option(message, OPTION_TIMEOUT_MS, timeout.to_bytes(4, 'big'))
    if request.wants_hops:
        add_option(message, OPTION_HOPS, b'')
    if request.cancels:
        add_option(message, OPTION_CANCEL, b'')
    return bytes(message.encode())


def add_option(message: Message, number: int, encoded: bytes) -> None:
    """Add an option that aiocoap does not define."""
    option = aiocoap.OptionNumber(number).create_option(decode=encoded)
    message.opt.add_option(option)


def encode_answer(request: CallerRequest, answer: Answer) -> bytes:
    """Encode the datagram that answers a request."""
    message = Message(
        code=Code[answer.code],
        _mtype=aiocoap.ACK if request.confirmable else aiocoap.NON,
        _mid=request.message_id,
        _token=request.token,
        payload=answer.payload,
    )
    opt = message.opt
    opt.echo = answer.cookie or None
    opt.observe = answer.observe
    opt.content_format = answer.content_format
    if answer.max_age_seconds is not None:
        opt.max_age = max(0, round(answer.max_age_seconds))
    if answer.etag:
        opt.etag = answer.etag
    opt.block1 = encode_block(answer.block1)
    opt.block2 = encode_block(answer.block2)
    opt.size2 = answer.size2
    if answer.reason is not None:
        opt.content_format = PROBLEM_FORMAT
        message.payload = encode_problem(answer)
    if request.wants_hops:
        add_option(message, OPTION_HOPS, '>'.join(answer.hops).encode())
    return bytes(message.encode())


def encode_problem(answer: Answer) -> bytes:
    """Encode the problem document (RFC 9290) of an answer."""
    return cbor2.dumps(
        {
            PROBLEM_TITLE: str(answer.reason),
            PROBLEM_DETAIL: answer.message,
            PROBLEM_REQUEST: {
                PROBLEM_VERDICT: answer.verdict.value,
                PROBLEM_REASON: str(answer.reason),
            },
        }
    )


def encode_minimal_answer(request: CallerRequest, answer: Answer) -> bytes:
    """Encode the smallest answer that still conveys the verdict.

    The problem document is empty; the code determines the verdict.
    """
    code = answer.code if answer.reason else 'BAD_GATEWAY'
    short = Answer(
        code=code,
        verdict=answer.verdict,
        content_format=PROBLEM_FORMAT,
        max_age_seconds=answer.max_age_seconds,
        cookie=answer.cookie,
    )
    return encode_answer(attrs.evolve(request, wants_hops=False), short)


def decode_answer(payload: bytes) -> tuple[bytes, Answer]:
    """Decode an answer; return its token and the answer."""
    message = decode_message(payload)
    if not message.code.is_response():
        raise MalformedDatagramError(message=f'{message.code} is no answer')
    opt = message.opt
    hops = option_bytes(message, OPTION_HOPS) or b''
    problem = Problem(verdict=Verdict.RAN, reason=None)
    if opt.content_format == PROBLEM_FORMAT:
        problem = decode_problem(message.code.name, message.payload)
    answer = Answer(
        code=message.code.name,
        verdict=problem.verdict,
        payload=message.payload,
        content_format=opt.content_format,
        reason=problem.reason,
        message=problem.detail,
        max_age_seconds=opt.max_age,
        cookie=opt.echo or b'',
        observe=opt.observe,
        block1=decode_block(opt.block1),
        block2=decode_block(opt.block2),
        size2=opt.size2,
        etag=opt.etag or b'',
        hops=tuple(hops.decode(errors='replace').split('>')) if hops else (),
    )
    return message.token, answer


def decode_problem(code: str, payload: bytes) -> Problem:
    """Decode a problem document; use the default of the code if invalid."""
    fallback = DEFAULT_PROBLEMS.get(code, NOT_RUN_PROBLEM)
    if not payload:
        return fallback
    try:
        document = cbor2.loads(payload)
        custom = document[PROBLEM_REQUEST]
        return Problem(
            verdict=Verdict(custom[PROBLEM_VERDICT]),
            reason=Reason(custom[PROBLEM_REASON]),
            detail=str(document.get(PROBLEM_DETAIL, '')),
        )
    except (cbor2.CBORDecodeError, KeyError, TypeError, ValueError):
        # Written by another version or by an intermediary. The default of the
        # code never claims more than is certain.
        return fallback
