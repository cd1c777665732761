"""A non-idempotent request runs at most once."""

from typing import Final

import attrs

from burdocksill.entry.components import Components
from burdocksill.ownership.unknown_epochs import AlwaysRunPolicy
from burdocksill.requests.window import NoDeduplicationWindow
from burdocksill_lab.proofs.accounts import Books, check_once
from burdocksill_lab.proofs.base import ProofResult
from burdocksill_lab.proofs.owner_trouble import Plan, figures, run_story


@attrs.define(kw_only=True)
class AtMostOnceProof:
    """Post counts through faults of their owner and read the ledgers."""

    promise: str = 'A non-idempotent request runs at most once.'

    def run(self, *, seed: int, control: bool) -> ProofResult:
        """Run the story; the control forgets tokens and runs everything."""
        components = Components()
        if control:
            components = Components(
                window=NoDeduplicationWindow,
                unknown_epoch_policy=AlwaysRunPolicy,
            )
        books = Books()
        ran = run_story(Plan(seed=seed, components=components), books)
        return ProofResult(
            violation=check_once(books, ran),
            trace=tuple(books.trace),
            figures=figures(books, ran),
        )


PROOF: Final = AtMostOnceProof()
