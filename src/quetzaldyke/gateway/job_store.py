"""Writes and reads batch jobs in the store.

Acceptance, listing and ending are one transaction each. A write whose answer
is lost is settled by reading back before anything is said about it.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import Final, Literal

import anyio
from result import Err, Ok, Result

from quetzaldyke.gateway.job_records import (
    END_PREFIX,
    JOB_PREFIX,
    PARTIAL_PREFIX,
    QUOTA_PREFIX,
    STATE_PREFIX,
    JobState,
    Member,
    PartialOutput,
    body_key,
    pack_outputs,
    pack_partials,
    result_key,
    unpack_outputs,
    unpack_partials,
)
from quetzaldyke.gateway.job_table import JobTable, JobView
from quetzaldyke.gateway.model import Route
from quetzaldyke.gateway.new_job import NewJob, fitting
from quetzaldyke.gateway.part_cache import PartCache
from quetzaldyke.parts.kv import ABSENT, ErrorKind, KvError
from quetzaldyke.parts.transactions import (
    Put,
    Transaction,
    TransactionalStore,
)

# Below this share of the limit, jobs that others accept at the same moment
# can't exceed it, so acceptances need not follow one another.
UNORDERED_QUOTA_SHARE: Final = 0.5
# Keys in one transaction.
MAX_DELETES: Final = 32
ACCEPT_TRIES: Final = 6
# Errors of a write that was certainly not applied.
CERTAIN_ERRORS: Final = frozenset(('unavailable', 'conflict', 'too_large'))
VIEW_WAIT_S: Final = 0.4

AcceptFailure = Literal['over_quota', 'unavailable', 'unknown']


@dataclass(slots=True)
class JobStore:
    """Jobs in the store, as one entry writes and reads them."""

    store: TransactionalStore
    table: JobTable
    owner_id: str
    instance: str
    cache: PartCache = field(default_factory=PartCache)

    async def accept(
        self,
        job: NewJob,
        route: Route,
    ) -> Result[None, AcceptFailure]:
        """Accept a job once; `unknown` if it may have been accepted."""
        uncertain = False
        for _ in range(ACCEPT_TRIES):
            if self.table.view_known(job.record.job_id):
                return Ok(None)
            fits, condition = self.check_quota(job, route)
            if not fits and not uncertain:
                return Err('over_quota')
            written = await self.store.transact(
                self.acceptance(job, route, condition),
            )
            if isinstance(written, Ok):
                return Ok(None)
            kind = written.err_value.kind
            uncertain |= kind not in CERTAIN_ERRORS
            if kind == 'unavailable' and not uncertain:
                return Err('unavailable')
            if await self.was_accepted(job.record.job_id, kind):
                return Ok(None)
        return Err('unknown' if uncertain else 'unavailable')

    async def was_accepted(self, job_id: str, kind: ErrorKind) -> bool:
        """Tell whether a job is in the store after all."""
        settled = await self.find(job_id)
        if isinstance(settled, Err):
            return False
        if settled.ok_value is not None:
            return True
        if kind == 'conflict':
            # Another job was accepted; its quota must be seen first.
            await self.wait_for_news()
        return False

    def check_quota(
        self,
        job: NewJob,
        route: Route,
    ) -> tuple[bool, int | None]:
        """Tell whether a job fits, and the revision that must still hold."""
        limit = route.batch.max_waiting_tokens if route.batch else 0
        if not limit:
            return True, None
        waiting = self.table.waiting_tokens(route.name) + job.tokens
        if waiting > limit:
            return False, None
        if waiting <= limit * UNORDERED_QUOTA_SHARE:
            return True, None
        return True, self.table.quota_revisions.get(route.name, ABSENT)

    def acceptance(
        self,
        job: NewJob,
        route: Route,
        quota_revision: int | None,
    ) -> Transaction:
        """Return the transaction that accepts a job."""
        job_id = job.record.job_id
        conditions = {f'{JOB_PREFIX}{job_id}': ABSENT}
        quota_key = f'{QUOTA_PREFIX}{route.name}'
        if quota_revision is not None:
            conditions[quota_key] = quota_revision
        state = JobState(self.owner_id, self.instance)
        puts = [
            Put(f'{JOB_PREFIX}{job_id}', job.record.pack()),
            Put(f'{STATE_PREFIX}{job_id}', state.pack()),
        ]
        if route.batch is not None and route.batch.max_waiting_tokens:
            puts.append(Put(quota_key, job_id.encode()))
        puts.extend(
            Put(body_key(job_id, part), body)
            for part, body in job.bodies.items()
        )
        return Transaction(conditions, tuple(puts))

    async def wait_for_news(self) -> None:
        """Wait until the followed records have moved on."""
        with anyio.move_on_after(VIEW_WAIT_S):
            await self.table.advanced.wait()

    async def find(self, job_id: str) -> Result[JobView | None, KvError]:
        """Return a job, reading it if it was not seen yet."""
        view = self.table.jobs.get(job_id)
        if view is not None and view.known:
            return Ok(view)
        job = await self.store.get(f'{JOB_PREFIX}{job_id}')
        if isinstance(job, Err):
            return job
        if job.ok_value is None:
            return Ok(None)
        state = await self.store.get(f'{STATE_PREFIX}{job_id}')
        if isinstance(state, Err):
            return state
        for record in (job.ok_value, state.ok_value):
            if record is not None:
                self.table.apply(record.key, record.revision, record.value)
        return Ok(self.table.view(job_id))

    async def end(self, job_id: str) -> Result[bool, KvError]:
        """End a job; False when there is no such job."""
        found = await self.find(job_id)
        if isinstance(found, Err):
            return found
        if found.ok_value is None:
            return Ok(False)
        if found.ok_value.ended:
            return Ok(True)
        key = f'{END_PREFIX}{job_id}'
        written = await self.store.transact(
            Transaction({}, (Put(key, b'1'),)),
        )
        if isinstance(written, Err):
            return written
        self.table.apply(key, written.ok_value, b'1')
        return Ok(True)

    async def list_results(
        self,
        job_id: str,
        outcomes: list[tuple[int, bool, bytes]],
        failures: dict[int, int],
    ) -> Result[None, KvError]:
        """Append results to a job that this entry owns."""
        view = self.table.view(job_id)
        state = view.state
        if state is None or state.owner_id != self.owner_id:
            return Err(KvError('conflict', 'another entry owns the job'))
        done = {one.item for one in state.listed}
        new = [row for row in outcomes if row[0] not in done]
        if not new:
            return Ok(None)
        key = f'{STATE_PREFIX}{job_id}'
        part_key = result_key(job_id, state.parts)
        after = state.with_results([row[:2] for row in new], failures)
        part = pack_outputs([(row[0], row[2]) for row in new])
        written = await self.store.transact(
            Transaction(
                {key: view.state_revision},
                (Put(key, after.pack()), Put(part_key, part)),
            ),
        )
        if isinstance(written, Ok):
            self.table.apply(key, written.ok_value, after.pack())
            self.cache.put(part_key, part)
            return Ok(None)
        await self.refresh_state(job_id)
        return written

    async def refresh_state(self, job_id: str) -> None:
        """Read the state of a job after a write that did not succeed."""
        key = f'{STATE_PREFIX}{job_id}'
        answer = await self.store.get(key)
        if isinstance(answer, Ok) and answer.ok_value is not None:
            record = answer.ok_value
            self.table.apply(key, record.revision, record.value)

    async def take_over(self, job_id: str) -> Result[None, KvError]:
        """Become the owner of a job whose owner is gone."""
        return await self.set_owner(job_id, self.owner_id, self.instance, None)

    async def hand_over(
        self,
        job_id: str,
        successor: Member,
        partials: list[PartialOutput],
    ) -> Result[None, KvError]:
        """Make another entry the owner, with what the runs produced."""
        return await self.set_owner(
            job_id,
            successor.owner_id,
            successor.instance,
            fitting(partials),
        )

    async def set_owner(
        self,
        job_id: str,
        owner_id: str,
        instance: str,
        partials: list[PartialOutput] | None,
    ) -> Result[None, KvError]:
        """Change the owner of a job."""
        view = self.table.view(job_id)
        if view.state is None:
            return Err(KvError('unavailable', 'state not seen'))
        state = replace(
            view.state,
            owner_id=owner_id,
            owner_instance=instance,
        )
        key = f'{STATE_PREFIX}{job_id}'
        puts = [Put(key, state.pack())]
        if partials:
            puts.append(
                Put(f'{PARTIAL_PREFIX}{job_id}', pack_partials(partials)),
            )
        written = await self.store.transact(
            Transaction({key: view.state_revision}, tuple(puts)),
        )
        if isinstance(written, Err):
            await self.refresh_state(job_id)
            return written
        self.table.apply(key, written.ok_value, state.pack())
        return Ok(None)

    async def save_partials(
        self,
        job_id: str,
        partials: list[PartialOutput],
    ) -> Result[None, KvError]:
        """Keep what the runs of a job produced, for the next owner."""
        view = self.table.view(job_id)
        key = f'{STATE_PREFIX}{job_id}'
        written = await self.store.transact(
            Transaction(
                {key: view.state_revision},
                (
                    Put(
                        f'{PARTIAL_PREFIX}{job_id}',
                        pack_partials(fitting(partials)),
                    ),
                ),
            ),
        )
        return written if isinstance(written, Err) else Ok(None)

    async def read_partials(self, job_id: str) -> list[PartialOutput]:
        """Return what earlier runs of a job produced."""
        answer = await self.store.get(f'{PARTIAL_PREFIX}{job_id}')
        if isinstance(answer, Err) or answer.ok_value is None:
            return []
        return unpack_partials(answer.ok_value.value)

    async def delete(self, job_id: str) -> None:
        """Delete everything about a job; what remains is deleted later."""
        view = self.table.view(job_id)
        parts = view.state.parts if view.state else 0
        bodies = 1
        if view.record is not None and view.record.items:
            bodies += view.record.items[-1].body_part
        keys = [result_key(job_id, part) for part in range(parts)]
        keys.extend(body_key(job_id, part) for part in range(bodies))
        keys.append(f'{PARTIAL_PREFIX}{job_id}')
        keys.append(f'{END_PREFIX}{job_id}')
        keys.append(f'{STATE_PREFIX}{job_id}')
        # The job's own key goes last: while it is there, all is tried again.
        keys.append(f'{JOB_PREFIX}{job_id}')
        for start in range(0, len(keys), MAX_DELETES):
            batch = tuple(keys[start : start + MAX_DELETES])
            deleted = await self.store.transact(Transaction(deletes=batch))
            if isinstance(deleted, Err):
                return

    async def read_part(self, key: str) -> Result[bytes, KvError]:
        """Return a value that never changes once it is written."""
        known = self.cache.get(key)
        if known is not None:
            return Ok(known)
        for stale in (True, False):
            answer = await self.store.get(key, stale=stale)
            if isinstance(answer, Err):
                return answer
            if answer.ok_value is not None:
                self.cache.put(key, answer.ok_value.value)
                return Ok(answer.ok_value.value)
        return Err(KvError('unknown', f'{key} is missing'))

    async def read_body_part(
        self,
        job_id: str,
        part: int,
    ) -> Result[bytes, KvError]:
        """Return one part of a job's bodies."""
        return await self.read_part(body_key(job_id, part))

    async def read_outputs(
        self,
        job_id: str,
        part: int,
    ) -> Result[dict[int, bytes], KvError]:
        """Return the outputs of one part of a job's results."""
        answer = await self.read_part(result_key(job_id, part))
        if isinstance(answer, Err):
            return answer
        return Ok(unpack_outputs(answer.ok_value))
