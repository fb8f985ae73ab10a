"""Keeps the shares of common rates that other members delegate to this one.

A member delegates its shares of all rates with one heartbeat, see
`rate_shares.py`. Which of them count is decided for each rate that is asked
for: this member must rank first among those that the sender heard. Rates that
nobody uses cost nothing.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from quetzaldyke.parts.rendezvous import score


@dataclass(frozen=True, slots=True)
class Delegation:
    """The shares of one member, as far as they are delegated to this one."""

    members: frozenset[str]
    unheard: frozenset[str]
    unsettled: frozenset[str]
    instances: int
    expires_s: float
    # Since when it has held without a gap; since when with the same members
    # heard and settled.
    since_s: float
    view_since_s: float


@dataclass(frozen=True, slots=True)
class Holding:
    """The shares of one rate that a member may grant."""

    # Since when each share is held.
    starts_s: tuple[float, ...] = ()
    # Number of all shares.
    total: int = 1
    # Before this time none of them was held.
    floor_s: float = -math.inf
    # From this time on all of them were held, as far as that is known.
    complete_s: float = math.inf

    @property
    def weight(self) -> float:
        """Return the held part of the rate."""
        return min(1.0, len(self.starts_s) / self.total)

    def weight_since(self, start_s: float) -> float:
        """Return the part of the rate that is held since a time at least."""
        if start_s < self.floor_s:
            return 0.0
        if start_s >= self.complete_s:
            return self.weight
        held = sum(since_s <= start_s for since_s in self.starts_s)
        return min(1.0, held / self.total)

    def share_seconds(self, start_s: float, now_s: float) -> float:
        """Return the held part since a time, multiplied by its duration.

        >>> Holding((0.0, 8.0), total=4).share_seconds(4.0, 10.0)
        2.0
        """
        first_s = max(start_s, self.floor_s)
        if first_s >= self.complete_s:
            shares = len(self.starts_s)
            return shares * max(0.0, now_s - first_s) / self.total
        held_s = sum(
            max(0.0, now_s - max(first_s, since_s)) for since_s in self.starts_s
        )
        return held_s / self.total


@dataclass(slots=True)
class HeldShares:
    """The shares that this member may grant, its own among them."""

    own_id: str
    # Returns a time that goes on while the machine is suspended.
    now: Callable[[], float]
    # The members that this one knows, and the number of their instances.
    members: frozenset[str] = frozenset()
    instances: int = 1
    # By sender: the latest delegation, and the one before with another view.
    latest: dict[str, Delegation] = field(default_factory=dict)
    earlier: dict[str, Delegation] = field(default_factory=dict)
    # When members ceased to be members.
    lost_s: dict[str, float] = field(default_factory=dict)
    # Members that rank above this one, by set of members and key.
    ranked_above: dict[frozenset[str], dict[str, frozenset[str]]] = field(
        default_factory=dict
    )
    # Since when shares are held of keys for which this member ranks first,
    # None if that depends on the key, and the number of all shares.
    whole: tuple[float, ...] | None = ()
    total: int = 1
    # Since when all of these are held.
    complete_s: float = math.inf
    # When these have to be computed again.
    whole_until_s: float = -math.inf

    def set_members(self, members: frozenset[str], instances: int) -> None:
        """Replace the members that this one knows."""
        self.instances = instances
        self.whole_until_s = -math.inf
        if members == self.members:
            return
        for member in self.members - members:
            self.lost_s[member] = self.now()
        self.members = members
        self.keep_ranks()

    def renew(
        self,
        sender: str,
        unheard: frozenset[str],
        unsettled: frozenset[str],
        instances: int,
        expires_s: float,
    ) -> None:
        """Store what a member delegates.

        An earlier delegation to this member holds until it expires, even if
        the sender has stopped delegating here.
        """
        now_s = self.now()
        excluded = self.own_id in unheard or self.own_id in unsettled
        if excluded or expires_s <= now_s:
            return
        since_s = view_since_s = now_s
        old = self.latest.get(sender)
        if old is not None and old.expires_s > now_s:
            since_s = old.since_s
            view = (self.members, unheard, unsettled)
            if view == (old.members, old.unheard, old.unsettled):
                view_since_s = old.view_since_s
                expires_s = max(expires_s, old.expires_s)
            else:
                self.keep_earlier(sender, old)
        else:
            self.whole_until_s = -math.inf
        self.latest[sender] = Delegation(
            self.members,
            unheard,
            unsettled,
            instances,
            expires_s,
            since_s,
            view_since_s,
        )

    def keep_earlier(self, sender: str, old: Delegation) -> None:
        """Keep a delegation with another view until it expires.

        That of this member itself ends at once.
        """
        self.whole_until_s = -math.inf
        if sender != self.own_id:
            self.earlier[sender] = old

    def remove(self, sender: str) -> None:
        """Drop what a member has delegated."""
        self.latest.pop(sender, None)
        self.earlier.pop(sender, None)
        self.whole_until_s = -math.inf

    def clear(self) -> None:
        """Give up all shares."""
        self.latest.clear()
        self.earlier.clear()
        self.whole_until_s = -math.inf

    def drop_expired(self, kept_s: float) -> None:
        """Drop expired delegations, and members lost so long ago."""
        now_s = self.now()
        for delegations in (self.latest, self.earlier):
            for sender, delegation in list(delegations.items()):
                if delegation.expires_s <= now_s:
                    del delegations[sender]
        self.lost_s = {
            member: since_s
            for member, since_s in self.lost_s.items()
            if now_s - since_s <= kept_s
        }

    def above(self, members: frozenset[str], key: str) -> frozenset[str]:
        """Return the members that rank above this one for a key."""
        ranks = self.ranked_above.setdefault(members, {})
        known = ranks.get(key)
        if known is None:
            own = score(self.own_id, key), self.own_id
            known = ranks[key] = frozenset(
                member
                for member in members
                if (score(member, key), member) > own
            )
        return known

    def keep_ranks(self) -> None:
        """Drop the ranks among members that nothing refers to any more."""
        used = {one.members for one in self.latest.values()}
        used.update(one.members for one in self.earlier.values())
        used.add(self.members)
        for members in self.ranked_above.keys() - used:
            del self.ranked_above[members]

    def holding(self, key: str) -> Holding:
        """Return the shares of a rate that this member may grant now."""
        now_s = self.now()
        if now_s >= self.whole_until_s:
            self.compute_whole(now_s)
        if self.whole is not None and not self.above(self.members, key):
            return Holding(
                self.whole, self.total, self.floor_s(key), self.complete_s
            )
        starts_s = self.held_since(key, now_s)
        return Holding(starts_s, self.total, self.floor_s(key))

    def held_since(self, key: str, now_s: float) -> tuple[float, ...]:
        """Return since when each share of a rate is held here."""
        starts_s = (self.share_of(sender, key, now_s) for sender in self.latest)
        return tuple(since_s for since_s in starts_s if since_s is not None)

    def senders(self, key: str) -> list[str]:
        """Return the members whose shares of a rate are held here."""
        now_s = self.now()
        return [
            sender
            for sender in self.latest
            if self.share_of(sender, key, now_s) is not None
        ]

    def share_of(self, sender: str, key: str, now_s: float) -> float | None:
        """Return since when a member's share is held; None if it is not."""
        since_s = self.start_of(self.latest[sender], key, now_s)
        if since_s is not None or sender not in self.earlier:
            return since_s
        return self.start_of(self.earlier[sender], key, now_s)

    def start_of(
        self, delegation: Delegation, key: str, now_s: float
    ) -> float | None:
        """Return since when a delegation counts here; None if it does not."""
        if delegation.expires_s <= now_s:
            return None
        above = self.above(delegation.members, key)
        if not above:
            return delegation.since_s
        settled = above.isdisjoint(delegation.unsettled)
        if settled and above <= delegation.unheard:
            return delegation.view_since_s
        return None

    def floor_s(self, key: str) -> float:
        """Return when the last member that ranked above this one was lost.

        Minus infinity if none was.
        """
        own = score(self.own_id, key), self.own_id
        return max(
            (
                since_s
                for member, since_s in self.lost_s.items()
                if (score(member, key), member) > own
            ),
            default=-math.inf,
        )

    def compute_whole(self, now_s: float) -> None:
        """Compute the shares of keys for which this member ranks first.

        They depend on the key while some are delegated by more members.
        """
        valid = [
            delegation
            for delegation in self.latest.values()
            if delegation.expires_s > now_s
        ]
        self.whole = None
        if all(one.members <= self.members for one in valid):
            self.whole = tuple(one.since_s for one in valid)
            self.complete_s = max(self.whole, default=math.inf)
        self.whole_until_s = min(
            (delegation.expires_s for delegation in valid),
            default=now_s,
        )
        counts = {delegation.instances for delegation in valid}
        self.total = max(counts | {self.instances})
