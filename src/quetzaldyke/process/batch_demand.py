"""Sends the demand for batch items to sidecars, with few messages.

A sidecar subtracts the items that it grants from the demand. A demand is sent
again when the sidecar's remaining count is low or far too high, when the job's
slack has changed, and at a regular interval.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from quetzaldyke.connection.messages import BatchDemand, BatchGrant
from quetzaldyke.connection.peer import PeerSession
from quetzaldyke.version.configuration import Configuration

# A demand is sent again after this time, because a sidecar drops a demand whose
# grant expired unused.
RENEW_INTERVAL_S: Final = 2.0
# A demand is sent again when fewer items than this remain at the sidecar.
LOW_REMAINING: Final = 16
# A smaller change of the slack doesn't change the order of jobs.
MIN_SLACK_CHANGE_S: Final = 30.0


@dataclass(frozen=True, slots=True)
class JobDemand:
    """Items of one job that wait at this entry."""

    pool: str
    organisation: str
    job_id: str
    count: int
    slack_s: float


@dataclass(slots=True)
class SentDemand:
    """The last demand for one job that one sidecar was sent."""

    demand: JobDemand
    remaining: int
    sent_s: float

    def is_outdated(self, latest: JobDemand, now_s: float) -> bool:
        """Return whether the sidecar must be sent the latest demand."""
        if not latest.count:
            return self.remaining > 0
        if self.remaining < min(latest.count, LOW_REMAINING):
            return True
        if self.remaining > 2 * latest.count:
            return True
        changed_s = abs(latest.slack_s - self.demand.slack_s)
        if changed_s >= MIN_SLACK_CHANGE_S:
            return True
        return now_s - self.sent_s >= RENEW_INTERVAL_S


@dataclass(slots=True)
class SentDemands:
    """The last demand that was sent, by session and job."""

    sent: dict[tuple[int, str], SentDemand] = field(default_factory=dict)

    def send_if_outdated(
        self,
        session: PeerSession,
        latest: JobDemand,
        now_s: float,
    ) -> None:
        """Send a demand unless the last one that was sent is still valid."""
        key = (id(session), latest.job_id)
        previous = self.sent.get(key)
        if previous is None and not latest.count:
            return
        if previous is not None and not previous.is_outdated(latest, now_s):
            return
        self.sent[key] = SentDemand(latest, latest.count, now_s)
        session.send(
            BatchDemand(
                latest.pool,
                latest.organisation,
                latest.job_id,
                latest.count,
                latest.slack_s,
            ),
        )

    def return_grant(self, session: PeerSession, grant: BatchGrant) -> None:
        """Return a grant that can't be used, by a demand for no items.

        The organisation is left empty when no demand for the job is known.
        """
        previous = self.sent.pop((id(session), grant.job_id), None)
        organisation = previous.demand.organisation if previous else ''
        session.send(
            BatchDemand(grant.pool, organisation, grant.job_id, 0, 0),
        )

    def subtract_grant(self, session: PeerSession, grant: BatchGrant) -> None:
        """Subtract a grant from the items that remain at the sidecar."""
        previous = self.sent.get((id(session), grant.job_id))
        if previous is not None:
            previous.remaining = max(0, previous.remaining - grant.count)

    def resend_soon(self, session: PeerSession, job_id: str) -> None:
        """Have a job's demand sent again, after the sidecar refused a start."""
        self.sent.pop((id(session), job_id), None)

    def keep_sessions(self, sessions: Iterable[PeerSession]) -> None:
        """Forget the demands sent over sessions that have ended."""
        alive = {id(session) for session in sessions}
        for key in list(self.sent):
            if key[0] not in alive:
                self.sent.pop(key)


def pools_for_batch(
    configuration: Configuration,
    pool: str,
    at_risk: bool,
) -> list[str]:
    """Return the pools whose endpoints may run a pool's batch items.

    These are the pool itself and the pools that lend to it for batch work and
    serve the same model. A rule with `when: at_risk` counts only for a job at
    risk.
    """
    own = configuration.pools.get(pool)
    if own is None:
        return [pool]
    lenders = {
        rule.lender
        for rule in configuration.lending
        if rule.borrower == pool
        and rule.work == 'batch'
        and (rule.when == 'idle' or at_risk)
        and same_model(configuration, pool, rule.lender)
    }
    return [pool, *sorted(lenders - {pool})]


def same_model(configuration: Configuration, left: str, right: str) -> bool:
    """Return whether two pools serve the same model and version.

    A pool without a model name serves the model of its own name.
    """
    models = [
        (configuration.pools[name].model or name) for name in (left, right)
    ]
    return models[0] == models[1]
