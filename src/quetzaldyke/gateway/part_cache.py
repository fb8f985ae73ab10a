"""Keeps parts of bodies and results that were read lately."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Final

RESULT_CACHE_BYTES: Final = 6_000_000


@dataclass(slots=True)
class PartCache:
    """Parts that were read lately, bounded by their size."""

    parts: OrderedDict[str, bytes] = field(default_factory=OrderedDict)
    size: int = 0

    def get(self, key: str) -> bytes | None:
        """Return a part and mark it as used."""
        known = self.parts.get(key)
        if known is not None:
            self.parts.move_to_end(key)
        return known

    def put(self, key: str, part: bytes) -> None:
        """Keep a part and drop those that were not used for longest."""
        if key in self.parts:
            return
        self.parts[key] = part
        self.size += len(part)
        while self.size > RESULT_CACHE_BYTES:
            _, dropped = self.parts.popitem(last=False)
            self.size -= len(dropped)
