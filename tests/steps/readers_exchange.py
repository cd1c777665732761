"""Steps about the messages between nodes, without a network."""

import json
import statistics
import zlib
from random import Random
from unittest import mock

from behave import given, then, when
from behave.runner import Context

from burdocksill.network.addresses import Address
from burdocksill.packets.silence import Evidence, SilenceNotice
from burdocksill.packets.store_cache import StoreCache
from burdocksill.packets.updater import StateUpdater
from burdocksill.platform.protocols import SwapResult
from burdocksill.platform.records import MANIFEST, UPSTREAMS
from burdocksill.platform.revisions import join_revision, show_revision
from burdocksill.platform.values import Snapshot, StoredValue
from burdocksill.readers import changes
from burdocksill.readers.changes import ChangeLog
from burdocksill.readers.datagrams import (
    Observations,
    Offer,
    SilenceNotices,
    SilenceReports,
    Update,
    UpdateRequest,
)
from burdocksill.readers.election import ReaderElection
from burdocksill.readers.load_messages import (
    LoadReport,
    LoadSummary,
    UpstreamLoad,
)
from burdocksill.readers.load_wire import (
    MAX_GROUPS,
    MAX_ROWS,
    encode_report,
    encode_summary,
)
from burdocksill.readers.messages import Observation, Reader, ReaderEntry
from burdocksill.readers.silence_reports import SilenceExchange
from burdocksill.readers.silence_wire import MAX_ENTRIES
from burdocksill.readers.subscription import Subscription
from burdocksill.readers.wire import (
    MAX_OBSERVATIONS,
    UPDATE,
    UPDATE_KIND,
    decode,
    encode_changes,
    encode_observations,
    encode_offer,
    encode_update,
    encode_update_request,
)
from burdocksill_lab.packets.world import PacketWorld

READER = Reader(name='entry-r', address=Address('10.1.0.9', 7720))


@when('changes, removals and unusual bytes are encoded and decoded')
def write_and_read(context: Context) -> None:
    """Write messages and read them."""
    changes = (
        StoredValue(key='servers/i-ü', value=b'\xff\x00', revision=7),
        StoredValue(key='op/x', value=b'', revision=8, removed=True),
        StoredValue(key='', value=bytes(3000), revision=2**63),
    )
    ask = UpdateRequest(token=2**64 - 1, revision=5)
    update = Update(
        token=1,
        after=5,
        revision=2**63,
        age=0.5,
        stable=-1.0,
        changes=changes,
    )
    empty = Update(token=1, after=5, revision=5, age=0, stable=1.0)
    offer = Offer(revision=2**64 - 1, age=0.5)
    observations = Observations(
        observations=(
            Observation(
                echo=2**32 - 1, answered=True, at=-0.25, reporter=2**16 - 1
            ),
            Observation(echo=0, answered=False, at=0.0, reporter=1),
        ),
    )
    row = UpstreamLoad(
        echo=2**32 - 1,
        flows=16,
        in_progress=0,
        answer_seconds=0.016,
        errors_per_second=1.5,
    )
    report = LoadReport(
        sent_at=0.5, rounds=6, groups={2**32 - 1: 2**16 - 1}, rows=(row,)
    )
    summary = LoadSummary(
        sent_at=4e6, age_seconds=0.5, groups={1: 0}, rows=(row, row)
    )
    domain_sums = LoadSummary(
        sent_at=0.0, age_seconds=0.0, groups={}, for_readers=True
    )
    far = Update(
        token=1,
        after=5,
        revision=9,
        age=0,
        stable=1.0,
        changes=None,
    )
    context.pairs = [
        (ask, decode(encode_update_request(ask))),
        (update, decode(encode_update(update, encode_changes(changes)))),
        (empty, decode(encode_update(empty, encode_changes(())))),
        (far, decode(encode_update(far, None))),
        (offer, decode(encode_offer(offer))),
        (report, decode(encode_report(report))),
        (summary, decode(encode_summary(summary))),
        (domain_sums, decode(encode_summary(domain_sums))),
        (
            observations,
            decode(encode_observations(observations.observations, 0.0), 0.0),
        ),
    ]


@then('they are the same')
def check_same(context: Context) -> None:
    """Compare."""
    for written, read in context.pairs:
        assert written == read, (written, read)


