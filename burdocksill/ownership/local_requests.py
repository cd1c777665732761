"""Requests that an owner answers itself, without the upstream."""

import attrs

from burdocksill.flows.cookie import Cookie
from burdocksill.observe.counters import Counters
from burdocksill.ownership.cookies import CookieIssuer
from burdocksill.ownership.protocols import CallerLink
from burdocksill.requests.blocks import Transfers
from burdocksill.requests.exceptions import RequestFailedError
from burdocksill.requests.messages import COOKIE_PATH, Answer, Envelope
from burdocksill.requests.refusals import refusal
from burdocksill.requests.verdict import Reason, Verdict


@attrs.define(kw_only=True)
class LocalRequests:
    """Answer requests for blocks of bodies and answers, and for cookies.

    They need no claim in the at-most-once window, since they do not reach the
    upstream.
    """

    service: str
    transfers: Transfers
    cookies: CookieIssuer
    counters: Counters
    link: CallerLink

    def answer(
        self, envelope: Envelope, cookie: Cookie, *, has_successor: bool
    ) -> bool:
        """Answer a local request; return False for any other.

        Also return False if this VM cannot answer it and has a successor.
        """
        new_cookie = self.cookies.issue(cookie.flow_id, envelope.caller)
        try:
            answer = self.find(envelope, cookie)
        except RequestFailedError as failure:
            if has_successor:
                return False
            answer = refusal(failure, cookie=new_cookie)
        if answer is None:
            return False
        self.counters.add('side_requests', service=self.service)
        self.link.reply(envelope, attrs.evolve(answer, cookie=new_cookie))
        return True

    def find(self, envelope: Envelope, cookie: Cookie) -> Answer | None:
        """Return the answer, None if the request has to be dispatched."""
        if envelope.request.path == COOKIE_PATH:
            return Answer(code='VALID', verdict=Verdict.RAN)
        answer = self.transfers.answer_part(cookie.flow_id, envelope.request)
        if answer is None or envelope.verified:
            return answer
        raise RequestFailedError(
            verdict=answer.verdict,
            reason=Reason.ADDRESS_CHANGED,
            message='go on with the cookie for your new address',
        )
