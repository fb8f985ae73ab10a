"""Batch API operations of an entry on files and jobs.

All state is in the key-value service, so every entry returns the same result
for a call. An error says whether the operation may have taken effect.
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

SUPPORTED_ENDPOINTS: Final = ('/v1/chat/completions', '/v1/completions')
DEFAULT_DEADLINE_TEXT: Final = '24h'
DEFAULT_WINDOW_MS: Final = 86_400_000
MAX_BODY_BYTES: Final = 1_048_576
TOO_MANY_REQUESTS: Final = 429
QUEUE_FULL_RETRY_AFTER_S: Final = 60


class ConfigurationHolder(Protocol):
    """Provides the current configuration."""

    @property
    def current(self) -> Configuration:
        """Return the configuration that is in force."""


@dataclass(frozen=True, slots=True)
class JobRequest:
    """A job request as the caller sent it, not validated."""

    organisation: str
    file_id: str
    endpoint: str
    idempotency_key: str = ''
    deadline_local: str = ''
    deadline_zone: str = ''
    metadata: dict[str, str] = field(default_factory=dict)

    @property
    def allow_duplicate(self) -> bool:
        """Tell whether the caller asks for another job of equal contents."""
        return self.metadata.get('allow_duplicate') == 'true'


@dataclass(frozen=True, slots=True)
class JobStatus:
    """A job's record with its latest progress figures.

    `figures` is None for a job that is not in an active list, and in results
    that don't read the list.
    """

    job: JobRecord
    figures: ActiveJob | None
    now_ms: int

    @property
    def late(self) -> bool:
        """Tell whether the job finished, or still runs, past its deadline."""
        end_ms = self.job.finished_ms or self.now_ms
        return end_ms > self.job.deadline.instant_ms


StatusResult = Result[JobStatus, JobError]


def ignore_accepted_job(_job: JobRecord) -> None:
    """Do nothing; the list's coordinator offers the job in its next round."""


async def report_not_stopped(_job: JobRecord) -> bool:
    """Return False, so that the list's coordinator completes the cancel."""
    return False


