"""Acceptance of jobs: exactly one job for a request and all its resends.

The steps are: pin the file, settle which job has these contents, write the
job, list it as active. Each step can be repeated, so a resend after any
lost answer completes what is missing and returns the same job.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace

from result import Err, Ok, Result

from quetzaldyke.durable import errors, files, keys
from quetzaldyke.durable.active import add_active
from quetzaldyke.durable.change import Edit, change_record
from quetzaldyke.durable.errors import JobError
from quetzaldyke.durable.records import (
    FINAL_STATES,
    ActiveJob,
    Deadline,
    FileRecord,
    JobRecord,
    unpack,
)
from quetzaldyke.parts.kv import (
    KeyValueStore,
    KvError,
    Refused,
    read,
    swap,
)

JobResult = Result[JobRecord, JobError]
Admit = Callable[[], Awaitable[Result[None, JobError]]]


@dataclass(frozen=True, slots=True)
class NewJob:
    """A checked request for a job."""

    organisation: str
    file: FileRecord
    endpoint: str
    pool: str
    deadline: Deadline
    # Text that enters the contents hash; equal for a resend.
    deadline_text: str
    idempotency_key: str = ''
    metadata: dict[str, str] = field(default_factory=dict)
    allow_duplicate: bool = False

    @property
    def contents(self) -> str:
        """Return the hash of what the job is to do."""
        return keys.contents_hash(
            self.organisation,
            self.file.input_digest,
            self.endpoint,
            self.deadline_text,
        )

    @property
    def job_id(self) -> str:
        """Return the id that this request gives its job."""
        return keys.job_id_of(
            self.organisation,
            self.idempotency_key,
            self.contents,
        )


async def read_job(
    store: KeyValueStore,
    organisation: str,
    job_id: str,
) -> Result[JobRecord | None, KvError]:
    """Return a job's record."""
    stored = await read(store, keys.job_key(organisation, job_id))
    return stored.map(
        lambda one: unpack(JobRecord, one.payload) if one.payload else None,
    )


async def change_job(
    store: KeyValueStore,
    organisation: str,
    job_id: str,
    edit: Edit[JobRecord],
) -> Result[JobRecord, KvError | Refused[str]]:
    """Replace a job's record."""
    key = keys.job_key(organisation, job_id)
    return await change_record(store, key, JobRecord, edit)


async def accept_job(
    store: KeyValueStore,
    new: NewJob,
    admit: Admit,
    now_ms: int,
) -> JobResult:
    """Accept a job, or return the job that an earlier request made.

    `admit` may refuse a job that does not exist yet.
    """
    known = await read_job(store, new.organisation, new.job_id)
    if isinstance(known, Err):
        return Err(errors.store_error(known.err_value))
    job = known.ok_value
    if job is not None and (job.keyed or not job.purged):
        return await accept_again(store, new, job)
    proposed = new.job_id
    if job is not None:
        # The id stays with the expired job: processes remember the ids of
        # cancelled jobs and would refuse a later job of the same id.
        proposed = keys.later_job_id(job.job_id, now_ms)
    job_id = await settle_contents(store, new, proposed, admit)
    if isinstance(job_id, Err):
        return job_id
    return await write_job(store, new, job_id.ok_value, now_ms)


async def accept_again(
    store: KeyValueStore,
    new: NewJob,
    known: JobRecord,
) -> JobResult:
    """Answer a resend from the record of the first request."""
    if known.contents != new.contents:
        return Err(
            JobError(
                errors.CONFLICT,
                'idempotency_key_reused',
                'the idempotency key was used for a job of other contents',
            ),
        )
    if known.state != 'expired':
        return await list_job(store, known)
    return Err(
        JobError(
            errors.CONFLICT,
            'expired',
            'the job was deleted after its retention time',
        ),
    )


