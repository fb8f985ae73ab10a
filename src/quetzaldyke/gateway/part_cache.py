"""Reads the parts of bodies and results, and caches those used last."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Final

from result import Err, Ok, Result

from quetzaldyke.parts.kv import KvError
from quetzaldyke.parts.transactions import TransactionalStore

MAX_CACHE_BYTES: Final = 6_000_000


@dataclass(slots=True)
class PartCache:
    """A least-recently-used cache, bounded by the size of its parts."""

    parts: OrderedDict[str, bytes] = field(default_factory=OrderedDict)
    size_bytes: int = 0

    def get(self, key: str) -> bytes | None:
        """Return a part and mark it as used, or return None."""
        cached = self.parts.get(key)
        if cached is not None:
            self.parts.move_to_end(key)
        return cached

    def put(self, key: str, part: bytes) -> None:
        """Add a part and evict the least recently used ones if too large."""
        if key in self.parts:
            return
        self.parts[key] = part
        self.size_bytes += len(part)
        while self.size_bytes > MAX_CACHE_BYTES:
            _, evicted = self.parts.popitem(last=False)
            self.size_bytes -= len(evicted)


async def read_part(
    store: TransactionalStore, cache: PartCache, key: str
) -> Result[bytes, KvError]:
    """Return an immutable value from the cache or the store.

    Tries a stale read first, which is cheap. Fails with `unknown` if the key
    does not exist.
    """
    cached = cache.get(key)
    if cached is not None:
        return Ok(cached)
    for stale in (True, False):
        answer = await store.get(key, stale=stale)
        if isinstance(answer, Err):
            return answer
        if answer.ok_value is not None:
            cache.put(key, answer.ok_value.value)
            return Ok(answer.ok_value.value)
    return Err(KvError('unknown', f'{key} is missing'))
