"""HTTP routes for uploaded files and batch jobs."""

from __future__ import annotations

import json
import secrets
from collections.abc import AsyncIterator, Callable
from typing import Annotated, Any, Final

from pydantic import BaseModel, ConfigDict, Field
from pydantic import ValidationError as ModelError
from result import Err, Ok, Result
from starlette.datastructures import UploadFile
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from quetzaldyke.durable import errors
from quetzaldyke.durable.errors import JobError
from quetzaldyke.durable.records import FileRecord
from quetzaldyke.durable.service import JobRequest, JobService, JobStatus
from quetzaldyke.parts.decimals import parse_decimal
from quetzaldyke.process.callers_middleware import read_body
from quetzaldyke.request.outcome import Refusal

MS_IN_S: Final = 1000
OUTPUT_PREFIX: Final = 'output-'
ERRORS_PREFIX: Final = 'errors-'
LIST_LIMIT: Final = 100
MAX_JOB_BYTES: Final = 65_536
REQUEST_ID_BYTES: Final = 10
SERVER_FAULT: Final = 500
JSON_LINES: Final = 'application/jsonl'

# Returns the caller's organisation, or the error response to send.
Authenticate = Callable[[Request], 'str | Response']
Handler = Callable[[Request, str], Any]
MAX_NAME_CHARS: Final = 64
MAX_TEXT_CHARS: Final = 512
MAX_METADATA: Final = 16
LENGTH_REQUIRED: Final = 411
Name = Annotated[str, Field(max_length=MAX_NAME_CHARS)]
Metadata = dict[Name, Annotated[str, Field(max_length=MAX_TEXT_CHARS)]]


class DeadlineBody(BaseModel):
    """Deadline of a job: a local time and an IANA zone."""

    model_config = ConfigDict(extra='forbid')

    local: Name
    zone: Name


class JobBody(BaseModel):
    """Body of a request that creates a job."""

    model_config = ConfigDict(extra='forbid')

    input_file_id: Name
    endpoint: Name
    completion_window: str = '24h'
    deadline: DeadlineBody | None = None
    metadata: Metadata = Field(default_factory=dict, max_length=MAX_METADATA)


def make_batch_routes(
    service: JobService,
    authenticate: Authenticate,
    max_file_bytes: int,
) -> list[Route]:
    """Return the routes; each handler gets the caller's organisation."""

    def authenticated(handler: Handler) -> Callable[[Request], Any]:
        async def endpoint(request: Request) -> Response:
            organisation = authenticate(request)
            if isinstance(organisation, Response):
                return organisation
            answer: Response = await handler(request, organisation)
            return answer

        return endpoint

    async def upload(request: Request, organisation: str) -> Response:
        return await upload_file(service, request, organisation, max_file_bytes)

    async def get_file(request: Request, organisation: str) -> Response:
        file_id = request.path_params['file_id']
        found = await service.file(organisation, file_id)
        return document_response(found.map(file_document))

    async def get_content(request: Request, organisation: str) -> Response:
        file_id = request.path_params['file_id']
        return lines_response(
            await file_content(service, organisation, file_id)
        )

    async def create(request: Request, organisation: str) -> Response:
        read = await read_body(request.receive, request.headers, MAX_JOB_BYTES)
        if isinstance(read, Err):
            return refusal_response(read.err_value, request)
        parsed = parse_job_request(read.ok_value, request, organisation)
        if isinstance(parsed, Err):
            return error_response(parsed.err_value)
        created = await service.create_job(parsed.ok_value)
        return document_response(created.map(job_document))

    async def list_jobs(request: Request, organisation: str) -> Response:
        limit = parse_limit(request.query_params.get('limit', ''))
        listed = await service.list_jobs(organisation, limit)
        return document_response(listed.map(list_document))

    async def get_job(request: Request, organisation: str) -> Response:
        job_id = request.path_params['job_id']
        found = await service.status(organisation, job_id)
        return document_response(found.map(job_document))

    async def cancel(request: Request, organisation: str) -> Response:
        job_id = request.path_params['job_id']
        cancelled = await service.cancel(organisation, job_id)
        return document_response(cancelled.map(job_document))

    routes: list[tuple[str, Handler, str]] = [
        ('/v1/files', upload, 'POST'),
        ('/v1/files/{file_id}', get_file, 'GET'),
        ('/v1/files/{file_id}/content', get_content, 'GET'),
        ('/v1/batches', create, 'POST'),
        ('/v1/batches', list_jobs, 'GET'),
        ('/v1/batches/{job_id}', get_job, 'GET'),
        ('/v1/batches/{job_id}/cancel', cancel, 'POST'),
    ]
    return [
        Route(path, authenticated(handler), methods=[method])
        for path, handler, method in routes
    ]


