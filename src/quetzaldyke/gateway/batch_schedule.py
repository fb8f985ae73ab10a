"""When batch items start, and which of them yield to online requests.

Load pattern: batch items run for seconds on engines whose slots online
bursts need within milliseconds, and several entries fill the same slots.

Items start on every free slot, the job that is due first before the others.
When there is too much work, items whose job can't be on time any more go
behind those whose job can. All entries see the same free slots at the same
moment, so each takes only its share of them until the next news. When an
engine holds more requests than slots, the entry with most batch runs there
stops some; a stopped item goes on later after its last event.

An endpoint may fail part of its requests while it seems healthy. An item
that failed there runs at others, so that its few attempts don't all go to
the same fault.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Final

from quetzaldyke.gateway.loads import LoadTable
from quetzaldyke.gateway.model import Endpoint

# Assumed until the first runs have ended.
DEFAULT_EVENTS: Final = 100.0
DEFAULT_EVENT_S: Final = 0.02
# Weight of the latest run in the moving averages.
TIMES_WEIGHT: Final = 0.1
# An item that has passed the usual length is taken to be near its end.
MIN_LEFT_SHARE: Final = 0.1


@dataclass(frozen=True, slots=True)
class Candidate:
    """An item that could start now."""

    job_id: str
    item: int
    # Unix time at which its job is due.
    due_ms: float
    events_done: int
    # Whether it can't be done any more when its job is due.
    late: bool
    # Endpoints at which it has failed.
    failed_at: frozenset[str] = frozenset()


def start_order(candidates: Iterable[Candidate]) -> list[Candidate]:
    """Return the items in the order in which they should start.

    >>> early = Candidate('a', 0, due_ms=1.0, events_done=0, late=True)
    >>> later = Candidate('a', 0, due_ms=9.0, events_done=0, late=False)
    >>> begun = Candidate('b', 0, due_ms=5.0, events_done=7, late=False)
    >>> fresh = Candidate('b', 1, due_ms=5.0, events_done=0, late=False)
    >>> ordered = start_order([early, later, fresh, begun])
    >>> ordered == [begun, fresh, later, early]
    True
    """
    return sorted(
        candidates,
        key=lambda one: (
            one.late,
            one.due_ms,
            -one.events_done,
            one.job_id,
            one.item,
        ),
    )


def pair(
    candidates: Iterable[Candidate],
    rooms: Sequence[Endpoint],
    usable: Collection[str],
) -> list[tuple[Candidate, Endpoint]]:
    """Give the free slots to the items, in order.

    An item stays away from endpoints at which it has failed while there is
    a usable one at which it has not.
    """
    left = list(rooms)
    pairs: list[tuple[Candidate, Endpoint]] = []
    for candidate in candidates:
        if not left:
            break
        avoided = candidate.failed_at
        if avoided.issuperset(usable):
            avoided = frozenset()
        found = next(
            (one for one in left if one.endpoint_id not in avoided),
            None,
        )
        if found is not None:
            left.remove(found)
            pairs.append((candidate, found))
    return pairs


@dataclass(slots=True)
class RunTimes:
    """How long whole runs take, learned from those that ended.

    >>> times = RunTimes()
    >>> times.note(events=200, lasted_s=4.0)
    >>> times.left_s(events_done=0) > times.left_s(events_done=100) > 0
    True
    """

    events: float = DEFAULT_EVENTS
    event_s: float = DEFAULT_EVENT_S

    def note(self, events: int, lasted_s: float) -> None:
        """A run without a break produced this many events."""
        if not events:
            return
        self.events += TIMES_WEIGHT * (events - self.events)
        pace_s = lasted_s / events
        self.event_s += TIMES_WEIGHT * (pace_s - self.event_s)

    def left_s(self, events_done: int) -> float:
        """Return how long an item that has got so far still takes."""
        left = max(self.events - events_done, MIN_LEFT_SHARE * self.events)
        return left * self.event_s


@dataclass(frozen=True, slots=True)
class Demand:
    """Batch items that could start now, here and at the other entries."""

    own: int
    elsewhere: int
    # How old the news about other entries may be.
    news_age_s: float


@dataclass(frozen=True, slots=True)
class BatchPolicy:
    """Room for batch items, as one entry sees it."""

    own_id: str
    loads: LoadTable
    generator: random.Random
    # When the free slots of an endpoint were shared out last.
    shared_s: dict[str, float] = field(default_factory=dict)

    def rooms(
        self,
        endpoints: Sequence[Endpoint],
        demand: Demand,
        now_s: float,
    ) -> list[Endpoint]:
        """Return an endpoint for each item that may start now.

        The emptiest endpoints come first. Free slots that other entries
        want too are shared out once for each round of news.
        """
        places: list[tuple[int, float, Endpoint]] = []
        for endpoint in endpoints:
            room = self.room(endpoint)
            if not room or self.is_shared_out(endpoint, demand, now_s):
                continue
            self.shared_s[endpoint.endpoint_id] = now_s
            for number in range(self.share_of(room, demand)):
                draw = self.generator.random()
                places.append((number - room, draw, endpoint))
        places.sort(key=lambda place: place[:2])
        return [place[2] for place in places]

    def is_shared_out(
        self,
        endpoint: Endpoint,
        demand: Demand,
        now_s: float,
    ) -> bool:
        """Tell whether others may just have taken the same free slots."""
        if not demand.elsewhere:
            return False
        shared_s = self.shared_s.get(endpoint.endpoint_id, 0.0)
        return now_s - shared_s < demand.news_age_s

    def room(self, endpoint: Endpoint) -> int:
        """Return the slots of an endpoint that batch items may take."""
        used = self.loads.total(endpoint.endpoint_id)
        return max(0, endpoint.slots - used)

    def share_of(self, room: int, demand: Demand) -> int:
        """Return this entry's share of free slots, rounded by lot."""
        exact = room * demand.own / max(1, demand.own + demand.elsewhere)
        whole = int(exact)
        return whole + (self.generator.random() < exact - whole)

    def surplus(self, endpoint_id: str, slots: int) -> int:
        """Return how many own batch runs must leave an endpoint."""
        own = self.loads.own_counts(endpoint_id).batch
        excess = self.loads.total(endpoint_id) - slots
        if excess <= 0 or not own:
            return 0
        peers = self.loads.batch_peers(endpoint_id)
        if peers and peers[0] > (own, self.own_id):
            return 0
        return min(own, excess)
