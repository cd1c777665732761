"""Virtual time and an in-memory datagram network for packet simulations."""

import heapq
import itertools
from collections import deque
from collections.abc import Callable, Iterator
from typing import Any, Final, Protocol

import attrs

# One-way delay between any two hosts.
DELAY_SECONDS: Final = 0.001
Address = tuple[str, int]
Receiver = Callable[[bytes, Address], None]


class Timeline(Protocol):
    """Clock and scheduler of callbacks."""

    @property
    def now(self) -> float:
        """Return monotonic seconds."""

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Run an action after a delay in seconds."""


class Network(Protocol):
    """Network that sends datagrams."""

    def send(self, payload: bytes, source: Address, target: Address) -> None:
        """Send a datagram from an address of this process."""


@attrs.define(kw_only=True)
class VirtualTimeline:
    """Scheduler that runs callbacks in the order of their virtual times."""

    now: float = 100.0
    queue: list[tuple[float, int, Callable[[], None]]] = attrs.field(
        factory=list,
    )
    numbers: Iterator[int] = attrs.field(factory=itertools.count)

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Run an action after a delay in seconds."""
        entry = (self.now + seconds, next(self.numbers), action)
        heapq.heappush(self.queue, entry)

    def run(self, seconds: float) -> None:
        """Advance the time and run the callbacks that fall due."""
        until = self.now + seconds
        while self.queue and self.queue[0][0] <= until:
            due, _, action = heapq.heappop(self.queue)
            self.now = due
            action()
        self.now = until


@attrs.define(kw_only=True)
class AheadTimeline:
    """Timeline whose clock is ahead by a constant; delays are unchanged."""

    timeline: Timeline
    ahead_seconds: float

    @property
    def now(self) -> float:
        """Return monotonic seconds."""
        return self.timeline.now + self.ahead_seconds

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Run an action after a delay in seconds."""
        self.timeline.after(seconds, action)


@attrs.define(kw_only=True)
class DatagramNetwork:
    """In-memory network with a constant delay, partitions and loss."""

    timeline: VirtualTimeline
    receivers: dict[Address, Receiver] = attrs.field(factory=dict)
    # Pairs of hosts that cannot reach each other.
    cuts: set[frozenset[str]] = attrs.field(factory=set)
    # Called for each datagram; True drops it.
    loses: Callable[[], bool] = bool

    def send(self, payload: bytes, source: Address, target: Address) -> None:
        """Deliver a datagram after the delay, unless it is dropped."""
        if frozenset((source[0], target[0])) in self.cuts or self.loses():
            return
        self.timeline.after(
            DELAY_SECONDS,
            lambda: self.deliver(payload, source, target),
        )

    def deliver(self, payload: bytes, source: Address, target: Address) -> None:
        """Pass a datagram to its receiver; drop it if there is none."""
        receiver = self.receivers.get(target)
        if receiver is not None:
            receiver(payload, source)


@attrs.define(kw_only=True)
class MemorySocket:
    """Fake of a node's non-blocking UDP socket."""

    network: DatagramNetwork
    address: Address
    inbox: deque[bytes] = attrs.field(factory=deque)

    def recv(self, size: int) -> bytes:
        """Return the next datagram, truncated; BlockingIOError if none."""
        if not self.inbox:
            raise BlockingIOError
        return self.inbox.popleft()[:size]

    def sendto(self, payload: bytes, target: Address) -> int:
        """Send a datagram."""
        self.network.send(payload, self.address, target)
        return len(payload)

    def __getattr__(self, name: str) -> Any:
        """Raise AttributeError for a method that nodes must not use."""
        raise AttributeError(name)
