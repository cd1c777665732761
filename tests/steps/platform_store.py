"""Steps about the client of the platform's store."""

import json
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

import trio
from behave import given, then, when
from behave.runner import Context

from burdocksill.exceptions import BurdocksillError
from burdocksill.network.addresses import Address
from burdocksill.network.http import HttpConnection
from burdocksill.network.reply import HttpReply
from burdocksill.network.sockets import SocketNetwork
from burdocksill.packets.placement import PacketPlacer
from burdocksill.packets.routing import RoutingTable
from burdocksill.packets.store_cache import StoreCache, SyncProgress
from burdocksill.packets.updater import StateUpdater
from burdocksill.packets.upstreams import UpstreamRegistry
from burdocksill.packets.watcher import StoreWatcher
from burdocksill.platform.calls import range_pages, read_era
from burdocksill.platform.records import ALL_KEYS, MANIFEST, RecordDecoder
from burdocksill.platform.revisions import era_of
from burdocksill.platform.store import StoreClient
from burdocksill_lab.packets.drill import copy_store, restore_store
from burdocksill_lab.packets.store import LabStore, StoreFault

MEGABIT_BYTES = 125_000

Work = Callable[[StoreClient], Awaitable[Any]]


def with_store(context: Context, work: Work) -> Any:
    """Serve the scenario's store and run some work with a client."""

    async def main() -> Any:
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        port = listeners[0].socket.getsockname()[1]
        connection = HttpConnection(
            network=SocketNetwork(),
            remote=Address('127.0.0.1', port),
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                trio.serve_listeners,
                context.store.serve,
                listeners,
            )
            result = await work(StoreClient(connection=connection))
            await connection.close()
            nursery.cancel_scope.cancel()
        return result

    return trio.run(main)


@given('a store with {count:d} keys in pages of {page:d}')
def make_store(context: Context, count: int, page: int) -> None:
    """Fill a store."""
    context.store = LabStore(page_items=page)
    for number in range(count):
        context.store.put(f'servers/i-{number:05}', b'{}')


@given('a store with the keys "{a}", "{b}", "{c}", "{d}" in pages of {page:d}')
def make_reserved(
    context: Context,
    a: str,
    b: str,
    c: str,
    d: str,
    page: int,
) -> None:
    """Fill a store with keys that contain reserved characters."""
    context.store = LabStore(page_items=page)
    for key in (a, b, c, d):
        context.store.put(key, b'{}')


@given('a value of {size:d} bytes behind a link of {megabits:d} Mbit/s')
def make_slow(context: Context, size: int, megabits: int) -> None:
    """Fill a store behind a slow link."""
    context.store = LabStore(bytes_per_second=megabits * MEGABIT_BYTES)
    context.store.put('op/large', bytes(size))


@when('everything is read')
def read_all(context: Context) -> None:
    """Read every key."""

    async def work(platform: StoreClient) -> Any:
        return await platform.read_prefix(ALL_KEYS)

    context.found = with_store(context, work)
    context.reading_calls = len(context.store.calls)


@then('{count:d} values were read in {calls:d} calls')
def check_read(context: Context, count: int, calls: int) -> None:
    """Count values and calls."""
    assert len({one.key for one in context.found.values}) == count
    assert context.reading_calls == calls, context.reading_calls


@when('a key is written and another removed')
def change_store(context: Context) -> None:
    """Write one key and remove another."""
    context.store.put('servers/new', b'{}')
    context.store.remove('servers/i-00000')


@when('a key is written and the history compacted')
def compact_history(context: Context) -> None:
    """Write a key and compact the store."""
    context.store.put('servers/new', b'{}')
    context.store.compact()


@when(
    'the store is restored from a copy of before, with {count:d} changes since'
)
def restore(context: Context, count: int) -> None:
    """Lose two changes, and write others since."""
    saved = copy_store(context.store)
    for number in range(2):
        context.store.put(f'servers/lost-{number}', b'{}')
    if hasattr(context, 'found'):
        read_all(context)
    restore_store(context.store, saved, now=0)
    for number in range(count):
        context.store.put(f'servers/later-{number}', b'{}')


@then('a full read has a higher revision than the last')
def check_higher(context: Context) -> None:
    """Read all keys and compare revisions."""
    before = context.found.revision
    read_all(context)
    assert context.found.revision > before, (before, context.found.revision)


