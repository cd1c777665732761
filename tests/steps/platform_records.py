"""Steps about decoding values of the store."""

import json
from collections import Counter
from collections.abc import Callable
from typing import Any
from unittest import mock

from behave import given as step_given
from behave import then, when
from behave.runner import Context
from hypothesis import HealthCheck, Phase, given, seed, settings
from hypothesis import strategies as st

from burdocksill.exceptions import BurdocksillError
from burdocksill.platform import records
from burdocksill.platform.records import (
    DOMAINS_OUT,
    MANIFEST,
    UPSTREAMS,
    RecordDecoder,
)
from burdocksill.platform.values import StoredValue

ENTRY = {
    'Service': 'ledger',
    'Address': '10.2.0.1:8080',
    'Zone': 'a',
    'Version': 'v1',
    'Slots': 2,
    'State': 'ready',
    'WarmupMs': 0,
    'Seq': 1,
    'born': 1,
}
ROUTE = {
    'Name': 'r',
    'Hostname': '198.18.0.1',
    'Prefix': '/8443/',
    'TrafficSplit': [{'Service': 'ledger', 'Weight': 1}],
}
LIMITS = {'Name': 'ledger', 'WarmupS': 2.0, 'ColdPerS': 0.0}
KEYS = (MANIFEST, f'{UPSTREAMS}i-0000000001', f'{DOMAINS_OUT}a', 'else')
HUGE = 10**400
BRACKETS = 100_000


def json_values() -> st.SearchStrategy[Any]:
    """Return JSON values of any kind, with extreme numbers and texts."""
    leaves = st.one_of(
        st.none(),
        st.booleans(),
        st.integers(-HUGE, HUGE),
        st.floats(),
        st.text(max_size=8),
        st.sampled_from(['1.2.3.4:5', 'ready', '/1/', '-', ':', '/']),
    )
    return st.recursive(
        leaves,
        lambda inner: st.one_of(
            st.lists(inner, max_size=3),
            st.dictionaries(st.sampled_from([*ENTRY, *ROUTE]), inner),
        ),
        max_leaves=6,
    )


def with_replaced_fields(
    good: dict[str, Any],
) -> st.SearchStrategy[dict[str, Any]]:
    """Return copies of a valid object with some fields replaced."""
    fields = st.dictionaries(
        st.sampled_from(sorted(good)),
        json_values(),
        max_size=2,
    )
    return fields.map(lambda changed: {**good, **changed})


def values() -> st.SearchStrategy[bytes]:
    """Return random bytes, JSON values, entries and manifests."""
    manifest = st.builds(
        lambda routes, services: {
            'Version': 3,
            'Routes': routes,
            'Services': services,
        },
        st.lists(with_replaced_fields(ROUTE), max_size=2),
        st.lists(with_replaced_fields(LIMITS), max_size=2),
    )
    written = st.one_of(json_values(), with_replaced_fields(ENTRY), manifest)
    return st.one_of(
        st.binary(max_size=40),
        written.map(lambda found: json.dumps(found).encode()),
    )


def outcome(key: str, value: bytes) -> str:
    """Decode a value and return the outcome as text."""
    try:
        RecordDecoder().decode(StoredValue(key=key, value=value, revision=1))
    except BurdocksillError as error:
        return error.code
    except Exception as error:  # noqa: BLE001
        return f'{type(error).__name__} of {value[:80]!r}'
    return 'update or none'


def with_drawn(
    context: Context, count: int, *drawn: st.SearchStrategy[Any]
) -> Callable[[Callable[..., None]], Callable[[], None]]:
    """Return a decorator that passes drawn values, by the scenario's seed."""

    def decorate(function: Callable[..., None]) -> Callable[[], None]:
        limited = settings(
            max_examples=count,
            database=None,
            deadline=None,
            phases=[Phase.generate],
            suppress_health_check=list(HealthCheck),
        )
        return seed(context.seed)(limited(given(*drawn)(function)))

    return decorate


