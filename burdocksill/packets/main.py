"""Start one node of the packet path from the platform's settings file."""

import os
import socket
import sys
from random import Random
from typing import Final

from burdocksill.exceptions import BurdocksillError
from burdocksill.packets.settings import PacketSettings
from burdocksill.platform.node_file import VARIABLE, read_node_file

EXIT_BAD_SETTING: Final = 2
# 4,000 packets of the largest size: what arrives while a process starts.
BUFFER_BYTES: Final = 4 * 1024 * 1024


def bind(settings: PacketSettings) -> socket.socket:
    """Bind the socket for packets."""
    datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    datagrams.setblocking(False)
    datagrams.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    datagrams.bind((settings.listen.host, settings.listen.port))
    return datagrams


def read_settings() -> PacketSettings:
    """Read the settings file that the environment names."""
    with open(os.environ[VARIABLE], encoding='utf-8') as settings_file:
        return read_node_file(settings_file.read())


def main() -> None:
    """Serve packets until SIGTERM.

    The socket is bound before the larger libraries are imported: packets that
    arrive meanwhile wait there for the 0.2 s that importing takes on a whole
    core, where they would else be lost and sent again 0.2 s to 0.8 s later.
    """
    try:
        settings = read_settings()
    except (BurdocksillError, KeyError, OSError) as error:
        sys.stderr.write(f'settings cannot be read: {error!r}\n')
        sys.exit(EXIT_BAD_SETTING)
    datagrams = bind(settings)
    from burdocksill.packets.program import run  # noqa: PLC0415

    run(settings, datagrams, Random())
