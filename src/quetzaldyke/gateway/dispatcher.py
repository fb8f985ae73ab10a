"""Hands out places on endpoints to online requests and batch runs."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from typing import Final

from result import Err, Ok, Result

from quetzaldyke.gateway.endpoints import EndpointBook
from quetzaldyke.gateway.loads import LoadTable
from quetzaldyke.gateway.model import Endpoint, Route
from quetzaldyke.gateway.placement import (
    QUEUED_PER_ENGINE,
    QUEUED_PER_SERVICE,
    PlacementPolicy,
)
from quetzaldyke.gateway.waiting_line import (
    Waiter,
    WaitingLine,
    may_wait,
    retry_after_s,
)
from quetzaldyke.parts.timers import Clock

# Told to callers of a service that has no endpoint at the moment.
NO_ENDPOINT_RETRY_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request got no place, and when to come back."""

    reason: str
    retry_after_s: float


@dataclass(slots=True)
class Place:
    """A place that a request holds on an endpoint."""

    endpoint: Endpoint
    online: bool
    taken_s: float
    released: bool = False


@dataclass(slots=True)
class Dispatcher:
    """Places, loads and the waiting lines of all services."""

    book: EndpointBook
    loads: LoadTable
    policy: PlacementPolicy
    clock: Clock
    generator: random.Random
    # Whether the endpoints of a service are engines.
    is_engine: Callable[[str], bool]
    # Asks for batch work to leave an endpoint.
    make_room: Callable[[Endpoint], None] = lambda endpoint: None
    # Told when the own counts of an endpoint changed.
    on_change: Callable[[str], None] = lambda endpoint_id: None
    lines: dict[str, WaitingLine] = field(default_factory=dict)

    def line(self, service: str) -> WaitingLine:
        """Return the waiting line of a service."""
        known = self.lines.get(service)
        if known is None:
            known = self.lines[service] = WaitingLine()
        return known

    def try_place(
        self,
        service: str,
        excluded: Collection[str] = (),
    ) -> Place | None:
        """Take a place for an online request if there is one."""
        engine = self.is_engine(service)
        choice = self.policy.choose(
            self.book.usable(service, self.clock.now(), excluded),
            QUEUED_PER_ENGINE if engine else QUEUED_PER_SERVICE,
        )
        if choice is None:
            return None
        place = self.take(choice.endpoint, online=True)
        if choice.yield_batch:
            self.make_room(choice.endpoint)
        return place

    def take(self, endpoint: Endpoint, *, online: bool) -> Place:
        """Count a request on an endpoint."""
        running = self.loads.own_of(endpoint.endpoint_id)
        if online:
            running.online += 1
        else:
            running.batch += 1
        self.on_change(endpoint.endpoint_id)
        return Place(endpoint, online, self.clock.now())

    def release(self, place: Place) -> None:
        """Give a place back and serve those that wait."""
        if place.released:
            return
        place.released = True
        running = self.loads.own_of(place.endpoint.endpoint_id)
        service = place.endpoint.service
        if place.online:
            running.online -= 1
            held_s = self.clock.now() - place.taken_s
            self.line(service).note_hold(held_s)
        else:
            running.batch -= 1
        self.on_change(place.endpoint.endpoint_id)
        self.line(service).serve()

    async def place(
        self,
        service: str,
        route: Route,
        give_up_s: float,
        excluded: Collection[str],
    ) -> Result[Place, Refusal]:
        """Take a place, wait for one, or refuse."""
        if not self.book.usable(service, self.clock.now()):
            return Err(Refusal('no_endpoint', NO_ENDPOINT_RETRY_S))
        line = self.line(service)
        if not line:
            place = self.try_place(service, excluded)
            if place is not None:
                return Ok(place)
        expected_s = line.expected_wait_s(self.slots_share(service))
        if not may_wait(expected_s, route.target_s):
            pause_s = retry_after_s(expected_s, self.generator.random())
            return Err(Refusal('no_slot_in_time', pause_s))
        return await self.wait_in_line(service, route, give_up_s, excluded)

    def slots_share(self, service: str) -> float:
        """Return the slots that free up for this entry's requests."""
        now_s = self.clock.now()
        usable = self.book.usable(service, now_s)
        slots = sum(one.slots for one in usable)
        own = sum(
            self.loads.own_of(one.endpoint_id).online for one in usable
        )
        everyone = sum(self.loads.online(one.endpoint_id) for one in usable)
        return slots * (own + 1) / (everyone + 1)

    async def wait_in_line(
        self,
        service: str,
        route: Route,
        give_up_s: float,
        excluded: Collection[str],
    ) -> Result[Place, Refusal]:
        """Wait until a place is free or the time is over."""
        outcome: asyncio.Future[Place | None] = (
            asyncio.get_running_loop().create_future()
        )

        def try_start() -> bool:
            if outcome.done():
                return True
            place = self.try_place(service, excluded)
            if place is not None:
                outcome.set_result(place)
            return place is not None

        def refuse() -> None:
            if not outcome.done():
                outcome.set_result(None)

        waiter = Waiter(route.priority, give_up_s, try_start, refuse)
        self.line(service).add(waiter)
        try:
            place = await outcome
        except asyncio.CancelledError:
            waiter.cancelled = True
            if outcome.done() and not outcome.cancelled():
                taken = outcome.result()
                if taken is not None:
                    self.release(taken)
            raise
        if place is not None:
            return Ok(place)
        expected_s = self.line(service).expected_wait_s(
            self.slots_share(service),
        )
        pause_s = retry_after_s(expected_s, self.generator.random())
        return Err(Refusal('waited_too_long', pause_s))

    async def tick(self) -> None:
        """Serve and refuse waiting requests as time passes."""
        now_s = self.clock.now()
        for line in self.lines.values():
            line.serve()
            line.drop_late(now_s)
