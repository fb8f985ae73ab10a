"""Makes sure that every live process has stopped a cancelled job."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any, Final

import anyio

from quetzaldyke.connection.messages import CancelJob, JobStopped, Message
from quetzaldyke.connection.peer import PeerSession
from quetzaldyke.durable.records import JobRecord
from quetzaldyke.process.batch_demand import lenders_of
from quetzaldyke.process.batch_stop import stop_job
from quetzaldyke.process.batch_worker import BatchWorker
from quetzaldyke.process.fleet import Instance

# A cancel waits this long for answers; the coordinator of the job's list
# then goes on with it.
ANSWER_WAIT_S: Final = 2.0
POLL_S: Final = 0.02

# Connects to an instance outside the subset until the scope is cancelled.
Reach = Callable[[Instance], Coroutine[Any, Any, None]]


@dataclass(slots=True)
class JobStopper:
    """Sends cancels of jobs and collects the answers."""

    worker: BatchWorker
    reach: Reach
    answers: dict[str, set[str]] = field(default_factory=dict)

    def subscribe(self) -> None:
        """Register for the answers."""
        self.worker.fleet.subscribe(JobStopped, self.on_stopped)

    async def on_stopped(self, session: PeerSession, message: Message) -> None:
        """Note that a process has stopped a job."""
        if isinstance(message, JobStopped) and message.job_id in self.answers:
            self.answers[message.job_id].add(session.remote.instance)

    def required(self, job: JobRecord) -> dict[str, Instance]:
        """Return who must answer: entries, and sidecars of the job's pools.

        Entries count because each could start an item at a sidecar that
        joins later and has not heard of the cancel.
        """
        fleet = self.worker.fleet
        configuration = self.worker.holder.current
        pools = set(lenders_of(configuration, job.pool, at_risk=True))
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
        """Ask every process that could run the job; True when all stopped."""
        stop_job(self.worker, job.job_id)
        answered = self.answers.setdefault(job.job_id, set())
        async with anyio.create_task_group() as group:
            for name, one in self.required(job).items():
                if name not in answered:
                    group.start_soon(self.ask, job.job_id, one)
            with anyio.move_on_after(ANSWER_WAIT_S):
                while not self.all_stopped(job):
                    await anyio.sleep(POLL_S)
            group.cancel_scope.cancel()
        if not self.all_stopped(job):
            return False
        self.answers.pop(job.job_id, None)
        return True

    def all_stopped(self, job: JobRecord) -> bool:
        """Tell whether everyone that is listed now has answered."""
        answered = self.answers.get(job.job_id, set())
        return answered >= self.required(job).keys()

    async def ask(self, job_id: str, one: Instance) -> None:
        """Send the cancel to one process, over a new connection if needed."""
        async with anyio.create_task_group() as group:
            if self.session_of(one) is None and one.peer_address:
                group.start_soon(self.reach, one)
            session = self.session_of(one)
            while session is None:
                await anyio.sleep(POLL_S)
                session = self.session_of(one)
            session.send(CancelJob(job_id))
            # A connection made for this must last until the answer.
            while one.instance not in self.answers.get(job_id, ()):
                await anyio.sleep(POLL_S)
            group.cancel_scope.cancel()

    def session_of(self, one: Instance) -> PeerSession | None:
        """Return the open session to a process."""
        fleet = self.worker.fleet
        link = fleet.links.get(one.instance)
        session = link.session if link else fleet.entries.get(one.instance)
        return None if session is None or session.closed else session
