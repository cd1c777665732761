"""Steps about acceptance."""

from functools import partial

import attrs
import trio
from behave import given, then, when
from behave.runner import Context

from burdocksill.documents.acceptance import AcceptedEdit, put_document
from burdocksill.documents.models import (
    ServiceDocument,
    Upstream,
    decode_document,
)
from burdocksill.exceptions import BurdocksillError
from burdocksill.platform.keys import document_key
from burdocksill.platform.protocols import SwapResult
from burdocksill_lab.fakes.deterministic import run_seeded
from burdocksill_lab.stand_ins.store import MemoryPlatform

SERVICE = 'kiosk-ledger'


@attrs.define(kw_only=True)
class OvertakenPlatform(MemoryPlatform):
    """Let another operator edit right after a write whose answer is lost."""

    deadline: float = 7
    overtaken: bool = False

    async def compare_and_swap(
        self, *, key: str, value: bytes, expected_revision: int
    ) -> SwapResult:
        """Swap, and let another edit follow a lost answer."""
        swap = partial(MemoryPlatform.compare_and_swap, self)
        try:
            return await swap(
                key=key, value=value, expected_revision=expected_revision
            )
        except BurdocksillError:
            if not self.overtaken:
                self.overtaken = True
                document = decode_document(self.current[key].value)
                await put_document(
                    self,
                    attrs.evolve(document, deadline_seconds=self.deadline),
                )
            raise


def stored(context: Context) -> ServiceDocument:
    """Return the document in the store."""
    value = context.platform.current[document_key(SERVICE)].value
    return decode_document(value)


def edit(context: Context, slots: int, expected: int | None = None) -> None:
    """Put a document with other slots and store the outcome."""
    upstream = attrs.evolve(context.upstream, slots=slots)
    document = attrs.evolve(context.document, upstreams=(upstream,))

    async def put() -> AcceptedEdit:
        return await put_document(
            context.platform, document, expected_revision=expected
        )

    try:
        context.accepted = run_seeded(context.seed, put)
    except BurdocksillError as error:
        context.error = error


@given('an accepted document with {slots:d} slots')
def accept(context: Context, slots: int) -> None:
    """Accept a first document."""
    context.platform = OvertakenPlatform(overtaken=True)
    context.upstream = Upstream(
        name='ledger-1',
        domain='cz-a',
        host='10.0.0.7',
        port=8080,
        slots=slots,
        connections=2000,
    )
    context.document = ServiceDocument(
        service=SERVICE, team='vratka', upstreams=(context.upstream,)
    )
    edit(context, slots)


@when('acceptance loses the answer of an edit to {slots:d} slots')
def lose_answer(context: Context, slots: int) -> None:
    """Lose one answer."""
    context.platform.faults.lost_answers = 1
    edit(context, slots)


@when(
    'acceptance loses the answer of an edit to {slots:d} slots '
    'and another follows'
)
def lose_answer_overtaken(context: Context, slots: int) -> None:
    """Lose one answer and let another operator edit on top."""
    context.platform.faults.lost_answers = 1
    context.platform.overtaken = False
    edit(context, slots)


@when('acceptance of an edit to {slots:d} slots loses the store permanently')
def lose_store(context: Context, slots: int) -> None:
    """Take the store down after the first read."""
    lose_store_for(context, slots, 1000)


@when('acceptance of an edit to {slots:d} slots loses the store for {some:d} s')
def lose_store_for(context: Context, slots: int, some: int) -> None:
    """Take the store down after the first read, for some seconds."""
    upstream = attrs.evolve(context.upstream, slots=slots)
    document = attrs.evolve(context.document, upstreams=(upstream,))
    platform = context.platform
    context.writes = platform.revision

    async def put() -> AcceptedEdit:
        platform.faults.delay_seconds = 0.1
        async with trio.open_nursery() as nursery:
            nursery.start_soon(outage)
            try:
                return await put_document(platform, document)
            finally:
                nursery.cancel_scope.cancel()

    async def outage() -> None:
        await trio.sleep(0.15)
        platform.set_down(down=True)
        await trio.sleep(some)
        platform.set_down(down=False)

    try:
        context.accepted = run_seeded(context.seed, put)
    except* BurdocksillError as group:
        context.error = group.exceptions[0]


@when(
    'acceptance gets a deadline of {seconds:g} s and then {slots:d} slots '
    'over revision {revision:d}'
)
def race(context: Context, seconds: float, slots: int, revision: int) -> None:
    """Let two operators edit the same revision."""
    platform = context.platform
    platform.deadline = seconds
    upstream = attrs.evolve(context.upstream, slots=slots)
    slower = attrs.evolve(context.document, upstreams=(upstream,))
    faster = attrs.evolve(context.document, deadline_seconds=seconds)

    async def put() -> None:
        platform.faults.delay_seconds = 0.1
        async with trio.open_nursery() as nursery:
            nursery.start_soon(put_document, platform, faster)
            await trio.sleep(0.05)
            await put_document(platform, slower, expected_revision=revision)

    try:
        run_seeded(context.seed, put)
    except* BurdocksillError as group:
        context.error = group.exceptions[0]


@when('acceptance gets an edit to {slots:d} slots')
def put_edit(context: Context, slots: int) -> None:
    """Put an edit."""
    edit(context, slots)


@then('acceptance returns revision {revision:d}')
def check_revision(context: Context, revision: int) -> None:
    """Check the revision that acceptance returns."""
    assert context.accepted.revision == revision, context.accepted
    assert not context.accepted.overtaken


@then('acceptance reports the edit as overtaken')
def check_overtaken(context: Context) -> None:
    """Check that the edit was found below a newer one."""
    assert context.accepted.overtaken, context.accepted


@then("acceptance fails with {code} and the edit's id")
def check_unknown(context: Context, code: str) -> None:
    """Check that an unknown outcome is reported as unknown."""
    assert context.error.code == code, context.error
    assert 'look for edit' in context.error.hint


@then('acceptance fails with {code} and {text}')
def check_error(context: Context, code: str, text: str) -> None:
    """Check an error."""
    assert context.error.code == code, context.error
    assert text in context.error.message, context.error


@then('the conflict shows both changes')
def check_conflict(context: Context) -> None:
    """Check that both operators' changes are shown."""
    theirs = 'their change: deadline_seconds: 10.0 -> 7.0'
    mine = 'your change: upstreams[ledger-1].slots: 2 -> 3'
    assert theirs in context.error.message, context.error
    assert mine in context.error.message, context.error


@then('the accepted document has {slots:d} slots')
def check_slots(context: Context, slots: int) -> None:
    """Check the stored document."""
    assert stored(context).upstreams[0].slots == slots


@then('the accepted document has a deadline of {seconds:g} s')
def check_deadline(context: Context, seconds: float) -> None:
    """Check the stored document."""
    assert stored(context).deadline_seconds == seconds


@then('the accepted document was written once')
def check_once(context: Context) -> None:
    """Check that an edit took effect once."""
    assert context.platform.revision == context.writes + 1
