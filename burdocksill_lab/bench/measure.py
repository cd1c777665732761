"""The phases of a bench and what each of them measures."""

import itertools
import time
from typing import Final

import attrs

from burdocksill_lab.bench.load import LoadCaller, LoadResult, make_template
from burdocksill_lab.bench.usage import (
    Usage,
    dropped_datagrams,
    microseconds_each,
    read_usage,
)
from burdocksill_lab.fleet import (
    HOST_PREFIX,
    SERVICE,
    FleetPlan,
    ProcessFleet,
)

OWNER: Final = 'cz-a-entry-1'
RELAY: Final = 'cz-b-entry-1'
# Enough that the limits of an upstream are not what the bench measures.
SLOTS: Final = 64
PLAN: Final = FleetPlan(vms=(OWNER, RELAY), slots=SLOTS)
CALLER_HOST: Final = f'{HOST_PREFIX}.9.1'
UNDER_WAY: Final = 32
FLOOD_RATE: Final = 10_000.0
FLOOD_SETTLE_SECONDS: Final = 1.0
P50: Final = 50.0
P99: Final = 99.0
P999: Final = 99.9


@attrs.frozen(kw_only=True)
class Sizes:
    """Hold how much a bench does."""

    flows: int
    requests: int
    flood: int
    held: tuple[int, ...]
    datagrams: int


QUICK: Final = Sizes(
    flows=2000,
    requests=2000,
    flood=10_000,
    held=(1000, 4000),
    datagrams=6400,
)
FULL: Final = Sizes(
    flows=5000,
    requests=5000,
    flood=50_000,
    held=(1000, 10_000, 100_000),
    datagrams=64_000,
)


@attrs.frozen(kw_only=True)
class PhaseFigures:
    """Hold one phase of load on one entry VM."""

    name: str
    sent: int
    # Flows that got no cookie, or requests that did not run.
    failed: int
    unanswered: int
    rate: float
    p50_ms: float
    p99_ms: float
    p999_ms: float
    owner_microseconds: float
    relay_microseconds: float


@attrs.frozen(kw_only=True)
class FloodFigures:
    """Hold what a relay did with packets that nobody waited for.

    Behind an owner that is slower a relay wakes up for each packet; only a
    flood shows what it costs when it drains full batches.
    """

    sent: int
    rate: float
    dropped: int
    relay_microseconds: float
    # Of one core, the share that the relay used.
    busy: float


@attrs.frozen(kw_only=True)
class HeldFigures:
    """Hold what a number of held flows costs."""

    flows: int
    owner_bytes_each: float
    relay_bytes_each: float
    request_microseconds: float
    # Of opening the last flows at this level.
    flow_microseconds: float
    # Requests that did not run; any would hold less than the others.
    failed: int


