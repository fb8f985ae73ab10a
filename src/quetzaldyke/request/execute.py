"""Runs one online request: routing, attempts, retries and resumption.

A broken stream is resumed on another endpoint after the text that the caller
already has. If that is not possible the events end with a refusal, so that a
truncated answer never looks complete.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import aclosing
from dataclasses import dataclass, field, replace
from typing import Final

import anyio

from quetzaldyke.connection.calls import Call, CallEvent, CallTable
from quetzaldyke.connection.messages import (
    Chunk,
    End,
    Failed,
    Started,
    Submit,
)
from quetzaldyke.parts.backoff import BackoffOptions, backoff_s
from quetzaldyke.parts.retry_budget import RetryBudget
from quetzaldyke.parts.hlc import wall_clock_ms
from quetzaldyke.parts.suspects import SuspectBook
from quetzaldyke.parts.timers import Clock
from quetzaldyke.process.logs import LogEvent
from quetzaldyke.process.metrics import Metrics
from quetzaldyke.request.attempt import MS_IN_S, run_on
from quetzaldyke.request.deadline import DeadlineQueue
from quetzaldyke.request.model import OnlineRequest
from quetzaldyke.request.outcome import (
    HTTP_UNAVAILABLE,
    AnswerBytes,
    AnswerEnd,
    AnswerEvent,
    AnswerText,
    Refusal,
    crashes_endpoints,
    deadline_exceeded,
    no_endpoint,
    overloaded,
    refusal_for_failure,
)
from quetzaldyke.request.retry import (
    ANSWER_TOO_LARGE,
    Progress,
    is_budget_exempt,
    may_retry,
    unsent_text,
)
from quetzaldyke.request.router import Pick, Router

RETRY_AFTER_MS: Final = 1000
# Answers of plain services are buffered until their status is known.
MAX_ANSWER_BYTES: Final = 16_777_216
NO_ENDPOINT: Final = 'no endpoint is available'
# Weight of the newest sample in the moving average of the service time.
SERVICE_TIME_WEIGHT: Final = 0.05
RETRY_BACKOFF: Final = BackoffOptions(cap_s=0.5)


@dataclass(slots=True)
class ExecuteContext:
    """Entry state that online requests share."""

    router: Router
    clock: Clock
    deadlines: DeadlineQueue
    log_event: LogEvent
    metrics: Metrics
    suspects: SuspectBook
    retry_budgets: dict[str, RetryBudget] = field(default_factory=dict)
    mean_service_s: dict[str, float] = field(default_factory=dict)
    sleep: Callable[[float], Awaitable[None]] = anyio.sleep

    def budget(self, pool: str) -> RetryBudget:
        """Return the retry budget of a pool, created on first use."""
        if pool not in self.retry_budgets:
            self.retry_budgets[pool] = RetryBudget(self.clock.now)
        return self.retry_budgets[pool]

    def record_service_time(self, pool: str, elapsed_s: float) -> None:
        """Update the moving average of a pool's service time."""
        mean_s = self.mean_service_s.get(pool, elapsed_s)
        mean_s += SERVICE_TIME_WEIGHT * (elapsed_s - mean_s)
        self.mean_service_s[pool] = mean_s


def make_submit(
    request: OnlineRequest,
    progress: Progress,
    remaining_s: float,
) -> Submit:
    """Return the message that submits the current attempt.

    Each attempt has its own id, so that a delayed message of an earlier
    attempt is not attributed to it.
    """
    suffix = f'.{progress.attempt}' if progress.attempt > 1 else ''
    return Submit(
        request_id=f'{request.request_id}{suffix}',
        work='online',
        idempotent=request.idempotent,
        organisation=request.organisation,
        pool=request.pool,
        method=request.method,
        path=request.path,
        headers=request.headers,
        body=request.body,
        # Engines stream even if the caller does not: another endpoint
        # resumes from the chunks.
        stream=request.kind == 'engine',
        remaining_ms=max(1, int(remaining_s * MS_IN_S)),
        fingerprint=request.fingerprint,
        parts=list(request.parts),
        resume_text=''.join(progress.texts),
        resume_tokens=progress.tokens,
        attempt=progress.attempt,
    )


