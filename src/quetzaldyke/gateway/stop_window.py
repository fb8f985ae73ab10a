"""Decides which requests an entry that is being stopped still takes.

Load pattern: during the grace time of a planned stop the load balancer sends
connections for some seconds more, and callers go on using open ones. A request
that can't end before the entry leaves would be cut, and one that may run once
could not be sent again. It is refused at once instead, as not run.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, field
from typing import Final

# Requests of a route whose duration is remembered.
REMEMBERED_REQUESTS: Final = 64
# A request may take this much longer than the longest one remembered.
DURATION_MARGIN: Final = 1.25
# Share of its time limit that a request of an unknown route is assumed to
# take, as limits are far above usual durations.
UNKNOWN_SHARE: Final = 0.5


@dataclass(slots=True)
class StopWindow:
    """How long an entry stays, and how long the requests of each route take.

    >>> window = StopWindow()
    >>> window.note_served('r', 2.0)
    >>> window.leaves_at_s = 10.0
    >>> window.fits('r', deadline_s=99.0, now_s=7.0)
    True
    >>> window.fits('r', deadline_s=99.0, now_s=8.0)
    False
    >>> window.fits('r', deadline_s=9.9, now_s=8.0)
    True
    """

    # Monotonic times; infinite unless the entry is being stopped.
    leaves_at_s: float = math.inf
    # When new connections go to other entries.
    deregistered_at_s: float = math.inf
    durations_s: dict[str, deque[float]] = field(default_factory=dict)

    def note_served(self, route: str, duration_s: float) -> None:
        """Remember how long a request took."""
        known = self.durations_s.get(route)
        if known is None:
            known = deque(maxlen=REMEMBERED_REQUESTS)
            self.durations_s[route] = known
        known.append(duration_s)

    def keep_routes(self, routes: Collection[str]) -> None:
        """Forget the routes that a new configuration lacks."""
        for route in self.durations_s.keys() - set(routes):
            del self.durations_s[route]

    def fits(self, route: str, deadline_s: float, now_s: float) -> bool:
        """Return whether a request ends before the entry leaves.

        It ends at its deadline at the latest. What is known of its route
        goes before a share of that time.
        """
        if deadline_s <= self.leaves_at_s:
            return True
        known = self.durations_s.get(route)
        if known:
            expected_s = max(known) * DURATION_MARGIN
        else:
            expected_s = (deadline_s - now_s) * UNKNOWN_SHARE
        return now_s + expected_s <= self.leaves_at_s

    def retry_after_s(self, now_s: float) -> float:
        """Return when a new connection reaches another entry."""
        return max(0.0, self.deregistered_at_s - now_s)