@when('{count:d} random and corrupt datagrams are decoded')
def read_corrupt(context: Context, count: int) -> None:
    """Read random bytes, and messages with bytes changed."""
    rng = Random(context.seed)
    changes = (StoredValue(key='servers/i-1', value=b'{}', revision=7),)
    update = Update(token=1, after=5, revision=7, age=0.5, stable=2.0)
    good = encode_update(update, encode_changes(changes))
    context.read = []
    for number in range(count):
        if number % 2:
            payload = rng.randbytes(rng.randrange(80))
        else:
            corrupt = bytearray(good[: rng.randrange(1, len(good) + 1)])
            corrupt[rng.randrange(len(corrupt))] = rng.randrange(256)
            payload = bytes(corrupt)
        context.read.append(decode(payload))


@then('each was rejected or is a valid message')
def check_valid(context: Context) -> None:
    """Check what was read."""
    for message in context.read:
        if isinstance(message, Update):
            assert message.age >= 0
            assert message.revision >= message.after
        elif isinstance(message, Observations):
            assert 0 < len(message.observations) <= MAX_OBSERVATIONS
            assert all(
                observation.at <= 0 for observation in message.observations
            )
        elif isinstance(message, Offer):
            assert message.age >= 0
        elif isinstance(message, LoadReport | LoadSummary):
            assert message.rounds > 0
            assert len(message.rows) <= MAX_ROWS
            assert len(message.groups) <= MAX_GROUPS
        elif isinstance(message, SilenceReports):
            assert 0 < len(message.reports) <= MAX_ENTRIES
            assert all(
                report.at <= 0 and isinstance(report.evidence, Evidence)
                for report in message.reports
            )
        elif isinstance(message, SilenceNotices):
            assert 0 < len(message.notices) <= MAX_ENTRIES
            assert all(notice.at <= 0 for notice in message.notices)
        else:
            assert message is None or isinstance(message, UpdateRequest)


@then('a datagram that would decompress to 64 MB is rejected')
def check_bomb(context: Context) -> None:
    """Read a small datagram with a huge content."""
    head = UPDATE.pack(UPDATE_KIND, 1, 5, 7, 0.5, 2.0, 9, True)
    assert decode(head + zlib.compress(bytes(64 << 20))) is None


class KnownReaders:
    """Registry with one reader of the domain, or none."""

    def __init__(self, *, reader: Reader | None = READER) -> None:
        """Keep the entry."""
        entry = ReaderEntry(domain='a', reader=reader, revision=3)
        self.readers = {'a': entry}


@given('a node that knows revision {revision:d} and has requested changes')
def make_asker(context: Context, revision: int) -> None:
    """Prepare a node that has read the store and asked a reader."""
    world = PacketWorld(seed=context.seed, revision=revision - 2)
    world.put_manifest(1, {8443: 'ledger'})
    world.add_upstream('a')
    node = world.add_node('a')
    context.known: StoreCache = node.core.store_cache
    context.updater: StateUpdater = node.core.updater
    context.before = set(context.updater.upstreams.by_name)
    context.world = world
    context.subscription = Subscription(
        name='entry-1',
        domain='a',
        directory=KnownReaders(),
        store_cache=context.known,
        clock=world.time,
        rng=Random(context.seed),
    )
    world.timeline.run(2.0)
    reader, context.ask = context.subscription.next_request()
    assert reader == READER
    assert context.known.revision == revision


def deliver(
    context: Context,
    *,
    after: int,
    revision: int,
    token: int | None = None,
    sender: Address = READER.address,
    stable: float = 60.0,
) -> None:
    """Deliver an update that removes one upstream."""
    name = next(iter(context.before))
    gone = StoredValue(
        key=UPSTREAMS + name,
        value=b'',
        revision=revision,
        removed=True,
    )
    update = Update(
        token=context.ask.token if token is None else token,
        after=after,
        revision=revision,
        age=0.1,
        stable=stable,
        changes=(gone,),
    )
    context.subscription.handle_update(update, sender)


@when('messages of kinds {a:d}, {b:d}, {c:d} and {d:d} are decoded')
def decode_kinds(context: Context, a: int, b: int, c: int, d: int) -> None:
    """Decode messages of the layouts that are in use, of other kinds."""
    messages = (
        encode_update_request(UpdateRequest(token=1, revision=5)),
        encode_update(
            Update(token=1, after=5, revision=7, age=0.5, stable=2.0), b''
        ),
        encode_offer(Offer(revision=5, age=0.5)),
    )
    context.read = [
        decode(bytes((kind,)) + message[1:])
        for kind in (a, b, c, d)
        for message in messages
    ]


@then('each was rejected')
def check_rejected(context: Context) -> None:
    """Check that no message was decoded."""
    assert context.read == [None] * 12, context.read


@when('the requested update arrives with a restore')
def deliver_restored(context: Context) -> None:
    """Deliver changes of the next era, whose numbers are lower."""
    deliver(context, after=20, revision=join_revision(1, 18))


