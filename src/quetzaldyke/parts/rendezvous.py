"""Rendezvous hashing: ranks members for a key and picks even subsets.

Every process computes the same ranking from the same member list without
communication. When a member leaves, only its own keys move.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable, Mapping, Sequence
from typing import Final

DIGEST_BYTES: Final = 8
# Number of different scores.
SCORES: Final = 1 << (8 * DIGEST_BYTES)


def score(member: str, key: str) -> int:
    """Return the score of a member for a key; the highest score wins."""
    text = f'{member}\x00{key}'.encode()
    digest = hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest, 'big')


def ranking(members: Iterable[str], key: str) -> list[str]:
    """Return the members by descending score for a key.

    >>> ranking(['a', 'b', 'c'], 'job-1') == ranking(['c', 'a', 'b'], 'job-1')
    True
    """
    return sorted(
        members,
        key=lambda member: (score(member, key), member),
        reverse=True,
    )


def first_for(members: Iterable[str], key: str) -> str | None:
    """Return the member that ranks first, or None without members."""
    return max(
        members,
        key=lambda member: (score(member, key), member),
        default=None,
    )


def even_subset(
    own: str,
    clients: Sequence[str],
    servers: Sequence[str],
    size: int,
) -> list[str]:
    """Choose `size` servers for one client, spreading all clients evenly.

    Servers and clients are put in hash order. Each client takes `size`
    consecutive servers of the ring from a start in proportion to its rank. The
    client counts of servers therefore differ by at most two, and a member that
    joins or leaves moves only about one connection of each client.

    >>> servers = ['s0', 's1', 's2', 's3']
    >>> clients = ['c0', 'c1']
    >>> chosen = [even_subset(one, clients, servers, 2) for one in clients]
    >>> sorted(chosen[0] + chosen[1])
    ['s0', 's1', 's2', 's3']
    """
    if size >= len(servers):
        return sorted(servers)
    ring = ranking(servers, 'ring')
    order = ranking({*clients, own}, 'order')
    start = order.index(own) * len(ring) // len(order)
    wrapped_ring = [*ring, *ring]
    return sorted(wrapped_ring[start : start + size])


def weighted_first_for(weights: Mapping[str, float], key: str) -> str | None:
    """Return the member that a key belongs to; None without members.

    Each member gets its weight's share of the keys. One whose weight is not
    positive gets none unless all are so; the first in order gets all then.

    >>> weighted_first_for({'a': 0.0, 'b': 2.0}, 'key')
    'b'
    """
    drawn = {
        member: -math.log((score(member, key) + 1) / SCORES) / weight
        for member, weight in weights.items()
        if weight > 0
    }
    if drawn:
        return min(drawn, key=lambda member: (drawn[member], member))
    return next(iter(weights), None)
