"""Limits batch work to the slots that online peaks leave free.

Load pattern: see `demand_rhythm.py`. Each endpoint keeps its part of what the
recent peak of its failure domain takes; batch items start on the others. Two
kinds of items may use the kept slots as well: one whose run ends before the
next peak, and one that would be late otherwise. So nothing is left undone on
slots that stay idle, and a backlog of items lifts the limit by itself.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Final

from quetzaldyke.gateway.demand_rhythm import DemandRhythm, reserved_share
from quetzaldyke.gateway.domain_shares import MIN_ENDPOINTS
from quetzaldyke.gateway.loads import LoadTable
from quetzaldyke.gateway.model import Endpoint, EntryOptions

# Time between two observations of the demand.
OBSERVATION_S: Final = 0.1
# An item counts as urgent while it has less than this many times the time that
# it still takes, as runs are cut and waits are longer than expected.
URGENT_FACTOR: Final = 2.0

DomainKey = tuple[str, str]


@dataclass(slots=True)
class BatchReserve:
    """What batch work leaves free, by service and failure domain."""

    loads: LoadTable
    rhythms: dict[DomainKey, DemandRhythm] = field(default_factory=dict)
    # Batch runs that each endpoint may have beside peaks.
    limits: dict[str, int] = field(default_factory=dict)
    # Whose rhythm holds for each endpoint.
    keys: dict[str, DomainKey] = field(default_factory=dict)
    observed_s: dict[str, float] = field(default_factory=dict)

    @classmethod
    def from_options(
        cls, options: EntryOptions, loads: LoadTable
    ) -> BatchReserve | None:
        """Return the reserve of an entry; None if its settings ask for none."""
        return cls(loads) if options.reserve_peaks else None

    def observe(
        self, service: str, endpoints: Iterable[Endpoint], now_s: float
    ) -> None:
        """Record the online demand of a service, if that is due."""
        if now_s - self.observed_s.get(service, -math.inf) < OBSERVATION_S:
            return
        self.observed_s[service] = now_s
        domains: dict[DomainKey, list[Endpoint]] = {}
        for endpoint in endpoints:
            key = endpoint.service, endpoint.failure_domain
            domains.setdefault(key, []).append(endpoint)
        domains = joined_small(domains)
        for key, members in domains.items():
            rhythm = self.rhythms.setdefault(key, DemandRhythm())
            online = (self.loads.online(one.endpoint_id) for one in members)
            rhythm.note(sum(online), now_s)
            self.limits.update(limits_of(members, rhythm.peak))
            for one in members:
                self.keys[one.endpoint_id] = key

    def keep_endpoints(self, endpoint_ids: Collection[str]) -> None:
        """Drop what is known of all other endpoints."""
        for endpoint_id in self.limits.keys() - set(endpoint_ids):
            del self.limits[endpoint_id]
            del self.keys[endpoint_id]

    def limit(self, endpoint: Endpoint) -> int:
        """Return how many batch runs an endpoint may have beside peaks."""
        return self.limits.get(endpoint.endpoint_id, endpoint.slots)

    def rest_of_low_s(self, endpoint: Endpoint, now_s: float) -> float:
        """Return for how long its kept slots are expected to stay free."""
        key = self.keys.get(endpoint.endpoint_id)
        rhythm = self.rhythms.get(key) if key is not None else None
        return 0.0 if rhythm is None else rhythm.rest_of_low_s(now_s)

    def split(
        self, slots: Sequence[Endpoint]
    ) -> tuple[list[Endpoint], list[Endpoint]]:
        """Split free slots into those beside the peaks and the kept ones.

        `slots` names an endpoint once for each of its free slots.
        """
        beside: list[Endpoint] = []
        kept: list[Endpoint] = []
        places: dict[str, int] = {}
        for endpoint in slots:
            endpoint_id = endpoint.endpoint_id
            left = places.get(endpoint_id)
            if left is None:
                left = self.limit(endpoint) - self.loads.batch(endpoint_id)
            places[endpoint_id] = left - 1
            (beside if left > 0 else kept).append(endpoint)
        return beside, kept


def joined_small(
    domains: Mapping[DomainKey, list[Endpoint]],
) -> dict[DomainKey, list[Endpoint]]:
    """Return endpoints by service and domain, with small domains joined.

    Requests don't keep to domains with few endpoints, so their peaks are those
    of all such domains together, under an empty name.
    """
    joined: dict[DomainKey, list[Endpoint]] = {}
    for (service, domain), members in domains.items():
        name = domain if len(members) >= MIN_ENDPOINTS else ''
        joined.setdefault((service, name), []).extend(members)
    return joined


def limits_of(endpoints: Sequence[Endpoint], peak: float) -> dict[str, int]:
    """Return how many batch runs each endpoint of a domain may have.

    The limits add up to the whole slots that the peak leaves free, however
    few slots each endpoint has.
    """
    slots = sum(one.slots for one in endpoints)
    free_share = 1 - reserved_share(peak, slots)
    limits: dict[str, int] = {}
    counted = 0
    for one in sorted(endpoints, key=lambda one: one.endpoint_id):
        before = math.floor(counted * free_share)
        counted += one.slots
        limits[one.endpoint_id] = math.floor(counted * free_share) - before
    return limits


def is_urgent(left_s: float, remaining_s: float, wait_s: float) -> bool:
    """Return whether an item would be late if it waited for its turn.

    `left_s` is the time until it is due, `remaining_s` what its run still
    takes, and `wait_s` how long the items ahead of it take. One that is late
    in any case is not urgent.

    >>> is_urgent(9.0, 4.0, 0.5), is_urgent(9.0, 4.0, 4.0), is_urgent(2, 4, 4)
    (False, True, False)
    """
    if left_s < remaining_s:
        return False
    return left_s < URGENT_FACTOR * remaining_s + wait_s