@when('the store answers with the era "{text}" while era {era:d} is known')
def answer_era(context: Context, text: str, era: int) -> None:
    """Read the era of an answer."""
    reply = HttpReply(status=200, headers=(('store-era', text),))
    context.era = read_era(reply, era)


@then('the answer is of era {era:d}')
def check_answer_era(context: Context, era: int) -> None:
    """Compare the era."""
    assert context.era == era, context.era


@when('the store is restored between two pages of a full read')
def restore_between(context: Context) -> None:
    """Restore the store when it has answered with the first page."""
    store = context.store
    saved = copy_store(store)
    store.put('servers/i-00000-lost', b'{}')

    async def work(platform: StoreClient) -> Any:
        pages = range_pages(ALL_KEYS)
        target = next(pages)
        count = 0
        while True:
            reply = await platform.call('GET', target)
            count += 1
            if count == 1:
                restore_store(store, saved, now=0)
            try:
                target = pages.send(reply)
            except StopIteration as done:
                return done.value

    context.found = with_store(context, work)


@then('the full read has the keys and the era of the restored store')
def check_restored(context: Context) -> None:
    """Compare keys and era."""
    found = [one.key for one in context.found.values]
    assert found == sorted(context.store.items), found
    assert era_of(context.found.revision) == context.store.era


@when('a key is written, and again after a restore')
def write_after_restore(context: Context) -> None:
    """Write a key, restore the store and write with the old condition."""
    store = context.store

    async def work(platform: StoreClient) -> Any:
        first = await platform.compare_and_swap(
            key='burdocksill/x', value=b'first', expected_revision=0
        )
        restore_store(store, copy_store(store), now=0)
        await platform.read('burdocksill/x')
        calls = len(store.calls)
        try:
            await platform.compare_and_swap(
                key='burdocksill/x',
                value=b'second',
                expected_revision=first.revision,
            )
        except BurdocksillError as error:
            return error.code, len(store.calls) - calls
        return 'none', 0

    context.refused = with_store(context, work)


@then('the second write fails with "{code}" without a call')
def check_write_refused(context: Context, code: str) -> None:
    """Compare the error code and the number of calls."""
    assert context.refused == (code, 0), context.refused


def next_changes(context: Context) -> Any:
    """Wait for changes after the full read; return them or the error."""

    async def work(platform: StoreClient) -> Any:
        after = context.found.revision
        try:
            return await platform.changes(prefix=ALL_KEYS, after=after)
        except BurdocksillError as error:
            return error

    return with_store(context, work)


@then('the next changes are one written and one removed key')
def check_changes(context: Context) -> None:
    """Compare both changes."""
    found = next_changes(context).values
    shown = [(one.key, one.removed) for one in found]
    assert shown == [('servers/new', False), ('servers/i-00000', True)], shown


@then('the next changes are none')
def check_no_changes(context: Context) -> None:
    """Check that the answer has no changes."""
    found = next_changes(context)
    assert not found.values
    assert found.revision == context.found.revision


@then('the next changes fail with "{code}"')
def check_changes_fail(context: Context, code: str) -> None:
    """Compare the error code."""
    error = next_changes(context)
    assert getattr(error, 'code', 'none') == code, error


@then('a watch whose connection is closed fails with "{code}"')
def check_closed(context: Context, code: str) -> None:
    """Close the connection during a watch call and check its error."""

    async def close_soon(platform: StoreClient) -> None:
        await trio.sleep(0.2)
        await platform.connection.close()

    async def work(platform: StoreClient) -> Any:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(close_soon, platform)
            after = context.found.revision
            try:
                await platform.changes(prefix=ALL_KEYS, after=after)
            except BurdocksillError as error:
                return error.code
        return 'none'

    found = with_store(context, work)
    assert found == code, found


@when('the store\'s trouble is "{name}"')
def set_trouble(context: Context, name: str) -> None:
    """Set the fault of the store."""
    context.store.injected_fault = StoreFault(name)


@then('a reading fails with "{code}" within {limit:f} seconds')
def check_reading_fails(context: Context, code: str, limit: float) -> None:
    """Compare the error code and the duration."""

    async def work(platform: StoreClient) -> Any:
        began = trio.current_time()
        try:
            await platform.read_prefix(ALL_KEYS)
        except BurdocksillError as error:
            return error.code, trio.current_time() - began
        return 'none', 0

    found, took = with_store(context, work)
    assert found == code, found
    assert took <= limit, took


