"""Decides who is served first after an entry, or a whole fleet, has started.

Load pattern: all entries of a fleet end at once and start again on small
machines. Their callers connect again within a fraction of a second and wait in
the backlog of the listeners while the processes import. All entries then read
the same keys of the store at once, and the jobs of all earlier processes have
no owner.

A caller that arrives before the entry knows the configuration and the
endpoints waits for them for as long as it can still be on time; all others are
refused at once as not run. The time that a request has waited in the backlog
counts as part of its time. Batch jobs begin when no online request waits any
more, or after a longest delay.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

# The store usually answers within milliseconds. A caller that has waited for
# longer than this misses the usual objectives for a first answer, and the
# store is then taken to be away.
MAX_LOADING_S: Final = 0.6
# Share of its remaining time that a request waits for the configuration; the
# rest is for its answer.
WAIT_SHARE: Final = 0.6
# Connections that are accepted later after the start have not waited for it.
BACKLOG_WINDOW_S: Final = 2.0
# A longer wait than any start takes is a clock or kernel at fault.
MAX_BACKLOG_S: Final = 10.0
# Batch jobs begin at the earliest this long after callers are accepted, so
# that those of the backlog have been read, and at the latest after the second
# time: a job is owed too, and online load may never end.
MIN_BATCH_DELAY_S: Final = 0.3
MAX_BATCH_DELAY_S: Final = 3.0


@dataclass(frozen=True, slots=True)
class StartPolicy:
    """Decides by the time since an entry's start."""

    started_s: float

    def loading_wait_s(self, now_s: float, remaining_s: float | None) -> float:
        """Return how long a request waits for the configuration.

        `remaining_s` is what is left of the time that the caller states; None
        if it states none. 0 means that it is refused at once.

        >>> policy = StartPolicy(started_s=10.0)
        >>> policy.loading_wait_s(10.5, None) > 0
        True
        >>> policy.loading_wait_s(11.0, None)
        0.0
        """
        wait_s = self.started_s + MAX_LOADING_S - now_s
        if remaining_s is not None:
            wait_s = min(wait_s, remaining_s * WAIT_SHARE)
        return max(0.0, wait_s)

    def backlog_s(self, accepted_s: float, measured_s: float) -> float:
        """Return how long a connection has waited to be accepted.

        `measured_s` is the time since its last bytes came, by the system. It
        is not used for later connections: they are accepted at once, and a
        process that was paused must not find that all its requests are old.
        """
        if accepted_s - self.started_s > BACKLOG_WINDOW_S:
            return 0.0
        return measured_s if measured_s <= MAX_BACKLOG_S else 0.0

    def may_begin_batch(
        self, now_s: float, accepting_since_s: float, waiting: int
    ) -> bool:
        """Return whether batch jobs may begin.

        `waiting` is the number of online requests that wait for an endpoint.
        """
        open_s = now_s - accepting_since_s
        if open_s >= MAX_BATCH_DELAY_S:
            return True
        return open_s >= MIN_BATCH_DELAY_S and not waiting
