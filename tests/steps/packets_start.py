"""Steps about the process of a node."""

import os
import resource
import signal
import socket
import subprocess
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

import trio
from behave import given, then, when
from behave.runner import Context

from burdocksill.network.addresses import Address
from burdocksill.network.http import HttpConnection
from burdocksill.network.sockets import SocketNetwork
from burdocksill.packets.faststart import (
    InitialRead,
    import_while_serving,
    run_initial_read,
)
from burdocksill.platform.calls import range_pages
from burdocksill.platform.early import VARIABLE
from burdocksill.platform.records import ALL_KEYS
from burdocksill_lab.commands.packets import UNKNOWN_PORT, restart_in_turn
from burdocksill_lab.packets.client import Outcome
from burdocksill_lab.packets.loopback import LoopbackDay, NodeProcess
from burdocksill_lab.packets.store import LabStore, Trouble
from burdocksill_lab.packets.world import PacketWorld
from burdocksill_lab.processes import free_port
from tools.start_cost import ROOT, measure

TICKS = os.sysconf('SC_CLK_TCK')
PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
LOADED = 'program loaded'
# Starts of which the median counts.
MEASURED = 5
# A line is looked for at most this long.
LINE_SECONDS = 10.0
Work = Callable[[LoopbackDay], Awaitable[None]]


def play(context: Context, work: Work) -> LoopbackDay:
    """Play a day on loopback around some work."""
    nodes, upstreams, flows = context.sizes
    folder = Path(tempfile.mkdtemp())

    async def main() -> LoopbackDay:
        async with trio.open_nursery() as nursery:
            day = LoopbackDay(
                nursery=nursery,
                folder=folder,
                port=free_port('127.0.0.1'),
            )
            try:
                await day.start(nodes=nodes, upstreams=upstreams)
                day.open_flows(flows)
                await work(day)
                context.runs = day.nodes[0].process.poll() is None
            finally:
                day.stop()
        return day

    context.day = trio.run(main)
    return context.day


async def find_line(node: NodeProcess, *texts: str) -> str:
    """Wait for a log line that holds some texts."""
    for _ in range(round(LINE_SECONDS / 0.05)):
        for line in node.log_path.read_text().splitlines():
            if all(text in line for text in texts):
                return line
        await trio.sleep(0.05)
    return ''


@given(
    'a day on loopback with {nodes:d} node, '
    '{upstreams:d} upstreams and {flows:d} flows',
)
@given(
    'a day on loopback with {nodes:d} nodes, '
    '{upstreams:d} upstreams and {flows:d} flows',
)
def prepare(context: Context, nodes: int, upstreams: int, flows: int) -> None:
    """Remember the sizes of the day; it is played by the next steps."""
    context.sizes = (nodes, upstreams, flows)
    context.wanted = []


@when('every node is stopped by SIGTERM and started again during requests')
def roll(context: Context) -> None:
    """Send requests while all nodes are replaced."""

    async def work(day: LoopbackDay) -> None:
        done = trio.Event()

        async def replace() -> None:
            await restart_in_turn(day)
            done.set()

        day.nursery.start_soon(replace)
        while not done.is_set():
            await day.request_all(1, 0.5)
        await trio.sleep(1.2)

    play(context, work)


@when('the store falls silent for {seconds:d} seconds during requests')
def silence_store(context: Context, seconds: int) -> None:
    """Send requests while the store hangs."""

    async def work(day: LoopbackDay) -> None:
        await day.request_all(1, 0.2)
        day.store.trouble = Trouble.SILENT
        await day.request_all(seconds, 1.0)
        day.open_flows(5)
        await day.request_all(1, 0.2)
        await trio.sleep(1.2)

    play(context, work)


@then('all requests on loopback were served')
def check_served(context: Context) -> None:
    """Count the outcomes."""
    outcomes = context.day.outcomes()
    assert set(outcomes) == {Outcome.SERVED}, outcomes
    context.runs = True


@when('the node\'s file gets "{line}" and it gets SIGHUP')
def change_and_hup(context: Context, line: str) -> None:
    """Remember a change with a signal."""
    context.wanted.append((line, True))


@when('the node\'s file gets "{line}" without a signal')
def change_quietly(context: Context, line: str) -> None:
    """Remember a change without one."""
    context.wanted.append((line, False))


