"""Tracks which endpoints of each service can be used.

Endpoints start, drain, crash and restart while requests are served, and the
platform's endpoint list lags behind or becomes unavailable.

Three sources are kept apart. The platform's list says which endpoints are
registered and which are draining; the latter is also in their answers, see
`endpoint_drain.py`. An outage of the list itself makes
registrations lapse although their endpoints still run, so a removal during an
outage or shortly after it only counts if the registration does not come back.
Failures observed by this entry eject an endpoint for a short time that grows
while it keeps failing.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from quetzaldyke.gateway.endpoint_drain import DrainStatements
from quetzaldyke.gateway.model import Endpoint

# Registrations that lapsed in an outage are renewed within two seconds of its
# end.
LAPSE_GRACE_S: Final = 2.2
FIRST_EJECTION_S: Final = 0.5
MAX_EJECTION_S: Final = 4.0
# A longer pause than this is cut: one value must not cost an endpoint its work.
MAX_PAUSE_S: Final = 5.0
EJECTION_FACTOR: Final = 2.0
# Weight of the latest answer in the moving average of an endpoint's failures.
FAILURE_WEIGHT: Final = 0.15
# An endpoint that fails more than this share of its requests is ejected for the
# longest time, even if its other requests succeed.
MAX_FAILURE_SHARE: Final = 0.3


@dataclass(slots=True)
class TrackedEndpoint:
    """A registered endpoint and the failures observed at it."""

    endpoint: Endpoint
    # Set while its registration is missing because of an outage.
    lapsed: bool = False
    ejected_until_s: float = 0.0
    failures_in_row: int = 0
    failure_share: float = 0.0
    # Until then the endpoint has asked for no requests.
    paused_until_s: float = 0.0
    # When the endpoint last sent bytes for any request.
    last_bytes_s: float = 0.0
    # Whether it drains by its registration or by its own statement.
    draining: bool = False


@dataclass(slots=True)
class EndpointTable:
    """Endpoints by id, and grouped by service."""

    by_id: dict[str, TrackedEndpoint] = field(default_factory=dict)
    by_service: dict[str, list[TrackedEndpoint]] = field(default_factory=dict)
    drains: DrainStatements = field(default_factory=DrainStatements)
    outage: bool = False
    # Time at which registrations that are still lapsed count as removed.
    lapse_ends_s: float = 0.0

    def replace_all(
        self,
        endpoints: Iterable[Endpoint],
        now_s: float,
    ) -> list[str]:
        """Apply a complete list; return the ids of removed endpoints."""
        listed = {one.endpoint_id: one for one in endpoints}
        missing = [one for one in self.by_id if one not in listed]
        gone = [one for one in missing if self.remove(one, now_s)]
        for endpoint in listed.values():
            self.put(endpoint)
        return gone

    def put(self, endpoint: Endpoint) -> None:
        """Add an endpoint or update its registration.

        A restart of the endpoint clears the failures recorded for it.
        """
        tracked = self.by_id.get(endpoint.endpoint_id)
        if tracked is not None:
            tracked.lapsed = False
            restarted = tracked.endpoint.started_ms != endpoint.started_ms
            tracked.endpoint = endpoint
            tracked.draining = self.drains.is_draining(endpoint)
            if not restarted:
                return
            tracked.ejected_until_s = 0.0
            tracked.paused_until_s = 0.0
            tracked.failures_in_row = 0
            tracked.failure_share = 0.0
        else:
            self.by_id[endpoint.endpoint_id] = TrackedEndpoint(
                endpoint, draining=self.drains.is_draining(endpoint)
            )
        self.index()

    def remove(self, endpoint_id: str, now_s: float) -> bool:
        """Handle a missing registration; return whether it was removed.

        During and shortly after an outage the endpoint is only marked as
        lapsed, unless it was draining.
        """
        tracked = self.by_id.get(endpoint_id)
        if tracked is None:
            return False
        if not tracked.draining and (self.outage or now_s < self.lapse_ends_s):
            tracked.lapsed = True
            return False
        return self.drop(endpoint_id)

    def drop(self, endpoint_id: str) -> bool:
        """Remove an endpoint at once; return whether it was known."""
        known = self.by_id.pop(endpoint_id, None) is not None
        if known:
            self.index()
        return known

    def note_draining(self, lifetime: str, now_s: float) -> bool:
        """Record that a lifetime drains; return whether that is new."""
        if not self.drains.add(lifetime, now_s):
            return False
        endpoint_id, _, _ = lifetime.rpartition('@')
        tracked = self.by_id.get(endpoint_id)
        if tracked is not None:
            tracked.draining = self.drains.is_draining(tracked.endpoint)
        return True

    def is_draining(self, endpoint_id: str) -> bool:
        """Return whether a registered endpoint is draining."""
        tracked = self.by_id.get(endpoint_id)
        return tracked is not None and tracked.draining

    def count_draining(self) -> int:
        """Return the number of registered endpoints that drain."""
        return sum(one.draining for one in self.by_id.values())

    def stated_lifetimes(self) -> list[str]:
        """Return the registered lifetimes that have stated that they drain."""
        if not self.drains.seen_s:
            return []
        registered = (one.endpoint.lifetime for one in self.by_id.values())
        return [one for one in registered if one in self.drains.seen_s]

    def drop_ended_drains(self, now_s: float) -> None:
        """Drop statements about lifetimes that ended long ago."""
        if self.drains.seen_s:
            registered = {one.endpoint.lifetime for one in self.by_id.values()}
            self.drains.drop_ended(registered, now_s)

    def index(self) -> None:
        """Rebuild the grouping by service."""
        self.by_service = {}
        for tracked in self.by_id.values():
            service = tracked.endpoint.service
            self.by_service.setdefault(service, []).append(tracked)

    def outage_began(self) -> None:
        """Start an outage: lapse missing registrations, do not remove them."""
        self.outage = True

    def outage_ended(self, now_s: float) -> None:
        """End an outage; lapsed registrations get a grace period to return."""
        self.outage = False
        self.lapse_ends_s = now_s + LAPSE_GRACE_S

    def outage_was_local(self) -> None:
        """End an outage that affected only this entry.

        Registrations did not lapse in it, so there is no grace period.
        """
        self.outage = False

    def lapse_grace_s(self, now_s: float) -> float:
        """Return for how much longer missing registrations may come back."""
        if self.outage:
            return LAPSE_GRACE_S
        return max(0.0, self.lapse_ends_s - now_s)

    def allow_lapses(self, grace_s: float, now_s: float) -> None:
        """Extend the grace period if a peer still waits for registrations.

        The peer saw an outage that was too short for this entry's own calls
        to notice.
        """
        if grace_s > 0:
            ends_s = now_s + min(grace_s, LAPSE_GRACE_S)
            self.lapse_ends_s = max(self.lapse_ends_s, ends_s)

    def is_gone(self, tracked: TrackedEndpoint, now_s: float) -> bool:
        """Return whether a registration is lapsed past the grace period."""
        over = not self.outage and now_s >= self.lapse_ends_s
        return tracked.lapsed and over

    def drop_lapsed(self, now_s: float) -> list[str]:
        """Remove endpoints lapsed past the grace period; return their ids."""
        gone = [
            key for key, one in self.by_id.items() if self.is_gone(one, now_s)
        ]
        for endpoint_id in gone:
            del self.by_id[endpoint_id]
        if gone:
            self.index()
        return gone

    def usable(
        self,
        service: str,
        now_s: float,
        excluded: Iterable[str] = (),
        *,
        avoid_failing: bool = False,
    ) -> list[Endpoint]:
        """Return the endpoints that may get a new request.

        These are registered and not draining, which holds even if no
        endpoint is left. Excluded and ejected endpoints
        are left out, and with `avoid_failing`, for requests that can't be
        repeated, also those that have not succeeded since their last
        failure. Each of these three filters is dropped if it leaves no
        endpoint, so that a fault of this entry itself, which ejects all
        endpoints, does not stop a whole service.
        """
        listed = [
            one
            for one in self.by_service.get(service, ())
            if not one.draining and not self.is_gone(one, now_s)
        ]
        remaining = [
            one for one in listed if one.endpoint.endpoint_id not in excluded
        ]
        listed = remaining or listed
        healthy = [one for one in listed if one.ejected_until_s <= now_s]
        if avoid_failing:
            confirmed = [one for one in healthy if not one.failures_in_row]
            healthy = confirmed or healthy
        return [one.endpoint for one in healthy or listed]

    def pause(self, endpoint_id: str, pause_s: float, now_s: float) -> bool:
        """Record that an endpoint asks for no requests for some time.

        Returns whether it was not paused before.
        """
        tracked = self.by_id.get(endpoint_id)
        if tracked is None or pause_s <= 0:
            return False
        is_new = tracked.paused_until_s <= now_s
        until_s = now_s + min(pause_s, MAX_PAUSE_S)
        tracked.paused_until_s = max(tracked.paused_until_s, until_s)
        return is_new

    def paused(self, service: str, now_s: float) -> frozenset[str]:
        """Return the ids of the endpoints of a service that asked for a pause.

        They get new requests only where no other endpoint has room.
        """
        return frozenset(
            one.endpoint.endpoint_id
            for one in self.by_service.get(service, ())
            if one.paused_until_s > now_s
        )

    def usable_for_batch(self, service: str, now_s: float) -> list[Endpoint]:
        """Return the endpoints that may get a new batch run.

        Batch work can wait: an endpoint that asked for a pause gets none.
        """
        paused = self.paused(service, now_s)
        return [
            endpoint
            for endpoint in self.usable(service, now_s)
            if endpoint.endpoint_id not in paused
        ]

    def note_bytes(self, endpoint_id: str, now_s: float) -> None:
        """Record that an endpoint sent bytes."""
        tracked = self.by_id.get(endpoint_id)
        if tracked is not None:
            tracked.last_bytes_s = now_s

    def sent_since(self, endpoint_id: str, since_s: float) -> bool:
        """Return whether an endpoint has sent bytes since the given time."""
        tracked = self.by_id.get(endpoint_id)
        return tracked is not None and tracked.last_bytes_s >= since_s

    def note_success(self, endpoint_id: str) -> None:
        """Record a successful answer of an endpoint."""
        tracked = self.by_id.get(endpoint_id)
        if tracked is not None:
            tracked.failures_in_row = 0
            tracked.failure_share *= 1 - FAILURE_WEIGHT

    def note_lost_answer(self, endpoint_id: str, now_s: float) -> float:
        """Record a lost answer of an endpoint that serves other requests.

        Returns for how many seconds the endpoint is ejected: 0 unless its
        share of failures is too large.
        """
        tracked = self.by_id.get(endpoint_id)
        if tracked is None:
            return 0.0
        tracked.failure_share += FAILURE_WEIGHT * (1 - tracked.failure_share)
        if tracked.failure_share <= MAX_FAILURE_SHARE:
            return 0.0
        tracked.ejected_until_s = now_s + MAX_EJECTION_S
        return MAX_EJECTION_S

    def note_failure(self, endpoint_id: str, now_s: float) -> float:
        """Record a failure; return the seconds of the resulting ejection."""
        tracked = self.by_id.get(endpoint_id)
        if tracked is None:
            return 0.0
        tracked.failures_in_row += 1
        tracked.failure_share += FAILURE_WEIGHT * (1 - tracked.failure_share)
        doublings = min(tracked.failures_in_row - 1, 8)
        ejected_s = min(
            MAX_EJECTION_S, FIRST_EJECTION_S * EJECTION_FACTOR**doublings
        )
        if tracked.failure_share > MAX_FAILURE_SHARE:
            ejected_s = MAX_EJECTION_S
        tracked.ejected_until_s = now_s + ejected_s
        return ejected_s
