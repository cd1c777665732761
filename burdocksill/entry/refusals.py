"""Answer what is not passed on: refused requests and malformed datagrams."""

from collections.abc import Callable

import attrs

from burdocksill.documents.store import DocumentStore
from burdocksill.network.protocols import Datagram, DatagramSocket
from burdocksill.observe.counters import Counters
from burdocksill.requests.exceptions import (
    MalformedDatagramError,
    RequestFailedError,
    UnsupportedRequestError,
)
from burdocksill.requests.messages import Answer, Envelope
from burdocksill.requests.refusals import (
    BAD_OPTION,
    refusal,
    unsupported_answer,
)
from burdocksill.requests.rejection import is_confirmable, reset_for


@attrs.define(kw_only=True)
class RefusalSender:
    """Count and answer what this VM refuses itself."""

    store: DocumentStore
    socket: DatagramSocket
    counters: Counters
    reply: Callable[[Envelope, Answer], None]

    def refuse(self, envelope: Envelope, failure: RequestFailedError) -> None:
        """Count and answer a request that is not passed on."""
        answer = refusal(failure)
        # A caller can write any name of a service into a request; only names
        # with a document become labels, or a scan would fill the memory.
        service = envelope.request.service
        self.counters.add(
            'answers',
            service=service if service in self.store.services else '',
            upstream='',
            verdict=answer.verdict.value,
            reason=failure.reason.value,
        )
        self.reply(envelope, answer)

    def refuse_datagram(
        self,
        datagram: Datagram,
        error: MalformedDatagramError | UnsupportedRequestError,
    ) -> None:
        """Count what cannot be served, and answer where CoAP says so."""
        self.counters.add('malformed_datagrams')
        confirmable = is_confirmable(datagram.payload)
        if isinstance(error, UnsupportedRequestError) and (
            confirmable or error.coap_code != BAD_OPTION
        ):
            envelope = Envelope(
                request=error.request,
                caller=datagram.peer,
                raw=datagram.payload,
            )
            self.reply(envelope, unsupported_answer(error))
            return
        reset = reset_for(datagram.payload)
        if reset:
            self.socket.send(reset, datagram.peer)
