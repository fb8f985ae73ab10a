"""Reads the parts in which the bodies and outputs of jobs are kept."""

from __future__ import annotations

from result import Err, Ok, Result

from quetzaldyke.gateway.part_cache import PartCache
from quetzaldyke.parts.kv import KvError
from quetzaldyke.parts.transactions import TransactionalStore


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
