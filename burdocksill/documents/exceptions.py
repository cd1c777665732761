"""Errors of services' documents."""

from burdocksill.exceptions import BurdocksillError


class DocumentInvalidError(BurdocksillError):
    """Name the path, the wrong value and a hint."""

    code = 'burdocksill.E201'


class DocumentConflictError(BurdocksillError):
    """Say that another operator has changed the document."""

    code = 'burdocksill.E202'


class DocumentMissingError(BurdocksillError):
    """Say that there is no such document."""

    code = 'burdocksill.E203'


class OutcomeUnknownError(BurdocksillError):
    """Say that an edit may or may not have been accepted."""

    code = 'burdocksill.E204'
