"""Runs the items of the jobs that this entry owns."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Final

import anyio
from anyio.abc import TaskGroup
from result import Err, Ok

from quetzaldyke.gateway.batch_schedule import (
    BatchPolicy,
    Candidate,
    Demand,
    RunTimes,
    start_order,
)
from quetzaldyke.gateway.dispatcher import Dispatcher, Place
from quetzaldyke.gateway.event_stream import (
    EventSplitter,
    StreamOrderError,
    data_of,
)
from quetzaldyke.gateway.http_client import (
    Exchange,
    ExchangeError,
    Failure,
    HttpClient,
    encode_request,
)
from quetzaldyke.gateway.job_records import (
    ItemRecord,
    JobRecord,
    Member,
    PartialOutput,
)
from quetzaldyke.gateway.job_store import JobStore
from quetzaldyke.gateway.logs import log_event
from quetzaldyke.gateway.model import Endpoint, Route
from quetzaldyke.parts.rendezvous import first_for
from quetzaldyke.platform import names

MS_IN_S: Final = 1000
STATUS_OK: Final = 200
STATUS_MISDIRECTED: Final = 421
STATUS_NEVER: Final = 422
FIRST_FAILURE_STATUS: Final = 500
# News within this time share one look at the free slots.
SCHEDULE_DELAY_S: Final = 0.004
# Events of a run come within milliseconds; this long a silence means that
# its endpoint is lost.
STALL_S: Final = 1.5
ITEM_RETRY_PAUSE_S: Final = 0.15
# The endpoint may work this long on one run of an item.
RUN_LIMIT_MS: Final = 60_000
MAX_IDLE_S: Final = 4.0
# A lost entry costs at most this much of the work of its runs.
PARTIALS_INTERVAL_S: Final = 2.0
# Events that make it worth while to keep them.
MIN_NEW_EVENTS: Final = 30
# Results wait this long for others of their job, to share one write.
RESULT_DELAY_S: Final = 0.7


@dataclass(slots=True)
class ItemProgress:
    """One item that has no result yet."""

    item: int
    record: ItemRecord
    splitter: EventSplitter = field(default_factory=EventSplitter)
    outputs: list[bytes] = field(default_factory=list)
    failures: int = 0
    not_before_s: float = 0.0
    exchange: Exchange | None = None
    endpoint_id: str = ''
    running: bool = False
    finished: bool = False

    @property
    def events_done(self) -> int:
        """Return the number of the last event."""
        return self.splitter.last_id or 0


@dataclass(frozen=True, slots=True)
class FinishedItem:
    """A result that is not listed yet."""

    item: int
    completed: bool
    output: bytes


@dataclass(slots=True)
class ActiveJob:
    """A job that this entry owns and runs."""

    record: JobRecord
    route: Route
    items: dict[int, ItemProgress]
    bodies: dict[int, bytes]
    finished: list[FinishedItem] = field(default_factory=list)
    finished_since_s: float = 0.0
    listing: bool = False
    stopped: bool = False
    saving: bool = False
    saved_s: float = 0.0
    saved_events: int = 0

    @property
    def due_ms(self) -> float:
        """Return the Unix time at which all results are due."""
        assert self.route.batch is not None
        target_ms = self.route.batch.completion_target_s * MS_IN_S
        return self.record.accepted_ms + target_ms

    @property
    def give_up_ms(self) -> float:
        """Return the Unix time from which items may be given up."""
        assert self.route.batch is not None
        return self.record.accepted_ms + self.route.batch.max_wait_s * MS_IN_S

    def candidates(self, now_s: float, times: RunTimes) -> list[Candidate]:
        """Return the items that could start now."""
        left_s = self.due_ms / MS_IN_S - time.time()
        return [
            Candidate(
                self.record.job_id,
                one.item,
                self.due_ms,
                one.events_done,
                left_s < times.left_s(one.events_done),
            )
            for one in self.items.values()
            if not one.running
            and not one.finished
            and one.not_before_s <= now_s
        ]

    def running(self) -> int:
        """Return how many items run."""
        return sum(one.running for one in self.items.values())

    def partials(self) -> list[PartialOutput]:
        """Return what the runs of unfinished items produced."""
        return [
            PartialOutput(
                one.item,
                one.splitter.last_id or 0,
                b'\n'.join(one.outputs),
            )
            for one in self.items.values()
            if one.outputs and not one.finished
        ]


@dataclass(slots=True)
class BatchRunner:
    """Active jobs of one entry."""

    dispatcher: Dispatcher
    client: HttpClient
    store: JobStore
    policy: BatchPolicy
    group: TaskGroup
    # How old the news about other entries may be.
    news_age_s: Callable[[], float]
    find_route: Callable[[str], Route | None]
    jobs: dict[str, ActiveJob] = field(default_factory=dict)
    # Set at a planned stop: nothing new starts.
    stopping: bool = False
    # Whether the peers' use of the endpoints is known.
    joined: bool = False
    handle: asyncio.TimerHandle | None = None
    times: RunTimes = field(default_factory=RunTimes)

    def pending(self) -> int:
        """Return how many items could start, were there room."""
        return sum(
            not one.running and not one.finished
            for job in self.jobs.values()
            for one in job.items.values()
        )

    def activate(
        self,
        record: JobRecord,
        listed: set[int],
        failures: dict[int, int],
        bodies: dict[int, bytes],
        partials: list[PartialOutput],
    ) -> None:
        """Run the items of a job that have no result."""
        route = self.find_route(record.route)
        if route is None or record.job_id in self.jobs:
            return
        items = {
            index: ItemProgress(index, item, failures=failures.get(index, 0))
            for index, item in enumerate(record.items)
            if index not in listed
        }
        for partial in partials:
            if partial.item in items:
                items[partial.item].splitter.last_id = partial.last_event
                items[partial.item].outputs.append(partial.output)
        job = ActiveJob(record, route, items, bodies)
        job.saved_s = self.dispatcher.clock.now()
        self.jobs[record.job_id] = job
        log_event(
            'job_activated',
            job=record.job_id,
            items=len(items),
            listed=len(listed),
            begun=len(partials),
        )
        self.schedule_soon()

    def deactivate(self, job_id: str, reason: str) -> None:
        """Stop all runs of a job."""
        job = self.jobs.pop(job_id, None)
        if job is None:
            return
        job.stopped = True
        for one in job.items.values():
            if one.exchange is not None:
                one.exchange.cancel()
        log_event(
            'job_deactivated',
            job=job_id,
            reason=reason,
            unlisted=len(job.finished),
        )

    def schedule_soon(self) -> None:
        """Look at the free slots shortly."""
        if self.handle is None and self.jobs:
            loop = asyncio.get_running_loop()
            self.handle = loop.call_later(SCHEDULE_DELAY_S, self.schedule)

    def schedule(self) -> None:
        """Make room where needed, then start items on free slots."""
        if self.handle is not None:
            self.handle.cancel()
        self.handle = None
        self.make_all_room()
        if self.stopping or not self.joined or not self.jobs:
            return
        now_s = self.dispatcher.clock.now()
        by_service: dict[str, list[Candidate]] = {}
        for job in self.jobs.values():
            service = job.route.services[0].service
            by_service.setdefault(service, []).extend(job.candidates(now_s, self.times))
        for service, candidates in by_service.items():
            if candidates:
                self.start_on_free_slots(service, candidates, now_s)

    def start_on_free_slots(
        self,
        service: str,
        candidates: list[Candidate],
        now_s: float,
    ) -> None:
        """Start the most urgent items on the emptiest endpoints."""
        if len(self.dispatcher.line(service)):
            return
        usable = self.dispatcher.book.usable(service, now_s)
        demand = Demand(
            len(candidates),
            self.dispatcher.loads.pending_elsewhere(),
            self.news_age_s(),
        )
        rooms = self.policy.rooms(usable, demand, now_s)
        ordered = start_order(candidates)
        for candidate, endpoint in zip(ordered, rooms, strict=False):
            job = self.jobs[candidate.job_id]
            progress = job.items[candidate.item]
            progress.running = True
            place = self.dispatcher.take(endpoint, online=False)
            self.group.start_soon(self.run_item, job, progress, place)

    def make_all_room(self) -> None:
        """Stop own runs on endpoints that hold too many requests."""
        for endpoint_id, running in list(self.dispatcher.loads.own.items()):
            if not running.batch:
                continue
            belief = self.dispatcher.book.beliefs.get(endpoint_id)
            if belief is None:
                continue
            slots = belief.endpoint.slots
            for _ in range(self.policy.surplus(endpoint_id, slots)):
                self.stop_one(endpoint_id)

    def stop_one(self, endpoint_id: str) -> bool:
        """Stop the run on an endpoint that has done least."""
        runs = [
            (-job.due_ms, one.events_done, number, one)
            for job in self.jobs.values()
            for number, one in job.items.items()
            if one.running
            and one.endpoint_id == endpoint_id
            and one.exchange is not None
            and one.exchange.failure is None
            and not one.exchange.complete
        ]
        if not runs:
            return False
        chosen = min(runs, key=lambda run: run[:3])[3]
        assert chosen.exchange is not None
        chosen.exchange.cancel()
        log_event(
            'item_preempted',
            item=chosen.record.item_id,
            endpoint=endpoint_id,
            events=chosen.events_done,
        )
        return True

    async def run_item(
        self,
        job: ActiveJob,
        progress: ItemProgress,
        place: Place,
    ) -> None:
        """Run an item on one endpoint as far as it gets."""
        endpoint = place.endpoint
        progress.endpoint_id = endpoint.endpoint_id
        exchange = Exchange(names.ATTEMPT_ID, progress.record.item_id.encode())
        progress.exchange = exchange
        try:
            body = await self.body_of(job, progress.record)
            if body is None or job.stopped or exchange.failure:
                return
            await self.exchange_item(job, progress, endpoint, body)
        except ExchangeError as exc:
            self.note_failure(job, progress, endpoint, exc)
        except StreamOrderError as exc:
            broken = ExchangeError(Failure.MALFORMED, str(exc))
            self.note_failure(job, progress, endpoint, broken)
        finally:
            exchange.cancel()
            progress.running = False
            progress.exchange = None
            self.dispatcher.release(place)
            self.schedule_soon()

    async def body_of(self, job: ActiveJob, record: ItemRecord) -> bytes | None:
        """Return the body of an item; None when it can't be read now."""
        part = job.bodies.get(record.body_part)
        if part is None:
            job_id = job.record.job_id
            answer = await self.store.read_body_part(job_id, record.body_part)
            if isinstance(answer, Err):
                await anyio.sleep(ITEM_RETRY_PAUSE_S)
                return None
            part = job.bodies[record.body_part] = answer.ok_value
        return part[record.body_start : record.body_start + record.body_size]

    async def exchange_item(
        self,
        job: ActiveJob,
        progress: ItemProgress,
        endpoint: Endpoint,
        body: bytes,
    ) -> None:
        """Send an item and take its events."""
        exchange = progress.exchange
        assert exchange is not None
        await self.client.start(
            endpoint.host,
            endpoint.port,
            encode_item(job, progress, endpoint, body),
            exchange,
            MAX_IDLE_S,
        )
        self.client.active.add(exchange)
        exchange.expires_at_s = self.dispatcher.clock.now() + STALL_S
        head = await exchange.read_head()
        if head.status == STATUS_OK and head.get(names.SIGNATURE) is not None:
            await self.take_events(job, progress, endpoint)
            return
        answer = await exchange.read_body()
        if head.status == STATUS_NEVER:
            self.finish(job, progress, completed=False)
            return
        not_run = head.get(names.NOT_RUN) is not None
        if not not_run and head.status != STATUS_MISDIRECTED:
            progress.failures += 1
        progress.not_before_s = self.dispatcher.clock.now() + ITEM_RETRY_PAUSE_S
        log_event(
            'item_failed',
            item=progress.record.item_id,
            job=job.record.job_id,
            endpoint=endpoint.endpoint_id,
            status=head.status,
            ran=not not_run,
            failures=progress.failures,
            detail=answer[:80].decode('latin-1'),
        )
        if progress.failures >= job.route.max_attempts:
            self.finish(job, progress, completed=False)

    async def take_events(
        self,
        job: ActiveJob,
        progress: ItemProgress,
        endpoint: Endpoint,
    ) -> None:
        """Collect the events of a run until it is complete."""
        exchange = progress.exchange
        assert exchange is not None
        splitter = progress.splitter
        splitter.restart()
        begun_s = self.dispatcher.clock.now()
        done_before = progress.events_done
        while True:
            exchange.expires_at_s = self.dispatcher.clock.now() + STALL_S
            chunk = await exchange.read_chunk()
            if not chunk:
                break
            events = splitter.feed(chunk)
            if events:
                progress.outputs.extend(data_of(events))
        if splitter.partial:
            raise ExchangeError(Failure.BROKEN, 'ended inside an event')
        self.dispatcher.book.note_success(endpoint.endpoint_id)
        if not done_before:
            lasted_s = self.dispatcher.clock.now() - begun_s
            self.times.note(progress.events_done, lasted_s)
        self.finish(job, progress, completed=True)

    def finish(
        self,
        job: ActiveJob,
        progress: ItemProgress,
        *,
        completed: bool,
    ) -> None:
        """Keep a result until it is listed."""
        progress.finished = True
        output = b'\n'.join(progress.outputs) if completed else b''
        if not job.finished:
            job.finished_since_s = self.dispatcher.clock.now()
        job.finished.append(FinishedItem(progress.item, completed, output))
        log_event(
            'item_done',
            item=progress.record.item_id,
            job=job.record.job_id,
            completed=completed,
            events=progress.events_done,
            failures=progress.failures,
        )

    def note_failure(
        self,
        job: ActiveJob,
        progress: ItemProgress,
        endpoint: Endpoint,
        exc: ExchangeError,
    ) -> None:
        """Keep what has arrived and let the item go on later."""
        if exc.failure is Failure.CANCELLED:
            return
        now_s = self.dispatcher.clock.now()
        progress.not_before_s = now_s + ITEM_RETRY_PAUSE_S
        aside_s = self.dispatcher.book.note_failure(
            endpoint.endpoint_id,
            now_s,
        )
        log_event(
            'item_interrupted',
            item=progress.record.item_id,
            job=job.record.job_id,
            endpoint=endpoint.endpoint_id,
            failure=str(exc),
            events=progress.events_done,
            aside_s=aside_s,
        )

    async def tick(self) -> None:
        """Start items, give up those that are too old, list results."""
        self.schedule()
        now_s = self.dispatcher.clock.now()
        for job in list(self.jobs.values()):
            self.give_up_old(job)
            self.save_if_due(job, now_s)
            if not job.finished or job.listing:
                continue
            waited_s = now_s - job.finished_since_s
            alone = all(one.finished for one in job.items.values())
            if alone or waited_s >= RESULT_DELAY_S:
                job.listing = True
                self.group.start_soon(self.list_results, job)

    def save_if_due(self, job: ActiveJob, now_s: float) -> None:
        """Keep partial outputs now and then."""
        if job.saving or now_s - job.saved_s < PARTIALS_INTERVAL_S:
            return
        partials = job.partials()
        events = sum(one.last_event for one in partials)
        if abs(events - job.saved_events) < MIN_NEW_EVENTS:
            return
        job.saving = True
        job.saved_s = now_s
        job.saved_events = events
        self.group.start_soon(self.save_partials, job, partials)

    async def save_partials(
        self,
        job: ActiveJob,
        partials: list[PartialOutput],
    ) -> None:
        """Write partial outputs to the store."""
        try:
            saved = await self.store.save_partials(job.record.job_id, partials)
        finally:
            job.saving = False
        if isinstance(saved, Err):
            log_event(
                'partials_not_saved',
                job=job.record.job_id,
                reason=str(saved.err_value),
            )

    async def hand_over_all(self, heirs: Sequence[Member]) -> None:
        """Stop all runs and give the jobs to other entries."""
        self.stopping = True
        for job_id in list(self.jobs):
            await self.hand_over(job_id, heirs)

    async def hand_over(self, job_id: str, heirs: Sequence[Member]) -> None:
        """Give a job with its results and partial outputs to another."""
        job = self.jobs.get(job_id)
        if job is None:
            return
        for one in job.items.values():
            if one.exchange is not None:
                one.exchange.cancel()
        while job.listing:
            await anyio.sleep(SCHEDULE_DELAY_S)
        if job.finished:
            job.listing = True
            await self.list_results(job)
        if not job.items or not heirs:
            return
        chosen = first_for([one.owner_id for one in heirs], job_id)
        heir = next(one for one in heirs if one.owner_id == chosen)
        handed = await self.store.hand_over(job_id, heir, job.partials())
        log_event(
            'job_handed_over',
            job=job_id,
            heir=heir.instance,
            items=len(job.items),
            outcome='ok' if isinstance(handed, Ok) else str(handed.err_value),
        )

    def give_up_old(self, job: ActiveJob) -> None:
        """Give up the items of a job whose longest wait is over."""
        if time.time() * MS_IN_S < job.give_up_ms:
            return
        for one in job.items.values():
            if not one.finished and not one.running:
                self.finish(job, one, completed=False)

    async def list_results(self, job: ActiveJob) -> None:
        """Write finished items to the store."""
        batch = list(job.finished)
        try:
            listed = await self.store.list_results(
                job.record.job_id,
                [(one.item, one.completed, one.output) for one in batch],
                {
                    one.item: one.failures
                    for one in job.items.values()
                    if one.failures and not one.finished
                },
            )
        finally:
            job.listing = False
        if isinstance(listed, Err):
            log_event(
                'results_not_listed',
                job=job.record.job_id,
                results=len(batch),
                reason=str(listed.err_value),
            )
            job.finished_since_s = self.dispatcher.clock.now()
            return
        del job.finished[: len(batch)]
        for one in batch:
            job.items.pop(one.item, None)
        job.finished_since_s = self.dispatcher.clock.now()
        log_event(
            'results_listed',
            job=job.record.job_id,
            results=len(batch),
            left=len(job.items),
        )
        if not job.items:
            self.jobs.pop(job.record.job_id, None)


def encode_item(
    job: ActiveJob,
    progress: ItemProgress,
    endpoint: Endpoint,
    body: bytes,
) -> bytes:
    """Return the request for one run of an item."""
    record = progress.record
    headers = [
        (name.lower().encode('latin-1'), text.encode('latin-1'))
        for name, text in record.headers
    ]
    headers.append((b'host', job.record.host.encode('latin-1')))
    headers.append((names.ATTEMPT_ID, record.item_id.encode('latin-1')))
    headers.append((names.DEADLINE, b'%d' % RUN_LIMIT_MS))
    headers.append((names.EXPECTED_ENDPOINT, endpoint.endpoint_id.encode()))
    last_event = progress.splitter.last_id
    if last_event is not None:
        headers.append((names.LAST_EVENT, b'%d' % last_event))
    return encode_request(b'POST', record.path.encode('latin-1'), headers, body)
