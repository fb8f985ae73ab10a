"""Permits that one process holds for resources with a shared rate.

A permit is good for one request and for a short time only: what a paused
process holds is worthless when it wakes up. The coordinator gets back what
expires unused; a permit that is lost lowers the use of a resource but never
raises it. The clock must therefore go on while the
machine is suspended.
"""

from __future__ import annotations

import itertools
import math
from dataclasses import dataclass, field
from typing import Final

from quetzaldyke.parts.shared_rate import ASK_TTL_S, Grant

PERMIT_TTL_S: Final = 0.3
# A permit for a trial waits longer for a request: it was given out although
# none was queued.
TRIAL_TTL_S: Final = 1.5
# Longest delay of a message that still counts as in time.
DELIVERY_S: Final = 0.2
# A grant that arrives later than this after its ask is ignored.
GRANT_TTL_S: Final = ASK_TTL_S + DELIVERY_S
# A coordinator that has not replied after this time is asked again.
REPLY_TIMEOUT_S: Final = 0.1
# Longest pause between two asks, however long the expected wait.
MAX_ASK_PAUSE_S: Final = 0.5


@dataclass(slots=True)
class HeldPermits:
    """What one process holds and expects of one resource."""

    # When each permit expires, the first one first.
    online_expiries_s: list[float] = field(default_factory=list)
    batch_expiries_s: list[float] = field(default_factory=list)
    # Of the last ask: its number, when it was sent, and what was not granted.
    number: int = 0
    asked_s: float = -math.inf
    online: int = 0
    batch: int = 0
    replied: bool = False
    # Number of the last ask for a trial.
    trial: int = 0
    # Expected times of the next permit for each kind.
    next_online_s: float = -math.inf
    next_batch_s: float = -math.inf

    def add(self, grant: Grant, now_s: float) -> None:
        """Store the permits of a grant."""
        ttl_s = TRIAL_TTL_S if grant.number == self.trial else PERMIT_TTL_S
        expires_s = now_s + ttl_s
        self.online_expiries_s.extend(itertools.repeat(expires_s, grant.online))
        self.batch_expiries_s.extend(itertools.repeat(expires_s, grant.batch))

    def drop_expired(self, now_s: float) -> int:
        """Drop the permits that have expired; return their number."""
        before = len(self.online_expiries_s) + len(self.batch_expiries_s)
        self.online_expiries_s = valid(self.online_expiries_s, now_s)
        self.batch_expiries_s = valid(self.batch_expiries_s, now_s)
        after = len(self.online_expiries_s) + len(self.batch_expiries_s)
        return before - after


def valid(expiries_s: list[float], now_s: float) -> list[float]:
    """Return the times that have not passed."""
    return [expires_s for expires_s in expiries_s if expires_s > now_s]


@dataclass(slots=True)
class PermitPool:
    """The permits of one process by resource."""

    held: dict[str, HeldPermits] = field(default_factory=dict)
    # When each ask was sent, by number, while its grant would still count.
    sent_s: dict[int, float] = field(default_factory=dict)
    numbers: itertools.count[int] = field(
        default_factory=lambda: itertools.count(1)
    )
    # Permits that have expired unused and were not given back yet.
    expired: dict[str, int] = field(default_factory=dict)

    def of(self, key: str) -> HeldPermits:
        """Return what is held of a resource; create it on first use."""
        known = self.held.get(key)
        if known is None:
            known = self.held[key] = HeldPermits()
        return known

    def online(self, key: str, now_s: float) -> int:
        """Return the permits for online requests that have not expired."""
        self.drop_expired(key, now_s)
        held = self.held.get(key)
        return 0 if held is None else len(held.online_expiries_s)

    def batch(self, key: str, now_s: float) -> int:
        """Return the permits for batch items that have not expired."""
        self.drop_expired(key, now_s)
        held = self.held.get(key)
        return 0 if held is None else len(held.batch_expiries_s)

    def drop_expired(self, key: str, now_s: float) -> None:
        """Drop the permits of a resource that have expired."""
        held = self.held.get(key)
        dropped = 0 if held is None else held.drop_expired(now_s)
        if dropped:
            self.expired[key] = self.expired.get(key, 0) + dropped

    def take_expired(self, now_s: float) -> dict[str, int]:
        """Return the permits to give back, by resource, and forget them."""
        for key in self.held:
            self.drop_expired(key, now_s)
        expired, self.expired = self.expired, {}
        return expired

    def take_online(self, key: str, now_s: float) -> bool:
        """Use a permit for an online request; return whether there was one."""
        if not self.online(key, now_s):
            return False
        del self.held[key].online_expiries_s[0]
        return True

    def take_batch(self, key: str, now_s: float) -> bool:
        """Use a permit for a batch item; return whether there was one."""
        if not self.batch(key, now_s):
            return False
        del self.held[key].batch_expiries_s[0]
        return True

    def may_ask(self, key: str, online: int, batch: int, now_s: float) -> bool:
        """Return whether an ask for these permits is due.

        One is if the coordinator has not replied, if more is wanted than
        waits there, or if the last ask has been dropped by now and a permit
        can be expected soon.
        """
        held = self.of(key)
        elapsed_s = now_s - held.asked_s
        if not held.replied:
            return elapsed_s >= REPLY_TIMEOUT_S or online > held.online
        batch_soon = bool(batch) and held.next_batch_s <= now_s + ASK_TTL_S
        if elapsed_s < ASK_TTL_S:
            return online > held.online or (batch_soon and not held.batch)
        online_soon = bool(online) and held.next_online_s <= now_s + ASK_TTL_S
        return online_soon or batch_soon or elapsed_s >= MAX_ASK_PAUSE_S

    def waiting(self, key: str, now_s: float) -> tuple[int, int]:
        """Return the permits of each kind that the last ask still waits for.

        An ask replaces the one before, so a new one has to repeat them.
        """
        held = self.of(key)
        if now_s - held.asked_s >= ASK_TTL_S:
            return 0, 0
        return held.online, held.batch

    def note_ask(self, key: str, online: int, batch: int, now_s: float) -> int:
        """Record an ask that is sent now; return its number."""
        for number, sent_s in list(self.sent_s.items()):
            if now_s - sent_s > GRANT_TTL_S:
                del self.sent_s[number]
        held = self.of(key)
        held.number = next(self.numbers)
        held.asked_s = now_s
        held.online = online
        held.batch = batch
        held.replied = False
        self.sent_s[held.number] = now_s
        return held.number

    def apply(self, key: str, grant: Grant, now_s: float) -> bool:
        """Store the permits of a grant; return whether it was in time."""
        sent_s = self.sent_s.get(grant.number)
        if sent_s is None or now_s - sent_s > GRANT_TTL_S:
            return False
        held = self.of(key)
        if grant.number == held.number:
            held.replied = True
            held.next_online_s = now_s + grant.online_wait_s
            held.next_batch_s = now_s + grant.batch_wait_s
            held.online = max(0, held.online - grant.online)
            held.batch = max(0, held.batch - grant.batch)
        held.add(grant, now_s)
        return True

    def online_wait_s(self, key: str, now_s: float) -> float:
        """Return the expected time until a permit for an online request."""
        if self.online(key, now_s):
            return 0.0
        return max(0.0, self.of(key).next_online_s - now_s)

    def remove(self, key: str) -> None:
        """Drop what is held of a resource."""
        self.held.pop(key, None)
