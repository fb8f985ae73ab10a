"""Learns how fast each endpoint works, from its answers.

Load pattern: the endpoints of a service differ by factors in the time that
each step takes, some turn many times slower for seconds, and what they state
of the moment changes many times a second. Placement by free slots sends most
new requests to where the slots of slow endpoints are still free.

The pace of an endpoint is the time that work takes there, relative to the
median of its service. It follows from the durations of its answers, each
compared with the usual duration of its kind. One duration changes it little,
however long it was, and it returns to the median while nothing confirms it:
an endpoint that was slow is tried again, and one that starts gets as much as
an ordinary one. What an endpoint states of the moment counts while it is
young, and only against what it usually states, so that a constant lie has no
effect.
"""

from __future__ import annotations

import math
import statistics
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from itertools import repeat
from typing import Final, Literal

from quetzaldyke.gateway.model import Endpoint, Installation, StatedLoad

# What a duration measures: the wait for the first event of a stream, the pause
# between its events, a whole answer of another kind, a whole stream.
Kind = Literal['first', 'pause', 'whole', 'stream']

# Weight of the latest duration in the pace. Prompts and answers differ in
# length, pauses hardly do; the length of streams says nothing of the pace.
WEIGHTS: Final[dict[Kind, float]] = {
    'first': 0.05,
    'pause': 0.2,
    'whole': 0.1,
    'stream': 0.0,
}
# Weight of the latest duration in the usual one of its kind.
USUAL_WEIGHT: Final = 0.02
# A duration counts as this many times the expected one at most, and as the
# inverse at least.
MAX_CHANGE: Final = 3.0
MIN_PACE: Final = 0.1
MAX_PACE: Final = 20.0
# Age at which a statement about the moment says nothing any more.
STATEMENT_S: Final = 0.2
# Bounds of what a statement changes, in either direction.
MAX_STATED: Final = 4.0
# Weight of the latest statement in what an endpoint usually states.
STATED_WEIGHT: Final = 0.05
# Time in which an unconfirmed pace becomes its square root. An endpoint that
# was very slow for some seconds is then tried again soon, while one that always
# takes somewhat longer is tried less often.
HALF_LIFE_S: Final = 8.0
# A pace that was confirmed this recently does not fade.
CONFIRMED_S: Final = 1.0
# Weight of the pace that a peer has measured where this entry has not.
PEER_WEIGHT: Final = 0.5
# Endpoints whose unreadable statements are logged once each.
MAX_LOGGED_UNREADABLE: Final = 1_000


@dataclass(slots=True)
class EndpointSpeed:
    """What is known of the speed of one lifetime of an endpoint."""

    endpoint: Endpoint
    pace: float = 1.0
    # The pace when answers have last confirmed it, which does not fade.
    confirmed: float = 1.0
    # When an own answer, or one of a peer, last confirmed the pace.
    measured_s: float = -math.inf
    heard_s: float = -math.inf
    # What the endpoint has stated last, and usually states.
    stated: float = 1.0
    usually_stated: float = 1.0
    waiting: int = 0
    stated_s: float = -math.inf

    def moment(self, now_s: float) -> float:
        """Return the stated slowness of the moment, 1 if none is young."""
        if now_s - self.stated_s > STATEMENT_S:
            return 1.0
        relative = self.stated / self.usually_stated
        return max(1 / MAX_STATED, min(MAX_STATED, relative))

    def stated_waiting(self, now_s: float) -> int:
        """Return the stated number of waiting requests, 0 if not young."""
        if now_s - self.stated_s > STATEMENT_S:
            return 0
        return min(self.waiting, self.endpoint.slots)

    def note_statement(self, load: StatedLoad, now_s: float) -> None:
        """Record a statement."""
        self.waiting = load.waiting
        self.stated_s = now_s
        # Without a figure, the moment is as it usually is.
        self.stated = self.usually_stated
        if load.slowness is not None:
            self.stated = load.slowness
            change = load.slowness - self.usually_stated
            self.usually_stated += STATED_WEIGHT * change

    def move(self, pace: float, weight: float) -> None:
        """Move the pace towards a measured one, within bounds."""
        nearest = max(self.pace / MAX_CHANGE, min(self.pace * MAX_CHANGE, pace))
        moved = self.pace + weight * (nearest - self.pace)
        self.pace = self.confirmed = max(MIN_PACE, min(MAX_PACE, moved))

    def fade(self, elapsed_s: float, now_s: float) -> None:
        """Bring an unconfirmed pace nearer to the median."""
        if now_s - max(self.measured_s, self.heard_s) > CONFIRMED_S:
            self.pace **= 0.5 ** (elapsed_s / HALF_LIFE_S)