@when("the node's file loses all lines")
def empty_file(context: Context) -> None:
    """Remember to empty the file."""
    context.wanted.append(('', False))


@then('the node logs "{message}" with "{text}"')
def check_line(context: Context, message: str, text: str) -> None:
    """Play the changes so far, and look for the line."""

    async def work(day: LoopbackDay) -> None:
        node = day.nodes[0]
        settings = day.folder / f'{node.host}.conf'
        await find_line(node, LOADED)
        for line, hup in context.wanted:
            before = settings.read_text() if line else ''
            settings.write_text(f'{before}{line}\n')
            if hup:
                node.signal(signal.SIGHUP)
        context.line = await find_line(node, message, text)

    play(context, work)
    assert context.line, f'no line with {message!r} and {text!r}'


@then('the node still runs')
def check_runs(context: Context) -> None:
    """Look at the process as it was at the end of the last day."""
    assert context.runs


@given('a settings file with {line} instead of its line')
def spoil(context: Context, line: str) -> None:
    """Write a settings file with one wrong line."""
    folder = Path(tempfile.mkdtemp())
    node = NodeProcess(
        host='127.11.0.1',
        port=free_port('127.0.0.1'),
        folder=folder,
        store=('127.10.0.1', 1),
    )
    name = line.partition('=')[0]
    lines = [
        line if one.startswith(f'{name}=') else one
        for one in node.settings().splitlines()
    ]
    context.file = folder / 'node.conf'
    context.file.write_text('\n'.join(lines))


@when('a node is started with it')
def start_spoiled(context: Context) -> None:
    """Run a node to its end."""
    context.ended = subprocess.run(
        [sys.executable, '-m', 'burdocksill.packets'],
        env={**os.environ, VARIABLE: str(context.file)},
        capture_output=True,
        text=True,
        check=False,
        timeout=20,
    )


@then('it ends with {code:d} and says "{text}"')
def check_ended(context: Context, code: int, text: str) -> None:
    """Look at the exit code and the error."""
    assert context.ended.returncode == code, context.ended
    assert text in context.ended.stderr, context.ended.stderr


@when('a node is started {count:d} times to be measured')
def measure_starts(context: Context, count: int) -> None:
    """Start a node again and again and read what it has used."""
    context.starts = []
    context.imports = []

    async def work(day: LoopbackDay) -> None:
        node = day.nodes[0]
        for _ in range(count):
            node.process.kill()
            node.process.wait()
            node.log_path.write_text('')
            node.start()
            await find_line(node, LOADED)
            context.starts.append(used(node.process.pid))
            context.imports.append(spent_on('import trio'))

    play(context, work)


def spent_on(code: str) -> float:
    """Return the processor seconds of a process that runs some code."""
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    subprocess.run([sys.executable, '-c', code], check=True)
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    user = after.ru_utime - before.ru_utime
    return user + after.ru_stime - before.ru_stime


def used(pid: int) -> tuple[float, float]:
    """Return a process's processor seconds and its megabytes."""
    stat = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    pages = int(Path(f'/proc/{pid}/statm').read_text().split()[1])
    seconds = (int(stat[11]) + int(stat[12])) / TICKS
    return seconds, pages * PAGE_BYTES / 1_000_000


@then(
    'the best start took at most {limit:f} seconds '
    'where trio takes {usual:f} seconds'
)
def check_start(context: Context, limit: float, usual: float) -> None:
    """Look at the least time, by the speed that the machine has now."""
    best = min(seconds for seconds, _ in context.starts)
    speed = max(1, min(context.imports) / usual)
    assert best <= limit * speed, (context.starts, context.imports)


@then('it holds at most {limit:d} MB')
def check_memory(context: Context, limit: int) -> None:
    """Look at the largest size."""
    assert max(size for _, size in context.starts) <= limit, context.starts


@when('starts are measured up to their first packet')
def measure_first_packets(context: Context) -> None:
    """Start nodes beside bare interpreters."""
    context.start_seconds, context.interpreter_seconds = measure(ROOT, MEASURED)


@then('they take at most {most:d} times a bare interpreter')
def check_first_packets(context: Context, most: int) -> None:
    """Compare the medians."""
    times = context.start_seconds / context.interpreter_seconds
    assert times <= most, (context.start_seconds, context.interpreter_seconds)


