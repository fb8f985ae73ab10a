"""Runs one online request: routing, attempts, retries and resumption.

A stream that breaks is continued on another endpoint after the text that
the caller already has. When that is not possible the events end with a
refusal, never with a short answer that looks whole.
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
    crashing,
    late,
    no_endpoint,
    overloaded,
    refusal_of,
)
from quetzaldyke.request.retry import (
    ANSWER_TOO_LARGE,
    Progress,
    is_free,
    may_retry,
    unsent_text,
)
from quetzaldyke.request.router import Pick, Router

RETRY_AFTER_MS: Final = 1000
# Answers of plain services are held until their status is known.
MAX_ANSWER_BYTES: Final = 16_777_216
NO_ENDPOINT: Final = 'no endpoint is available'
# Weight of the newest request in the mean time that a request takes.
SERVICE_WEIGHT: Final = 0.05
RETRY_PAUSES: Final = BackoffOptions(cap_s=0.5)


@dataclass(slots=True)
class ExecuteContext:
    """What running requests needs of the entry."""

    router: Router
    clock: Clock
    deadlines: DeadlineQueue
    log_event: LogEvent
    metrics: Metrics
    suspects: SuspectBook
    budgets: dict[str, RetryBudget] = field(default_factory=dict)
    service_s: dict[str, float] = field(default_factory=dict)
    sleep: Callable[[float], Awaitable[None]] = anyio.sleep

    def budget(self, pool: str) -> RetryBudget:
        """Return the retry budget of a pool."""
        if pool not in self.budgets:
            self.budgets[pool] = RetryBudget(self.clock.now)
        return self.budgets[pool]

    def note_service(self, pool: str, taken_s: float) -> None:
        """Update the mean time that a request of a pool runs."""
        mean_s = self.service_s.get(pool, taken_s)
        mean_s += SERVICE_WEIGHT * (taken_s - mean_s)
        self.service_s[pool] = mean_s


def make_submit(
    request: OnlineRequest,
    progress: Progress,
    remaining_s: float,
) -> Submit:
    """Return the message of the next attempt.

    Each attempt has its own id, so that a late message of an earlier one
    can't be taken for it.
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
        # Chunks are wanted even for a whole answer: they are what another
        # endpoint resumes from.
        stream=request.kind == 'engine',
        remaining_ms=max(1, int(remaining_s * MS_IN_S)),
        fingerprint=request.fingerprint,
        resume_text=''.join(progress.texts),
        resume_tokens=progress.tokens,
        attempt=progress.attempt,
    )


def refuse_early(
    context: ExecuteContext,
    request: OnlineRequest,
    pick: Pick | None,
) -> Refusal | None:
    """Refuse what must not run or could not start before its deadline."""
    if context.suspects.verdict(request.fingerprint) == 'confirmed':
        return crashing('not_run')
    remaining_s = request.deadline_s - context.clock.now()
    if remaining_s <= 0:
        return late('not_run')
    if pick is None:
        return no_endpoint(request.pool, RETRY_AFTER_MS)
    ahead = pick.load - pick.limit + 1
    wait_s = ahead / pick.limit * context.service_s.get(request.pool, 0)
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

    # The end of a request names its endpoint; a line for each first attempt
    # would double the cost of logging.
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


def end_of(end: End, progress: Progress) -> AnswerEnd:
    """Return the caller's form of the end of an answer."""
    return AnswerEnd(
        end.status,
        end.headers,
        end.body,
        end.finish_reason,
        end.prompt_tokens,
        progress.tokens or end.completion_tokens,
    )


def relay_chunk(chunk: Chunk, progress: Progress) -> AnswerText | None:
    """Keep a chunk and return what the caller gets of it now.

    Bytes of plain services wait for the end, because the status that goes
    before them comes with it.
    """
    if chunk.raw:
        progress.add_raw(chunk.raw)
        return None
    progress.add_text(chunk.text, chunk.tokens)
    return AnswerText(chunk.text, chunk.tokens)


def answer_too_large(request: OnlineRequest) -> Failed:
    """Return the failure of an answer that is not held in memory."""
    return Failed(request.request_id, 'ran', ANSWER_TOO_LARGE)


async def pause_before_retry(
    context: ExecuteContext,
    request: OnlineRequest,
    progress: Progress,
) -> bool:
    """Wait for the next attempt; False when it must not be made."""
    failed = progress.failed
    if not may_retry(request, progress, failed):
        return False
    if not is_free(failed) and not context.budget(request.pool).try_spend():
        context.log_event('retry_budget_spent', pool=request.pool)
        return False
    pause = backoff_s(
        RETRY_PAUSES,
        progress.attempt,
        context.router.random.uniform,
    )
    if context.clock.now() + pause >= request.deadline_s:
        return False
    await context.sleep(pause)
    return True


