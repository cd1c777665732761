"""Open-loop load on a packet simulation, with idle flows and retries."""

import math
from collections import Counter
from collections.abc import Callable
from typing import Final

import attrs

from burdocksill_lab.packets.client import ClientFlow, Outcome, Request
from burdocksill_lab.packets.world import ROUTE_PORT, PacketWorld

# Attempts per call, and the backoff before the first retry.
MAX_ATTEMPTS: Final = 3
INITIAL_BACKOFF_SECONDS: Final = 0.1
# Number of client addresses per domain, one per caller without a gateway.
ADDRESSES: Final = 200


def caller_host(domain: str, number: int) -> str:
    """Return the address of a domain's caller."""
    network = sum(domain.encode()) % ADDRESSES
    return f'100.65.{network}.{number}'


@attrs.define(kw_only=True)
class Call:
    """One call with the results of all its attempts."""

    asked_at: float
    tries: int = 0
    # Attempts that a node reset, and attempts that an upstream refused.
    ended_by_node: int = 0
    refused: int = 0
    served_at: float | None = None
    over: bool = False

    @property
    def seconds(self) -> float:
        """Return the duration in seconds; infinite if it was never served."""
        return (
            math.inf
            if self.served_at is None
            else (self.served_at - self.asked_at)
        )


@attrs.define(kw_only=True)
class Callers:
    """Open-loop callers of one failure domain and port."""

    world: PacketWorld
    domain: str
    # Calls per second, as a function of the seconds since the start.
    rate: Callable[[float], float]
    port: int = ROUTE_PORT
    deadline_seconds: float = 4.0
    # Maximum number of idle flows to keep; with 0 each call opens a new flow.
    max_idle: int = 10
    # True: pick one of `max_idle` slots at random; False: the last idle flow.
    random_reuse: bool = False
    # True: each further attempt of a call opens a new flow.
    retries_open_flows: bool = False
    # Backoff before the first retry.
    pause_seconds: float = INITIAL_BACKOFF_SECONDS
    idle: list[ClientFlow] = attrs.field(factory=list)
    calls: list[Call] = attrs.field(factory=list)
    started_at: float = 0
    stopped: bool = False

    def start(self) -> None:
        """Start calling."""
        self.started_at = self.world.timeline.now
        self.schedule_next()

    def schedule_next(self) -> None:
        """Schedule the next call; arrivals are a Poisson process."""
        rate = self.rate(self.world.timeline.now - self.started_at)
        delay = self.world.rng.expovariate(rate)
        self.world.timeline.after(delay, self.call)

    def call(self) -> None:
        """Make a call and schedule the next one."""
        if self.stopped:
            return
        call = Call(asked_at=self.world.timeline.now)
        self.calls.append(call)
        self.attempt(call)
        self.schedule_next()

    def attempt(self, call: Call) -> None:
        """Send a call on an idle flow, or on a new one if there is none."""
        call.tries += 1
        reuses = call.tries == 1 or not self.retries_open_flows
        flow = self.get_flow() if reuses else self.open_flow()
        flow.on_end = lambda ended, request: self.handle_end(
            call, ended, request
        )
        flow.request()

    def get_flow(self) -> ClientFlow:
        """Return an idle flow that is still open, or a new flow."""
        while self.idle:
            number = self.next_idle()
            if number >= len(self.idle):
                break
            flow = self.idle.pop(number)
            if not flow.ended:
                return flow
        return self.open_flow()

    def open_flow(self) -> ClientFlow:
        """Return a new flow."""
        number = len(self.calls) % ADDRESSES + 1
        flow = self.world.open_flow(
            self.domain,
            self.port,
            caller_host(self.domain, number),
        )
        flow.deadline = self.deadline_seconds
        return flow

    def next_idle(self) -> int:
        """Return the index of the idle flow to use.

        An index out of range asks for a new flow.
        """
        if self.random_reuse:
            return self.world.rng.randrange(self.max_idle)
        return len(self.idle) - 1

    def keep_flow(self, flow: ClientFlow) -> None:
        """Keep a flow for later calls, or close it if there are enough."""
        if len(self.idle) < self.max_idle:
            self.idle.append(flow)
        else:
            flow.close()

    def handle_end(
        self, call: Call, flow: ClientFlow, request: Request
    ) -> None:
        """Record the result of an attempt; retry after a backoff if allowed."""
        call.ended_by_node += request.system_reset
        if request.outcome is Outcome.SERVED:
            call.served_at = self.world.timeline.now
            call.over = True
            self.keep_flow(flow)
            return
        flow.close()
        call.refused += request.outcome is Outcome.REFUSED
        if request.outcome is Outcome.LATE or call.tries == MAX_ATTEMPTS:
            call.over = True
            return
        delay = self.pause_seconds * 2 ** (call.tries - 1)
        self.world.timeline.after(
            delay * (1 + self.world.rng.random()),
            lambda: self.attempt(call),
        )


@attrs.frozen(kw_only=True)
class Served:
    """Counts of calls by result."""

    asked: int
    in_time: int
    late: int
    never: int
    tries: Counter[str]

    @property
    def in_time_share(self) -> float:
        """Return the fraction of the calls that was answered in time."""
        return self.in_time / max(1, self.asked)

    @property
    def never_share(self) -> float:
        """Return the fraction of the calls that was never served."""
        return self.never / max(1, self.asked)


def count_served(
    calls: list[Call],
    objective_seconds: float,
) -> Served:
    """Count calls by result, against a latency objective."""
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
