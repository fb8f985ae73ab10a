"""Chooses the endpoint of an online request.

Load pattern: short bursts of online streams over long batch runs on engines
with few slots. A free slot in the own failure domain is best, a free slot
anywhere next, then a slot that batch work gives up, then a short place in an
engine's own queue. Without any of these the request has to wait here.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from quetzaldyke.gateway.loads import LoadTable
from quetzaldyke.gateway.model import Endpoint

# Requests beyond its slots that an engine may be given: their wait for a
# slot is shorter than the time for the news of a free slot to get around.
QUEUED_PER_ENGINE: Final = 1
# Requests beyond its slots that a plain service may be given.
QUEUED_PER_SERVICE: Final = 12
# Slots by which the random tie-break blurs the load, at most. News about
# other entries is older in a larger fleet, and all of them would choose the
# same emptiest endpoint.
BLUR_PER_PEER: Final = 0.05
MIN_BLUR: Final = 0.25
MAX_BLUR: Final = 1.5
# How much fuller the own failure domain may be, as a share of the slots.
LOCAL_PREFERENCE: Final = 0.2


@dataclass(frozen=True, slots=True)
class Placement:
    """The chosen endpoint, and whether batch work must yield."""

    endpoint: Endpoint
    yield_batch: bool


@dataclass(frozen=True, slots=True)
class PlacementPolicy:
    """What the choice depends on besides the load."""

    failure_domain: str
    generator: random.Random
    loads: LoadTable

    def choose(
        self,
        candidates: Sequence[Endpoint],
        queue_allowed: int,
    ) -> Placement | None:
        """Return where a request goes, or None if it has to wait."""
        if not candidates:
            return None
        free = [
            one
            for one in candidates
            if self.loads.total(one.endpoint_id) < one.slots
        ]
        if free:
            return Placement(min(free, key=self.fullness), yield_batch=False)
        for allowed, yields in ((0, True), (queue_allowed, False)):
            fitting = [
                one
                for one in candidates
                if self.loads.online(one.endpoint_id) < one.slots + allowed
            ]
            if fitting:
                best = min(fitting, key=self.online_fullness)
                return Placement(best, yields)
        return None

    def fullness(self, endpoint: Endpoint) -> float:
        """Return the share of slots in use, lower in the own domain."""
        used = self.loads.total(endpoint.endpoint_id) / endpoint.slots
        return used + self.distance(endpoint)

    def online_fullness(self, endpoint: Endpoint) -> float:
        """Return the share of slots that online requests use."""
        used = self.loads.online(endpoint.endpoint_id) / endpoint.slots
        return used + self.distance(endpoint)

    def distance(self, endpoint: Endpoint) -> float:
        """Return the handicap of an endpoint, with a random tie-break."""
        remote = endpoint.failure_domain != self.failure_domain
        handicap = LOCAL_PREFERENCE if remote else 0
        blur = MIN_BLUR + BLUR_PER_PEER * len(self.loads.peers)
        tie_break = self.generator.random() * min(blur, MAX_BLUR)
        return tie_break / endpoint.slots + handicap
