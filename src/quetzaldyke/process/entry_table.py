"""Lists the parts of a complete entry."""

from __future__ import annotations

from typing import Final

from quetzaldyke.process.batch_part import BATCH_PART
from quetzaldyke.process.config_part import CONFIG_PART
from quetzaldyke.process.entry_parts import EntryPart

ENTRY_PARTS: Final[tuple[EntryPart, ...]] = (CONFIG_PART, BATCH_PART)
