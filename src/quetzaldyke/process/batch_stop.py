"""Ends batch work of this entry: a cancelled job, a pause, a planned stop."""

from __future__ import annotations

from typing import Final

import anyio

from quetzaldyke.connection.messages import CancelJob, JobStopped, Message
from quetzaldyke.connection.peer import PeerSession
from quetzaldyke.process.batch_state import OwnedSegment
from quetzaldyke.process.batch_worker import PAUSE_LIMIT_S, BatchWorker

# Cancelled jobs that are remembered; an id takes about 100 bytes.
MAX_CANCELLED: Final = 10_000
STOP_POLL_S: Final = 0.05
STOP_COMMIT_TRIES: Final = 5


def subscribe_stops(worker: BatchWorker) -> None:
    """Register for cancelled jobs."""

    async def on_cancel(session: PeerSession, message: Message) -> None:
        if isinstance(message, CancelJob):
            stop_job(worker, message.job_id)
            session.send(JobStopped(message.job_id))

    worker.fleet.subscribe(CancelJob, on_cancel)


def stop_job(worker: BatchWorker, job_id: str) -> None:
    """Drop everything of a cancelled job; it is never started again here."""
    worker.cancelled[job_id] = None
    if len(worker.cancelled) > MAX_CANCELLED:
        worker.cancelled.pop(next(iter(worker.cancelled)))
    for segment_id in list(worker.segments):
        if segment_id[0] == job_id:
            worker.segments.pop(segment_id).drop()


def note_tick(worker: BatchWorker) -> bool:
    """Note that the process runs; True when it was paused for long.

    After a long pause no item starts until the records have confirmed the
    ownership.
    """
    worker.claims.note_absent()
    now_s = worker.clock.now()
    paused = now_s - worker.last_alive_s > PAUSE_LIMIT_S
    if paused:
        for segment in worker.segments.values():
            segment.confirmed = False
    worker.last_alive_s = now_s
    return paused


async def confirm_segments(worker: BatchWorker) -> None:
    """Check the segments whose ownership became doubtful."""
    for segment in list(worker.segments.values()):
        if not segment.confirmed and not segment.committing:
            worker.apply(segment, await worker.committer.confirm(segment))


async def stop_worker(worker: BatchWorker) -> None:
    """Finish running items, record results and release the segments."""
    worker.stopping = True
    worker.send_demands()
    with anyio.move_on_after(worker.options.drain_s):
        while any(one.running for one in worker.segments.values()):
            await anyio.sleep(STOP_POLL_S)
    async with anyio.create_task_group() as group:
        for segment in list(worker.segments.values()):
            group.start_soon(hand_over, worker, segment)


async def hand_over(worker: BatchWorker, segment: OwnedSegment) -> None:
    """Record what a segment holds and release it for another entry."""
    for _ in range(STOP_COMMIT_TRIES):
        while segment.committing:
            await anyio.sleep(STOP_POLL_S)
        if not segment.held or segment.dropped:
            break
        worker.apply(segment, await worker.committer.commit(segment))
    if not segment.dropped:
        await worker.committer.release(segment)
    segment.drop()
    worker.segments.pop(segment.segment_id, None)
