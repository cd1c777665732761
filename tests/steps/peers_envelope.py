"""Steps about datagrams between entry VMs."""

from random import Random

from behave import given, then, when
from behave.runner import Context

from burdocksill.flows.keys import KeyHolder, rotate
from burdocksill.network.protocols import Address, Datagram
from burdocksill.observe.counters import Counters
from burdocksill.peers.channel import PeerChannel
from burdocksill.peers.envelope import EnvelopeSealer
from burdocksill.peers.exceptions import PeerDatagramError
from burdocksill.peers.messages import RecordPull
from burdocksill.peers.replay import MAX_SENDERS, ReplayGuard

PEER = Address('10.0.0.1', 5690)


class StoppedClock:
    """Return a constant time."""

    def now(self) -> float:
        """Return a time of day."""
        return 1_800_000_000


class NoSocket:
    """Drop all datagrams."""

    local = PEER

    async def receive(self) -> list[Datagram]:
        """Return nothing."""
        return []

    def send(self, payload: bytes, peer: Address) -> bool:
        """Drop a datagram."""
        return True

    def close(self) -> None:
        """Do nothing."""


def sealer(ring: KeyHolder, name: str) -> EnvelopeSealer:
    """Make a peer's sealer."""
    return EnvelopeSealer(sender=name, keys=ring, clock=StoppedClock())


@given("peers that share the fleet's keys")
def make_peers(context: Context) -> None:
    """Make a sender and a receiver."""
    context.keys = KeyHolder(ring=rotate(None))
    context.sender = sealer(context.keys, 'cz-a-1')
    context.counters = Counters()
    context.channel = PeerChannel(
        socket=NoSocket(),
        sealer=sealer(context.keys, 'cz-a-2'),
        counters=context.counters,
    )


@when("a peer's datagram is cut to {size:d} bytes")
def cut_datagram(context: Context, size: int) -> None:
    """Send a truncated datagram."""
    payload = context.sender.seal(RecordPull(after=1))
    context.channel.dispatch(payload[:size], PEER)


@when("a peer's datagram has a byte changed")
def change_datagram(context: Context) -> None:
    """Send a changed datagram."""
    payload = bytearray(context.sender.seal(RecordPull(after=1)))
    payload[-20] ^= 1
    context.channel.dispatch(bytes(payload), PEER)


@when("a peer's datagram is of another fleet")
def send_foreign(context: Context) -> None:
    """Send a datagram under another fleet's key."""
    foreign = sealer(KeyHolder(ring=rotate(None)), 'cz-a-1')
    context.channel.dispatch(foreign.seal(RecordPull(after=1)), PEER)


@when("a peer's datagram is signed with a retired key")
def send_old(context: Context) -> None:
    """Send a datagram that was sealed two rotations ago."""
    payload = context.sender.seal(RecordPull(after=1))
    for _ in range(2):
        context.keys.ring = rotate(context.keys.ring)
    context.channel.dispatch(payload, PEER)


@when("a peer's datagram is sent again")
def send_again(context: Context) -> None:
    """Send the same datagram twice."""
    payload = context.sender.seal(RecordPull(after=1))
    for _ in range(2):
        context.channel.dispatch(payload, PEER)


@when("a peer's datagram comes {count:d} datagrams too late")
def send_late(context: Context, count: int) -> None:
    """Send a datagram after many later ones."""
    late = context.sender.seal(RecordPull(after=1))
    for _ in range(count):
        context.channel.dispatch(
            context.sender.seal(RecordPull(after=1)),
            PEER,
        )
    context.channel.dispatch(late, PEER)


@then('the peer refuses it as {reason}')
def check_refused(context: Context, reason: str) -> None:
    """Check that one datagram was refused for one reason."""
    assert context.counters.value('peer_refused', reason=reason) == 1


@then('the peer accepts {count:d} datagrams in any order, each once')
def check_order(context: Context, count: int) -> None:
    """Send shuffled datagrams twice."""
    sealed = [
        context.sender.seal(RecordPull(after=number)) for number in range(count)
    ]
    Random(context.seed).shuffle(sealed)
    opened = [context.channel.sealer.open(payload) for payload in sealed]
    assert len(opened) == count
    for payload in sealed:
        try:
            context.channel.sealer.open(payload)
        except PeerDatagramError:
            continue
        raise AssertionError('a copy was accepted')


@then('the peer remembers at most {limit:d} senders')
def check_memory(context: Context, limit: int) -> None:
    """Accept one datagram each of more senders than are remembered."""
    guard = ReplayGuard()
    for number in range(limit + 100):
        assert guard.accept(number.to_bytes(4, 'big'), 1)
    assert len(guard.windows) <= limit == MAX_SENDERS
