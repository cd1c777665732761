"""Steps that write records as other programs would."""

import base64
import json
from typing import Any
from unittest import mock

import httpx
import trio
from behave import given, then, when
from behave.runner import Context

from burdocksill.documents import store
from burdocksill.documents.dissemination import PlatformWatcher
from burdocksill.documents.models import VersionedRecord
from burdocksill.documents.store import DocumentStore
from burdocksill.flows.keys import KeyHolder, encode_ring, rotate
from burdocksill.platform import keys
from burdocksill.platform.etcd import EtcdPlatform
from burdocksill.platform.values import StoredValue
from burdocksill_lab.stand_ins.store import MemoryPlatform

UPSTREAM = {
    'name': 'ledger-1',
    'domain': 'a',
    'host': '192.0.2.7',
    'port': 8080,
    'slots': 2,
    'connections': 9,
}
DOCUMENT = {'service': 'ledger', 'team': 't', 'upstreams': [UPSTREAM]}
STATE = {'domain': 'ledger', 'state': 'out'}
VM = {'domain': 'a', 'role': 'entry', 'host': '192.0.2.1', 'peer_port': 9}


# Stands for a text that the encoder can't write.
MARKER = '@odd@'
ODD_TEXTS = {
    '100000 brackets': '[' * 100_000 + ']' * 100_000,
    '5000 nines': '9' * 5000,
}


def with_field(record: dict[str, Any], field: str, value: Any) -> bytes:
    """Encode a record with a field replaced, there or in its first row."""
    changed = dict(record)
    for name, rows in record.items():
        if isinstance(rows, list) and field in rows[0]:
            changed[name] = [{**rows[0], field: value}]
            return json.dumps(changed).encode()
    return json.dumps({**changed, field: value}).encode()


def with_text(record: dict[str, Any], field: str, text: str) -> bytes:
    """Return a record as JSON with one field that a table names."""
    encoded = with_field(record, field, MARKER)
    odd = ODD_TEXTS.get(text, text).encode()
    return encoded.replace(json.dumps(MARKER).encode(), odd)


def offer(context: Context, key: str, revision: int, value: bytes) -> None:
    """Offer a record to the store."""
    context.store.offer(
        VersionedRecord(key=key, revision=revision, value=value)
    )


@given('a store with the document of "ledger"')
def make_store(context: Context) -> None:
    """Put a document into force."""
    context.store = DocumentStore()
    value = json.dumps(DOCUMENT).encode()
    offer(context, keys.document_key('ledger'), 1, value)
    context.before = context.store.services['ledger']


@when('a newer document of "ledger" has {field} {value}')
def offer_odd(context: Context, field: str, value: str) -> None:
    """Offer a document with one odd field."""
    encoded = with_text(DOCUMENT, field, value)
    offer(context, keys.document_key('ledger'), 2, encoded)


@when('a newer document names an upstream by {count:d} letters')
def offer_long(context: Context, count: int) -> None:
    """Offer a document that is invalid at great length."""
    encoded = with_field(DOCUMENT, 'name', 'x' * count)
    with mock.patch.object(store, 'logger') as logger:
        offer(context, keys.document_key('ledger'), 2, encoded)
    context.logged = logger.warning.call_args


@then('its log line has at most {most:d} characters')
def check_line(context: Context, most: int) -> None:
    """Measure the message and its fields."""
    message, fields = context.logged.args[0], context.logged.kwargs['extra']
    assert message == 'record unreadable'
    assert len(json.dumps(fields)) <= most, len(json.dumps(fields))


@when('the {record} of "ledger" is written under the key of "other"')
def offer_misplaced(context: Context, record: str) -> None:
    """Offer a sound record under another key."""
    if record == 'state':
        value = json.dumps(STATE).encode()
        offer(context, keys.domain_key('other'), 2, value)
        return
    changed = {'deleted': record == 'deletion', 'deadline_seconds': 1.0}
    value = json.dumps({**DOCUMENT, **changed}).encode()
    offer(context, keys.document_key('other'), 2, value)


@then('the document before stays in force')
def check_document(context: Context) -> None:
    """Compare with the document before."""
    assert context.store.services == {'ledger': context.before}


