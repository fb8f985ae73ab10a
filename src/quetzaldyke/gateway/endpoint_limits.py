"""Tracks the request rates that endpoints name as their limit.

An endpoint in need names in its responses how many requests a second it takes
from all entries together. Each entry keeps the limits that it has seen itself
or received from their coordinators (`limit_coordinator.py`), and reports every
response of a limited endpoint to its coordinator, which alone decides that a
limit has ended.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from result import Err, Result

from quetzaldyke.gateway.endpoints import EndpointTable
from quetzaldyke.gateway.model import Endpoint

# Interval between log lines about the use of one limited endpoint.
USAGE_INTERVAL_S: Final = 4.0


@dataclass(frozen=True, slots=True)
class LimitAnswer:
    """What one response showed of the limit of an endpoint."""

    # Lifetime of the endpoint.
    key: str
    # Requests per second; None if the response named no limit.
    rate: float | None
    # How long ago the request was sent.
    age_s: float
    # Whether the request had a permit.
    permitted: bool


@dataclass(slots=True)
class KnownLimit:
    """The limit of one endpoint, and this entry's requests to it."""

    endpoint: Endpoint
    # Requests per second.
    rate: float
    # Updates of the coordinator that were due since a response or an update
    # confirmed it last.
    missed_updates: int = 0
    # Coordinator at the last change of the members.
    coordinator: str = ''
    # Requests that this entry has sent since `counted_s`.
    online: int = 0
    batch: int = 0
    counted_s: float = 0.0


@dataclass(slots=True)
class EndpointLimits:
    """The limits that this entry knows of, by lifetime of the endpoint."""

    table: EndpointTable
    # Goes on while the machine is suspended.
    now: Callable[[], float]
    log_event: Callable[..., None] = lambda name, **fields: None
    # Counts an event of the metric `endpoint_limits_total`.
    count: Callable[[str], None] = lambda event: None
    # Notifies the other entries that an endpoint asks for a pause, in seconds.
    on_pause: Callable[[str, float], None] = lambda key, pause_s: None
    # Reports a response of a limited endpoint to its coordinator.
    on_answer: Callable[[LimitAnswer], None] = lambda answer: None
    known: dict[str, KnownLimit] = field(default_factory=dict)

    def rate_of(self, endpoint: Endpoint) -> float | None:
        """Return the limit of an endpoint in requests/s, None without one."""
        if not self.known:
            return None
        limit = self.known.get(endpoint.lifetime)
        return None if limit is None else limit.rate

    def note_sent(self, endpoint: Endpoint, *, online: bool) -> None:
        """Count a request to an endpoint if it has a limit."""
        if not self.known:
            return
        limit = self.known.get(endpoint.lifetime)
        if limit is None:
            return
        if online:
            limit.online += 1
        else:
            limit.batch += 1

    def note_answer(
        self,
        endpoint: Endpoint,
        named: Result[float | None, str],
        *,
        served: bool,
        age_s: float,
        permitted: bool,
    ) -> None:
        """Apply the head of a response that arrives now.

        Any response can name a limit, but only one that served its request
        is evidence of its end. An unreadable value is neither.
        """
        key = endpoint.lifetime
        if isinstance(named, Err):
            self.note_unreadable(endpoint, named.err_value)
            return
        if named.ok_value is not None:
            self.confirm(endpoint, named.ok_value)
        elif not served or key not in self.known:
            return
        self.on_answer(LimitAnswer(key, named.ok_value, age_s, permitted))

    def note_refused(
        self, endpoint: Endpoint, pause_s: float | None, now_s: float
    ) -> None:
        """Apply a refusal that may ask for a pause; notify the other entries.

        `now_s` is the time by the clock of the endpoint table.
        """
        if pause_s is None:
            return
        if self.table.pause(endpoint.endpoint_id, pause_s, now_s):
            self.count('paused')
            self.log_event(
                'endpoint_paused',
                endpoint=endpoint.endpoint_id,
                pause_s=pause_s,
            )
            self.on_pause(endpoint.lifetime, pause_s)

    def note_unreadable(self, endpoint: Endpoint, reason: str) -> None:
        """Log and count a value that can't be read."""
        self.count('unreadable')
        self.log_event(
            'limit_unreadable',
            endpoint=endpoint.endpoint_id,
            reason=reason,
        )

    def confirm(self, endpoint: Endpoint, rate: float) -> None:
        """Store a limit; log it if it is new or has changed."""
        now_s = self.now()
        limit = self.known.get(endpoint.lifetime)
        before = None if limit is None else limit.rate
        if limit is None:
            limit = self.known[endpoint.lifetime] = KnownLimit(
                endpoint, rate, counted_s=now_s
            )
        limit.missed_updates = 0
        if before == rate:
            return
        limit.rate = rate
        self.count('named' if before is None else 'changed')
        self.log_event(
            'limit_named',
            endpoint=endpoint.endpoint_id,
            per_s=rate,
            before=before,
        )

    def find(self, key: str) -> Endpoint | None:
        """Return the registered endpoint with a lifetime, or None."""
        endpoint_id, _, _ = key.rpartition('@')
        tracked = self.table.by_id.get(endpoint_id)
        if tracked is None or tracked.endpoint.lifetime != key:
            return None
        return tracked.endpoint

    def end(self, key: str, reason: str) -> None:
        """Drop a limit, if it is known, and log why."""
        limit = self.known.pop(key, None)
        if limit is None:
            return
        self.count('ended')
        self.log_event(
            'limit_ended',
            endpoint=limit.endpoint.endpoint_id,
            per_s=limit.rate,
            reason=reason,
        )

    def drop_absent(self) -> None:
        """Drop the limits of endpoints that have gone or started again."""
        for key in list(self.known):
            if self.find(key) is None:
                self.end(key, 'endpoint gone')

    def log_usage(self) -> None:
        """Log this entry's use of each limited endpoint at intervals."""
        now_s = self.now()
        for limit in self.known.values():
            if now_s - limit.counted_s < USAGE_INTERVAL_S:
                continue
            if limit.online or limit.batch:
                self.log_event(
                    'limit_used',
                    endpoint=limit.endpoint.endpoint_id,
                    per_s=limit.rate,
                    online=limit.online,
                    batch=limit.batch,
                    seconds=round(now_s - limit.counted_s, 1),
                )
            limit.online = 0
            limit.batch = 0
            limit.counted_s = now_s
