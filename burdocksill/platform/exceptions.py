"""Errors of calls to the platform service."""

from burdocksill.exceptions import BurdocksillError


class PlatformUnavailableError(BurdocksillError):
    """Say that the platform did not answer; a write may have taken effect."""

    code = 'burdocksill.E101'
    # True when nothing of an answer arrived in time: the connection may be
    # silent for good while another one would work.
    silent = False


class PlatformCutShortError(PlatformUnavailableError):
    """Say that a call was given up while its answer was arriving."""

    code = 'burdocksill.E109'

    def __init__(self, *, message: str, received: int, expected: int) -> None:
        """Keep the bytes received, and of how many; 0 where that is unknown."""
        super().__init__(
            message=f'{message} after {received} of {expected} bytes',
            hint='the link is slow or broken; what is in force stays',
        )
        self.received = received
        self.expected = expected


class PlatformAnswerTooLargeError(BurdocksillError):
    """Say that an answer was not read, as it is larger than was asked for."""

    code = 'burdocksill.E110'

    def __init__(self, *, expected: int) -> None:
        """Keep the length that the answer announced, in bytes."""
        super().__init__(
            message=f'an answer of {expected} bytes was not read',
            hint='read what stands now, which is less than all changes to it',
        )
        self.expected = expected


class PlatformReplyError(BurdocksillError):
    """Say that the platform's answer could not be understood."""

    code = 'burdocksill.E102'


class PlatformCompactedError(BurdocksillError):
    """Say that old revisions are gone; `revision` is the oldest left."""

    code = 'burdocksill.E106'

    def __init__(self, *, revision: int) -> None:
        """Keep the oldest revision that can be watched."""
        super().__init__(
            message=f'revisions before {revision} were compacted',
            hint='read what stands now and watch from there',
        )
        self.revision = revision


class RecordInvalidError(BurdocksillError):
    """Say that an entry of the store cannot be read; it names nothing."""

    code = 'burdocksill.E107'


class PlatformRefusedError(PlatformUnavailableError):
    """Say that the platform answered, but with nothing done."""

    code = 'burdocksill.E108'
