"""The requests of one organisation at one entry that wait for permits."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Final

from result import Ok, Result

from quetzaldyke.gateway.model import Organisation
from quetzaldyke.parts.fleet_rate import SparePermits


@dataclass(frozen=True, slots=True)
class RateRefusal:
    """Why a request was refused: its organisation's rate is used up."""

    retry_after_s: float


Admission = Result[None, RateRefusal]
ADMITTED: Final[Admission] = Ok(None)
# Takes the organisation of a request and its deadline.
RateLimiter = Callable[[Organisation | None, float], Awaitable[Admission]]


async def admit_all(
    organisation: Organisation | None, deadline_s: float
) -> Admission:
    """Admit every request."""
    return ADMITTED


@dataclass(eq=False, slots=True)
class Waiter:
    """A request that waits for a permit."""

    decide: Callable[[Admission], None]
    deadline_s: float


@dataclass(slots=True)
class Demand:
    """The requests of one organisation at this entry."""

    organisation: Organisation
    spare: SparePermits
    waiters: deque[Waiter] = field(default_factory=deque)
    # When the permits expire that came after their requests had left.
    permits_s: deque[float] = field(default_factory=deque)
    # The latest ask, the requests that it asks for, 0 if it was answered, and
    # when it was made and last sent.
    number: int = 0
    asked: int = 0
    asked_s: float = -math.inf
    sent_s: float = -math.inf
    # Until when there is no token, and when the next refused request may be
    # sent again.
    closed_until_s: float = -math.inf
    told_s: float = 0.0

    def take_permit(self, now_s: float) -> bool:
        """Use a permit that is left; return whether there was one."""
        while self.permits_s and self.permits_s[0] < now_s:
            self.permits_s.popleft()
        if not self.permits_s:
            return False
        self.permits_s.popleft()
        return True

    def idle(self, now_s: float) -> bool:
        """Return whether nothing has to be kept."""
        window_s = self.spare.window_s
        used_s = max(self.spare.used_s, default=-math.inf)
        active_s = max(self.asked_s, self.closed_until_s, used_s)
        return not self.waiters and now_s - active_s > window_s
