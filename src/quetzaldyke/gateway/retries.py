"""Decides whether a failed request may be retried.

Endpoints crash, refuse requests or lose responses, and it is then unknown
whether the request ran. The kind of the route decides what may be retried: a
request that is not idempotent is retried only if every endpoint that received
it reported that it did not run.

Failure pattern: all slots are taken, or a request has used up its attempts on
failures, while the end of a stream without length or chunks is to be confirmed.
The route limits the endpoints that a request is sent to. Those that have sent a
part of the stream can be asked again without exceeding that limit.
"""

from __future__ import annotations

from typing import Final

from result import Err, Result

from quetzaldyke.gateway.exchange import ResponseHead
from quetzaldyke.gateway.online_request import (
    OnlineRequest,
    Progress,
    RelayContext,
)
from quetzaldyke.gateway.reservation import Refusal, Reservation
from quetzaldyke.gateway.stalls import answer_deadline_s
from quetzaldyke.gateway.wait_estimates import NO_ENDPOINT_RETRY_S
from quetzaldyke.platform import names

# Limits all sends of a request. Those that were certainly not run don't count
# as attempts but still cost the caller time.
MAX_SENDS: Final = 5
# The endpoint is not the one that the request names.
STATUS_MISDIRECTED: Final = 421
STATUS_BAD_GATEWAY: Final = 502
STATUS_UNAVAILABLE: Final = 503
STATUS_TIMEOUT: Final = 504
# These tell a caller that its request did not run and will not; only an answer
# with the header of that meaning proves it of an endpoint.
PROMISING_STATUSES: Final = frozenset((408, 429, STATUS_UNAVAILABLE))
NOBODY: Final = Refusal('no_endpoint_to_confirm', NO_ENDPOINT_RETRY_S)


def is_not_run(head: ResponseHead) -> bool:
    """Tell whether a response states that the request was not run."""
    refused = head.get(names.NOT_RUN) is not None
    return refused or head.status == STATUS_MISDIRECTED


def final_failure(
    context: RelayContext,
    request: OnlineRequest,
    progress: Progress,
) -> tuple[int, str] | None:
    """Return the final status and reason, or None if a retry is allowed."""
    route = request.route
    if context.now() >= answer_deadline_s(request, progress):
        return STATUS_TIMEOUT, 'deadline'
    if progress.attempts and not route.idempotent:
        return STATUS_BAD_GATEWAY, progress.last_failure
    # Endpoints that it was sent to may be asked again whether it has ended.
    if progress.attempts >= route.max_attempts and not progress.end_stated:
        return STATUS_BAD_GATEWAY, progress.last_failure
    if progress.sends >= MAX_SENDS:
        status = STATUS_BAD_GATEWAY if progress.attempts else STATUS_UNAVAILABLE
        return status, progress.last_failure
    if context.crashes.is_quarantined(request.traits()):
        return STATUS_BAD_GATEWAY, 'crashes_endpoints'
    return None


def may_ask_others(request: OnlineRequest, progress: Progress) -> bool:
    """Return whether the request may be sent to a further endpoint."""
    return progress.attempts < request.route.max_attempts


def usable_ids(context: RelayContext, request: OnlineRequest) -> set[str]:
    """Return the endpoints that may get a request now."""
    endpoints = context.dispatcher.endpoints
    usable = endpoints.usable(request.service, context.now())
    return {one.endpoint_id for one in usable}


def note_stated_end(
    context: RelayContext, request: OnlineRequest, progress: Progress
) -> bool:
    """Record that an answer without length or chunks has ended.

    Returns whether the end is proven, with the endpoints that may be asked.
    """
    usable = usable_ids(context, request)
    progress.ran.add(progress.endpoint_id)
    if not may_ask_others(request, progress):
        usable &= progress.ran
    return progress.note_end(progress.endpoint_id, usable)


async def acquire_to_confirm(
    context: RelayContext, request: OnlineRequest, progress: Progress
) -> Result[Reservation, Refusal]:
    """Reserve a slot of an endpoint that may confirm the end of a stream.

    Waits as long as the caller is expected to wait for the next event.
    """
    if may_ask_others(request, progress):
        return await acquire_outside(
            context, request, progress, progress.tried_endpoints
        )
    while True:
        usable = usable_ids(context, request)
        allowed = usable & progress.ran
        asked = progress.ends.asked(progress.splitter.last_id or 0)
        allowed = allowed - asked or allowed
        if not allowed:
            return Err(NOBODY)
        acquired = await acquire_outside(
            context, request, progress, usable - allowed
        )
        if isinstance(acquired, Err):
            return acquired
        if acquired.ok_value.endpoint.endpoint_id in progress.ran:
            return acquired
        # Another endpoint became usable while the request waited.
        context.dispatcher.release(acquired.ok_value)


async def acquire_outside(
    context: RelayContext,
    request: OnlineRequest,
    progress: Progress,
    excluded: set[str],
) -> Result[Reservation, Refusal]:
    """Reserve a slot to confirm an end, of no excluded endpoint."""
    return await context.dispatcher.acquire(
        request.service,
        request.route,
        answer_deadline_s(request, progress),
        excluded,
        organisation=request.organisation,
        already_sent=True,
        confirms=True,
    )
