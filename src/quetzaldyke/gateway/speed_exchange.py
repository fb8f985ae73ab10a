"""Shares the paces of uneven endpoints with the other entries.

Load pattern: each of many entries gets few answers of each endpoint, so one
that turns slow costs every entry some requests before it knows. Entries
therefore send what they have measured themselves, never what they have heard:
an outdated figure that passes between entries would confirm itself. A message
goes to a few random entries now and then. It has rows only of endpoints that
differ from the median; a lost one is made up for by the next.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field
from typing import Any, Final

from quetzaldyke.gateway.endpoint_speeds import (
    MAX_PACE,
    MIN_PACE,
    EndpointSpeed,
    EndpointSpeeds,
)
from quetzaldyke.gateway.endpoints import EndpointTable
from quetzaldyke.process.metrics import Metrics

# Time between two messages. A slow endpoint is slow for some seconds.
SHARE_S: Final = 2.0
# Entries that get a message. All others together send as many to each.
RECEIVERS: Final = 8
# Rows of one message, the most uneven endpoints first.
MAX_ROWS: Final = 32
MAX_LIFETIME_CHARS: Final = 256
# Endpoints whose pace differs from the median by less are not worth a row.
SHARED_RATIO: Final = 1.2
# An endpoint is logged as slow or fast from this ratio to the median on, and
# as usual again below the ratio above.
LOGGED_RATIO: Final = 1.6
# Bound of the lines that one refresh logs.
MAX_LOGGED: Final = 20


@dataclass(frozen=True, slots=True)
class SpeedUpdate:
    """Paces that the sender has measured, by lifetime of the endpoint."""

    sender: str
    paces: tuple[tuple[str, float], ...]


def decode_speed_update(sender: str, content: Any) -> SpeedUpdate:
    """Decode the content of an update; raises `ValueError` if malformed."""
    if not isinstance(content, list) or len(content) > MAX_ROWS:
        raise ValueError('no list of paces')
    return SpeedUpdate(sender, tuple(decode_row(*row) for row in content))


def decode_row(lifetime: Any, pace: Any) -> tuple[str, float]:
    """Decode the pace of one endpoint; raises `ValueError` if malformed."""
    if not isinstance(lifetime, str) or len(lifetime) > MAX_LIFETIME_CHARS:
        raise ValueError('no lifetime')
    if not isinstance(pace, float) or not MIN_PACE <= pace <= MAX_PACE:
        raise ValueError('no pace')
    return lifetime, pace


def unevenness(speed: EndpointSpeed) -> float:
    """Return by which factor an endpoint differs from the median."""
    return max(speed.pace, 1 / speed.pace)


@dataclass(slots=True)
class SpeedExchange:
    """Keeps the speeds up to date, and exchanges them with the peers."""

    own_id: str
    speeds: EndpointSpeeds
    table: EndpointTable
    # Returns the ids of the other entries.
    peers: Callable[[], Collection[str]]
    send: Callable[[Iterable[str], SpeedUpdate], None]
    generator: random.Random
    log_event: Callable[..., None] = lambda name, **fields: None
    # Counts an event of the metric `endpoint_speeds_total`.
    count: Callable[[str], None] = lambda event: None
    shared_s: float = -math.inf
    # Endpoints that were logged as slow or fast, by id.
    logged: dict[str, str] = field(default_factory=dict)

    def connect(self, metrics: Metrics, log_event: Callable[..., None]) -> None:
        """Log and count what is learned."""

        def count(event: str) -> None:
            metrics.count('endpoint_speeds_total', event=event)

        self.log_event = self.speeds.log_event = log_event
        self.count = self.speeds.count = count
        metrics.gauge('answer_durations', lambda: float(self.speeds.recorded))
        metrics.gauge('uneven_endpoints', lambda: float(len(self.logged)))

    async def tick(self) -> None:
        """Refresh the speeds, and send them if that is due."""
        self.speeds.refresh(
            (service, [one.endpoint for one in tracked])
            for service, tracked in self.table.by_service.items()
        )
        self.log_changes()
        now_s = self.speeds.now()
        if now_s - self.shared_s >= SHARE_S:
            self.share(now_s)

    def share(self, now_s: float) -> None:
        """Send the paces that were measured since the last message."""
        measured = [
            speed
            for speed in self.speeds.by_id.values()
            if speed.measured_s > self.shared_s
            and unevenness(speed) > SHARED_RATIO
        ]
        self.shared_s = now_s
        peers = sorted(self.peers())
        if not measured or not peers:
            return
        measured.sort(key=unevenness, reverse=True)
        paces = tuple(
            (speed.endpoint.lifetime, speed.pace)
            for speed in measured[:MAX_ROWS]
        )
        receivers = self.generator.sample(peers, min(RECEIVERS, len(peers)))
        self.send(receivers, SpeedUpdate(self.own_id, paces))
        self.count('sent')

    def apply(self, update: SpeedUpdate) -> None:
        """Apply what a peer has measured of registered endpoints."""
        self.count('heard')
        for lifetime, pace in update.paces:
            endpoint_id, _, _ = lifetime.rpartition('@')
            tracked = self.table.by_id.get(endpoint_id)
            if tracked is not None and tracked.endpoint.lifetime == lifetime:
                self.speeds.hear(tracked.endpoint, pace)

    def log_changes(self) -> None:
        """Log the endpoints that have turned slow, fast or usual."""
        states: dict[str, str] = {}
        lines = 0
        for endpoint_id, speed in self.speeds.by_id.items():
            before = self.logged.get(endpoint_id, 'usual')
            ratio = SHARED_RATIO if before != 'usual' else LOGGED_RATIO
            state = 'usual'
            if unevenness(speed) > ratio:
                state = 'slow' if speed.pace > 1 else 'fast'
            if state != before and lines < MAX_LOGGED:
                lines += 1
                self.log_event(
                    'endpoint_speed',
                    endpoint=endpoint_id,
                    service=speed.endpoint.service,
                    state=state,
                    pace=round(speed.pace, 2),
                )
            if state != 'usual':
                states[endpoint_id] = state
        self.logged = states
