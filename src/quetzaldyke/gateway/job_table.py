"""Tracks all batch jobs and members, as watched in the store."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

import anyio

from quetzaldyke.gateway import job_records
from quetzaldyke.gateway.guarded import call_guarded, describe_fault
from quetzaldyke.gateway.job_records import (
    FLEET_PREFIX,
    JOB_PREFIX,
    MEMBER_PREFIX,
    JobRecord,
    JobState,
    Member,
)
from quetzaldyke.gateway.logs import log_event
from quetzaldyke.gateway.watch import Confirmation
from quetzaldyke.parts.kv import Record
from quetzaldyke.parts.transactions import Snapshot, WatchedChange

UPDATE_WAIT_S: Final = 0.4


@dataclass(slots=True)
class JobView:
    """What this entry knows of one job."""

    record: JobRecord | None = None
    state: JobState | None = None
    state_revision: int = 0
    ended: bool = False
    # When the last call was sent that read the state of this job alone.
    read_s: float = -math.inf
    # Set and replaced at each change, to wake readers that wait for results.
    changed: anyio.Event = field(default_factory=anyio.Event)

    @property
    def known(self) -> bool:
        """Return whether both the record and the state have been read."""
        return self.record is not None and self.state is not None

    @property
    def open(self) -> bool:
        """Return whether some items still have to run."""
        if self.record is None or self.state is None or self.ended:
            return False
        return len(self.state.results) < len(self.record.items)

    def waiting_tokens(self) -> int:
        """Return the tokens of items without a result; 0 unless open."""
        if not self.open:
            return 0
        assert self.record is not None
        assert self.state is not None
        done = {result.item for result in self.state.results}
        return sum(
            item.tokens
            for index, item in enumerate(self.record.items)
            if index not in done
        )

    def notify(self) -> None:
        """Wake the tasks that wait for a change."""
        self.changed.set()
        self.changed = anyio.Event()


@dataclass(slots=True)
class JobTable:
    """Jobs, members and quota revisions of the fleet."""

    jobs: dict[str, JobView] = field(default_factory=dict)
    members: dict[str, Member] = field(default_factory=dict)
    # By the names that `job_records.quota_name` gives.
    quota_revisions: dict[str, int] = field(default_factory=dict)
    revision: int = 0
    # As of when all changes were applied.
    confirmation: Confirmation = field(default_factory=Confirmation)
    # Set and replaced with each snapshot or set of changes.
    advanced: anyio.Event = field(default_factory=anyio.Event)
    on_job: Callable[[str], None] = lambda job_id: None
    # Called once for each set of changes that contains members.
    on_members: Callable[[], None] = lambda: None
    members_changed: bool = False

    @property
    def listed(self) -> bool:
        """Return whether all jobs of the fleet were read once."""
        return self.revision > 0

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Apply a full listing and drop the members and jobs it lacks.

        Jobs that were written after the listing began are kept.
        """
        present = {record.key for record in snapshot.records}
        for owner_id in list(self.members):
            if f'{MEMBER_PREFIX}{owner_id}' not in present:
                self.apply(f'{MEMBER_PREFIX}{owner_id}', 0, None)
        for job_id, view in list(self.jobs.items()):
            listed = f'{JOB_PREFIX}{job_id}' in present
            if not listed and view.state_revision <= snapshot.revision:
                self.apply(f'{JOB_PREFIX}{job_id}', 0, None)
        for record in snapshot.records:
            self.apply_record(record)
        self.advance(snapshot.revision)

    def apply_changes(
        self, changes: list[WatchedChange], revision: int
    ) -> None:
        """Apply watched changes in order."""
        for change in changes:
            self.apply(change.key, change.revision, change.value)
        self.advance(revision)

    def advance(self, revision: int) -> None:
        """Record that all changes up to a revision have been applied."""
        self.revision = max(self.revision, revision)
        if self.members_changed:
            self.members_changed = False
            call_guarded(self.on_members)
        self.advanced.set()
        self.advanced = anyio.Event()

    def apply_record(self, record: Record) -> None:
        """Apply a record that was read; a fault is left to its key."""
        self.apply(record.key, record.revision, record.value)

    async def wait_for_update(self) -> None:
        """Wait up to `UPDATE_WAIT_S` for the watch to deliver changes."""
        with anyio.move_on_after(UPDATE_WAIT_S):
            await self.advanced.wait()

    def apply(self, key: str, revision: int, value: bytes | None) -> None:
        """Apply one key; a fault is logged and left to this key.

        A value that can't be decoded raises one of several errors, and what
        the change leads to may fail too. Neither may hide the next keys.
        """
        try:
            self.apply_key(key, revision, value)
        except Exception as exc:
            log_event(
                'record_unreadable',
                key=key,
                fault=describe_fault(exc),
            )

    def apply_key(self, key: str, revision: int, value: bytes | None) -> None:
        """Apply one key, whose value is None after its deletion.

        The name behind the prefix may be an id of a caller, with slashes.
        """
        kind, _, name = key.removeprefix(FLEET_PREFIX).partition('/')
        match f'{FLEET_PREFIX}{kind}/':
            case job_records.MEMBER_PREFIX:
                self.apply_member(name, value)
            case job_records.JOB_PREFIX:
                self.apply_job(name, value)
            case job_records.STATE_PREFIX:
                self.apply_state(name, revision, value)
            case job_records.END_PREFIX:
                self.apply_end(name, value)
            case job_records.QUOTA_PREFIX:
                self.note_quota(name, revision)

    def note_quota(self, name: str, revision: int) -> None:
        """Record the latest acceptance that counts towards a quota."""
        known = self.quota_revisions.get(name, 0)
        self.quota_revisions[name] = max(known, revision)

    def view(self, job_id: str) -> JobView:
        """Return the view of a job, adding an empty one for an unknown job."""
        view = self.jobs.get(job_id)
        if view is None:
            view = self.jobs[job_id] = JobView()
        return view

    def is_known(self, job_id: str) -> bool:
        """Return whether the record and the state of a job are known."""
        view = self.jobs.get(job_id)
        return view is not None and view.known

    def apply_member(self, owner_id: str, value: bytes | None) -> None:
        """Add or remove a member."""
        if value is None:
            self.members.pop(owner_id, None)
        else:
            member = Member.unpack(value)
            if member.owner_id != owner_id:
                raise ValueError('member under the key of another')
            self.members[owner_id] = member
        log_event(
            'member_left' if value is None else 'member_seen',
            member=owner_id,
            members=len(self.members),
        )
        self.members_changed = True

    def apply_job(self, job_id: str, value: bytes | None) -> None:
        """Add an accepted job, or drop one that was deleted."""
        if value is None:
            self.jobs.pop(job_id, None)
            return
        view = self.view(job_id)
        if view.record is None:
            view.record = JobRecord.unpack(value)
        self.on_job(job_id)

    def note_accepted(
        self, record: JobRecord, state: JobState, revision: int
    ) -> None:
        """Add a job that this entry has written at a revision.

        It counts towards its quota before the watch delivers it.
        """
        view = self.view(record.job_id)
        view.record = view.record or record
        if revision > view.state_revision:
            view.state = state
            view.state_revision = revision
            view.notify()

    def apply_state(
        self,
        job_id: str,
        revision: int,
        value: bytes | None,
    ) -> None:
        """Update the owner and results, unless the revision is old."""
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
        """Mark a job as ended; a deletion of the mark is ignored."""
        if value is None:
            return
        view = self.view(job_id)
        if view.ended:
            return
        view.ended = True
        view.notify()
        self.on_job(job_id)

    def waiting_tokens(self, route: str, organisation: str = '') -> int:
        """Return the tokens of an organisation's items without a result.

        Counts one route, and only jobs of callers without an organisation if
        none is given.
        """
        return sum(
            view.waiting_tokens()
            for view in self.jobs.values()
            if view.record is not None
            and view.record.route == route
            and view.record.organisation == organisation
        )
