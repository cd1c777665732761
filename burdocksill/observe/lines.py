"""One line for a change of state, none while the state stays."""

import logging

import attrs


@attrs.define(kw_only=True)
class StateLogger:
    """Remember the state of one subject and write a line when it changes.

    A loop that tries again and again would else write the same line for as
    long as an outage lasts, and bury the line that says when it began.
    """

    logger: logging.Logger
    state: str = ''

    def log_change(
        self,
        state: str,
        *,
        level: int = logging.INFO,
        **fields: str,
    ) -> None:
        """Write the state with its fields if it is another than before."""
        if state == self.state:
            return
        self.state = state
        self.logger.log(level, state, extra=fields)
