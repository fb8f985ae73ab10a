"""Chooses one member to coordinate each key, the same one at every process.

Rendezvous hashing over all members for each key would cost a hash for every
member whenever one joins or leaves. The best score of each key is therefore
kept: a member that joins costs one hash for each key, one that leaves costs
only the keys that it coordinated.

Members that do not hear each other may choose differently, and then two
coordinate a key at once. A coordinator therefore knows which share of a common
rate is safe: all of it if it hears every member that ranks above it, half for
each that it does not hear, and only its own share if it does not hear most of
the members.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field
from typing import Final

from quetzaldyke.parts.rendezvous import score

# Share of the rate for each member that ranks higher and is not heard: it is
# probably lost, but may still coordinate.
UNHEARD_FACTOR: Final = 0.5

Ranked = tuple[int, str]


@dataclass(slots=True)
class CoordinatorChoice:
    """The coordinator of each key that was asked for.

    >>> choice = CoordinatorChoice()
    >>> choice.coordinator('key') is None
    True
    >>> choice.set_members({'a', 'b', 'c'}, heard={'a', 'b'})
    >>> choice.coordinator('key')
    'b'
    >>> choice.set_members({'a', 'b', 'c'}, heard={'a'})
    >>> choice.safe_share('a', 'key') == 1 / 3
    True
    """

    registered: frozenset[str] = frozenset()
    # Registered members that this process hears, itself included.
    members: frozenset[str] = frozenset()
    best: dict[str, Ranked] = field(default_factory=dict)

    def set_members(
        self, registered: Collection[str], heard: Collection[str]
    ) -> None:
        """Replace the registered members, and those of them that are heard."""
        before = self.members
        self.registered = frozenset(registered)
        self.members = self.registered.intersection(heard)
        joined = self.members - before
        for key, ranked in list(self.best.items()):
            if ranked[1] not in self.members:
                del self.best[key]
                continue
            challengers = ((score(member, key), member) for member in joined)
            self.best[key] = max((ranked, *challengers))

    def coordinator(self, key: str) -> str | None:
        """Return the coordinator of a key, or None without members."""
        ranked = self.best.get(key)
        if ranked is None:
            ranked = max(
                ((score(member, key), member) for member in self.members),
                default=None,
            )
            if ranked is None:
                return None
            self.best[key] = ranked
        return ranked[1]

    def safe_share(self, own: str, key: str) -> float:
        """Return the share of a common rate that its coordinator may use.

        The shares of members that do not hear each other add up to less than
        twice the rate.
        """
        if 2 * len(self.members) <= len(self.registered):
            return 1 / len(self.registered)
        own_score = score(own, key)
        above = sum(
            score(member, key) > own_score
            for member in self.registered - self.members
        )
        return UNHEARD_FACTOR**above

    def remove_key(self, key: str) -> None:
        """Drop what is kept for a key."""
        self.best.pop(key, None)
