"""How long an endpoint may be silent before a request goes elsewhere.

Failure pattern: an endpoint goes dark while it holds requests. A stream that
can be resumed is moved early enough to be on time at another endpoint; a
request that can't be repeated waits, as silence does not prove a failure.
"""

from __future__ import annotations

from typing import Final

from quetzaldyke.gateway.dispatcher import Reservation
from quetzaldyke.gateway.endpoints import EndpointTable
from quetzaldyke.gateway.model import Route
from quetzaldyke.gateway.online_request import OnlineRequest

FIRST_EVENT_SHARE: Final = 0.5
NEXT_EVENT_SHARE: Final = 0.6
MIN_SILENCE_S: Final = 0.12
# An endpoint that had no free slot needs time for the requests before.
QUEUED_SILENCE_S: Final = 0.7
# Share of the remaining time that a whole answer may take at the first
# endpoint, where another may still be tried.
FIRST_TRY_SHARE: Final = 0.45


def extended_s(
    endpoints: EndpointTable,
    reservation: Reservation,
    silence_s: float,
    now_s: float,
) -> float:
    """Return until when a silent request may wait on, 0 for no longer.

    An endpoint that serves others meanwhile is not dark but busy.
    """
    if endpoints.sent_since(
        reservation.endpoint.endpoint_id, now_s - silence_s
    ):
        return reservation.taken_s + QUEUED_SILENCE_S
    return 0.0


def first_event_s(route: Route, reservation: Reservation) -> float:
    """Return how long the first event of a run may take."""
    if reservation.queued:
        return QUEUED_SILENCE_S
    return max(MIN_SILENCE_S, FIRST_EVENT_SHARE * route.target_s)


def next_event_s(route: Route) -> float:
    """Return how long a pause between events may be."""
    return max(MIN_SILENCE_S, NEXT_EVENT_SHARE * route.max_gap_s)


def first_head_s(
    request: OnlineRequest,
    reservation: Reservation,
    attempts: int,
    now_s: float,
) -> float:
    """Return until when the head of an answer may take to come."""
    route = request.route
    limit_s = request.deadline_s
    if not route.idempotent or attempts >= route.max_attempts:
        return limit_s
    if route.kind == 'stream':
        return min(limit_s, now_s + first_event_s(route, reservation))
    return now_s + (limit_s - now_s) * FIRST_TRY_SHARE
