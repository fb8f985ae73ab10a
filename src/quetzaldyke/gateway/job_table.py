"""What an entry knows of all batch jobs, from the followed records."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from quetzaldyke.gateway import job_records
from quetzaldyke.gateway.job_records import (
    JOB_PREFIX,
    MEMBER_PREFIX,
    JobRecord,
    JobState,
    Member,
)
from quetzaldyke.gateway.logs import log_event
from quetzaldyke.parts.transactions import Snapshot, WatchedChange


@dataclass(slots=True)
class JobView:
    """One job as far as it is known."""

    record: JobRecord | None = None
    state: JobState | None = None
    state_revision: int = 0
    ended: bool = False
    # Set and replaced at each change, for those that wait for results.
    changed: anyio.Event = field(default_factory=anyio.Event)

    @property
    def known(self) -> bool:
        """Tell whether the job was accepted."""
        return self.record is not None and self.state is not None

    @property
    def open(self) -> bool:
        """Tell whether items are still to be run."""
        if self.record is None or self.state is None or self.ended:
            return False
        return len(self.state.listed) < len(self.record.items)

    def waiting_tokens(self) -> int:
        """Return the tokens of items without a result."""
        if not self.open:
            return 0
        assert self.record is not None
        assert self.state is not None
        done = {one.item for one in self.state.listed}
        return sum(
            item.tokens
            for index, item in enumerate(self.record.items)
            if index not in done
        )

    def notify(self) -> None:
        """Wake those that wait for a change."""
        self.changed.set()
        self.changed = anyio.Event()


@dataclass(slots=True)
class JobTable:
    """Jobs, members and quota revisions."""

    jobs: dict[str, JobView] = field(default_factory=dict)
    members: dict[str, Member] = field(default_factory=dict)
    quota_revisions: dict[str, int] = field(default_factory=dict)
    revision: int = 0
    # Set and replaced with each batch of changes.
    advanced: anyio.Event = field(default_factory=anyio.Event)
    on_job: Callable[[str], None] = lambda job_id: None
    on_members: Callable[[], None] = lambda: None

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Take over a whole list."""
        present = {record.key for record in snapshot.records}
        for owner_id in list(self.members):
            if f'{MEMBER_PREFIX}{owner_id}' not in present:
                self.apply(f'{MEMBER_PREFIX}{owner_id}', 0, None)
        for job_id in list(self.jobs):
            if f'{JOB_PREFIX}{job_id}' not in present:
                self.apply(f'{JOB_PREFIX}{job_id}', 0, None)
        for record in snapshot.records:
            self.apply(record.key, record.revision, record.value)
        self.advance(snapshot.revision)

    def apply_changes(
        self, changes: list[WatchedChange], revision: int
    ) -> None:
        """Take over changes in order."""
        for change in changes:
            self.apply(change.key, change.revision, change.value)
        self.advance(revision)

    def advance(self, revision: int) -> None:
        """Everything up to a revision was seen."""
        self.revision = max(self.revision, revision)
        self.advanced.set()
        self.advanced = anyio.Event()

    def apply(self, key: str, revision: int, value: bytes | None) -> None:
        """Take over one key."""
        try:
            self.apply_key(key, revision, value)
        except (ValueError, TypeError) as exc:
            log_event('record_unreadable', key=key, fault=repr(exc))

    def apply_key(self, key: str, revision: int, value: bytes | None) -> None:
        """Take over one key by its kind."""
        prefix, _, name = key.rpartition('/')
        match f'{prefix}/':
            case job_records.MEMBER_PREFIX:
                self.apply_member(name, value)
            case job_records.JOB_PREFIX:
                self.apply_job(name, value)
            case job_records.STATE_PREFIX:
                self.apply_state(name, revision, value)
            case job_records.END_PREFIX:
                self.apply_end(name, value)
            case job_records.QUOTA_PREFIX:
                self.quota_revisions[name] = revision

    def view(self, job_id: str) -> JobView:
        """Return what is known of a job."""
        known = self.jobs.get(job_id)
        if known is None:
            known = self.jobs[job_id] = JobView()
        return known

    def view_known(self, job_id: str) -> bool:
        """Tell whether a job was seen."""
        view = self.jobs.get(job_id)
        return view is not None and view.known

    def apply_member(self, owner_id: str, value: bytes | None) -> None:
        """An entry came or went."""
        if value is None:
            self.members.pop(owner_id, None)
        else:
            self.members[owner_id] = Member.unpack(value)
        log_event(
            'member_left' if value is None else 'member_seen',
            member=owner_id,
            members=len(self.members),
        )
        self.on_members()

    def apply_job(self, job_id: str, value: bytes | None) -> None:
        """A job was accepted, or its retention is over."""
        if value is None:
            self.jobs.pop(job_id, None)
            return
        view = self.view(job_id)
        if view.record is None:
            view.record = JobRecord.unpack(value)
        self.on_job(job_id)

    def apply_state(
        self,
        job_id: str,
        revision: int,
        value: bytes | None,
    ) -> None:
        """Owner or results of a job changed."""
        if value is None:
            return
        view = self.view(job_id)
        if revision <= view.state_revision:
            return
        view.state = JobState.unpack(value)
        view.state_revision = revision
        view.notify()
        self.on_job(job_id)

    def apply_end(self, job_id: str, value: bytes | None) -> None:
        """The caller ended a job."""
        if value is None:
            return
        view = self.view(job_id)
        if view.ended:
            return
        view.ended = True
        view.notify()
        self.on_job(job_id)

    def waiting_tokens(self, route: str) -> int:
        """Return the tokens of all unfinished items of a route."""
        return sum(
            view.waiting_tokens()
            for view in self.jobs.values()
            if view.record is not None and view.record.route == route
        )
