"""Shares one rate of requests among many processes.

Load pattern: a resource takes few requests a second from all processes
together, often fewer than there are processes. A fixed share for each process
would be far below one request, and processes that each count alone exceed the
rate by as many times as there are processes.

One process, the coordinator, therefore keeps a token bucket for the resource.
The others ask it for permits when they have requests to send, and an ask that
can't be granted at once waits a short time. Online requests go first, the most
urgent ones before others, and the process that was served last goes behind;
batch work gets the tokens that online requests leave, and a small share of
all. A bucket starts empty, so that a new coordinator does not grant again what
its predecessor has granted.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Set as AbstractSet
from dataclasses import dataclass, field
from typing import Final

# An ask that was not granted is dropped after this time; whoever still has
# the request asks again.
ASK_TTL_S: Final = 0.3
# Tokens that a bucket can hold: a fixed number, and the rate times a time.
BURST_TOKENS: Final = 2.0
BURST_S: Final = 0.5
# Share of the permits that batch work gets while online requests want all.
BATCH_SHARE: Final = 0.1
# For this long after an online request, batch work leaves this share of a full
# bucket: bursts of online requests come seconds apart.
ONLINE_RESERVE_S: Final = 10.0
ONLINE_RESERVE_SHARE: Final = 0.5
# Requests that bypassed the bucket reduce it no further than to this.
MIN_TOKENS: Final = -2.0


@dataclass(slots=True)
class Ask:
    """The permits that one process wants."""

    sender: str
    # The sender's number of this ask, which a grant repeats.
    number: int
    online: int
    batch: int
    # Of the most urgent online request; 0 is the most urgent.
    priority: int
    expires_s: float = 0.0

    @property
    def wanted(self) -> int:
        """Return the number of permits that are not granted yet."""
        return self.online + self.batch


@dataclass(frozen=True, slots=True)
class Grant:
    """Permits for one process, and when it may expect the next."""

    sender: str
    number: int
    online: int
    batch: int
    # Expected time until a permit for one more request of each kind, in s.
    online_wait_s: float
    batch_wait_s: float


@dataclass(slots=True)
class PermitBucket:
    """Token bucket of one resource, and the asks that wait for a token."""

    # Tokens per second.
    rate: float
    updated_s: float
    tokens: float = 0.0
    asks: dict[str, Ask] = field(default_factory=dict)
    # When each process was last granted a permit.
    granted_s: dict[str, float] = field(default_factory=dict)
    last_grant_s: float = -math.inf
    online_asked_s: float = -math.inf
    # Batch work gets one token for each whole credit. It starts with one, as at
    # a low rate the next takes long.
    batch_credit: float = 1.0

    @property
    def burst(self) -> float:
        """Return the most tokens that the bucket can hold."""
        return BURST_TOKENS + BURST_S * self.rate

    def refill(self, now_s: float) -> None:
        """Add the tokens of the time since the last call."""
        elapsed_s = max(0.0, now_s - self.updated_s)
        self.updated_s = now_s
        self.tokens = min(self.burst, self.tokens + elapsed_s * self.rate)

    def set_rate(self, rate: float, now_s: float) -> None:
        """Change the rate from now on."""
        self.refill(now_s)
        self.rate = rate
        self.tokens = min(self.burst, self.tokens)

    def take_unasked(self) -> None:
        """Take the token of a request that was sent without a permit."""
        self.tokens = max(MIN_TOKENS, self.tokens - 1)

    def take_back(self, permits: int, now_s: float) -> None:
        """Add the tokens of permits that expired without being used."""
        self.refill(now_s)
        self.tokens = min(self.burst, self.tokens + permits)

    def add_token(self) -> None:
        """Add a token beyond the rate, if there is not a whole one."""
        self.tokens = max(self.tokens, 1.0)

    def ask(self, ask: Ask, now_s: float) -> list[Grant]:
        """Add an ask, replacing the sender's last one; return all grants.

        The sender's own grant is among them even if it has no permit.
        """
        ask.expires_s = now_s + ASK_TTL_S
        self.asks[ask.sender] = ask
        if ask.online:
            self.online_asked_s = now_s
        grants = self.serve(now_s)
        if all(grant.sender != ask.sender for grant in grants):
            grants.append(self.grant_of(ask, 0, 0))
        return grants

    def serve(self, now_s: float) -> list[Grant]:
        """Grant the tokens there are to the asks that wait."""
        self.refill(now_s)
        for ask in list(self.asks.values()):
            if ask.expires_s <= now_s or not ask.wanted:
                del self.asks[ask.sender]
        before = {
            sender: (ask, ask.online, ask.batch)
            for sender, ask in self.asks.items()
        }
        while self.tokens >= 1 and self.serve_one(now_s):
            self.tokens -= 1
            self.last_grant_s = now_s
        return [
            self.grant_of(ask, online - ask.online, batch - ask.batch)
            for ask, online, batch in before.values()
            if online + batch > ask.wanted
        ]

    def serve_one(self, now_s: float) -> bool:
        """Use one token for an ask; return whether there was one."""
        online = self.next_ask(lambda ask: ask.online)
        batch = self.next_ask(lambda ask: ask.batch)
        if batch is not None and self.is_turn_of_batch(online, now_s):
            batch.batch -= 1
            self.batch_credit = max(0.0, self.batch_credit - 1)
            chosen = batch
        elif online is not None:
            online.online -= 1
            self.batch_credit += BATCH_SHARE if batch is not None else 0.0
            chosen = online
        else:
            return False
        self.granted_s[chosen.sender] = now_s
        if not chosen.wanted:
            self.asks.pop(chosen.sender, None)
        return True

    def is_turn_of_batch(self, online: Ask | None, now_s: float) -> bool:
        """Return whether the next token is for batch work."""
        if online is not None:
            return self.batch_credit >= 1
        return self.tokens >= 1 + self.online_reserve(now_s)

    def online_reserve(self, now_s: float) -> float:
        """Return the tokens that batch work leaves for online requests."""
        if now_s - self.online_asked_s >= ONLINE_RESERVE_S:
            return 0.0
        return ONLINE_RESERVE_SHARE * self.burst

    def next_ask(self, wanted: Callable[[Ask], int]) -> Ask | None:
        """Return the ask of a kind that is served next, or None."""
        return min(
            (ask for ask in self.asks.values() if wanted(ask)),
            key=self.rank,
            default=None,
        )

    def rank(self, ask: Ask) -> tuple[int, float, str]:
        """Return the position of an ask among others; the lowest is first."""
        granted_s = self.granted_s.get(ask.sender, -math.inf)
        return ask.priority, granted_s, ask.sender

    def grant_of(self, ask: Ask, online: int, batch: int) -> Grant:
        """Return a grant with the waits for further requests."""
        online_asked = sum(one.online for one in self.asks.values())
        batch_asked = sum(one.batch for one in self.asks.values())
        reserve = max(online_asked, self.online_reserve(self.updated_s))
        return Grant(
            ask.sender,
            ask.number,
            online,
            batch,
            self.wait_s(online_asked + (not ask.online)),
            self.wait_s(reserve + batch_asked + (not ask.batch)),
        )

    def wait_s(self, permits: float) -> float:
        """Return the time until so many more permits can be granted."""
        missing = permits - self.tokens
        if missing <= 0:
            return 0.0
        return missing / self.rate if self.rate > 0 else math.inf

    def remove_absent(self, members: AbstractSet[str]) -> None:
        """Drop what is kept of processes that are no longer members."""
        for sender in self.granted_s.keys() - members:
            del self.granted_s[sender]
