"""Chooses the service that runs each batch item of a split route.

Load pattern: the route of a job is split over services by weight, and one of
them has no endpoint left, drains, names a limit, or is far slower or smaller
than its weight asks for, while the others are idle.

Each item belongs to one service, by the weights, so that the split holds
whichever entry owns the job. Services without an endpoint that takes work are
left out; their items belong to the others until one is back. An item that its
service can't do in time goes to another one of the route that has room. Such
an item begins anew there: two services may answer differently, and an output
is never joined from both.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from functools import lru_cache
from typing import Final

from quetzaldyke.gateway.batch_schedule import Candidate
from quetzaldyke.gateway.model import WeightedService
from quetzaldyke.parts.rendezvous import weighted_first_for

MS_IN_S: Final = 1000
# Each pass over the waiting items asks for the choice of every one.
MAX_CACHED_CHOICES: Final = 16_384


@dataclass(frozen=True, slots=True)
class Waiting:
    """An item that is ready to start, and what decides on its service."""

    candidate: Candidate
    item_id: str
    services: tuple[WeightedService, ...]
    # Where the events that it has come from; empty before the first run.
    begun_at: str = ''


def service_of(waiting: Waiting, open_services: Collection[str]) -> str:
    """Return the service that an item belongs to; empty if there is none.

    A begun item stays where it is while that service takes work.
    """
    weights = {share.service: share.weight for share in waiting.services}
    if waiting.begun_at in weights and waiting.begun_at in open_services:
        return waiting.begun_at
    usable = {
        service: weight
        for service, weight in weights.items()
        if service in open_services and weight > 0
    }
    eligible = usable or weights
    if len(eligible) == 1:
        return next(iter(eligible))
    return choose_by_weight(tuple(eligible.items()), waiting.item_id)


@lru_cache(maxsize=MAX_CACHED_CHOICES)
def choose_by_weight(weights: tuple[tuple[str, float], ...], key: str) -> str:
    """Return the service that a key belongs to; empty without services."""
    return weighted_first_for(dict(weights), key) or ''


def by_service(
    items: Iterable[Waiting], open_services: Collection[str]
) -> dict[str, list[Waiting]]:
    """Return the items by the service that each belongs to."""
    grouped: dict[str, list[Waiting]] = {}
    for waiting in items:
        service = service_of(waiting, open_services)
        if service:
            grouped.setdefault(service, []).append(waiting)
    return grouped


@dataclass(frozen=True, slots=True)
class QueueEstimate:
    """How long items wait for a service, from its slots and their run time."""

    # Slots of each service that takes work; those that a limit keeps busy.
    slots: Mapping[str, float]
    run_s: float

    def wait_s(self, service: str, ahead: int) -> float:
        """Return the time until an item ends with others ahead of it."""
        slots = max(self.slots.get(service, 0.0), 1.0)
        return (ahead // slots + 1) * self.run_s


@dataclass(slots=True)
class Overflow:
    """The items that their own service can't do in time, by another one."""

    by_service: dict[str, list[Waiting]] = field(default_factory=dict)

    @classmethod
    def of(
        cls,
        left: Mapping[str, Sequence[Waiting]],
        estimate: QueueEstimate,
        now_ms: float,
    ) -> Overflow:
        """Return where the items that found no slot may go instead.

        Items with events stay: they would lose them.
        """
        overflow = cls()
        for service, items in left.items():
            for ahead, waiting in enumerate(items):
                wait_ms = estimate.wait_s(service, ahead) * MS_IN_S
                late = now_ms + wait_ms > waiting.candidate.due_ms
                if late and not waiting.begun_at:
                    overflow.add(waiting, service, estimate.slots)
        return overflow

    def add(
        self,
        waiting: Waiting,
        service: str,
        open_services: Collection[str],
    ) -> None:
        """Offer an item to the other services of its route."""
        for share in waiting.services:
            other = share.service
            if other != service and share.weight > 0 and other in open_services:
                self.by_service.setdefault(other, []).append(waiting)