@then('no failure domain is out')
def check_domains(context: Context) -> None:
    """Check the states of failure domains."""
    assert not context.store.is_out('ledger')


@given('a VM with fleet keys')
def make_watcher(context: Context) -> None:
    """Put keys into force."""
    context.watcher = PlatformWatcher(
        platform=MemoryPlatform(), store=DocumentStore(), keys=KeyHolder()
    )
    context.ring = rotate(None)
    apply(context, keys.FLEET_KEYS, 1, encode_ring(context.ring))


def apply(context: Context, key: str, revision: int, value: bytes) -> None:
    """Apply a stored value."""
    context.watcher.apply(StoredValue(key=key, value=value, revision=revision))


@when('newer fleet keys have {field} {value}')
def write_keys(context: Context, field: str, value: str) -> None:
    """Write a ring with one odd field."""
    ring = json.loads(encode_ring(context.ring))
    encoded = with_text(ring, field, value)
    apply(context, keys.FLEET_KEYS, 2, encoded)


@then('the keys before stay in force')
def check_keys(context: Context) -> None:
    """Compare with the ring before, and sign with it."""
    ring = context.watcher.keys.require()
    assert ring == context.ring
    assert ring.signing.secret_bytes


@when('the departures are written into the store')
def write_departures(context: Context) -> None:
    """Write the record that only VMs derive."""
    apply(context, keys.DEPARTURES, 2, b'{"hosts": ["192.0.2.7"]}')


@then('no host is leaving')
def check_departures(context: Context) -> None:
    """Check the hosts of departing VMs."""
    assert not context.watcher.store.leaving_hosts


def pair(key: bytes, record: dict[str, Any]) -> dict[str, str]:
    """Return a pair as the gateway encodes it."""
    return {
        'key': base64.b64encode(key).decode(),
        'value': base64.b64encode(json.dumps(record).encode()).decode(),
        'mod_revision': '2',
    }


@given('a platform with the VMs "one" and "two"')
def make_platform(context: Context) -> None:
    """Answer calls of the gateway with pairs of VMs."""
    context.pairs = [
        pair(f'{keys.VMS}{name}'.encode(), {**VM, 'name': name})
        for name in ('one', 'two')
    ]


@when("a VM's record has {field} {value}")
def write_vm(context: Context, field: str, value: str) -> None:
    """Add a VM with one odd field, before the others."""
    encoded = with_text({**VM, 'name': 'odd'}, field, value)
    odd = pair(f'{keys.VMS}odd'.encode(), VM)
    odd['value'] = base64.b64encode(encoded).decode()
    context.pairs.insert(0, odd)


@when('a key has bytes that are no text')
def write_key(context: Context) -> None:
    """Add a VM under a key that UTF-8 can't decode, before the others."""
    odd = pair(f'{keys.VMS}'.encode() + b'\xff', {**VM, 'name': 'odd'})
    context.pairs.insert(0, odd)


def make_client(context: Context) -> EtcdPlatform:
    """Return a client of a gateway that has the scenario's pairs."""

    def answer(request: httpx.Request) -> httpx.Response:
        if request.url.path == '/v3/watch':
            events = [{'kv': one} for one in context.pairs]
            return httpx.Response(200, json={'result': {'events': events}})
        header = {'revision': '2'}
        return httpx.Response(
            200, json={'header': header, 'kvs': context.pairs}
        )

    return EtcdPlatform(
        endpoint='http://platform',
        client=httpx.AsyncClient(
            base_url='http://platform',
            transport=httpx.MockTransport(answer),
        ),
    )


@then('the list names "one" and "two"')
def check_list(context: Context) -> None:
    """Read the list of VMs."""
    records = trio.run(make_client(context).list_vms)
    assert [record.name for record in records] == ['one', 'two'], records


@then('a watch shows "one" and "two"')
def check_watch(context: Context) -> None:
    """Watch the list of VMs until the answer ends."""

    async def watch() -> list[str]:
        client = make_client(context)
        changes = client.watch(prefix=keys.VMS, from_revision=1)
        return [change.key async for change in changes]

    found = trio.run(watch)
    assert found == [f'{keys.VMS}one', f'{keys.VMS}two'], found
