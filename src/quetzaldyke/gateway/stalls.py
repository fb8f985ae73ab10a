"""Timeouts after which a request to a silent endpoint is retried elsewhere.

An endpoint can become unresponsive while it holds requests. A resumable
stream is moved early enough to meet its latency target at another endpoint. A
request that can't be retried keeps waiting, because silence does not prove a
failure. A stream whose end is to be confirmed waits as long as its caller does.
"""

from __future__ import annotations

from typing import Final

from quetzaldyke.gateway.endpoints import EndpointTable
from quetzaldyke.gateway.model import Route
from quetzaldyke.gateway.online_request import OnlineRequest, Progress
from quetzaldyke.gateway.reservation import Reservation
from quetzaldyke.gateway.wait_queue import max_queue_time_s

FIRST_EVENT_SHARE: Final = 0.5
NEXT_EVENT_SHARE: Final = 0.6
MIN_EVENT_TIMEOUT_S: Final = 0.12
# Timeout at an endpoint without a free slot, which first has to serve the
# requests queued before this one.
QUEUED_TIMEOUT_S: Final = 0.7
# Share of the remaining time that a whole response may take while another
# endpoint may still be tried.
FIRST_ATTEMPT_SHARE: Final = 0.45


def answer_deadline_s(request: OnlineRequest, progress: Progress) -> float:
    """Return how long the request waits for a slot and for an answer.

    The caller of a stream whose end is to be confirmed takes the wait for a
    pause between two events, and abandons it accordingly.
    """
    if not progress.end_stated:
        return request.deadline_s
    route = request.route
    patience_s = max_queue_time_s(route.target_s, route.max_gap_s)
    return min(request.deadline_s, progress.sent_at_s + patience_s)


def extended_deadline_s(
    endpoints: EndpointTable,
    reservation: Reservation,
    silence_timeout_s: float,
    now_s: float,
) -> float:
    """Return a later deadline for a silent request, or 0 for none.

    An endpoint that has sent bytes to other requests meanwhile is busy, not
    unresponsive.
    """
    if endpoints.sent_since(
        reservation.endpoint.endpoint_id, now_s - silence_timeout_s
    ):
        return reservation.reserved_s + QUEUED_TIMEOUT_S
    return 0.0


def first_event_timeout_s(route: Route, reservation: Reservation) -> float:
    """Return the timeout for the first event after sending a request."""
    if reservation.queued:
        return QUEUED_TIMEOUT_S
    return max(MIN_EVENT_TIMEOUT_S, FIRST_EVENT_SHARE * route.target_s)


def next_event_timeout_s(route: Route) -> float:
    """Return the timeout between two events of a stream."""
    return max(MIN_EVENT_TIMEOUT_S, NEXT_EVENT_SHARE * route.max_gap_s)


def head_deadline_s(
    request: OnlineRequest,
    reservation: Reservation,
    progress: Progress,
    now_s: float,
) -> float:
    """Return the time by which the head of the response must arrive."""
    route = request.route
    deadline_s = answer_deadline_s(request, progress)
    if not route.idempotent or progress.attempts >= route.max_attempts:
        return deadline_s
    if route.kind == 'stream':
        return min(
            deadline_s, now_s + first_event_timeout_s(route, reservation)
        )
    return now_s + (deadline_s - now_s) * FIRST_ATTEMPT_SHARE
