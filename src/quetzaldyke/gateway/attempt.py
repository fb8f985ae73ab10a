"""Sends an online request to one endpoint and handles the response."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from quetzaldyke.gateway.answer_meter import note_head
from quetzaldyke.gateway.connection_reuse import max_idle_s
from quetzaldyke.gateway.crashes import PROGRESS_CHUNKS
from quetzaldyke.gateway.event_stream import StreamError
from quetzaldyke.gateway.exchange import (
    Exchange,
    ExchangeError,
    Failure,
    ResponseHead,
)
from quetzaldyke.gateway.forwarded_headers import (
    end_to_end_headers,
    request_headers,
)
from quetzaldyke.gateway.http_client import encode_request
from quetzaldyke.gateway.incomplete_response import IncompleteResponseError
from quetzaldyke.gateway.online_request import (
    Caller,
    OnlineRequest,
    Outcome,
    Progress,
    RelayContext,
)
from quetzaldyke.gateway.reservation import Reservation
from quetzaldyke.gateway.responses import send_response
from quetzaldyke.gateway.retries import (
    PROMISING_STATUSES,
    STATUS_BAD_GATEWAY,
    STATUS_MISDIRECTED,
    STATUS_TIMEOUT,
    final_failure,
    is_not_run,
    note_stated_end,
)
from quetzaldyke.gateway.stalls import (
    answer_deadline_s,
    extended_deadline_s,
    first_event_timeout_s,
    head_deadline_s,
    next_event_timeout_s,
)
from quetzaldyke.platform import names
from quetzaldyke.platform.limits import decode_limit, decode_retry_after

MS_IN_S: Final = 1000
# An endpoint that sent bytes this recently counts as serving and is not
# ejected for a broken connection. If it did crash, the next connection fails.
RECENTLY_SERVING_S: Final = 0.2
STATUS_OK: Final = 200
FIRST_ERROR_STATUS: Final = 400
FIRST_SERVER_ERROR_STATUS: Final = 500


@dataclass(slots=True)
class Attempt:
    """One attempt to serve a request at one endpoint."""

    context: RelayContext
    request: OnlineRequest
    caller: Caller
    progress: Progress
    reservation: Reservation
    exchange: Exchange

    @property
    def endpoint_id(self) -> str:
        """Return the id of the endpoint that serves this attempt."""
        return self.reservation.endpoint.endpoint_id

    async def run(self) -> Outcome | None:
        """Send the request and forward the response.

        Returns None if the attempt failed and the caller has no final
        response yet. Raises `IncompleteResponseError` when a started
        response can't be completed.
        """
        try:
            head = await self.send()
            self.progress.meter = note_head(
                self.context.dispatcher, self.reservation, head
            )
            not_run = is_not_run(head)
            self.note_limit(head, not_run=not_run)
            if not_run:
                self.note_not_run(head)
                return None
            return await self.handle_response(head)
        except ExchangeError as exc:
            self.note_failure(exc)
            return None
        finally:
            self.exchange.cancel()

    async def send(self) -> ResponseHead:
        """Send the request and return the head of the response.

        Raises `ExchangeError` if it can't be sent or no head arrives.
        """
        endpoint = self.reservation.endpoint
        await self.context.client.start(
            endpoint.host,
            endpoint.port,
            self.encode(),
            self.exchange,
            max_idle_s(self.context, self.request.route, endpoint),
        )
        self.progress.attempts += 1
        self.context.dispatcher.permits.limits.note_sent(endpoint, online=True)
        self.context.client.active.add(self.exchange)
        self.exchange.expires_at_s = head_deadline_s(
            self.request, self.reservation, self.progress, self.context.now()
        )
        if self.request.route.kind == 'stream':
            self.exchange.extend = self.extend_first_event_wait
        return await self.exchange.read_head()

    def extend_first_event_wait(self, now_s: float) -> float:
        """Return a later deadline for the first event, or 0 for none."""
        deadline_s = answer_deadline_s(self.request, self.progress)
        if self.progress.event_chunks or now_s >= deadline_s:
            return 0.0
        silence_timeout_s = first_event_timeout_s(
            self.request.route, self.reservation
        )
        endpoints = self.context.dispatcher.endpoints
        later_s = extended_deadline_s(
            endpoints, self.reservation, silence_timeout_s, now_s
        )
        return min(later_s, deadline_s)

    def encode(self) -> bytes:
        """Return the bytes of the request that is sent to the endpoint."""
        request = self.request
        remaining_s = request.deadline_s - self.context.now()
        headers = request_headers(request.headers)
        headers.append(
            (names.DEADLINE, b'%d' % max(1, int(remaining_s * MS_IN_S)))
        )
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

    def note_limit(self, head: ResponseHead, *, not_run: bool) -> None:
        """Record whether the response names a limit of the endpoint."""
        self.context.dispatcher.permits.limits.note_answer(
            self.reservation.endpoint,
            decode_limit(head.headers),
            served=head.status < FIRST_ERROR_STATUS and not not_run,
            age_s=self.context.now() - self.reservation.reserved_s,
            permitted=self.reservation.permitted,
        )

    def note_not_run(self, head: ResponseHead) -> None:
        """Record that the endpoint rejected the request without running it."""
        self.progress.attempts -= 1
        self.progress.tried_endpoints.add(self.endpoint_id)
        self.progress.last_failure = f'endpoint_refused_{head.status}'
        ejected_s = 0.0
        if head.status == STATUS_MISDIRECTED:
            ejected_s = self.eject()
        self.context.dispatcher.permits.limits.note_refused(
            self.reservation.endpoint,
            decode_retry_after(head.headers),
            self.context.now(),
        )
        self.log_attempt('attempt_not_run', f'status {head.status}', ejected_s)

    def note_failure(self, exc: ExchangeError) -> None:
        """Record a failed exchange, a possible crash and the ejection."""
        self.progress.tried_endpoints.add(self.endpoint_id)
        self.progress.last_failure = exc.failure.value
        if exc.failure is Failure.BROKEN:
            self.context.crashes.note_crash(
                self.request.traits(),
                self.reservation.endpoint,
                late=self.progress.event_chunks >= PROGRESS_CHUNKS,
                sent_s=self.reservation.reserved_s,
            )
        self.log_attempt(
            'attempt_failed', str(exc), self.eject_unless_serving(exc)
        )

    def note_served(self) -> None:
        """Record a success, which also clears the request of crashes."""
        self.progress.note_served(self.context.now())
        self.context.dispatcher.endpoints.note_success(self.endpoint_id)
        self.context.crashes.note_served(self.request.traits())

    def eject_unless_serving(self, exc: ExchangeError) -> float:
        """Eject the endpoint after a failure unless it is still serving.

        A stalled or broken exchange at an endpoint that still sends bytes to
        others counts as a lost response, which ejects it only if many are
        lost. Returns the ejection time in seconds, 0 for none.
        """
        endpoints = self.context.dispatcher.endpoints
        now_s = self.context.now()
        if exc.failure is Failure.STALLED:
            since_s = self.reservation.reserved_s
        elif exc.failure is Failure.BROKEN:
            since_s = now_s - RECENTLY_SERVING_S
        else:
            return self.eject()
        if endpoints.sent_since(self.endpoint_id, since_s):
            return endpoints.note_lost_answer(self.endpoint_id, now_s)
        return self.eject()

    def eject(self) -> float:
        """Eject the endpoint; return for how many seconds."""
        return self.context.dispatcher.endpoints.note_failure(
            self.endpoint_id,
            self.context.now(),
        )

    def log_attempt(self, event: str, failure: str, ejected_s: float) -> None:
        """Log the failure of this attempt."""
        self.context.log_event(
            event,
            request=self.request.request_id.decode('latin-1'),
            endpoint=self.endpoint_id,
            failure=failure,
            attempts=self.progress.attempts,
            last_event=self.progress.splitter.last_id,
            waited_ms=int(
                (self.context.now() - self.reservation.reserved_s) * MS_IN_S,
            ),
            running=self.progress.running,
            ejected_s=ejected_s,
            parts=','.join(self.request.prompt_parts),
            **self.exchange.describe(),
        )

    async def handle_response(self, head: ResponseHead) -> Outcome | None:
        """Forward a response to the caller.

        Returns None if the request is to be retried. Raises `ExchangeError`
        if the response is invalid or breaks off.
        """
        signed = head.get(names.SIGNATURE) is not None
        if head.status < FIRST_ERROR_STATUS and not signed:
            raise ExchangeError(
                Failure.MALFORMED, 'response has no signature header'
            )
        if self.request.route.kind == 'stream' and head.status == STATUS_OK:
            return await self.forward_stream(head)
        self.exchange.expires_at_s = answer_deadline_s(
            self.request, self.progress
        )
        body = await self.exchange.read_body()
        if head.status >= FIRST_ERROR_STATUS:
            return await self.handle_error_response(head, body)
        if self.progress.response_started:
            raise ExchangeError(
                Failure.MALFORMED,
                f'resumed stream has status {head.status}',
            )
        self.note_served()
        return await self.forward_body(head, body, 'served')

    async def handle_error_response(
        self,
        head: ResponseHead,
        body: bytes,
    ) -> Outcome | None:
        """Forward an error response, or return None to retry elsewhere.

        A server error is retried if the route allows it. A status that would
        promise the caller that its request did not run is replaced, because
        the endpoint has not said so. Raises `IncompleteResponseError` if a
        stream has already been started.
        """
        progress = self.progress
        progress.tried_endpoints.add(self.endpoint_id)
        progress.last_failure = f'endpoint_status_{head.status}'
        if head.status >= FIRST_SERVER_ERROR_STATUS:
            # A timeout can be due to the request's own deadline, so it does
            # not show a fault of the endpoint.
            timed_out = head.status == STATUS_TIMEOUT
            ejected_s = 0.0 if timed_out else self.eject()
            self.log_attempt(
                'attempt_failed', f'status {head.status}', ejected_s
            )
            retry = final_failure(self.context, self.request, progress) is None
            if retry:
                return None
        if progress.response_started:
            raise IncompleteResponseError(progress.last_failure)
        if head.status in PROMISING_STATUSES:
            await send_response(self.caller, STATUS_BAD_GATEWAY)
            return Outcome(STATUS_BAD_GATEWAY, progress.last_failure)
        return await self.forward_body(head, body, progress.last_failure)

    async def forward_body(
        self,
        head: ResponseHead,
        body: bytes,
        reason: str,
    ) -> Outcome:
        """Send a response with its whole body to the caller."""
        await send_response(
            self.caller, head.status, body, end_to_end_headers(head)
        )
        return Outcome(head.status, reason)

    async def forward_stream(self, head: ResponseHead) -> Outcome | None:
        """Forward a stream of events; None if its end is to be confirmed.

        Raises `ExchangeError` if the stream breaks off, stalls or ends within
        an event.
        """
        self.progress.splitter.restart()
        events_before = self.progress.splitter.last_id or 0
        if not self.progress.response_started:
            self.progress.response_started = True
            await self.caller.start(head.status, end_to_end_headers(head))
        may_resume = (
            self.request.route.resumable
            and self.progress.attempts < self.request.route.max_attempts
        )
        self.exchange.expires_at_s = self.next_event_deadline_s(may_resume)
        more_events = True
        while more_events:
            more_events = await self.forward_events(may_resume=may_resume)
        if self.progress.splitter.partial:
            raise ExchangeError(Failure.BROKEN, 'stream ended within an event')
        whole = self.is_whole(events_before)
        if whole:
            self.note_served()
            await self.caller.finish()
        return Outcome(head.status, 'served') if whole else None

    def is_whole(self, events_before: int) -> bool:
        """Return whether the stream that has ended is whole.

        One without length or chunks that may be resumed is confirmed by a
        further attempt. Raises `ExchangeError` if it has no event and none has
        stated the end before.
        """
        progress = self.progress
        if not progress.end_stated:
            self.exchange.check_events(progress.event_chunks, events_before)
        if self.exchange.framed or not self.request.route.resumable:
            return True
        whole = note_stated_end(self.context, self.request, progress)
        self.log_attempt('stream_end_stated', f'whole={whole}', 0.0)
        return whole

    def next_event_deadline_s(self, may_resume: bool) -> float:
        """Return the time by which the next whole event must arrive."""
        deadline_s = answer_deadline_s(self.request, self.progress)
        if not may_resume:
            return deadline_s
        route = self.request.route
        if self.progress.event_chunks:
            timeout_s = next_event_timeout_s(route)
        else:
            timeout_s = first_event_timeout_s(route, self.reservation)
        return min(deadline_s, self.context.now() + timeout_s)

    async def forward_events(self, *, may_resume: bool) -> bool:
        """Forward the next whole events; return False at the stream's end.

        Pauses have a timeout only if the stream may still be resumed at
        another endpoint; otherwise only the deadline ends the wait. Bytes
        that complete no event do not extend it.
        """
        chunk = await self.exchange.read_chunk()
        if not chunk:
            return False
        try:
            events = self.progress.splitter.feed(chunk)
        except StreamError as exc:
            raise ExchangeError(Failure.MALFORMED, str(exc)) from exc
        now_s = self.context.now()
        self.context.dispatcher.endpoints.note_bytes(self.endpoint_id, now_s)
        if events:
            self.progress.note_events(now_s)
            if self.progress.event_chunks == PROGRESS_CHUNKS:
                self.context.crashes.note_progress(self.request.traits())
            # A caller that reads slowly is no pause of the endpoint.
            self.exchange.expires_at_s = self.request.deadline_s
            await self.caller.send(events)
            self.progress.note_sent(self.context.now())
            self.exchange.expires_at_s = self.next_event_deadline_s(may_resume)
        return True
