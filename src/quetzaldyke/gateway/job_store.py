"""Writes and reads batch jobs in the store.

Accepting a job, appending results and ending a job take one transaction each.
After an acceptance, an append or a change of owner whose answer was lost, the
record is read back, because the write may have been applied.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Final, Literal

from result import Err, Ok, Result

from quetzaldyke.gateway.job_acceptance import (
    acceptance_transaction,
    check_quota,
    excess_of,
    is_recent,
    note_order,
)
from quetzaldyke.gateway.job_parts import (
    Outcome,
    PartSizes,
    deletions,
    leading_outcomes,
    read_item_body,
    trim_partials,
)
from quetzaldyke.gateway.job_records import (
    END_PREFIX,
    JOB_PREFIX,
    PARTIAL_PREFIX,
    STATE_PREFIX,
    ItemRecord,
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
from quetzaldyke.gateway.new_job import NewJob
from quetzaldyke.gateway.part_cache import PartCache, read_part
from quetzaldyke.parts.kv import ErrorKind, KvError
from quetzaldyke.parts.transactions import (
    DEFAULT_LIMITS,
    Put,
    Transaction,
    TransactionalStore,
    TransactionLimits,
)

MAX_ACCEPT_ATTEMPTS: Final = 6
# Kinds of errors after which a write was certainly not applied.
NOT_APPLIED_ERRORS: Final = frozenset(('unavailable', 'conflict', 'too_large'))

AcceptFailure = Literal['over_quota', 'too_large', 'unavailable', 'unknown']


@dataclass(slots=True)
class JobStore:
    """Writes and reads jobs in the store for one entry."""

    store: TransactionalStore
    table: JobTable
    owner_id: str
    instance: str
    cache: PartCache = field(default_factory=PartCache)
    limits: TransactionLimits = DEFAULT_LIMITS
    now: Callable[[], float] = time.monotonic

    @property
    def sizes(self) -> PartSizes:
        """Return the sizes of the parts in which bodies and outputs are kept."""
        return PartSizes(self.limits.value_bytes)

    @property
    def new_state(self) -> JobState:
        """Return the state of a job that this entry has just accepted."""
        return JobState(self.owner_id, self.instance)

    async def accept(
        self,
        job: NewJob,
        route: Route,
    ) -> Result[None, AcceptFailure]:
        """Accept a job; a job that is already accepted is not written again.

        Fails with `unknown` if the job may have been accepted, and with
        another error only if it was certainly not; `too_large` is for ever.
        """
        if excess_of(job, route, self.new_state, self.limits):
            return Err('too_large')
        return await self.write_job(job, route)

    async def write_job(
        self, job: NewJob, route: Route
    ) -> Result[None, AcceptFailure]:
        """Write a job that the store can keep; errors as in `accept`."""
        uncertain = False
        for _ in range(MAX_ACCEPT_ATTEMPTS):
            if self.table.is_known(job.record.job_id):
                return Ok(None)
            quota = check_quota(self.table, job, route, self.now())
            if not quota.fits:
                return await self.refuse_over_quota(job, uncertain=uncertain)
            state = self.new_state
            written = await self.store.transact(
                acceptance_transaction(job, route, state, quota),
            )
            if isinstance(written, Ok):
                self.table.note_accepted(job.record, state, written.ok_value)
                note_order(self.table, job, route, quota, written.ok_value)
                return Ok(None)
            kind = written.err_value.kind
            uncertain |= kind not in NOT_APPLIED_ERRORS
            if kind == 'unavailable' and not uncertain:
                return Err('unavailable')
            if await self.was_accepted(job.record.job_id, kind):
                return Ok(None)
        return Err('unknown' if uncertain else 'unavailable')

    async def refuse_over_quota(
        self, job: NewJob, *, uncertain: bool
    ) -> Result[None, AcceptFailure]:
        """Refuse a job over its quota, unless it was accepted.

        The table may lack that if it is old, or if a write was `uncertain`.
        """
        if not uncertain and is_recent(self.table, self.now()):
            return Err('over_quota')
        found = await self.find(job.record.job_id)
        if isinstance(found, Ok) and found.ok_value is not None:
            return Ok(None)
        if uncertain:
            return Err('unknown')
        return Err('unavailable' if isinstance(found, Err) else 'over_quota')

    async def was_accepted(self, job_id: str, kind: ErrorKind) -> bool:
        """Return whether a job is in the store although its write failed."""
        settled = await self.find(job_id)
        if isinstance(settled, Err):
            return False
        if settled.ok_value is not None:
            return True
        if kind == 'conflict':
            # Another acceptance changed the quota key; the retry needs the
            # new revision.
            await self.table.wait_for_update()
        return False

    async def find(self, job_id: str) -> Result[JobView | None, KvError]:
        """Return a job, or None when there is no such job.

        Reads the store if the watch has not delivered the job yet.
        """
        view = self.table.jobs.get(job_id)
        if view is not None and view.known:
            return Ok(view)
        job = await self.store.get(f'{JOB_PREFIX}{job_id}')
        if isinstance(job, Err):
            return job
        if job.ok_value is None:
            return Ok(None)
        state = await self.read_state(job_id)
        if isinstance(state, Err):
            return state
        self.table.apply_record(job.ok_value)
        view = self.table.view(job_id)
        if view.record is None:
            return Err(KvError('unknown', 'the record can not be read'))
        return Ok(view)

    async def read_state(self, job_id: str) -> Result[None, KvError]:
        """Read the state of a job; drop a known job that was deleted.

        Fails with `unknown` if the state can't be decoded.
        """
        answer = await self.store.get(f'{STATE_PREFIX}{job_id}')
        if isinstance(answer, Err):
            return answer
        record = answer.ok_value
        if record is None:
            self.table.apply(f'{JOB_PREFIX}{job_id}', 0, None)
        else:
            self.table.apply_record(record)
            if self.table.view(job_id).state_revision < record.revision:
                return Err(KvError('unknown', 'the state can not be read'))
        return Ok(None)

    async def end(self, job_id: str) -> Result[bool, KvError]:
        """Mark a job as ended; False when there is no such job."""
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

    async def append_results(
        self,
        job_id: str,
        outcomes: list[Outcome],
        failures: dict[int, int],
    ) -> Result[int, KvError]:
        """Append the first results of some to a job that this entry owns.

        Returns how many of them the job now has: as many as fit into one value,
        none only if none are given, to write failed runs. Fails with `conflict`
        if another entry owns the job or its state has changed, and with
        `too_large` if the store refuses even the first for its size.
        """
        leading = leading_outcomes(outcomes, self.sizes.part_bytes)
        while True:
            written = await self.append_part(job_id, leading, failures)
            if isinstance(written, Ok):
                return Ok(len(leading))
            refused = written.err_value.kind == 'too_large'
            if not refused or len(leading) <= 1:
                return written
            leading = leading[: len(leading) // 2]

    async def append_part(
        self,
        job_id: str,
        outcomes: list[Outcome],
        failures: dict[int, int],
    ) -> Result[None, KvError]:
        """Append results as one part, without items that have a result."""
        view = self.table.view(job_id)
        state = view.state
        if state is None or state.owner_id != self.owner_id:
            return Err(KvError('conflict', 'another entry owns the job'))
        done = {result.item for result in state.results}
        new = [row for row in outcomes if row[0] not in done]
        key = f'{STATE_PREFIX}{job_id}'
        part_key = result_key(job_id, state.part_count)
        updated = state.with_results([row[:2] for row in new], failures)
        if updated == state:
            return Ok(None)
        part = pack_outputs([(row[0], row[2]) for row in new])
        outputs = (Put(part_key, part),) if new else ()
        written = await self.store.transact(
            Transaction(
                {key: view.state_revision},
                (Put(key, updated.pack()), *outputs),
            ),
        )
        if isinstance(written, Ok):
            self.table.apply(key, written.ok_value, updated.pack())
            if new:
                self.cache.put(part_key, part)
            return Ok(None)
        await self.read_state(job_id)
        return written

    async def take_over(self, job_id: str) -> Result[None, KvError]:
        """Make this entry the owner of a job whose owner is lost."""
        return await self.set_owner(job_id, self.owner_id, self.instance, None)

    async def hand_over(
        self,
        job_id: str,
        successor: Member,
        partials: list[PartialOutput],
    ) -> Result[None, KvError]:
        """Make another entry the owner and save the partial outputs for it."""
        return await self.set_owner(
            job_id,
            successor.owner_id,
            successor.instance,
            trim_partials(partials, self.sizes.part_bytes),
        )

    async def set_owner(
        self,
        job_id: str,
        owner_id: str,
        instance: str,
        partials: list[PartialOutput] | None,
    ) -> Result[None, KvError]:
        """Change the owner of a job, if its state has not changed meanwhile.

        Fails with `unavailable` if the state of the job is not known.
        """
        view = self.table.view(job_id)
        if view.state is None:
            return Err(
                KvError('unavailable', 'the state of the job is not known')
            )
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
            await self.read_state(job_id)
            return written
        self.table.apply(key, written.ok_value, state.pack())
        return Ok(None)

    async def save_partials(
        self,
        job_id: str,
        partials: list[PartialOutput],
    ) -> Result[None, KvError]:
        """Save the partial outputs of a job for its next owner.

        Fails with `conflict` if the state of the job has changed meanwhile.
        """
        view = self.table.view(job_id)
        key = f'{STATE_PREFIX}{job_id}'
        kept = trim_partials(partials, self.sizes.part_bytes)
        written = await self.store.transact(
            Transaction(
                {key: view.state_revision},
                (Put(f'{PARTIAL_PREFIX}{job_id}', pack_partials(kept)),),
            ),
        )
        return written if isinstance(written, Err) else Ok(None)

    async def read_partials(self, job_id: str) -> list[PartialOutput]:
        """Return the saved partial outputs; none if they can't be read."""
        answer = await self.store.get(f'{PARTIAL_PREFIX}{job_id}')
        if isinstance(answer, Err) or answer.ok_value is None:
            return []
        return unpack_partials(answer.ok_value.value)

    async def delete(self, job_id: str) -> None:
        """Delete all records of a job.

        Stops at the first error; another call deletes the remaining ones.
        """
        view = self.table.view(job_id)
        parts = view.state.part_count if view.state else 0
        bodies = view.record.body_parts if view.record else 1
        for keys in deletions(job_id, parts, bodies):
            deleted = await self.store.transact(Transaction(deletes=keys))
            if isinstance(deleted, Err):
                return

    async def read_body_part(
        self,
        job_id: str,
        part: int,
    ) -> Result[bytes, KvError]:
        """Return one part of a job's bodies; errors as in `read_part`."""
        return await read_part(self.store, self.cache, body_key(job_id, part))

    async def read_body(
        self, job_id: str, item: ItemRecord
    ) -> Result[bytes, KvError]:
        """Return the body of an item; errors as in `read_part`."""
        return await read_item_body(
            item, lambda part: self.read_body_part(job_id, part)
        )

    async def read_outputs(
        self,
        job_id: str,
        part: int,
    ) -> Result[dict[int, bytes], KvError]:
        """Return the outputs in one part of a job's results, by item."""
        key = result_key(job_id, part)
        answer = await read_part(self.store, self.cache, key)
        if isinstance(answer, Err):
            return answer
        return Ok(unpack_outputs(answer.ok_value))
