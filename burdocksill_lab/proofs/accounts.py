"""Callers that keep account of what they were told, and the checks of it."""

import enum
from collections import Counter
from collections.abc import Iterable
from random import Random
from typing import Final

import attrs
import trio

from burdocksill.callers.exceptions import CallFailedError
from burdocksill.callers.session import Session
from burdocksill_lab.fakes.world import World

CALL_SECONDS: Final = 12.0
PAUSE_SECONDS: Final = 0.3


class Told(enum.StrEnum):
    """Say what a caller was told of one request."""

    NOTHING = 'nothing'
    DONE = 'done'
    NOT_RUN = 'not-run'
    RAN = 'ran'
    MAY_HAVE_RUN = 'may-have-run'


@attrs.define(kw_only=True)
class Account:
    """Hold one non-idempotent request and what its caller was told."""

    payload: bytes
    told: Told = Told.NOTHING
    reason: str = ''
    at: float = 0


@attrs.define(kw_only=True)
class Books:
    """Hold the accounts of all callers of one story."""

    accounts: list[Account] = attrs.field(factory=list)
    trace: list[str] = attrs.field(factory=list)
    longest_stop: float = 0

    def note(self, text: str) -> None:
        """Write what happened, with the virtual time."""
        self.trace.append(f'{trio.current_time():9.3f} {text}')

    @classmethod
    def new_account(cls, name: str) -> Account:
        """Return the account of a request that is about to be sent."""
        return Account(payload=name.encode())

    async def post_many(
        self,
        session: Session,
        name: str,
        count: int,
        rng: Random,
    ) -> None:
        """Post counts one after the other and keep account of each."""
        for number in range(count):
            account = self.new_account(f'{name}/{number}')
            self.accounts.append(account)
            await self.post(session, account)
            await trio.sleep(rng.uniform(0, PAUSE_SECONDS))

    async def post(self, session: Session, account: Account) -> None:
        """Post one count and note what the caller was told."""
        try:
            await session.request(
                'POST',
                ('returns',),
                payload=account.payload,
                timeout_seconds=CALL_SECONDS,
            )
        except CallFailedError as error:
            account.told = Told(error.verdict.value)
            account.reason = error.reason.value
            self.note(f'{account.payload.decode()} {error.message}')
        else:
            account.told = Told.DONE
        account.at = trio.current_time()

    def count(self, told: Told) -> int:
        """Return how many callers were told this."""
        return sum(account.told is told for account in self.accounts)


async def run_callers(
    world: World,
    books: Books,
    *,
    service: str,
    callers: int,
    requests: int,
) -> None:
    """Let several callers post at once, each in a session of its own."""

    async def one(number: int) -> None:
        rng = Random(world.rng.random())
        async with world.session(service) as session:
            await books.post_many(session, f'caller-{number}', requests, rng)

    async with trio.open_nursery() as nursery:
        for number in range(callers):
            nursery.start_soon(one, number)


def runs(ledgers: Iterable[list[bytes]]) -> Counter[bytes]:
    """Count how often each request ran, over all upstreams."""
    counted: Counter[bytes] = Counter()
    for ledger in ledgers:
        counted.update(ledger)
    return counted


def check_once(books: Books, ran: Counter[bytes]) -> str:
    """Return the violation where a request ran more than once."""
    for payload, times in ran.items():
        if times > 1:
            return f'{payload.decode()} ran {times} times'
    return ''


def check_honest(books: Books, ran: Counter[bytes]) -> str:
    """Return the violation where a caller was told something untrue."""
    for account in books.accounts:
        times = ran[account.payload]
        name = account.payload.decode()
        if account.told is Told.NOT_RUN and times:
            return f'{name} was called not run ({account.reason}) but ran'
        if account.told in {Told.DONE, Told.RAN} and not times:
            return f'{name} was called done but never ran'
    return ''
