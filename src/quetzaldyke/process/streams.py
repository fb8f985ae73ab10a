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
from quetzaldyke.process.admission import Admission, Refusal
from quetzaldyke.process.logs import LogEvent
from quetzaldyke.process.work import MS_IN_S, Work

MS: Final = float(MS_IN_S)

Client = EngineClient | ServiceClient
# Called when a stream broke; returns once the suspects are recorded.
OnBreak = Callable[[Work], Awaitable[None]]


@dataclass(slots=True)
class Streams:
    """Everything that a request's task needs."""

    client: Client
    clock: Clock
    log_event: LogEvent
    admission: Admission
    on_break: OnBreak
    on_finish: Callable[[Work], None]
    # Requests whose answer has not been sent to the end.
    works: dict[str, Work] = field(default_factory=dict)

    def refuse(self, work: Work, refusal: Refusal) -> None:
        """Tell the entry that a request was not run."""
        self.fail(
            work,
            work.failure('not_run', refusal.reason, refusal.retry_after_ms),
        )

    def fail(self, work: Work, failed: Failed) -> None:
        """End a request without an answer."""
        work.end()
        self.forget(work)
        self.log_event(
            'request_failed',
            request_id=failed.request_id,
            ran=failed.ran,
            reason=failed.reason,
            tokens=failed.partial_tokens,
        )
        work.answer.fail(failed)

    def forget(self, work: Work) -> None:
        """Drop a request that needs no further message."""
        if self.works.get(work.submit.request_id) is work:
            self.works.pop(work.submit.request_id)

    def grant_window(self, request_id: str, chunks: int) -> None:
        """Add credit to an answer."""
        work = self.works.get(request_id)
        if work is None:
            return
        work.answer.grant(chunks)
        if work.answer.closed:
            self.forget(work)

    async def run(self, work: Work) -> None:
        """Run a request that was admitted."""
        submit = work.submit
        self.log_event(
            'request_started',
            request_id=submit.request_id,
            work=submit.work,
            job_id=submit.job_id,
            attempt=submit.attempt,
        )
        work.session.send(Started(submit.request_id))
        outcome: Result[Answer, EndpointFailure] | None = None
        with work.scope:
            try:
                outcome = await self.ask_endpoint(work)
            except Exception as exc:
                self.log_event('relay_failed', reason=repr(exc))
                outcome = Err(EndpointFailure('unknown', 'relay failed'))
        await self.settle(work, outcome)
        self.admission.pump()

    async def ask_endpoint(
        self,
        work: Work,
    ) -> Result[Answer, EndpointFailure]:
        """Hand the request to the endpoint and relay its answer."""
        if isinstance(self.client, ServiceClient):
            return await self.client.run(
                work.submit,
                lambda raw: self.relay_raw(work, raw),
            )
        return await self.client.run(
            work.submit,
            lambda piece: self.relay_text(work, piece),
        )

    async def relay_text(self, work: Work, piece: Piece) -> None:
        """Pass text on and measure the engine."""
        now_s = self.clock.now()
        if not work.last_token_s:
            if not work.batch:
                taken_s = now_s - work.started_s
                self.admission.limit.first_token.add(taken_s * MS)
        elif piece.tokens:
            gap_s = now_s - work.last_token_s
            self.admission.limit.between_tokens.add(gap_s * MS / piece.tokens)
        work.last_token_s = now_s
        work.text.append(piece.text)
        work.tokens += piece.tokens
        work.answer.add_text(piece.text, piece.tokens)
        if work.answer.full:
            await work.answer.wait_room()
            work.last_token_s = self.clock.now()

    async def relay_raw(self, work: Work, raw: bytes) -> None:
        """Pass bytes of a plain service on."""
        work.answer.add_raw(raw)
        await work.answer.wait_room()

    async def settle(
        self,
        work: Work,
        outcome: Result[Answer, EndpointFailure] | None,
    ) -> None:
        """Free the slot and send the last message."""
        if isinstance(outcome, Ok):
            self.admission.release(work)
            self.complete(work, outcome.ok_value)
        elif isinstance(outcome, Err):
            await self.settle_failure(work, outcome.err_value)
        else:
            await self.settle_stopped(work)

    def complete(self, work: Work, answer: Answer) -> None:
        """End a request with its whole answer."""
        self.on_finish(work)
        self.log_event(
            'request_finished',
            request_id=work.submit.request_id,
            status=answer.status,
            tokens=work.tokens,
        )
        work.answer.finish(answer)
        if work.answer.closed:
            self.forget(work)

    async def settle_failure(
        self,
        work: Work,
        failure: EndpointFailure,
    ) -> None:
        """End a request whose stream failed."""
        if failure.broken:
            await self.on_break(work)
        self.admission.release(work)
        ran: Ran = failure.ran
        reason = failure.reason
        if ran != 'not_run' and self.confirmed(work):
            ran = 'ran'
            reason = 'crashes_endpoints'
        self.fail(work, work.failure(ran, reason))

    def confirmed(self, work: Work) -> bool:
        """Tell whether the request is known to crash endpoints."""
        verdict = self.admission.suspects.verdict(work.submit.fingerprint)
        return verdict == 'confirmed'

    async def settle_stopped(self, work: Work) -> None:
        """End a request that was stopped here; its slot is freed first."""
        if isinstance(self.client, EngineClient):
            await self.client.cancel(
                work.submit.request_id,
                seen=work.tokens > 0,
            )
        self.admission.release(work)
        engine = isinstance(self.client, EngineClient)
        ran: Ran = 'ran' if engine else 'unknown'
        self.fail(work, work.failure(ran, work.stop_reason))
