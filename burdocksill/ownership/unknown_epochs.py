"""What a VM may do with a request of an epoch that it does not hold."""

from typing import Protocol

import attrs

from burdocksill.requests.messages import CallerRequest
from burdocksill.requests.verdict import Verdict


class UnknownEpochPolicy(Protocol):
    """Decide on requests whose epoch some other VM holds, or held."""

    def may_run(self, request: CallerRequest) -> bool:
        """Return True when the request may run here all the same."""

    def verdict(self) -> Verdict:
        """Return what is said of a request that does not run here."""


@attrs.define(kw_only=True)
class IdempotentOnlyPolicy:
    """Run only what may run twice, and never claim to know the rest.

    The holder may be dead, paused or cut off, and may have run the request
    or run it yet: its packet can still be queued there. Only an idempotent
    request is safe here, and of any other only the holder could say that it
    was not run.
    """

    def may_run(self, request: CallerRequest) -> bool:
        """Return True for idempotent requests."""
        return request.idempotent

    def verdict(self) -> Verdict:
        """Say that nobody here can tell."""
        return Verdict.MAY_HAVE_RUN


@attrs.define(kw_only=True)
class AlwaysRunPolicy:
    """Run everything: a naive baseline of the control runs."""

    def may_run(self, request: CallerRequest) -> bool:
        """Return True always."""
        return True

    def verdict(self) -> Verdict:
        """Say that nobody here can tell."""
        return Verdict.MAY_HAVE_RUN


@attrs.define(kw_only=True)
class AssumeNotRunPolicy:
    """Take the holder's loss for proof: a naive baseline of control runs."""

    def may_run(self, request: CallerRequest) -> bool:
        """Return True for idempotent requests."""
        return request.idempotent

    def verdict(self) -> Verdict:
        """Say that the request was not run, without knowing it."""
        return Verdict.NOT_RUN
