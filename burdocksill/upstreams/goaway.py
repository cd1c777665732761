"""HTTP/2 state that lets open streams finish after GOAWAY.

h2 closes its connection state when it sends or receives GOAWAY. The answers
of streams that the frame promises to finish (RFC 9113, section 6.8) would
then be protocol errors, and every graceful shutdown would abort requests in
progress.
"""

from typing import Final

import h2.config
import h2.connection
import h2.events

GOAWAY_INPUTS: Final = frozenset(
    (
        h2.connection.ConnectionInputs.RECV_GOAWAY,
        h2.connection.ConnectionInputs.SEND_GOAWAY,
    )
)


class LenientStateMachine(h2.connection.H2ConnectionStateMachine):
    """Keep the connection's state open after GOAWAY in either direction."""

    def process_input(
        self,
        input_: h2.connection.ConnectionInputs,
    ) -> list[h2.events.Event]:
        """Apply one input, but ignore GOAWAY."""
        if input_ in GOAWAY_INPUTS:
            return []
        return super().process_input(input_)


class LenientConnection(h2.connection.H2Connection):
    """Finish the open streams of a connection after GOAWAY."""

    def __init__(self, *, client_side: bool) -> None:
        """Initialise the HTTP/2 state."""
        # connection.py writes headers in lower case and in order, so checking
        # them again would only cost time. Received headers are checked.
        config = h2.config.H2Configuration(
            client_side=client_side,
            validate_outbound_headers=False,
            normalize_outbound_headers=False,
        )
        super().__init__(config=config)
        self.state_machine = LenientStateMachine()

    def clear_outbound_data_buffer(self) -> None:
        """Keep the queued data, which belongs to streams that continue."""