@dataclass(slots=True)
class EndpointSpeeds:
    """The speeds of all endpoints that answers have come from."""

    now: Callable[[], float]
    by_id: dict[str, EndpointSpeed] = field(default_factory=dict)
    # Usual durations at the median pace, by service and kind.
    usual_s: dict[tuple[str, Kind], float] = field(default_factory=dict)
    # Number of durations that were recorded.
    recorded: int = 0
    refreshed_s: float = -math.inf
    log_event: Callable[..., None] = lambda name, **fields: None
    # Counts an event of the metric `endpoint_speeds_total`.
    count: Callable[[str], None] = lambda event: None
    # Ids of endpoints whose unreadable statements were logged.
    unreadable: set[str] = field(default_factory=set)

    @classmethod
    def from_installation(
        cls, installation: Installation, now: Callable[[], float]
    ) -> EndpointSpeeds | None:
        """Return the speeds; None if an entry's settings don't ask for them."""
        return cls(now) if installation.options.by_speed else None

    def known(self, endpoint: Endpoint) -> EndpointSpeed | None:
        """Return the speed of this lifetime of an endpoint, if known."""
        speed = self.by_id.get(endpoint.endpoint_id)
        if speed is None or speed.endpoint.started_ms != endpoint.started_ms:
            return None
        return speed

    def of(self, endpoint: Endpoint) -> EndpointSpeed:
        """Return the speed of an endpoint, the median pace if it is new."""
        speed = self.known(endpoint)
        if speed is None:
            speed = EndpointSpeed(endpoint)
            self.by_id[endpoint.endpoint_id] = speed
        return speed

    def pace(self, endpoint: Endpoint) -> float:
        """Return the standing pace of an endpoint."""
        speed = self.known(endpoint)
        return speed.pace if speed else 1.0

    def confirmed_pace(self, endpoint: Endpoint) -> float:
        """Return the pace of an endpoint that answers have last confirmed."""
        speed = self.known(endpoint)
        return speed.confirmed if speed else 1.0

    def slowness(self, endpoint: Endpoint, now_s: float) -> float:
        """Return how long work takes at an endpoint now, 1 at the median."""
        speed = self.known(endpoint)
        return speed.pace * speed.moment(now_s) if speed else 1.0

    def note_unreadable(self, endpoint: Endpoint, reason: str) -> None:
        """Count a statement that says nothing; log an endpoint's first one."""
        self.count('unreadable')
        endpoint_id = endpoint.endpoint_id
        if (
            endpoint_id in self.unreadable
            or len(self.unreadable) >= MAX_LOGGED_UNREADABLE
        ):
            return
        self.unreadable.add(endpoint_id)
        self.log_event('load_unreadable', endpoint=endpoint_id, reason=reason)

    def record(self, endpoint: Endpoint, kind: Kind, duration_s: float) -> None:
        """Learn from a duration of an answer that has just ended."""
        now_s = self.now()
        speed = self.of(endpoint)
        key = endpoint.service, kind
        usual_s = self.usual_s.get(key)
        self.recorded += 1
        if duration_s <= 0:
            return
        if usual_s is None:
            self.usual_s[key] = duration_s / speed.pace
            return
        pace = duration_s / usual_s / speed.moment(now_s)
        change = max(1 / MAX_CHANGE, min(MAX_CHANGE, pace / speed.pace))
        self.usual_s[key] = usual_s * (1 + USUAL_WEIGHT * (change - 1))
        if WEIGHTS[kind]:
            speed.move(pace, WEIGHTS[kind])
            speed.measured_s = now_s

    def hear(self, endpoint: Endpoint, pace: float) -> None:
        """Apply the pace that a peer has measured.

        Own answers that are recent tell more of what this entry will meet.
        """
        now_s = self.now()
        speed = self.of(endpoint)
        if now_s - speed.measured_s > CONFIRMED_S:
            speed.move(pace, PEER_WEIGHT)
            speed.heard_s = now_s

    def refresh(self, services: Iterable[tuple[str, list[Endpoint]]]) -> None:
        """Forget with time, drop absent endpoints, and find the medians.

        `services` are all services with their registered endpoints.
        """
        now_s = self.now()
        elapsed_s = max(0.0, now_s - self.refreshed_s)
        self.refreshed_s = now_s
        by_id: dict[str, EndpointSpeed] = {}
        present = set()
        for service, endpoints in services:
            present.add(service)
            known = [one for one in map(self.known, endpoints) if one]
            for speed in known:
                speed.fade(elapsed_s, now_s)
                by_id[speed.endpoint.endpoint_id] = speed
            if known:
                self.set_median(service, known, len(endpoints) - len(known))
        self.by_id = by_id
        self.usual_s = {
            key: usual_s
            for key, usual_s in self.usual_s.items()
            if key[0] in present
        }

    def set_median(
        self, service: str, known: list[EndpointSpeed], unknown: int
    ) -> None:
        """Scale the paces of a service so that their median is 1.

        Endpoints without a figure count as ordinary: peers only tell of those
        that are not.
        """
        paces = [speed.pace for speed in known]
        median = statistics.median((*paces, *repeat(1.0, unknown)))
        for speed in known:
            speed.pace = max(MIN_PACE, min(MAX_PACE, speed.pace / median))
            speed.confirmed /= median
        for key in self.usual_s:
            if key[0] == service:
                self.usual_s[key] *= median
