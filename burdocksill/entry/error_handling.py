"""Keep the fault of one request from ending the whole VM."""

import logging
from collections.abc import Awaitable, Callable

import attrs

from burdocksill.exceptions import BurdocksillError
from burdocksill.observe.counters import Counters
from burdocksill.requests.exceptions import RequestFailedError
from burdocksill.requests.messages import Answer, Envelope
from burdocksill.requests.refusals import refusal
from burdocksill.requests.verdict import Reason, Verdict

logger = logging.getLogger(__name__)


@attrs.define(kw_only=True)
class RequestErrorHandler:
    """Run a request's task and answer for it when it fails unexpectedly.

    A programming error in one request's task would go up through the nursery
    and end the process, with every flow that it owns. It shows as a counter
    and a log line with its trace; the caller is told at once that the request
    may have run, since nobody knows how far it came.
    """

    counters: Counters
    reply: Callable[[Envelope, Answer], None]

    async def run(
        self,
        envelope: Envelope,
        task: Callable[[], Awaitable[None]],
    ) -> None:
        """Run a task; an error of it ends with an answer."""
        try:
            await task()
        except RequestFailedError as failure:
            self.reply(envelope, refusal(failure))
        except (BurdocksillError, ArithmeticError, LookupError) as error:
            self.answer_error(envelope, error)
        except (AttributeError, TypeError, ValueError, RuntimeError) as error:
            self.answer_error(envelope, error)

    def answer_error(self, envelope: Envelope, error: Exception) -> None:
        """Count a fault, log its trace and answer the caller."""
        self.counters.add('request_faults')
        logger.error(
            'request task failed',
            exc_info=error,
            extra={'service': envelope.request.service},
        )
        failure = RequestFailedError(
            verdict=Verdict.MAY_HAVE_RUN,
            reason=Reason.INTERNAL_FAULT,
            message='this entry VM failed while it served the request',
        )
        self.reply(envelope, refusal(failure))
