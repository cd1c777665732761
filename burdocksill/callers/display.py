"""Output of a call's outcome, as text or as JSON."""

import json

import attrs
import click

from burdocksill.callers.exceptions import CallFailedError
from burdocksill.callers.feeds import Notification
from burdocksill.callers.script import Call
from burdocksill.flows.cookie import FLOW_ID_SLICE
from burdocksill.requests.messages import Answer


@attrs.frozen(kw_only=True)
class CallReport:
    """Hold the outcome of one call; the field names are its JSON keys."""

    call: str
    code: str
    verdict: str
    reason: str = ''
    payload: str = ''
    retry_after_seconds: float = 0
    hops: tuple[str, ...] = ()
    # Hexadecimal, as `burdocksill explain` accepts them.
    cookie: str = ''
    flow: str = ''


def answered(call: Call, answer: Answer, cookie: bytes) -> CallReport:
    """Return the report of a complete answer."""
    return CallReport(
        call=call.text,
        code=answer.code,
        verdict=answer.verdict.value,
        payload=answer.payload.decode(errors='replace'),
        hops=answer.hops,
        cookie=cookie.hex(),
        flow=cookie[FLOW_ID_SLICE].hex(),
    )


def failed(call: Call, error: CallFailedError, cookie: bytes) -> CallReport:
    """Return the report of a failed call."""
    return CallReport(
        call=call.text,
        code=error.code,
        verdict=error.verdict.value,
        reason=error.reason.value,
        payload=error.message,
        retry_after_seconds=error.retry_after_seconds,
        hops=error.hops,
        cookie=cookie.hex(),
        flow=cookie[FLOW_ID_SLICE].hex(),
    )


def show(report: CallReport, *, as_json: bool) -> None:
    """Print a report as one line of JSON or as text."""
    if as_json:
        click.echo(json.dumps(attrs.asdict(report)))
    elif report.reason:
        show_failure(report)
    else:
        click.echo(f'{report.code} {report.payload}')
        click.echo(f'hops: {" > ".join(report.hops)}')


def show_notification(notification: Notification, *, as_json: bool) -> None:
    """Print one notification and how many before it were lost."""
    text = notification.payload.decode(errors='replace')
    if as_json:
        line = {
            'position': notification.position,
            'missed': notification.missed,
            'payload': text,
        }
        click.echo(json.dumps(line))
        return
    if notification.missed:
        click.echo(f'{notification.missed} notifications were lost', err=True)
    click.echo(f'{notification.position} {text}')


def show_failure(report: CallReport) -> None:
    """Print a failure with its verdict and retry-after time."""
    click.echo(
        f'{report.code}: {report.call}: {report.reason} ({report.verdict})',
        err=True,
    )
    if report.retry_after_seconds:
        click.echo(f'come back in {report.retry_after_seconds} s', err=True)
    if report.hops:
        click.echo(f'hops: {" > ".join(report.hops)}', err=True)
