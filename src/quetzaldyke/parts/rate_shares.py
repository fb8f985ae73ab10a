"""Decides which member may grant how much of each common rate.

Failure pattern: members are lost, frozen, slow, cut off from some or all
others, restarted, added and removed, and do not notice it at the same moment.
Two that take themselves for the coordinator of the same rate must not grant it
twice.

Each of n members has one share in n of every rate. Its heartbeats delegate the
shares for a short time, each to the member that ranks first for the rate among
those that it hears; one that hears nobody keeps them all. At any moment a share
is therefore granted by one member at most:

* A heartbeat returns the number of the receiver's last one, and the receiver
  counts the delegation from when it sent that. No clocks are compared, and
  heartbeats that a frozen process finds at its return delegate nothing.
* A member that joins or leaves those that are heard is unsettled until the
  delegations of before have expired. Shares that it decides about stay with the
  earlier coordinator until then, or with nobody.
* A delegation counts only if both sides know the same members.
* A process that has just started delegates nothing until its predecessor's
  delegations have expired.

Lost instances keep their share for a time, as they may be cut off and use it.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Callable, Container, Mapping
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, field
from typing import Final

from quetzaldyke.parts.coordinators import CoordinatorChoice
from quetzaldyke.parts.held_shares import HeldShares, Holding
from quetzaldyke.parts.rendezvous import score

MIN_INTERVAL_S: Final = 0.1
INTERVAL_PER_PEER_S: Final = 0.005
# A member is heard, and a delegation holds, for so many intervals.
HOLD_INTERVALS: Final = 6
# For how long an instance without a registration keeps its share.
LAPSED_S: Final = 60.0
# An entry that has not confirmed its registration for this long, and hears half
# of the members at most, gives its share up: others may forget it soon.
UNCONFIRMED_S: Final = 45.0
# A member whose view of the members has differed for so many holds counts as
# not heard: nobody can delegate to it.
DIFFERING_HOLDS: Final = 2.0
US_IN_S: Final = 1_000_000
DIGEST_BYTES: Final = 6

NOBODY: Final[frozenset[str]] = frozenset()


def digest_of(members: frozenset[str]) -> int:
    """Return a digest of a set of members."""
    text = '\x00'.join(sorted(members)).encode()
    digest = hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest, 'big')


@dataclass(frozen=True, slots=True)
class ShareHeartbeat:
    """What one member tells another.

    `number` and `echo` are times in microseconds, by the clock of the sender
    and of the receiver, which go on while a machine is suspended.
    """

    sender: str
    instance: str
    number: int
    # Number of the receiver's latest heartbeat; 0 if there was none.
    echo: int
    # How long the shares are delegated; 0 if they are not.
    hold_s: float
    # Digest of the members that the sender knows, and its count of instances.
    members: int
    instances: int
    unheard: frozenset[str] = NOBODY
    unsettled: frozenset[str] = NOBODY
    # Whether the sender has given up all shares and stops.
    leaving: bool = False


@dataclass(slots=True)
class Peer:
    """What is known of another member from its heartbeats."""

    instance: str = ''
    number: int = 0
    received_s: float = -math.inf
    # Latest time at which a heartbeat was sent to it that it has returned.
    returned_s: float = -math.inf
    # When its heartbeats last named the same members as this process knows.
    agreed_s: float = -math.inf


@dataclass(slots=True)
class ShareTable:
    """The members that a process knows, and the shares delegated to it."""

    own_id: str
    instance: str
    # Returns a time that goes on while the machine is suspended.
    now: Callable[[], float]
    # Instances by member.
    registered: dict[str, str] = field(default_factory=dict)
    # Members that are no longer registered: instance, and since when.
    lapsed: dict[str, tuple[str, float]] = field(default_factory=dict)
    peers: dict[str, Peer] = field(default_factory=dict)
    # When members have said that they leave.
    left_s: dict[str, float] = field(default_factory=dict)
    members: frozenset[str] = NOBODY
    digest: int = 0
    instance_count: int = 1
    heard: frozenset[str] = NOBODY
    # Until when members are unsettled that were heard before or are now.
    unsettled_s: dict[str, float] = field(default_factory=dict)
    choice: CoordinatorChoice = field(default_factory=CoordinatorChoice)
    hold_s: float = HOLD_INTERVALS * MIN_INTERVAL_S
    # When all delegations that were sent so far have expired.
    bound_until_s: float = -math.inf
    leaving: bool = False
    # Whether most of those that are heard know other members.
    outdated: bool = False
    # When the own registration was last confirmed; never before it was seen.
    confirmed_s: float = -math.inf
    started_s: float = field(init=False)
    held: HeldShares = field(init=False)

    def __post_init__(self) -> None:
        """Start with this member alone."""
        self.started_s = self.now()
        self.held = HeldShares(self.own_id, self.now)
        self.update()

    @property
    def interval_s(self) -> float:
        """Return the time between two heartbeats to each peer."""
        peers = len(self.members)
        return max(MIN_INTERVAL_S, INTERVAL_PER_PEER_S * peers)

    @property
    def delegating(self) -> bool:
        """Return whether this process may delegate its shares.

        No delegation of a predecessor can still hold, and the other entries
        count its share.
        """
        started = self.now() - self.started_s >= self.hold_s
        return started and self.confirmed

    @property
    def confirmed(self) -> bool:
        """Return whether the other entries count the share of this one."""
        if self.confirmed_s == -math.inf:
            return False
        if 2 * len(self.heard) > len(self.members):
            return True
        return self.now() - self.confirmed_s < UNCONFIRMED_S

    def confirm(self) -> None:
        """Record that the own registration holds, if it was seen."""
        if self.own_id in self.registered:
            self.confirmed_s = self.now()

    def set_registered(self, instances: Mapping[str, str]) -> None:
        """Replace the registered members, with the instance of each."""
        now_s = self.now()
        for member in self.registered.keys() - instances.keys():
            if member not in self.left_s:
                self.lapsed[member] = self.registered[member], now_s
        self.registered = dict(instances)
        self.confirm()
        for member in instances:
            self.lapsed.pop(member, None)
        self.drop_lapsed(now_s)

    def apply(self, heartbeat: ShareHeartbeat) -> None:
        """Apply a heartbeat unless a later one has arrived."""
        sender = heartbeat.sender
        if sender in self.left_s or sender == self.own_id:
            return
        peer = self.peers.setdefault(sender, Peer())
        if heartbeat.number <= peer.number:
            return
        now_s = self.now()
        peer.number = heartbeat.number
        peer.instance = heartbeat.instance
        peer.received_s = now_s
        if heartbeat.leaving:
            self.forget(sender)
            return
        returned_s = heartbeat.echo / US_IN_S
        if not 0 < returned_s <= now_s:
            return
        peer.returned_s = max(peer.returned_s, returned_s)
        known = heartbeat.members == self.digest
        if known or peer.agreed_s == -math.inf:
            peer.agreed_s = now_s
        if heartbeat.hold_s and known and not self.leaving:
            self.held.renew(
                sender,
                heartbeat.unheard,
                heartbeat.unsettled,
                heartbeat.instances,
                returned_s + heartbeat.hold_s,
            )

    def forget(self, sender: str) -> None:
        """Drop a member that leaves; it has given up all shares before."""
        self.left_s[sender] = self.now()
        self.peers.pop(sender, None)
        self.held.remove(sender)
        self.lapsed.pop(sender, None)
        self.heard -= {sender}
        self.unsettled_s.pop(sender, None)
        self.update()

    def leave(self) -> None:
        """Give up all shares; the members that are heard stay the same."""
        self.leaving = True
        self.members -= {self.own_id}
        self.heard -= {self.own_id}
        self.held.clear()
        self.choice.set_members(self.members, self.heard)

    def update(self) -> None:
        """Compute who is a member, heard and settled now."""
        if self.leaving:
            return
        now_s = self.now()
        heard = {
            member
            for member, peer in self.peers.items()
            if now_s - peer.returned_s < self.hold_s
        }
        heard.add(self.own_id)
        differing = self.differing(heard)
        self.outdated = 2 * len(differing) >= len(heard)
        if not self.outdated:
            heard -= differing
        self.drop_expired(now_s)
        if self.bound_until_s > now_s:
            for member in self.heard.symmetric_difference(heard):
                self.unsettled_s[member] = self.bound_until_s
        # One that is no longer registered when it ceases to be heard must
        # count until it is settled: shares may still be delegated to it.
        known = heard.union(self.registered, self.unsettled_s)
        members = frozenset(known.difference(self.left_s))
        if members != self.members:
            self.members = members
            self.digest = digest_of(members)
        self.hold_s = HOLD_INTERVALS * self.interval_s
        self.heard = frozenset(heard)
        self.instance_count = len(self.instances())
        self.held.set_members(members, self.instance_count)
        self.choice.set_members(members, self.established())
        if self.delegating:
            self.held.renew(
                self.own_id,
                members - self.heard,
                frozenset(self.unsettled_s),
                self.instance_count,
                math.inf,
            )
        else:
            self.held.remove(self.own_id)

    def established(self) -> frozenset[str]:
        """Return the members to ask for permits.

        One that was not heard until now holds no shares yet; the earlier
        coordinators do, unless most are new.
        """
        entered = self.unsettled_s.keys() & self.heard
        if 2 * len(entered) > len(self.heard):
            return self.heard
        if self.outdated:
            return self.heard - entered - {self.own_id}
        return self.heard - entered

    def differing(self, heard: AbstractSet[str]) -> set[str]:
        """Return those that know other members than this process.

        An entry that is cut from the store keeps members that others drop.
        """
        oldest_s = self.now() - DIFFERING_HOLDS * self.hold_s
        return {
            member
            for member in heard
            if member in self.peers and self.peers[member].agreed_s < oldest_s
        }

    def drop_expired(self, now_s: float) -> None:
        """Drop what has expired."""
        self.unsettled_s = {
            member: until_s
            for member, until_s in self.unsettled_s.items()
            if until_s > now_s
        }
        self.held.drop_expired(LAPSED_S)
        self.drop_lapsed(now_s)
        self.left_s = {
            member: since_s
            for member, since_s in self.left_s.items()
            if member in self.registered or now_s - since_s <= LAPSED_S
        }
        self.peers = {
            member: peer
            for member, peer in self.peers.items()
            if member in self.registered or now_s - peer.received_s <= LAPSED_S
        }

    def drop_lapsed(self, now_s: float) -> None:
        """Drop the members that were lost long ago."""
        self.lapsed = {
            member: (instance, since_s)
            for member, (instance, since_s) in self.lapsed.items()
            if now_s - since_s <= LAPSED_S
        }

    def instances(self) -> set[str]:
        """Return the instances that may use their share."""
        instances = {instance for instance, _ in self.lapsed.values()}
        for member in self.members:
            peer = self.peers.get(member)
            known = peer.instance if peer else ''
            instances.add(self.registered.get(member) or known)
        instances.add(self.instance)
        return instances - {''}

    def rank(self, key: str) -> tuple[int, int]:
        """Return the rank of this instance for a key, and how many rank."""
        instances = self.instances()
        own = score(self.instance, key), self.instance
        above = sum((score(one, key), one) > own for one in instances)
        return above, len(instances)

    def receivers(self) -> list[str]:
        """Return the other members, and all that have sent a heartbeat."""
        return sorted(self.members.union(self.peers) - {self.own_id})

    def heartbeat_to(self, receiver: str) -> ShareHeartbeat:
        """Return a heartbeat, and bind the shares that it delegates."""
        now_s = self.now()
        hold_s = 0.0
        if self.delegating and not self.leaving:
            hold_s = self.hold_s
            self.bound_until_s = max(self.bound_until_s, now_s + hold_s)
        peer = self.peers.get(receiver)
        return ShareHeartbeat(
            self.own_id,
            self.instance,
            int(now_s * US_IN_S),
            peer.number if peer else 0,
            hold_s,
            self.digest,
            self.instance_count,
            self.members - self.heard,
            frozenset(self.unsettled_s),
            self.leaving,
        )

    def coordinator(self, key: str) -> str | None:
        """Return whom to ask for permits of a rate, which may be this one.

        It is None at first, while this process has heard nobody.
        """
        chosen = self.choice.coordinator(key)
        if chosen == self.own_id and not self.delegating:
            return None
        return chosen

    def holding(self, key: str) -> Holding:
        """Return the shares of a rate that this member may grant now."""
        return self.held.holding(key)

    def keep_keys(self, keys: Container[str]) -> None:
        """Drop the coordinators of all other rates."""
        for key in list(self.choice.best):
            if key not in keys:
                self.choice.remove_key(key)
