"""Creates jobs, exactly one for a request and all its retries.

The steps are: resolve which job has these contents, pin the file, write the
job's record, add the job to its active list. Each step is idempotent, so a
retry after a lost answer completes the missing steps and returns the same
job.
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
AdmissionCheck = Callable[[], Awaitable[Result[None, JobError]]]


@dataclass(frozen=True, slots=True)
class NewJob:
    """A validated request for a job."""

    organisation: str
    file: FileRecord
    endpoint: str
    pool: str
    deadline: Deadline
    # Part of the contents hash. It is the deadline as given, because the
    # instant of a default deadline differs between a request and its retry.
    deadline_text: str
    idempotency_key: str = ''
    metadata: dict[str, str] = field(default_factory=dict)
    allow_duplicate: bool = False

    @property
    def contents(self) -> str:
        """Return the hash of the job's input, endpoint and deadline."""
        return keys.contents_hash(
            self.organisation,
            self.file.input_digest,
            self.endpoint,
            self.deadline_text,
        )

    @property
    def job_id(self) -> str:
        """Return the id that is derived from this request."""
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
    """Return a job's record, or None when there is none."""
    stored = await read(store, keys.job_key(organisation, job_id))
    return stored.map(
        lambda value: (
            unpack(JobRecord, value.payload) if value.payload else None
        ),
    )


async def change_job(
    store: KeyValueStore,
    organisation: str,
    job_id: str,
    edit: Edit[JobRecord],
) -> Result[JobRecord, KvError | Refused[str]]:
    """Replace a job's record by what `edit` returns; see `change_record`."""
    key = keys.job_key(organisation, job_id)
    return await change_record(store, key, JobRecord, edit)


async def accept_job(
    store: KeyValueStore,
    new: NewJob,
    check_admission: AdmissionCheck,
    now_ms: int,
) -> JobResult:
    """Create a job, or return the job that an earlier request created.

    `check_admission` can reject a job that does not exist yet. Fails also
    for a reused idempotency key, an expired file and store errors.
    """
    found = await read_job(store, new.organisation, new.job_id)
    if isinstance(found, Err):
        return Err(errors.store_error(found.err_value))
    job = found.ok_value
    if job is not None and (job.has_idempotency_key or not job.purged):
        return await accept_retry(store, new, job)
    proposed = new.job_id
    if job is not None:
        # The id of the expired job is not used again: processes remember the
        # ids of cancelled jobs and would reject a new job with such an id.
        proposed = keys.replacement_job_id(job.job_id, now_ms)
    job_id = await resolve_job_id(store, new, proposed, check_admission)
    if isinstance(job_id, Err):
        return job_id
    return await write_job(store, new, job_id.ok_value, now_ms)


async def accept_retry(
    store: KeyValueStore,
    new: NewJob,
    current: JobRecord,
) -> JobResult:
    """Return the job of the first request to a retry of it.

    Fails when the key was used with other contents and when the job expired.
    """
    if current.contents != new.contents:
        return Err(
            JobError(
                errors.CONFLICT,
                'idempotency_key_reused',
                'the idempotency key was used for a job with other contents',
            ),
        )
    if current.state != 'expired':
        return await add_to_active_list(store, current)
    return Err(
        JobError(
            errors.CONFLICT,
            'expired',
            'the job was deleted after its retention time',
        ),
    )


async def resolve_job_id(
    store: KeyValueStore,
    new: NewJob,
    proposed: str,
    check_admission: AdmissionCheck,
) -> Result[str, JobError]:
    """Return the id of the job that runs these contents.

    The first request stores its job's id under the hash of the contents, and
    later requests with another idempotency key get that id. A request that
    allows a duplicate neither uses nor changes the stored id.
    """
    key = keys.contents_key(new.organisation, new.contents)
    found = await read(store, key)
    if isinstance(found, Err):
        return Err(errors.store_error(found.err_value))
    if found.ok_value.payload and not new.allow_duplicate:
        return Ok(found.ok_value.payload.decode())
    admitted = await check_admission()
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
    """Write the job's record if it is absent, then list it as active."""
    pinned = await files.pin_file(
        store,
        new.organisation,
        new.file.file_id,
        job_id,
        now_ms,
    )
    if isinstance(pinned, Err):
        return Err(replace(pinned.err_value, ran='unknown'))
    record = initial_record(new, pinned.ok_value, job_id, now_ms)

    def create(current: JobRecord | None) -> JobRecord | Refused[str]:
        return record if current is None else current

    written = await change_job(store, new.organisation, job_id, create)
    if isinstance(written, Err):
        return Err(files.change_error(written.err_value, wrote=True))
    if written.ok_value.state == 'expired':
        return Err(errors.expired('job'))
    return await add_to_active_list(store, written.ok_value)


def initial_record(
    new: NewJob,
    pinned: FileRecord,
    job_id: str,
    now_ms: int,
) -> JobRecord:
    """Return the record of a new job."""
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
        has_idempotency_key=bool(new.idempotency_key),
    )


async def add_to_active_list(store: KeyValueStore, job: JobRecord) -> JobResult:
    """Add a job to its active list, the last step of acceptance.

    A job in a final state is returned without a change.
    """
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
    """Set a running job to `cancelling`; return any other job unchanged."""

    def edit(current: JobRecord | None) -> JobRecord | Refused[str]:
        if current is None:
            return Refused('unknown')
        if current.state != 'in_progress':
            return current
        return replace(current, state='cancelling', cancelling_ms=now_ms)

    changed = await change_job(store, organisation, job_id, edit)
    if isinstance(changed, Ok):
        # A job whose acceptance was interrupted is not listed yet. Only a
        # listed job has its cancel resumed when this entry crashes.
        return await add_to_active_list(store, changed.ok_value)
    if isinstance(changed.err_value, Refused):
        return Err(errors.not_found('job'))
    return Err(errors.store_error(changed.err_value))


async def finish_job(
    store: KeyValueStore,
    job: JobRecord,
    final: JobRecord,
) -> Result[JobRecord, KvError | Refused[str]]:
    """Write the final record unless the job's state has changed.

    Succeeds when the job has the final state already, and is refused with
    the current state when it has any other.
    """

    def edit(current: JobRecord | None) -> JobRecord | Refused[str]:
        if current is None:
            return Refused('unknown')
        if current.state == final.state:
            return current
        return final if current.state == job.state else Refused(current.state)

    return await change_job(store, job.organisation, job.job_id, edit)
