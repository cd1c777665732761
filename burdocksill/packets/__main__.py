"""Run a node with python -m burdocksill.packets."""

import importlib

from burdocksill.platform.early import bind_early


def run() -> None:
    """Bind the sockets, then import and run the program."""
    early = bind_early()
    importlib.import_module('burdocksill.packets.main').main(early)


if __name__ == '__main__':
    run()
