"""Steps that follow the operators' page on logs of real nodes."""

import json
import subprocess
import tempfile
from pathlib import Path
from typing import Any

from behave import then, when
from behave.runner import Context

from burdocksill_lab.processes import program

DAY_SECONDS = 60
FIRST_UPSTREAM = 'i-0000000001'
FIRST_NODE = '127.11.0.1'

Line = dict[str, Any]


def play(context: Context, trouble: str, rounds: int = 4) -> None:
    """Play a small day, and keep its output and its logs."""
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
        timeout=DAY_SECONDS,
    )
    assert done.returncode == 1, (done.returncode, done.stdout, done.stderr)
    context.ended_badly = [
        line.partition(': ')[::2]
        for line in done.stdout.splitlines()
        if '>198.18.0.1:' in line
    ]
    assert context.ended_badly, done.stdout
    context.logs = {
        path.stem: [json.loads(line) for line in path.open()]
        for path in sorted(folder.glob('*.log'))
    }


def lines_of(context: Context, flow: str) -> list[Line]:
    """Return the lines on a flow, of all nodes, in the order of time."""
    found = [
        line
        for log in context.logs.values()
        for line in log
        if line.get('flow') == flow
    ]
    return sorted(found, key=lambda line: line['time'])


@when('flows are served while an upstream falls silent')
def play_silent(context: Context) -> None:
    """Play the first story."""
    play(context, 'silent-upstream')


@when('flows are served while some go to a port without a route')
def play_no_route(context: Context) -> None:
    """Play the second story."""
    play(context, 'no-route')


@when('two plays without trouble run at once')
def play_two(context: Context) -> None:
    """Start both before either has ended."""
    plays = [
        subprocess.Popen(
            [program('burdocksill-lab'), 'packets', '--trouble=none'],
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        for _ in range(2)
    ]
    context.ends = [
        (play.communicate(timeout=DAY_SECONDS)[0], play.returncode)
        for play in plays
    ]


@then('both served every request')
def check_both(context: Context) -> None:
    """Look at how each ended."""
    for printed, code in context.ends:
        assert code == 0, (code, printed)


@when('flows are served while a node is killed')
def play_kill(context: Context) -> None:
    """Play the third story."""
    play(context, 'kill-node', rounds=8)


@then('the log of each flow that was reset says "opened" on that upstream')
def check_opened(context: Context) -> None:
    """Look for the line that says where a flow was opened."""
    context.reset = [
        flow for outcome, flow in context.ended_badly if outcome == 'reset'
    ]
    assert context.reset, context.ended_badly
    for flow in context.reset:
        first = lines_of(context, flow)[0]
        assert first['message'] == 'opened', first
        assert first['upstream'] == FIRST_UPSTREAM, first


@then('then "{message}" with what decided')
def check_decided(context: Context, message: str) -> None:
    """Look for the end of each flow and its inputs."""
    for flow in context.reset:
        last = lines_of(context, flow)[-1]
        assert last['message'] == message, last
        assert {'upstream', 'silent', 'answer_s'} <= last.keys(), last


@then('the log of each flow that was reset says "{message}"')
def check_message(context: Context, message: str) -> None:
    """Look for the reason of a refusal."""
    for outcome, flow in context.ended_badly:
        assert outcome == 'reset', context.ended_badly
        assert lines_of(context, flow)[-1]['message'] == message


@then("the same node's log says which manifest it went by")
def check_manifest(context: Context) -> None:
    """Look for the manifest in force on the node that refused."""
    for _, flow in context.ended_badly:
        node = lines_of(context, flow)[-1]['node'].removeprefix('entry-')
        shown = [
            line
            for line in context.logs[node]
            if line['message'] == 'manifest in force'
        ]
        assert shown[-1]['version'] == 1, shown


@then('the log of each flow that failed says "opened" and nothing after it')
def check_no_end(context: Context) -> None:
    """Look for flows that nobody ended."""
    for _, flow in context.ended_badly:
        shown = {line['message'] for line in lines_of(context, flow)}
        assert shown == {'opened'}, (flow, shown)


@then(
    'one node\'s log ends without "{message}", '
    'and it is the one that was killed'
)
def check_killed(context: Context, message: str) -> None:
    """Look for the log that breaks off before the others."""
    ends = {node: log[-1]['time'] for node, log in context.logs.items()}
    assert min(ends, key=ends.__getitem__) == FIRST_NODE, ends
    for log in context.logs.values():
        assert message not in {line['message'] for line in log}
