"""One attempt to have an endpoint serve an online request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from quetzaldyke.gateway.answers import answer
from quetzaldyke.gateway.broken_answer import BrokenAnswerError
from quetzaldyke.gateway.dispatcher import Reservation
from quetzaldyke.gateway.event_stream import StreamOrderError
from quetzaldyke.gateway.exchange import (
    Exchange,
    ExchangeError,
    Failure,
    ResponseHead,
)
from quetzaldyke.gateway.http_client import encode_request
from quetzaldyke.gateway.online_request import (
    Caller,
    Headers,
    OnlineRequest,
    Outcome,
    Progress,
    RelayContext,
)
from quetzaldyke.gateway.retries import (
    STATUS_MISDIRECTED,
    STATUS_TIMEOUT,
    is_not_run,
    may_not_retry,
)
from quetzaldyke.gateway.stalls import (
    extended_s,
    first_event_s,
    first_head_s,
    next_event_s,
)
from quetzaldyke.platform import names

MS_IN_S: Final = 1000
# An idle connection may have been dropped without notice; a request that
# may run once goes on one only if it was used this recently.
ONCE_MAX_IDLE_S: Final = 0.5
REPEATABLE_MAX_IDLE_S: Final = 4.0
# An endpoint that sent something this lately serves; a crash is noticed by
# the next connection.
SERVING_S: Final = 0.2
STATUS_OK: Final = 200
FIRST_ERROR_STATUS: Final = 400
FIRST_FAULT_STATUS: Final = 500
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
# Set anew for each attempt.
REPLACED_HEADERS: Final = frozenset(
    (
        names.DEADLINE,
        names.EXPECTED_ENDPOINT,
        names.LAST_EVENT,
        b'content-length',
    ),
)
# Told to this process, or written anew by its server.
INNER_HEADERS: Final = frozenset((names.LOAD, b'content-length'))


@dataclass(slots=True)
class Attempt:
    """One send of a request and what comes back."""

    context: RelayContext
    request: OnlineRequest
    caller: Caller
    progress: Progress
    reservation: Reservation
    exchange: Exchange

    @property
    def endpoint_id(self) -> str:
        """Return the id of the endpoint."""
        return self.reservation.endpoint.endpoint_id

    async def run(self) -> Outcome | None:
        """Serve the request; None when it has to go elsewhere."""
        try:
            head = await self.send()
            if is_not_run(head):
                self.note_not_run(head)
                return None
            return await self.take_answer(head)
        except ExchangeError as exc:
            self.note_failure(exc)
            return None
        finally:
            self.exchange.cancel()

    async def send(self) -> ResponseHead:
        """Send the request and return the head of its answer."""
        endpoint = self.reservation.endpoint
        idempotent = self.request.route.idempotent
        await self.context.client.start(
            endpoint.host,
            endpoint.port,
            self.encode(),
            self.exchange,
            REPEATABLE_MAX_IDLE_S if idempotent else ONCE_MAX_IDLE_S,
        )
        self.progress.attempts += 1
        self.context.client.active.add(self.exchange)
        self.exchange.expires_at_s = first_head_s(
            self.request,
            self.reservation,
            self.progress.attempts,
            self.context.now(),
        )
        if self.request.route.kind == 'stream':
            self.exchange.extend = self.extend_first_event
        return await self.exchange.read_head()

    def extend_first_event(self, now_s: float) -> float:
        """Return until when the first event may take, 0 for no longer."""
        if self.progress.run_events or now_s >= self.request.deadline_s:
            return 0.0
        silence_s = first_event_s(self.request.route, self.reservation)
        endpoints = self.context.dispatcher.endpoints
        return extended_s(endpoints, self.reservation, silence_s, now_s)

    def encode(self) -> bytes:
        """Return the request as the endpoint gets it."""
        request = self.request
        left_s = request.deadline_s - self.context.now()
        headers = [
            pair
            for pair in request.headers
            if pair[0] not in HOP_HEADERS and pair[0] not in REPLACED_HEADERS
        ]
        headers.append((names.DEADLINE, b'%d' % max(1, int(left_s * MS_IN_S))))
        headers.append((names.EXPECTED_ENDPOINT, self.endpoint_id.encode()))
        last_event = self.progress.splitter.last_id
        if last_event is not None:
            headers.append((names.LAST_EVENT, b'%d' % last_event))
        return encode_request(
            request.method,
            request.target,
            headers,
            request.body,
        )

    def note_not_run(self, head: ResponseHead) -> None:
        """Remember an endpoint that turned the request away."""
        self.progress.attempts -= 1
        self.progress.tried.add(self.endpoint_id)
        self.progress.last_failure = f'endpoint_refused_{head.status}'
        ejected_s = 0.0
        if head.status == STATUS_MISDIRECTED:
            ejected_s = self.eject()
        self.log('attempt_not_run', f'status {head.status}', ejected_s)

    def note_failure(self, exc: ExchangeError) -> None:
        """Remember a failed exchange and what it says of the endpoint."""
        self.progress.tried.add(self.endpoint_id)
        self.progress.last_failure = exc.failure.value
        if exc.failure is Failure.BROKEN:
            self.context.crashes.note(
                self.request.fingerprint(),
                self.endpoint_id,
            )
        self.log('attempt_failed', str(exc), self.eject_after(exc))

    def note_served(self) -> None:
        """Remember that the endpoint ran the request to its end."""
        self.context.dispatcher.endpoints.note_success(self.endpoint_id)
        self.context.crashes.note_served(self.request.fingerprint())

    def eject_after(self, exc: ExchangeError) -> float:
        """Eject the endpoint unless it has just served others."""
        endpoints = self.context.dispatcher.endpoints
        now_s = self.context.now()
        if exc.failure is Failure.STALLED:
            since_s = self.reservation.taken_s
        elif exc.failure is Failure.BROKEN:
            since_s = now_s - SERVING_S
        else:
            return self.eject()
        if endpoints.sent_since(self.endpoint_id, since_s):
            return endpoints.note_lost_answer(self.endpoint_id, now_s)
        return self.eject()

    def eject(self) -> float:
        """Give the endpoint a pause; return for how long."""
        return self.context.dispatcher.endpoints.note_failure(
            self.endpoint_id,
            self.context.now(),
        )

    def log(self, event: str, failure: str, ejected_s: float) -> None:
        """Log what became of this attempt."""
        self.context.log_event(
            event,
            request=self.request.request_id.decode('latin-1'),
            endpoint=self.endpoint_id,
            failure=failure,
            attempts=self.progress.attempts,
            last_event=self.progress.splitter.last_id,
            waited_ms=int(
                (self.context.now() - self.reservation.taken_s) * MS_IN_S,
            ),
            running=self.progress.running,
            ejected_s=ejected_s,
        )

    async def take_answer(self, head: ResponseHead) -> Outcome | None:
        """Pass an answer on to the caller."""
        signed = head.get(names.SIGNATURE) is not None
        if head.status < FIRST_ERROR_STATUS and not signed:
            raise ExchangeError(Failure.MALFORMED, 'no signature')
        if self.request.route.kind == 'stream' and head.status == STATUS_OK:
            return await self.pass_stream(head)
        self.exchange.expires_at_s = self.request.deadline_s
        body = await self.exchange.read_body()
        if head.status >= FIRST_ERROR_STATUS:
            return await self.take_error(head, body)
        if self.progress.started:
            raise ExchangeError(Failure.MALFORMED, f'status {head.status}')
        self.note_served()
        return await self.pass_body(head, body, 'served')

    async def take_error(
        self,
        head: ResponseHead,
        body: bytes,
    ) -> Outcome | None:
        """Try another endpoint after a fault if that is allowed."""
        progress = self.progress
        progress.tried.add(self.endpoint_id)
        progress.last_failure = f'endpoint_status_{head.status}'
        if head.status >= FIRST_FAULT_STATUS:
            # A request that ran out of time says nothing of the endpoint.
            late = head.status == STATUS_TIMEOUT
            ejected_s = 0.0 if late else self.eject()
            self.log('attempt_failed', f'status {head.status}', ejected_s)
            retry = may_not_retry(self.context, self.request, progress) is None
            if retry:
                return None
        if progress.started:
            raise BrokenAnswerError(progress.last_failure)
        return await self.pass_body(head, body, progress.last_failure)

    async def pass_body(
        self,
        head: ResponseHead,
        body: bytes,
        reason: str,
    ) -> Outcome:
        """Send a whole answer."""
        await answer(self.caller, head.status, body, answer_headers(head))
        return Outcome(head.status, reason)

    async def pass_stream(self, head: ResponseHead) -> Outcome:
        """Pass a stream on, event by event."""
        self.progress.splitter.restart()
        if not self.progress.started:
            self.progress.started = True
            await self.caller.start(head.status, answer_headers(head))
        may_move = (
            self.request.route.resumable
            and self.progress.attempts < self.request.route.max_attempts
        )
        passing = True
        while passing:
            passing = await self.pass_events(may_move=may_move)
        if self.progress.splitter.partial:
            raise ExchangeError(Failure.BROKEN, 'ended inside an event')
        self.note_served()
        await self.caller.finish()
        return Outcome(head.status, 'served')

    async def pass_events(self, *, may_move: bool) -> bool:
        """Pass the next events on; False at the end of the stream."""
        now_s = self.context.now()
        route = self.request.route
        limit_s = self.request.deadline_s
        if may_move and self.progress.run_events:
            limit_s = min(limit_s, now_s + next_event_s(route))
        elif may_move:
            limit_s = min(
                limit_s, now_s + first_event_s(route, self.reservation)
            )
        self.exchange.expires_at_s = limit_s
        chunk = await self.exchange.read_chunk()
        if not chunk:
            return False
        try:
            events = self.progress.splitter.feed(chunk)
        except StreamOrderError as exc:
            raise ExchangeError(Failure.MALFORMED, str(exc)) from exc
        now_s = self.context.now()
        self.context.dispatcher.endpoints.note_bytes(self.endpoint_id, now_s)
        if events:
            self.progress.note_events(now_s)
            await self.caller.send(events)
        return True


def answer_headers(head: ResponseHead) -> Headers:
    """Return the headers that concern the caller."""
    return [
        pair
        for pair in head.headers
        if pair[0] not in HOP_HEADERS and pair[0] not in INNER_HEADERS
    ]
