"""How many retries may be added to the load that callers bring."""

from typing import Final, Protocol

import attrs

RETRY_RATIO: Final = 0.1
# A budget holds a few retries at most: saved up in quiet hours, more would
# come out as one burst just when the upstreams are short of room.
MAX_TOKENS: Final = 5.0


class RetryBudget(Protocol):
    """Decide whether a request that was not run may be retried at once."""

    def deposit(self) -> None:
        """Count a success."""

    def has_token(self) -> bool:
        """Return True when one retry would be within the budget."""

    def withdraw(self) -> bool:
        """Return True when one retry is within the budget."""


@attrs.define(kw_only=True)
class RatioRetryBudget:
    """Allow retries as a share of successes.

    When most requests are refused, retries multiply the load that caused the
    refusals. Without successes this budget runs dry, so they can't.
    """

    ratio: float = RETRY_RATIO
    tokens: float = MAX_TOKENS

    def deposit(self) -> None:
        """Count a success."""
        self.tokens = min(self.tokens + self.ratio, MAX_TOKENS)

    def has_token(self) -> bool:
        """Return True when one retry would be within the budget."""
        return self.tokens >= 1

    def withdraw(self) -> bool:
        """Return True when one retry is within the budget."""
        if not self.has_token():
            return False
        self.tokens -= 1
        return True


@attrs.define(kw_only=True)
class UnlimitedRetryBudget:
    """Allow every retry: the baseline of the control runs."""

    def deposit(self) -> None:
        """Count nothing."""

    def has_token(self) -> bool:
        """Return True always."""
        return True

    def withdraw(self) -> bool:
        """Return True always."""
        return True
