"""Carries one online request to an endpoint and its answer back.

What may be repeated follows from the route's kind. A request that may run
only once is sent again only when the endpoint certainly did not run it. A
resumable stream goes on at another endpoint after its last whole event.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final, Protocol

from result import Err

from quetzaldyke.gateway.crashes import CrashBook
from quetzaldyke.gateway.dispatcher import Dispatcher, Place, Refusal
from quetzaldyke.gateway.event_stream import EventSplitter, StreamOrderError
from quetzaldyke.gateway.http_client import (
    Exchange,
    ExchangeError,
    Failure,
    HttpClient,
    ResponseHead,
    encode_request,
)
from quetzaldyke.gateway.model import Endpoint, Route
from quetzaldyke.platform import names

MS_IN_S: Final = 1000
# Sends that were certainly not run are not counted as attempts; this bounds
# them, because each costs the caller time.
MAX_SENDS: Final = 5
# A stream that can go on elsewhere is moved after this silence: early enough
# to be on time there, where the endpoint had a free slot.
FIRST_EVENT_STALL_SHARE: Final = 0.5
QUEUED_STALL_S: Final = 0.7
GAP_STALL_SHARE: Final = 0.6
MIN_STALL_S: Final = 0.12
# Share of the remaining time that a repeatable call waits for its first
# endpoint before it tries another.
FIRST_TRY_SHARE: Final = 0.45
# An idle connection may have been dropped without notice; a request that
# may run once goes on one only if it was used this recently.
ONCE_MAX_IDLE_S: Final = 0.5
REPEATABLE_MAX_IDLE_S: Final = 4.0
STATUS_OK: Final = 200
STATUS_ERROR: Final = 400
STATUS_MISDIRECTED: Final = 421
STATUS_BAD_GATEWAY: Final = 502
STATUS_UNAVAILABLE: Final = 503
STATUS_TIMEOUT: Final = 504
HOP_HEADERS: Final = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'expect',
    ),
)

Headers = list[tuple[bytes, bytes]]


class Caller(Protocol):
    """The side that waits for the answer."""

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of the answer."""

    async def send(self, chunk: bytes) -> None:
        """Send a part of the body."""

    async def finish(self) -> None:
        """Mark the answer as complete."""


class BrokenAnswerError(Exception):
    """An answer that had begun can't be completed; its channel must end."""


@dataclass(slots=True)
class OnlineRequest:
    """One attempt of a caller."""

    request_id: bytes
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    route: Route
    service: str
    arrived_s: float
    deadline_s: float
    last_event: int | None

    def fingerprint(self) -> str:
        """Return what a repeated request has in common with this one."""
        digest = hashlib.blake2b(self.body, digest_size=8)
        digest.update(self.method + self.target)
        return digest.hexdigest()


@dataclass(slots=True)
class Progress:
    """What has happened to a request so far."""

    splitter: EventSplitter = field(default_factory=EventSplitter)
    started: bool = False
    # Sends that an endpoint may have run.
    attempts: int = 0
    sends: int = 0
    tried: set[str] = field(default_factory=set)
    last_failure: str = ''
    endpoint_id: str = ''
    first_byte_s: float = 0.0
    # When the latest place was taken, and what was known of its endpoint.
    placed_s: float = 0.0
    running: int = 0


@dataclass(frozen=True, slots=True)
class RelayContext:
    """What all requests of a process share."""

    dispatcher: Dispatcher
    client: HttpClient
    crashes: CrashBook
    now: Callable[[], float]
    log_event: Callable[..., None]


@dataclass(frozen=True, slots=True)
class Outcome:
    """How a request ended, for logs and metrics."""

    status: int
    reason: str
    progress: Progress


async def relay(
    context: RelayContext,
    request: OnlineRequest,
    caller: Caller,
) -> Outcome:
    """Serve one request; raises `BrokenAnswerError` to end its channel."""
    progress = Progress(EventSplitter(request.last_event))
    fingerprint = request.fingerprint()
    if context.crashes.is_suspect(fingerprint, context.now()):
        return await refuse(
            caller,
            progress,
            Refusal('crashes_endpoints', 60.0),
        )
    while True:
        placed = await context.dispatcher.place(
            request.service,
            request.route,
            request.deadline_s,
            progress.tried,
        )
        if isinstance(placed, Err):
            return await refuse(caller, progress, placed.err_value)
        place = placed.ok_value
        try:
            outcome = await attempt(context, request, caller, progress, place)
        finally:
            context.dispatcher.release(place)
        if outcome is not None:
            return outcome
        final = may_not_retry(context, request, progress)
        if final is not None:
            return await give_up(caller, progress, *final)


