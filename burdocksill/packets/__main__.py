"""Run a node with python -m burdocksill.packets."""

from __future__ import annotations

import importlib

from burdocksill.platform.early import EarlySockets, bind_early
from burdocksill.platform.early_read import ProceedBetweenImports

TYPE_CHECKING = False
if TYPE_CHECKING:
    from types import ModuleType

MAIN = 'burdocksill.packets.main'


def run(early: EarlySockets) -> None:
    """Import and run the program on sockets that are bound."""
    import_main(early).main(early)


def import_main(early: EarlySockets) -> ModuleType:
    """Import the program while the request to the store proceeds."""
    if early.first_page is None:
        return importlib.import_module(MAIN)
    between = ProceedBetweenImports(request=early.first_page)
    between.install()
    try:
        return importlib.import_module(MAIN)
    finally:
        between.remove()


if __name__ == '__main__':
    run(bind_early())
