"""Runs a non-idempotent request at most once across the fleet.

A durable claim on the caller's idempotency key is written before anything
is sent to a sidecar. The request keeps running if its caller disconnects,
and its outcome is recorded, so that a retry through any entry gets the same
answer. If it is not known whether the request ran, a retry is answered with
`unknown` and never run again.
"""

from __future__ import annotations

import hashlib
import math
import uuid
from collections.abc import AsyncIterator, Callable
from contextlib import aclosing
from dataclasses import dataclass
from typing import Final

import anyio
from anyio.abc import TaskGroup
from anyio.streams.memory import MemoryObjectSendStream
from result import Err, Ok, Result

from quetzaldyke.parts.claim_bucket import (
    Claimed,
    ClaimError,
    InProgress,
    Recorded,
)
from quetzaldyke.parts.claims import ClaimLedger
from quetzaldyke.parts.hlc import wall_clock_ms
from quetzaldyke.request.execute import ExecuteContext, execute_online
from quetzaldyke.request.model import OnlineRequest
from quetzaldyke.request.outcome import (
    HTTP_CONFLICT,
    HTTP_UNAVAILABLE,
    HTTP_UNPROCESSABLE,
    MS_IN_S,
    AnswerEnd,
    AnswerEvent,
    Refusal,
    incomplete,
    parse_ran,
)
from quetzaldyke.request.outcome_record import (
    pack_outcome,
    unpack_outcome,
)

UUID_VERSION: Final = 7
# Error codes of the claim ledger that are caused by the key itself.
KEY_ERROR_CODES: Final = frozenset(('expired_key', 'future_key'))
# The upper 48 of the 128 bits of a UUIDv7 are its timestamp in ms.
UUID_TIMESTAMP_SHIFT: Final = 80
# Largest tolerated clock difference: a key whose timestamp is further ahead
# would still be accepted after its record has expired.
MAX_CLOCK_SKEW_MS: Final = 60_000
CLAIM_RETRY_MS: Final = 1000
# How often the ledger retries outcomes that it could not write because the
# store was unavailable.
SETTLE_INTERVAL_S: Final = 1.0


@dataclass(slots=True)
class OnceContext:
    """Entry state that non-idempotent requests share."""

    execute: ExecuteContext
    ledger: ClaimLedger
    group: TaskGroup
    retention_s: float
    read_wall_ms: Callable[[], int] = wall_clock_ms
    # Number of claimed requests that are running; their callers may be gone.
    running: int = 0


@dataclass(frozen=True, slots=True)
class HeldClaim:
    """A claim that this process holds and has to record or release."""

    key_hash: str
    claim_id: str


