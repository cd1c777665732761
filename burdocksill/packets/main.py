"""Start a node of the packet path from the platform's settings file."""

from __future__ import annotations

import os
import sys
from random import Random

from burdocksill.conf.exceptions import SettingMissingError
from burdocksill.exceptions import BurdocksillError
from burdocksill.observe.early import EarlyLogger, early_lines
from burdocksill.observe.writer import LineWriter
from burdocksill.packets.core import PacketCore, make_core
from burdocksill.packets.faststart import (
    InitialRead,
    import_while_serving,
    run_initial_read,
)
from burdocksill.packets.features import VARIABLE as FEATURES_VARIABLE
from burdocksill.packets.features import parse_features
from burdocksill.packets.settings import PacketSettings
from burdocksill.platform.calls import range_pages
from burdocksill.platform.early import (
    VARIABLE,
    EarlySockets,
    bind_packets,
    bind_probes,
)
from burdocksill.platform.early_read import FirstPageRequest
from burdocksill.platform.node_file import read_node_file
from burdocksill.platform.records import ALL_KEYS, RecordDecoder

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Final

EXIT_BAD_SETTING: Final = 2
# The main program, which needs the larger libraries.
PROGRAM: Final = 'burdocksill.packets.program'

logger = EarlyLogger(__name__)


def read_settings() -> PacketSettings:
    """Read the settings file that the environment variable names."""
    path = os.environ.get(VARIABLE, '')
    if not path:
        raise SettingMissingError(
            message=f'{VARIABLE} is not set',
            hint='set it to the path of the settings file',
        )
    with open(path, encoding='utf-8') as settings_file:
        settings = read_node_file(settings_file.read())
    features = os.environ.get(FEATURES_VARIABLE)
    if features is None:
        return settings
    return settings.evolve(features=parse_features(features))


def read_store(
    settings: PacketSettings,
    core: PacketCore,
    first_page: FirstPageRequest | None,
) -> None:
    """Read the store once, before the main program is imported."""
    reading = InitialRead(
        remote=settings.platform,
        pages=range_pages(ALL_KEYS),
        core=core,
        first_page=first_page or request_store(settings),
    )
    run_initial_read(reading)


def request_store(settings: PacketSettings) -> FirstPageRequest:
    """Ask the store for its first page."""
    store = settings.platform
    return FirstPageRequest(remote=(store.host, store.port))


def main(early: EarlySockets) -> None:
    """Run a node until SIGTERM, on the sockets that were bound early."""
    try:
        settings = read_settings()
    except (BurdocksillError, OSError, UnicodeDecodeError) as error:
        sys.stderr.write(f'settings cannot be read: {error}\n')
        sys.exit(EXIT_BAD_SETTING)
    early_lines.writer = LineWriter(node=settings.name)
    early_lines.set_level(settings.log_level)
    logger.info(
        'started',
        extra={
            'listen': str(settings.listen),
            'features': sorted(one.value for one in settings.features),
        },
    )
    rng = Random()
    listen = (settings.listen.host, settings.listen.port)
    core = make_core(
        settings=settings,
        datagrams=early.packets or bind_packets(listen),
        decode=RecordDecoder().decode,
        rng=rng,
    )
    read_store(settings, core, early.first_page)
    program = import_while_serving(PROGRAM, core)
    logger.info('program loaded', extra={'known': core.progress.is_synced})
    ready = (settings.ready.host, settings.ready.port)
    probes = early.probes or bind_probes(ready)
    program.run(settings, core, rng, read_settings, probes)
