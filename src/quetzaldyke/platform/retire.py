"""Status record that the platform reads about an emptied instance."""

from __future__ import annotations

from typing import Final

EMPTIED_STATUS: Final = b'{"state":"completed"}'
