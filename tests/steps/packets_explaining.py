"""Steps that apply the operators' page to logs of real nodes."""

import json
import subprocess
import tempfile
from pathlib import Path
from typing import Any

from behave import then, when
from behave.runner import Context

from burdocksill_lab.processes import program

TIMEOUT_SECONDS = 60
FIRST_UPSTREAM = 'i-0000000001'
FIRST_NODE = '127.11.0.1'

Line = dict[str, Any]


def run_simulation(context: Context, trouble: str, rounds: int = 4) -> None:
    """Run a small simulation, and store its failures and logs."""
    folder = Path(tempfile.mkdtemp())
    done = subprocess.run(
        [
            program('burdocksill-lab'),
            'packets',
            f'--trouble={trouble}',
            f'--rounds={rounds}',
            f'--logs={folder}',
        ],
        capture_output=True,
        text=True,
        check=False,
        timeout=TIMEOUT_SECONDS,
    )
    assert done.returncode == 1, (done.returncode, done.stdout, done.stderr)
    context.failed_flows = [
        line.partition(': ')[::2]
        for line in done.stdout.splitlines()
        if '>198.18.0.1:' in line
    ]
    assert context.failed_flows, done.stdout
    context.logs = {
        path.stem: [json.loads(line) for line in path.open()]
        for path in sorted(folder.glob('*.log'))
    }


def lines_of(context: Context, flow: str) -> list[Line]:
    """Return the log lines on a flow from all nodes, sorted by time."""
    found = [
        line
        for log in context.logs.values()
        for line in log
        if line.get('flow') == flow
    ]
    return sorted(found, key=lambda line: line['time'])


@when('flows are served while an upstream stops answering')
def run_with_silent_upstream(context: Context) -> None:
    """Run the first example."""
    run_simulation(context, 'silent-upstream')


@when('flows are served while some use a port without a route')
def run_without_route(context: Context) -> None:
    """Run the second example."""
    run_simulation(context, 'no-route')


@when('two simulations without faults run at the same time')
def run_two(context: Context) -> None:
    """Start both before waiting for either."""
    processes = [
        subprocess.Popen(
            [program('burdocksill-lab'), 'packets', '--trouble=none'],
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        for _ in range(2)
    ]
    context.ends = [
        (
            run_simulation.communicate(timeout=TIMEOUT_SECONDS)[0],
            run_simulation.returncode,
        )
        for run_simulation in processes
    ]


@then('both served every request')
def check_both(context: Context) -> None:
    """Check the exit code of each."""
    for printed, code in context.ends:
        assert code == 0, (code, printed)


@when('flows are served while a node is killed')
def run_with_killed_node(context: Context) -> None:
    """Run the third example."""
    run_simulation(context, 'kill-node', rounds=8)


@then('the log of each flow that was reset says "opened" on that upstream')
def check_opened(context: Context) -> None:
    """Check the line that says where a flow was opened."""
    context.reset = [
        flow for outcome, flow in context.failed_flows if outcome == 'reset'
    ]
    assert context.reset, context.failed_flows
    for flow in context.reset:
        first = lines_of(context, flow)[0]
        assert first['message'] == 'opened', first
        assert first['upstream'] == FIRST_UPSTREAM, first


@then('then "{message}" with the values behind the decision')
def check_decided(context: Context, message: str) -> None:
    """Check the last line of each flow and its fields."""
    for flow in context.reset:
        last = lines_of(context, flow)[-1]
        assert last['message'] == message, last
        assert {'upstream', 'silent', 'answer_s'} <= last.keys(), last


@then('the log of each flow that was reset says "{message}"')
def check_message(context: Context, message: str) -> None:
    """Check the reason of the refusal."""
    for outcome, flow in context.failed_flows:
        assert outcome == 'reset', context.failed_flows
        assert lines_of(context, flow)[-1]['message'] == message


@then("the same node's log says which manifest was in force")
def check_manifest(context: Context) -> None:
    """Check the manifest in force on the node that refused."""
    for _, flow in context.failed_flows:
        node = lines_of(context, flow)[-1]['node'].removeprefix('entry-')
        shown = [
            line
            for line in context.logs[node]
            if line['message'] == 'manifest in force'
        ]
        assert shown[-1]['version'] == 1, shown


@then('the log of each flow that failed says "opened" and nothing after it')
def check_no_end(context: Context) -> None:
    """Check that no line says that the flow was reset."""
    for _, flow in context.failed_flows:
        shown = {line['message'] for line in lines_of(context, flow)}
        assert shown == {'opened'}, (flow, shown)


@then(
    'one node\'s log ends without "{message}", which is that of the killed node'
)
def check_killed(context: Context, message: str) -> None:
    """Check that the killed node's log ends before the others."""
    ends = {node: log[-1]['time'] for node, log in context.logs.items()}
    assert min(ends, key=ends.__getitem__) == FIRST_NODE, ends
    for log in context.logs.values():
        assert message not in {line['message'] for line in log}
