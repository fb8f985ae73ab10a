"""How long an endpoint may be silent before a request goes elsewhere.

Failure pattern: an endpoint goes dark while it holds requests. A stream that
can be resumed is moved early enough to be on time at another endpoint; a
request that can't be repeated waits, as silence does not prove a failure.
"""

from __future__ import annotations

from typing import Final

from quetzaldyke.gateway.dispatcher import Place
from quetzaldyke.gateway.endpoints import EndpointBook
from quetzaldyke.gateway.model import Route
from quetzaldyke.gateway.online_request import OnlineRequest

FIRST_EVENT_SHARE: Final = 0.5
NEXT_EVENT_SHARE: Final = 0.6
MIN_EVENT_TIMEOUT_S: Final = 0.12
# An endpoint that had no free slot needs time for the requests before.
QUEUED_TIMEOUT_S: Final = 0.7
# Share of the remaining time that a whole answer may take at the first
# endpoint, where another may still be tried.
FIRST_ATTEMPT_SHARE: Final = 0.45


def extended_deadline_s(
    book: EndpointBook,
    place: Place,
    silence_timeout_s: float,
    now_s: float,
) -> float:
    """Return until when a silent request may wait on, 0 for no longer.

    An endpoint that serves others meanwhile is not dark but busy.
    """
    if book.sent_since(place.endpoint.endpoint_id, now_s - silence_timeout_s):
        return place.taken_s + QUEUED_TIMEOUT_S
    return 0.0


def first_event_timeout_s(route: Route, place: Place) -> float:
    """Return how long the first event of a run may take."""
    if place.queued:
        return QUEUED_TIMEOUT_S
    return max(MIN_EVENT_TIMEOUT_S, FIRST_EVENT_SHARE * route.target_s)


def next_event_timeout_s(route: Route) -> float:
    """Return how long a pause between events may be."""
    return max(MIN_EVENT_TIMEOUT_S, NEXT_EVENT_SHARE * route.max_gap_s)


def head_deadline_s(
    request: OnlineRequest,
    place: Place,
    attempts: int,
    now_s: float,
) -> float:
    """Return until when the head of an answer may take to come."""
    route = request.route
    limit_s = request.deadline_s
    if not route.idempotent or attempts >= route.max_attempts:
        return limit_s
    if route.kind == 'stream':
        return min(limit_s, now_s + first_event_timeout_s(route, place))
    return now_s + (limit_s - now_s) * FIRST_ATTEMPT_SHARE
