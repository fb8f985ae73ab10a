"""Runs admitted requests at the endpoint and relays their answers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Final

from result import Err, Ok, Result

from quetzaldyke.connection.engine_client import EngineClient, TextDelta
from quetzaldyke.connection.http_endpoint import Answer, EndpointFailure, Ran
from quetzaldyke.connection.messages import (
    CRASHES_ENDPOINTS,
    ENDPOINT_CRASHED,
    Failed,
    Started,
)
from quetzaldyke.connection.service_client import ServiceClient
from quetzaldyke.parts.timers import Clock
from quetzaldyke.process.admission import AdmissionController, Refusal
from quetzaldyke.process.logs import LogEvent
from quetzaldyke.process.tracked_request import MS_IN_S, TrackedRequest

FLOAT_MS_IN_S: Final = float(MS_IN_S)

EndpointClient = EngineClient | ServiceClient
# Called when a stream breaks; tells whether the endpoint has crashed.
OnBrokenStream = Callable[[TrackedRequest], Awaitable[bool]]


@dataclass(slots=True)
class RequestRunner:
    """Runs the requests of one endpoint and tracks the unfinished ones."""

    client: EndpointClient
    clock: Clock
    log_event: LogEvent
    admission: AdmissionController
    on_broken_stream: OnBrokenStream
    on_finish: Callable[[TrackedRequest], None]
    # Requests whose answer has not been sent completely.
    requests: dict[str, TrackedRequest] = field(default_factory=dict)

    def refuse(self, request: TrackedRequest, refusal: Refusal) -> None:
        """Report a request that was not run to its entry."""
        self.fail(
            request,
            request.make_failed(
                'not_run', refusal.reason, refusal.retry_after_ms
            ),
        )

    def fail(self, request: TrackedRequest, failed: Failed) -> None:
        """End a request, log the failure and send it to the entry."""
        request.mark_done()
        self.remove(request)
        self.log_event(
            'request_failed',
            request_id=failed.request_id,
            ran=failed.ran,
            reason=failed.reason,
            tokens=failed.partial_tokens,
        )
        request.answer.fail(failed)

    def remove(self, request: TrackedRequest) -> None:
        """Stop tracking a request that needs no further message."""
        if self.requests.get(request.submit.request_id) is request:
            self.requests.pop(request.submit.request_id)

    def grant_window(self, request_id: str, chunks: int) -> None:
        """Allow more chunks of an answer; unknown requests are ignored."""
        request = self.requests.get(request_id)
        if request is None:
            return
        request.answer.add_credit(chunks)
        if request.answer.closed:
            self.remove(request)

    async def run(self, request: TrackedRequest) -> None:
        """Run an admitted request, send its outcome and schedule others.

        An unexpected exception is reported as a failure with unknown outcome.
        """
        submit = request.submit
        self.log_event(
            'request_started',
            request_id=submit.request_id,
            work=submit.work,
            job_id=submit.job_id,
            attempt=submit.attempt,
        )
        request.session.send(Started(submit.request_id))
        outcome: Result[Answer, EndpointFailure] | None = None
        with request.cancel_scope:
            try:
                outcome = await self.call_endpoint(request)
            except Exception as exc:
                self.log_event('relay_failed', reason=repr(exc))
                outcome = Err(EndpointFailure('unknown', 'relay failed'))
        await self.finish(request, outcome)
        self.admission.schedule()

    async def call_endpoint(
        self,
        request: TrackedRequest,
    ) -> Result[Answer, EndpointFailure]:
        """Send the request to the endpoint and relay its answer."""
        if isinstance(self.client, ServiceClient):
            return await self.client.run(
                request.submit,
                lambda raw: self.relay_raw(request, raw),
            )
        return await self.client.run(
            request.submit,
            lambda piece: self.relay_text(request, piece),
        )

    async def relay_text(
        self, request: TrackedRequest, piece: TextDelta
    ) -> None:
        """Relay text and sample the times to first token and between tokens."""
        now_s = self.clock.now()
        if not request.last_token_s:
            if not request.is_batch:
                run_s = now_s - request.started_s
                self.admission.limit.first_token.add(run_s * FLOAT_MS_IN_S)
        elif piece.tokens:
            gap_s = now_s - request.last_token_s
            self.admission.limit.between_tokens.add(
                gap_s * FLOAT_MS_IN_S / piece.tokens
            )
        request.last_token_s = now_s
        request.text.append(piece.text)
        request.tokens += piece.tokens
        request.answer.add_text(piece.text, piece.tokens)
        if request.answer.full:
            await request.answer.wait_for_room()
            request.last_token_s = self.clock.now()

    async def relay_raw(self, request: TrackedRequest, raw: bytes) -> None:
        """Relay bytes of a plain service; wait while the buffer is full."""
        request.answer.add_raw(raw)
        await request.answer.wait_for_room()

    async def finish(
        self,
        request: TrackedRequest,
        outcome: Result[Answer, EndpointFailure] | None,
    ) -> None:
        """Free the slot and send the outcome; None means it was stopped."""
        if isinstance(outcome, Ok):
            self.admission.release(request)
            self.finish_answered(request, outcome.ok_value)
        elif isinstance(outcome, Err):
            await self.finish_failed(request, outcome.err_value)
        else:
            await self.finish_stopped(request)

    def finish_answered(self, request: TrackedRequest, answer: Answer) -> None:
        """End a request with its complete answer."""
        self.on_finish(request)
        self.log_event(
            'request_finished',
            request_id=request.submit.request_id,
            status=answer.status,
            tokens=request.tokens,
        )
        request.answer.finish(answer)
        if request.answer.closed:
            self.remove(request)

    async def finish_failed(
        self,
        request: TrackedRequest,
        failure: EndpointFailure,
    ) -> None:
        """End a request whose call failed.

        If its stream broke, the crash check is awaited first. A request that
        is then confirmed to crash endpoints is reported as run.
        """
        ran: Ran = failure.ran
        reason = failure.reason
        if failure.broken and await self.on_broken_stream(request):
            reason = ENDPOINT_CRASHED
        self.note_pause(failure.retry_after_ms)
        self.admission.release(request)
        if ran != 'not_run' and self.crashes_endpoints(request):
            ran = 'ran'
            reason = CRASHES_ENDPOINTS
        self.fail(
            request,
            request.make_failed(ran, reason, failure.retry_after_ms),
        )

    def note_pause(self, pause_ms: int) -> None:
        """Pause batch work if the endpoint asks for it; log the pause."""
        if pause_ms:
            self.admission.pause_batch(pause_ms)
            self.log_event('endpoint_paused', pause_ms=pause_ms)

    def crashes_endpoints(self, request: TrackedRequest) -> bool:
        """Tell whether the request is confirmed to crash endpoints."""
        return self.admission.verdict_of(request) == 'confirmed'

    async def finish_stopped(self, request: TrackedRequest) -> None:
        """End a request that was stopped here.

        An engine is told to cancel it; then the slot is freed and the failure
        sent.
        """
        if isinstance(self.client, EngineClient):
            await self.client.cancel(
                request.submit.request_id,
                known_running=request.tokens > 0,
            )
        self.admission.release(request)
        engine = isinstance(self.client, EngineClient)
        ran: Ran = 'ran' if engine else 'unknown'
        self.fail(request, request.make_failed(ran, request.stop_reason))