def note_failure(
    context: ExecuteContext,
    request: OnlineRequest,
    progress: Progress,
    pick: Pick,
    failed: Failed,
) -> None:
    """Record a failed attempt in the request and in the routing state."""
    name = pick.link.instance.instance
    progress.note_failure(name, failed)
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


async def run_and_relay(
    context: ExecuteContext,
    request: OnlineRequest,
    progress: Progress,
    pick: Pick,
) -> AsyncIterator[AnswerEvent]:
    """Yield what one attempt gives the caller."""
    attempt = run_attempt(context, request, progress, pick)
    async with aclosing(attempt) as events:  # type: ignore[type-var]
        async for event in events:
            for part in absorb(context, request, progress, pick, event):
                yield part
            if progress.raw_bytes > MAX_ANSWER_BYTES:
                progress.failed = answer_too_large(request)
                progress.ran = 'ran'
                return


def absorb(
    context: ExecuteContext,
    request: OnlineRequest,
    progress: Progress,
    pick: Pick,
    event: CallEvent,
) -> list[AnswerEvent]:
    """Add an event to the progress and return what the caller gets of it."""
    match event:
        case Started():
            progress.started_s = context.clock.now()
        case Chunk():
            part = relay_chunk(event, progress)
            if part is not None:
                note_first_part(context, request, progress)
                return [part]
        case Failed():
            text, tokens = unsent_text(progress, event)
            note_failure(context, request, progress, pick, event)
            if text:
                progress.add_text(text, tokens)
                return [AnswerText(text, tokens)]
        case End():
            progress.whole = True
            note_end(context, request, progress, pick)
            end = end_of(event, progress)
            raw = b''.join(progress.raws)
            return [AnswerBytes(raw), end] if raw else [end]
    return []


def note_first_part(
    context: ExecuteContext,
    request: OnlineRequest,
    progress: Progress,
) -> None:
    """Record the caller's time to the first token once."""
    if len(progress.texts) > 1:
        return
    taken_ms = (context.clock.now() - progress.begun_s) * MS_IN_S
    context.metrics.observe_ms('ttft_ms', taken_ms, pool=request.pool)


def note_end(
    context: ExecuteContext,
    request: OnlineRequest,
    progress: Progress,
    pick: Pick,
) -> None:
    """Record a whole answer."""
    taken_s = context.clock.now() - (progress.started_s or progress.begun_s)
    context.router.note_success(pick.link.instance.instance)
    context.note_service(request.pool, taken_s)
    context.metrics.count('requests_total', pool=request.pool, ran='ran')
    context.log_event(
        'request_ended',
        request_id=request.request_id,
        attempt=progress.attempt,
        endpoint=pick.link.instance.instance,
        tokens=progress.tokens,
    )


def note_refusal(
    context: ExecuteContext,
    request: OnlineRequest,
    refusal: Refusal,
) -> None:
    """Record a request that ended without an answer."""
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
    """Yield the answer of one request; the last event ends or refuses it."""
    context.budget(request.pool).deposit()
    progress = Progress(context.clock.now())
    refusal: Refusal | None = None
    while refusal is None:
        progress.failed = Failed(request.request_id, 'not_run', NO_ENDPOINT)
        pick = context.router.pick(request, progress.failed_on)
        early = refuse_early(context, request, pick)
        if early is None and pick is not None:
            parts = run_and_relay(context, request, progress, pick)
            async with aclosing(parts) as opened:  # type: ignore[type-var]
                async for part in opened:
                    yield part
        if progress.whole:
            return
        refusal = await retry_or_refuse(context, request, progress, early)
    note_refusal(context, request, refusal)
    yield refusal


async def retry_or_refuse(
    context: ExecuteContext,
    request: OnlineRequest,
    progress: Progress,
    early: Refusal | None,
) -> Refusal | None:
    """Wait for the next attempt, or return why there is none."""
    if early is not None and not progress.attempt:
        return early
    if early is not None and early.status != HTTP_UNAVAILABLE:
        return replace(early, ran=progress.ran)
    if await pause_before_retry(context, request, progress):
        return None
    if early is not None:
        return replace(early, ran=progress.ran)
    return refusal_of(progress.failed, progress.ran)
