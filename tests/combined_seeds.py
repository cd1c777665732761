"""One seed of the combined proof, for a worker process."""

import logging

from burdocksill_lab.proofs.combined import PROOF


def violation(seed: int) -> str:
    """Run one seed in a process of its own and return what broke."""
    logging.disable(logging.CRITICAL)
    return PROOF.run(seed=seed, control=False).violation