def uuid7_timestamp_ms(key: str) -> int | None:
    """Return the timestamp of a UUIDv7, or None for any other text.

    >>> uuid7_timestamp_ms('01890a5d-ac96-774b-bcce-b302099a8057')
    1688096058518
    >>> uuid7_timestamp_ms('order-17')
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != UUID_VERSION:
        return None
    return parsed.int >> UUID_TIMESTAMP_SHIFT


def validate_key(
    context: OnceContext,
    key: str,
) -> Result[int, Refusal]:
    """Return the key's timestamp in ms, or why the key is refused.

    The key must be a UUIDv7 within the retention time that is at most
    `MAX_CLOCK_SKEW_MS` ahead of the clock.
    """
    created_ms = uuid7_timestamp_ms(key)
    if created_ms is None:
        return Err(
            Refusal(
                HTTP_UNPROCESSABLE,
                'idempotency_key_needed',
                'a non-idempotent request needs an Idempotency-Key '
                'that is a UUIDv7',
                'not_run',
            ),
        )
    age_ms = context.read_wall_ms() - created_ms
    if age_ms >= context.retention_s * MS_IN_S:
        return Err(
            Refusal(
                HTTP_CONFLICT,
                'key_expired',
                'the record of this Idempotency-Key may have expired',
                'unknown',
            ),
        )
    if age_ms < -MAX_CLOCK_SKEW_MS:
        return Err(
            Refusal(
                HTTP_UNPROCESSABLE,
                'key_from_the_future',
                'the time in the Idempotency-Key is ahead of the clock',
                'not_run',
            ),
        )
    return Ok(created_ms)


def claim_key_hash(request: OnlineRequest) -> str:
    """Return the hash of organisation, pool and idempotency key."""
    digest = hashlib.sha256()
    for part in (request.organisation, request.pool, request.idempotency_key):
        text = part.encode()
        digest.update(len(text).to_bytes(4, 'big'))
        digest.update(text)
    return digest.hexdigest()


def claim_failed(error: ClaimError) -> Refusal:
    """Return the refusal for a claim that could not be made."""
    status = (
        HTTP_CONFLICT if error.code in KEY_ERROR_CODES else HTTP_UNAVAILABLE
    )
    return Refusal(
        status,
        error.code,
        'the claim of the request could not be recorded',
        parse_ran(error.kind),
        0 if status == HTTP_CONFLICT else CLAIM_RETRY_MS,
    )


def run_in_progress() -> Refusal:
    """Return the refusal while another run of the key has no outcome."""
    return Refusal(
        HTTP_CONFLICT,
        'in_progress',
        'another run of this Idempotency-Key has no recorded outcome',
        'unknown',
        CLAIM_RETRY_MS,
    )


def key_reused() -> Refusal:
    """Return the refusal of a key that was used for another request."""
    return Refusal(
        HTTP_UNPROCESSABLE,
        'idempotency_key_reused',
        'the Idempotency-Key was used for another request',
        'not_run',
    )


async def execute_once(
    context: OnceContext,
    request: OnlineRequest,
) -> AsyncIterator[AnswerEvent]:
    """Yield the events of the only run under the request's key.

    A retry gets the recorded events, or a refusal if there are none yet.
    """
    checked = validate_key(context, request.idempotency_key)
    if isinstance(checked, Err):
        yield checked.err_value
        return
    key_hash = claim_key_hash(request)
    claimed = await context.ledger.claim_or_wait(key_hash, checked.ok_value)
    if isinstance(claimed, Err):
        yield claim_failed(claimed.err_value)
        return
    match claimed.ok_value:
        case Recorded(outcome=outcome):
            for event in recorded_events(request, outcome):
                yield event
        case InProgress():
            yield run_in_progress()
        case Claimed(claim_id=claim_id):
            events = run_detached(context, request, key_hash, claim_id)
            async with aclosing(events) as opened:  # type: ignore[type-var]
                async for event in opened:
                    yield event


def recorded_events(
    request: OnlineRequest,
    outcome: bytes,
) -> list[AnswerEvent]:
    """Return the recorded events, or a refusal for a different request."""
    record = unpack_outcome(outcome)
    if record.fingerprint != request.fingerprint:
        return [key_reused()]
    return record.events


async def run_detached(
    context: OnceContext,
    request: OnlineRequest,
    key_hash: str,
    claim_id: str,
) -> AsyncIterator[AnswerEvent]:
    """Run a claimed request in a background task and yield its events.

    The task continues if the caller disconnects.
    """
    sender, receiver = anyio.create_memory_object_stream[AnswerEvent](math.inf)
    context.running += 1
    context.group.start_soon(
        run_claimed,
        context,
        request,
        HeldClaim(key_hash, claim_id),
        sender,
    )
    with receiver:
        async for event in receiver:
            yield event


async def run_claimed(
    context: OnceContext,
    request: OnlineRequest,
    claim: HeldClaim,
    sender: MemoryObjectSendStream[AnswerEvent],
) -> None:
    """Run a claimed request, settle its claim, then send the last event."""
    try:
        events = await run_to_end(context, request, sender)
        await record_or_release(context, request, claim, events)
        send_to_caller(sender, events[-1])
    finally:
        context.running -= 1
        sender.close()


async def run_to_end(
    context: OnceContext,
    request: OnlineRequest,
    sender: MemoryObjectSendStream[AnswerEvent],
) -> list[AnswerEvent]:
    """Run a request and return all events, ending with an end or refusal.

    Sends all but this last event to the caller as they arrive. Exceptions are
    logged and not raised, since the task runs in the entry's task group and
    would otherwise stop the entry.
    """
    events: list[AnswerEvent] = []
    try:
        async for event in execute_online(context.execute, request):
            events.append(event)
            if not isinstance(event, AnswerEnd | Refusal):
                send_to_caller(sender, event)
    except Exception as exc:
        context.execute.log_event(
            'run_failed',
            request_id=request.request_id,
            fault=repr(exc),
        )
    if not events or not isinstance(events[-1], AnswerEnd | Refusal):
        events.append(incomplete('the answer has no end mark'))
    return events


def send_to_caller(
    sender: MemoryObjectSendStream[AnswerEvent],
    event: AnswerEvent,
) -> None:
    """Send an event to the caller unless it has disconnected."""
    try:
        sender.send_nowait(event)
    except anyio.BrokenResourceError:
        return


async def record_or_release(
    context: OnceContext,
    request: OnlineRequest,
    claim: HeldClaim,
    events: list[AnswerEvent],
) -> None:
    """Record the outcome, or release the claim if the request did not run.

    The outcome is recorded before the end is sent, so that a retry after a
    lost answer finds it. The ledger retries writes that fail in an outage.
    """
    last = events[-1]
    if isinstance(last, Refusal) and last.ran == 'not_run':
        await context.ledger.release(claim.key_hash, claim.claim_id)
        return
    await context.ledger.record(
        claim.key_hash,
        claim.claim_id,
        pack_outcome(request.fingerprint, events),
    )
