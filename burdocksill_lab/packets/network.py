"""Virtual time and datagrams between the parts of a packet world."""

import heapq
import itertools
from collections import deque
from collections.abc import Callable, Iterator
from typing import Any, Final, Protocol

import attrs

# One way between any two parts, in seconds.
DELAY_SECONDS: Final = 0.001
Address = tuple[str, int]
Receiver = Callable[[bytes, Address], None]


class Timeline(Protocol):
    """Tell the time, and act later."""

    @property
    def now(self) -> float:
        """Return steady seconds."""

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Run an action some seconds from now."""


class Network(Protocol):
    """Carry datagrams."""

    def send(self, payload: bytes, source: Address, target: Address) -> None:
        """Send a datagram from an address of this process."""


@attrs.define(kw_only=True)
class VirtualTimeline:
    """Run callbacks in the order of their virtual times."""

    now: float = 100.0
    queue: list[tuple[float, int, Callable[[], None]]] = attrs.field(
        factory=list,
    )
    numbers: Iterator[int] = attrs.field(factory=itertools.count)

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Run an action some seconds from now."""
        entry = (self.now + seconds, next(self.numbers), action)
        heapq.heappush(self.queue, entry)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        until = self.now + seconds
        while self.queue and self.queue[0][0] <= until:
            due, _, action = heapq.heappop(self.queue)
            self.now = due
            action()
        self.now = until


@attrs.define(kw_only=True)
class AheadTimeline:
    """Run callbacks at the right times under a clock that is ahead."""

    timeline: Timeline
    ahead_seconds: float

    @property
    def now(self) -> float:
        """Return steady seconds."""
        return self.timeline.now + self.ahead_seconds

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Run an action some seconds from now."""
        self.timeline.after(seconds, action)


@attrs.define(kw_only=True)
class DatagramNetwork:
    """Carry datagrams to whoever holds an address; cuts drop them."""

    timeline: VirtualTimeline
    receivers: dict[Address, Receiver] = attrs.field(factory=dict)
    # Pairs of hosts that don't reach each other.
    cuts: set[frozenset[str]] = attrs.field(factory=set)
    # Tells for each datagram whether it is lost on its way.
    loses: Callable[[], bool] = bool

    def send(self, payload: bytes, source: Address, target: Address) -> None:
        """Deliver a datagram after the delay, if anything is there."""
        if frozenset((source[0], target[0])) in self.cuts or self.loses():
            return
        self.timeline.after(
            DELAY_SECONDS,
            lambda: self.deliver(payload, source, target),
        )

    def deliver(self, payload: bytes, source: Address, target: Address) -> None:
        """Hand a datagram over."""
        receiver = self.receivers.get(target)
        if receiver is not None:
            receiver(payload, source)


@attrs.define(kw_only=True)
class MemorySocket:
    """Stand for the socket of a node."""

    network: DatagramNetwork
    address: Address
    inbox: deque[bytes] = attrs.field(factory=deque)

    def recv(self, size: int) -> bytes:
        """Return the next datagram, cut to a size."""
        if not self.inbox:
            raise BlockingIOError
        return self.inbox.popleft()[:size]

    def sendto(self, payload: bytes, target: Address) -> int:
        """Send a datagram."""
        self.network.send(payload, self.address, target)
        return len(payload)

    def __getattr__(self, name: str) -> Any:
        """Refuse what a node must not need of its socket."""
        raise AttributeError(name)
