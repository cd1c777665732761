"""Measure a node's processor time from start to its first forwarded packet.

    python -m tools.start_cost [--before REVISION] [--rounds N]

The time from exec to the first packet at an upstream is compared with that of
a bare interpreter in the same run, for this tree and, if given, an earlier
revision.
"""

import base64
import json
import os
import resource
import socket
import statistics
import subprocess
import sys
import sysconfig
import tempfile
import threading
import time
from contextlib import suppress
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Final

import click

from burdocksill.packets.header import HEADER, SYN, parse_ipv4
from burdocksill.platform.early import VARIABLE
from burdocksill.platform.records import MANIFEST, UPSTREAMS
from burdocksill_lab.packets.upstream import LabUpstream
from burdocksill_lab.packets.world import (
    ROUTE_HOST,
    ROUTE_PORT,
    PacketWorld,
)

ROOT: Final = Path(__file__).resolve().parent.parent
HOST: Final = '127.0.0.1'
NODE_HOST: Final = '127.31.0.1'
REVISION: Final = 7
PAUSE_SECONDS: Final = 0.002
TIMEOUT_SECONDS: Final = 20.0
NANOSECONDS: Final = 1e9


class Store(BaseHTTPRequestHandler):
    """Answer every request with one page of the store."""

    protocol_version = 'HTTP/1.1'
    items: tuple[dict[str, object], ...] = ()

    def do_GET(self) -> None:
        """Send the page, whatever the path."""
        body = json.dumps(
            {'items': self.items, 'HasMore': False, 'AsOf': REVISION},
        ).encode()
        self.send_response(200)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, format: str, *args: object) -> None:
        """Write nothing."""


def store_items(upstream_port: int) -> tuple[dict[str, object], ...]:
    """Return a manifest and ten upstreams as a page's items."""
    world = PacketWorld(seed=1)
    world.put_manifest(1, {ROUTE_PORT: 'ledger'})
    for number in range(10):
        upstream: LabUpstream = world.add_upstream(f'd{number % 3}')
        entry = {
            **upstream.entry('ready'),
            'Address': f'{HOST}:{upstream_port}',
        }
        world.put(UPSTREAMS + upstream.name, json.dumps(entry).encode())
    return tuple(
        {
            'Key': key,
            'Value': base64.b64encode(value).decode(),
            'Rev': REVISION,
        }
        for key, value in world.store.items()
        if key == MANIFEST or key.startswith(UPSTREAMS)
    )


def opening_packet(port: int) -> bytes:
    """Return the first packet of a client's flow."""
    return HEADER.pack(
        0,
        0,
        1,
        0,
        parse_ipv4('127.0.0.9'),
        ROUTE_PORT,
        port,
        parse_ipv4(ROUTE_HOST),
        1,
        SYN,
    )


def first_packet_seconds(folder: Path, tree: Path, store_port: int) -> float:
    """Start a node; return its processor seconds up to the first packet."""
    upstream = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    upstream.bind((HOST, 0))
    upstream.settimeout(PAUSE_SECONDS)
    Store.items = store_items(upstream.getsockname()[1])
    port = free_port()
    settings = folder / 'node.conf'
    settings.write_text(
        f'Node=n\nZone=d0\nListen.DataAddr={NODE_HOST}:{port}\n'
        f'Listen.ReadyAddr={NODE_HOST}:{port}\n'
        f'platform.Address={HOST}:{store_port}\n',
    )
    process = subprocess.Popen(
        [sys.executable, '-S', '-m', 'burdocksill.packets'],
        env=environment(folder, {VARIABLE: str(settings)}),
        cwd=tree,
        stdout=subprocess.DEVNULL,
    )
    try:
        return wait_for_packet(process.pid, upstream, (NODE_HOST, port))
    finally:
        process.kill()
        process.wait()
        upstream.close()


def wait_for_packet(
    pid: int,
    upstream: socket.socket,
    node: tuple[str, int],
) -> float:
    """Send openings until one arrives; return the processor seconds used."""
    client = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    deadline = time.monotonic() + TIMEOUT_SECONDS
    number = 1024
    with client:
        while time.monotonic() < deadline:
            number += 1
            client.sendto(opening_packet(number), node)
            with suppress(TimeoutError):
                upstream.recv(2048)
                schedstat = Path(f'/proc/{pid}/schedstat').read_text()
                return int(schedstat.split()[0]) / NANOSECONDS
    raise TimeoutError(f'no packet within {TIMEOUT_SECONDS} s')


def free_port() -> int:
    """Return an unused port."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind((NODE_HOST, 0))
        return int(probe.getsockname()[1])


def environment(folder: Path, fields: dict[str, str]) -> dict[str, str]:
    """Return the environment of a process with its bytecode in a folder."""
    inherited = {
        name: text
        for name, text in os.environ.items()
        if not name.startswith('PYTHON')
    }
    return {
        **inherited,
        'PYTHONPYCACHEPREFIX': str(folder / 'bytecode'),
        'PYTHONPATH': sysconfig.get_path('purelib'),
        **fields,
    }


def interpreter_seconds(folder: Path) -> float:
    """Return the processor seconds of an interpreter that does nothing."""
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    subprocess.run(
        [sys.executable, '-S', '-c', 'pass'],
        env=environment(folder, {}),
        check=True,
    )
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    user = after.ru_utime - before.ru_utime
    return user + after.ru_stime - before.ru_stime


def measure(tree: Path, rounds: int) -> tuple[float, float]:
    """Return the medians of starts and of bare interpreters, in seconds."""
    server = ThreadingHTTPServer((HOST, 0), Store)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    starts: list[float] = []
    bare: list[float] = []
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        # The first start writes the bytecode, as a build would.
        first_packet_seconds(folder, tree, server.server_port)
        time.sleep(PAUSE_SECONDS)
        for _ in range(rounds):
            starts.append(
                first_packet_seconds(folder, tree, server.server_port),
            )
            bare.append(interpreter_seconds(folder))
    server.shutdown()
    server.server_close()
    return statistics.median(starts), statistics.median(bare)


def report(name: str, tree: Path, rounds: int) -> float:
    """Print a tree's figures; return their ratio to a bare interpreter."""
    start, bare = measure(tree, rounds)
    print(
        f'{name}: {start * 1000:.0f} ms to the first packet, '
        f'{start / bare:.1f} times a bare interpreter ({bare * 1000:.0f} ms)',
    )
    return start / bare


@click.command()
@click.option('--before', default='', help='A revision to compare with.')
@click.option('--rounds', default=9, help='Starts of each.')
def main(before: str, rounds: int) -> None:
    """Measure the start of this tree and of an earlier revision."""
    if before:
        with tempfile.TemporaryDirectory() as name:
            archive = subprocess.run(
                ['git', 'archive', before, 'burdocksill'],
                cwd=ROOT,
                check=True,
                capture_output=True,
            )
            subprocess.run(
                ['tar', '-x', '-C', name],
                input=archive.stdout,
                check=True,
            )
            report(before, Path(name), rounds)
    report('this tree', ROOT, rounds)


if __name__ == '__main__':
    main()
