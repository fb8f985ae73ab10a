"""What the platform expects to read about an instance that is emptied."""

from __future__ import annotations

from typing import Final

EMPTIED: Final = b'{"state":"completed"}'
