"""Tests of rendezvous ranking and even subsets."""

from __future__ import annotations

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from quetzaldyke.parts.rendezvous import even_subset, first_for, ranking


def names(prefix: str, count: int) -> list[str]:
    """Return member names."""
    return [f'{prefix}{number}' for number in range(count)]


@given(st.integers(1, 60), st.integers(2, 60), st.integers(1, 20))
def test_subsets_are_even(clients: int, servers: int, size: int) -> None:
    """Guards against servers with far more or fewer clients than others."""
    counts = Counter({server: 0 for server in names('s', servers)})
    for own in names('c', clients):
        counts.update(
            even_subset(own, names('c', clients), names('s', servers), size),
        )
    assert max(counts.values()) - min(counts.values()) <= 2
    assert sum(counts.values()) == clients * min(size, servers)


@given(st.integers(10, 60), st.integers(0, 59))
def test_a_leaving_client_moves_few_connections(
    clients: int,
    removed: int,
) -> None:
    """Guards against reconnecting the whole fleet when one client leaves."""
    before = names('c', clients)
    after = [one for one in before if one != f'c{removed % clients}']
    servers = names('s', 40)
    moved = sum(
        len(
            set(even_subset(own, after, servers, 10))
            - set(even_subset(own, before, servers, 10)),
        )
        for own in after
    )
    # The start of each client moves by at most one rank's share of the ring,
    # rounded up.
    assert moved <= len(after) * (40 // len(after) + 1)


@given(st.lists(st.text(min_size=1), min_size=1, unique=True), st.text())
def test_only_keys_of_a_removed_member_move(
    members: list[str], key: str
) -> None:
    """Guards against segments that change owner needlessly."""
    owner, *others = ranking(members, key)
    assert first_for(members, key) == owner
    if others:
        assert first_for([*members[:0], owner, *others[1:]], key) == owner
