"""Errors that a caller sees."""

from typing import ClassVar

import attrs

from burdocksill.exceptions import BurdocksillError
from burdocksill.requests.verdict import Reason, Verdict


@attrs.define(kw_only=True)
class CallFailedError(BurdocksillError):
    """End a call with a verdict, a reason and a time to come back."""

    code: ClassVar[str] = 'burdocksill.E701'

    verdict: Verdict
    reason: Reason
    message: str = ''
    hint: str = ''
    retry_after_seconds: float = 0
    hops: tuple[str, ...] = ()


class ScriptInvalidError(BurdocksillError):
    """Say which call of a command line or script cannot be read."""

    code = 'burdocksill.E702'
