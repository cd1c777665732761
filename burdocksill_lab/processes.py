"""Start the programs as separate processes on loopback and end them.

Only the lab starts processes; burdocksill itself never does.
"""

import signal
import socket
import subprocess
import sys
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from pathlib import Path
from typing import Final

import attrs
import trio

from burdocksill.exceptions import BurdocksillError
from burdocksill.network.protocols import Address
from burdocksill.platform.protocols import VmRecord

# A planned stop of an entry VM ends within 30 seconds.
STOP_SECONDS: Final = 40.0
POLL_SECONDS: Final = 0.05
START_SECONDS: Final = 20.0


class ProcessFailedError(BurdocksillError):
    """Say which program failed and what it printed."""

    code = 'burdocksill.E901'


def program(name: str) -> str:
    """Return the path of an installed program."""
    return str(Path(sys.executable).parent / name)


def free_port(
    host: str,
    kind: socket.SocketKind = socket.SOCK_STREAM,
) -> int:
    """Return a port that is free now, picked by the kernel."""
    with socket.socket(type=kind) as probe:
        probe.bind((host, 0))
        port: int = probe.getsockname()[1]
        return port


def entry_record(name: str, host: str) -> VmRecord:
    """Describe an entry VM on free ports, so that runs do not collide."""
    return VmRecord(
        name=name,
        domain=name.rpartition('-entry-')[0],
        role='entry',
        host=host,
        caller_port=free_port(host, socket.SOCK_DGRAM),
        peer_port=free_port(host, socket.SOCK_DGRAM),
        admin_port=free_port(host),
    )


@attrs.define(kw_only=True)
class ProcessGroup:
    """Hold the processes that one run started, by name."""

    running: dict[str, subprocess.Popen[bytes]] = attrs.field(factory=dict)
    logs: Path

    def start(
        self,
        name: str,
        arguments: list[str],
        *,
        environment: Mapping[str, str] | None = None,
    ) -> None:
        """Start a program; its log goes to a file of its name."""
        log = self.logs / f'{name}.log'
        with log.open('ab') as sink:
            self.running[name] = subprocess.Popen(
                [program(arguments[0]), *arguments[1:]],
                stdout=sink,
                stderr=sink,
                env=environment,
            )

    def stop(self, name: str) -> int:
        """Ask a process to end and return its exit code."""
        process = self.running.pop(name)
        process.send_signal(signal.SIGTERM)
        try:
            return process.wait(STOP_SECONDS)
        except subprocess.TimeoutExpired:
            process.kill()
            return process.wait()

    def kill(self, name: str) -> None:
        """End a process as a lost VM ends."""
        process = self.running.pop(name)
        process.kill()
        process.wait()

    def kill_all(self) -> None:
        """End everything that still runs."""
        for name in list(self.running):
            self.kill(name)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a process a signal, such as SIGSTOP and SIGCONT."""
        self.running[name].send_signal(number)

    def stop_all(self) -> dict[str, int]:
        """Stop everything, the last started first."""
        return {name: self.stop(name) for name in reversed(list(self.running))}

    def log(self, name: str) -> str:
        """Return what a process printed."""
        return (self.logs / f'{name}.log').read_text()


def run_program(arguments: list[str]) -> str:
    """Run a program to its end and return what it printed."""
    done = subprocess.run(
        [program(arguments[0]), *arguments[1:]],
        capture_output=True,
        text=True,
        check=False,
        timeout=START_SECONDS,
    )
    if done.returncode != 0:
        raise ProcessFailedError(
            message=f'{arguments[0]} ended with {done.returncode}',
            hint=done.stderr.strip(),
        )
    return done.stdout


@contextmanager
def process_group(logs: Path) -> Iterator[ProcessGroup]:
    """Hold processes; what still runs is ended at once with the block."""
    group = ProcessGroup(logs=logs)
    try:
        yield group
    finally:
        group.kill_all()


async def wait_for_port(address: Address) -> None:
    """Wait until something accepts connections."""
    with trio.fail_after(START_SECONDS):
        while True:
            try:
                stream = await trio.open_tcp_stream(address.host, address.port)
            except OSError:
                await trio.sleep(POLL_SECONDS)
                continue
            await stream.aclose()
            return


async def wait_for_line(group: ProcessGroup, name: str, text: str) -> None:
    """Wait until a process has printed a text; show its log if not."""
    with trio.move_on_after(START_SECONDS):
        # The log of another process has no event to wait for.
        while text not in group.log(name):  # noqa: ASYNC110
            await trio.sleep(POLL_SECONDS)
        return
    raise ProcessFailedError(
        message=f'{name} did not print {text!r} in {START_SECONDS} s',
        hint=group.log(name),
    )