@when('{count:d} random values are decoded')
def fuzz(context: Context, count: int) -> None:
    """Decode random values under every kind of key."""
    context.outcomes = Counter()

    @with_drawn(context, count, st.sampled_from(KEYS), values())
    def one(key: str, value: bytes) -> None:
        context.outcomes[outcome(key, value)] += 1

    one()


@when('a limit of 10 to the power 400 is decoded')
def decode_limit(context: Context) -> None:
    """Decode a manifest with a limit too large for a float."""
    text = {'Version': 1, 'Limits': {'IdleTimeoutMs': HUGE}}
    decode_text(context, MANIFEST, json.dumps(text))


@when('a weight of 10 to the power 400 is decoded')
def decode_weight(context: Context) -> None:
    """Decode a manifest with a weight too large for a float."""
    split = [{'Service': 'ledger', 'Weight': HUGE}]
    text = {'Version': 1, 'Routes': [{**ROUTE, 'TrafficSplit': split}]}
    decode_text(context, MANIFEST, json.dumps(text))


@when('100000 brackets is decoded')
def decode_brackets(context: Context) -> None:
    """Decode JSON that is nested too deeply."""
    decode_text(context, KEYS[1], '[' * BRACKETS + ']' * BRACKETS)


def decode_text(context: Context, key: str, text: str) -> None:
    """Decode one value."""
    context.outcomes = Counter([outcome(key, text.encode())])


@then('each gave an update, none, or the error "{code}"')
def check_outcomes(context: Context, code: str) -> None:
    """Check that there was no other outcome."""
    others = set(context.outcomes) - {'update or none', code}
    assert not others, others


def manifest_of(version: int, routes: list[dict[str, Any]]) -> StoredValue:
    """Return a stored manifest."""
    text = json.dumps({'Version': version, 'Routes': routes})
    return StoredValue(key=MANIFEST, value=text.encode(), revision=version)


@step_given('a manifest of {count:d} routes that was decoded')
def decode_first(context: Context, count: int) -> None:
    """Decode a manifest with many routes."""
    context.routes = [
        {**ROUTE, 'Name': f'r-{number}', 'Prefix': f'/{number}/', 'Priority': 1}
        for number in range(1, count + 1)
    ]
    context.decoder = RecordDecoder()
    context.decoder.decode(manifest_of(1, context.routes))


@when('it is decoded again with one route changed, one added and one removed')
def decode_changed(context: Context) -> None:
    """Decode the next version and count the decoded routes."""
    first, _, *rest = context.routes
    changed = {**first, 'SloMs': 500}
    added = {**ROUTE, 'Name': 'r-added', 'Prefix': '/9999/'}
    stored = manifest_of(2, [changed, *rest, added])
    with mock.patch.object(
        records,
        'read_route',
        wraps=records.read_route,
    ) as reading:
        context.found = context.decoder.decode(stored)
    context.route_count = reading.call_count
    context.wanted = RecordDecoder().decode(stored)


@then('{count:d} routes were decoded')
def check_route_count(context: Context, count: int) -> None:
    """Compare the count."""
    assert context.route_count == count, context.route_count


@then('its routes are those that a new decoder finds')
def check_routes(context: Context) -> None:
    """Compare with the routes of a decoder without cached routes."""
    assert context.found.manifest.routes == context.wanted.manifest.routes


@when('it is decoded again with the priority true instead of 1')
def decode_wrong(context: Context) -> None:
    """Decode a version with a value of the wrong type."""
    first, *rest = context.routes
    stored = manifest_of(2, [{**first, 'Priority': True}, *rest])
    context.found = context.decoder.decode(stored)


@then('its only fault is the "{name}" of one route')
def check_fault(context: Context, name: str) -> None:
    """Check that the manifest says why a field is not used."""
    manifest = context.found.manifest
    (cause,) = manifest.faults
    assert f'{name} is not' in cause, cause
    assert len(manifest.routes) == len(context.routes)