@dataclass(slots=True)
class JobService:
    """Batch API of one entry, without its HTTP layer."""

    store: KeyValueStore
    holder: ConfigurationHolder
    max_body_bytes: int = MAX_BODY_BYTES
    now_ms: Callable[[], int] = wall_clock_ms
    stop_everywhere: StopEverywhere = report_not_stopped
    # Called for each accepted job, so that its items start without waiting
    # for the next round of the coordinator.
    on_accepted: Callable[[JobRecord], None] = ignore_accepted_job

    async def store_file(
        self,
        organisation: str,
        filename: str,
        source: BinaryIO,
        size_bytes: int,
    ) -> Result[FileRecord, JobError]:
        """Validate and store an uploaded file of batch items.

        Fails for an invalid file and when the store is unavailable.
        """
        scanned = await files.scan_file(source, self.max_body_bytes)
        if isinstance(scanned, Err):
            return scanned
        new_record = files.new_upload_record(
            organisation,
            filename,
            size_bytes,
            self.now_ms(),
            scanned.ok_value,
        )
        return await files.store_upload(self.store, new_record, source)

    async def file(
        self,
        organisation: str,
        file_id: str,
    ) -> Result[FileRecord, JobError]:
        """Return an uploaded file's record.

        Fails for an unknown, incomplete or expired file.
        """
        return await files.read_file(self.store, organisation, file_id)

    async def create_job(self, request: JobRequest) -> StatusResult:
        """Accept a job; a retried request gets the job of the first one.

        Fails for an unknown file, an invalid request, a reused idempotency
        key and an organisation over its limit of queued items.
        """
        found = await self.file(request.organisation, request.file_id)
        if isinstance(found, Err):
            return found
        validated = self.validate_request(request, found.ok_value)
        if isinstance(validated, Err):
            return validated
        new = validated.ok_value
        accepted = await jobs.accept_job(
            self.store,
            new,
            partial(self.check_queue_limit, new),
            self.now_ms(),
        )
        if isinstance(accepted, Ok):
            self.on_accepted(accepted.ok_value)
        return accepted.map(lambda job: JobStatus(job, None, self.now_ms()))

    def validate_request(
        self,
        request: JobRequest,
        file: FileRecord,
    ) -> Result[NewJob, JobError]:
        """Return the new job of a request, or why the request is invalid."""
        parsed = self.parse_deadline(request)
        if isinstance(parsed, Err):
            return invalid_request('invalid_deadline', parsed.err_value)
        problem = find_job_problem(request, file, self.holder.current)
        if problem:
            return invalid_request('invalid_job', problem)
        deadline = parsed.ok_value
        text = (
            f'{deadline.local} {deadline.zone}'
            if deadline.local
            else DEFAULT_DEADLINE_TEXT
        )
        return Ok(
            NewJob(
                request.organisation,
                file,
                request.endpoint,
                file.models[0],
                deadline,
                text,
                request.idempotency_key,
                request.metadata,
                request.allow_duplicate,
            ),
        )

    def parse_deadline(self, request: JobRequest) -> Result[Deadline, str]:
        """Return the deadline; it defaults to 24 hours from now."""
        if not request.deadline_local:
            return Ok(Deadline('', '', self.now_ms() + DEFAULT_WINDOW_MS))
        return resolve_deadline(request.deadline_local, request.deadline_zone)

    async def check_queue_limit(self, new: NewJob) -> Result[None, JobError]:
        """Fail if the job takes the organisation over its queued items."""
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
                TOO_MANY_REQUESTS,
                'too_many_items',
                'the organisation is over its limit of queued items',
                retry_after_s=QUEUE_FULL_RETRY_AFTER_S,
            ),
        )

    async def job(
        self,
        organisation: str,
        job_id: str,
    ) -> Result[JobRecord, JobError]:
        """Return a job's record; fails for an unknown or expired job."""
        found = await jobs.read_job(self.store, organisation, job_id)
        if isinstance(found, Err):
            return Err(errors.store_error(found.err_value))
        if found.ok_value is None:
            return Err(errors.not_found('job'))
        if found.ok_value.state == 'expired':
            return Err(errors.expired('job'))
        return Ok(found.ok_value)

    async def status(self, organisation: str, job_id: str) -> StatusResult:
        """Return a job's record and progress figures.

        Fails for an unknown or expired job and when the store fails.
        """
        found = await self.job(organisation, job_id)
        if isinstance(found, Err):
            return found
        number = keys.active_list_of(job_id)
        listed = await active.read_active(self.store, number)
        if isinstance(listed, Err):
            return Err(errors.store_error(listed.err_value))
        figures = next(
            (row for row in listed.ok_value if row.job_id == job_id),
            None,
        )
        return Ok(JobStatus(found.ok_value, figures, self.now_ms()))

    async def list_jobs(
        self,
        organisation: str,
        limit: int,
    ) -> Result[list[JobStatus], JobError]:
        """Return up to `limit` jobs of an organisation, newest first.

        Expired jobs are left out, and progress figures are not read.
        """
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
        """Cancel a job and return its state.

        A job that is still `cancelling` when this returns is completed by
        the coordinator of its list. A finished job is returned unchanged.
        """
        changed = await jobs.begin_cancel(
            self.store,
            organisation,
            job_id,
            self.now_ms(),
        )
        if isinstance(changed, Err):
            return changed
        job = changed.ok_value
        if job.state == 'expired':
            return Err(errors.expired('job'))
        if job.state == 'cancelling':
            advanced = await advance_cancel(
                self.store,
                job,
                self.stop_everywhere,
                self.now_ms,
            )
            # The cancel is already stored, so an error is not reported; the
            # state tells the caller whether the cancel is complete.
            job = advanced.unwrap_or(job)
        return Ok(JobStatus(job, None, self.now_ms()))

    async def results(
        self,
        organisation: str,
        job_id: str,
        failed: bool = False,
    ) -> Result[AsyncIterator[bytes], JobError]:
        """Return the lines of the output file, or of the error file.

        `failed` selects the items that were recorded as failed.
        """
        found = await self.job(organisation, job_id)
        return found.map(
            lambda job: output.result_lines(self.store, job, failed),
        )

    async def file_lines(
        self,
        organisation: str,
        file_id: str,
    ) -> Result[AsyncIterator[bytes], JobError]:
        """Return the items of an uploaded file as JSON lines."""
        found = await self.file(organisation, file_id)
        return found.map(lambda record: output.item_lines(self.store, record))


def invalid_request(code: str, message: str) -> Err[JobError]:
    """Return the error of an invalid request."""
    return Err(JobError(errors.BAD_REQUEST, code, message))


def queued_items(listed: list[ActiveJob], new: NewJob) -> int:
    """Return the unfinished items of the organisation's other jobs.

    The new job itself is skipped, since a retry may find it listed.
    """
    return sum(
        max(0, row.items - row.finished)
        for row in listed
        if row.organisation == new.organisation and row.job_id != new.job_id
    )


def find_job_problem(
    request: JobRequest,
    file: FileRecord,
    configuration: Configuration,
) -> str:
    """Return why a job request is invalid; empty when it is valid."""
    if request.endpoint not in SUPPORTED_ENDPOINTS:
        return f'endpoint must be one of {", ".join(SUPPORTED_ENDPOINTS)}'
    if file.endpoints != [request.endpoint]:
        return f'the items of the file are for {", ".join(file.endpoints)}'
    if len(file.models) != 1:
        return 'all items of a job must name the same model'
    return find_model_problem(file.models[0], configuration.pools) or (
        find_duplicate_problem(request)
    )


def find_model_problem(model: str, pools: Mapping[str, object]) -> str:
    """Return why a model can't run a job; empty when it can."""
    return '' if model in pools else f'unknown model {model!r}'


def find_duplicate_problem(request: JobRequest) -> str:
    """Return why a request for a duplicate is invalid; empty if valid.

    Without an idempotency key, a retry can't be distinguished from a request
    for another job.
    """
    if request.allow_duplicate and not request.idempotency_key:
        return 'allow_duplicate requires an Idempotency-Key header'
    return ''
