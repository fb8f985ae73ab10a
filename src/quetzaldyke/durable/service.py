"""What callers can do with files and jobs, for one entry.

Every call goes to the key-value service and gives the same answer at each
entry. A refusal says whether the call may have taken effect.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable, Mapping
from dataclasses import dataclass, field
from functools import partial
from typing import BinaryIO, Final, Protocol

from result import Err, Ok, Result

from quetzaldyke.durable import active, errors, files, jobs, keys, output
from quetzaldyke.durable.cancel import StopEverywhere, advance_cancel
from quetzaldyke.durable.deadlines import resolve_deadline
from quetzaldyke.durable.errors import JobError
from quetzaldyke.durable.jobs import NewJob
from quetzaldyke.durable.records import (
    ActiveJob,
    Deadline,
    FileRecord,
    JobRecord,
    unpack,
)
from quetzaldyke.parts.hlc import wall_clock_ms
from quetzaldyke.parts.kv import Envelope, KeyValueStore
from quetzaldyke.version.configuration import Configuration

ENDPOINTS: Final = ('/v1/chat/completions', '/v1/completions')
DEFAULT_WINDOW: Final = '24h'
DEFAULT_WINDOW_MS: Final = 86_400_000
MAX_BODY_BYTES: Final = 1_048_576
TOO_MANY: Final = 429
QUEUE_RETRY_S: Final = 60


class ConfigurationHolder(Protocol):
    """Gives the configuration that is in force."""

    @property
    def current(self) -> Configuration:
        """Return the configuration."""


@dataclass(frozen=True, slots=True)
class JobRequest:
    """A request for a job as the caller sent it."""

    organisation: str
    file_id: str
    endpoint: str
    idempotency_key: str = ''
    deadline_local: str = ''
    deadline_zone: str = ''
    metadata: dict[str, str] = field(default_factory=dict)

    @property
    def allow_duplicate(self) -> bool:
        """Tell whether the caller wants the same contents to run again."""
        return self.metadata.get('allow_duplicate') == 'true'


@dataclass(frozen=True, slots=True)
class JobStatus:
    """A job's record with its latest figures."""

    job: JobRecord
    figures: ActiveJob | None
    now_ms: int

    @property
    def late(self) -> bool:
        """Tell whether the job is, or was, finished past its deadline."""
        end_ms = self.job.finished_ms or self.now_ms
        return end_ms > self.job.deadline.instant_ms


StatusResult = Result[JobStatus, JobError]


def not_offered(_job: JobRecord) -> None:
    """Leave the offer to the next round of the list's coordinator."""


async def never_stopped(_job: JobRecord) -> bool:
    """Leave the cancel to the coordinator of the job's list."""
    return False


