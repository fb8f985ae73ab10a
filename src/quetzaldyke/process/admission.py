"""Admission control at one endpoint: online queue, batch room, preemption.

The endpoint does not prioritise requests. It is therefore never given more
streams than it runs at once, and batch requests only get slots that online
requests are not expected to need. All decisions are local to this process and
need no coordination.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from quetzaldyke.connection.messages import CRASHES_ENDPOINTS
from quetzaldyke.parts.hlc import wall_clock_ms
from quetzaldyke.parts.limiter import AdaptiveLimit, Headroom
from quetzaldyke.parts.suspects import SuspectBook, Verdict
from quetzaldyke.parts.timers import Clock
from quetzaldyke.process.batch_grants import BatchGrants
from quetzaldyke.process.tracked_request import MS_IN_S, TrackedRequest

# Bounds of the retry delay that a refused caller is told.
MIN_RETRY_MS: Final = 50
MAX_RETRY_MS: Final = 5000
RUN_TIME_EWMA_WEIGHT: Final = 0.1
INITIAL_RUN_S: Final = 1.0
# After this wait, an online request that must run alone is the next to start;
# until then, other requests may start before it.
EXCLUSIVE_WAIT_S: Final = 0.5
DEADLINE_PASSED: Final = 'deadline has passed'
# Number of cancelled jobs to remember; one job id takes about 100 bytes.
MAX_CANCELLED_JOBS: Final = 50_000


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request is not run, and when the caller may try again."""

    reason: str
    retry_after_ms: int = 0


