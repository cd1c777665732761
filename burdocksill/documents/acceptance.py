"""Accept documents and domain states by compare-and-swap."""

import uuid
from collections.abc import Callable
from typing import Final

import attrs
import msgspec
import trio

from burdocksill.decoding import decode_json
from burdocksill.documents.differences import describe, differences
from burdocksill.documents.exceptions import (
    DocumentConflictError,
    DocumentInvalidError,
    DocumentMissingError,
    OutcomeUnknownError,
)
from burdocksill.documents.models import (
    DomainRecord,
    DomainState,
    ServiceDocument,
    decode_document,
    encode_document,
    validate,
)
from burdocksill.platform.exceptions import PlatformUnavailableError
from burdocksill.platform.keys import document_key, domain_key
from burdocksill.platform.protocols import Platform
from burdocksill.platform.values import StoredValue

# This many newer edits may follow before an edit is read back.
MAX_EDITS: Final = 8
MAX_ATTEMPTS: Final = 5
RETRY_SECONDS: Final = 0.5


@attrs.frozen(kw_only=True)
class AcceptedEdit:
    """Hold the revision under which an edit was accepted.

    `overtaken` tells that newer edits lie on top of it already; `revision` is
    then that of the newest one.
    """

    revision: int
    edit_id: str
    overtaken: bool = False


@attrs.frozen(kw_only=True)
class Edits:
    """Hold the edit ids of a stored record, newest first."""

    edit_id: str = ''
    edits: tuple[str, ...] = ()

    @property
    def ids(self) -> tuple[str, ...]:
        """Return all ids, also of a record from an older version."""
        return self.edits or (self.edit_id,)


def new_edit_id() -> str:
    """Return an id that identifies an edit after a lost answer."""
    return uuid.uuid4().hex


def edits_of(stored: StoredValue | None) -> tuple[str, ...]:
    """Return the edit ids of a stored record; raise DocumentInvalidError."""
    if stored is None:
        return ()
    try:
        found = decode_json(stored.value, Edits)
    except msgspec.MsgspecError as error:
        raise DocumentInvalidError(
            message=f"{stored.key} can't be decoded: {error}",
            hint='put the record again',
        ) from error
    return found.ids


def add_edit(edit_id: str, stored: StoredValue | None) -> tuple[str, ...]:
    """Return the edit ids of a record that replaces a stored one."""
    return (edit_id, *edits_of(stored))[:MAX_EDITS]


def find_edit(stored: StoredValue | None, edit_id: str) -> AcceptedEdit | None:
    """Return an accepted edit if a stored record contains its id."""
    edits = edits_of(stored)
    if stored is None or edit_id not in edits:
        return None
    return AcceptedEdit(
        revision=stored.revision,
        edit_id=edit_id,
        overtaken=edits[0] != edit_id,
    )


@attrs.define(kw_only=True)
class RecordWriter:
    """Write one record exactly once, also if answers are lost.

    An answer can be lost after the write took effect. A blind retry could undo
    an edit that another operator made meanwhile; an error would report an edit
    as failed that is in force. So a record contains the ids of its last edits,
    by which an edit is found even below a newer one. If it is missing and the
    revision is unchanged, the same compare-and-swap is retried: only one of the
    two can succeed.
    """

    platform: Platform
    key: str
    value: bytes
    edit_id: str
    expected_revision: int

    async def write(self) -> AcceptedEdit:
        """Return the accepted edit; raise OutcomeUnknownError."""
        for attempt in range(MAX_ATTEMPTS):
            if attempt:
                await trio.sleep(RETRY_SECONDS * attempt)
            accepted = await self.attempt()
            if accepted is not None:
                return accepted
        raise OutcomeUnknownError(
            message=f'{self.key}: the platform gave no answer to the edit',
            hint=(
                f'it may be in force: look for edit {self.edit_id} in the '
                'history before you put it again'
            ),
        )

    async def attempt(self) -> AcceptedEdit | None:
        """Write once, and read back if the answer was lost."""
        try:
            swap = await self.platform.compare_and_swap(
                key=self.key,
                value=self.value,
                expected_revision=self.expected_revision,
            )
        except PlatformUnavailableError:
            return await self.read_back()
        if swap.accepted:
            return AcceptedEdit(revision=swap.revision, edit_id=self.edit_id)
        return self.check_stored(swap.current)

    async def read_back(self) -> AcceptedEdit | None:
        """Look for the edit in the store; return None if that is unknown."""
        try:
            stored = await self.platform.read(self.key)
        except PlatformUnavailableError:
            return None
        found = stored.revision if stored else 0
        if found == self.expected_revision:
            return None
        return self.check_stored(stored)

    def check_stored(self, stored: StoredValue | None) -> AcceptedEdit:
        """Return the accepted edit; raise RecordReplacedError on a conflict."""
        accepted = find_edit(stored, self.edit_id)
        if accepted is not None:
            return accepted
        raise RecordReplacedError(stored=stored)