@then('a reading succeeds')
def check_reading(context: Context) -> None:
    """Read all keys again."""
    read_all(context)
    assert context.found.values


@when("a write's answer is lost")
def lose_answer(context: Context) -> None:
    """Write while the store drops the answers to writes."""
    context.store.injected_fault = StoreFault.LOST

    async def work(platform: StoreClient) -> Any:
        return await platform.compare_and_swap(
            key='burdocksill/x',
            value=b'mine',
            expected_revision=0,
        )

    context.swapped = with_store(context, work)


@then('the write counts as accepted')
def check_accepted(context: Context) -> None:
    """Check the outcome of the write."""
    assert context.swapped.accepted
    assert context.swapped.current.value == b'mine'


@when('a key is written twice under the same condition')
def write_twice(context: Context) -> None:
    """Write the same key twice with the condition that it is absent."""

    async def work(platform: StoreClient) -> Any:
        return [
            await platform.compare_and_swap(
                key='burdocksill/x',
                value=value,
                expected_revision=0,
            )
            for value in (b'first', b'second')
        ]

    context.swaps = with_store(context, work)


@then('the second write returns the value of the first')
def check_second(context: Context) -> None:
    """Check both outcomes."""
    first, second = context.swaps
    assert first.accepted
    assert not second.accepted
    assert second.current.value == b'first'


@when('the store answers a reading with {body}')
def answer_with(context: Context, body: str) -> None:
    """Decode an answer as a page of a full read."""
    pages = range_pages(ALL_KEYS)
    next(pages)
    try:
        pages.send(HttpReply(status=200, body=body.encode()))
    except StopIteration as done:
        context.outcome = f'read {done.value}'
    except BurdocksillError as error:
        context.outcome = error.code


@then('that is refused with "{code}"')
def check_refused(context: Context, code: str) -> None:
    """Compare the error code."""
    assert context.outcome == code, context.outcome


@given('a watcher of a store with a manifest')
def make_watcher(context: Context) -> None:
    """Fill a store with a manifest."""
    context.store = LabStore()
    put_version(context, 1)


def put_version(context: Context, version: int) -> None:
    """Write a manifest of a version."""
    text = json.dumps({'Version': version, 'Routes': []})
    context.store.put(MANIFEST, text.encode())


@when(
    'the store goes through "{one}", "{two}", "{three}" and compacts its '
    'history, with a newer manifest each',
)
def run_outages(context: Context, one: str, two: str, three: str) -> None:
    """Run outages with a change in each, and measure the delays."""
    table = RoutingTable()
    context.delays = []

    async def outage(trouble: StoreFault, version: int) -> None:
        context.store.injected_fault = trouble
        await trio.sleep(0.5)
        put_version(context, version)
        if version > 4:
            context.store.compact()
        context.store.injected_fault = StoreFault.NONE
        began = trio.current_time()
        for _ in range(250):
            if table.version >= version:
                break
            await trio.sleep(0.02)
        context.delays.append(trio.current_time() - began)

    async def work(platform: StoreClient) -> Any:
        upstreams = UpstreamRegistry()
        placer = PacketPlacer(
            domain='a',
            table=table,
            upstreams=upstreams,
            rng=Random(1),
        )
        watcher = StoreWatcher(
            prefix=ALL_KEYS,
            source=platform,
            store_cache=StoreCache(
                updater=StateUpdater(
                    table=table,
                    placer=placer,
                    upstreams=upstreams,
                    decode=RecordDecoder().decode,
                ),
                progress=SyncProgress(),
                clock=trio.current_time,
            ),
            rng=Random(context.seed),
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watcher.run)
            await trio.sleep(0.2)
            names = (one, two, three, 'none')
            for version, name in enumerate(names, start=2):
                await outage(StoreFault(name), version)
            nursery.cancel_scope.cancel()

    with_store(context, work)


@then('the watcher applied each of them within {limit:f} seconds')
def check_lags(context: Context, limit: float) -> None:
    """Check the longest delay."""
    assert len(context.delays) == 4
    assert max(context.delays) <= limit, context.delays


@then('it has made at most {count:d} calls')
def check_calls(context: Context, count: int) -> None:
    """Count the calls."""
    assert len(context.store.calls) <= count, len(context.store.calls)
