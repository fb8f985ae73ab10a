"""Relays an online request to an endpoint and the response to the caller.

The kind of the route decides what may be retried. A request that is not
idempotent is retried only if the endpoint certainly did not run it. A
resumable stream continues at another endpoint after its last whole event.
"""

from __future__ import annotations

from typing import Final

from result import Err, Result

from quetzaldyke.gateway import responses
from quetzaldyke.gateway.attempt import Attempt
from quetzaldyke.gateway.exchange import Exchange
from quetzaldyke.gateway.incomplete_response import IncompleteResponseError
from quetzaldyke.gateway.online_request import (
    Caller,
    OnlineRequest,
    Outcome,
    Progress,
    RelayContext,
)
from quetzaldyke.gateway.reservation import Refusal, Reservation
from quetzaldyke.gateway.retries import (
    STATUS_BAD_GATEWAY,
    STATUS_UNAVAILABLE,
    acquire_to_confirm,
    final_failure,
)
from quetzaldyke.platform import names

MS_IN_S: Final = 1000
# Retry-After for a request that several endpoints rejected without running.
REJECTED_RETRY_AFTER: Final = b'0.5'
# In logs and metrics; the failure behind it is in the line of the attempt.
UNCONFIRMED: Final = 'end_not_confirmed'


async def relay(
    context: RelayContext,
    request: OnlineRequest,
    caller: Caller,
    progress: Progress,
) -> Outcome:
    """Relay a request, with retries, until it has a final response.

    Raises `IncompleteResponseError` when a started response can't be
    completed; the caller's connection must then be closed.
    """
    trial = context.crashes.begin_trial(request.traits())
    while True:
        placed = await place(context, request, progress, trial=trial)
        if isinstance(placed, Err):
            return await refuse(caller, progress, placed.err_value)
        reservation = placed.ok_value
        exchange = Exchange(names.ATTEMPT_ID, request.request_id)
        exchange.count_bytes(context.client.answers)
        progress.begin_send(
            reservation.endpoint.endpoint_id, reservation.reserved_s
        )
        progress.running = context.dispatcher.loads.total(progress.endpoint_id)
        attempt = Attempt(
            context, request, caller, progress, reservation, exchange
        )
        try:
            outcome = await attempt.run()
        finally:
            context.dispatcher.release(reservation)
        if outcome is not None:
            return outcome
        final = final_failure(context, request, progress)
        if final is not None:
            return await send_final_response(caller, progress, *final)


async def place(
    context: RelayContext,
    request: OnlineRequest,
    progress: Progress,
    *,
    trial: bool,
) -> Result[Reservation, Refusal]:
    """Reserve a slot, unless the request is known to crash endpoints.

    A trial is let through although it may crash its endpoint.
    """
    suspicion = None if trial else find_suspicion(context, request)
    if suspicion is not None:
        return Err(suspicion)
    acquired = await acquire(context, request, progress)
    if isinstance(acquired, Err):
        log_refusal(context, request, acquired.err_value)
        return acquired
    # Endpoints may have crashed under the like of it while it waited.
    suspicion = None if trial else find_suspicion(context, request)
    if suspicion is not None:
        context.dispatcher.release(acquired.ok_value)
        return Err(suspicion)
    return acquired


async def acquire(
    context: RelayContext, request: OnlineRequest, progress: Progress
) -> Result[Reservation, Refusal]:
    """Reserve a slot for what the request needs next."""
    if progress.end_stated:
        return await acquire_to_confirm(context, request, progress)
    return await context.dispatcher.acquire(
        request.service,
        request.route,
        request.deadline_s,
        progress.tried_endpoints,
        organisation=request.organisation,
        already_sent=progress.sends > 0,
    )


def find_suspicion(
    context: RelayContext, request: OnlineRequest
) -> Refusal | None:
    """Return why a request that crashes endpoints is refused, or None."""
    quarantine = context.crashes.quarantine_of(request.traits())
    if quarantine is None:
        return None
    retry_after_s = context.crashes.retry_after_s(quarantine)
    context.log_event(
        'request_suspected',
        request=request.request_id.decode('latin-1'),
        trait=quarantine.key,
        score=quarantine.score,
        retry_after_s=retry_after_s,
    )
    return Refusal('crashes_endpoints', retry_after_s)


def log_refusal(
    context: RelayContext,
    request: OnlineRequest,
    refusal: Refusal,
) -> None:
    """Log why no slot was reserved for a request."""
    name = request.organisation_name
    context.log_event(
        'request_not_placed',
        request=request.request_id.decode('latin-1'),
        service=request.service,
        reason=refusal.reason,
        retry_after_s=round(refusal.retry_after_s, 2),
        expected_wait_ms=int(refusal.expected_wait_s * MS_IN_S),
        waiting=refusal.waiting,
        waiting_elsewhere=refusal.waiting_elsewhere,
        slots=refusal.slots,
        **({'organisation': name} if name else {}),
    )


async def refuse(
    caller: Caller,
    progress: Progress,
    refusal: Refusal,
) -> Outcome:
    """Send the final response to a request that got no slot.

    The response is 503 with Retry-After only if no endpoint can have run the
    request; otherwise it is 502. Raises `IncompleteResponseError` if a
    response has already been started.
    """
    if progress.attempts or progress.response_started:
        return await send_final_response(
            caller,
            progress,
            STATUS_BAD_GATEWAY,
            refusal.reason,
        )
    retry_after = b'%.2f' % refusal.retry_after_s
    await responses.send_refusal(caller, STATUS_UNAVAILABLE, retry_after)
    return Outcome(STATUS_UNAVAILABLE, refusal.reason)


async def end_request(
    caller: Caller,
    progress: Progress,
    reason: str,
) -> Outcome:
    """Send the final response to a request whose work was given up.

    The response is 503 only if no endpoint can have run the request. Raises
    `IncompleteResponseError` if a response has been started.
    """
    ran = bool(progress.attempts)
    status = STATUS_BAD_GATEWAY if ran else STATUS_UNAVAILABLE
    return await send_final_response(caller, progress, status, reason)


async def send_final_response(
    caller: Caller,
    progress: Progress,
    status: int,
    reason: str,
) -> Outcome:
    """Send an error response to a request that can't be retried.

    Raises `IncompleteResponseError` if a response has been started, which is
    also so for a stream whose end nobody could confirm.
    """
    if progress.response_started:
        raise IncompleteResponseError(
            UNCONFIRMED if progress.end_stated else reason
        )
    if status == STATUS_UNAVAILABLE:
        await responses.send_refusal(caller, status, REJECTED_RETRY_AFTER)
    else:
        await responses.send_response(caller, status)
    return Outcome(status, reason)
