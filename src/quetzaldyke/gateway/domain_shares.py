"""Decides how much of a failure domain's demand other domains serve.

Load pattern: demand and endpoints are uneven over the failure domains, half a
domain drains or is lost, and bursts come to one domain alone. Traffic between
domains is slower and has a price, yet a request that waits for a slot in its
own domain waits far longer than it would travel.

Each entry derives a share from what all entries of its domain have under way,
wherever it is served, and from the room in every domain. The demand does not
depend on the share, so that the share does not swing: it rises at once with
the demand that exceeds the room of the own domain, and falls slowly. Only room
that the other domains don't need is used, the nearest first, and what this
domain already uses there counts as its own.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Final

from quetzaldyke.gateway.loads import LoadTable
from quetzaldyke.gateway.logs import log_event
from quetzaldyke.gateway.model import Endpoint, Installation, EntryOptions

# Time in which a share falls to a third after the demand has fallen. Bursts
# come seconds apart, and each would else begin in a domain that is full.
FALL_S: Final = 1.0
# Travel between two failure domains of a region, there and back.
REMOTE_DELAY_S: Final = 0.003
# Requests keep to a domain with at least so many endpoints of their service.
# Among fewer there is no choice, and each of them would fill up first.
MIN_ENDPOINTS: Final = 3
# Keeps the wait that is accepted finite where requests take no time.
MIN_HOLD_S: Final = 0.001
# A share below this is taken as none.
MIN_SHARE: Final = 0.01


def comfortable_load(slots: float) -> float:
    """Return the most requests that rarely wait for one of some slots.

    The number of requests under way varies by about its square root, and that
    much room is left free.

    >>> comfortable_load(6), round(comfortable_load(40))
    (4.0, 34)
    """
    root = (math.sqrt(1 + 4 * slots) - 1) / 2
    return root * root


@dataclass(slots=True)
class DomainLoad:
    """Slots and online requests of one failure domain, for one service."""

    slots: float = 0.0
    # Requests at its endpoints, from all entries, and those of them that are
    # from the entries of the own domain.
    served: int = 0
    served_for_own: int = 0
    endpoints: int = 0

    @property
    def room(self) -> float:
        """Return how many requests of the own domain it can serve."""
        others = self.served - self.served_for_own
        return max(0.0, comfortable_load(self.slots) - others)


@dataclass(frozen=True, slots=True)
class Spread:
    """The share of the own demand to serve elsewhere, and where."""

    share: float = 0.0
    # Room of the domains that may serve it.
    room: Mapping[str, float] = field(default_factory=dict)
    # Largest share that this room allows.
    largest: float = 1.0


def nearest_with_room(
    loads: Mapping[str, DomainLoad],
    own: str,
    regions: Mapping[str, str],
    needed: float,
) -> dict[str, float]:
    """Return the room of other domains: those of the own region if enough."""
    rooms = {
        domain: load.room
        for domain, load in loads.items()
        if domain != own and load.room > 0
    }
    own_region = regions.get(own)
    near = {
        domain: room
        for domain, room in rooms.items()
        if regions.get(domain) == own_region
    }
    return near if sum(near.values()) >= needed else rooms


def spread_of(
    demand: float,
    loads: Mapping[str, DomainLoad],
    own: str,
    regions: Mapping[str, str],
    accepted_wait: float,
) -> Spread:
    """Return how to spread the demand of the own domain.

    `accepted_wait` is the wait that is accepted rather than leave the domain,
    as a share of the time for which a request holds a slot.
    """
    here = loads.get(own, DomainLoad())
    capacity = here.room + here.slots * accepted_wait
    excess = max(0.0, demand - capacity)
    rooms = nearest_with_room(loads, own, regions, excess)
    if demand <= 0:
        return Spread(0.0, rooms)
    largest = min(1.0, sum(rooms.values()) / demand) if here.slots else 1.0
    return Spread(min(excess / demand, largest), rooms, largest)


@dataclass(slots=True)
class ServiceSpread:
    """How one service's requests are spread, as of the last update."""

    spread: Spread = Spread()
    updated_s: float = 0.0
    # Requests that should have left the domain and have not, as a fraction.
    credit: float = 0.0
    # Expected wait for a slot of a full own domain.
    next_slot_s: float = math.inf
    # Whether the own domain has enough endpoints to keep to.
    is_local: bool = False

    def update(self, target: Spread, now_s: float) -> None:
        """Follow a higher share at once, and a lower one slowly.

        A falling share takes no more room than there is now.
        """
        elapsed_s = max(0.0, now_s - self.updated_s)
        self.updated_s = now_s
        fallen = self.spread.share * math.exp(-elapsed_s / FALL_S)
        share = max(target.share, min(fallen, target.largest))
        if share < MIN_SHARE:
            share = 0.0
            self.credit = 0.0
        self.spread = Spread(share, target.room, target.largest)

    def leaves(self) -> bool:
        """Return whether the next request leaves, evenly over the requests.

        Each call counts as a request.
        """
        self.credit += self.spread.share
        if self.credit < 1:
            return False
        self.credit -= 1
        return True


