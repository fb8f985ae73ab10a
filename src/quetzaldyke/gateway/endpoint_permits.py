"""Permits of this entry for requests to limited endpoints.

Requests go to endpoints without a limit as long as these have room. Only what
finds none there asks the coordinators of limited endpoints for permits.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Final

from quetzaldyke.gateway.endpoint_limits import EndpointLimits, KnownLimit
from quetzaldyke.gateway.endpoints import EndpointTable
from quetzaldyke.gateway.limit_messages import PermitAsk, PermitGrant
from quetzaldyke.gateway.model import Endpoint
from quetzaldyke.parts.permit_pool import PermitPool
from quetzaldyke.parts.shared_rate import ASK_TTL_S
from quetzaldyke.parts.timers import boot_time_s

# Priority of a request that only tries whether a limit has ended.
TRIAL_PRIORITY: Final = 1_000


def limits_without_endpoints() -> EndpointLimits:
    """Return limits that know of none."""
    return EndpointLimits(EndpointTable(), boot_time_s)


@dataclass(slots=True)
class EndpointPermits:
    """The permits that this entry holds, by lifetime of the endpoint."""

    limits: EndpointLimits = field(default_factory=limits_without_endpoints)
    now: Callable[[], float] = boot_time_s
    generator: random.Random = field(default_factory=random.Random)
    # Sends asks to the coordinators of their endpoints.
    send_asks: Callable[[list[PermitAsk]], None] = lambda asks: None
    # Called when permits have arrived.
    on_granted: Callable[[], None] = lambda: None
    # Called with the service when a request has to wait for a permit.
    on_denied: Callable[[str], None] = lambda service: None
    # Counts permits of the metric `permits_total` by what became of them.
    count: Callable[[str, int], None] = lambda event, number: None
    pool: PermitPool = field(default_factory=PermitPool)

    def admitted(self, endpoints: Sequence[Endpoint]) -> Sequence[Endpoint]:
        """Return the endpoints that may get an online request now.

        These are the endpoints without a limit, and those with a permit.
        """
        if not self.limits.known:
            return endpoints
        now_s = self.now()
        return [
            one
            for one in endpoints
            if self.limits.rate_of(one) is None
            or self.pool.online(one.lifetime, now_s)
        ]

    def unlimited(self, endpoints: Sequence[Endpoint]) -> Sequence[Endpoint]:
        """Return the endpoints without a limit."""
        if not self.limits.known:
            return endpoints
        return [one for one in endpoints if self.limits.rate_of(one) is None]

    def batch_places(
        self,
        endpoints: Iterable[Endpoint],
        free_slots: Callable[[Endpoint], int],
    ) -> list[Endpoint]:
        """Return one limited endpoint for each item that may start there."""
        if not self.limits.known:
            return []
        now_s = self.now()
        return [
            one
            for one in endpoints
            if self.limits.rate_of(one) is not None
            for _ in range(
                min(self.pool.batch(one.lifetime, now_s), free_slots(one))
            )
        ]

    def take(self, endpoint: Endpoint, *, online: bool) -> bool:
        """Use a permit for a request; return whether one was needed and held."""
        if self.limits.rate_of(endpoint) is None:
            return False
        key = endpoint.lifetime
        now_s = self.now()
        if online:
            taken = self.pool.take_online(key, now_s)
        else:
            taken = self.pool.take_batch(key, now_s)
        if taken:
            self.count('used', 1)
        return taken

    def online_wait_s(self, endpoint: Endpoint) -> float:
        """Return the expected time until an online request gets a permit."""
        return self.pool.online_wait_s(endpoint.lifetime, self.now())

    def ask_online(
        self, endpoints: Iterable[Endpoint], requests: int, priority: int
    ) -> None:
        """Ask for permits for queued online requests.

        The endpoints whose next permit is expected first are asked first.
        """
        limited = self.limited(endpoints)
        now_s = self.now()
        ordered = sorted(
            limited,
            key=lambda limit: (
                self.pool.online_wait_s(limit.endpoint.lifetime, now_s),
                self.generator.random(),
            ),
        )
        self.send(ordered, requests, priority, online=True)

    def ask_batch(self, endpoints: Iterable[Endpoint], items: int) -> None:
        """Ask for permits for items, at endpoints with free slots."""
        limited = list(self.limited(endpoints))
        self.generator.shuffle(limited)
        self.send(limited, items, TRIAL_PRIORITY, online=False)

    def limited(self, endpoints: Iterable[Endpoint]) -> Iterable[KnownLimit]:
        """Return the limits of the endpoints that have one."""
        if not self.limits.known:
            return ()
        known = (self.limits.known.get(one.lifetime) for one in endpoints)
        return [limit for limit in known if limit is not None]

    def send(
        self,
        limits: Iterable[KnownLimit],
        wanted: int,
        priority: int,
        *,
        online: bool,
    ) -> None:
        """Send the asks that are due, in order, until all is asked for."""
        asks: list[PermitAsk] = []
        now_s = self.now()
        for limit in limits:
            if wanted <= 0:
                break
            key = limit.endpoint.lifetime
            share = min(wanted, max(1, math.ceil(limit.rate * ASK_TTL_S)))
            wanted -= share
            asked = (share, 0) if online else (0, share)
            if self.pool.may_ask(key, *asked, now_s):
                asks.append(self.make_ask(limit, *asked, priority))
                self.count('asked', share)
        if asks:
            self.send_asks(asks)

    def make_ask(
        self, limit: KnownLimit, online: int, batch: int, priority: int
    ) -> PermitAsk:
        """Return an ask for one kind, which repeats what the other waits for."""
        key = limit.endpoint.lifetime
        now_s = self.now()
        online_waiting, batch_waiting = self.pool.waiting(key, now_s)
        online = online or online_waiting
        batch = batch or batch_waiting
        number = self.pool.note_ask(key, online, batch, now_s)
        return PermitAsk(key, number, online, batch, priority, limit.rate)

    def ask_trial(self, key: str) -> None:
        """Ask for a permit to learn whether a limit has ended."""
        limit = self.limits.known.get(key)
        if limit is not None:
            ask = self.make_ask(limit, 1, 0, TRIAL_PRIORITY)
            self.pool.of(key).trial = ask.number
            self.send_asks([ask])

    def apply(self, message: PermitGrant) -> None:
        """Store the permits of a reply, and act on it."""
        grant = message.grant
        in_time = self.pool.apply(message.key, grant, self.now())
        permits = grant.online + grant.batch
        if not in_time:
            self.count('late', permits)
            return
        self.count('granted', permits)
        if permits:
            self.on_granted()
        elif grant.online_wait_s > 0:
            limit = self.limits.known.get(message.key)
            if limit is not None:
                self.on_denied(limit.endpoint.service)

    def give_back(self) -> dict[str, int]:
        """Return the permits that have expired unused, by lifetime."""
        expired = self.pool.take_expired(self.now())
        if expired:
            self.count('expired', sum(expired.values()))
        return expired

    def drop_absent(self) -> None:
        """Drop what is held for endpoints without a limit."""
        for key in list(self.pool.held):
            if key not in self.limits.known:
                self.pool.remove(key)
