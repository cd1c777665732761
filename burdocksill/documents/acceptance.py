"""Accept documents and domain states by compare-and-swap."""

import uuid
from collections.abc import Callable
from typing import Final

import attrs
import msgspec
import trio

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

# So many edits on top of ours may be made before we have read ours back.
EDITS_KEPT: Final = 8
ATTEMPTS: Final = 5
PAUSE_SECONDS: Final = 0.5


@attrs.frozen(kw_only=True)
class AcceptedEdit:
    """Hold the revision under which an edit was accepted.

    An edit that others have overtaken already is in force as part of history:
    `revision` is then that of the newest edit on top of it.
    """

    revision: int
    edit_id: str
    overtaken: bool = False


@attrs.frozen(kw_only=True)
class Edits:
    """Hold the edit ids inside a stored record, the newest first."""

    edit_id: str = ''
    edits: tuple[str, ...] = ()

    @property
    def known(self) -> tuple[str, ...]:
        """Return all ids, whichever version wrote the record."""
        return self.edits or (self.edit_id,)


def new_edit_id() -> str:
    """Return an id by which an edit is found again after a lost answer."""
    return uuid.uuid4().hex


def edits_of(stored: StoredValue | None) -> tuple[str, ...]:
    """Return the edit ids inside a stored record."""
    if stored is None:
        return ()
    try:
        found = msgspec.json.decode(stored.value, type=Edits)
    except msgspec.MsgspecError as error:
        raise DocumentInvalidError(
            message=f'{stored.key} holds something unreadable: {error}',
            hint='put the record again',
        ) from error
    return found.known


def add_edit(edit_id: str, stored: StoredValue | None) -> tuple[str, ...]:
    """Return the edit ids of a record that replaces a stored one."""
    return (edit_id, *edits_of(stored))[:EDITS_KEPT]


def found_edit(stored: StoredValue | None, edit_id: str) -> AcceptedEdit | None:
    """Return the acceptance of an edit that a stored record tells of."""
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
    """Write one record so that it takes effect once, whatever gets lost.

    An answer can be lost after the write took effect. Writing again without
    looking could undo an edit that somebody made meanwhile; giving up would
    tell an operator that an edit failed which is in force. The record itself
    tells: it carries the ids of its last edits, so ours is found there even
    under another operator's edit. Where it is not, and the revision still is
    what it was, the same swap is tried again: only one of the two can pass.
    """

    platform: Platform
    key: str
    value: bytes
    edit_id: str
    expected_revision: int

    async def write(self) -> AcceptedEdit:
        """Return the acceptance, or raise an error that says what is so."""
        for attempt in range(ATTEMPTS):
            if attempt:
                await trio.sleep(PAUSE_SECONDS * attempt)
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
        """Swap once, then read back when the answer was lost."""
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
        return self.judge(swap.current)

    async def read_back(self) -> AcceptedEdit | None:
        """Look for our edit in the store; None while that cannot be told."""
        try:
            stored = await self.platform.read(self.key)
        except PlatformUnavailableError:
            return None
        found = stored.revision if stored else 0
        if found == self.expected_revision:
            return None
        return self.judge(stored)

    def judge(self, stored: StoredValue | None) -> AcceptedEdit:
        """Return the acceptance of our edit or raise a conflict."""
        accepted = found_edit(stored, self.edit_id)
        if accepted is not None:
            return accepted
        raise RecordMovedError(stored=stored)


class RecordMovedError(Exception):
    """Carry what somebody else has put into the place of a record."""

    def __init__(self, *, stored: StoredValue | None) -> None:
        """Store the record that stands now."""
        super().__init__()
        self.stored = stored


async def put_document(
    platform: Platform,
    document: ServiceDocument,
    *,
    expected_revision: int | None = None,
    new_id: Callable[[], str] = new_edit_id,
) -> AcceptedEdit:
    """Accept a document over the revision that the editor had seen."""
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
    marked = attrs.evolve(
        document,
        edit_id=edit_id,
        edits=add_edit(edit_id, stored),
    )
    writer = RecordWriter(
        platform=platform,
        key=key,
        value=encode_document(marked),
        edit_id=edit_id,
        expected_revision=expected_revision,
    )
    try:
        return await writer.write()
    except RecordMovedError as error:
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
    """Take a service out of force; its record stays and says so."""
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
    """Show both operators' changes side by side."""
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
    """Accept an operator's word on a failure domain."""
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
    except RecordMovedError as error:
        found = error.stored.value.decode() if error.stored else 'nothing'
        raise DocumentConflictError(
            message=(
                f'{domain}: somebody else wrote {found} while you wrote '
                f'{state.value}'
            ),
            hint='look at: burdocksill domain list; then decide again',
        ) from error
