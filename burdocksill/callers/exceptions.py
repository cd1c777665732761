"""Errors of the caller library."""

from typing import ClassVar

import attrs

from burdocksill.exceptions import BurdocksillError
from burdocksill.requests.verdict import Reason, Verdict


@attrs.define(kw_only=True)
class CallFailedError(BurdocksillError):
    """Report a failed call with its verdict, reason and retry-after time."""

    code: ClassVar[str] = 'burdocksill.E701'

    verdict: Verdict
    reason: Reason
    message: str = ''
    hint: str = ''
    retry_after_seconds: float = 0
    hops: tuple[str, ...] = ()


class ScriptInvalidError(BurdocksillError):
    """Report a call of the command line or a script that is not valid."""

    code = 'burdocksill.E702'
