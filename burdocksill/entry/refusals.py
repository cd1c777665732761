"""Answers to refused requests and malformed datagrams."""

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
    """Count and answer requests and datagrams that this VM refuses."""

    store: DocumentStore
    socket: DatagramSocket
    counters: Counters
    reply: Callable[[Envelope, Answer], None]

    def refuse(self, envelope: Envelope, failure: RequestFailedError) -> None:
        """Count and answer a refused request."""
        answer = refusal(failure)
        # The service name comes from the caller. Only names with a document
        # become metric labels, since a scan would otherwise fill the memory.
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
        """Count a malformed datagram and answer it if CoAP requires that."""
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
