"""Steps about the start, reload and stop of a node's process."""

import os
import re
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path

import trio
from behave import given, then, when
from behave.runner import Context

from burdocksill.network.addresses import Address
from burdocksill.network.http import HttpConnection
from burdocksill.network.minimal_http import MinimalHttpExchange
from burdocksill.network.sockets import SocketNetwork
from burdocksill.packets.faststart import (
    InitialRead,
    import_while_serving,
    run_initial_read,
)
from burdocksill.platform.calls import range_pages
from burdocksill.platform.early import VARIABLE
from burdocksill.platform.early_read import FirstPageRequest
from burdocksill.platform.records import ALL_KEYS
from burdocksill_lab.commands.packets import UNKNOWN_PORT, restart_in_turn
from burdocksill_lab.packets.client import Outcome
from burdocksill_lab.packets.loopback import LoopbackDeployment, NodeProcess
from burdocksill_lab.packets.store import LabStore, StoreFault
from burdocksill_lab.packets.world import PacketWorld
from burdocksill_lab.processes import free_port
from tools.start_cost import ROOT, measure

TICKS = os.sysconf('SC_CLK_TCK')
PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
LOADED = 'program loaded'
# Number of starts whose median is compared.
MEASURED = 5
# Longest time to wait for a log line.
LINE_SECONDS = 10.0
IMPORT_SECONDS = 0.01
Work = Callable[[LoopbackDeployment], Awaitable[None]]


