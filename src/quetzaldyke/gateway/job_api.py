"""Handles requests about batch jobs: submit, read, read a body, end."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from result import Err, Ok

from quetzaldyke.gateway.authentication import Identity
from quetzaldyke.gateway.job_reads import (
    JobReads,
    may_get_result,
    read_page,
    wait_for_result,
)
from quetzaldyke.gateway.job_store import JobStore
from quetzaldyke.gateway.job_table import JobView
from quetzaldyke.gateway.logs import log_event
from quetzaldyke.gateway.model import Route
from quetzaldyke.gateway.new_job import NewJob, make_job
from quetzaldyke.gateway.received_request import (
    AsgiCaller,
    ReceivedRequest,
    decode_id,
    query_number,
    query_text,
)
from quetzaldyke.gateway.responses import send_refusal, send_response
from quetzaldyke.gateway.watch import age_ms
from quetzaldyke.parts.kv import KvError
from quetzaldyke.platform import names
from quetzaldyke.platform.jobs import decode_submission

MS_IN_S: Final = 1000
STATUS_OK: Final = 200
STATUS_ACCEPTED: Final = 202
STATUS_BAD_REQUEST: Final = 400
STATUS_NOT_FOUND: Final = 404
STATUS_TOO_LARGE: Final = 413
STATUS_TOO_MANY_REQUESTS: Final = 429
STATUS_BAD_GATEWAY: Final = 502
STATUS_UNAVAILABLE: Final = 503
MAX_LONG_POLL_S: Final = 1.0
OUTAGE_RETRY_AFTER: Final = b'1.0'
QUOTA_RETRY_AFTER: Final = b'2.0'
JSON_TYPE: Final = (b'content-type', b'application/json')


@dataclass(slots=True)
class JobApi:
    """Handler of requests about batch jobs."""

    store: JobStore
    # Starts a job that this entry has just accepted.
    run_accepted: Callable[[NewJob], None]
    # Tells the peers that a job has ended.
    tell_ended: Callable[[str], None]
    # Whether the store answered recently.
    store_up: Callable[[], bool]
    # Version of the configuration in force here.
    version: Callable[[], int]
    now: Callable[[], float] = time.monotonic
    # From the first read of a result until every entry has to show it.
    settle_s: float = 1.0
    reads: JobReads = field(init=False)

    def __post_init__(self) -> None:
        """Build what keeps the answers to reads up to date."""
        self.reads = JobReads(
            self.store, self.settle_s, self.now, self.store_up
        )

    async def handle(
        self,
        request: ReceivedRequest,
        route: Route | None,
        identity: Identity,
        caller: AsgiCaller,
    ) -> bool:
        """Serve a request about a job; False if it is about anything else.

        A job belongs to the organisation that submitted it; for any other one
        there is no such job.
        """
        path = request.path
        if path.startswith(names.JOB_PATH):
            job_id = decode_id(path.removeprefix(names.JOB_PATH))
            if request.method == b'DELETE':
                await self.end_job(job_id, identity, caller)
            else:
                await self.read_results(job_id, request, identity, caller)
            return True
        if path.startswith(names.ITEM_PATH):
            job_id = decode_id(path.removeprefix(names.ITEM_PATH))
            await self.read_body(job_id, request, identity, caller)
            return True
        if route is not None and route.kind == 'batch':
            await self.submit(request, route, identity, caller)
            return True
        return False

    async def submit(
        self,
        request: ReceivedRequest,
        route: Route,
        identity: Identity,
        caller: AsgiCaller,
    ) -> None:
        """Accept a job; one that is submitted again is accepted only once.

        Answers 400 to an invalid submission or the id of a job of another
        organisation, 413 to a job that the store can't keep, 429 over the
        quota, 503 without a store and 502 if the job may have been accepted.
        """
        raw_id = request.sole_header(names.ATTEMPT_ID)
        decoded = decode_submission(request.body)
        if not raw_id or isinstance(decoded, Err):
            await send_response(caller, STATUS_BAD_REQUEST)
            return
        job_id = raw_id.decode('latin-1')
        if self.store.table.is_known(job_id):
            await self.answer_known(job_id, identity, caller)
            return
        reason = await self.why_not_now()
        if reason:
            log_event('job_refused', job=job_id, reason=reason)
            await send_refusal(caller, STATUS_UNAVAILABLE, OUTAGE_RETRY_AFTER)
            return
        job = make_job(
            job_id,
            route,
            identity.apply_to_items(decoded.ok_value),
            self.store.sizes.part_bytes,
            self.version(),
            identity.name,
        )
        accepted = await self.store.accept(job, route)
        if self.is_foreign(job_id, identity):
            # Another organisation was first while this one was writing.
            await self.answer_known(job_id, identity, caller)
            return
        if isinstance(accepted, Ok):
            log_event(
                'job_accepted',
                job=job_id,
                route=route.name,
                organisation=identity.name,
                items=len(job.record.items),
                tokens=job.tokens,
            )
            self.run_accepted(job)
            await send_response(caller, STATUS_ACCEPTED)
            return
        failure = accepted.err_value
        log_event(
            'job_refused',
            job=job_id,
            reason=failure,
            organisation=identity.name,
            tokens=job.tokens,
            waiting=self.store.table.waiting_tokens(route.name, identity.name),
        )
        if failure == 'unknown':
            await send_response(caller, STATUS_BAD_GATEWAY)
        elif failure == 'too_large':
            await send_response(caller, STATUS_TOO_LARGE)
        elif failure == 'over_quota':
            await send_refusal(
                caller, STATUS_TOO_MANY_REQUESTS, QUOTA_RETRY_AFTER
            )
        else:
            await send_refusal(caller, STATUS_UNAVAILABLE, OUTAGE_RETRY_AFTER)

    def is_foreign(self, job_id: str, identity: Identity) -> bool:
        """Return whether an id is known as that of another's job."""
        return self.store.table.is_known(job_id) and not self.belongs_to(
            self.store.table.view(job_id), identity
        )

    async def answer_known(
        self, job_id: str, identity: Identity, caller: AsgiCaller
    ) -> None:
        """Answer the submission of a job that was accepted before."""
        if not self.is_foreign(job_id, identity):
            await send_response(caller, STATUS_ACCEPTED)
            return
        log_event(
            'job_refused',
            job=job_id,
            reason='id_taken',
            organisation=identity.name,
        )
        await send_response(caller, STATUS_BAD_REQUEST)

    async def why_not_now(self) -> str:
        """Return why no job can be accepted now; empty if one can.

        An entry that has just started waits a little for the jobs that are
        known to the store, as the quota counts their tokens.
        """
        if not self.store_up():
            return 'store_down'
        table = self.store.table
        if not table.listed:
            await table.wait_for_update()
        return '' if table.listed else 'jobs_unknown'

    def belongs_to(self, view: JobView, identity: Identity) -> bool:
        """Return whether a known job exists for a caller."""
        record = view.record
        return record is not None and identity.may_access(record.organisation)

    async def find_job(
        self, job_id: str, identity: Identity, caller: AsgiCaller
    ) -> JobView | None:
        """Return a job; None after answering 404 or 503."""
        found = await self.store.find(job_id)
        if isinstance(found, Err):
            await self.refuse_unavailable(job_id, found.err_value, caller)
            return None
        view = found.ok_value
        if (
            view is None
            or not view.known
            or not self.belongs_to(view, identity)
        ):
            await send_response(caller, STATUS_NOT_FOUND)
            return None
        return view

    async def refuse_unavailable(
        self,
        job_id: str,
        error: KvError,
        caller: AsgiCaller,
    ) -> None:
        """Answer 503, because the store can't serve a job now."""
        log_event('job_not_readable', job=job_id, reason=str(error))
        await send_refusal(caller, STATUS_UNAVAILABLE, OUTAGE_RETRY_AFTER)

    async def read_results(
        self,
        job_id: str,
        request: ReceivedRequest,
        identity: Identity,
        caller: AsgiCaller,
    ) -> None:
        """Answer with the results from a position on.

        If the request asks to wait, the first of them may take up to
        `MAX_LONG_POLL_S`.
        """
        asked_s = self.now()
        view = await self.find_job(job_id, identity, caller)
        if view is None:
            return
        after = query_number(request.query, 'after')
        wait_ms = request.number(names.WAIT) or 0
        await wait_for_result(
            view, after, min(wait_ms / MS_IN_S, MAX_LONG_POLL_S)
        )
        if may_get_result(view, after):
            view = await self.refresh(job_id, identity, caller)
            if view is None:
                return
        page = await read_page(self.store, view, after)
        if isinstance(page, Err):
            await self.refuse_unavailable(job_id, page.err_value, caller)
            return
        self.log_read(job_id, view, after, asked_s)
        await send_response(caller, STATUS_OK, page.ok_value, [JSON_TYPE])

    async def refresh(
        self, job_id: str, identity: Identity, caller: AsgiCaller
    ) -> JobView | None:
        """Return a job with all results of a moment before the answer.

        None after answering 404 or 503. The view may be another one than
        before: a listing may have dropped the job meanwhile.
        """
        refreshed = await self.reads.refresh(job_id)
        if isinstance(refreshed, Err):
            await self.refuse_unavailable(job_id, refreshed.err_value, caller)
            return None
        return await self.find_job(job_id, identity, caller)

    def log_read(
        self, job_id: str, view: JobView, after: int, asked_s: float
    ) -> None:
        """Log which results a read can return, and how old the table is."""
        table = self.store.table
        now_s = self.now()
        log_event(
            'results_read',
            job=job_id,
            after=after,
            listed=len(view.state.results) if view.state else 0,
            waited_ms=int((now_s - asked_s) * MS_IN_S),
            state_revision=view.state_revision,
            state_read_ms=age_ms(view.read_s, now_s),
            table_revision=table.revision,
            **table.confirmation.describe(now_s),
        )

    async def read_body(
        self,
        job_id: str,
        request: ReceivedRequest,
        identity: Identity,
        caller: AsgiCaller,
    ) -> None:
        """Answer with the body of one item."""
        view = await self.find_job(job_id, identity, caller)
        if view is None:
            return
        assert view.record is not None
        item_id = query_text(request.query, 'id')
        item = next(
            (
                record
                for record in view.record.items
                if record.item_id == item_id
            ),
            None,
        )
        if item is None:
            await send_response(caller, STATUS_NOT_FOUND)
            return
        body = await self.store.read_body(job_id, item)
        if isinstance(body, Err):
            await self.refuse_unavailable(job_id, body.err_value, caller)
            return
        await send_response(caller, STATUS_OK, body.ok_value)

    async def end_job(
        self, job_id: str, identity: Identity, caller: AsgiCaller
    ) -> None:
        """End a job and notify the peers."""
        if await self.find_job(job_id, identity, caller) is None:
            return
        ended = await self.store.end(job_id)
        if isinstance(ended, Err):
            await self.refuse_unavailable(job_id, ended.err_value, caller)
            return
        if ended.ok_value:
            self.tell_ended(job_id)
        log_event('job_ended', job=job_id, found=ended.ok_value)
        await send_response(
            caller, STATUS_OK if ended.ok_value else STATUS_NOT_FOUND
        )