@dataclass(slots=True)
class JobService:
    """Batch interface of one entry."""

    store: KeyValueStore
    holder: ConfigurationHolder
    max_body_bytes: int = MAX_BODY_BYTES
    now_ms: Callable[[], int] = wall_clock_ms
    stop_everywhere: StopEverywhere = never_stopped
    # Called for each accepted job, so that its items start at once.
    on_accepted: Callable[[JobRecord], None] = not_offered

    async def store_file(
        self,
        organisation: str,
        filename: str,
        source: BinaryIO,
        size_bytes: int,
    ) -> Result[FileRecord, JobError]:
        """Check and store an uploaded file of batch items."""
        scanned = await files.scan_file(source, self.max_body_bytes)
        if isinstance(scanned, Err):
            return scanned
        begun = files.begin_upload(
            organisation,
            filename,
            size_bytes,
            self.now_ms(),
            scanned.ok_value,
        )
        return await files.store_upload(self.store, begun, source)

    async def file(
        self,
        organisation: str,
        file_id: str,
    ) -> Result[FileRecord, JobError]:
        """Return an uploaded file's record."""
        return await files.read_file(self.store, organisation, file_id)

    async def create_job(self, request: JobRequest) -> StatusResult:
        """Accept a job; a resend gets the job of the first request."""
        found = await self.file(request.organisation, request.file_id)
        if isinstance(found, Err):
            return found
        checked = self.check_request(request, found.ok_value)
        if isinstance(checked, Err):
            return checked
        new = checked.ok_value
        accepted = await jobs.accept_job(
            self.store,
            new,
            partial(self.check_room, new),
            self.now_ms(),
        )
        if isinstance(accepted, Ok):
            self.on_accepted(accepted.ok_value)
        return accepted.map(lambda job: JobStatus(job, None, self.now_ms()))

    def check_request(
        self,
        request: JobRequest,
        file: FileRecord,
    ) -> Result[NewJob, JobError]:
        """Validate a request for a job."""
        deadline = self.deadline_of(request)
        if isinstance(deadline, Err):
            return refused('invalid_deadline', deadline.err_value)
        problem = problem_of(request, file, self.holder.current)
        if problem:
            return refused('invalid_job', problem)
        given = deadline.ok_value
        text = f'{given.local} {given.zone}' if given.local else DEFAULT_WINDOW
        return Ok(
            NewJob(
                request.organisation,
                file,
                request.endpoint,
                file.models[0],
                given,
                text,
                request.idempotency_key,
                request.metadata,
                request.allow_duplicate,
            ),
        )

    def deadline_of(self, request: JobRequest) -> Result[Deadline, str]:
        """Return the deadline; 24 hours from now when none is given."""
        if not request.deadline_local:
            return Ok(Deadline('', '', self.now_ms() + DEFAULT_WINDOW_MS))
        return resolve_deadline(request.deadline_local, request.deadline_zone)

    async def check_room(self, new: NewJob) -> Result[None, JobError]:
        """Refuse a new job over the organisation's limit of queued items."""
        limits = self.holder.current.organisations.get(new.organisation)
        if limits is None:
            return Ok(None)
        queued = sum(segment.items for segment in new.file.segments)
        for number in range(keys.ACTIVE_LIST_COUNT):
            listed = await active.read_active(self.store, number)
            if isinstance(listed, Err):
                return Err(errors.store_error(listed.err_value))
            queued += queued_items(listed.ok_value, new)
        if queued <= limits.queued_items:
            return Ok(None)
        return Err(
            JobError(
                TOO_MANY,
                'too_many_items',
                'the organisation has too many queued items',
                retry_after_s=QUEUE_RETRY_S,
            ),
        )

    async def job(
        self,
        organisation: str,
        job_id: str,
    ) -> Result[JobRecord, JobError]:
        """Return a job's record."""
        found = await jobs.read_job(self.store, organisation, job_id)
        if isinstance(found, Err):
            return Err(errors.store_error(found.err_value))
        if found.ok_value is None:
            return Err(errors.not_found('job'))
        if found.ok_value.state == 'expired':
            return Err(errors.expired('job'))
        return Ok(found.ok_value)

    async def status(self, organisation: str, job_id: str) -> StatusResult:
        """Return a job's state, counts, estimate and risk."""
        found = await self.job(organisation, job_id)
        if isinstance(found, Err):
            return found
        number = keys.active_list_of(job_id)
        listed = await active.read_active(self.store, number)
        if isinstance(listed, Err):
            return Err(errors.store_error(listed.err_value))
        figures = next(
            (one for one in listed.ok_value if one.job_id == job_id),
            None,
        )
        return Ok(JobStatus(found.ok_value, figures, self.now_ms()))

    async def list_jobs(
        self,
        organisation: str,
        limit: int,
    ) -> Result[list[JobStatus], JobError]:
        """Return the newest jobs of an organisation."""
        listed = await self.store.list_prefix(keys.job_key(organisation, ''))
        if isinstance(listed, Err):
            return Err(errors.store_error(listed.err_value))
        found = [
            unpack(JobRecord, Envelope.unpack(record.value).payload)
            for record in listed.ok_value
        ]
        present = [job for job in found if job.state != 'expired']
        present.sort(key=lambda job: job.created_ms, reverse=True)
        now_ms = self.now_ms()
        return Ok([JobStatus(job, None, now_ms) for job in present[:limit]])

    async def cancel(self, organisation: str, job_id: str) -> StatusResult:
        """Cancel a job and report how far the cancel is.

        The coordinator of the job's list completes what is not complete
        when this call returns.
        """
        begun = await jobs.begin_cancel(
            self.store,
            organisation,
            job_id,
            self.now_ms(),
        )
        if isinstance(begun, Err):
            return begun
        job = begun.ok_value
        if job.state == 'expired':
            return Err(errors.expired('job'))
        if job.state == 'cancelling':
            driven = await advance_cancel(
                self.store,
                job,
                self.stop_everywhere,
                self.now_ms,
            )
            # The cancel is durable; the job's state says how far it is.
            job = driven.unwrap_or(job)
        return Ok(JobStatus(job, None, self.now_ms()))

    async def results(
        self,
        organisation: str,
        job_id: str,
        failed: bool = False,
    ) -> Result[AsyncIterator[bytes], JobError]:
        """Return the recorded results as lines, or the failed items."""
        found = await self.job(organisation, job_id)
        return found.map(
            lambda job: output.result_lines(self.store, job, failed),
        )

    async def file_lines(
        self,
        organisation: str,
        file_id: str,
    ) -> Result[AsyncIterator[bytes], JobError]:
        """Return the items of an uploaded file as lines."""
        found = await self.file(organisation, file_id)
        return found.map(lambda record: output.item_lines(self.store, record))


def refused(code: str, message: str) -> Err[JobError]:
    """Return the refusal of an invalid request."""
    return Err(JobError(errors.BAD_REQUEST, code, message))


def queued_items(listed: list[ActiveJob], new: NewJob) -> int:
    """Return the unfinished items of the organisation's other jobs."""
    return sum(
        max(0, row.items - row.finished)
        for row in listed
        if row.organisation == new.organisation and row.job_id != new.job_id
    )


def problem_of(
    request: JobRequest,
    file: FileRecord,
    configuration: Configuration,
) -> str:
    """Return why a job can't be accepted; empty when it can."""
    if request.endpoint not in ENDPOINTS:
        return f'endpoint must be one of {", ".join(ENDPOINTS)}'
    if file.endpoints != [request.endpoint]:
        return f'the items are for {", ".join(file.endpoints)}'
    if len(file.models) != 1:
        return 'all items of a job must name the same model'
    return pool_problem(file.models[0], configuration.pools) or (
        duplicate_problem(request)
    )


def pool_problem(model: str, pools: Mapping[str, object]) -> str:
    """Return why a model can't run a job."""
    return '' if model in pools else f'unknown model {model!r}'


def duplicate_problem(request: JobRequest) -> str:
    """Return why a duplicate can't be asked for.

    Without a key a resend of the request could not be told from a wish for
    one more job.
    """
    if request.allow_duplicate and not request.idempotency_key:
        return 'allow_duplicate needs an Idempotency-Key'
    return ''