def parse_limit(text: str) -> int:
    """Return the number of jobs to list, at most 100; 100 for invalid text.

    >>> parse_limit('5'), parse_limit('many'), parse_limit('9999')
    (5, 100, 100)
    """
    limit = parse_decimal(text, LIST_LIMIT)
    return LIST_LIMIT if limit is None else limit


async def upload_file(
    service: JobService,
    request: Request,
    organisation: str,
    max_file_bytes: int,
) -> Response:
    """Store the file of a multipart upload; return its document or an error.

    Rejects a request without a Content-Length, one over the size limit, and a
    form without the file or with another purpose.
    """
    content_length = parse_decimal(request.headers.get('content-length'))
    if content_length is None:
        return error_response(
            JobError(
                LENGTH_REQUIRED,
                'length_required',
                "the Content-Length header is missing or isn't a number",
            ),
        )
    if content_length > max_file_bytes:
        message = f'the upload is larger than {max_file_bytes} bytes'
        return error_response(JobError(errors.TOO_LARGE, 'too_large', message))
    async with request.form(max_files=1, max_fields=4) as form:
        upload = form.get('file')
        if not isinstance(upload, UploadFile) or form.get('purpose') != 'batch':
            return error_response(
                JobError(
                    errors.BAD_REQUEST,
                    'invalid_upload',
                    "the form must have a file 'file' and purpose 'batch'",
                ),
            )
        stored = await service.store_file(
            organisation,
            upload.filename or 'batch.jsonl',
            upload.file,
            upload.size or 0,
        )
    return document_response(stored.map(file_document))


async def file_content(
    service: JobService,
    organisation: str,
    file_id: str,
) -> Result[AsyncIterator[bytes], JobError]:
    """Return the lines of an uploaded file, or of a job's results or errors.

    The prefix of the file id tells which. Fails if there is no such file or
    the store can't be read.
    """
    for prefix, failed in ((OUTPUT_PREFIX, False), (ERRORS_PREFIX, True)):
        if file_id.startswith(prefix):
            job_id = file_id.removeprefix(prefix)
            return await service.results(organisation, job_id, failed)
    return await service.file_lines(organisation, file_id)


def parse_job_request(
    raw: bytes,
    request: Request,
    organisation: str,
) -> Result[JobRequest, JobError]:
    """Return the job request in a body, or an error that names each fault."""
    try:
        body = JobBody.model_validate_json(raw)
    except ModelError as exc:
        found = exc.errors(include_input=False, include_url=False)
        message = '; '.join(
            f'{".".join(str(part) for part in one["loc"])}: {one["msg"]}'
            for one in found
        )
        return Err(JobError(errors.BAD_REQUEST, 'invalid_job', message))
    deadline = body.deadline
    return Ok(
        JobRequest(
            organisation,
            body.input_file_id,
            body.endpoint,
            request.headers.get('idempotency-key', ''),
            deadline.local if deadline else '',
            deadline.zone if deadline else '',
            body.metadata,
        ),
    )