@dataclass(slots=True)
class AdmissionController:
    """Running and queued requests of one endpoint."""

    pool: str
    max_streams: int
    max_queue: int
    clock: Clock
    limit: AdaptiveLimit
    grants: BatchGrants
    suspects: SuspectBook
    start: Callable[[TrackedRequest], object]
    refuse: Callable[[TrackedRequest, Refusal], None]
    now_ms: Callable[[], int] = wall_clock_ms
    # Of the crash ids that this process makes.
    origin: str = ''
    headroom: Headroom = field(default_factory=Headroom)
    queue: list[TrackedRequest] = field(default_factory=list)
    running: dict[str, TrackedRequest] = field(default_factory=dict)
    cancelled_jobs: dict[str, None] = field(default_factory=dict)
    closed_reason: str = 'starting'  # empty while work is admitted
    mean_run_s: float = INITIAL_RUN_S
    last_start_s: float = 0.0  # when a request was last started
    paused_until_s: float = 0.0  # until then no batch request starts

    @property
    def slots(self) -> int:
        """Return the number of streams that the endpoint may run at once."""
        return min(self.limit.limit, self.max_streams)

    @property
    def free_slots(self) -> int:
        """Return the number of unused slots; negative after the limit fell."""
        return self.slots - len(self.running)

    def running_count(self, batch: bool) -> int:
        """Return the number of running batch or online streams."""
        return sum(
            request.is_batch is batch for request in self.running.values()
        )

    def running_batch_by_pool(self) -> dict[str, int]:
        """Return the number of running batch streams of each pool."""
        running = self.running.values()
        return Counter(one.submit.pool for one in running if one.is_batch)

    @property
    def batch_room(self) -> int:
        """Return how many more batch streams may start now.

        This is 0 while admission is closed or paused, or a request is due to
        run alone.
        """
        now_s = self.clock.now()
        if self.closed_reason or now_s < self.paused_until_s:
            return 0
        if self.exclusive_waiting() is not None:
            return 0
        occupied = len(self.running) + len(self.queue)
        kept_free = self.headroom.slots(self.slots, now_s)
        return max(0, self.slots - occupied - kept_free)

    def submit(self, request: TrackedRequest) -> None:
        """Start, queue or refuse a request that arrived."""
        refusal = self.check(request)
        if refusal is None and request.is_batch:
            refusal = self.check_batch(request)
        elif refusal is None:
            self.headroom.record_arrival(self.clock.now())
            refusal = self.check_online(request)
        if refusal is not None:
            self.refuse(request, refusal)
        elif request.is_batch:
            self.dispatch(request)
        else:
            self.queue.append(request)
        self.schedule()

    def check(self, request: TrackedRequest) -> Refusal | None:
        """Return a refusal that applies to both classes, or None."""
        if self.verdict_of(request) == 'confirmed':
            return Refusal(CRASHES_ENDPOINTS)
        if self.closed_reason:
            return Refusal(self.closed_reason, MIN_RETRY_MS)
        if request.submit.work not in {'online', 'batch'}:
            return Refusal('unknown class of work')
        if request.submit.remaining_ms <= 0:
            return Refusal(DEADLINE_PASSED)
        return None

    def check_batch(self, request: TrackedRequest) -> Refusal | None:
        """Return why a batch item is refused, or None.

        Only a cancelled job leaves the grant as it is; otherwise one item of a
        valid grant is used up, even if the item is then refused.
        """
        submit = request.submit
        if submit.job_id in self.cancelled_jobs:
            return Refusal('job_cancelled')
        now_s = self.clock.now()
        if not self.grants.consume(request.session, submit, now_s):
            return Refusal('no valid grant')
        if not self.batch_room:
            return Refusal('no room for batch')
        if not self.can_run_now(request):
            return Refusal('a suspect needs another endpoint')
        return None

    def check_online(self, request: TrackedRequest) -> Refusal | None:
        """Return why an online request is refused, or None.

        It is refused if its pool may not use another slot, if the queue is
        full or if the expected wait exceeds its deadline.
        """
        pool = request.submit.pool
        if pool != self.pool and not self.lends_online(pool):
            return Refusal('pool is not lent', MIN_RETRY_MS)
        wait_ms = self.expected_wait_ms()
        retry_ms = max(MIN_RETRY_MS, min(MAX_RETRY_MS, wait_ms))
        queue_capacity = self.max_queue + self.running_count(batch=True)
        if self.free_slots <= 0 and len(self.queue) >= queue_capacity:
            return Refusal('overloaded', retry_ms)
        if wait_ms > request.submit.remaining_ms:
            return Refusal('overloaded', retry_ms)
        return None

    def lends_online(self, pool: str) -> bool:
        """Tell whether another pool's online work may use one more slot."""
        slots = self.grants.slot_quota(
            pool, 'online', at_risk=False, limit=self.slots
        )
        online_requests = [*self.running.values(), *self.queue]
        used = sum(
            not request.is_batch and request.submit.pool == pool
            for request in online_requests
        )
        return used < slots

    def expected_wait_ms(self) -> int:
        """Estimate the wait of a new online request.

        Batch streams are preempted for online requests and add no wait.
        """
        ahead = (
            len(self.queue) + self.running_count(batch=False) + 1 - self.slots
        )
        if ahead <= 0:
            return 0
        return int(ahead * self.mean_run_s * MS_IN_S / self.slots)

    def schedule(self) -> None:
        """End expired requests, start others, preempt and issue grants."""
        now_s = self.clock.now()
        self.end_expired(now_s)
        waiting = self.start_online(now_s)
        self.preempt(waiting, now_s)
        self.limit.record_running(len(self.running))
        self.issue_grants(now_s)

    def end_expired(self, now_s: float) -> None:
        """Refuse queued and stop running requests that are overdue."""
        expired = [one for one in self.queue if one.deadline_s <= now_s]
        for request in expired:
            self.queue.remove(request)
            self.refuse(request, Refusal(DEADLINE_PASSED))
        for running in self.running.values():
            if running.deadline_s <= now_s:
                running.stop(DEADLINE_PASSED, now_s)

    def start_online(self, now_s: float) -> int:
        """Start queued requests; return how many still wait only for a slot.

        A request that is confirmed to crash endpoints is refused. One that
        may not run beside the running requests isn't counted, and suspect
        batch streams are preempted for it.

        Once a request is due to run alone, no other is started. While it has
        to wait, `max_streams` is returned, so that all batch is preempted.
        """
        if self.free_slots <= 0 and not self.suspects.crashes:
            return len(self.queue)
        waiting = 0
        exclusive = self.exclusive_waiting()
        candidates = list(self.queue) if exclusive is None else [exclusive]
        for request in candidates:
            if self.verdict_of(request) == 'confirmed':
                self.queue.remove(request)
                self.refuse(request, Refusal(CRASHES_ENDPOINTS))
            elif not self.can_run_now(request):
                self.preempt_suspect_batch(now_s)
            elif self.free_slots > 0:
                self.queue.remove(request)
                self.dispatch(request)
            else:
                waiting += 1
        if exclusive is not None and exclusive.state == 'queued':
            return self.max_streams
        return waiting

    def dispatch(self, request: TrackedRequest) -> None:
        """Start a request at the endpoint."""
        request.state = 'running'
        request.started_s = self.clock.now()
        self.last_start_s = request.started_s
        self.running[request.submit.request_id] = request
        request.ran_alone = len(self.running) == 1
        if not request.ran_alone:
            for other in self.running.values():
                other.ran_alone = False
        self.start(request)

    def can_run_now(self, request: TrackedRequest) -> bool:
        """Tell whether a request may run beside the running requests.

        A suspect runs only beside clear requests, and a request with the
        verdict `alone` runs beside no other.
        """
        if not self.suspects.crashes or not self.running:
            return True
        verdict = self.verdict_of(request)
        running_verdicts = {
            self.verdict_of(other) for other in self.running.values()
        }
        if verdict == 'alone' or running_verdicts & {'alone', 'confirmed'}:
            return False
        return verdict == 'clear' or running_verdicts == {'clear'}

    def verdict_of(self, request: TrackedRequest) -> Verdict:
        """Return how a request may run, given the crashes it took part in."""
        verdict = (
            self.suspects.item_verdict
            if request.is_batch
            else self.suspects.request_verdict
        )
        submit = request.submit
        return verdict(
            submit.fingerprint, submit.parts, self.now_ms(), self.origin
        )

    def preempt_suspect_batch(self, now_s: float) -> None:
        """Preempt suspect batch streams that block an online request."""
        for request in self.running.values():
            verdict = self.verdict_of(request)
            if request.is_batch and verdict != 'clear':
                request.stop('preempted', now_s)

    def exclusive_waiting(self) -> TrackedRequest | None:
        """Return a queued request that is due to run alone, or None."""
        if not self.suspects.crashes:
            return None
        latest_s = self.clock.now() - EXCLUSIVE_WAIT_S
        for request in self.queue:
            verdict = self.verdict_of(request)
            if verdict == 'alone' and request.arrived_s <= latest_s:
                return request
        return None

    def preempt(self, waiting: int, now_s: float) -> None:
        """Preempt batch streams until each waiting request gets a slot.

        Slots of streams that are already stopping count as free. The stream
        with the fewest tokens to read again on resumption is stopped first; of
        equal ones, the most recently started.
        """
        freeing = sum(
            request.state == 'stopping' for request in self.running.values()
        )
        needed = waiting - freeing - self.free_slots
        if needed <= 0:
            return
        candidates = sorted(
            (
                request
                for request in self.running.values()
                if request.is_batch and request.state == 'running'
            ),
            key=lambda request: (request.resume_cost, -request.started_s),
        )
        for request in candidates[:needed]:
            request.stop('preempted', now_s)

    def issue_grants(self, now_s: float) -> None:
        """Issue grants for the batch room that no grant covers yet."""
        self.grants.expire(now_s)
        if not self.grants.demands:
            return
        room = self.batch_room - self.grants.outstanding()
        if room <= 0:
            return
        for session, grant in self.grants.allocate(
            room,
            self.slots,
            self.running_batch_by_pool(),
            now_s,
        ):
            session.send(grant)

    def release(self, request: TrackedRequest) -> None:
        """Free the slot of a request that ended at the endpoint.

        Its times update the estimates of preemption and run time.
        """
        self.running.pop(request.submit.request_id, None)
        now_s = self.clock.now()
        if request.stop_reason == 'preempted':
            self.headroom.record_preemption(now_s - request.stop_s)
        elif not request.is_batch and not request.stop_reason:
            run_s = now_s - request.started_s
            self.mean_run_s += (run_s - self.mean_run_s) * RUN_TIME_EWMA_WEIGHT
        request.mark_done()

    def cancel(self, request: TrackedRequest, reason: str) -> None:
        """Remove a queued request or stop a running one."""
        if request.state == 'queued':
            request.mark_done()
            if request in self.queue:
                self.queue.remove(request)
        else:
            request.stop(reason, self.clock.now())

    def close(self, reason: str) -> None:
        """Stop admitting requests and refuse the queued ones."""
        self.closed_reason = reason
        queued, self.queue = self.queue, []
        for request in queued:
            self.refuse(request, Refusal(reason, MIN_RETRY_MS))

    def open(self) -> None:
        """Start admitting requests."""
        self.closed_reason = ''
        self.schedule()

    def pause_batch(self, pause_ms: int) -> None:
        """Start no batch requests while the endpoint asks for a pause.

        Online requests are still sent: an endpoint that refuses some requests
        serves others.
        """
        until_s = self.clock.now() + pause_ms / MS_IN_S
        self.paused_until_s = max(self.paused_until_s, until_s)

    def cancel_job(self, job_id: str) -> list[TrackedRequest]:
        """Refuse new items of a job; cancel and return the running ones."""
        self.cancelled_jobs[job_id] = None
        if len(self.cancelled_jobs) > MAX_CANCELLED_JOBS:
            self.cancelled_jobs.pop(next(iter(self.cancelled_jobs)))
        self.grants.drop_job(job_id)
        items = [
            request
            for request in self.running.values()
            if request.is_batch and request.submit.job_id == job_id
        ]
        for request in items:
            self.cancel(request, 'job_cancelled')
        return items