@dataclass(slots=True)
class DomainShares:
    """The spread of each service's requests over the failure domains."""

    own_domain: str
    regions: Mapping[str, str]
    options: EntryOptions
    loads: LoadTable
    generator: random.Random
    # Returns the failure domain of a peer; empty if it is not known.
    domain_of_peer: Callable[[str], str] = lambda peer: ''
    services: dict[str, ServiceSpread] = field(default_factory=dict)
    # Endpoints of a service from which on requests keep to the own domain.
    min_endpoints: int = MIN_ENDPOINTS
    # Online requests of the own domain's entries by endpoint.
    own_use: Counter[str] = field(default_factory=Counter)
    # Requests that wait at other entries of the own domain, by service.
    own_waiting: Counter[str] = field(default_factory=Counter)

    @classmethod
    def from_installation(
        cls,
        installation: Installation,
        loads: LoadTable,
        generator: random.Random,
    ) -> DomainShares | None:
        """Return the shares of an entry; None if its settings ask for none."""
        if not installation.options.keep_local:
            return None
        return cls(
            installation.failure_domain,
            installation.regions,
            installation.options,
            loads,
            generator,
        )

    def update(
        self,
        service: str,
        usable: Iterable[Endpoint],
        waiting: int,
        hold_s: float,
        now_s: float,
    ) -> Spread:
        """Update the spread of a service; return it.

        `waiting` are the requests that wait for a slot at this entry alone, and
        `hold_s` is the time for which a request holds one. `count_own_use`
        comes before the update of one or more services.
        """
        endpoints = list(usable)
        loads = self.domain_loads(endpoints)
        waiting += self.own_waiting[service]
        demand = waiting + sum(one.served_for_own for one in loads.values())
        wait_s = REMOTE_DELAY_S + self.options.price_s
        target = spread_of(
            demand,
            loads,
            self.own_domain,
            self.regions,
            wait_s / max(hold_s, MIN_HOLD_S),
        )
        known = self.services.setdefault(service, ServiceSpread())
        own_load = loads.get(self.own_domain, DomainLoad())
        slots = own_load.slots
        known.is_local = own_load.endpoints >= self.min_endpoints
        known.next_slot_s = (
            (waiting + 1) * hold_s / slots if slots else math.inf
        )
        left_before = known.spread.share > 0
        known.update(target, now_s)
        if left_before != (known.spread.share > 0):
            log_event(
                'domain_share',
                service=service,
                share=round(known.spread.share, 2),
                demand=demand,
                domains=','.join(known.spread.room),
            )
        return known.spread

    def domain_loads(
        self, endpoints: Iterable[Endpoint]
    ) -> dict[str, DomainLoad]:
        """Return the load of each failure domain with endpoints."""
        loads: dict[str, DomainLoad] = {}
        for endpoint in endpoints:
            load = loads.setdefault(endpoint.failure_domain, DomainLoad())
            load.slots += endpoint.slots
            load.endpoints += 1
            load.served += self.loads.online(endpoint.endpoint_id)
            load.served_for_own += self.own_use[endpoint.endpoint_id]
        return loads

    def count_own_use(self) -> None:
        """Count the online requests of the entries in the own domain."""
        self.own_use.clear()
        self.own_waiting.clear()
        reports = [
            report
            for peer, report in self.loads.peers.items()
            if self.domain_of_peer(peer) == self.own_domain
        ]
        for counts in (self.loads.own, *(one.counts for one in reports)):
            for endpoint_id, one in counts.items():
                self.own_use[endpoint_id] += one.online
        for report in reports:
            self.own_waiting.update(report.waiting)

    def share_of(self, service: str) -> float:
        """Return the share of a service's requests that leave the domain."""
        known = self.services.get(service)
        return known.spread.share if known is not None else 0.0

    def next_domain(self, service: str) -> str:
        """Return the domain that the next request of a service should go to.

        Empty if it should stay. Each call counts as a request.
        """
        known = self.services.get(service)
        if known is None or not known.spread.share or not known.leaves():
            return ''
        rooms = known.spread.room
        if not rooms:
            return ''
        return self.generator.choices(list(rooms), list(rooms.values()))[0]

    def is_local(self, service: str) -> bool:
        """Return whether requests of a service keep to the own domain."""
        known = self.services.get(service)
        return known is not None and known.is_local

    def keeps_any(self) -> bool:
        """Return whether requests of any service keep to the own domain."""
        return any(one.is_local for one in self.services.values())

    def groups(self, endpoints: Sequence[Endpoint]) -> Groups:
        """Return endpoints by the order in which the next request asks them.

        Each call counts as a request.
        """
        service = endpoints[0].service
        known = self.services.get(service, ServiceSpread())
        named = self.next_domain(service)
        near = [
            one for one in endpoints if one.failure_domain == self.own_domain
        ]
        others = [
            one for one in endpoints if one.failure_domain != self.own_domain
        ]
        if near and self.options.price_s >= known.next_slot_s:
            return Groups([], near, [], [])
        rooms = known.spread.room
        return Groups(
            [one for one in others if one.failure_domain == named],
            near,
            [one for one in others if rooms.get(one.failure_domain, 0.0) >= 1],
            self.by_distance(others, rooms),
        )

    def by_distance(
        self, endpoints: Sequence[Endpoint], rooms: Mapping[str, float]
    ) -> list[list[Endpoint]]:
        """Return endpoints of other domains in groups, the preferred first.

        Domains that have room go before those that need all theirs, and those
        of the own region before others.
        """
        own_region = self.regions.get(self.own_domain)
        groups: dict[tuple[bool, bool], list[Endpoint]] = {}
        for one in endpoints:
            domain = one.failure_domain
            is_full = rooms.get(domain, 0.0) < 1
            is_far = self.regions.get(domain) != own_region
            groups.setdefault((is_full, is_far), []).append(one)
        return [groups[key] for key in sorted(groups)]


@dataclass(frozen=True, slots=True)
class Groups:
    """Endpoints by failure domain, as a request asks them."""

    # Of the domain that the share names; only free slots there are for it.
    named: Sequence[Endpoint]
    near: Sequence[Endpoint]
    # Of other domains that have room.
    spare: Sequence[Endpoint]
    # Groups of other domains. Empty if a wait costs less than leaving.
    others: Sequence[Sequence[Endpoint]]
