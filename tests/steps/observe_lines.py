"""Steps about log lines for state changes."""

import attrs
import trio
from behave import given, then, when
from behave.runner import Context

from burdocksill.documents.models import ServiceDocument
from burdocksill.observe.lines import StateLogger
from burdocksill_lab.fakes.deterministic import run_seeded
from burdocksill_lab.fakes.world import open_world

OUTAGE_SECONDS = 600


@attrs.define(kw_only=True)
class RecordingLogger:
    """Fake logger that records messages."""

    messages: list[str] = attrs.field(factory=list)

    def log(self, level: int, text: str, *, extra: dict[str, str]) -> None:
        """Record one message."""
        assert extra['upstream'] == 'ledger-1'
        self.messages.append(text)


@given('a logged upstream that refuses connections')
def plan(context: Context) -> None:
    """Create the logger of its client."""
    context.lines = RecordingLogger()


@when('ten minutes pass and it accepts them again')
def run(context: Context) -> None:
    """Run a VM with one upstream that refuses connections at first."""

    async def script() -> None:
        async with open_world(context.seed) as world:
            line = world.start_upstream('kiosk-ledger', 'ledger-1', 'cz-a')
            listener = world.network.listeners.pop(line.address)
            await world.put_document(
                ServiceDocument(
                    service='kiosk-ledger',
                    team='vratka',
                    upstreams=(line,),
                ),
            )
            running = await world.start_node('cz-a-entry-1', 'cz-a')
            await trio.sleep(1)
            owned = next(iter(running.node.owners.owned.values()))
            owned.client.state_logger = StateLogger(logger=context.lines)
            await trio.sleep(OUTAGE_SECONDS)
            world.network.listeners[line.address] = listener
            await trio.sleep(10)

    run_seeded(context.seed, script)


@then('the log has the lines "{first}" and "{second}"')
def check_lines(context: Context, first: str, second: str) -> None:
    """Compare all messages."""
    assert context.lines.messages == [first, second], context.lines.messages