def may_not_retry(
    context: RelayContext,
    request: OnlineRequest,
    progress: Progress,
) -> tuple[int, str] | None:
    """Return the final status if a failed request must not be sent again."""
    route = request.route
    if context.now() >= request.deadline_s:
        return STATUS_TIMEOUT, 'deadline'
    if progress.attempts and not route.idempotent:
        return STATUS_BAD_GATEWAY, progress.last_failure
    if progress.attempts >= route.max_attempts:
        return STATUS_BAD_GATEWAY, progress.last_failure
    if progress.sends >= MAX_SENDS:
        status = STATUS_BAD_GATEWAY if progress.attempts else STATUS_UNAVAILABLE
        return status, progress.last_failure
    if context.crashes.is_suspect(request.fingerprint(), context.now()):
        return STATUS_BAD_GATEWAY, 'crashes_endpoints'
    return None


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
    await caller.start(
        STATUS_UNAVAILABLE,
        [
            (names.RETRY_AFTER, b'%.2f' % refusal.retry_after_s),
            (b'content-length', b'0'),
        ],
    )
    await caller.finish()
    return Outcome(STATUS_UNAVAILABLE, refusal.reason, progress)


async def give_up(
    caller: Caller,
    progress: Progress,
    status: int,
    reason: str,
) -> Outcome:
    """Give the final answer to a request that can't be served."""
    if progress.started:
        raise BrokenAnswerError(reason)
    headers: Headers = [(b'content-length', b'0')]
    if status == STATUS_UNAVAILABLE:
        headers.append((names.RETRY_AFTER, b'0.5'))
    await caller.start(status, headers)
    await caller.finish()
    return Outcome(status, reason, progress)


async def attempt(
    context: RelayContext,
    request: OnlineRequest,
    caller: Caller,
    progress: Progress,
    place: Place,
) -> Outcome | None:
    """Send a request to one endpoint; None when it has to go elsewhere."""
    endpoint = place.endpoint
    progress.sends += 1
    progress.endpoint_id = endpoint.endpoint_id
    progress.placed_s = place.taken_s
    progress.running = context.dispatcher.loads.total(endpoint.endpoint_id)
    exchange = Exchange(names.ATTEMPT_ID, request.request_id)
    try:
        await context.client.start(
            endpoint.host,
            endpoint.port,
            encode_for(context, request, progress, endpoint),
            exchange,
            REPEATABLE_MAX_IDLE_S
            if request.route.idempotent
            else ONCE_MAX_IDLE_S,
        )
        progress.attempts += 1
        context.client.active.add(exchange)
        set_first_limit(context, request, progress, exchange, place)
        head = await exchange.read_head()
        if is_not_run(head):
            progress.attempts -= 1
            note_not_run(context, progress, endpoint, head)
            return None
        return await take_answer(
            context,
            request,
            caller,
            progress,
            (endpoint, exchange, head),
            place,
        )
    except ExchangeError as exc:
        note_failure(context, request, progress, endpoint, exc)
        return None
    finally:
        exchange.cancel()


def encode_for(
    context: RelayContext,
    request: OnlineRequest,
    progress: Progress,
    endpoint: Endpoint,
) -> bytes:
    """Return the request as one endpoint gets it."""
    left_ms = int((request.deadline_s - context.now()) * MS_IN_S)
    replaced = {
        names.DEADLINE,
        names.EXPECTED_ENDPOINT,
        names.LAST_EVENT,
        b'content-length',
    }
    headers = [
        pair
        for pair in request.headers
        if pair[0] not in HOP_HEADERS and pair[0] not in replaced
    ]
    headers.append((names.DEADLINE, b'%d' % max(1, left_ms)))
    headers.append((names.EXPECTED_ENDPOINT, endpoint.endpoint_id.encode()))
    last_event = progress.splitter.last_id
    if last_event is not None:
        headers.append((names.LAST_EVENT, b'%d' % last_event))
    return encode_request(
        request.method,
        request.target,
        headers,
        request.body,
    )


def set_first_limit(
    context: RelayContext,
    request: OnlineRequest,
    progress: Progress,
    exchange: Exchange,
    place: Place,
) -> None:
    """Bound the wait for the head of an answer."""
    now_s = context.now()
    limit_s = request.deadline_s
    route = request.route
    more = progress.attempts < route.max_attempts
    if route.idempotent and more:
        left_s = limit_s - now_s
        limit_s = now_s + left_s * FIRST_TRY_SHARE
        if route.kind == 'stream':
            limit_s = min(limit_s, now_s + first_stall_s(route, place))
    exchange.expires_at_s = limit_s


def first_stall_s(route: Route, place: Place) -> float:
    """Return how long the first event of a stream may take."""
    if place.queued:
        return QUEUED_STALL_S
    return max(MIN_STALL_S, FIRST_EVENT_STALL_SHARE * route.target_s)


def is_not_run(head: ResponseHead) -> bool:
    """Tell whether an answer says that the endpoint did not run it."""
    return (
        head.get(names.NOT_RUN) is not None or head.status == STATUS_MISDIRECTED
    )


