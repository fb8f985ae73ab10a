"""Runs a batch item once, on one endpoint."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

import anyio
from result import Err, Ok, Result

from quetzaldyke.gateway.active_job import ActiveJob, ItemProgress
from quetzaldyke.gateway.answer_meter import AnswerMeter, note_head
from quetzaldyke.gateway.authentication import IDENTITY_HEADERS
from quetzaldyke.gateway.batch_schedule import RunTimeEstimator
from quetzaldyke.gateway.dispatcher import Dispatcher
from quetzaldyke.gateway.event_stream import StreamError, event_data
from quetzaldyke.gateway.exchange import (
    Exchange,
    ExchangeError,
    Failure,
    ResponseHead,
)
from quetzaldyke.gateway.forwarded_headers import request_headers
from quetzaldyke.gateway.http_client import HttpClient, encode_request
from quetzaldyke.gateway.job_parts import PartSizes, read_item_body
from quetzaldyke.gateway.job_store import JobStore
from quetzaldyke.gateway.logs import log_event
from quetzaldyke.gateway.reservation import Reservation
from quetzaldyke.gateway.retries import is_not_run
from quetzaldyke.parts.backoff import BackoffOptions, max_backoff_s
from quetzaldyke.parts.kv import KvError
from quetzaldyke.platform import names
from quetzaldyke.platform.limits import decode_limit, decode_retry_after

STATUS_OK: Final = 200
# The only answer that counts as a failed attempt of the item.
STATUS_SERVER_ERROR: Final = 500
# The endpoint can never run the item, so it is not retried.
STATUS_UNPROCESSABLE: Final = 422
# Events of a run come within milliseconds of each other; an endpoint that is
# silent for this long is taken to be lost.
STALL_TIMEOUT_S: Final = 1.5
ITEM_RETRY_DELAY_S: Final = 0.15
# Longest delay of an item whose runs are interrupted again and again without
# progress. It is still owed, but may be what ends its endpoints.
MAX_RETRY_DELAY_S: Final = 2.4
INTERRUPTED_RETRY: Final = BackoffOptions(ITEM_RETRY_DELAY_S, MAX_RETRY_DELAY_S)
# Deadline that the endpoint gets for one run of an item.
RUN_TIMEOUT_MS: Final = 60_000
MAX_CONNECTION_IDLE_S: Final = 4.0
LOGGED_BODY_CHARS: Final = 80
DEFAULT_OUTPUT_BYTES: Final = PartSizes().output_bytes
# Set by the run; a value that was submitted with the item is dropped.
ADDED_HEADERS: Final = frozenset((b'host', names.ATTEMPT_ID))


@dataclass(frozen=True, slots=True)
class RunContext:
    """State that all runs of a process share."""

    dispatcher: Dispatcher
    client: HttpClient
    store: JobStore
    estimator: RunTimeEstimator
    # Receives the result of an item: job, item, whether it completed.
    finish_item: Callable[[ActiveJob, ItemProgress, bool], None]
    # Largest output of an item that can be listed.
    max_output_bytes: int = DEFAULT_OUTPUT_BYTES
    # Whether requests need a key by the configuration in force.
    needs_keys: Callable[[], bool] = bool


@dataclass(slots=True)
class ItemRun:
    """One run of an item, which holds a slot of an endpoint."""

    context: RunContext
    job: ActiveJob
    progress: ItemProgress
    reservation: Reservation
    exchange: Exchange
    # Events of the item that earlier runs have brought.
    events_before: int = field(init=False)
    # None if the endpoint's speed is not learned.
    meter: AnswerMeter | None = None

    def __post_init__(self) -> None:
        """Note how far the item has come."""
        self.events_before = self.progress.events_done

    @property
    def added_headers(self) -> frozenset[bytes]:
        """Return the headers that a submitted item can't set."""
        if self.job.record.organisation or self.context.needs_keys():
            return ADDED_HEADERS | IDENTITY_HEADERS
        return ADDED_HEADERS

    @property
    def endpoint_id(self) -> str:
        """Return the id of the endpoint."""
        return self.reservation.endpoint.endpoint_id

    async def run(self) -> None:
        """Run the item until it finishes, fails or is interrupted."""
        try:
            body = await self.read_body()
            if body is None or self.job.stopped or self.exchange.failure:
                return
            if self.context.dispatcher.endpoints.is_draining(self.endpoint_id):
                return
            # The route may have moved while the body was read.
            if not self.job.may_run_at(self.reservation.endpoint.service):
                return
            await self.send_item(body)
        except ExchangeError as exc:
            self.handle_interruption(exc)
        except StreamError as exc:
            self.handle_interruption(ExchangeError(Failure.MALFORMED, str(exc)))
        finally:
            self.exchange.cancel()

    async def read_body(self) -> bytes | None:
        """Return the body of the item; None, after a pause, if unreadable."""
        body = await read_item_body(self.progress.record, self.read_body_part)
        if isinstance(body, Err):
            await anyio.sleep(ITEM_RETRY_DELAY_S)
            return None
        return body.ok_value

    async def read_body_part(self, part: int) -> Result[bytes, KvError]:
        """Return a part of the job's bodies, from the store if needed."""
        known = self.job.bodies.get(part)
        if known is not None:
            return Ok(known)
        answer = await self.context.store.read_body_part(
            self.job.record.job_id, part
        )
        if isinstance(answer, Ok):
            self.job.bodies[part] = answer.ok_value
        return answer

    async def send_item(self, body: bytes) -> None:
        """Send the item and handle the response."""
        endpoint = self.reservation.endpoint
        await self.context.client.start(
            endpoint.host,
            endpoint.port,
            self.encode(body),
            self.exchange,
            MAX_CONNECTION_IDLE_S,
        )
        limits = self.context.dispatcher.permits.limits
        limits.note_sent(endpoint, online=False)
        self.context.client.active.add(self.exchange)
        self.extend_stall_deadline()
        head = await self.exchange.read_head()
        self.meter = note_head(self.context.dispatcher, self.reservation, head)
        now_s = self.context.dispatcher.clock.now()
        limits.note_answer(
            endpoint,
            decode_limit(head.headers),
            served=head.status == STATUS_OK,
            age_s=now_s - self.reservation.reserved_s,
            permitted=self.reservation.permitted,
        )
        if head.status == STATUS_OK and head.get(names.SIGNATURE) is not None:
            await self.read_events()
            return
        answer = await self.exchange.read_body()
        if head.status == STATUS_UNPROCESSABLE:
            self.context.finish_item(self.job, self.progress, False)
            return
        self.handle_error_response(head, answer)

    def extend_stall_deadline(self) -> None:
        """Give the endpoint another stall timeout for its next event."""
        now_s = self.context.dispatcher.clock.now()
        self.exchange.expires_at_s = now_s + STALL_TIMEOUT_S

    def encode(self, body: bytes) -> bytes:
        """Return the request, which resumes after the last event received."""
        record = self.progress.record
        submitted = [
            (name.lower().encode('latin-1'), text.encode('latin-1'))
            for name, text in record.headers
        ]
        headers = [
            header
            for header in request_headers(submitted)
            if header[0] not in self.added_headers
        ]
        if self.job.record.organisation:
            organisation = self.job.record.organisation.encode()
            headers.append((names.ORGANISATION, organisation))
        headers.extend(
            (
                (b'host', self.job.record.host.encode('latin-1')),
                (names.ATTEMPT_ID, record.item_id.encode('latin-1')),
                (names.DEADLINE, b'%d' % RUN_TIMEOUT_MS),
                (names.EXPECTED_ENDPOINT, self.endpoint_id.encode()),
            ),
        )
        last_event = self.progress.splitter.last_id
        if last_event is not None:
            headers.append((names.LAST_EVENT, b'%d' % last_event))
        path = record.path.encode('latin-1')
        return encode_request(b'POST', path, headers, body)

    async def read_events(self) -> None:
        """Collect the events of the run until it is complete.

        Raises `ExchangeError` if the response ends inside an event.
        """
        progress = self.progress
        progress.splitter.restart()
        clock = self.context.dispatcher.clock
        started_s = clock.now()
        self.extend_stall_deadline()
        try:
            while chunk := await self.read_chunk():
                self.add_chunk(chunk)
        finally:
            self.context.estimator.record_pace(
                self.endpoint_id,
                progress.events_done - self.events_before,
                clock.now() - started_s,
            )
        if progress.splitter.partial:
            raise ExchangeError(Failure.BROKEN, 'ended inside an event')
        whole = self.is_whole()
        self.context.dispatcher.endpoints.note_success(self.endpoint_id)
        if not self.events_before:
            self.context.estimator.record_run(
                progress.events_done, clock.now() - started_s
            )
        if whole:
            self.context.finish_item(self.job, progress, True)

    def add_chunk(self, chunk: bytes) -> None:
        """Keep the whole events that a chunk completes."""
        events = self.progress.splitter.feed(chunk)
        if events:
            self.extend_stall_deadline()
            if self.meter is not None:
                now_s = self.context.dispatcher.clock.now()
                last_event = self.progress.splitter.last_id or 0
                self.meter.note_events(last_event, now_s)
            self.progress.add_outputs(event_data(events))
            self.check_size()

    def check_size(self) -> None:
        """Start over if the output is larger than can be listed.

        Raises `ExchangeError` then: the endpoint sends without end.
        """
        progress = self.progress
        if progress.output_bytes <= self.context.max_output_bytes:
            return
        progress.failed_at |= {self.endpoint_id}
        progress.start_over()
        raise ExchangeError(Failure.MALFORMED, 'output is too large to list')

    def is_whole(self) -> bool:
        """Return whether the run that has ended completes the item.

        An answer without length or chunks is confirmed by another run, which
        asks for the events behind its last one. Raises `ExchangeError` if a
        run has brought no event, and none before it has stated the end.
        """
        progress = self.progress
        stated = progress.ends.asked(self.events_before)
        if not stated:
            self.check_events()
        if self.exchange.framed:
            return True
        service = self.reservation.endpoint.service
        dispatcher = self.context.dispatcher
        usable = dispatcher.endpoints.usable(service, dispatcher.clock.now())
        progress.ends.add(progress.events_done, self.endpoint_id)
        whole = progress.ends.agree({one.endpoint_id for one in usable})
        log_event(
            'item_end_stated',
            item=progress.record.item_id,
            job=self.job.record.job_id,
            endpoint=self.endpoint_id,
            events=progress.events_done,
            events_before=self.events_before,
            stated_before=','.join(sorted(stated)),
            whole=whole,
        )
        return whole

    def check_events(self) -> None:
        """Check that the run has brought what can be a complete output.

        Raises `ExchangeError` if not. A resumed run without events, length and
        chunks may be complete, but no answer to a further resumption could
        show it; the item then starts over.
        """
        progress = self.progress
        try:
            self.exchange.check_events(
                progress.events_done - self.events_before, self.events_before
            )
        except ExchangeError:
            if self.events_before:
                progress.start_over()
            raise

    async def read_chunk(self) -> bytes:
        """Return the next bytes, which are empty at the end of the response."""
        chunk = await self.exchange.read_chunk()
        dispatcher = self.context.dispatcher
        dispatcher.endpoints.note_bytes(
            self.endpoint_id, dispatcher.clock.now()
        )
        return chunk

    def handle_error_response(self, head: ResponseHead, answer: bytes) -> None:
        """Delay the retry, or fail the item after its last attempt.

        Only a server error counts as an attempt. A refusal and any other
        answer prove nothing about the item; the delay after the latter grows
        as after a run that was cut off.
        """
        progress = self.progress
        refused = is_not_run(head)
        dispatcher = self.context.dispatcher
        delay_s = ITEM_RETRY_DELAY_S
        if refused:
            dispatcher.permits.limits.note_refused(
                self.reservation.endpoint,
                decode_retry_after(head.headers),
                dispatcher.clock.now(),
            )
        elif head.status == STATUS_SERVER_ERROR:
            progress.failures += 1
            progress.failed_at |= {self.endpoint_id}
        else:
            progress.note_interruption()
            delay_s = max_backoff_s(INTERRUPTED_RETRY, progress.interruptions)
        self.delay_retry(delay_s)
        log_event(
            'item_failed',
            item=progress.record.item_id,
            job=self.job.record.job_id,
            endpoint=self.endpoint_id,
            status=head.status,
            ran=not refused,
            failures=progress.failures,
            detail=answer[:LOGGED_BODY_CHARS].decode('latin-1'),
            **self.exchange.describe(),
        )
        if progress.failures >= self.job.terms.max_attempts:
            self.context.finish_item(self.job, progress, False)

    def handle_interruption(self, exc: ExchangeError) -> None:
        """Delay the retry, which resumes after the last event received.

        The delay grows while the item makes no progress. Also reports the
        failure of the endpoint. A cancelled run is not a failure; the item
        waits only if the run brought no event, as it would find the same load.
        """
        if exc.failure is Failure.CANCELLED:
            if self.progress.events_done == self.events_before:
                self.delay_retry()
            return
        self.progress.note_interruption()
        delay_s = max_backoff_s(INTERRUPTED_RETRY, self.progress.interruptions)
        now_s = self.delay_retry(delay_s)
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
            interruptions=self.progress.interruptions,
            ejected_s=ejected_s,
            **self.exchange.describe(),
        )

    def delay_retry(self, delay_s: float = ITEM_RETRY_DELAY_S) -> float:
        """Delay the next run of the item; returns the current time."""
        now_s = self.context.dispatcher.clock.now()
        self.progress.not_before_s = now_s + delay_s
        return now_s