def document_response(outcome: Result[dict[str, object], JobError]) -> Response:
    """Return a response with the document or the error."""
    if isinstance(outcome, Err):
        return error_response(outcome.err_value)
    return JSONResponse(outcome.ok_value)


def lines_response(outcome: Result[AsyncIterator[bytes], JobError]) -> Response:
    """Return a response that streams the lines, or one with the error."""
    if isinstance(outcome, Err):
        return error_response(outcome.err_value)
    return StreamingResponse(outcome.ok_value, media_type=JSON_LINES)


def error_response(error: JobError) -> Response:
    """Return an error in the API's format.

    `ran` says whether the request may have taken effect.
    """
    fault = error.status >= SERVER_FAULT
    document = {
        'message': error.message,
        'type': 'unavailable_error' if fault else 'invalid_request_error',
        'code': error.code,
        'ran': error.ran,
        'request_id': f'req-{secrets.token_hex(REQUEST_ID_BYTES)}',
    }
    headers = {}
    if error.retry_after_s:
        headers['retry-after'] = str(error.retry_after_s)
    return Response(
        json.dumps({'error': document}),
        error.status,
        headers,
        'application/json',
    )


def refusal_response(refusal: Refusal, request: Request) -> Response:
    """Return the response for a request whose body was refused."""
    request_id = str(getattr(request.state, 'request_id', ''))
    return JSONResponse(refusal.body(request_id), refusal.status)


def seconds_or_none(at_ms: int) -> int | None:
    """Return a time in seconds, or None for 0, which means not yet set."""
    return at_ms // MS_IN_S if at_ms else None


def file_document(record: FileRecord) -> dict[str, object]:
    """Return the API document of a file."""
    return {
        'id': record.file_id,
        'object': 'file',
        'bytes': record.size_bytes,
        'created_at': seconds_or_none(record.created_ms),
        'filename': record.filename,
        'purpose': 'batch',
        'status': 'processed',
    }


def list_document(listed: list[JobStatus]) -> dict[str, object]:
    """Return the API document of a list of jobs."""
    documents = [job_document(status) for status in listed]
    return {'object': 'list', 'data': documents, 'has_more': False}


def job_document(status: JobStatus) -> dict[str, object]:
    """Return the API document of a job, with deadline, estimate and risk."""
    job = status.job
    ended = job.finished_ms > 0
    return {
        'id': job.job_id,
        'object': 'batch',
        'endpoint': job.endpoint,
        'model': job.pool,
        'input_file_id': job.file_id,
        'completion_window': '24h',
        'status': job.state,
        'output_file_id': f'{OUTPUT_PREFIX}{job.job_id}',
        'error_file_id': f'{ERRORS_PREFIX}{job.job_id}',
        'created_at': seconds_or_none(job.created_ms),
        'expires_at': seconds_or_none(job.deadline.instant_ms),
        'cancelling_at': seconds_or_none(job.cancelling_ms),
        'completed_at': seconds_or_none(
            job.finished_ms if job.state == 'completed' else 0,
        ),
        'cancelled_at': seconds_or_none(
            job.finished_ms if job.state == 'cancelled' else 0,
        ),
        'deadline': {'local': job.deadline.local, 'zone': job.deadline.zone},
        'late': status.late,
        'at_risk': bool(status.figures and status.figures.at_risk),
        'estimated_completion_at': seconds_or_none(
            status.figures.estimate_ms if status.figures and not ended else 0,
        ),
        'request_counts': request_counts(status),
        'metadata': job.metadata,
    }


def request_counts(status: JobStatus) -> dict[str, int]:
    """Return the counts of a job's items.

    While the job runs they come from the progress figures last written.
    """
    job = status.job
    completed, failed = job.completed, job.failed
    if status.figures and not job.finished_ms:
        failed = status.figures.failed
        completed = status.figures.finished - failed
    return {'total': job.total, 'completed': completed, 'failed': failed}