def note_not_run(
    context: RelayContext,
    progress: Progress,
    endpoint: Endpoint,
    head: ResponseHead,
) -> None:
    """Remember an endpoint that turned a request away."""
    progress.tried.add(endpoint.endpoint_id)
    progress.last_failure = f'endpoint_refused_{head.status}'
    if head.status == STATUS_MISDIRECTED:
        context.dispatcher.book.note_failure(
            endpoint.endpoint_id,
            context.now(),
        )


def note_failure(
    context: RelayContext,
    request: OnlineRequest,
    progress: Progress,
    endpoint: Endpoint,
    exc: ExchangeError,
) -> None:
    """Remember a failed exchange and what it says about the endpoint."""
    progress.tried.add(endpoint.endpoint_id)
    progress.last_failure = exc.failure.value
    now_s = context.now()
    if exc.failure is Failure.BROKEN:
        context.crashes.note(
            request.fingerprint(),
            endpoint.endpoint_id,
            now_s,
        )
    aside_s = context.dispatcher.book.note_failure(endpoint.endpoint_id, now_s)
    context.log_event(
        'attempt_failed',
        request=request.request_id.decode('latin-1'),
        endpoint=endpoint.endpoint_id,
        failure=str(exc),
        attempts=progress.attempts,
        last_event=progress.splitter.last_id,
        aside_s=aside_s,
    )


Answer = tuple[Endpoint, Exchange, ResponseHead]


async def take_answer(
    context: RelayContext,
    request: OnlineRequest,
    caller: Caller,
    progress: Progress,
    answer: Answer,
    place: Place,
) -> Outcome | None:
    """Pass an answer on to the caller."""
    endpoint, exchange, head = answer
    signed = head.get(names.SIGNATURE) is not None
    if head.status < STATUS_ERROR and not signed:
        raise ExchangeError(Failure.MALFORMED, 'no signature')
    if request.route.kind == 'stream' and head.status == STATUS_OK:
        return await pass_events(
            context,
            request,
            caller,
            progress,
            answer,
            place,
        )
    exchange.expires_at_s = request.deadline_s
    body = await exchange.read_body()
    if head.status >= STATUS_ERROR:
        return await take_error(context, request, caller, progress, answer, body)
    if progress.started:
        raise ExchangeError(Failure.MALFORMED, f'status {head.status}')
    context.dispatcher.book.note_success(endpoint.endpoint_id)
    await pass_body(caller, head, body)
    return Outcome(head.status, 'served', progress)


async def take_error(
    context: RelayContext,
    request: OnlineRequest,
    caller: Caller,
    progress: Progress,
    answer: Answer,
    body: bytes,
) -> Outcome | None:
    """Try another endpoint after an error if that is allowed."""
    endpoint, _, head = answer
    progress.tried.add(endpoint.endpoint_id)
    progress.last_failure = f'endpoint_status_{head.status}'
    if head.status > STATUS_ERROR + 99:
        context.dispatcher.book.note_failure(
            endpoint.endpoint_id,
            context.now(),
        )
        if may_not_retry(context, request, progress) is None:
            return None
    if progress.started:
        raise BrokenAnswerError(progress.last_failure)
    await pass_body(caller, head, body)
    return Outcome(head.status, progress.last_failure, progress)


async def pass_body(caller: Caller, head: ResponseHead, body: bytes) -> None:
    """Send a whole answer."""
    headers = answer_headers(head)
    headers.append((b'content-length', b'%d' % len(body)))
    await caller.start(head.status, headers)
    await caller.send(body)
    await caller.finish()


def answer_headers(head: ResponseHead) -> Headers:
    """Return the headers that concern the caller."""
    return [
        pair
        for pair in head.headers
        if pair[0] not in HOP_HEADERS
        and pair[0] not in {b'content-length', names.LOAD}
    ]


async def pass_events(
    context: RelayContext,
    request: OnlineRequest,
    caller: Caller,
    progress: Progress,
    answer: Answer,
    place: Place,
) -> Outcome | None:
    """Pass a stream on, event by event."""
    endpoint, exchange, head = answer
    splitter = progress.splitter
    splitter.restart()
    route = request.route
    more = route.resumable and progress.attempts < route.max_attempts
    stall_s = first_stall_s(route, place)
    if not progress.started:
        progress.started = True
        await caller.start(head.status, answer_headers(head))
    while True:
        now_s = context.now()
        limit_s = request.deadline_s
        if more:
            limit_s = min(limit_s, now_s + stall_s)
        exchange.expires_at_s = limit_s
        chunk = await exchange.read_chunk()
        if not chunk:
            break
        try:
            events = splitter.feed(chunk)
        except StreamOrderError as exc:
            raise ExchangeError(Failure.MALFORMED, str(exc)) from exc
        if events:
            progress.first_byte_s = progress.first_byte_s or context.now()
            stall_s = max(MIN_STALL_S, GAP_STALL_SHARE * route.max_gap_s)
            await caller.send(events)
    if splitter.partial:
        raise ExchangeError(Failure.BROKEN, 'ended inside an event')
    context.dispatcher.book.note_success(endpoint.endpoint_id)
    await caller.finish()
    return Outcome(head.status, 'served', progress)

