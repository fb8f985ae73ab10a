"""Decides whether a submitted job may be accepted, and what is written then.

Load pattern: callers submit many jobs at several entries at once, up to the
quota that each organisation has on a route, and send each again until it is
accepted. One organisation that fills its quota delays no acceptance of another.
A job that the store can never keep has to be told apart from one that it can't
keep now.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from quetzaldyke.gateway.job_records import (
    JOB_PREFIX,
    QUOTA_PREFIX,
    STATE_PREFIX,
    JobState,
    body_key,
    largest_state,
    quota_name,
)
from quetzaldyke.gateway.job_table import JobTable
from quetzaldyke.gateway.model import Route
from quetzaldyke.gateway.new_job import NewJob
from quetzaldyke.parts.kv import ABSENT
from quetzaldyke.parts.transactions import Put, Transaction, TransactionLimits

# Below this share of the limit, jobs that other entries accept concurrently
# can't exceed it, so acceptances are not serialized on the quota key.
UNSERIALIZED_QUOTA_SHARE: Final = 0.5
# This holds only for small jobs: it takes 25 of them, accepted within one delay
# of the watch, to fill the other half. Larger ones are always serialized.
UNSERIALIZED_JOB_SHARE: Final = 0.02
# Nor does it hold for a table that may lack the acceptances of a longer time.
MAX_UNSERIALIZED_AGE_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class QuotaCheck:
    """Whether a job fits into its organisation's quota on its route."""

    fits: bool
    # Revision that the quota key must still have when the job is written; None
    # if any will do.
    revision: int | None = None


def is_recent(table: JobTable, now_s: float) -> bool:
    """Return whether a table holds all but the latest acceptances."""
    return table.confirmation.age_s(now_s) <= MAX_UNSERIALIZED_AGE_S


def check_quota(
    table: JobTable, job: NewJob, route: Route, now_s: float
) -> QuotaCheck:
    """Check a job against what its organisation has waiting on the route."""
    limit = route.batch.max_waiting_tokens if route.batch else 0
    if not limit:
        return QuotaCheck(fits=True)
    organisation = job.record.organisation
    waiting = table.waiting_tokens(route.name, organisation) + job.tokens
    if waiting > limit:
        return QuotaCheck(fits=False)
    if (
        is_recent(table, now_s)
        and waiting <= limit * UNSERIALIZED_QUOTA_SHARE
        and job.tokens <= limit * UNSERIALIZED_JOB_SHARE
    ):
        return QuotaCheck(fits=True)
    name = quota_name(route.name, organisation)
    return QuotaCheck(
        fits=True, revision=table.quota_revisions.get(name, ABSENT)
    )


def note_order(
    table: JobTable,
    job: NewJob,
    route: Route,
    quota: QuotaCheck,
    revision: int,
) -> None:
    """Let the next job follow one that was written at a revision.

    Only if no other entry can have accepted one that the table lacks.
    """
    if quota.revision is not None:
        name = quota_name(route.name, job.record.organisation)
        table.note_quota(name, revision)


def acceptance_transaction(
    job: NewJob,
    route: Route,
    state: JobState,
    quota: QuotaCheck,
) -> Transaction:
    """Return the transaction that writes a job, its state and bodies."""
    job_id = job.record.job_id
    conditions = {f'{JOB_PREFIX}{job_id}': ABSENT}
    name = quota_name(route.name, job.record.organisation)
    quota_key = f'{QUOTA_PREFIX}{name}'
    if quota.revision is not None:
        conditions[quota_key] = quota.revision
    puts = [
        Put(f'{JOB_PREFIX}{job_id}', job.record.pack()),
        Put(f'{STATE_PREFIX}{job_id}', state.pack()),
    ]
    if route.batch is not None and route.batch.max_waiting_tokens:
        puts.append(Put(quota_key, job_id.encode()))
    puts.extend(
        Put(body_key(job_id, part), body) for part, body in job.bodies.items()
    )
    return Transaction(conditions, tuple(puts))


def excess_of(
    job: NewJob,
    route: Route,
    state: JobState,
    limits: TransactionLimits,
) -> str:
    """Return what of a job the store can never keep; empty if nothing.

    Includes the state that the job will have with all its results.
    """
    strictest = QuotaCheck(fits=True, revision=ABSENT)
    accepted = acceptance_transaction(job, route, state, strictest)
    final_state = largest_state(
        job.record, state.owner_id, state.owner_instance
    )
    state_key = f'{STATE_PREFIX}{job.record.job_id}'
    listed = Transaction(puts=(Put(state_key, final_state.pack()),))
    return limits.excess(accepted) or limits.excess(listed)
