"""Errors that end a request, each with its verdict."""

from typing import ClassVar

import attrs

from burdocksill.exceptions import BurdocksillError
from burdocksill.requests.messages import CallerRequest
from burdocksill.requests.verdict import Reason, Verdict


class MalformedDatagramError(BurdocksillError):
    """Say that a datagram is not a CoAP message we can read."""

    code = 'burdocksill.E401'


@attrs.define(kw_only=True)
class UnsupportedRequestError(BurdocksillError):
    """Say that a request asks in a way that we must refuse."""

    code: ClassVar[str] = 'burdocksill.E403'

    request: CallerRequest
    coap_code: str
    message: str
    hint: str = 'see docs/reference/coap.md for what is understood'


@attrs.define(kw_only=True)
class RequestFailedError(BurdocksillError):
    """End a request with a verdict and a time to come back."""

    code: ClassVar[str] = 'burdocksill.E402'

    verdict: Verdict
    reason: Reason
    message: str = ''
    hint: str = ''
    retry_after_seconds: float = 1.0

    def __attrs_post_init__(self) -> None:
        """Say the reason where no message was given."""
        if not self.message:
            self.message = f'{self.reason.value} ({self.verdict.value})'
