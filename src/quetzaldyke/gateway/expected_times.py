"""Expects when one more request at an endpoint would get its events.

Load pattern: uneven endpoints under a load that their sum can serve. A free
slot of an endpoint that is too slow for a route makes each stream there late,
while a short wait elsewhere does not. Where requests take as long as their
first event, the own queue of a fast endpoint is left sooner than a slow
endpoint is done.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from typing import Final

from quetzaldyke.gateway.endpoint_speeds import EndpointSpeeds
from quetzaldyke.gateway.model import Endpoint, Route

# Pauses vary by about a factor of two around the expected one, and each of a
# stream has to be in time.
PAUSE_SHARE: Final = 0.5
# Differences from the median below this ratio are within the noise of what is
# measured, and don't change the order of endpoints.
NOISE_RATIO: Final = 1.2
# Utilisation that balances twice the time of the median, at most. It is the time
# of a first event over the wait for a slot that another entry has just taken:
# where slots are held for long, a full endpoint costs more than a slow one.
MAX_SLOWNESS_WEIGHT: Final = 3.0
# The same until the times of a service are known.
DEFAULT_SLOWNESS_WEIGHT: Final = 0.5
# Slowness from which on an endpoint is last anyway.
MAX_SLOWNESS: Final = 8.0
# A queue is chosen over a free slot if it takes at most this share of the time.
# Other entries may be about to join it too.
QUEUE_GAIN: Final = 0.8
# Endpoints that take this many times as long as the median get items last.
MAX_BATCH_PACE: Final = 2.5


@dataclass(frozen=True, slots=True)
class Forecast:
    """What the requests of a route meet at one moment."""

    speeds: EndpointSpeeds
    now_s: float
    # Times at the median pace, 0 if not known: until the first event on a free
    # slot, for which a slot is held, and between events.
    first_s: float
    held_s: float
    # Latest first event that meets the route's objective.
    target_s: float
    # Slowness from which on the pauses of a stream may be too long.
    max_slowness: float

    @classmethod
    def of(cls, speeds: EndpointSpeeds, service: str, route: Route) -> Forecast:
        """Return the forecast for a route's requests to a service.

        The first event of any answer but a stream is its end.
        """
        usual_s = speeds.usual_s
        now_s = speeds.now()
        if route.kind != 'stream':
            whole_s = usual_s.get((service, 'whole'), 0.0)
            return cls(
                speeds, now_s, whole_s, whole_s, route.target_s, math.inf
            )
        pause_s = usual_s.get((service, 'pause'))
        longest_s = PAUSE_SHARE * route.max_gap_s
        return cls(
            speeds,
            now_s,
            usual_s.get((service, 'first'), 0.0),
            usual_s.get((service, 'stream'), 0.0),
            route.target_s,
            longest_s / pause_s if pause_s else math.inf,
        )

    def expected_first_s(self, endpoint: Endpoint, online: int) -> float:
        """Return the expected time of the first event of one more request.

        It waits for those before it if the `online` ones take all slots.
        """
        return self.time_s(
            self.speeds.slowness(endpoint, self.now_s), endpoint.slots, online
        )

    def time_s(self, slowness: float, slots: int, online: int) -> float:
        """Return the expected time until the first event."""
        queued = online + 1 - slots
        if queued <= 0:
            return slowness * self.first_s
        return slowness * (self.first_s + queued * self.held_s / slots)

    def is_in_time(self, endpoint: Endpoint, online: int) -> bool:
        """Return whether one more request is expected to be in time.

        An endpoint whose slowness has faded is tried with one request: while
        it has any, the last confirmed pace counts.
        """
        slowness = self.speeds.slowness(endpoint, self.now_s)
        if online:
            slowness = max(slowness, self.speeds.confirmed_pace(endpoint))
        return slowness <= self.max_slowness and (
            self.time_s(slowness, endpoint.slots, online) <= self.target_s
        )

    def by_needs(
        self,
        candidates: Sequence[Endpoint],
        online: Callable[[str], int],
        paused: Collection[str],
    ) -> list[Sequence[Endpoint]]:
        """Return the endpoints that are in time, then the others.

        `online` returns how many online requests an endpoint has. Those that
        have asked for a pause would refuse the request, however fast they are.
        Empty groups are left out.
        """
        in_time: list[Endpoint] = []
        late: list[Endpoint] = []
        for endpoint in candidates:
            requests = online(endpoint.endpoint_id)
            fits = endpoint.endpoint_id not in paused and (
                self.is_in_time(endpoint, requests)
            )
            (in_time if fits else late).append(endpoint)
        return [group for group in (in_time, late) if group]

    def quicker_queue(
        self,
        slot: Endpoint,
        queues: Sequence[Endpoint],
        online: Callable[[str], int],
    ) -> Endpoint | None:
        """Return the full endpoint that would answer sooner than a free slot.

        `queues` are full but may be given one more request each.
        """
        limit_s = QUEUE_GAIN * self.expected_first_s(slot, 0)
        best = None
        for endpoint in queues:
            requests = online(endpoint.endpoint_id)
            first_s = self.expected_first_s(endpoint, requests)
            if first_s < limit_s:
                best, limit_s = endpoint, first_s
        return best


def slowness_penalty(
    speeds: EndpointSpeeds, endpoint: Endpoint, now_s: float
) -> float:
    """Return what is added to the utilisation of an endpoint.

    It is 0 near the median of the service without a statement, and negative
    for faster endpoints.
    """
    speed = speeds.known(endpoint)
    if speed is None:
        return 0.0
    waiting = speed.stated_waiting(now_s) / endpoint.slots
    weight = slowness_weight(speeds, endpoint)
    return weight * difference(speed.pace * speed.moment(now_s)) + waiting


def slowness_weight(speeds: EndpointSpeeds, endpoint: Endpoint) -> float:
    """Return which utilisation balances twice the time of the median."""
    usual_s = speeds.usual_s
    held_s = usual_s.get((endpoint.service, 'stream'))
    first_s = usual_s.get((endpoint.service, 'first'))
    if held_s is None:
        held_s = first_s = usual_s.get((endpoint.service, 'whole'))
    if not held_s or not first_s:
        return DEFAULT_SLOWNESS_WEIGHT
    return min(MAX_SLOWNESS_WEIGHT, first_s * endpoint.slots / held_s)


def difference(slowness: float) -> float:
    """Return by how much a slowness differs from the median beyond noise.

    >>> difference(1.1), round(difference(2.2), 6), difference(0.7) < 0
    (0.0, 1.0, True)
    """
    slowness = min(MAX_SLOWNESS, slowness)
    usual = max(1 / NOISE_RATIO, min(NOISE_RATIO, slowness))
    return slowness - usual


def batch_shift(speeds: EndpointSpeeds, endpoint: Endpoint) -> float:
    """Return by how many slots batch items rank an endpoint lower.

    They take the slots that online requests want least, unless the endpoint
    is so slow that items there might end too late.
    """
    pace = speeds.pace(endpoint)
    if pace > MAX_BATCH_PACE:
        return pace * endpoint.slots
    return -MAX_SLOWNESS_WEIGHT * difference(pace) * endpoint.slots
