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
JITTER_PER_PEER: Final = 0.05
MIN_JITTER: Final = 0.25
MAX_JITTER: Final = 1.5
# How much fuller the own failure domain may be, as a share of the slots.
REMOTE_PENALTY: Final = 0.2


@dataclass(frozen=True, slots=True)
class Placement:
    """The chosen endpoint, and whether batch work must yield."""

    endpoint: Endpoint
    preempt_batch: bool


@dataclass(frozen=True, slots=True)
class PlacementPolicy:
    """What the choice depends on besides the load."""

    failure_domain: str
    generator: random.Random
    loads: LoadTable

    def choose(
        self,
        candidates: Sequence[Endpoint],
        max_queued: int,
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
            return Placement(
                min(free, key=self.utilisation), preempt_batch=False
            )
        for queue_limit, preempts in ((0, True), (max_queued, False)):
            fitting = [
                one
                for one in candidates
                if self.loads.online(one.endpoint_id) < one.slots + queue_limit
            ]
            if fitting:
                best = min(fitting, key=self.online_utilisation)
                return Placement(best, preempts)
        return None

    def utilisation(self, endpoint: Endpoint) -> float:
        """Return the share of slots in use, lower in the own domain."""
        used = self.loads.total(endpoint.endpoint_id) / endpoint.slots
        return used + self.locality_penalty(endpoint)

    def online_utilisation(self, endpoint: Endpoint) -> float:
        """Return the share of slots that online requests use."""
        used = self.loads.online(endpoint.endpoint_id) / endpoint.slots
        return used + self.locality_penalty(endpoint)

    def locality_penalty(self, endpoint: Endpoint) -> float:
        """Return the handicap of an endpoint, with a random tie-break."""
        remote = endpoint.failure_domain != self.failure_domain
        penalty = REMOTE_PENALTY if remote else 0
        jitter = MIN_JITTER + JITTER_PER_PEER * len(self.loads.peers)
        tie_break = self.generator.random() * min(jitter, MAX_JITTER)
        return tie_break / endpoint.slots + penalty
