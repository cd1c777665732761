"""Start a node from the root of the repository.

Unlike `python -m burdocksill.packets`, this does not import runpy and ten other
modules before the sockets are bound. Packets that arrive meanwhile are lost.
"""

import sys

# The interpreter puts the folder of this script there.
sys.path[0] = ''

from burdocksill.platform.early import bind_early  # noqa: E402

early = bind_early()

from burdocksill.packets.__main__ import run  # noqa: E402

run(early)