def run_deployment(context: Context, work: Work) -> LoopbackDeployment:
    """Run a deployment on loopback and some work in it."""
    nodes, upstreams, flows = context.sizes
    folder = Path(tempfile.mkdtemp())

    async def main() -> LoopbackDeployment:
        async with trio.open_nursery() as nursery:
            day = LoopbackDeployment(
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
    """Wait for a log line with some texts; return it, '' if there is none."""
    for _ in range(round(LINE_SECONDS / 0.05)):
        for line in node.log_path.read_text().splitlines():
            if all(text in line for text in texts):
                return line
        await trio.sleep(0.05)
    return ''


@given(
    'a deployment on loopback with {nodes:d} node, '
    '{upstreams:d} upstreams and {flows:d} flows',
)
@given(
    'a deployment on loopback with {nodes:d} nodes, '
    '{upstreams:d} upstreams and {flows:d} flows',
)
def prepare(context: Context, nodes: int, upstreams: int, flows: int) -> None:
    """Store the sizes of the deployment; later steps run it."""
    context.sizes = (nodes, upstreams, flows)
    context.wanted = []


@when('every node is stopped by SIGTERM and started again during requests')
def restart_all(context: Context) -> None:
    """Send requests during a rolling restart of all nodes."""

    async def work(day: LoopbackDeployment) -> None:
        done = trio.Event()

        async def replace() -> None:
            await restart_in_turn(day)
            done.set()

        day.nursery.start_soon(replace)
        while not done.is_set():
            await day.request_all(1, 0.5)
        await trio.sleep(1.2)

    run_deployment(context, work)


@when('the store does not answer for {seconds:d} seconds during requests')
def silence_store(context: Context, seconds: int) -> None:
    """Send requests while the store does not answer."""

    async def work(day: LoopbackDeployment) -> None:
        await day.request_all(1, 0.2)
        day.store.injected_fault = StoreFault.SILENT
        await day.request_all(seconds, 1.0)
        day.open_flows(5)
        await day.request_all(1, 0.2)
        await trio.sleep(1.2)

    run_deployment(context, work)


@then('all requests on loopback were served')
def check_served(context: Context) -> None:
    """Count the outcomes."""
    outcomes = context.day.outcomes()
    assert set(outcomes) == {Outcome.SERVED}, outcomes
    context.runs = True


@when('the node\'s file gets "{line}" and it gets SIGHUP')
def change_and_hup(context: Context, line: str) -> None:
    """Store a change to make with a signal."""
    context.wanted.append((line, True))


@when('the node\'s file gets "{line}" without a signal')
def change_quietly(context: Context, line: str) -> None:
    """Store a change to make without a signal."""
    context.wanted.append((line, False))


@when("the node's file loses all lines")
def empty_file(context: Context) -> None:
    """Store that the file is to be emptied."""
    context.wanted.append(('', False))


@then('the node logs "{message}" with "{text}"')
def check_line(context: Context, message: str, text: str) -> None:
    """Run a deployment, make the stored changes and wait for the line."""

    async def work(day: LoopbackDeployment) -> None:
        node = day.nodes[0]
        settings = day.folder / f'{node.host}.conf'
        await find_line(node, LOADED)
        for line, hup in context.wanted:
            before = settings.read_text() if line else ''
            settings.write_text(f'{before}{line}\n')
            if hup:
                node.signal(signal.SIGHUP)
        context.line = await find_line(node, message, text)

    run_deployment(context, work)
    assert context.line, f'no line with {message!r} and {text!r}'


@then('the node still runs')
def check_runs(context: Context) -> None:
    """Check that the process was running at the end."""
    assert context.runs


@given('a settings file with {line} instead of its line')
def write_invalid_settings(context: Context, line: str) -> None:
    """Write a settings file with one invalid line."""
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
def start_with_file(context: Context) -> None:
    """Run a node until it exits."""
    context.ended = subprocess.run(
        [sys.executable, '-m', 'burdocksill.packets'],
        env={**os.environ, VARIABLE: str(context.file)},
        capture_output=True,
        text=True,
        check=False,
        timeout=20,
    )


@when('a node is started by the command of the deploy file')
def start_as_deployed(context: Context) -> None:
    """Run the command until it exits; list what it imports."""
    deployed = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
    _, *arguments = deployed['roles']['entry']['run'].split()
    context.ended = subprocess.run(
        [sys.executable, '-v', *arguments],
        cwd=ROOT,
        env={**os.environ, VARIABLE: str(context.file)},
        capture_output=True,
        text=True,
        check=False,
        timeout=20,
    )


@then('it imported neither runpy nor modules of its folder')
def check_imports(context: Context) -> None:
    """Look for them in the interpreter's list of imports."""
    imported = re.findall(r"^import '?([\w.]+)", context.ended.stderr, re.M)
    assert 'burdocksill.packets.main' in imported
    assert not {'runpy', 'node', 'system'} & set(imported), imported


@then('it ends with {code:d} and says "{text}"')
def check_ended(context: Context, code: int, text: str) -> None:
    """Check the exit code and the error output."""
    assert context.ended.returncode == code, context.ended
    assert text in context.ended.stderr, context.ended.stderr


@when('a node is started {count:d} times to be measured')
def measure_starts(context: Context, count: int) -> None:
    """Start a node repeatedly and record its processor time and memory."""
    context.starts = []
    context.imports = []

    async def work(day: LoopbackDeployment) -> None:
        node = day.nodes[0]
        for _ in range(count):
            node.process.kill()
            node.process.wait()
            node.log_path.write_text('')
            node.start()
            await find_line(node, LOADED)
            context.starts.append(resource_usage(node.process.pid))
            context.imports.append(processor_seconds('import trio'))

    run_deployment(context, work)


def processor_seconds(code: str) -> float:
    """Return the processor time of a Python process that runs some code."""
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    subprocess.run([sys.executable, '-c', code], check=True)
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    user = after.ru_utime - before.ru_utime
    return user + after.ru_stime - before.ru_stime


def resource_usage(pid: int) -> tuple[float, float]:
    """Return the processor seconds and megabytes of a process."""
    stat = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    pages = int(Path(f'/proc/{pid}/statm').read_text().split()[1])
    seconds = (int(stat[11]) + int(stat[12])) / TICKS
    return seconds, pages * PAGE_BYTES / 1_000_000


@then(
    'the best start took at most {limit:f} seconds '
    'where trio takes {usual:f} seconds'
)
def check_start(context: Context, limit: float, usual: float) -> None:
    """Compare the least time, scaled by the speed of the machine."""
    best = min(seconds for seconds, _ in context.starts)
    speed = max(1, min(context.imports) / usual)
    assert best <= limit * speed, (context.starts, context.imports)


@then('it holds at most {limit:d} MB')
def check_memory(context: Context, limit: int) -> None:
    """Compare the largest size."""
    assert max(size for _, size in context.starts) <= limit, context.starts


@when('starts are measured up to their first packet')
def measure_first_packets(context: Context) -> None:
    """Measure starts of nodes and of interpreters without a program."""
    context.start_seconds, context.interpreter_seconds = measure(ROOT, MEASURED)


@then('they take at most {most:d} times an interpreter without a program')
def check_first_packets(context: Context, most: int) -> None:
    """Compare the medians."""
    times = context.start_seconds / context.interpreter_seconds
    assert times <= most, (context.start_seconds, context.interpreter_seconds)


@given('a packet path with a waiting packet')
def prepare_core(context: Context) -> None:
    """Create a simulated node with an opening in its socket."""
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
    """Import a module that nothing else has imported."""
    context.finders = list(sys.meta_path)
    import_while_serving('colorsys', context.core)
    sys.modules.pop('colorsys', None)
    import_while_serving('colorsys', context.core)


@then('the packet was forwarded during the import')
def check_forwarded(context: Context) -> None:
    """Compare the counter."""
    assert context.core.counts['opened'] == 1, context.core.counts


@then('the meta path finder was removed')
def check_finders(context: Context) -> None:
    """Compare the finders with those before the import."""
    assert sys.meta_path == context.finders


@when('the packet path is imported in a new process')
def import_packet_path(context: Context) -> None:
    """List the modules that are imported before the first packet."""
    done = subprocess.run(
        [
            sys.executable,
            # Without the site module, as a node is started.
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
    """Check that none of the libraries was imported."""
    wanted = {name.strip(' "') for name in names.split(',')}
    assert not wanted & context.modules, wanted & context.modules


@when('its metrics are read after {rounds:d} requests on each flow')
def read_metrics(context: Context, rounds: int) -> None:
    """Send requests, then fetch the page."""

    async def work(day: LoopbackDeployment) -> None:
        await day.request_all(rounds, 0.3)
        await trio.sleep(0.5)
        node = day.nodes[0]
        connection = HttpConnection(
            network=SocketNetwork(),
            remote=Address(node.host, node.port),
        )
        # A node campaigns to be the reader within a second of its start.
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

    run_deployment(context, work)


@then('they hold "{text}"')
def check_metrics(context: Context, text: str) -> None:
    """Check that the page has a line."""
    assert text in context.page.splitlines(), context.page


@when(
    'flows to an unknown port are opened every {gap:f} seconds '
    'for {seconds:d} seconds',
)
def open_unknown(context: Context, gap: float, seconds: int) -> None:
    """Open flows to a port without a route."""

    async def work(day: LoopbackDeployment) -> None:
        for _ in range(round(seconds / gap)):
            day.open_flows(1, UNKNOWN_PORT)
            day.flows[-1].request()
            await trio.sleep(gap)

    run_deployment(context, work)


@then('each was reset within {limit:f} seconds')
def check_refused(context: Context, limit: float) -> None:
    """Check the outcome and duration of each request."""
    for flow in context.day.flows:
        for request in flow.requests:
            took = request.ended_at - request.sent_at
            assert request.outcome is Outcome.RESET, request
            assert took <= limit, took


@given('a settings file with both addresses')
def write_settings(context: Context) -> None:
    """Write a valid settings file."""
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
    """Bind the sockets, and print the addresses and imported modules."""
    code = (
        'import sys\n'
        'from burdocksill.platform.early import bind_early\n'
        'early = bind_early()\n'
        'print(early.packets.getsockname(), early.probes.getsockname())\n'
        'print(*sys.modules)\n'
        'import signal\n'
        'print(signal.getsignal(signal.SIGHUP) is signal.SIG_IGN)\n'
    )
    done = subprocess.run(
        [sys.executable, '-S', '-c', code],
        env={**os.environ, VARIABLE: str(context.file)},
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    context.bound, modules, ignored = done.stdout.splitlines()
    context.ignores_hup = ignored == 'True'
    context.modules = set(modules.split())


@then('both addresses are bound')
def check_bound(context: Context) -> None:
    """Compare with the settings."""
    assert context.bound == f'{context.place} {context.place}', context.bound


@then('SIGHUP no longer ends the process')
def check_hup(context: Context) -> None:
    """Check the handler of the signal."""
    assert context.ignores_hup


@when('another process has bound the address for packets')
def hold_address(context: Context) -> None:
    """Bind the address in this process."""
    context.held = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    context.held.bind(context.place)
    context.add_cleanup(context.held.close)


@given('a packet path with {count:d} waiting packets')
def prepare_backlog(context: Context, count: int) -> None:
    """Put packets into a node's socket."""
    prepare_core(context)
    inbox = context.core.datagrams.inbox
    inbox.extend([inbox[0]] * (count - 1))


@when('it drains its socket every {gap:f} seconds')
def drain_backlog(context: Context, gap: float) -> None:
    """Drain in rounds until the socket has been empty."""
    context.behind = []
    for number in range(7):
        context.core.drain(100 + number * gap)
        context.behind.append(context.core.forwarder.flows.is_backlogged)


@then('it detects its backlog in round {rounds:d}')
def check_behind(context: Context, rounds: int) -> None:
    """Check the first round with a backlog."""
    assert context.behind.index(True) == rounds - 1, context.behind


@then('it has no backlog once its socket was empty')
def check_caught_up(context: Context) -> None:
    """Check the last round."""
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
    """Delay each page."""
    make_list(context, count, page)
    context.store.delay_seconds = seconds


@given(
    'a store with {count:d} upstreams in pages of {page:d} that does not answer'
)
def make_silent_list(context: Context, count: int, page: int) -> None:
    """Make the store unresponsive."""
    make_list(context, count, page)
    context.store.injected_fault = StoreFault.SILENT


@when('a node reads it at its start')
@when('a node reads it after {import_seconds:f} seconds of imports')
def read_at_start(context: Context, import_seconds: float = 0) -> None:
    """Run the initial read of the store."""
    core = PacketWorld(seed=context.seed).add_node('a').core
    core.progress.synced_at = float('-inf')
    core.progress.revision = 0

    def read(port: int) -> None:
        first_page = FirstPageRequest(remote=('127.0.0.1', port))
        for _ in range(round(import_seconds / IMPORT_SECONDS)):
            first_page.proceed()
            time.sleep(IMPORT_SECONDS)
        context.unread = list(first_page.received)
        reading = InitialRead(
            remote=Address('127.0.0.1', port),
            pages=range_pages(ALL_KEYS),
            core=core,
            first_page=first_page,
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
    """Count the known upstreams and the calls."""
    known = context.core.updater.upstreams.by_name
    assert len(known) == count, len(known)
    assert len(context.store.calls) <= calls, len(context.store.calls)


@then('the answer to its first call arrived during the imports')
def check_arrived(context: Context) -> None:
    """Check the bytes that were received before the initial read."""
    assert context.unread


@given('a settings file with the address of a store')
def write_store_address(context: Context) -> None:
    """Write a valid settings file; listen at the address of its store."""
    context.listener = socket.create_server(('127.0.0.1', 0))
    context.listener.settimeout(LINE_SECONDS)
    context.add_cleanup(context.listener.close)
    context.store = context.listener.getsockname()
    node = NodeProcess(
        host='127.11.0.1',
        port=free_port('127.0.0.1'),
        folder=Path(tempfile.mkdtemp()),
        store=context.store,
    )
    context.file = node.folder / 'node.conf'
    context.file.write_text(node.settings())


@given('the store refuses connections')
def stop_listening(context: Context) -> None:
    """Close the socket of the store."""
    context.listener.close()


@when('a new process imports the packet path')
def import_in_process(context: Context) -> None:
    """Start as a node does, up to the initial read of the store."""
    code = (
        'from burdocksill.packets.__main__ import import_main\n'
        'from burdocksill.platform.early import bind_early\n'
        'early = bind_early()\n'
        'program = import_main(early)\n'
        'print(len(early.first_page.unsent))\n'
        'settings = program.read_settings()\n'
        'core = program.make_core(settings=settings, rng=program.Random(1),\n'
        '    datagrams=early.packets, decode=program.RecordDecoder().decode)\n'
        'program.read_store(settings, core, early.first_page)\n'
        'print(core.progress.is_synced)\n'
    )
    done = subprocess.run(
        [sys.executable, '-S', '-c', code],
        env={**os.environ, VARIABLE: str(context.file)},
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
        timeout=20,
    )
    context.started = done


@then('the store has received the first request of the initial read')
def check_first_request(context: Context) -> None:
    """Compare with the bytes that the encoders of the initial read give."""
    connection, _ = context.listener.accept()
    with connection:
        received = connection.recv(4096)
    exchange = MinimalHttpExchange(remote=Address(*context.store))
    expected = exchange.request(next(range_pages(ALL_KEYS)))
    assert received == expected, (received, expected)


@then('nothing of the request was left to send')
def check_sent(context: Context) -> None:
    """Check the bytes left to send once the packet path was imported."""
    assert context.started.stdout.startswith('0\n'), context.started


@then('the process continues without the store')
def check_continues(context: Context) -> None:
    """Check that the process reached its end, without a read."""
    assert context.started.returncode == 0, context.started
    assert context.started.stdout.splitlines()[-1] == 'False', context.started


@then('it continues without them within {limit:f} seconds')
def check_goes_on(context: Context, limit: float) -> None:
    """Check the time, and that the node is not in sync."""
    assert context.took <= limit, context.took
    assert not context.core.progress.is_synced
