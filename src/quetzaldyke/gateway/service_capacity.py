"""Tells how many online requests the endpoints of a service can take.

Load pattern: some or all endpoints of a service name a limit that is far
below what their slots could do. Waits and retry times that count slots alone
would then promise what can't be kept: callers would wait for permits that do
not come in time, or return before there are any. Slots of an endpoint that works
slowly become free less often, so they count as fewer.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from quetzaldyke.gateway.endpoint_permits import EndpointPermits
from quetzaldyke.gateway.model import Endpoint


@dataclass(frozen=True, slots=True)
class ServiceCapacity:
    """What the usable endpoints of a service can take."""

    # An endpoint with a limit counts as the slots that it can keep busy.
    slots: float
    # Whether every endpoint has a limit.
    limited: bool = False
    # Expected time until the next permit if so.
    delay_s: float = 0.0


def even_pace(endpoint: Endpoint) -> float:
    """Return the pace of any endpoint where speeds are not known."""
    return 1.0


def service_capacity(
    usable: Sequence[Endpoint],
    permits: EndpointPermits,
    hold_s: float,
    pace: Callable[[Endpoint], float] = even_pace,
) -> ServiceCapacity:
    """Return what endpoints can take.

    A request holds a slot for `hold_s` where `pace` is 1, else for that many
    times as long.
    """
    unlimited = permits.unlimited(usable)
    slots = float(sum(one.slots / pace(one) for one in unlimited))
    if len(unlimited) == len(usable):
        return ServiceCapacity(slots)
    delays_s: list[float] = []
    for endpoint in usable:
        rate = permits.limits.rate_of(endpoint)
        if rate is not None:
            slots += min(endpoint.slots / pace(endpoint), rate * hold_s)
            delays_s.append(permits.online_wait_s(endpoint))
    if unlimited:
        return ServiceCapacity(slots)
    return ServiceCapacity(slots, limited=True, delay_s=min(delays_s))
