"""Explanations of how a VM routed a request or a flow."""

import attrs

from burdocksill.admin.exceptions import QueryInvalidError
from burdocksill.admin.messages import CookieLine, DecisionLine, Explanation
from burdocksill.entry.node import EntryNode
from burdocksill.flows.cookie import Cookie, SignedCookieSealer, name_tag
from burdocksill.flows.exceptions import CookieInvalidError, KeysMissingError
from burdocksill.observe.decisions import Decision


@attrs.frozen(kw_only=True)
class ExplainQuery:
    """Identify a flow or a request by hexadecimal id, cookie or tokens."""

    flow: str = ''
    cookie: str = ''
    tokens: tuple[str, ...] = ()

    def validate(self) -> None:
        """Raise QueryInvalidError for a query that is empty or not hex."""
        for text in (self.flow, self.cookie, *self.tokens):
            try:
                bytes.fromhex(text)
            except ValueError as error:
                raise QueryInvalidError(
                    message=f'{text!r} is not hexadecimal',
                    hint='write the bytes in hex, as burdocksill-call does',
                ) from error
        if not (self.flow or self.cookie or any(self.tokens)):
            raise QueryInvalidError(
                message='nothing to explain was named',
                hint='give a flow id, a token or a cookie',
            )


@attrs.frozen(kw_only=True)
class OpenedCookie:
    """Hold a cookie and the service that it was signed for."""

    service: str
    cookie: Cookie


def explain(node: EntryNode, query: ExplainQuery) -> Explanation:
    """Return this VM's recorded decisions, or raise QueryInvalidError."""
    query.validate()
    opened = open_cookie(node, bytes.fromhex(query.cookie))
    flow = opened.cookie.flow_id if opened else bytes.fromhex(query.flow)
    decisions: list[Decision] = []
    if node.serving.is_set():
        tokens = frozenset(map(bytes.fromhex, query.tokens))
        decisions = node.router.decisions.find(flow_id=flow, tokens=tokens)
    name = node.settings.name
    return Explanation(
        node=name,
        cookie=cookie_line(node, opened) if opened else None,
        decisions=tuple(decision_line(name, each) for each in decisions),
    )


def open_cookie(node: EntryNode, sealed: bytes) -> OpenedCookie | None:
    """Return a verified cookie with its service, None when none matches."""
    sealer = SignedCookieSealer(keys=node.keys, clock=node.clock)
    for service in node.store.services if sealed else ():
        try:
            cookie = sealer.open(service=service, sealed=sealed)
        except (CookieInvalidError, KeysMissingError):
            continue
        return OpenedCookie(service=service, cookie=cookie)
    return None


def cookie_line(node: EntryNode, opened: OpenedCookie) -> CookieLine:
    """Return a cookie with the names behind its tags."""
    cookie = opened.cookie
    owner = node.membership.find(cookie.owner_tag)
    return CookieLine(
        service=opened.service,
        flow=cookie.flow_id.hex(),
        upstream=upstream_name(node, opened),
        owner=owner.name if owner else f'unknown ({cookie.owner_tag.hex()})',
        epoch=cookie.epoch.hex(),
        age=cookie.age(node.clock.now()).value,
        issued=cookie.issued,
    )


def upstream_name(node: EntryNode, opened: OpenedCookie) -> str:
    """Return the name behind a cookie's upstream tag."""
    tag = opened.cookie.upstream_tag
    for upstream in node.store.services[opened.service].upstreams:
        if name_tag(upstream.name) == tag:
            return upstream.name
    return f'unknown ({tag.hex()})'


def decision_line(node: str, decision: Decision) -> DecisionLine:
    """Return one decision in its printable form."""
    return DecisionLine(
        at=decision.at,
        node=node,
        step=decision.step.value,
        service=decision.service,
        token=decision.token.hex(),
        flow=decision.flow_id.hex(),
        upstream=decision.upstream,
        peer=decision.peer,
        verdict=decision.verdict,
        reason=decision.reason,
    )
