"""A failure domain that is taken out receives no packet within seconds."""

from functools import partial
from random import Random
from typing import Final

import attrs
import trio

from burdocksill.documents.acceptance import set_domain
from burdocksill.documents.models import (
    DomainState,
    ServiceDocument,
    Upstream,
)
from burdocksill.documents.store import IgnoreStatesDomainRule
from burdocksill.entry.components import Components
from burdocksill.network.protocols import Address
from burdocksill.peers.messages import MESSAGE_KINDS, RelayRequest
from burdocksill_lab.fakes.deterministic import run_seeded
from burdocksill_lab.fakes.world import PEER_PORT, World, open_world
from burdocksill_lab.proofs.accounts import (
    Account,
    Books,
    Told,
    check_honest,
    check_once,
    runs,
)
from burdocksill_lab.proofs.base import Figure, ProofResult

SERVICE: Final = 'rounds'
DOMAINS: Final = ('quito-a', 'quito-b', 'quito-c')
LEAVING: Final = 'quito-a'
VMS: Final = 4
CALLERS: Final = 20
REQUESTS: Final = 30
LIMIT_SECONDS: Final = 3.0
SLOW_SECONDS: Final = 4.0
OUT_SECONDS: Final = 6.0
RACE_SECONDS: Final = 0.2
KIND_BYTE: Final = 2


@attrs.define(kw_only=True)
class DomainStory:
    """Take a failure domain out under load, and look at its packets."""

    world: World
    books: Books
    rng: Random
    # Since when the domain has been out, while it is.
    out_at: float | None = None
    upstream_host: str = ''
    nursery: trio.Nursery | None = None
    rounds: int = 0
    calls: int = 0
    violation: str = ''
    last_packet: float = 0
    pending: list[Account] = attrs.field(factory=list)

    def fail(self, text: str) -> None:
        """Keep the first violation."""
        self.books.note(text)
        self.violation = self.violation or text

    def is_late(self) -> bool:
        """Return True when the domain should get nothing any more."""
        if self.out_at is None:
            return False
        return trio.current_time() - self.out_at > LIMIT_SECONDS

    def look(self, source: Address, target: Address, payload: bytes) -> None:
        """Look at one datagram that is being delivered."""
        if target.port != PEER_PORT:
            return
        if MESSAGE_KINDS.get(payload[KIND_BYTE]) is not RelayRequest:
            return
        if target.host not in self.hosts() or self.out_at is None:
            return
        self.note_packet('a relayed packet', source.host)

    def note_packet(self, what: str, source: str) -> None:
        """Remember a packet that reached the domain while it is out."""
        if self.out_at is not None:
            since = trio.current_time() - self.out_at
            self.last_packet = max(self.last_packet, since)
        if self.is_late():
            self.fail(f'{what} from {source} reached {LEAVING}')

    def hosts(self) -> set[str]:
        """Return the hosts of the domain's entry VMs."""
        return {
            running.host
            for running in self.world.nodes.values()
            if running.node.settings.domain == LEAVING
        }

    async def watch_upstream(self) -> None:
        """Look at the domain's upstream: work and connections."""
        upstream = self.world.upstreams[LEAVING]
        done = len(upstream.ledger)
        while True:
            await trio.sleep(0.05)
            if len(upstream.ledger) > done:
                done = len(upstream.ledger)
                self.note_packet('a request', 'an owner')
            if self.is_late() and self.connected():
                self.fail('a connection to the upstream is still open')

    def connected(self) -> bool:
        """Return True while a VM holds a connection to the upstream."""
        return any(
            stream.remote == self.upstream_host and not stream.closed
            for stream in self.world.network.streams
            if stream.local in self.hosts()
        )

    async def write(self, state: DomainState) -> None:
        """Write the operators' word; answers may be lost on the way."""
        platform = self.world.platform
        platform.faults.lost_answers = self.rng.randrange(2)
        await set_domain(platform, domain=LEAVING, state=state)
        platform.faults.lost_answers = 0
        self.books.note(f'{LEAVING} is {state.value}')
        if state is DomainState.IN_SERVICE:
            self.out_at = None
        elif self.out_at is None:
            self.out_at = trio.current_time()
            self.pending = [
                account
                for account in self.books.accounts
                if account.told is Told.NOTHING
            ]

    async def plain(self) -> None:
        """Take the domain out while it is loaded."""
        await self.write(DomainState.OUT)

    async def twice(self) -> None:
        """Take it out again while it goes."""
        await self.write(DomainState.OUT)
        await trio.sleep(RACE_SECONDS)
        await self.write(DomainState.OUT)

    async def raced(self) -> None:
        """Take it out, return it and take it out again at once."""
        for state in (DomainState.OUT, DomainState.IN_SERVICE):
            await self.write(state)
            await trio.sleep(self.rng.uniform(0, RACE_SECONDS))
        await self.write(DomainState.OUT)

    async def store_lost(self) -> None:
        """Lose the store right after the write; gossip has to carry it."""
        await self.write(DomainState.OUT)
        await trio.sleep(RACE_SECONDS)
        self.world.platform.set_down(down=True)
        self.books.note('the store is down')

    async def cut_from_platform(self) -> None:
        """Cut the domain off from the platform before it is taken out."""
        for host in self.hosts():
            self.world.network.cut([host], ['platform'])
        self.books.note('the domain is cut off from the platform')
        await self.write(DomainState.OUT)

    async def run(self) -> None:
        """Take the domain out in the seed's way, and return it."""
        await self.start()
        stories = [
            self.plain,
            self.twice,
            self.raced,
            self.store_lost,
            self.cut_from_platform,
        ]
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            nursery.start_soon(self.call)
            nursery.start_soon(self.watch_upstream)
            await trio.sleep(self.rng.uniform(2, 4))
            for story in self.rng.sample(stories, 2):
                await story()
                await trio.sleep(OUT_SECONDS)
                self.check_pending()
                await self.return_domain()
            await trio.sleep(SLOW_SECONDS)
            nursery.cancel_scope.cancel()

    async def start(self) -> None:
        """Start an upstream and entry VMs in each failure domain."""
        upstreams: list[Upstream] = []
        for domain in DOMAINS:
            line = self.world.start_upstream(SERVICE, domain, domain, slots=20)
            upstreams.append(line)
            if domain == LEAVING:
                self.upstream_host = line.host
        self.world.upstreams[LEAVING].work_seconds = SLOW_SECONDS
        document = ServiceDocument(
            service=SERVICE,
            team='vecinas',
            upstreams=tuple(upstreams),
        )
        await self.world.put_document(document)
        for domain in DOMAINS:
            for number in range(VMS):
                self.world.begin_node(f'{domain}-{number}', domain)
        await trio.sleep(LIMIT_SECONDS)
        self.world.network.taps.append(self.look)

    async def call(self) -> None:
        """Post counts from sessions that are spread over all VMs."""
        self.rounds += 1
        async with trio.open_nursery() as nursery:
            for number in range(CALLERS):
                name = f'round-{self.rounds}-caller-{number}'
                nursery.start_soon(self.call_one, name)

    async def call_one(self, name: str) -> None:
        """Post counts in one session."""
        rng = Random(self.rng.random())
        async with self.world.session(SERVICE) as session:
            await self.books.post_many(session, name, REQUESTS, rng)

    def check_pending(self) -> None:
        """Look whether the requests in progress were given up at once."""
        for account in self.pending:
            name = account.payload.decode()
            if account.told is Told.NOTHING:
                self.fail(f'{name} was held on to')
        self.pending = []

    async def return_domain(self) -> None:
        """Bring the domain back and wait until it works again."""
        self.world.platform.set_down(down=False)
        self.world.network.heal()
        await self.write(DomainState.IN_SERVICE)
        before = len(self.world.upstreams[LEAVING].ledger)
        await trio.sleep(LIMIT_SECONDS)
        # Open flows stay where they are; only new ones can come back.
        if self.nursery is not None:
            self.nursery.start_soon(self.call)
        await trio.sleep(OUT_SECONDS)
        if len(self.world.upstreams[LEAVING].ledger) == before:
            self.fail('the domain gets no work after its return')


