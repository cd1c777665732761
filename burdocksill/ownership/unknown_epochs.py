"""Policies for requests of an epoch that this VM does not hold."""

from typing import Protocol

import attrs

from burdocksill.requests.messages import CallerRequest
from burdocksill.requests.verdict import Verdict


class UnknownEpochPolicy(Protocol):
    """Decide on requests whose epoch another VM holds or held."""

    def may_run(self, request: CallerRequest) -> bool:
        """Return True if the request may run on this VM."""

    def verdict(self) -> Verdict:
        """Return the verdict for a request that does not run on this VM."""


@attrs.define(kw_only=True)
class IdempotentOnlyPolicy:
    """Run only idempotent requests; report "may have run" for all others.

    The VM that holds the epoch may be dead, paused or partitioned. It may have
    run the request, or may still run it from its queue. So only an idempotent
    request may run here, and only that VM could report "not run".
    """

    def may_run(self, request: CallerRequest) -> bool:
        """Return True for idempotent requests."""
        return request.idempotent

    def verdict(self) -> Verdict:
        """Return "may have run", as this VM cannot know."""
        return Verdict.MAY_HAVE_RUN


@attrs.define(kw_only=True)
class AlwaysRunPolicy:
    """Run all requests: baseline without the check, for control runs."""

    def may_run(self, request: CallerRequest) -> bool:
        """Return True always."""
        return True

    def verdict(self) -> Verdict:
        """Return "may have run", as this VM cannot know."""
        return Verdict.MAY_HAVE_RUN


@attrs.define(kw_only=True)
class AssumeNotRunPolicy:
    """Report "not run" without evidence: baseline for control runs."""

    def may_run(self, request: CallerRequest) -> bool:
        """Return True for idempotent requests."""
        return request.idempotent

    def verdict(self) -> Verdict:
        """Return "not run", although the holder may have run the request."""
        return Verdict.NOT_RUN
