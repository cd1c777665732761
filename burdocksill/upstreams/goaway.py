"""HTTP/2 state that lets open streams end after GOAWAY.

h2 closes its whole state when a GOAWAY passes, so the answers of the streams
that the frame promises to finish (RFC 9113, section 6.8) would be refused as
protocol errors, and every graceful shutdown would cut requests in progress.
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
    """Keep the connection's state open when a GOAWAY passes."""

    def process_input(
        self,
        input_: h2.connection.ConnectionInputs,
    ) -> list[h2.events.Event]:
        """Apply one input, GOAWAY excepted."""
        if input_ in GOAWAY_INPUTS:
            return []
        return super().process_input(input_)


class LenientConnection(h2.connection.H2Connection):
    """Carry the open streams of a connection to their end after GOAWAY."""

    def __init__(self, *, client_side: bool) -> None:
        """Prepare the protocol's state."""
        # Headers are written in lower case and in order (connection.py), so
        # checking each again would only cost time. What arrives is checked.
        config = h2.config.H2Configuration(
            client_side=client_side,
            validate_outbound_headers=False,
            normalize_outbound_headers=False,
        )
        super().__init__(config=config)
        self.state_machine = LenientStateMachine()

    def clear_outbound_data_buffer(self) -> None:
        """Keep what is queued: it belongs to streams that go on."""
