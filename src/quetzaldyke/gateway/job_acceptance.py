"""Decides whether a submitted job may be accepted, and what is written then.

Load pattern: callers submit many jobs at several entries at once, up to the
quota of a route, and send each again until it is accepted. A job that the
store can never keep has to be told apart from one that it can't keep now.
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
)
from quetzaldyke.gateway.job_table import JobTable
from quetzaldyke.gateway.model import Route
from quetzaldyke.gateway.new_job import NewJob
from quetzaldyke.parts.kv import ABSENT
from quetzaldyke.parts.transactions import Put, Transaction, TransactionLimits

# Below this share of the limit, jobs that other entries accept concurrently
# can't exceed it, so acceptances are not serialized on the quota key.
UNSERIALIZED_QUOTA_SHARE: Final = 0.5


@dataclass(frozen=True, slots=True)
class QuotaCheck:
    """Whether a job fits into the quota of its route."""

    fits: bool
    # Revision that the quota key must still have when the job is written; None
    # if any will do.
    revision: int | None = None


def check_quota(table: JobTable, job: NewJob, route: Route) -> QuotaCheck:
    """Check a job against the tokens that wait on its route."""
    limit = route.batch.max_waiting_tokens if route.batch else 0
    if not limit:
        return QuotaCheck(fits=True)
    waiting = table.waiting_tokens(route.name) + job.tokens
    if waiting > limit:
        return QuotaCheck(fits=False)
    if waiting <= limit * UNSERIALIZED_QUOTA_SHARE:
        return QuotaCheck(fits=True)
    revision = table.quota_revisions.get(route.name, ABSENT)
    return QuotaCheck(fits=True, revision=revision)


def acceptance_transaction(
    job: NewJob,
    route: Route,
    state: JobState,
    quota: QuotaCheck,
) -> Transaction:
    """Return the transaction that writes a job, its state and bodies."""
    job_id = job.record.job_id
    conditions = {f'{JOB_PREFIX}{job_id}': ABSENT}
    quota_key = f'{QUOTA_PREFIX}{route.name}'
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
