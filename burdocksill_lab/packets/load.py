"""Open-loop load of a packet world: callers that keep flows and try again."""

import math
from collections import Counter
from collections.abc import Callable
from typing import Final

import attrs

from burdocksill_lab.packets.client import ClientFlow, Outcome, Request
from burdocksill_lab.packets.world import ROUTE_PORT, PacketWorld

# Callers' further tries, and the pause before the first of them.
MOST_TRIES: Final = 3
FIRST_PAUSE_SECONDS: Final = 0.1
# Each comes from an address of its own, as behind no shared gateway.
ADDRESSES: Final = 200


@attrs.define(kw_only=True)
class Call:
    """Hold what became of one call through all of its tries."""

    asked_at: float
    tries: int = 0
    # Tries that a node ended, and that an upstream refused to run.
    ended_by_node: int = 0
    refused: int = 0
    served_at: float | None = None
    over: bool = False

    @property
    def seconds(self) -> float:
        """Return what it took; infinite when it was never served."""
        return (
            math.inf
            if self.served_at is None
            else (self.served_at - self.asked_at)
        )


@attrs.define(kw_only=True)
class Callers:
    """Call in one failure domain at a rate that does not wait for answers."""

    world: PacketWorld
    domain: str
    # Calls a second, by the time since the start.
    rate: Callable[[float], float]
    port: int = ROUTE_PORT
    deadline_seconds: float = 4.0
    # Flows that are kept for later calls; 0: each call opens one of its own.
    most_idle: int = 10
    # True: so many callers have one each, and any of them is the next to call.
    alike: bool = False
    # Before the second try.
    pause_seconds: float = FIRST_PAUSE_SECONDS
    idle: list[ClientFlow] = attrs.field(factory=list)
    calls: list[Call] = attrs.field(factory=list)
    started_at: float = 0
    stopped: bool = False

    def start(self) -> None:
        """Begin to call."""
        self.started_at = self.world.timeline.now
        self.wait_for_next()

    def wait_for_next(self) -> None:
        """Draw when the next call comes."""
        rate = self.rate(self.world.timeline.now - self.started_at)
        pause = self.world.rng.expovariate(rate)
        self.world.timeline.after(pause, self.call)

    def call(self) -> None:
        """Make a call, and let the next one come."""
        if self.stopped:
            return
        call = Call(asked_at=self.world.timeline.now)
        self.calls.append(call)
        self.attempt(call)
        self.wait_for_next()

    def attempt(self, call: Call) -> None:
        """Send a call on an idle flow, else on a new one."""
        call.tries += 1
        flow = self.take_flow()
        flow.on_end = lambda ended, request: self.ended(call, ended, request)
        flow.request()

    def take_flow(self) -> ClientFlow:
        """Return a flow on which no call waits."""
        while self.idle:
            number = self.next_idle()
            if number >= len(self.idle):
                break
            flow = self.idle.pop(number)
            if not flow.ended:
                return flow
        number = len(self.calls) % ADDRESSES + 1
        domain = sum(self.domain.encode()) % ADDRESSES
        flow = self.world.open_flow(
            self.domain,
            self.port,
            f'100.65.{domain}.{number}',
        )
        flow.deadline = self.deadline_seconds
        return flow

    def next_idle(self) -> int:
        """Return which idle flow is used; one that isn't there: a new one."""
        if self.alike:
            return self.world.rng.randrange(self.most_idle)
        return len(self.idle) - 1

    def keep(self, flow: ClientFlow) -> None:
        """Keep a flow for the next call, or close it."""
        if len(self.idle) < self.most_idle:
            self.idle.append(flow)
        else:
            flow.close()

    def ended(self, call: Call, flow: ClientFlow, request: Request) -> None:
        """Take note of how a try ended, and try again where that may help."""
        call.ended_by_node += request.system_reset
        if request.outcome is Outcome.SERVED:
            call.served_at = self.world.timeline.now
            call.over = True
            self.keep(flow)
            return
        flow.close()
        call.refused += request.outcome is Outcome.REFUSED
        if request.outcome is Outcome.LATE or call.tries == MOST_TRIES:
            call.over = True
            return
        pause = self.pause_seconds * 2 ** (call.tries - 1)
        self.world.timeline.after(
            pause * (1 + self.world.rng.random()),
            lambda: self.attempt(call),
        )


@attrs.frozen(kw_only=True)
class Served:
    """Count what callers got."""

    asked: int
    in_time: int
    late: int
    never: int
    tries: Counter[str]

    @property
    def in_time_share(self) -> float:
        """Return the part of the calls that was answered in time."""
        return self.in_time / max(1, self.asked)

    @property
    def never_share(self) -> float:
        """Return the part of the calls that was never served."""
        return self.never / max(1, self.asked)


def count_served(
    calls: list[Call],
    objective_seconds: float,
) -> Served:
    """Count what became of calls that are over."""
    in_time = sum(call.seconds <= objective_seconds for call in calls)
    never = sum(call.served_at is None for call in calls)
    return Served(
        asked=len(calls),
        in_time=in_time,
        late=len(calls) - in_time - never,
        never=never,
        tries=Counter(
            ended_by_node=sum(call.ended_by_node for call in calls),
            refused=sum(call.refused for call in calls),
        ),
    )
