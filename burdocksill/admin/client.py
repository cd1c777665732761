"""Ask VMs about themselves; a VM that does not answer is named."""

from collections.abc import Awaitable, Callable, Iterable, Mapping
from contextlib import suppress
from typing import Final, TypeVar

import attrs
import httpx
import msgspec
import trio

from burdocksill.admin.exceptions import (
    AdminUnreachableError,
    QueryInvalidError,
)
from burdocksill.admin.explain import ExplainQuery
from burdocksill.admin.messages import Explanation, NodeStatus, Problem
from burdocksill.membership.protocols import MemberState
from burdocksill.network.protocols import Address

Told = TypeVar('Told')
CALL_TIMEOUT_SECONDS: Final = 2.0
CONNECT_TIMEOUT_SECONDS: Final = 1.0
# Enough to ask a large fleet within seconds, few enough for one operator's
# limit of open files.
CALLS_AT_ONCE: Final = 64


@attrs.frozen(kw_only=True)
class FleetStatus:
    """Hold what the VMs that answered know, and which did not answer."""

    nodes: tuple[NodeStatus, ...]
    silent: tuple[str, ...] = ()
    # The addresses that answered, in no order.
    addresses: tuple[Address, ...] = ()


@attrs.define(kw_only=True)
class Survey:
    """Hold whom an operator's command has asked, and who is named next."""

    waiting: dict[Address, str]
    known: dict[Address, NodeStatus] = attrs.field(factory=dict)
    silent: dict[Address, str] = attrs.field(factory=dict)

    def take(self, answered: dict[Address, NodeStatus]) -> None:
        """Keep a round's answers and find whom they name that is new."""
        self.known.update(answered)
        unanswered = self.waiting.keys() - answered.keys()
        self.silent.update(
            {address: self.waiting[address] for address in unanswered},
        )
        named: dict[Address, str] = {}
        for status in answered.values():
            named.update(named_by(status))
        met = self.known.keys() | self.silent.keys()
        self.waiting = {
            address: named[address] for address in named.keys() - met
        }

    def result(self) -> FleetStatus:
        """Return everything in the order of failure domains and names."""
        nodes = sorted(
            self.known.values(),
            key=lambda status: (status.domain, status.name),
        )
        return FleetStatus(
            nodes=tuple(nodes),
            silent=tuple(sorted(self.silent.values())),
            addresses=tuple(self.known),
        )


@attrs.define(kw_only=True)
class AdminClient:
    """Ask the admin interfaces of VMs over HTTP."""

    transport: httpx.AsyncBaseTransport | None = None

    async def status(self, address: Address) -> NodeStatus:
        """Return what a VM knows; raise AdminUnreachableError."""
        return await self.get(address, '/status', {}, NodeStatus)

    async def explain(
        self,
        address: Address,
        query: ExplainQuery,
    ) -> Explanation:
        """Return what a VM remembers of a flow or a request."""
        fields: dict[str, str | list[str]] = {
            'flow': query.flow,
            'cookie': query.cookie,
            'token': list(query.tokens),
        }
        return await self.get(address, '/explain', fields, Explanation)

    async def get(
        self,
        address: Address,
        path: str,
        fields: Mapping[str, str | list[str]],
        kind: type[Told],
    ) -> Told:
        """Return one page as its typed message."""
        url = f'http://{address}{path}'
        async with httpx.AsyncClient(
            transport=self.transport,
            trust_env=False,
            timeout=httpx.Timeout(
                CALL_TIMEOUT_SECONDS,
                connect=CONNECT_TIMEOUT_SECONDS,
            ),
        ) as client:
            try:
                reply = await client.get(url, params=fields)
            except httpx.HTTPError as error:
                raise AdminUnreachableError(
                    message=f'{url} did not answer: {error!r}',
                    hint='name another VM with --entry',
                ) from error
        return decode_page(url, reply, kind)

    async def fleet(self, asked: Mapping[Address, str]) -> FleetStatus:
        """Ask the VMs with these addresses and names, and whom they name.

        The first VM that answers gives the list of members, so that this
        works with the platform down and from any VM.
        """
        survey = Survey(waiting=dict(asked))
        while survey.waiting:
            survey.take(await self.ask_all(survey.waiting))
        return survey.result()

    async def ask_all(
        self,
        addresses: Iterable[Address],
    ) -> dict[Address, NodeStatus]:
        """Ask many VMs at once and return the answers that came."""
        return await gather(addresses, self.status)

    async def explain_all(
        self,
        addresses: Iterable[Address],
        query: ExplainQuery,
    ) -> tuple[Explanation, ...]:
        """Ask many VMs at once what they remember."""

        async def ask(address: Address) -> Explanation:
            return await self.explain(address, query)

        answers = await gather(addresses, ask)
        return tuple(answers.values())


async def gather(
    addresses: Iterable[Address],
    ask: Callable[[Address], Awaitable[Told]],
) -> dict[Address, Told]:
    """Ask at most so many VMs at once; leave out who does not answer."""
    answers: dict[Address, Told] = {}
    limit = trio.CapacityLimiter(CALLS_AT_ONCE)

    async def ask_one(address: Address) -> None:
        async with limit:
            with suppress(AdminUnreachableError):
                answers[address] = await ask(address)

    async with trio.open_nursery() as nursery:
        for address in addresses:
            nursery.start_soon(ask_one, address)
    return answers


def named_by(status: NodeStatus) -> dict[Address, str]:
    """Return the admin addresses and names of the members a VM believes in.

    A dead one would be waited for by every command until it is forgotten.
    """
    return {
        Address(member.host, status.admin_port): member.name
        for member in status.members
        if member.state != MemberState.DEAD.value
    }


def decode_page(url: str, reply: httpx.Response, kind: type[Told]) -> Told:
    """Read a page; raise the error that it holds."""
    try:
        if reply.status_code == httpx.codes.BAD_REQUEST:
            problem = msgspec.json.decode(reply.content, type=Problem)
            raise QueryInvalidError(message=problem.message, hint=problem.hint)
        return msgspec.json.decode(reply.content, type=kind)
    except msgspec.MsgspecError as error:
        raise AdminUnreachableError(
            message=f'{url} answered something else: {error}',
            hint='check that the address is an admin interface',
        ) from error
