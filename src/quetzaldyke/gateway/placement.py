"""Chooses the endpoint of an online request.

Short bursts of online streams compete with long batch runs for engines with
few slots. In order of preference, a request gets a free slot, a slot held by
preemptible batch work, or a position in an endpoint's own short queue. Among
these, endpoints that have not asked for a pause are preferred, then those in
this entry's failure domain. Otherwise the request has to wait at the entry.

Where requests stay in their failure domain while it has room, the slots of the
domain that `domain_shares.py` names come first, whether free or preemptible.

Where requests are placed by speed, endpoints that are too slow for the route
come last, and the others are compared by utilisation and slowness together.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Sequence
from dataclasses import dataclass
from typing import Final

from quetzaldyke.gateway.domain_shares import DomainShares
from quetzaldyke.gateway.endpoint_preference import EndpointPreference
from quetzaldyke.gateway.endpoint_speeds import EndpointSpeeds
from quetzaldyke.gateway.expected_times import Forecast, slowness_penalty
from quetzaldyke.gateway.loads import LoadTable
from quetzaldyke.gateway.model import Endpoint, Route

# Online requests that an engine may be given beyond its slots. They wait less
# for a slot there than a load report about a free slot takes to arrive.
QUEUED_PER_ENGINE: Final = 1
# Online requests that an endpoint of a non-engine service may be given
# beyond its slots.
QUEUED_PER_SERVICE: Final = 12
# Upper bound of the random jitter that is added to the load of an endpoint, in
# slots. It grows with the number of peers: load reports are older in a larger
# fleet, and without jitter all entries would choose the same least loaded
# endpoint.
JITTER_PER_PEER: Final = 0.05
MIN_JITTER: Final = 0.25
MAX_JITTER: Final = 1.5
# Requests by which an entry's first endpoint may be fuller than its last one.
PREFERENCE: Final = 2.0
# The same in other domains, where an entry has few requests and connections.
REMOTE_PREFERENCE: Final = 4.0
# Added to the utilisation of endpoints in other failure domains: endpoints in
# the own domain are preferred while they are less than this share fuller.
REMOTE_PENALTY: Final = 0.2


@dataclass(frozen=True, slots=True)
class Placement:
    """The chosen endpoint, and whether a batch run must be preempted."""

    endpoint: Endpoint
    preempt_batch: bool


@dataclass(frozen=True, slots=True)
class Group:
    """Endpoints that are compared with each other."""

    endpoints: Sequence[Endpoint]
    # Whether a batch run may make way for the request.
    may_preempt: bool = True


@dataclass(frozen=True, slots=True)
class PlacementPolicy:
    """Chooses endpoints by load, failure domain and random jitter."""

    failure_domain: str
    generator: random.Random
    loads: LoadTable
    # None if endpoints of all failure domains are compared.
    shares: DomainShares | None = None
    # None if entries differ by chance alone.
    preference: EndpointPreference | None = None
    # None if the endpoints of a service are taken for equally fast.
    speeds: EndpointSpeeds | None = None

    def choose(
        self,
        candidates: Sequence[Endpoint],
        max_queued: int,
        paused: Collection[str] = (),
        route: Route | None = None,
    ) -> Placement | None:
        """Return the placement of an online request, or None if all are full.

        `max_queued` online requests beyond its slots may be given to each
        endpoint. `paused` are the ids of endpoints that have asked for a pause.
        """
        if not candidates:
            return None
        if self.speeds is None or route is None:
            return self.choose_among(candidates, max_queued, paused)
        forecast = Forecast.of(self.speeds, candidates[0].service, route)
        placements = (
            self.choose_among(group, max_queued, paused, forecast)
            for group in forecast.by_needs(
                candidates, self.loads.online, paused
            )
        )
        return next((one for one in placements if one is not None), None)

    def choose_among(
        self,
        candidates: Sequence[Endpoint],
        max_queued: int,
        paused: Collection[str],
        forecast: Forecast | None = None,
    ) -> Placement | None:
        """Return the placement on one of some endpoints, None if all are full.

        A slot of any failure domain goes before the endpoints' own queues,
        except for a slow one.
        """
        groups = self.groups(candidates, paused)
        for group in groups:
            placement = self.choose_slot(
                group.endpoints, paused, may_preempt=group.may_preempt
            )
            if placement is not None:
                if forecast is None:
                    return placement
                queues = self.fitting(
                    without(paused, group.endpoints), max_queued
                )
                return self.quicker(forecast, placement, queues)
        reachable = [one for group in groups for one in group.endpoints]
        fitting = self.fitting(reachable, max_queued)
        if not fitting:
            return None
        preferred = without(paused, fitting)
        best = min(preferred, key=self.online_utilisation)
        return Placement(best, preempt_batch=False)

    def fitting(
        self, candidates: Sequence[Endpoint], max_queued: int
    ) -> list[Endpoint]:
        """Return the endpoints whose own queues have room."""
        return [
            one
            for one in candidates
            if self.loads.online(one.endpoint_id) < one.slots + max_queued
        ]

    def quicker(
        self,
        forecast: Forecast,
        placement: Placement,
        queues: Sequence[Endpoint],
    ) -> Placement:
        """Return the placement in a queue if that is quicker than the slot."""
        full = [
            one
            for one in queues
            if self.loads.online(one.endpoint_id) >= one.slots
        ]
        queue = forecast.quicker_queue(
            placement.endpoint, full, self.loads.online
        )
        return Placement(queue, preempt_batch=False) if queue else placement

    def groups(
        self, candidates: Sequence[Endpoint], paused: Collection[str]
    ) -> Sequence[Group]:
        """Return the endpoints in groups, the preferred ones first.

        Endpoints of a service that has few in the own domain are one group.

        A free slot of a domain with room goes before one of the own domain
        that batch work holds: a run that is cut is read again. Groups in which all endpoints have asked for a pause come last.
        """
        service = candidates[0].service
        if self.shares is None or not self.shares.is_local(service):
            return (Group(candidates),)
        asked = self.shares.groups(candidates)
        groups = [
            Group(asked.named, may_preempt=False),
            Group(asked.near, may_preempt=False),
            Group(asked.spare, may_preempt=False),
            Group(asked.near),
            *(Group(others) for others in asked.others),
        ]
        return sorted(
            (group for group in groups if group.endpoints),
            key=lambda group: all(
                one.endpoint_id in paused for one in group.endpoints
            ),
        )

    def choose_slot(
        self,
        candidates: Sequence[Endpoint],
        paused: Collection[str],
        *,
        may_preempt: bool = True,
    ) -> Placement | None:
        """Return a placement on a free or preemptible slot, or None."""
        free = [
            one
            for one in candidates
            if self.loads.total(one.endpoint_id) < one.slots
        ]
        if free:
            preferred = without(paused, free)
            return Placement(
                min(preferred, key=self.utilisation), preempt_batch=False
            )
        held = [
            one
            for one in candidates
            if self.loads.online(one.endpoint_id) < one.slots
        ]
        if not held or not may_preempt:
            return None
        preferred = without(paused, held)
        best = min(preferred, key=self.online_utilisation)
        return Placement(best, preempt_batch=True)

    def utilisation(self, endpoint: Endpoint) -> float:
        """Return the share of slots in use plus the penalties."""
        used = self.loads.total(endpoint.endpoint_id) / endpoint.slots
        return used + self.penalty(endpoint)

    def online_utilisation(self, endpoint: Endpoint) -> float:
        """Return the share of slots used online plus the penalties."""
        used = self.loads.online(endpoint.endpoint_id) / endpoint.slots
        return used + self.penalty(endpoint)

    def pace(self, endpoint: Endpoint) -> float:
        """Return how long requests hold a slot there, 1 at the median."""
        return self.speeds.pace(endpoint) if self.speeds else 1.0

    def penalty(self, endpoint: Endpoint) -> float:
        """Return the penalties for slowness and for a remote domain."""
        penalty = self.locality_penalty(endpoint)
        if self.speeds is not None:
            penalty += slowness_penalty(
                self.speeds, endpoint, self.speeds.now()
            )
        return penalty

    def locality_penalty(self, endpoint: Endpoint) -> float:
        """Return the penalty for a remote failure domain plus a tie-break.

        That is random, or the entry's own order of the endpoints.
        """
        remote = endpoint.failure_domain != self.failure_domain
        penalty = REMOTE_PENALTY if remote else 0
        if self.preference is not None:
            rank = self.preference.rank(endpoint.endpoint_id)
            weight = REMOTE_PREFERENCE if remote else PREFERENCE
            return rank * weight / endpoint.slots + penalty
        jitter = MIN_JITTER + JITTER_PER_PEER * len(self.loads.peers)
        tie_break = self.generator.random() * min(jitter, MAX_JITTER)
        return tie_break / endpoint.slots + penalty


def without(
    paused: Collection[str], endpoints: Sequence[Endpoint]
) -> Sequence[Endpoint]:
    """Return the endpoints that are not paused, or all if all are."""
    remaining = [one for one in endpoints if one.endpoint_id not in paused]
    return remaining or endpoints
