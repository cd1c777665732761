"""Steps about feeds."""

from collections.abc import AsyncGenerator, Awaitable, Callable
from contextlib import asynccontextmanager
from functools import partial

import trio
from behave import given, then, when
from behave.runner import Context

from burdocksill.callers.exceptions import CallFailedError
from burdocksill.callers.feeds import Notification, open_feed
from burdocksill.documents.models import ServiceDocument
from burdocksill.flows.cookie import SignedCookieSealer
from burdocksill.ownership.feeds import FeedTable
from burdocksill.requests.exceptions import RequestFailedError
from burdocksill.requests.feeds import parse_line
from burdocksill.requests.verdict import Reason
from burdocksill.upstreams.health import HealthState
from burdocksill_lab.fakes.clock import VirtualClock
from burdocksill_lab.fakes.deterministic import run_seeded
from burdocksill_lab.fakes.world import RunningNode, World, open_world
from burdocksill_lab.stand_ins.feeds import feed_text

SERVICE = 'rounds'
NAMES = ('round-1', 'round-2')

Fault = Callable[[World], Awaitable[None]]


@asynccontextmanager
async def open_feed_world(context: Context) -> AsyncGenerator[World, None]:
    """Open three entry VMs in one domain with two upstreams."""
    async with open_world(context.seed) as world:
        upstreams = tuple(
            world.start_upstream(SERVICE, name, 'quito-a')
            for name in ('rounds-1', 'rounds-2')
        )
        await world.put_document(
            ServiceDocument(
                service=SERVICE, team='vecinas', upstreams=upstreams
            ),
        )
        for number in range(3):
            await world.start_node(f'entry-{number}', 'quito-a')
        await trio.sleep(5)
        yield world


def owner(world: World) -> tuple[str, RunningNode]:
    """Return a node that serves a feed."""
    return next(
        (name, running)
        for name, running in world.nodes.items()
        if open_count(running)
    )


def open_count(running: RunningNode) -> int:
    """Return the number of feeds that a node serves."""
    owned = running.node.owners.owned.values()
    return sum(len(upstream.feeds.feeds) for upstream in owned)


async def read(
    world: World, name: str, seconds: float, seen: list[Notification]
) -> None:
    """Read one feed for a number of seconds."""
    async with (
        world.session(SERVICE) as session,
        open_feed(session, ('feeds', name)) as reader,
    ):
        with trio.move_on_after(seconds):
            while True:
                seen.append(await reader.receive())


async def cause_no_fault(world: World) -> None:
    """Cause no fault."""


async def kill_owner(world: World) -> None:
    """Kill the owner of the feeds; its addresses do not answer."""
    await trio.sleep(30)
    name, _ = owner(world)
    world.kill_node(name)


async def stop_owner(world: World) -> None:
    """Stop the owner of the feeds as an operator would."""
    await trio.sleep(30)
    name, _ = owner(world)
    await world.stop_node(name)


async def kill_upstream(world: World) -> None:
    """Kill the upstream that sends the feeds."""
    await trio.sleep(30)
    _, running = owner(world)
    lost = next(
        upstream.upstream
        for upstream in running.node.owners.owned.values()
        if upstream.feeds.feeds
    )
    world.network.kill(lost.host)


def feed_tables(world: World) -> list[FeedTable]:
    """Return the feed table of every upstream."""
    return [
        upstream.feeds
        for running in world.nodes.values()
        for upstream in running.node.owners.owned.values()
    ]


async def hand_over(world: World) -> None:
    """Hand each open feed over to the table of the other upstream."""
    await trio.sleep(30)
    moves = []
    for table in feed_tables(world):
        target = next(
            other for other in feed_tables(world) if other is not table
        )
        moves += [(target, state) for state in table.stop_all()]
    assert len(moves) == len(NAMES)
    for target, state in moves:
        nursery = world.require_nursery()
        nursery.start_soon(target.resume, state, ('former-owner',))


async def end_feeds(world: World) -> None:
    """End all feeds, so that their callers open them again."""
    await trio.sleep(30)
    for table in feed_tables(world):
        table.end_all(Reason.STOPPING)


async def drain_upstream(world: World) -> None:
    """Set the upstream that sends the feeds to draining."""
    await trio.sleep(30)
    _, running = owner(world)
    leaving = next(
        upstream.upstream.name
        for upstream in running.node.owners.owned.values()
        if upstream.feeds.feeds
    )
    world.upstreams[leaving].state = HealthState.DRAINING
    await trio.sleep(5)
    left = {table.upstream for table in feed_tables(world) if table.feeds}
    assert left == set(world.upstreams) - {leaving}, left


def read_feeds(context: Context, seconds: float, fault: Fault) -> None:
    """Read two feeds at once during a fault."""
    context.seen = {name: [] for name in NAMES}
    context.seconds = seconds

    async def script() -> None:
        async with open_feed_world(context) as world:
            faults = world.network.faults
            faults.loss, faults.copies = 0.1, 0.1
            faults.jitter_seconds = 0.8
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fault, world)
                for name, seen in context.seen.items():
                    nursery.start_soon(read, world, name, seconds, seen)

    run_seeded(context.seed, script)


