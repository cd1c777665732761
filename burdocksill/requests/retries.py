"""Retry budgets, which limit the load that retries add."""

from typing import Final, Protocol

import attrs

RETRY_RATIO: Final = 0.1
# A larger budget would fill at low load and then allow a burst of retries just
# when the upstreams are overloaded.
MAX_TOKENS: Final = 5.0


class RetryBudget(Protocol):
    """Decide whether a request that was not run may be retried."""

    def deposit(self) -> None:
        """Add to the budget for a success."""

    def has_token(self) -> bool:
        """Return True if one retry is within the budget."""

    def withdraw(self) -> bool:
        """Take a token for one retry; return False if there is none."""


@attrs.define(kw_only=True)
class RatioRetryBudget:
    """Allow retries as a ratio of successes.

    If most requests are refused, retries multiply the load that caused the
    refusals. Without successes this budget is used up, which prevents that.
    """

    ratio: float = RETRY_RATIO
    tokens: float = MAX_TOKENS

    def deposit(self) -> None:
        """Add a fraction of a token for a success."""
        self.tokens = min(self.tokens + self.ratio, MAX_TOKENS)

    def has_token(self) -> bool:
        """Return True if one retry is within the budget."""
        return self.tokens >= 1

    def withdraw(self) -> bool:
        """Take a token for one retry; return False if there is none."""
        if not self.has_token():
            return False
        self.tokens -= 1
        return True


@attrs.define(kw_only=True)
class UnlimitedRetryBudget:
    """Allow every retry: baseline for control runs."""

    def deposit(self) -> None:
        """Do nothing."""

    def has_token(self) -> bool:
        """Return True always."""
        return True

    def withdraw(self) -> bool:
        """Return True always."""
        return True
