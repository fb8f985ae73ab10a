"""Tells sidecars which items wait here, with few messages.

A sidecar counts its demand down by what it grants. A demand is sent again
when the sidecar may have run out, asks for too much, or after a while.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from quetzaldyke.connection.messages import BatchDemand, BatchGrant
from quetzaldyke.connection.peer import PeerSession
from quetzaldyke.version.configuration import Configuration

# A demand is renewed after this time, because a sidecar forgets one whose
# grant was not used.
RENEW_S: Final = 2.0
# Below this rest at a sidecar more items are announced.
LOW_REST: Final = 16
# A change of the slack by less does not change the order of jobs.
SLACK_CHANGE_S: Final = 30.0


@dataclass(frozen=True, slots=True)
class JobDemand:
    """Items of one job that wait at this entry."""

    pool: str
    organisation: str
    job_id: str
    count: int
    slack_s: float


@dataclass(slots=True)
class Announced:
    """What one sidecar was last told of one job."""

    demand: JobDemand
    rest: int
    sent_s: float

    def outdated(self, latest: JobDemand, now_s: float) -> bool:
        """Tell whether the sidecar needs the latest demand."""
        if not latest.count:
            return self.rest > 0
        if self.rest < min(latest.count, LOW_REST):
            return True
        if self.rest > 2 * latest.count:
            return True
        changed_s = abs(latest.slack_s - self.demand.slack_s)
        if changed_s >= SLACK_CHANGE_S:
            return True
        return now_s - self.sent_s >= RENEW_S


@dataclass(slots=True)
class DemandBook:
    """Demands that were sent, by session and job."""

    announced: dict[tuple[int, str], Announced] = field(default_factory=dict)

    def announce(
        self,
        session: PeerSession,
        latest: JobDemand,
        now_s: float,
    ) -> None:
        """Send a demand if the sidecar's knowledge of it is outdated."""
        key = (id(session), latest.job_id)
        known = self.announced.get(key)
        if known is None and not latest.count:
            return
        if known is not None and not known.outdated(latest, now_s):
            return
        self.announced[key] = Announced(latest, latest.count, now_s)
        session.send(
            BatchDemand(
                latest.pool,
                latest.organisation,
                latest.job_id,
                latest.count,
                latest.slack_s,
            ),
        )

    def withdraw(self, session: PeerSession, grant: BatchGrant) -> None:
        """Give a grant back that can't be used now."""
        known = self.announced.pop((id(session), grant.job_id), None)
        organisation = known.demand.organisation if known else ''
        session.send(
            BatchDemand(grant.pool, organisation, grant.job_id, 0, 0),
        )

    def granted(self, session: PeerSession, grant: BatchGrant) -> None:
        """Count a grant off the announced items."""
        known = self.announced.get((id(session), grant.job_id))
        if known is not None:
            known.rest = max(0, known.rest - grant.count)

    def refused(self, session: PeerSession, job_id: str) -> None:
        """Announce again soon, because a start was refused."""
        self.announced.pop((id(session), job_id), None)

    def keep_only(self, sessions: Iterable[PeerSession]) -> None:
        """Forget sessions that have ended."""
        alive = {id(session) for session in sessions}
        for key in list(self.announced):
            if key[0] not in alive:
                self.announced.pop(key)


def lenders_of(
    configuration: Configuration,
    pool: str,
    at_risk: bool,
) -> list[str]:
    """Return the pools whose endpoints may run a pool's batch items now."""
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
    """Tell whether two pools serve the same model and version.

    A pool without a model name serves the model of its own name.
    """
    models = [
        (configuration.pools[name].model or name) for name in (left, right)
    ]
    return models[0] == models[1]