@when('an update from before the restore arrives that ends later')
def deliver_differences(context: Context) -> None:
    """Deliver the differences of a later full read to the era before."""
    deliver(context, after=20, revision=join_revision(1, 30))


@when('an update arrives that begins at {after:d} and ends after a restore')
def deliver_behind(context: Context, after: int) -> None:
    """Deliver differences to a state that the node has left."""
    deliver(context, after=after, revision=join_revision(1, 18))


@then('it requests at once the changes after {era:d}.{number:d}')
def check_asks_era(context: Context, era: int, number: int) -> None:
    """Check era and number of the next request."""
    check_asks(context, join_revision(era, number))


@then('the node knows revision {era:d}.{number:d}')
def check_era(context: Context, era: int, number: int) -> None:
    """Check era and number of the revision."""
    shown = show_revision(context.known.revision)
    assert shown == f'{era}.{number}', shown


@when('an update with another token arrives')
def deliver_forged(context: Context) -> None:
    """Deliver an update with a forged token."""
    deliver(context, after=20, revision=25, token=context.ask.token ^ 1)


@when('an update arrives from an address without a request')
def deliver_elsewhere(context: Context) -> None:
    """Deliver an update of another sender."""
    deliver(context, after=20, revision=25, sender=Address('10.1.0.8', 7720))


@when('the requested update arrives')
def deliver_right(context: Context) -> None:
    """Deliver the answer."""
    deliver(context, after=20, revision=25)


@when('an update arrives that ends at revision {revision:d}')
def deliver_late(context: Context, revision: int) -> None:
    """Deliver an update that is older than what is known."""
    deliver(context, after=10, revision=revision)


@when('an update arrives that begins at revision {revision:d}')
def deliver_gap(context: Context, revision: int) -> None:
    """Deliver an update that leaves out changes."""
    deliver(context, after=revision, revision=revision + 3)


@when('an update reports that the store has worked for {seconds:f} seconds')
def deliver_stable(context: Context, seconds: float) -> None:
    """Deliver an update of a reader that saw trouble."""
    deliver(context, after=20, revision=25, stable=seconds)


@then('nothing has changed')
def check_nothing(context: Context) -> None:
    """Check the upstreams and the revision."""
    upstreams = context.updater.upstreams.by_name.values()
    assert not any(one.absent_since for one in upstreams)
    assert context.known.revision == 20


@then('the node knows revision {revision:d}')
def check_revision(context: Context, revision: int) -> None:
    """Check the revision."""
    assert context.known.revision == revision, context.known.revision


@then('the upstream of revision {revision:d} is still there')
def check_present(context: Context, revision: int) -> None:
    """Check for the upstream."""
    check_nothing(context)


@then('it requests at once the changes after {revision:d}')
def check_asks(context: Context, revision: int) -> None:
    """Check the next ask."""
    assert context.subscription.seconds_until_request() == 0
    _, ask = context.subscription.next_request()
    assert ask.revision == revision


@then('the node counts absences from {seconds:f} seconds ago')
def check_stable(context: Context, seconds: float) -> None:
    """Look since when the store counts as fine."""
    since = context.updater.upstreams.store_healthy_since
    assert abs(context.world.timeline.now - since - seconds) < 0.01, since


def make_election(context: Context, cores: float, seed: int) -> ReaderElection:
    """Prepare a node that may campaign."""
    context.now = 50.0
    return ReaderElection(
        local_node=Reader(name='entry-1', address=Address('10.1.0.1', 7720)),
        domain='a',
        cores=cores,
        directory=KnownReaders(reader=None),
        clock=lambda: context.now,
        rng=Random(seed),
    )


@when(
    '{count:d} nodes of {quick:f} and {more:d} of {slow:f} cores have no reader'
)
def start_without_reader(
    context: Context,
    count: int,
    quick: float,
    more: int,
    slow: float,
) -> None:
    """Let nodes draw the time of their campaign."""
    context.waits = {}
    for cores, number in ((quick, count), (slow, more)):
        waits = []
        for seed in range(number):
            election = make_election(context, cores, seed)
            election.is_campaign_due()
            waits.append(election.campaign_at - context.now)
        context.waits[cores] = waits


@then('the mean delay of the slow is at least {times:d} times that of the fast')
def check_waits(context: Context, times: int) -> None:
    """Compare the waits."""
    quick, slow = (statistics.mean(one) for one in context.waits.values())
    assert slow >= times * quick, (quick, slow)