class RecordReplacedError(Exception):
    """Say that another write has replaced the record."""

    def __init__(self, *, stored: StoredValue | None) -> None:
        """Store the current record."""
        super().__init__()
        self.stored = stored


async def put_document(
    platform: Platform,
    document: ServiceDocument,
    *,
    expected_revision: int | None = None,
    new_id: Callable[[], str] = new_edit_id,
) -> AcceptedEdit:
    """Accept a document over an expected revision (None: the current one)."""
    validate(document)
    key = document_key(document.service)
    stored = await platform.read(key)
    found = stored.revision if stored else 0
    if expected_revision is None:
        expected_revision = found
    base = stored if found == expected_revision else None
    if found != expected_revision:
        raise conflict(document, expected_revision, None, stored)
    edit_id = new_id()
    with_edit_id = attrs.evolve(
        document,
        edit_id=edit_id,
        edits=add_edit(edit_id, stored),
    )
    writer = RecordWriter(
        platform=platform,
        key=key,
        value=encode_document(with_edit_id),
        edit_id=edit_id,
        expected_revision=expected_revision,
    )
    try:
        return await writer.write()
    except RecordReplacedError as error:
        raise conflict(
            document,
            expected_revision,
            base,
            error.stored,
        ) from error


async def delete_document(
    platform: Platform,
    service: str,
    *,
    expected_revision: int | None = None,
) -> AcceptedEdit:
    """Delete a service; its record stays, with_edit_id as deleted."""
    stored = await platform.read(document_key(service))
    if stored is None:
        raise DocumentMissingError(
            message=f'there is no document of {service!r}',
            hint='list the services with: burdocksill status',
        )
    document = decode_document(stored.value)
    return await put_document(
        platform,
        attrs.evolve(document, deleted=True),
        expected_revision=expected_revision or stored.revision,
    )


def conflict(
    document: ServiceDocument,
    expected_revision: int,
    base: StoredValue | None,
    stored: StoredValue | None,
) -> DocumentConflictError:
    """Return a conflict error that shows both operators' changes."""
    found = stored.revision if stored else 0
    theirs = decode_document(stored.value) if stored else None
    before = decode_document(base.value) if base else None
    start = before or theirs
    mine = describe(differences(start, document))
    other = describe(differences(before, theirs)) if base else 'not known'
    return DocumentConflictError(
        message=(
            f'{document.service} is at revision {found}, not '
            f'{expected_revision}; their change: {other}; your change: {mine}'
        ),
        hint='get the document, apply your change to it and put it again',
    )


async def set_domain(
    platform: Platform,
    *,
    domain: str,
    state: DomainState,
    reason: str = '',
    new_id: Callable[[], str] = new_edit_id,
) -> AcceptedEdit:
    """Accept an operator's state of a failure domain."""
    key = domain_key(domain)
    stored = await platform.read(key)
    edit_id = new_id()
    record = DomainRecord(
        domain=domain,
        state=state,
        edit_id=edit_id,
        edits=add_edit(edit_id, stored),
        reason=reason,
    )
    writer = RecordWriter(
        platform=platform,
        key=key,
        value=msgspec.json.encode(record),
        edit_id=edit_id,
        expected_revision=stored.revision if stored else 0,
    )
    try:
        return await writer.write()
    except RecordReplacedError as error:
        found = error.stored.value.decode() if error.stored else 'nothing'
        raise DocumentConflictError(
            message=(
                f'{domain}: another operator wrote {found} while you wrote '
                f'{state.value}'
            ),
            hint='look at: burdocksill domain list; then decide again',
        ) from error
