"""Stops a cancelled job at every live process that could run its items."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any, Final

import anyio

from quetzaldyke.connection.messages import CancelJob, JobStopped, Message
from quetzaldyke.connection.peer import PeerSession
from quetzaldyke.durable.records import JobRecord
from quetzaldyke.process.batch_demand import pools_for_batch
from quetzaldyke.process.batch_stop import stop_job
from quetzaldyke.process.batch_worker import BatchWorker
from quetzaldyke.process.fleet import Instance

# A cancel request waits this long for all processes to stop the job. After that
# the coordinator of the job's list resumes the cancellation.
STOP_TIMEOUT_S: Final = 2.0
POLL_INTERVAL_S: Final = 0.02

# Keeps a connection to an instance outside the subset until its task is
# cancelled.
Reach = Callable[[Instance], Coroutine[Any, Any, None]]


@dataclass(slots=True)
class JobStopper:
    """Sends job cancellations and collects the acknowledgements."""

    worker: BatchWorker
    reach: Reach
    stopped_by: dict[str, set[str]] = field(default_factory=dict)

    def subscribe(self) -> None:
        """Subscribe to the acknowledgements."""
        self.worker.fleet.subscribe(JobStopped, self.on_stopped)

    async def on_stopped(self, session: PeerSession, message: Message) -> None:
        """Record that a process has stopped a job."""
        if (
            isinstance(message, JobStopped)
            and message.job_id in self.stopped_by
        ):
            self.stopped_by[message.job_id].add(session.remote.instance)

    def required_peers(self, job: JobRecord) -> dict[str, Instance]:
        """Return the processes that must acknowledge a cancellation, by name.

        These are the sidecars of all pools that may run the job, and the
        entries: any entry could start an item at a sidecar that joins later
        and hasn't received the cancellation.
        """
        fleet = self.worker.fleet
        configuration = self.worker.holder.current
        pools = set(pools_for_batch(configuration, job.pool, at_risk=True))
        listed = dict(fleet.instances)
        for name, link in fleet.links.items():
            listed.setdefault(name, link.instance)
        return {
            name: one
            for name, one in listed.items()
            if name != fleet.own.instance
            and (one.role == 'entry' or one.pool in pools)
        }

    async def stop_everywhere(self, job: JobRecord) -> bool:
        """Stop a job at every process that could run it.

        Returns False when some process hasn't acknowledged within the timeout;
        the acknowledgements so far are kept for the next call.
        """
        stop_job(self.worker, job.job_id)
        stopped = self.stopped_by.setdefault(job.job_id, set())
        async with anyio.create_task_group() as group:
            for name, one in self.required_peers(job).items():
                if name not in stopped:
                    group.start_soon(self.request_stop, job.job_id, one)
            with anyio.move_on_after(STOP_TIMEOUT_S):
                while not self.all_stopped(job):
                    await anyio.sleep(POLL_INTERVAL_S)
            group.cancel_scope.cancel()
        if not self.all_stopped(job):
            return False
        self.stopped_by.pop(job.job_id, None)
        return True

    def all_stopped(self, job: JobRecord) -> bool:
        """Return whether each process listed now has acknowledged."""
        stopped = self.stopped_by.get(job.job_id, set())
        return stopped >= self.required_peers(job).keys()

    async def request_stop(self, job_id: str, one: Instance) -> None:
        """Send the cancellation to one process and wait until it acknowledges.

        Opens a connection if there is none and the process has an address.
        """
        async with anyio.create_task_group() as group:
            if self.session_of(one) is None and one.peer_address:
                group.start_soon(self.reach, one)
            session = self.session_of(one)
            while session is None:
                await anyio.sleep(POLL_INTERVAL_S)
                session = self.session_of(one)
            session.send(CancelJob(job_id))
            # A connection opened for this must last until the acknowledgement.
            while one.instance not in self.stopped_by.get(job_id, ()):
                await anyio.sleep(POLL_INTERVAL_S)
            group.cancel_scope.cancel()

    def session_of(self, one: Instance) -> PeerSession | None:
        """Return the open session to a process, or None if there is none."""
        fleet = self.worker.fleet
        link = fleet.links.get(one.instance)
        session = link.session if link else fleet.entries.get(one.instance)
        return None if session is None or session.closed else session