@given('a route feed behind three entry VMs')
def reset_failure(context: Context) -> None:
    """Reset the failure."""
    context.failure = None


@when('two route feeds are read for {seconds:d} seconds on lossy links')
def read_lossy(context: Context, seconds: int) -> None:
    """Read with faults of the links only."""
    read_feeds(context, seconds, cause_no_fault)


@when('two route feeds are read for {seconds:d} seconds while their {fault}')
def read_with_fault(context: Context, seconds: int, fault: str) -> None:
    """Read during a fault."""
    faults = {
        'owner dies': kill_owner,
        'owner hands over': hand_over,
        'owner ends them': end_feeds,
        'upstream leaves': drain_upstream,
        'owner stops': stop_owner,
        'upstream is lost': kill_upstream,
    }
    read_feeds(context, seconds, faults[fault])


@then('each route feed is in order, complete and unmixed')
def check_feeds(context: Context) -> None:
    """Compare with the notification of the stand-ins at each position."""
    for name, seen in context.seen.items():
        # Two lines per second; the end of the script may fall into a gap.
        assert len(seen) > context.seconds, len(seen)
        first = seen[0].position
        expected = [
            Notification(
                position=position,
                payload=feed_text(name, position).encode(),
            )
            for position in range(first, first + len(seen))
        ]
        assert seen == expected, (name, seen[:3])


@when('the caller of a route feed dies')
def kill_caller(context: Context) -> None:
    """Read until the caller's host dies without closing the feed."""

    async def script() -> None:
        async with open_feed_world(context) as world:
            seen: list[Notification] = []
            async with trio.open_nursery() as nursery:
                nursery.start_soon(read, world, NAMES[0], 600, seen)
                await trio.sleep(10)
                assert sum(map(open_count, world.nodes.values())) == 1
                world.network.kill(f'10.0.0.{world.hosts + 1}', silent=True)
                await trio.sleep(80)
                context.left = sum(map(open_count, world.nodes.values()))
                nursery.cancel_scope.cancel()

    run_seeded(context.seed, script)


@when('the caller of a route feed closes it')
def close_feed(context: Context) -> None:
    """Read for a while and close."""

    async def script() -> None:
        async with open_feed_world(context) as world:
            await read(world, NAMES[0], 10, [])
            await trio.sleep(1)
            context.left = sum(map(open_count, world.nodes.values()))

    run_seeded(context.seed, script)


@then('no route feed is open after {seconds:d} seconds')
def check_closed(context: Context, seconds: int) -> None:
    """Check that no node serves a feed any more."""
    assert context.left == 0, context.left


@when('a route feed is held for {seconds:d} seconds and one POST is sent')
def hold_feed(context: Context, seconds: int) -> None:
    """Hold a feed, then send one POST."""

    async def script() -> None:
        async with open_feed_world(context) as world:
            node = next(iter(world.nodes.values())).node
            clock = VirtualClock()
            sealer = SignedCookieSealer(keys=node.keys, clock=clock)
            async with (
                world.session(SERVICE) as session,
                open_feed(session, ('feeds', NAMES[0])) as reader,
            ):
                with trio.move_on_after(seconds):
                    while True:
                        await reader.receive()
                cookie = sealer.open(service=SERVICE, sealed=session.cookie)
                context.age = clock.now() - cookie.issued
                await session.request('POST', ('portions',), payload=b'7')
            context.ran = [
                entry.payload
                for upstream in world.upstreams.values()
                for entry in upstream.ledger
            ]

    run_seeded(context.seed, script)


@then(
    'the POST ran once under a cookie that was younger than {seconds:d} seconds'
)
def check_cookie_age(context: Context, seconds: int) -> None:
    """Check the age of the cookie and the requests that ran."""
    assert context.age < seconds, context.age
    assert context.ran == [b'7'], context.ran


@when('a route feed is opened that does not exist')
def open_unknown(context: Context) -> None:
    """Open a feed that the stand-in answers with 404."""

    async def script() -> None:
        async with (
            open_feed_world(context) as world,
            world.session(SERVICE) as session,
            open_feed(session, ('feeds', 'unknown')) as reader,
        ):
            try:
                await reader.receive()
            except CallFailedError as failure:
                context.failure = failure

    run_seeded(context.seed, script)


@then('the route feed fails as "{reason}"')
def check_failure(context: Context, reason: str) -> None:
    """Check how the feed ended."""
    assert context.failure is not None
    assert context.failure.reason == reason


@when('a route feed\'s line "{line}" is read')
def parse_one_line(context: Context, line: str) -> None:
    """Read one line."""
    context.read = partial(parse_line, line.encode())


@then("the route feed's line is refused")
def check_line(context: Context) -> None:
    """Check that the line is refused."""
    try:
        context.read()
    except RequestFailedError:
        return
    raise AssertionError('the line was accepted')
