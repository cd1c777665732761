"""Layer-4 load balancer fleet for long-lived flows."""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Final

VERSION: Final = '0.1.0'
