"""Run a node with python -m burdocksill.packets."""

import importlib

from burdocksill.platform.early import bind_early


def run() -> None:
    """Bind the sockets, and only then import what uses them."""
    early = bind_early()
    importlib.import_module('burdocksill.packets.main').main(early)


if __name__ == '__main__':
    run()
