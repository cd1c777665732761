"""Requests that an owner answers by itself: they run nothing."""

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
    """Answer for parts of bodies and answers, and for fresh cookies.

    They need no claim in the at-most-once window, since none of them reaches
    the upstream.
    """

    service: str
    transfers: Transfers
    cookies: CookieIssuer
    counters: Counters
    link: CallerLink

    def answer(
        self, envelope: Envelope, cookie: Cookie, *, has_successor: bool
    ) -> bool:
        """Answer such a request; return False for any other.

        What this VM cannot answer is left to its heir, if there is one.
        """
        fresh = self.cookies.issue(cookie.flow_id, envelope.caller)
        try:
            answer = self.find(envelope, cookie)
        except RequestFailedError as failure:
            if has_successor:
                return False
            answer = refusal(failure, cookie=fresh)
        if answer is None:
            return False
        self.counters.add('side_requests', service=self.service)
        self.link.reply(envelope, attrs.evolve(answer, cookie=fresh))
        return True

    def find(self, envelope: Envelope, cookie: Cookie) -> Answer | None:
        """Return what a request asks for, None when it has to run."""
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