def refuse_early(
    context: ExecuteContext,
    request: OnlineRequest,
    pick: Pick | None,
) -> Refusal | None:
    """Return a refusal unless the request may run and can start in time."""
    verdict = context.suspects.request_verdict(
        request.fingerprint, request.parts, wall_clock_ms()
    )
    if verdict == 'confirmed':
        return crashes_endpoints('not_run')
    remaining_s = request.deadline_s - context.clock.now()
    if remaining_s <= 0:
        return deadline_exceeded('not_run')
    if pick is None:
        return no_endpoint(request.pool, RETRY_AFTER_MS)
    queued = pick.load - pick.limit + 1
    wait_s = queued / pick.limit * context.mean_service_s.get(request.pool, 0)
    if wait_s > remaining_s:
        return overloaded(request.pool, int(wait_s * MS_IN_S))
    return None


async def run_attempt(
    context: ExecuteContext,
    request: OnlineRequest,
    progress: Progress,
    pick: Pick,
) -> AsyncIterator[CallEvent]:
    """Yield the events of one attempt on the chosen endpoint."""
    progress.begin_attempt()
    remaining_s = request.deadline_s - context.clock.now()
    submit = make_submit(request, progress, remaining_s)

    def watch_deadline(table: CallTable, call: Call) -> None:
        context.deadlines.add(request.deadline_s, table, call)

    # First attempts are not logged, as that would double the cost of logging;
    # `request_ended` names their endpoint.
    if progress.attempt > 1:
        context.log_event(
            'request_routed',
            request_id=request.request_id,
            attempt=progress.attempt,
            endpoint=pick.link.instance.instance,
            resumed_at=progress.tokens,
        )
    with context.router.borrowing(request, pick):
        attempt = run_on(pick.link, submit, watch_deadline, context.clock.now)
        async with aclosing(attempt) as events:  # type: ignore[type-var]
            async for event in events:
                yield event


def answer_end(end: End, progress: Progress) -> AnswerEnd:
    """Convert the sidecar's end message to the caller's end event."""
    return AnswerEnd(
        end.status,
        end.headers,
        end.body,
        end.finish_reason,
        end.prompt_tokens,
        progress.tokens or end.completion_tokens,
    )


def record_chunk(chunk: Chunk, progress: Progress) -> AnswerText | None:
    """Record a chunk and return its text event, or None for raw bytes.

    Bytes of plain services are buffered until the end message, which
    carries the status that precedes them.
    """
    if chunk.raw:
        progress.add_raw(chunk.raw)
        return None
    progress.add_text(chunk.text, chunk.tokens)
    return AnswerText(chunk.text, chunk.tokens)


def answer_too_large(request: OnlineRequest) -> Failed:
    """Return the failure for an answer over `MAX_ANSWER_BYTES`."""
    return Failed(request.request_id, 'ran', ANSWER_TOO_LARGE)


async def pause_before_retry(
    context: ExecuteContext,
    request: OnlineRequest,
    progress: Progress,
) -> bool:
    """Back off before a retry; return False if none is allowed."""
    failed = progress.failure
    if not may_retry(request, progress, failed):
        return False
    if (
        not is_budget_exempt(failed)
        and not context.budget(request.pool).try_spend()
    ):
        context.log_event('retry_budget_spent', pool=request.pool)
        return False
    pause = backoff_s(
        RETRY_BACKOFF,
        progress.attempt,
        context.router.random.uniform,
    )
    if context.clock.now() + pause >= request.deadline_s:
        return False
    await context.sleep(pause)
    return True


def record_failure(
    context: ExecuteContext,
    request: OnlineRequest,
    progress: Progress,
    pick: Pick,
    failed: Failed,
) -> None:
    """Record and log a failed attempt; eject a disconnected endpoint."""
    name = pick.link.instance.instance
    progress.record_failure(name, failed)
    if failed.ran != 'not_run' and pick.link.session.closed:
        context.router.eject(name)
    context.log_event(
        'attempt_failed',
        request_id=request.request_id,
        attempt=progress.attempt,
        endpoint=name,
        ran=failed.ran,
        reason=failed.reason,
    )


