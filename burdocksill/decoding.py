"""Decode JSON that other programs have written."""

from typing import TypeVar

import msgspec

Decoded = TypeVar('Decoded')


def decode_json(encoded: bytes | str, kind: type[Decoded]) -> Decoded:
    """Decode JSON; raise msgspec.MsgspecError, for deep nesting, too."""
    try:
        return msgspec.json.decode(encoded, type=kind)
    except RecursionError as error:
        raise msgspec.DecodeError('values are nested too deeply') from error