async def story(seed: int, components: Components, books: Books) -> DomainStory:
    """Run one story and check the callers' accounts."""
    async with open_world(seed, components=components) as world:
        run = DomainStory(world=world, books=books, rng=Random(seed))
        await run.run()
        ledgers = (
            [entry.payload for entry in stand_in.ledger]
            for stand_in in world.upstreams.values()
        )
        ran = runs(ledgers)
        broken = check_once(books, ran) or check_honest(books, ran)
        if broken:
            run.fail(broken)
    return run


@attrs.frozen(kw_only=True)
class DomainOutProof:
    """Prove that a domain out gets no packet and its flows end honestly."""

    promise: str = (
        'Within 3 s of operators taking a failure domain out it receives no '
        'more packets.'
    )

    def run(self, *, seed: int, control: bool) -> ProofResult:
        """Run the story; the control passes over the operators' word."""
        components = (
            Components(domain_rule=IgnoreStatesDomainRule)
            if control
            else Components()
        )
        books = Books()
        ended = run_seeded(seed, partial(story, seed, components, books))
        return ProofResult(
            violation=ended.violation,
            trace=tuple(books.trace),
            figures=(
                Figure(name='last_packet_seconds', value=ended.last_packet),
                Figure(name='requests', value=len(books.accounts)),
                Figure(
                    name='may have run',
                    value=books.count(Told.MAY_HAVE_RUN),
                ),
                Figure(name='not run', value=books.count(Told.NOT_RUN)),
            ),
        )


PROOF: Final = DomainOutProof()
