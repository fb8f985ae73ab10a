"""What this entry believes about the endpoints of each service.

Load pattern: endpoints come, leave, crash and come back while requests
flow, and the list that names them lags or goes away.

Three kinds of evidence are kept apart. The platform's list says who exists
and who leaves. An outage of the list itself makes entries lapse although
their endpoints live, so a removal during an outage or shortly after it only
counts when the entry stays away. Failures that this entry met itself eject
an endpoint for a short time, which grows while it keeps failing.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from quetzaldyke.gateway.model import Endpoint

# Entries that lapsed in an outage are back within two seconds of its end.
LAPSE_GRACE_S: Final = 2.2
FIRST_EJECTION_S: Final = 0.5
MAX_EJECTION_S: Final = 4.0
EJECTION_FACTOR: Final = 2.0
# Weight of the latest answer in an endpoint's share of failures.
FAILURE_WEIGHT: Final = 0.15
# An endpoint that fails this share of its requests is ejected although
# every other request succeeds.
MAX_FAILURE_SHARE: Final = 0.3


@dataclass(slots=True)
class TrackedEndpoint:
    """One endpoint and what was seen of it."""

    endpoint: Endpoint
    # Set while its entry is missing because of an outage.
    lapsed: bool = False
    ejected_until_s: float = 0.0
    failures_in_row: int = 0
    failure_share: float = 0.0
    # When bytes of any request came from it.
    last_bytes_s: float = 0.0


@dataclass(slots=True)
class EndpointTable:
    """Endpoints by id."""

    by_id: dict[str, TrackedEndpoint] = field(default_factory=dict)
    by_service: dict[str, list[TrackedEndpoint]] = field(default_factory=dict)
    outage: bool = False
    # Time at which lapsed entries that did not come back count as gone.
    lapse_ends_s: float = 0.0

    def replace_all(
        self,
        endpoints: Iterable[Endpoint],
        now_s: float,
    ) -> list[str]:
        """Take over a whole list; return the ids that are gone."""
        listed = {one.endpoint_id: one for one in endpoints}
        missing = [one for one in self.by_id if one not in listed]
        gone = [one for one in missing if self.remove(one, now_s)]
        for endpoint in listed.values():
            self.put(endpoint)
        return gone

    def put(self, endpoint: Endpoint) -> None:
        """Add an endpoint or take over a change of its entry."""
        tracked = self.by_id.get(endpoint.endpoint_id)
        if tracked is not None:
            tracked.lapsed = False
            restarted = tracked.endpoint.started_ms != endpoint.started_ms
            tracked.endpoint = endpoint
            if not restarted:
                return
            tracked.ejected_until_s = 0.0
            tracked.failures_in_row = 0
            tracked.failure_share = 0.0
        else:
            self.by_id[endpoint.endpoint_id] = TrackedEndpoint(endpoint)
        self.index()

    def remove(self, endpoint_id: str, now_s: float) -> bool:
        """Note that an entry is missing; tell whether it counts as gone."""
        tracked = self.by_id.get(endpoint_id)
        if tracked is None:
            return False
        leaving = tracked.endpoint.state == 'draining'
        if not leaving and (self.outage or now_s < self.lapse_ends_s):
            tracked.lapsed = True
            return False
        del self.by_id[endpoint_id]
        self.index()
        return True

    def index(self) -> None:
        """Group the beliefs by service."""
        self.by_service = {}
        for tracked in self.by_id.values():
            service = tracked.endpoint.service
            self.by_service.setdefault(service, []).append(tracked)

    def outage_began(self) -> None:
        """Keep entries that go missing from now on."""
        self.outage = True

    def outage_ended(self, now_s: float) -> None:
        """Give lapsed entries time to come back."""
        self.outage = False
        self.lapse_ends_s = now_s + LAPSE_GRACE_S

    def outage_was_local(self) -> None:
        """Only this entry lost the list, so no entry has lapsed in it."""
        self.outage = False

    def is_gone(self, tracked: TrackedEndpoint, now_s: float) -> bool:
        """Tell whether a lapsed entry has stayed away for too long."""
        over = not self.outage and now_s >= self.lapse_ends_s
        return tracked.lapsed and over

    def drop_lapsed(self, now_s: float) -> list[str]:
        """Remove entries that did not come back after an outage."""
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

        Ejected ones are used only when no other is left, so that a
        fault of this entry's own cannot stop a whole service. A careful
        choice, for a request that can't be repeated, also leaves out those
        that have not answered since they last failed. The excluded ones are
        used again when there is no other.
        """
        listed = [
            one
            for one in self.by_service.get(service, ())
            if one.endpoint.state == 'ready' and not self.is_gone(one, now_s)
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

    def note_bytes(self, endpoint_id: str, now_s: float) -> None:
        """Bytes came from an endpoint."""
        tracked = self.by_id.get(endpoint_id)
        if tracked is not None:
            tracked.last_bytes_s = now_s

    def sent_since(self, endpoint_id: str, since_s: float) -> bool:
        """Tell whether an endpoint has sent something since a time."""
        tracked = self.by_id.get(endpoint_id)
        return tracked is not None and tracked.last_bytes_s >= since_s

    def note_success(self, endpoint_id: str) -> None:
        """An endpoint answered."""
        tracked = self.by_id.get(endpoint_id)
        if tracked is not None:
            tracked.failures_in_row = 0
            tracked.failure_share *= 1 - FAILURE_WEIGHT

    def note_lost_answer(self, endpoint_id: str, now_s: float) -> float:
        """An endpoint that serves others lost one answer.

        It is ejected only when it loses a large share of them.
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
        """An endpoint failed; return for how long it is ejected."""
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