@given('what decides about packets, and a packet that waits')
def prepare_core(context: Context) -> None:
    """Make a node of the small world whose socket holds an opening."""
    world = PacketWorld(seed=context.seed)
    world.put_manifest(1, {8443: 'ledger'})
    world.add_upstream('a')
    node = world.add_node('a')
    sent: list[bytes] = []
    flow = world.open_flow('a')
    flow.send = lambda payload, _: sent.append(payload)
    flow.request()
    node.core.datagrams.inbox.extend(sent)
    context.core = node.core


@when('a module is imported while serving')
def import_module(context: Context) -> None:
    """Import a module that nothing here has imported."""
    context.finders = list(sys.meta_path)
    import_while_serving('colorsys', context.core)
    sys.modules.pop('colorsys', None)
    import_while_serving('colorsys', context.core)


@then('the packet was forwarded during the import')
def check_forwarded(context: Context) -> None:
    """Look at the counters."""
    assert context.core.counts['opened'] == 1, context.core.counts


@then('no finder of modules is left behind')
def check_finders(context: Context) -> None:
    """Compare the finders with those of before."""
    assert sys.meta_path == context.finders


@when('the decisions are imported in a new process')
def import_decisions(context: Context) -> None:
    """List the modules that the first step of a start imports."""
    done = subprocess.run(
        [
            sys.executable,
            # As a node is started: without the site's packages.
            '-S',
            '-c',
            'import sys, burdocksill.packets.main; print(*sys.modules)',
        ],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    context.modules = set(done.stdout.split())


@then('none of {names} was imported')
def check_modules(context: Context, names: str) -> None:
    """Look for the larger libraries."""
    wanted = {name.strip(' "') for name in names.split(',')}
    assert not wanted & context.modules, wanted & context.modules


@when('its metrics are read after {rounds:d} requests on each flow')
def read_metrics(context: Context, rounds: int) -> None:
    """Send requests, then fetch the page."""

    async def work(day: LoopbackDay) -> None:
        await day.request_all(rounds, 0.3)
        await trio.sleep(0.5)
        node = day.nodes[0]
        connection = HttpConnection(
            network=SocketNetwork(),
            remote=Address(node.host, node.port),
        )
        # A node offers itself as reader within a second of its start.
        for _ in range(round(LINE_SECONDS / 0.5)):
            reply = await connection.exchange(
                'GET',
                '/-/metrics',
                timeout=LINE_SECONDS,
            )
            context.page = reply.body.decode()
            if 'burdocksill_reads_for_domain 1' in context.page:
                break
            await trio.sleep(0.5)

    play(context, work)


@then('they hold "{text}"')
def check_metrics(context: Context, text: str) -> None:
    """Look for a line."""
    assert text in context.page.splitlines(), context.page


@when(
    'flows to an unknown port are opened every {gap:f} seconds '
    'for {seconds:d} seconds',
)
def open_unknown(context: Context, gap: float, seconds: int) -> None:
    """Open flows that no route leads anywhere."""

    async def work(day: LoopbackDay) -> None:
        for _ in range(round(seconds / gap)):
            day.open_flows(1, UNKNOWN_PORT)
            day.flows[-1].request()
            await trio.sleep(gap)

    play(context, work)


@then('each was refused within {limit:f} seconds')
def check_refused(context: Context, limit: float) -> None:
    """Look at how the flows to the unknown port ended."""
    for flow in context.day.flows:
        for request in flow.requests:
            took = request.ended_at - request.sent_at
            assert request.outcome is Outcome.RESET, request
            assert took <= limit, took


@given('a settings file with both addresses')
def write_settings(context: Context) -> None:
    """Write a settings file that can be read."""
    node = NodeProcess(
        host='127.11.0.1',
        port=free_port('127.0.0.1'),
        folder=Path(tempfile.mkdtemp()),
        store=('127.10.0.1', 1),
    )
    context.place = (node.host, node.port)
    context.file = node.folder / 'node.conf'
    context.file.write_text(node.settings())


@when('the sockets are bound early in a new process')
def bind_in_process(context: Context) -> None:
    """Bind, and print what is bound and imported."""
    code = (
        'import sys\n'
        'from burdocksill.platform.early import bind_early\n'
        'early = bind_early()\n'
        'print(early.packets.getsockname(), early.probes.getsockname())\n'
        'import signal\n'
        'print(signal.getsignal(signal.SIGHUP) is signal.SIG_IGN)\n'
        'print(*sys.modules)\n'
    )
    done = subprocess.run(
        [sys.executable, '-c', code],
        env={**os.environ, VARIABLE: str(context.file)},
        capture_output=True,
        text=True,
        check=True,
    )
    context.bound, ignored, modules = done.stdout.splitlines()
    context.ignores_hup = ignored == 'True'
    context.modules = set(modules.split())


@then('both addresses are bound')
def check_bound(context: Context) -> None:
    """Compare with the settings."""
    assert context.bound == f'{context.place} {context.place}', context.bound


@then('SIGHUP no longer ends the process')
def check_hup(context: Context) -> None:
    """Look at the signal's handler."""
    assert context.ignores_hup


@when('another process holds the address for packets')
def hold_address(context: Context) -> None:
    """Bind the address here."""
    context.held = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    context.held.bind(context.place)
    context.add_cleanup(context.held.close)


@given('what decides about packets, and {count:d} packets that wait')
def prepare_backlog(context: Context, count: int) -> None:
    """Fill a node's socket."""
    prepare_core(context)
    inbox = context.core.datagrams.inbox
    inbox.extend([inbox[0]] * (count - 1))


@when('it drains its socket every {gap:f} seconds')
def drain_backlog(context: Context, gap: float) -> None:
    """Drain until nothing waits, and once more."""
    context.behind = []
    for number in range(7):
        context.core.drain(100 + number * gap)
        context.behind.append(context.core.forwarder.flows.is_backlogged)


@then('it knows that it is behind after {rounds:d} rounds')
def check_behind(context: Context, rounds: int) -> None:
    """Look at each round."""
    assert context.behind.index(True) == rounds - 1, context.behind


@then('it is not behind once its socket was empty')
def check_caught_up(context: Context) -> None:
    """Look at the last round."""
    assert context.behind[-1] is False, context.behind


def make_list(context: Context, count: int, page: int) -> None:
    """Fill a store with a manifest and upstreams."""
    world = PacketWorld(seed=context.seed)
    world.put_manifest(1, {8443: 'ledger'})
    for _ in range(count):
        world.add_upstream('a')
    context.world = world
    context.store = LabStore(page_items=page)
    for key, value in world.store.items():
        context.store.put(key, value)


@given(
    'a store with {count:d} upstreams in pages of {page:d} '
    'that takes {seconds:f} seconds a page'
)
def make_slow_list(
    context: Context,
    count: int,
    page: int,
    seconds: float,
) -> None:
    """Let each page take a while."""
    make_list(context, count, page)
    context.store.delay_seconds = seconds


@given(
    'a store with {count:d} upstreams in pages of {page:d} that falls silent'
)
def make_silent_list(context: Context, count: int, page: int) -> None:
    """Let the store answer nothing."""
    make_list(context, count, page)
    context.store.trouble = Trouble.SILENT


@when('a node reads it at its start')
def read_at_start(context: Context) -> None:
    """Read the store as a process does before its libraries are there."""
    core = PacketWorld(seed=context.seed).add_node('a').core
    core.progress.synced_at = float('-inf')
    core.progress.revision = 0

    def read(port: int) -> None:
        reading = InitialRead(
            remote=Address('127.0.0.1', port),
            pages=range_pages(ALL_KEYS),
            core=core,
            asked_at=core.progress.now(),
        )
        run_initial_read(reading)

    async def main() -> None:
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        port = listeners[0].socket.getsockname()[1]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                trio.serve_listeners,
                context.store.serve,
                listeners,
            )
            began = trio.current_time()
            await trio.to_thread.run_sync(read, port)
            context.took = trio.current_time() - began
            nursery.cancel_scope.cancel()

    trio.run(main)
    context.core = core


@then('it knows {count:d} upstreams after at most {calls:d} calls')
def check_list(context: Context, count: int, calls: int) -> None:
    """Count what was learned."""
    known = context.core.updater.upstreams.by_name
    assert len(known) == count, len(known)
    assert len(context.store.calls) <= calls, len(context.store.calls)


@then('it goes on without them within {limit:f} seconds')
def check_goes_on(context: Context, limit: float) -> None:
    """Look at the time, and that nothing is taken for known."""
    assert context.took <= limit, context.took
    assert not context.core.progress.is_synced
