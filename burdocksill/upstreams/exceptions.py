"""Errors of upstreams and their connections."""

from typing import ClassVar

import attrs

from burdocksill.exceptions import BurdocksillError
from burdocksill.requests.exceptions import RequestFailedError


class IdentityMismatchError(BurdocksillError):
    """Say that an address answers as another service or upstream."""

    code = 'burdocksill.E601'


class ConnectionLostError(BurdocksillError):
    """Say that a connection ended before an answer was whole."""

    code = 'burdocksill.E602'


@attrs.define(kw_only=True)
class ConnectionSilentError(RequestFailedError):
    """End a request whose connection fell silent after it was written.

    The upstream was told nothing, so it may be busy with it to its deadline.
    """

    code: ClassVar[str] = 'burdocksill.E603'
