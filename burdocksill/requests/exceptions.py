"""Errors that end a request, each with its verdict."""

from typing import ClassVar

import attrs

from burdocksill.exceptions import BurdocksillError
from burdocksill.requests.messages import CallerRequest
from burdocksill.requests.verdict import Reason, Verdict


class MalformedDatagramError(BurdocksillError):
    """Report a datagram that is not a valid CoAP message."""

    code = 'burdocksill.E401'


@attrs.define(kw_only=True)
class UnsupportedRequestError(BurdocksillError):
    """Report a request that CoAP requires to be refused."""

    code: ClassVar[str] = 'burdocksill.E403'

    request: CallerRequest
    coap_code: str
    message: str
    hint: str = 'see docs/reference/coap.md for what is understood'


@attrs.define(kw_only=True)
class RequestFailedError(BurdocksillError):
    """End a request with a verdict and a retry delay in seconds."""

    code: ClassVar[str] = 'burdocksill.E402'

    verdict: Verdict
    reason: Reason
    message: str = ''
    hint: str = ''
    retry_after_seconds: float = 1.0

    def __attrs_post_init__(self) -> None:
        """Set the message from the reason and verdict if none is given."""
        if not self.message:
            self.message = f'{self.reason.value} ({self.verdict.value})'
