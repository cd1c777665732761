"""What every proof returns, and the checks they share."""

from typing import Protocol

import attrs


@attrs.frozen(kw_only=True)
class Figure:
    """Hold one number that a proof measured."""

    name: str
    value: float


@attrs.frozen(kw_only=True)
class ProofResult:
    """Tell whether a promise held, with the trace of what was seen.

    `violation` is empty when the promise held. The trace names what happened
    in virtual time; the same seed gives the same trace.
    """

    violation: str = ''
    trace: tuple[str, ...] = ()
    figures: tuple[Figure, ...] = ()

    @property
    def held(self) -> bool:
        """Return True when no violation was seen."""
        return not self.violation


class Proof(Protocol):
    """Bring about the failures that a promise must survive."""

    @property
    def promise(self) -> str:
        """Return the promise in one line."""

    def run(self, *, seed: int, control: bool) -> ProofResult:
        """Run the story; a control replaces the guard by a naive baseline."""
