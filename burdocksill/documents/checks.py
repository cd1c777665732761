"""Check documents before they are put in force."""

from pathlib import Path

from burdocksill.checks.messages import (
    CheckMessage,
    error_message,
    warning,
)
from burdocksill.checks.registry import CheckContext
from burdocksill.documents.exceptions import DocumentInvalidError
from burdocksill.documents.models import ServiceDocument
from burdocksill.documents.schema import parse_document
from burdocksill.exceptions import BurdocksillError


async def check_documents(context: CheckContext) -> list[CheckMessage]:
    """Check every file that was named."""
    messages: list[CheckMessage] = []
    for path in context.documents:
        messages.extend(check_file(path))
    return messages


def check_file(path: Path) -> list[CheckMessage]:
    """Check one document; return its error or warnings."""
    try:
        document = parse_document(read_text(path))
    except BurdocksillError as error:
        return [error_message(error)]
    return find_warnings(document)


def read_text(path: Path) -> str:
    """Read a document's file; raise DocumentInvalidError."""
    try:
        return path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise DocumentInvalidError(
            message=f'{path} cannot be read: {error}',
            hint='name a file of UTF-8 text',
        ) from error


def find_warnings(document: ServiceDocument) -> list[CheckMessage]:
    """Return warnings about a valid document that looks wrong."""
    found: list[CheckMessage] = []
    if len(document.domains) == 1:
        found.append(
            warning(
                201,
                f'{document.service} runs in one failure domain only',
                'add upstreams elsewhere, or it stops when that one is out',
            ),
        )
    if all(upstream.draining for upstream in document.upstreams):
        found.append(
            warning(
                202,
                f'every upstream of {document.service} is draining',
                'new flows are refused until one is not',
            ),
        )
    addresses = {upstream.address for upstream in document.upstreams}
    if len(addresses) < len(document.upstreams):
        found.append(
            warning(
                203,
                f'two upstreams of {document.service} share an address',
                'their limits would be counted apart; give each its own',
            ),
        )
    return found
