"""Log lines for changes of state."""

import logging

import attrs


@attrs.define(kw_only=True)
class StateLogger:
    """Log the state of one subject only when it changes.

    Otherwise a retry loop would log the same line throughout an outage, and the
    line that shows when it began would be hard to find.
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
        """Log the state with its fields if it differs from the last one."""
        if state == self.state:
            return
        self.state = state
        self.logger.log(level, state, extra=fields)