async def settle_contents(
    store: KeyValueStore,
    new: NewJob,
    proposed: str,
    admit: Admit,
) -> Result[str, JobError]:
    """Return the id of the one job that these contents have.

    The first request writes its job's id; later ones with another key read
    it. A job that was meant to be a duplicate does not take part.
    """
    key = keys.contents_key(new.organisation, new.contents)
    found = await read(store, key)
    if isinstance(found, Err):
        return Err(errors.store_error(found.err_value))
    if found.ok_value.payload and not new.allow_duplicate:
        return Ok(found.ok_value.payload.decode())
    admitted = await admit()
    if isinstance(admitted, Err):
        return admitted
    if new.allow_duplicate:
        return Ok(proposed)

    def change(payload: bytes) -> bytes | Refused[str]:
        return Refused(payload.decode()) if payload else proposed.encode()

    written = await swap(store, key, change)
    if isinstance(written, Ok):
        return Ok(proposed)
    if isinstance(written.err_value, Refused):
        return Ok(written.err_value.reason)
    return Err(errors.store_error(written.err_value))


async def write_job(
    store: KeyValueStore,
    new: NewJob,
    job_id: str,
    now_ms: int,
) -> JobResult:
    """Write the job's record unless it is there, then list it."""
    pinned = await files.pin_file(
        store,
        new.organisation,
        new.file.file_id,
        job_id,
        now_ms,
    )
    if isinstance(pinned, Err):
        return Err(replace(pinned.err_value, ran='unknown'))
    record = record_of(new, pinned.ok_value, job_id, now_ms)

    def create(known: JobRecord | None) -> JobRecord | Refused[str]:
        return record if known is None else known

    written = await change_job(store, new.organisation, job_id, create)
    if isinstance(written, Err):
        return Err(files.store_failure(written.err_value, wrote=True))
    if written.ok_value.state == 'expired':
        return Err(errors.expired('job'))
    return await list_job(store, written.ok_value)


def record_of(
    new: NewJob,
    pinned: FileRecord,
    job_id: str,
    now_ms: int,
) -> JobRecord:
    """Return the first record of a job."""
    return JobRecord(
        job_id,
        new.organisation,
        'in_progress',
        new.endpoint,
        new.pool,
        pinned.file_id,
        new.contents,
        new.deadline,
        now_ms,
        new.metadata,
        pinned.segments,
        keyed=bool(new.idempotency_key),
    )


async def list_job(store: KeyValueStore, job: JobRecord) -> JobResult:
    """Put an accepted job on its active list; this completes acceptance."""
    if job.state in FINAL_STATES:
        return Ok(job)
    row = ActiveJob(
        job.organisation,
        job.job_id,
        job.deadline.instant_ms,
        items=job.total,
    )
    listed = await add_active(store, row)
    if isinstance(listed, Err):
        return Err(errors.store_error(listed.err_value, wrote=True))
    return Ok(job)


async def begin_cancel(
    store: KeyValueStore,
    organisation: str,
    job_id: str,
    now_ms: int,
) -> JobResult:
    """Set a job to `cancelling`; a finished job is returned as it is."""

    def edit(known: JobRecord | None) -> JobRecord | Refused[str]:
        if known is None:
            return Refused('unknown')
        if known.state != 'in_progress':
            return known
        return replace(known, state='cancelling', cancelling_ms=now_ms)

    changed = await change_job(store, organisation, job_id, edit)
    if isinstance(changed, Ok):
        # A half-written acceptance is listed, so that the cancel is resumed
        # by another entry when this one dies.
        return await list_job(store, changed.ok_value)
    if isinstance(changed.err_value, Refused):
        return Err(errors.not_found('job'))
    return Err(errors.store_error(changed.err_value))


async def finish_job(
    store: KeyValueStore,
    job: JobRecord,
    final: JobRecord,
) -> Result[JobRecord, KvError | Refused[str]]:
    """Set a final state if the job is still in the state it was read in."""

    def edit(known: JobRecord | None) -> JobRecord | Refused[str]:
        if known is None:
            return Refused('unknown')
        if known.state == final.state:
            return known
        return final if known.state == job.state else Refused(known.state)

    return await change_job(store, job.organisation, job.job_id, edit)
