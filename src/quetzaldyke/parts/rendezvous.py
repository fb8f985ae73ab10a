"""Rendezvous hashing: who ranks first for a key, and even subsets.

Every process computes the same ranking from the same member list without
talking to anybody. A member that leaves moves only its own keys.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Sequence
from typing import Final

DIGEST_BYTES: Final = 8


def weight_of(member: str, key: str) -> int:
    """Return the score of a member for a key; the highest score wins."""
    text = f'{member}\x00{key}'.encode()
    digest = hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest, 'big')


def ranking(members: Iterable[str], key: str) -> list[str]:
    """Return the members, best first.

    >>> ranking(['a', 'b', 'c'], 'job-1') == ranking(['c', 'a', 'b'], 'job-1')
    True
    """
    return sorted(
        members,
        key=lambda member: (weight_of(member, key), member),
        reverse=True,
    )


def first_for(members: Iterable[str], key: str) -> str | None:
    """Return the member that ranks first, or None without members."""
    return max(
        members,
        key=lambda member: (weight_of(member, key), member),
        default=None,
    )


def even_subset(
    own: str,
    clients: Sequence[str],
    servers: Sequence[str],
    size: int,
) -> list[str]:
    """Choose `size` servers for one client so that servers stay even.

    Clients are dealt in rounds over one shuffled order of the servers for
    each round, so that servers differ by at most one client a round.

    >>> servers = [f's{number}' for number in range(6)]
    >>> even_subset('c1', ['c0', 'c1', 'c2'], servers, 2) == sorted(
    ...     even_subset('c1', ['c0', 'c1', 'c2'], servers, 2)
    ... )
    True
    """
    if size >= len(servers) or not servers:
        return sorted(servers)
    ordered = sorted({*clients, own})
    position = ordered.index(own)
    per_round = max(1, len(servers) // size)
    round_key = f'round-{position // per_round}'
    shuffled = ranking(servers, round_key)
    start = (position % per_round) * size
    return sorted(shuffled[start : start + size])