@attrs.define(kw_only=True)
class Bench:
    """Run the phases against one fleet."""

    fleet: ProcessFleet
    sizes: Sizes
    phases: list[PhaseFigures] = attrs.field(factory=list)
    held: list[HeldFigures] = attrs.field(factory=list)
    flood: FloodFigures | None = None

    def run(self) -> None:
        """Run all phases, one after the other."""
        at_owner = self.caller(OWNER)
        at_relay = self.caller(RELAY)
        self.open_flows('warm-up', at_owner, self.sizes.flows // 10)
        self.phases.clear()
        self.open_flows('new flows at their owner', at_owner)
        self.open_flows('new flows through a relay', at_relay)
        self.send('requests at their owner', at_owner)
        self.send('requests through a relay', at_relay)
        self.send('one request at a time', at_owner, under_way=1)
        self.send_flood(at_relay)
        self.hold(at_owner)
        at_owner.close()
        at_relay.close()

    def caller(self, name: str) -> LoadCaller:
        """Open a caller of one entry VM."""
        return LoadCaller(
            server=self.fleet.caller_address(name),
            host=CALLER_HOST,
        )

    def open_flows(
        self,
        name: str,
        caller: LoadCaller,
        count: int | None = None,
    ) -> None:
        """Open flows without a request on them."""
        template = make_template(SERVICE, with_cookie=False)
        before = self.usages()
        done = caller.open_flows(template, count or self.sizes.flows)
        opened = sum(bool(cookie) for cookie in done.cookies)
        self.note(name, done, before, succeeded=opened)

    def send(
        self,
        name: str,
        caller: LoadCaller,
        *,
        under_way: int = UNDER_WAY,
    ) -> None:
        """Send requests of the flows that were opened last."""
        template = make_template(SERVICE, with_cookie=True)
        count = self.sizes.requests
        if under_way == 1:
            count //= 4
        before = self.usages()
        done = caller.run(
            template,
            itertools.islice(itertools.cycle(caller.cookies), count),
            under_way=under_way,
        )
        self.note(name, done, before, succeeded=done.ran)

    def send_flood(self, caller: LoadCaller) -> None:
        """Flood a relay with copies of a request that was answered already."""
        template = make_template(SERVICE, with_cookie=True)
        caller.run(template, caller.cookies[:1], under_way=1)
        datagram = template.fill(caller.number, caller.cookies[0])
        before = self.usages()[RELAY]
        dropped = dropped_datagrams(caller.server.port)
        seconds = caller.flood(datagram, self.sizes.flood, FLOOD_RATE)
        time.sleep(FLOOD_SETTLE_SECONDS)
        after = self.usages()[RELAY]
        self.flood = FloodFigures(
            sent=self.sizes.flood,
            rate=self.sizes.flood / seconds,
            dropped=dropped_datagrams(caller.server.port) - dropped,
            relay_microseconds=microseconds_each(
                before,
                after,
                self.sizes.flood,
            ),
            busy=(after.cpu_seconds - before.cpu_seconds) / seconds,
        )
        caller.drain()

    def hold(self, caller: LoadCaller) -> None:
        """Raise the held flows level by level, one request on each."""
        empty = self.usages()
        known = 0
        for level in self.sizes.held:
            tail = min(level - known, self.sizes.requests // 4)
            failed = self.hold_more(caller, level - known - tail)
            before = self.usages()
            template = make_template(SERVICE, with_cookie=False)
            opened = caller.open_flows(template, tail)
            between = self.usages()
            failed += self.use(caller, opened.cookies)
            after = self.usages()
            known = level
            self.held.append(
                HeldFigures(
                    flows=level,
                    owner_bytes_each=bytes_each(empty, after, OWNER, level),
                    relay_bytes_each=bytes_each(empty, after, RELAY, level),
                    request_microseconds=microseconds_each(
                        between[OWNER],
                        after[OWNER],
                        tail,
                    ),
                    flow_microseconds=microseconds_each(
                        before[OWNER],
                        between[OWNER],
                        tail,
                    ),
                    failed=failed,
                ),
            )

    def hold_more(self, caller: LoadCaller, count: int) -> int:
        """Open flows and use each once; return the requests that failed."""
        template = make_template(SERVICE, with_cookie=False)
        opened = caller.open_flows(template, count)
        return self.use(caller, opened.cookies)

    def use(self, caller: LoadCaller, cookies: list[bytes]) -> int:
        """Send one request on each flow; return how many did not run."""
        template = make_template(SERVICE, with_cookie=True)
        done = caller.run(template, cookies, under_way=UNDER_WAY)
        return done.sent - done.ran

    def usages(self) -> dict[str, Usage]:
        """Read both entry VMs."""
        return {
            name: read_usage(self.fleet.pid(name)) for name in (OWNER, RELAY)
        }

    def note(
        self,
        name: str,
        done: LoadResult,
        before: dict[str, Usage],
        *,
        succeeded: int,
    ) -> None:
        """Keep a phase's figures."""
        after = self.usages()
        owner, relay = (
            microseconds_each(before[known], after[known], done.sent)
            for known in (OWNER, RELAY)
        )
        self.phases.append(
            PhaseFigures(
                name=name,
                sent=done.sent,
                failed=done.sent - succeeded,
                unanswered=done.unanswered,
                rate=done.rate,
                p50_ms=done.percentile(P50),
                p99_ms=done.percentile(P99),
                p999_ms=done.percentile(P999),
                owner_microseconds=owner,
                relay_microseconds=relay,
            ),
        )


def bytes_each(
    before: dict[str, Usage],
    after: dict[str, Usage],
    name: str,
    count: int,
) -> float:
    """Return the bytes by which a process grew for each flow."""
    grown = after[name].resident_bytes - before[name].resident_bytes
    return grown / count
