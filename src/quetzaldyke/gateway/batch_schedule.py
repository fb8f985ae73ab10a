"""When batch items start, and which of them make room for online requests.

Load pattern: batch items run for seconds on engines whose slots online
bursts need within milliseconds, and several entries fill the same slots.

Items start on slots that stay free beyond a reserve, the job that is due
first before the others. All entries see the same free slots at the same
moment, so each takes only its share of them until the next news. When an
engine holds more requests than slots, the entry with most batch runs there
stops some; a stopped item goes on later after its last event.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from quetzaldyke.gateway.loads import LoadTable
from quetzaldyke.gateway.model import Endpoint

# Slots of each engine that stay free for the next online request.
RESERVED_SLOTS: Final = 0


@dataclass(frozen=True, slots=True)
class Candidate:
    """An item that could start now."""

    job_id: str
    item: int
    # Unix time at which its job is due.
    due_ms: float
    events_done: int


def start_order(candidates: Iterable[Candidate]) -> list[Candidate]:
    """Return the items in the order in which they should start.

    >>> late = Candidate('a', 0, due_ms=9.0, events_done=0)
    >>> begun = Candidate('b', 0, due_ms=5.0, events_done=7)
    >>> fresh = Candidate('b', 1, due_ms=5.0, events_done=0)
    >>> start_order([late, fresh, begun]) == [begun, fresh, late]
    True
    """
    return sorted(
        candidates,
        key=lambda one: (one.due_ms, -one.events_done, one.job_id, one.item),
    )


@dataclass(frozen=True, slots=True)
class BatchPolicy:
    """Room for batch items, as one entry sees it."""

    own_id: str
    loads: LoadTable
    generator: random.Random

    def rooms(
        self,
        endpoints: Sequence[Endpoint],
        entries: int,
    ) -> list[Endpoint]:
        """Return an endpoint for each item that may start now.

        The emptiest endpoints come first.
        """
        places: list[tuple[int, float, Endpoint]] = []
        for endpoint in endpoints:
            room = self.room(endpoint)
            for number in range(self.share_of(room, entries)):
                draw = self.generator.random()
                places.append((number - room, draw, endpoint))
        places.sort(key=lambda place: place[:2])
        return [place[2] for place in places]

    def room(self, endpoint: Endpoint) -> int:
        """Return the slots of an endpoint that batch items may take."""
        used = self.loads.total(endpoint.endpoint_id)
        return max(0, endpoint.slots - RESERVED_SLOTS - used)

    def share_of(self, room: int, entries: int) -> int:
        """Return this entry's share of free slots, rounded by lot."""
        exact = room / max(1, entries)
        whole = int(exact)
        return whole + (self.generator.random() < exact - whole)

    def surplus(self, endpoint_id: str, slots: int) -> int:
        """Return how many own batch runs must leave an endpoint."""
        own = self.loads.own_of(endpoint_id).batch
        excess = self.loads.total(endpoint_id) - slots
        if excess <= 0 or not own:
            return 0
        peers = self.loads.batch_peers(endpoint_id)
        if peers and peers[0] > (own, self.own_id):
            return 0
        return min(own, excess)
