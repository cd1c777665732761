"""Errors of upstreams and their connections."""

from typing import ClassVar

import attrs

from burdocksill.exceptions import BurdocksillError
from burdocksill.requests.exceptions import RequestFailedError


class IdentityMismatchError(BurdocksillError):
    """Report that an address identifies as another service or upstream."""

    code = 'burdocksill.E601'


class ConnectionLostError(BurdocksillError):
    """Report that a connection ended before the answer was complete."""

    code = 'burdocksill.E602'


@attrs.define(kw_only=True)
class ConnectionSilentError(RequestFailedError):
    """Report a connection that became unresponsive after the request was sent.

    The request could not be cancelled, so the upstream may work on it until
    its deadline.
    """

    code: ClassVar[str] = 'burdocksill.E603'
