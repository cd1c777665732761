"""Documents and their history as the platform stores them."""

import difflib

import attrs

from burdocksill.documents.exceptions import DocumentMissingError
from burdocksill.documents.models import ServiceDocument, decode_document
from burdocksill.management.history import read_history
from burdocksill.management.toml import document_text
from burdocksill.platform.keys import document_key
from burdocksill.platform.protocols import Platform


@attrs.frozen(kw_only=True)
class StoredDocument:
    """Hold a document and its revision."""

    revision: int
    document: ServiceDocument

    @property
    def label(self) -> str:
        """Return the name of the document in a diff."""
        return f'{self.document.service} revision {self.revision}'


@attrs.frozen(kw_only=True)
class HistoryEntry:
    """Hold one revision and its changes as a unified diff."""

    revision: int
    edit_id: str
    changes: str


@attrs.frozen(kw_only=True)
class DocumentHistory:
    """Hold the revisions that are still stored, the oldest first."""

    service: str
    complete: bool
    entries: tuple[HistoryEntry, ...]


async def read_document(platform: Platform, service: str) -> StoredDocument:
    """Return a service's document, or raise DocumentMissingError."""
    stored = await platform.read(document_key(service))
    if stored is None:
        raise DocumentMissingError(
            message=f'there is no document of {service!r}',
            hint='put one with: burdocksill document put FILE',
        )
    document = decode_document(stored.value)
    if document.deleted:
        raise DocumentMissingError(
            message=f'{service!r} was deleted at revision {stored.revision}',
            hint='show earlier ones: burdocksill document history SERVICE',
        )
    return StoredDocument(revision=stored.revision, document=document)


async def document_history(platform: Platform, service: str) -> DocumentHistory:
    """Return a document's history, or raise DocumentMissingError."""
    history = await read_history(platform, document_key(service))
    if not history.revisions:
        raise DocumentMissingError(
            message=f'there is no document of {service!r}',
            hint='put one with: burdocksill document put FILE',
        )
    before: StoredDocument | None = None
    entries: list[HistoryEntry] = []
    for stored in history.revisions:
        after = StoredDocument(
            revision=stored.revision,
            document=decode_document(stored.value),
        )
        entries.append(
            HistoryEntry(
                revision=after.revision,
                edit_id=after.document.edit_id,
                changes=difference(before, after),
            ),
        )
        before = after
    return DocumentHistory(
        service=service,
        complete=history.complete,
        entries=tuple(entries),
    )


def difference(before: StoredDocument | None, after: StoredDocument) -> str:
    """Return a unified diff of two revisions, empty when they are equal."""
    return text_difference(
        before.label if before else 'nothing',
        document_text(before.document) if before else '',
        after.label,
        document_text(after.document),
    )


def text_difference(
    old_label: str,
    old: str,
    new_label: str,
    new: str,
) -> str:
    """Return a unified diff of two texts."""
    lines = difflib.unified_diff(
        old.splitlines(keepends=True),
        new.splitlines(keepends=True),
        old_label,
        new_label,
    )
    return ''.join(lines)
