"""Runs one request at the endpoint, from its start to its last message."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Final

from result import Err, Ok, Result

from quetzaldyke.connection.engine_client import EngineClient, Piece
from quetzaldyke.connection.http_endpoint import Answer, EndpointFailure, Ran
from quetzaldyke.connection.messages import Failed, Started
from quetzaldyke.connection.service_client import ServiceClient
from quetzaldyke.parts.timers import Clock
from quetzaldyke.process.admission import AdmissionController, Refusal
from quetzaldyke.process.logs import LogEvent
from quetzaldyke.process.tracked_request import MS_IN_S, TrackedRequest

FLOAT_MS_IN_S: Final = float(MS_IN_S)

EndpointClient = EngineClient | ServiceClient
# Called when a stream broke; returns once the suspects are recorded.
OnBrokenStream = Callable[[TrackedRequest], Awaitable[None]]


@dataclass(slots=True)
class RequestRunner:
    """Everything that a request's task needs."""

    client: EndpointClient
    clock: Clock
    log_event: LogEvent
    admission: AdmissionController
    on_broken_stream: OnBrokenStream
    on_finish: Callable[[TrackedRequest], None]
    # Requests whose answer has not been sent to the end.
    requests: dict[str, TrackedRequest] = field(default_factory=dict)

    def refuse(self, request: TrackedRequest, refusal: Refusal) -> None:
        """Tell the entry that a request was not run."""
        self.fail(
            request,
            request.make_failed(
                'not_run', refusal.reason, refusal.retry_after_ms
            ),
        )

    def fail(self, request: TrackedRequest, failed: Failed) -> None:
        """End a request without an answer."""
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
        """Drop a request that needs no further message."""
        if self.requests.get(request.submit.request_id) is request:
            self.requests.pop(request.submit.request_id)

    def grant_window(self, request_id: str, chunks: int) -> None:
        """Add credit to an answer."""
        request = self.requests.get(request_id)
        if request is None:
            return
        request.answer.grant(chunks)
        if request.answer.closed:
            self.remove(request)

    async def run(self, request: TrackedRequest) -> None:
        """Run a request that was admitted."""
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
        """Hand the request to the endpoint and relay its answer."""
        if isinstance(self.client, ServiceClient):
            return await self.client.run(
                request.submit,
                lambda raw: self.relay_raw(request, raw),
            )
        return await self.client.run(
            request.submit,
            lambda piece: self.relay_text(request, piece),
        )

    async def relay_text(self, request: TrackedRequest, piece: Piece) -> None:
        """Pass text on and measure the engine."""
        now_s = self.clock.now()
        if not request.last_token_s:
            if not request.is_batch:
                run_s = now_s - request.started_s
                self.admission.limit.first_token.note(run_s * FLOAT_MS_IN_S)
        elif piece.tokens:
            gap_s = now_s - request.last_token_s
            self.admission.limit.between_tokens.note(
                gap_s * FLOAT_MS_IN_S / piece.tokens
            )
        request.last_token_s = now_s
        request.text.append(piece.text)
        request.tokens += piece.tokens
        request.answer.add_text(piece.text, piece.tokens)
        if request.answer.full:
            await request.answer.wait_room()
            request.last_token_s = self.clock.now()

    async def relay_raw(self, request: TrackedRequest, raw: bytes) -> None:
        """Pass bytes of a plain service on."""
        request.answer.add_raw(raw)
        await request.answer.wait_room()

    async def finish(
        self,
        request: TrackedRequest,
        outcome: Result[Answer, EndpointFailure] | None,
    ) -> None:
        """Free the slot and send the last message."""
        if isinstance(outcome, Ok):
            self.admission.release(request)
            self.finish_answered(request, outcome.ok_value)
        elif isinstance(outcome, Err):
            await self.finish_failed(request, outcome.err_value)
        else:
            await self.finish_stopped(request)

    def finish_answered(self, request: TrackedRequest, answer: Answer) -> None:
        """End a request with its whole answer."""
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
        """End a request whose stream failed."""
        if failure.broken:
            await self.on_broken_stream(request)
        self.admission.release(request)
        ran: Ran = failure.ran
        reason = failure.reason
        if ran != 'not_run' and self.crashes_endpoints(request):
            ran = 'ran'
            reason = 'crashes_endpoints'
        self.fail(request, request.make_failed(ran, reason))

    def crashes_endpoints(self, request: TrackedRequest) -> bool:
        """Tell whether the request is known to crash endpoints."""
        verdict = self.admission.suspects.verdict(request.submit.fingerprint)
        return verdict == 'confirmed'

    async def finish_stopped(self, request: TrackedRequest) -> None:
        """End a request that was stopped here; its slot is freed first."""
        if isinstance(self.client, EngineClient):
            await self.client.cancel(
                request.submit.request_id,
                seen=request.tokens > 0,
            )
        self.admission.release(request)
        engine = isinstance(self.client, EngineClient)
        ran: Ran = 'ran' if engine else 'unknown'
        self.fail(request, request.make_failed(ran, request.stop_reason))
