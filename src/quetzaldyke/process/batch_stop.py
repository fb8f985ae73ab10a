"""Stops batch work of an entry: after a cancel, a pause or a shutdown."""

from __future__ import annotations

from typing import Final

import anyio

from quetzaldyke.connection.messages import CancelJob, JobStopped, Message
from quetzaldyke.connection.peer import PeerSession
from quetzaldyke.process.batch_state import OwnedSegment
from quetzaldyke.process.batch_worker import PAUSE_LIMIT_S, BatchWorker

# The entry remembers this many cancelled jobs; an id takes about 100 bytes.
MAX_CANCELLED: Final = 10_000
STOP_POLL_INTERVAL_S: Final = 0.05
MAX_STOP_COMMITS: Final = 5


def subscribe_cancels(worker: BatchWorker) -> None:
    """Subscribe to cancellations, and acknowledge each one."""

    async def on_cancel(session: PeerSession, message: Message) -> None:
        if isinstance(message, CancelJob):
            stop_job(worker, message.job_id)
            session.send(JobStopped(message.job_id))

    worker.fleet.subscribe(CancelJob, on_cancel)


def stop_job(worker: BatchWorker, job_id: str) -> None:
    """Drop the segments of a cancelled job and never claim them again."""
    worker.cancelled[job_id] = None
    if len(worker.cancelled) > MAX_CANCELLED:
        worker.cancelled.pop(next(iter(worker.cancelled)))
    for segment_id in list(worker.segments):
        if segment_id[0] == job_id:
            worker.segments.pop(segment_id).drop()


def record_tick(worker: BatchWorker) -> bool:
    """Record that the process runs; return whether it was paused too long.

    After such a pause no item of a segment starts until the record confirms
    that the segment is still owned.
    """
    worker.claimer.update_disconnected()
    now_s = worker.clock.now()
    paused = now_s - worker.last_tick_s > PAUSE_LIMIT_S
    if paused:
        for segment in worker.segments.values():
            segment.confirmed = False
    worker.last_tick_s = now_s
    return paused


async def confirm_segments(worker: BatchWorker) -> None:
    """Check the records of the segments whose ownership is uncertain."""
    for segment in list(worker.segments.values()):
        if not segment.confirmed and not segment.committing:
            worker.apply_outcome(
                segment, await worker.committer.confirm(segment)
            )


async def stop_worker(worker: BatchWorker) -> None:
    """Finish running items, record their results and release the segments.

    Items that run longer than the drain time are cancelled.
    """
    worker.stopping = True
    worker.send_demands()
    with anyio.move_on_after(worker.options.drain_s):
        while any(one.running for one in worker.segments.values()):
            await anyio.sleep(STOP_POLL_INTERVAL_S)
    async with anyio.create_task_group() as group:
        for segment in list(worker.segments.values()):
            group.start_soon(hand_over, worker, segment)


async def hand_over(worker: BatchWorker, segment: OwnedSegment) -> None:
    """Record a segment's held results and release it for another entry.

    Results that can't be recorded in a few attempts are discarded; their items
    run again at the next owner.
    """
    for _ in range(MAX_STOP_COMMITS):
        while segment.committing:
            await anyio.sleep(STOP_POLL_INTERVAL_S)
        if not segment.held or segment.dropped:
            break
        worker.apply_outcome(segment, await worker.committer.commit(segment))
    if not segment.dropped:
        await worker.committer.release(segment)
    segment.drop()
    worker.segments.pop(segment.segment_id, None)
