"""Steps about cookies."""

from behave import given, then, when
from behave.runner import Context

from burdocksill.flows.cookie import Cookie, SignedCookieSealer
from burdocksill.flows.exceptions import CookieInvalidError
from burdocksill.flows.keys import KeyHolder, rotate
from burdocksill_lab.fakes.clock import VirtualClock


def refuses(context: Context, service: str, sealed: bytes) -> bool:
    """Return True if a service refuses a cookie."""
    try:
        context.sealer.open(service=service, sealed=sealed)
    except CookieInvalidError:
        return True
    return False


@given('a cookie of "{service}"')
def seal_cookie(context: Context, service: str) -> None:
    """Seal a cookie."""
    context.keys = KeyHolder(ring=rotate(None))
    context.sealer = SignedCookieSealer(
        keys=context.keys,
        clock=VirtualClock(),
    )
    context.cookie = Cookie(
        upstream_tag=b'upst',
        owner_tag=b'ownr',
        epoch=b'epoch--1',
        flow_id=b'flow-1',
        issued=1_800_000_000,
        address_tag=b'adr',
    )
    context.sealed = context.sealer.seal(service=service, cookie=context.cookie)


@then('it has at most {limit:d} bytes')
def check_size(context: Context, limit: int) -> None:
    """Check the size that RFC 9175 allows."""
    assert len(context.sealed) <= limit


@then('"{service}" opens it')
def check_open(context: Context, service: str) -> None:
    """Check that the cookie is decoded unchanged."""
    opened = context.sealer.open(service=service, sealed=context.sealed)
    assert opened == context.cookie


@then('"{service}" refuses it')
def check_refused(context: Context, service: str) -> None:
    """Check that the cookie is refused."""
    assert refuses(context, service, context.sealed)


@then('every change of one bit is refused')
def check_forged(context: Context) -> None:
    """Flip each bit in turn."""
    for index in range(len(context.sealed) * 8):
        forged = bytearray(context.sealed)
        forged[index // 8] ^= 1 << index % 8
        assert refuses(context, 'kiosk-ledger', bytes(forged)), index


@then('every shorter cookie is refused')
def check_truncated(context: Context) -> None:
    """Truncate the cookie at each length."""
    for size in range(len(context.sealed)):
        assert refuses(context, 'kiosk-ledger', context.sealed[:size]), size


@when('the keys rotate {times:d} time')
def rotate_keys(context: Context, times: int) -> None:
    """Rotate the fleet's keys."""
    for _ in range(times):
        context.keys.ring = rotate(context.keys.ring)
