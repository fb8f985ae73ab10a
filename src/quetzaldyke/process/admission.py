"""Admission at one endpoint: online queue, batch room and preemption.

The endpoint knows no priorities, so it gets no more streams than it runs at
once, and batch work only into slots that online work is not expected to
need. Everything here is decided in this process without agreement.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from quetzaldyke.parts.limiter import AdaptiveLimit, Headroom
from quetzaldyke.parts.suspects import SuspectBook
from quetzaldyke.parts.timers import Clock
from quetzaldyke.process.batch_grants import BatchGrants
from quetzaldyke.process.work import MS_IN_S, Work

# Least and most time that a refused caller is told to wait.
MIN_RETRY_MS: Final = 50
MAX_RETRY_MS: Final = 5000
RUN_TIME_WEIGHT: Final = 0.1
INITIAL_RUN_S: Final = 1.0
# An online request that must run alone is given the endpoint after this
# wait; until then others go before it.
EXCLUSIVE_WAIT_S: Final = 0.5
# Cancelled jobs that are remembered; one job id takes about 100 bytes.
MAX_CANCELLED_JOBS: Final = 50_000

CONFIRMED_REASON: Final = 'crashes_endpoints'


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request was not run."""

    reason: str
    retry_after_ms: int = 0


@dataclass(slots=True)
class Admission:
    """What runs and what waits at one endpoint."""

    pool: str
    max_streams: int
    max_queue: int
    clock: Clock
    limit: AdaptiveLimit
    grants: BatchGrants
    suspects: SuspectBook
    start: Callable[[Work], object]
    refuse: Callable[[Work, Refusal], None]
    headroom: Headroom = field(default_factory=Headroom)
    queue: list[Work] = field(default_factory=list)
    running: dict[str, Work] = field(default_factory=dict)
    cancelled_jobs: dict[str, None] = field(default_factory=dict)
    closed_reason: str = 'starting'  # empty while work is admitted
    run_s: float = INITIAL_RUN_S
    started_s: float = 0.0  # when the latest request was started

    @property
    def slots(self) -> int:
        """Return the streams that the endpoint may run now."""
        return min(self.limit.limit, self.max_streams)

    @property
    def free(self) -> int:
        """Return the slots without a stream."""
        return self.slots - len(self.running)

    def count(self, batch: bool) -> int:
        """Return the running streams of one class."""
        return sum(work.batch is batch for work in self.running.values())

    def batch_by_pool(self) -> dict[str, int]:
        """Return the running batch streams of each pool."""
        counts: dict[str, int] = {}
        for work in self.running.values():
            if work.batch:
                pool = work.submit.pool
                counts[pool] = counts.get(pool, 0) + 1
        return counts

    @property
    def batch_room(self) -> int:
        """Return the slots that batch may still take."""
        if self.closed_reason or self.exclusive_waiting() is not None:
            return 0
        taken = len(self.running) + len(self.queue)
        kept_free = self.headroom.slots(self.slots, self.clock.now())
        return max(0, self.slots - taken - kept_free)

    def submit(self, work: Work) -> None:
        """Start, queue or refuse a request that arrived."""
        refusal = self.check(work)
        if refusal is None and work.batch:
            refusal = self.check_batch(work)
        elif refusal is None:
            self.headroom.record_arrival(self.clock.now())
            refusal = self.check_online(work)
        if refusal is not None:
            self.refuse(work, refusal)
        elif work.batch:
            self.begin(work)
        else:
            self.queue.append(work)
        self.pump()

    def check(self, work: Work) -> Refusal | None:
        """Check what holds for both classes."""
        if self.suspects.verdict(work.submit.fingerprint) == 'confirmed':
            return Refusal(CONFIRMED_REASON)
        if self.closed_reason:
            return Refusal(self.closed_reason, MIN_RETRY_MS)
        if work.submit.work not in {'online', 'batch'}:
            return Refusal('unknown class of work')
        if work.submit.remaining_ms <= 0:
            return Refusal('deadline has passed')
        return None

    def check_batch(self, work: Work) -> Refusal | None:
        """Check the grant and the room of a batch item."""
        submit = work.submit
        if submit.job_id in self.cancelled_jobs:
            return Refusal('job_cancelled')
        now_s = self.clock.now()
        if not self.grants.take(work.session, submit, now_s):
            return Refusal('no valid grant')
        if not self.batch_room:
            return Refusal('no room for batch')
        if not self.fits(work):
            return Refusal('a suspect needs another endpoint')
        return None

    def check_online(self, work: Work) -> Refusal | None:
        """Refuse what would wait too long or borrows too much."""
        pool = work.submit.pool
        if pool != self.pool and not self.lends_online(pool):
            return Refusal('pool is not lent', MIN_RETRY_MS)
        wait_ms = self.expected_wait_ms()
        retry_ms = max(MIN_RETRY_MS, min(MAX_RETRY_MS, wait_ms))
        places = self.max_queue + self.count(batch=True)
        if self.free <= 0 and len(self.queue) >= places:
            return Refusal('overloaded', retry_ms)
        if wait_ms > work.submit.remaining_ms:
            return Refusal('overloaded', retry_ms)
        return None

    def lends_online(self, pool: str) -> bool:
        """Tell whether another pool's online work may take one more slot."""
        slots = self.grants.slots(
            pool, 'online', at_risk=False, limit=self.slots
        )
        held = [*self.running.values(), *self.queue]
        used = sum(not work.batch and work.submit.pool == pool for work in held)
        return used < slots

    def expected_wait_ms(self) -> int:
        """Estimate the wait of a new online request.

        Batch streams give their slots up, so they don't count as waiting
        time.
        """
        ahead = len(self.queue) + self.count(batch=False) + 1 - self.slots
        if ahead <= 0:
            return 0
        return int(ahead * self.run_s * MS_IN_S / self.slots)

    def pump(self) -> None:
        """Start what fits, make room for online work, grant the rest."""
        now_s = self.clock.now()
        self.drop_expired(now_s)
        waiting = self.start_online(now_s)
        self.preempt(waiting, now_s)
        self.limit.record_running(len(self.running))
        self.give_grants(now_s)

    def drop_expired(self, now_s: float) -> None:
        """Refuse queued requests whose deadline has passed."""
        expired = [one for one in self.queue if one.deadline_s <= now_s]
        for work in expired:
            self.queue.remove(work)
            self.refuse(work, Refusal('deadline has passed'))

    def start_online(self, now_s: float) -> int:
        """Start queued requests; return how many wait only for a slot."""
        if self.free <= 0 and not self.suspects.crashes:
            return len(self.queue)
        waiting = 0
        exclusive = self.exclusive_waiting()
        candidates = list(self.queue) if exclusive is None else [exclusive]
        for work in candidates:
            if self.suspects.verdict(work.submit.fingerprint) == 'confirmed':
                self.queue.remove(work)
                self.refuse(work, Refusal(CONFIRMED_REASON))
            elif not self.fits(work):
                self.stop_suspect_batch(now_s)
            elif self.free > 0:
                self.queue.remove(work)
                self.begin(work)
            else:
                waiting += 1
        if exclusive is not None and exclusive.state == 'queued':
            return self.max_streams
        return waiting

    def begin(self, work: Work) -> None:
        """Hand a request to the endpoint."""
        work.state = 'running'
        work.started_s = self.clock.now()
        self.started_s = work.started_s
        self.running[work.submit.request_id] = work
        work.alone = len(self.running) == 1
        if not work.alone:
            for other in self.running.values():
                other.alone = False
        self.start(work)

    def fits(self, work: Work) -> bool:
        """Tell whether a request may run beside what runs now."""
        if not self.suspects.crashes or not self.running:
            return True
        verdict = self.suspects.verdict(work.submit.fingerprint)
        beside = {
            self.suspects.verdict(other.submit.fingerprint)
            for other in self.running.values()
        }
        if verdict == 'alone' or beside & {'alone', 'confirmed'}:
            return False
        return verdict == 'clear' or beside == {'clear'}

    def stop_suspect_batch(self, now_s: float) -> None:
        """Preempt batch suspects that an online request can't run beside."""
        for work in self.running.values():
            verdict = self.suspects.verdict(work.submit.fingerprint)
            if work.batch and verdict != 'clear':
                work.stop('preempted', now_s)

    def exclusive_waiting(self) -> Work | None:
        """Return a queued request that is owed the endpoint for itself."""
        if not self.suspects.crashes:
            return None
        latest_s = self.clock.now() - EXCLUSIVE_WAIT_S
        for work in self.queue:
            verdict = self.suspects.verdict(work.submit.fingerprint)
            if verdict == 'alone' and work.arrived_s <= latest_s:
                return work
        return None

    def preempt(self, waiting: int, now_s: float) -> None:
        """Cancel batch streams until each waiting request gets a slot.

        Slots that are being freed already count. The stream with the least
        text to read again on resumption goes first, the newest of equals.
        """
        freeing = sum(
            work.state == 'stopping' for work in self.running.values()
        )
        needed = waiting - freeing - self.free
        if needed <= 0:
            return
        candidates = sorted(
            (
                work
                for work in self.running.values()
                if work.batch and work.state == 'running'
            ),
            key=lambda work: (work.progress, -work.started_s),
        )
        for work in candidates[:needed]:
            work.stop('preempted', now_s)

    def give_grants(self, now_s: float) -> None:
        """Grant the batch room that is not granted yet."""
        self.grants.expire(now_s)
        if not self.grants.demands:
            return
        room = self.batch_room - self.grants.outstanding()
        if room <= 0:
            return
        for session, grant in self.grants.give(
            room,
            self.slots,
            self.batch_by_pool(),
            now_s,
        ):
            session.send(grant)

    def release(self, work: Work) -> None:
        """Free the slot of a request that ended at the endpoint."""
        self.running.pop(work.submit.request_id, None)
        now_s = self.clock.now()
        if work.stop_reason == 'preempted':
            self.headroom.record_preemption(now_s - work.stop_s)
        elif not work.batch and not work.stop_reason:
            taken_s = now_s - work.started_s
            self.run_s += (taken_s - self.run_s) * RUN_TIME_WEIGHT
        work.end()

    def cancel(self, work: Work, reason: str) -> None:
        """Drop a queued request or stop a running one."""
        if work.state == 'queued':
            work.end()
            if work in self.queue:
                self.queue.remove(work)
        else:
            work.stop(reason, self.clock.now())

    def close(self, reason: str) -> None:
        """Admit nothing more and refuse what waits."""
        self.closed_reason = reason
        queued, self.queue = self.queue, []
        for work in queued:
            self.refuse(work, Refusal(reason, MIN_RETRY_MS))

    def open(self) -> None:
        """Admit work."""
        self.closed_reason = ''
        self.pump()

    def cancel_job(self, job_id: str) -> list[Work]:
        """Refuse later starts of a job; return its running items."""
        self.cancelled_jobs[job_id] = None
        if len(self.cancelled_jobs) > MAX_CANCELLED_JOBS:
            self.cancelled_jobs.pop(next(iter(self.cancelled_jobs)))
        self.grants.drop_job(job_id)
        items = [
            work
            for work in self.running.values()
            if work.batch and work.submit.job_id == job_id
        ]
        for work in items:
            self.cancel(work, 'job_cancelled')
        return items
