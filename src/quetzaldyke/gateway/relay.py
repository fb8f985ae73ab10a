"""Carries one online request to an endpoint and its answer back.

What may be repeated follows from the route's kind. A request that may run
only once is sent again only when the endpoint certainly did not run it. A
resumable stream goes on at another endpoint after its last whole event.
"""

from __future__ import annotations

from typing import Final

from result import Err

from quetzaldyke.gateway import answers
from quetzaldyke.gateway.attempt import Attempt
from quetzaldyke.gateway.broken_answer import BrokenAnswerError
from quetzaldyke.gateway.dispatcher import Refusal
from quetzaldyke.gateway.exchange import Exchange
from quetzaldyke.gateway.online_request import (
    Caller,
    OnlineRequest,
    Outcome,
    Progress,
    RelayContext,
)
from quetzaldyke.gateway.retries import (
    STATUS_BAD_GATEWAY,
    STATUS_UNAVAILABLE,
    may_not_retry,
)
from quetzaldyke.platform import names

MS_IN_S: Final = 1000
# Told to a caller whose request crashes endpoints; the fault stays.
CRASHING_RETRY_S: Final = 60.0
# Told to a caller whose request several endpoints turned away.
TURNED_AWAY_RETRY: Final = b'0.5'


async def relay(
    context: RelayContext,
    request: OnlineRequest,
    caller: Caller,
    progress: Progress,
) -> Outcome:
    """Serve one request; raises `BrokenAnswerError` to end its channel."""
    if context.crashes.is_suspect(request.fingerprint()):
        return await refuse(
            caller,
            progress,
            Refusal('crashes_endpoints', CRASHING_RETRY_S),
        )
    while True:
        placed = await context.dispatcher.acquire(
            request.service,
            request.route,
            request.deadline_s,
            progress.tried,
            already_sent=progress.sends > 0,
        )
        if isinstance(placed, Err):
            log_refusal(context, request, placed.err_value)
            return await refuse(caller, progress, placed.err_value)
        reservation = placed.ok_value
        exchange = Exchange(names.ATTEMPT_ID, request.request_id)
        progress.begin_send(
            reservation.endpoint.endpoint_id, reservation.taken_s
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
        final = may_not_retry(context, request, progress)
        if final is not None:
            return await give_up(caller, progress, *final)


def log_refusal(
    context: RelayContext,
    request: OnlineRequest,
    refusal: Refusal,
) -> None:
    """Log why a request got no place, with what decided it."""
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
    )


async def refuse(
    caller: Caller,
    progress: Progress,
    refusal: Refusal,
) -> Outcome:
    """Reject a request; it is told to have not run only when that is true."""
    if progress.attempts or progress.started:
        return await give_up(
            caller,
            progress,
            STATUS_BAD_GATEWAY,
            refusal.reason,
        )
    pause = b'%.2f' % refusal.retry_after_s
    await answers.refuse(caller, STATUS_UNAVAILABLE, pause)
    return Outcome(STATUS_UNAVAILABLE, refusal.reason)


async def give_up(
    caller: Caller,
    progress: Progress,
    status: int,
    reason: str,
) -> Outcome:
    """Give the final answer to a request that can't be served."""
    if progress.started:
        raise BrokenAnswerError(reason)
    if status == STATUS_UNAVAILABLE:
        await answers.refuse(caller, status, TURNED_AWAY_RETRY)
    else:
        await answers.answer(caller, status)
    return Outcome(status, reason)
