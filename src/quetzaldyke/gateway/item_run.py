"""One run of a batch item on one endpoint."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import anyio
from result import Err

from quetzaldyke.gateway.active_job import ActiveJob, ItemProgress
from quetzaldyke.gateway.batch_schedule import RunTimes
from quetzaldyke.gateway.dispatcher import Dispatcher, Reservation
from quetzaldyke.gateway.event_stream import StreamOrderError, data_of
from quetzaldyke.gateway.exchange import (
    Exchange,
    ExchangeError,
    Failure,
    ResponseHead,
)
from quetzaldyke.gateway.http_client import HttpClient, encode_request
from quetzaldyke.gateway.job_store import JobStore
from quetzaldyke.gateway.logs import log_event
from quetzaldyke.gateway.retries import is_not_run
from quetzaldyke.platform import names

STATUS_OK: Final = 200
# The item can never be done.
STATUS_NEVER: Final = 422
# Events of a run come within milliseconds; this long a silence means that
# its endpoint is lost.
STALL_S: Final = 1.5
ITEM_RETRY_PAUSE_S: Final = 0.15
# The endpoint may work this long on one run of an item.
RUN_LIMIT_MS: Final = 60_000
MAX_IDLE_S: Final = 4.0
LOGGED_BODY_CHARS: Final = 80


@dataclass(frozen=True, slots=True)
class RunContext:
    """What all runs of a process share."""

    dispatcher: Dispatcher
    client: HttpClient
    store: JobStore
    times: RunTimes
    # Told of a result: job, item, whether it is complete.
    finish: Callable[[ActiveJob, ItemProgress, bool], None]


@dataclass(slots=True)
class ItemRun:
    """An item that holds a place on an endpoint."""

    context: RunContext
    job: ActiveJob
    progress: ItemProgress
    reservation: Reservation
    exchange: Exchange

    @property
    def endpoint_id(self) -> str:
        """Return the id of the endpoint."""
        return self.reservation.endpoint.endpoint_id

    async def run(self) -> None:
        """Run the item as far as it gets."""
        try:
            body = await self.read_body()
            if body is None or self.job.stopped or self.exchange.failure:
                return
            await self.exchange_item(body)
        except ExchangeError as exc:
            self.note_failure(exc)
        except StreamOrderError as exc:
            self.note_failure(ExchangeError(Failure.MALFORMED, str(exc)))
        finally:
            self.exchange.cancel()

    async def read_body(self) -> bytes | None:
        """Return the body of the item; None when it can't be read now."""
        record = self.progress.record
        part = self.job.bodies.get(record.body_part)
        if part is None:
            answer = await self.context.store.read_body_part(
                self.job.record.job_id,
                record.body_part,
            )
            if isinstance(answer, Err):
                await anyio.sleep(ITEM_RETRY_PAUSE_S)
                return None
            part = self.job.bodies[record.body_part] = answer.ok_value
        return part[record.body_start : record.body_start + record.body_size]

    async def exchange_item(self, body: bytes) -> None:
        """Send the item and take what comes back."""
        endpoint = self.reservation.endpoint
        await self.context.client.start(
            endpoint.host,
            endpoint.port,
            self.encode(body),
            self.exchange,
            MAX_IDLE_S,
        )
        self.context.client.active.add(self.exchange)
        self.allow_silence()
        head = await self.exchange.read_head()
        if head.status == STATUS_OK and head.get(names.SIGNATURE) is not None:
            await self.take_events()
            return
        answer = await self.exchange.read_body()
        if head.status == STATUS_NEVER:
            self.context.finish(self.job, self.progress, False)
            return
        self.note_error(head, answer)

    def allow_silence(self) -> None:
        """Let the watchdog wait for the next bytes."""
        now_s = self.context.dispatcher.clock.now()
        self.exchange.expires_at_s = now_s + STALL_S

    def encode(self, body: bytes) -> bytes:
        """Return the request for this run."""
        record = self.progress.record
        headers = [
            (name.lower().encode('latin-1'), text.encode('latin-1'))
            for name, text in record.headers
        ]
        headers.extend(
            (
                (b'host', self.job.record.host.encode('latin-1')),
                (names.ATTEMPT_ID, record.item_id.encode('latin-1')),
                (names.DEADLINE, b'%d' % RUN_LIMIT_MS),
                (names.EXPECTED_ENDPOINT, self.endpoint_id.encode()),
            ),
        )
        last_event = self.progress.splitter.last_id
        if last_event is not None:
            headers.append((names.LAST_EVENT, b'%d' % last_event))
        path = record.path.encode('latin-1')
        return encode_request(b'POST', path, headers, body)

    async def take_events(self) -> None:
        """Collect the events of the run until it is complete."""
        progress = self.progress
        progress.splitter.restart()
        clock = self.context.dispatcher.clock
        begun_s = clock.now()
        done_before = progress.events_done
        while chunk := await self.read_chunk():
            events = progress.splitter.feed(chunk)
            if events:
                progress.outputs.extend(data_of(events))
        if progress.splitter.partial:
            raise ExchangeError(Failure.BROKEN, 'ended inside an event')
        self.context.dispatcher.endpoints.note_success(self.endpoint_id)
        if not done_before:
            self.context.times.note(progress.events_done, clock.now() - begun_s)
        self.context.finish(self.job, progress, True)

    async def read_chunk(self) -> bytes:
        """Return the next bytes, none at the end of the run."""
        self.allow_silence()
        chunk = await self.exchange.read_chunk()
        dispatcher = self.context.dispatcher
        dispatcher.endpoints.note_bytes(
            self.endpoint_id, dispatcher.clock.now()
        )
        return chunk

    def note_error(self, head: ResponseHead, answer: bytes) -> None:
        """Count a failed run, or wait after the endpoint turned it away."""
        progress = self.progress
        refused = is_not_run(head)
        if not refused:
            progress.failures += 1
            progress.failed_at |= {self.endpoint_id}
        self.wait_before_retry()
        log_event(
            'item_failed',
            item=progress.record.item_id,
            job=self.job.record.job_id,
            endpoint=self.endpoint_id,
            status=head.status,
            ran=not refused,
            failures=progress.failures,
            detail=answer[:LOGGED_BODY_CHARS].decode('latin-1'),
        )
        if progress.failures >= self.job.route.max_attempts:
            self.context.finish(self.job, progress, False)

    def note_failure(self, exc: ExchangeError) -> None:
        """Keep what has arrived and let the item go on later."""
        if exc.failure is Failure.CANCELLED:
            return
        now_s = self.wait_before_retry()
        ejected_s = self.context.dispatcher.endpoints.note_failure(
            self.endpoint_id,
            now_s,
        )
        log_event(
            'item_interrupted',
            item=self.progress.record.item_id,
            job=self.job.record.job_id,
            endpoint=self.endpoint_id,
            failure=str(exc),
            events=self.progress.events_done,
            ejected_s=ejected_s,
        )

    def wait_before_retry(self) -> float:
        """Keep the item from starting again at once; return the time."""
        now_s = self.context.dispatcher.clock.now()
        self.progress.not_before_s = now_s + ITEM_RETRY_PAUSE_S
        return now_s
