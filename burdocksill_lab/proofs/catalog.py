"""The ten promises in the order of the brief."""

import importlib
from typing import Final, cast

from burdocksill_lab.proofs.base import Proof

# Each name is a module of this folder, with dashes for underscores, that
# offers `PROOF`.
NAMES: Final = (
    'flow-survives',
    'service-isolation',
    'cold-start',
    'domain-out',
    'whole-answer',
    'refused-not-run',
    'at-most-once',
    'upstream-leaving',
    'graceful-stop',
    'document-in-force',
)


def find_proof(name: str) -> Proof | None:
    """Return a promise's proof, None while there is none."""
    module = f'burdocksill_lab.proofs.{name.replace("-", "_")}'
    try:
        found = importlib.import_module(module)
    except ModuleNotFoundError as error:
        if error.name != module:
            raise
        return None
    return cast(Proof, found.PROOF)
