"""Client of the VMs' admin interfaces."""

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
from burdocksill.decoding import decode_json
from burdocksill.membership.protocols import MemberState
from burdocksill.network.protocols import Address

Message = TypeVar('Message')
CALL_TIMEOUT_SECONDS: Final = 2.0
CONNECT_TIMEOUT_SECONDS: Final = 1.0
# High enough to query a large fleet within seconds, and low enough for an
# operator's limit of open files.
MAX_CONCURRENT_CALLS: Final = 64


@attrs.frozen(kw_only=True)
class FleetStatus:
    """Hold the status of the VMs that answered and the names of the others."""

    nodes: tuple[NodeStatus, ...]
    silent: tuple[str, ...] = ()
    # The addresses that answered, in no particular order.
    addresses: tuple[Address, ...] = ()


@attrs.define(kw_only=True)
class FleetQuery:
    """Track which VMs have answered, which have not and which to query next."""

    pending: dict[Address, str]
    answered: dict[Address, NodeStatus] = attrs.field(factory=dict)
    silent: dict[Address, str] = attrs.field(factory=dict)

    def add_answers(self, answers: dict[Address, NodeStatus]) -> None:
        """Store the answers of one round and queue the members they name."""
        self.answered.update(answers)
        unanswered = self.pending.keys() - answers.keys()
        self.silent.update(
            {address: self.pending[address] for address in unanswered},
        )
        members: dict[Address, str] = {}
        for status in answers.values():
            members.update(live_members(status))
        queried = self.answered.keys() | self.silent.keys()
        self.pending = {
            address: members[address] for address in members.keys() - queried
        }

    def result(self) -> FleetStatus:
        """Return the result, ordered by failure domain and name."""
        nodes = sorted(
            self.answered.values(),
            key=lambda status: (status.domain, status.name),
        )
        return FleetStatus(
            nodes=tuple(nodes),
            silent=tuple(sorted(self.silent.values())),
            addresses=tuple(self.answered),
        )


@attrs.define(kw_only=True)
class AdminClient:
    """Query the admin interfaces of VMs over HTTP."""

    transport: httpx.AsyncBaseTransport | None = None

    async def status(self, address: Address) -> NodeStatus:
        """Return a VM's status, or raise AdminUnreachableError."""
        return await self.get(address, '/status', {}, NodeStatus)

    async def explain(
        self,
        address: Address,
        query: ExplainQuery,
    ) -> Explanation:
        """Return a VM's recorded decisions on a flow or a request."""
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
        kind: type[Message],
    ) -> Message:
        """Return one page, decoded as a message type.

        Raise AdminUnreachableError or QueryInvalidError.
        """
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
                    hint='give the address of another VM with --entry',
                ) from error
        return decode_page(url, reply, kind)

    async def fleet(self, first: Mapping[Address, str]) -> FleetStatus:
        """Query VMs by address and name, and all members that they report.

        The members come from the VMs that answer, so this works from any VM
        and while the platform is down.
        """
        query = FleetQuery(pending=dict(first))
        while query.pending:
            query.add_answers(await self.status_all(query.pending))
        return query.result()

    async def status_all(
        self,
        addresses: Iterable[Address],
    ) -> dict[Address, NodeStatus]:
        """Query VMs concurrently and return the status of those that answer."""
        return await gather(addresses, self.status)

    async def explain_all(
        self,
        addresses: Iterable[Address],
        query: ExplainQuery,
    ) -> tuple[Explanation, ...]:
        """Query VMs concurrently for their decisions on a flow or request."""

        async def explain_one(address: Address) -> Explanation:
            return await self.explain(address, query)

        answers = await gather(addresses, explain_one)
        return tuple(answers.values())


async def gather(
    addresses: Iterable[Address],
    call: Callable[[Address], Awaitable[Message]],
) -> dict[Address, Message]:
    """Call VMs with bounded concurrency; leave out those without answer."""
    answers: dict[Address, Message] = {}
    limit = trio.CapacityLimiter(MAX_CONCURRENT_CALLS)

    async def call_one(address: Address) -> None:
        async with limit:
            with suppress(AdminUnreachableError):
                answers[address] = await call(address)

    async with trio.open_nursery() as nursery:
        for address in addresses:
            nursery.start_soon(call_one, address)
    return answers


def live_members(status: NodeStatus) -> dict[Address, str]:
    """Return the admin addresses and names of a VM's members, except dead ones.

    Otherwise every command would wait for a dead member until the fleet
    forgets it.
    """
    return {
        Address(member.host, status.admin_port): member.name
        for member in status.members
        if member.state != MemberState.DEAD.value
    }


def decode_page(
    url: str, reply: httpx.Response, kind: type[Message]
) -> Message:
    """Decode a page, or raise the error that it reports."""
    try:
        if reply.status_code == httpx.codes.BAD_REQUEST:
            problem = decode_json(reply.content, Problem)
            raise QueryInvalidError(message=problem.message, hint=problem.hint)
        return decode_json(reply.content, kind)
    except msgspec.MsgspecError as error:
        raise AdminUnreachableError(
            message=f'{url} returned an unexpected answer: {error}',
            hint='check that the address is that of an admin interface',
        ) from error
