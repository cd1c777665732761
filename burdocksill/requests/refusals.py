"""Final answers to requests that were refused or have failed."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

import attrs

from burdocksill.requests.exceptions import (
    RequestFailedError,
    UnsupportedRequestError,
)
from burdocksill.requests.messages import Answer
from burdocksill.requests.verdict import Reason, Verdict

# RFC 7252: 5.03 with Max-Age means "not run, retry after Max-Age"; 5.04 means
# that the request may have run.
VERDICT_CODES: Final[Mapping[Verdict, str]] = MappingProxyType(
    {
        Verdict.NOT_RUN: 'SERVICE_UNAVAILABLE',
        Verdict.RAN: 'BAD_GATEWAY',
        Verdict.MAY_HAVE_RUN: 'GATEWAY_TIMEOUT',
    }
)
REASON_CODES: Final[Mapping[Reason, str]] = MappingProxyType(
    {
        Reason.COOKIE_NEEDED: 'UNAUTHORIZED',
        Reason.COOKIE_INVALID: 'UNAUTHORIZED',
        Reason.COOKIE_EXPIRED: 'UNAUTHORIZED',
        Reason.SERVICE_UNKNOWN: 'NOT_FOUND',
        Reason.BAD_REQUEST: 'BAD_REQUEST',
        Reason.ANSWER_LOST: 'REQUEST_ENTITY_INCOMPLETE',
        Reason.BODY_INCOMPLETE: 'REQUEST_ENTITY_INCOMPLETE',
        Reason.ADDRESS_CHANGED: 'UNAUTHORIZED',
        Reason.FEED_ENDED: 'SERVICE_UNAVAILABLE',
        Reason.BODY_TOO_LARGE: 'REQUEST_ENTITY_TOO_LARGE',
        Reason.TOKEN_REUSED: 'BAD_REQUEST',
    }
)

BAD_OPTION: Final = 'BAD_OPTION'


def with_uncertain_verdict(answer: Answer, verdict: Verdict) -> Answer:
    """Return a "not run" refusal with the verdict for an unknown epoch."""
    if answer.verdict is not Verdict.NOT_RUN:
        return answer
    code = answer.code
    if code == VERDICT_CODES[Verdict.NOT_RUN]:
        code = VERDICT_CODES[verdict]
    return attrs.evolve(answer, verdict=verdict, code=code)


def refusal(failure: RequestFailedError, *, cookie: bytes = b'') -> Answer:
    """Return the final answer to a request that failed."""
    fallback = VERDICT_CODES[failure.verdict]
    return Answer(
        code=REASON_CODES.get(failure.reason, fallback),
        verdict=failure.verdict,
        reason=failure.reason,
        message=failure.message,
        max_age_seconds=failure.retry_after_seconds,
        cookie=cookie,
    )


def unsupported_answer(error: UnsupportedRequestError) -> Answer:
    """Return the answer to a request that CoAP requires to be refused."""
    return Answer(
        code=error.coap_code,
        verdict=Verdict.NOT_RUN,
        reason=Reason.BAD_REQUEST,
        message=error.message,
    )