async def relay_attempt(
    context: ExecuteContext,
    request: OnlineRequest,
    progress: Progress,
    pick: Pick,
) -> AsyncIterator[AnswerEvent]:
    """Yield the caller's events of one attempt."""
    attempt = run_attempt(context, request, progress, pick)
    async with aclosing(attempt) as events:  # type: ignore[type-var]
        async for event in events:
            for part in handle_event(context, request, progress, pick, event):
                yield part
            if progress.raw_size > MAX_ANSWER_BYTES:
                progress.failure = answer_too_large(request)
                progress.ran = 'ran'
                return


def handle_event(
    context: ExecuteContext,
    request: OnlineRequest,
    progress: Progress,
    pick: Pick,
    event: CallEvent,
) -> list[AnswerEvent]:
    """Update the progress by an event and return the caller's events."""
    match event:
        case Started():
            progress.started_s = context.clock.now()
        case Chunk():
            part = record_chunk(event, progress)
            if part is not None:
                record_ttft(context, request, progress)
                return [part]
        case Failed():
            text, tokens = unsent_text(progress, event)
            record_failure(context, request, progress, pick, event)
            if text:
                progress.add_text(text, tokens)
                return [AnswerText(text, tokens)]
        case End():
            progress.completed = True
            record_completion(context, request, progress, pick)
            end = answer_end(event, progress)
            raw = b''.join(progress.raw_chunks)
            return [AnswerBytes(raw), end] if raw else [end]
    return []


def record_ttft(
    context: ExecuteContext,
    request: OnlineRequest,
    progress: Progress,
) -> None:
    """Record the time to first token if this is the first text."""
    if len(progress.texts) > 1:
        return
    elapsed_ms = (context.clock.now() - progress.arrived_s) * MS_IN_S
    context.metrics.observe_ms('ttft_ms', elapsed_ms, pool=request.pool)


def record_completion(
    context: ExecuteContext,
    request: OnlineRequest,
    progress: Progress,
    pick: Pick,
) -> None:
    """Update statistics and log for a completed answer."""
    elapsed_s = context.clock.now() - (progress.started_s or progress.arrived_s)
    context.router.record_success(pick.link.instance.instance)
    context.record_service_time(request.pool, elapsed_s)
    context.metrics.count('requests_total', pool=request.pool, ran='ran')
    context.log_event(
        'request_ended',
        request_id=request.request_id,
        attempt=progress.attempt,
        endpoint=pick.link.instance.instance,
        tokens=progress.tokens,
    )


def record_refusal(
    context: ExecuteContext,
    request: OnlineRequest,
    refusal: Refusal,
) -> None:
    """Count and log a request that ended without an answer."""
    context.metrics.count(
        'refusals_total',
        pool=request.pool,
        code=refusal.code,
        ran=refusal.ran,
    )
    context.log_event(
        'request_refused',
        request_id=request.request_id,
        code=refusal.code,
        ran=refusal.ran,
    )


async def execute_online(
    context: ExecuteContext,
    request: OnlineRequest,
) -> AsyncIterator[AnswerEvent]:
    """Yield the events of a request, ending with an end or a refusal."""
    context.budget(request.pool).deposit()
    progress = Progress(context.clock.now())
    refusal: Refusal | None = None
    while refusal is None:
        progress.failure = Failed(request.request_id, 'not_run', NO_ENDPOINT)
        pick = context.router.pick(request, progress.failed_endpoints)
        early_refusal = refuse_early(context, request, pick)
        if early_refusal is None and pick is not None:
            parts = relay_attempt(context, request, progress, pick)
            async with aclosing(parts) as opened:  # type: ignore[type-var]
                async for part in opened:
                    yield part
        if progress.completed:
            return
        refusal = await retry_or_refuse(
            context, request, progress, early_refusal
        )
    record_refusal(context, request, refusal)
    yield refusal


async def retry_or_refuse(
    context: ExecuteContext,
    request: OnlineRequest,
    progress: Progress,
    early_refusal: Refusal | None,
) -> Refusal | None:
    """Return None after the backoff, or the refusal if no retry follows."""
    if early_refusal is not None and not progress.attempt:
        return early_refusal
    if early_refusal is not None and early_refusal.status != HTTP_UNAVAILABLE:
        return replace(early_refusal, ran=progress.ran)
    if await pause_before_retry(context, request, progress):
        return None
    if early_refusal is not None:
        return replace(early_refusal, ran=progress.ran)
    return refusal_for_failure(progress.failure, progress.ran)
