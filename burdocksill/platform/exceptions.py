"""Errors of calls to the platform service."""

from burdocksill.exceptions import BurdocksillError
from burdocksill.platform.revisions import show_revision


class PlatformUnavailableError(BurdocksillError):
    """The platform did not answer; a write may have taken effect."""

    code = 'burdocksill.E101'
    # True when no byte of the answer arrived before the time-out: the
    # connection may be dead while a new one would work.
    timed_out = False


class PlatformTruncatedAnswerError(PlatformUnavailableError):
    """An answer was received only in part."""

    code = 'burdocksill.E109'

    def __init__(self, *, message: str, received: int, expected: int) -> None:
        """Store the bytes received and expected; 0 if unknown."""
        super().__init__(
            message=f'{message} after {received} of {expected} bytes',
            hint='the link is slow or broken; the state in force is kept',
        )
        self.received = received
        self.expected = expected


class PlatformAnswerTooLargeError(BurdocksillError):
    """An answer was not read because it exceeds the caller's limit."""

    code = 'burdocksill.E110'

    def __init__(self, *, expected: int) -> None:
        """Store the announced length of the answer, in bytes."""
        super().__init__(
            message=f'an answer of {expected} bytes was not read',
            hint='do a full read, which is smaller than these changes',
        )
        self.expected = expected


class PlatformReplyError(BurdocksillError):
    """The platform's answer is malformed."""

    code = 'burdocksill.E102'


class PlatformCompactedError(BurdocksillError):
    """Old revisions were compacted; `revision` is the oldest available."""

    code = 'burdocksill.E106'

    def __init__(self, *, revision: int) -> None:
        """Store the oldest revision that can be watched."""
        super().__init__(
            message=f'revisions before {revision} were compacted',
            hint='do a full read and watch from its revision',
        )
        self.revision = revision


class PlatformRestoredError(BurdocksillError):
    """The store was restored from a copy since the revision in a call."""

    code = 'burdocksill.E111'

    def __init__(self, *, era: int, revision: int) -> None:
        """Store the era of the store, and the revision in the call."""
        super().__init__(
            message=f'revision {show_revision(revision)} is not of era {era}',
            hint='do a full read; the state in force is kept',
        )
        self.era = era
        self.revision = revision


class RecordInvalidError(BurdocksillError):
    """An entry of the store is invalid and is ignored."""

    code = 'burdocksill.E107'


class PlatformRefusedError(PlatformUnavailableError):
    """The platform refused a call, which had no effect."""

    code = 'burdocksill.E108'
