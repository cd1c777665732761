"""Planned changes while sessions are open: the shared stories."""

from collections.abc import Awaitable, Callable
from functools import partial
from random import Random
from typing import Final

import attrs
import trio

from burdocksill.callers.session import Session
from burdocksill.documents.models import ServiceDocument, Upstream
from burdocksill.flows.keys import decode_ring, encode_ring, rotate
from burdocksill.platform import keys
from burdocksill_lab.fakes.world import World
from burdocksill_lab.proofs.accounts import Books, Told

SERVICE: Final = 'kiosk-ledger'
DOMAINS: Final = ('cz-a', 'cz-b', 'cz-c')
VMS_PER_DOMAIN: Final = 2
SETTLE_SECONDS: Final = 4.0


@attrs.define(kw_only=True)
class Fleet:
    """Hold a small fleet in three failure domains and its operators' work."""

    world: World
    books: Books
    rng: Random
    slots: int = 40
    upstreams: list[Upstream] = attrs.field(factory=list)
    busy_over: trio.Event = attrs.field(factory=trio.Event)
    edits: int = 0
    replaced: int = 0

    async def start(self) -> None:
        """Start an upstream and two entry VMs in each failure domain."""
        for domain in DOMAINS:
            name = f'{domain}-ledger'
            upstream = self.world.start_upstream(
                SERVICE,
                name,
                domain,
                slots=self.slots,
            )
            # Starts without a ramp: cold starts are another proof's story.
            self.upstreams.append(
                attrs.evolve(upstream, cold_limit=self.slots),
            )
        await self.put()
        for domain in DOMAINS:
            for number in range(VMS_PER_DOMAIN):
                await self.world.start_node(f'{domain}-entry-{number}', domain)
        await trio.sleep(SETTLE_SECONDS)

    async def put(self) -> None:
        """Put the document with what it holds now."""
        document = ServiceDocument(
            service=SERVICE,
            team='vratka',
            upstreams=tuple(self.upstreams),
            deadline_seconds=10 + self.edits,
        )
        await self.world.put_document(document)

    async def replace_vm(self, name: str) -> None:
        """Start a VM beside another of its failure domain and stop that."""
        settings = self.world.nodes[name].node.settings
        domain = settings.domain
        self.replaced += 1
        fresh = f'{domain}-fresh-{self.replaced}'
        self.books.note(f'start {fresh}')
        await self.world.start_node(fresh, domain)
        await trio.sleep(self.rng.uniform(0, 2))
        self.books.note(f'stop {name}')
        await self.world.stop_node(name)

    async def replace_every_vm(self) -> None:
        """Replace each VM of the fleet in turn."""
        for name in list(self.world.nodes):
            await self.replace_vm(name)

    async def edit_document(self) -> None:
        """Change the service's document."""
        self.edits += 1
        self.books.note('edit the document')
        await self.put()
        await trio.sleep(1)

    async def rotate_keys(self) -> None:
        """Rotate the fleet's keys."""
        self.books.note('rotate the keys')
        stored = self.world.platform.current[keys.FLEET_KEYS]
        ring = rotate(decode_ring(stored.value))
        self.world.platform.put(keys.FLEET_KEYS, encode_ring(ring))
        await trio.sleep(1)


SessionStory = Callable[
    ['Fleet', Session, str, trio.Event],
    Awaitable[None],
]


async def keep_posting(
    fleet: Fleet,
    session: Session,
    name: str,
    until: trio.Event,
) -> None:
    """Post counts, one after the other, until the changes are over."""
    number = 0
    while not (until.is_set() or fleet.busy_over.is_set()):
        account = Books.new_account(f'{name}/{number}')
        fleet.books.accounts.append(account)
        await fleet.books.post(session, account)
        number += 1
        await trio.sleep(fleet.rng.uniform(0, 0.5))


async def hold_idle(
    fleet: Fleet,
    session: Session,
    name: str,
    until: trio.Event,
) -> None:
    """Post once, keep silent through all changes, post again."""
    for moment in ('before', 'after'):
        account = Books.new_account(f'{name}/{moment}')
        fleet.books.accounts.append(account)
        await fleet.books.post(session, account)
        await until.wait()


def check_all_done(books: Books) -> str:
    """Return the violation where a request of an open session failed."""
    for account in books.accounts:
        if account.told is not Told.DONE:
            name = account.payload.decode()
            return f'{name} ended {account.told.value} ({account.reason})'
    return ''


async def open_sessions(
    fleet: Fleet,
    nursery: trio.Nursery,
    until: trio.Event,
    *,
    busy: int,
    idle: int,
) -> None:
    """Open busy and idle sessions; they go on until the changes are over."""
    for number in range(busy + idle):
        story = keep_posting if number < busy else hold_idle
        name = f'session-{number}'
        nursery.start_soon(partial(one_session, fleet, story, name, until))
    await trio.sleep(1)


async def one_session(
    fleet: Fleet,
    story: 'SessionStory',
    name: str,
    until: trio.Event,
) -> None:
    """Run one session's story."""
    async with fleet.world.session(SERVICE) as session:
        await story(fleet, session, name, until)
