"""Expects when one more request at an endpoint would get its events.

Load pattern: uneven endpoints under a load that their sum can serve. A free
slot of an endpoint that is too slow for a route makes each stream there late,
while a short wait elsewhere does not. Where requests take as long as their
first event, the own queue of a fast endpoint is left sooner than a slow
endpoint is done.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
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
# Utilisation that balances twice the time of the median. A slot beside others
# in use costs a request little, slow work costs it in any case: fast endpoints
# fill up before slow ones are used.
SLOWNESS_WEIGHT: Final = 3.0
# Slowness from which on an endpoint is last anyway.
MAX_SLOWNESS: Final = 8.0
# A queue is chosen over a free slot if it takes at most this share of the time.
# Other entries may be about to join it too.
QUEUE_GAIN: Final = 0.8
# Endpoints that take this many times as long as the median get items last.
MAX_BATCH_PACE: Final = 2.5


@dataclass(frozen=True, slots=True)
class Expectation:
    """What one more request would meet; 0 where nothing is known."""

    first_s: float
    pause_s: float

    def meets(self, route: Route) -> bool:
        """Return whether that is in time for the requests of a route."""
        if route.kind == 'stream' and (
            self.pause_s > PAUSE_SHARE * route.max_gap_s
        ):
            return False
        return self.first_s <= route.target_s


def expect(
    speeds: EndpointSpeeds, endpoint: Endpoint, online: int, kind: str
) -> Expectation:
    """Return the expected times at an endpoint with so many online requests.

    `kind` is that of the route; the first event of any answer but a stream is
    its end. Requests beyond the slots wait for those before them.
    """
    service = endpoint.service
    slowness = speeds.slowness(endpoint)
    streamed = kind == 'stream'
    first_s = speeds.usual_s.get((service, 'first' if streamed else 'whole'), 0)
    held_s = speeds.usual_s.get((service, 'stream' if streamed else 'whole'), 0)
    queued = max(0, online + 1 - endpoint.slots)
    return Expectation(
        slowness * (first_s + queued * held_s / endpoint.slots),
        slowness * speeds.usual_s.get((service, 'pause'), 0),
    )


def by_needs(
    speeds: EndpointSpeeds,
    candidates: Sequence[Endpoint],
    route: Route,
    online: Sequence[int],
) -> list[Sequence[Endpoint]]:
    """Return the endpoints that are in time for a route, then the others.

    `online` are the online requests at each of them. Empty groups are left
    out.
    """
    in_time: list[Endpoint] = []
    late: list[Endpoint] = []
    for endpoint, requests in zip(candidates, online, strict=True):
        expected = expect(speeds, endpoint, requests, route.kind)
        (in_time if expected.meets(route) else late).append(endpoint)
    return [group for group in (in_time, late) if group]


def quicker_queue(
    speeds: EndpointSpeeds,
    slot: Endpoint,
    queues: Sequence[Endpoint],
    route: Route,
    online: Callable[[str], int],
) -> Endpoint | None:
    """Return the full endpoint that would answer sooner than a free slot.

    `queues` are full but may be given one more request each. `online` returns
    how many online requests an endpoint has.
    """
    limit_s = QUEUE_GAIN * expect(speeds, slot, 0, route.kind).first_s
    best = None
    for endpoint in queues:
        requests = online(endpoint.endpoint_id)
        first_s = expect(speeds, endpoint, requests, route.kind).first_s
        if first_s < limit_s:
            best, limit_s = endpoint, first_s
    return best


def slowness_penalty(speeds: EndpointSpeeds, endpoint: Endpoint) -> float:
    """Return what is added to the utilisation of an endpoint.

    It is 0 near the median of the service without a statement, and negative
    for faster endpoints.
    """
    speed = speeds.known(endpoint)
    if speed is None:
        return 0.0
    now_s = speeds.now()
    waiting = speed.stated_waiting(now_s) / endpoint.slots
    return equivalent_use(speed.pace * speed.moment(now_s)) + waiting


def equivalent_use(slowness: float) -> float:
    """Return the utilisation that makes an ordinary endpoint as undesirable.

    >>> equivalent_use(1.1), equivalent_use(2.2) > 1, equivalent_use(0.7) < 0
    (0.0, True, True)
    """
    slowness = min(MAX_SLOWNESS, slowness)
    usual = max(1 / NOISE_RATIO, min(NOISE_RATIO, slowness))
    return SLOWNESS_WEIGHT * (slowness - usual)


def batch_shift(speeds: EndpointSpeeds, endpoint: Endpoint) -> float:
    """Return by how many slots batch items rank an endpoint lower.

    They take the slots that online requests want least, unless the endpoint
    is so slow that items there might end too late.
    """
    pace = speeds.pace(endpoint)
    if pace > MAX_BATCH_PACE:
        return pace * endpoint.slots
    return -equivalent_use(pace) * endpoint.slots