@then('nobody waits longer than {limit:f} seconds')
def check_longest(context: Context, limit: float) -> None:
    """Check the longest wait."""
    longest = max(max(one) for one in context.waits.values())
    assert longest <= limit, longest


@given('a node that reads for its domain')
def make_reader(context: Context) -> None:
    """Let a campaign succeed."""
    context.election = make_election(context, 1, context.seed)
    accepted = SwapResult(accepted=True, revision=9, current=None)
    context.election.record_campaign(accepted, 7, context.now)
    assert context.election.holds_lease


@when('no renewal succeeds for {seconds:f} seconds')
def fail_renewals(context: Context, seconds: float) -> None:
    """Advance the clock."""
    context.now += seconds
    context.election.check_expiry()


@then('it does not read for its domain any more')
def check_not_reader(context: Context) -> None:
    """Check its state."""
    assert not context.election.holds_lease


@given('a node that finds its own old entry')
def make_returned(context: Context) -> None:
    """Prepare a node whose old entry still exists."""
    context.election = make_election(context, 1, context.seed)
    context.election.directory = KnownReaders(
        reader=context.election.local_node
    )


@when('its campaigns fail for {seconds:d} seconds')
def fail_offers(context: Context, seconds: int) -> None:
    """Let each campaign get no answer."""
    context.campaigns = 0
    for _ in range(seconds * 2):
        if context.election.is_campaign_due():
            context.campaigns += 1
            context.election.record_failure()
        context.now += 0.5


@then('it has campaigned at most {count:d} times')
def check_offers(context: Context, count: int) -> None:
    """Count the campaigns."""
    assert 0 < context.campaigns <= count, context.campaigns


@when('changes of {megabytes:d} MB that compress into a datagram are encoded')
def encode_alike(context: Context, megabytes: int) -> None:
    """Pack a value of zeros."""
    value = bytes(megabytes * 1_000_000)
    change = StoredValue(key='op/config', value=value, revision=7)
    context.packed = encode_changes((change,))


@then('they are left to the store')
def check_left(context: Context) -> None:
    """Check for no datagram."""
    assert context.packed is None, len(context.packed)


@given('a node that knows the store')
def make_knowing(context: Context) -> None:
    """Prepare a node that has read the store."""
    world = PacketWorld(seed=context.seed)
    world.put_manifest(1, {8443: 'ledger'})
    context.going = world.add_upstream('a')
    context.staying = world.add_upstream('a')
    context.node = world.add_node('a')
    context.world = world
    count_decoded(context)


def count_decoded(context: Context) -> None:
    """Record the keys of the entries that the node decodes from now on."""
    updater = context.node.core.updater
    decode_entry = updater.decode
    context.decoded = []

    def count(stored: StoredValue) -> object:
        context.decoded.append(stored.key)
        return decode_entry(stored)

    updater.decode = count


@when('one answer contains manifests {first:d}, {second:d} and {third:d}')
def tell_versions(
    context: Context,
    first: int,
    second: int,
    third: int,
) -> None:
    """Deliver an answer with several versions."""
    world = context.world
    text = json.loads(world.store[MANIFEST])
    found = Snapshot(
        values=tuple(
            StoredValue(
                key=MANIFEST,
                value=json.dumps({**text, 'Version': version}).encode(),
                revision=world.revision + version,
            )
            for version in (first, second, third)
        ),
        revision=world.revision + third,
    )
    context.node.core.store_cache.apply_changes(found, world.timeline.now)


@then('manifest {version:d} is in force')
def check_manifest(context: Context, version: int) -> None:
    """Check the version."""
    assert context.node.core.updater.table.version == version


@given('a log of changes that begins at revision {revision:d}')
def make_log(context: Context, revision: int) -> None:
    """Prepare an empty log."""
    context.log = ChangeLog(start=revision, end=revision)


@when(
    'the key "{one}" changes in {first:d} and {last:d}, '
    'and the key "{other}" in {between:d}',
)
def change_keys(
    context: Context,
    one: str,
    first: int,
    last: int,
    other: str,
    between: int,
) -> None:
    """Add three changes, one after the other."""
    for key, revision in ((one, first), (other, between), (one, last)):
        change = StoredValue(key=key, value=b'', revision=revision)
        found = Snapshot(values=(change,), revision=revision)
        context.log.add(revision - 1, found)


