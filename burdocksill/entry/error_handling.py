"""Isolation of unexpected errors in the task of one request."""

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
    """Run a request's task and answer the request if the task fails.

    A programming error in one task would propagate through the nursery and end
    the process with all its flows. Instead it is counted and logged with its
    traceback, and the caller gets the verdict "may have run" at once, since
    the progress of the request is unknown.
    """

    counters: Counters
    reply: Callable[[Envelope, Answer], None]

    async def run(
        self,
        envelope: Envelope,
        task: Callable[[], Awaitable[None]],
    ) -> None:
        """Run a task and answer the request if it raises an error."""
        try:
            await task()
        except RequestFailedError as failure:
            self.reply(envelope, refusal(failure))
        except (BurdocksillError, ArithmeticError, LookupError) as error:
            self.answer_error(envelope, error)
        except (AttributeError, TypeError, ValueError, RuntimeError) as error:
            self.answer_error(envelope, error)

    def answer_error(self, envelope: Envelope, error: Exception) -> None:
        """Count an error, log its traceback and answer the caller."""
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
