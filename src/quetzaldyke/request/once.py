"""Runs a non-idempotent request at most once over the whole fleet.

A durable claim under the caller's key precedes the first byte to a
sidecar. The run goes on when its caller is gone, and its outcome is
recorded, so that a resend through any entry gets the first run's answer.
What can't be known is answered as `unknown`, never run again.
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
# Codes of the ledger that speak of the key, not of the service.
KEY_ERROR_CODES: Final = frozenset(('expired_key', 'future_key'))
# A UUIDv7 has its time in ms in the upper 48 of 128 bits.
UUID_TIMESTAMP_SHIFT: Final = 80
# A key from further ahead than clocks differ would outlive its record.
MAX_CLOCK_SKEW_MS: Final = 60_000
CLAIM_RETRY_MS: Final = 1000
# The ledger keeps outcomes that an outage held back; this is how often it
# tries to write them.
SETTLE_INTERVAL_S: Final = 1.0


@dataclass(slots=True)
class OnceContext:
    """What non-idempotent requests need of the entry."""

    execute: ExecuteContext
    ledger: ClaimLedger
    group: TaskGroup
    retention_s: float
    read_wall_ms: Callable[[], int] = wall_clock_ms
    # Runs that may go on without their caller.
    running: int = 0


@dataclass(frozen=True, slots=True)
class HeldClaim:
    """A claim that this process made and must settle."""

    key_hash: str
    claim_id: str


def uuid7_timestamp_ms(key: str) -> int | None:
    """Return the time in a UUIDv7, or None for any other text.

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
    """Return the time of a usable key."""
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
    """Return the claim's key; the organisation is part of it."""
    digest = hashlib.sha256()
    for part in (request.organisation, request.pool, request.idempotency_key):
        text = part.encode()
        digest.update(len(text).to_bytes(4, 'big'))
        digest.update(text)
    return digest.hexdigest()


def claim_failed(error: ClaimError) -> Refusal:
    """Return the refusal when a claim could not be made."""
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
    """Return the answer while another run of the key has no outcome."""
    return Refusal(
        HTTP_CONFLICT,
        'in_progress',
        'another run of this Idempotency-Key has no recorded outcome',
        'unknown',
        CLAIM_RETRY_MS,
    )


def key_reused() -> Refusal:
    """Return the refusal of a key that belongs to another request."""
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
    """Yield the answer of the only run under the request's key."""
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
    """Return the events of a recorded outcome."""
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
    """Run a claimed request in a task that outlives its caller."""
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
    """Run a claimed request to its end and record the outcome."""
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
    """Run a request and return its events; the last one ends it.

    The task belongs to the entry, so a fault here must not end the entry.
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
    """Hand an event to the caller if it is still there."""
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
    """Record the outcome, or give the claim back when nothing ran.

    The record goes before the answer, so that a resend after a lost answer
    finds it. The ledger repeats what an outage held back.
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