@when(
    'the key "{key}" changes in {number:d}, '
    'and an older "{restored_key}" is restored in era {era:d}'
)
def change_and_restore(
    context: Context, key: str, number: int, restored_key: str, era: int
) -> None:
    """Add a change, then what a full read of the next era shows."""
    change = StoredValue(key=key, value=b'', revision=number)
    found = Snapshot(values=(change,), revision=number)
    context.log.add(context.log.end, found)
    revision = join_revision(era, 9)
    restored = StoredValue(key=restored_key, value=b'', revision=revision)
    found = Snapshot(values=(restored,), revision=join_revision(era, 10))
    context.log.add(context.log.end, found)


@given(
    'a log of changes that begins at revision {revision:d} and keeps {kept:d}',
)
def make_short_log(context: Context, revision: int, kept: int) -> None:
    """Prepare a log that holds few changes."""
    make_log(context, revision)
    context.kept = kept


@when(
    'a full read shows "{one}" of {first:d}, "{two}" of {second:d} '
    'and "{three}" of {third:d}',
)
def show_whole(
    context: Context,
    one: str,
    first: int,
    two: str,
    second: int,
    three: str,
    third: int,
) -> None:
    """Add changes that are not in the order of their revisions."""
    shown = ((one, first), (two, second), (three, third))
    values = tuple(
        StoredValue(key=key, value=b'', revision=revision)
        for key, revision in shown
    )
    found = Snapshot(values=values, revision=max(first, second, third))
    with mock.patch.object(changes, 'MAX_CHANGES', context.kept):
        context.log.add(context.log.end, found)


@then('the log has no complete changes after {after:d}')
def check_incomplete(context: Context, after: int) -> None:
    """Check that the log does not return incomplete changes."""
    assert context.log.since(after) is None, context.log.since(after)


@then('the log has no complete changes after {number:d} of era {era:d}')
def check_era_incomplete(context: Context, number: int, era: int) -> None:
    """Check that the log does not return incomplete changes of an era."""
    check_incomplete(context, join_revision(era, number))


@then('the log has complete changes after {number:d} of era {era:d}')
def check_era_complete(context: Context, number: int, era: int) -> None:
    """Check that the log knows that nothing has changed since."""
    assert context.log.since(join_revision(era, number)) == ()


@then('the log returns after {after:d}: {wanted}')
def check_log(context: Context, after: int, wanted: str) -> None:
    """Compare the keys and revisions of the changes after a revision."""
    found = context.log.since(after)
    told = ', '.join(
        f'{one.key} of {show_revision(one.revision)}' for one in found
    )
    assert told == wanted, told


@when('the store is read in full after one upstream came and one went')
def read_again(context: Context) -> None:
    """Read the store once more, with two changes."""
    world = context.world
    before = {key: world.revision for key in world.store}
    context.node.receives_updates = False
    context.coming = world.add_upstream('a')
    world.deregister(context.going)
    found = Snapshot(
        values=tuple(
            StoredValue(
                key=key,
                value=value,
                revision=before.get(key, world.revision),
            )
            for key, value in world.store.items()
        ),
        revision=world.revision,
    )
    context.node.core.store_cache.apply_snapshot(found, world.timeline.now)


@then('{count:d} entries were decoded')
def check_decoded(context: Context, count: int) -> None:
    """Count them."""
    assert len(context.decoded) == count, context.decoded


@then('the node knows the upstreams of the store')
def check_standing(context: Context) -> None:
    """Compare the node's upstreams with those of the store."""
    known = context.node.core.updater.upstreams.by_name
    there = {name for name, one in known.items() if not one.absent_since}
    assert there == {context.staying.name, context.coming.name}, there


@given(
    'a reader with {nodes:d} subscribers that finds {count:d} upstreams '
    'silent at once'
)
def make_silent(context: Context, nodes: int, count: int) -> None:
    """Create the exchange of a reader with many decisions."""
    context.told = {Address('127.0.0.1', one): [] for one in range(nodes)}
    context.notices = [
        SilenceNotice(echo=echo, at=0, is_confirmed=True)
        for echo in range(count)
    ]
    context.silence = SilenceExchange(
        role=mock.Mock(),
        detector=mock.Mock(),
        judge=mock.Mock(waiting=()),
        publisher=mock.Mock(subscribers=dict.fromkeys(context.told)),
        clock=lambda: 1.0,
        send=lambda payload, peer: context.told[peer].append(payload),
    )


@when('it tells them')
def tell(context: Context) -> None:
    """Relay all notices in one go."""
    context.silence.relay(context.notices)


@then('each subscriber can read {count:d} notices')
def check_told(context: Context, count: int) -> None:
    """Decode what was sent to each."""
    for payloads in context.told.values():
        found = [decode(payload) for payload in payloads]
        echoes = [one.echo for message in found for one in message.notices]
        assert echoes == list(range(count)), len(echoes)
