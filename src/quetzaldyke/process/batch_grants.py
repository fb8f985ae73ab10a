"""Grants that allow entries to start batch items at one endpoint.

Entries send demands; lending rules let pools use each other's slots. A grant
says that a slot is free now. It expires by this process's clock, which bounds
how late a paused owner of a segment can still start an item.
"""

from __future__ import annotations

import itertools
import math
from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from quetzaldyke.connection.messages import BatchDemand, BatchGrant, Submit
from quetzaldyke.connection.peer import PeerSession
from quetzaldyke.parts.fair_order import fade_use
from quetzaldyke.version.configuration import EMPTY, Configuration

GRANT_TTL_S: Final = 2.0
# Slack is rounded down to this step, so that jobs whose slack differs by less
# can count as equally urgent.
EQUAL_SLACK_S: Final = 60.0
MAX_SLACK_S: Final = 1e9
# Share of an organisation's past grants that still counts after one interval.
USE_DECAY_FACTOR: Final = 0.5
USE_DECAY_INTERVAL_S: Final = 10.0


def clamp_slack(slack_s: float) -> float:
    """Return a finite slack that can be sorted and rounded; NaN gives 0.

    >>> clamp_slack(float('inf')) == MAX_SLACK_S
    True
    """
    if math.isnan(slack_s):
        return 0
    return max(-MAX_SLACK_S, min(MAX_SLACK_S, slack_s))


class DemandKey(NamedTuple):
    """Connection, pool, organisation and job of a demand.

    `session_id` is the `id()` of the session object.
    """

    session_id: int
    pool: str
    organisation: str
    job_id: str


@dataclass(slots=True)
class Demand:
    """Number of items of one job that wait at one entry."""

    session: PeerSession
    key: DemandKey
    count: int
    slack_s: float


@dataclass(slots=True)
class Grant:
    """Permission to start some batch items before it expires."""

    key: DemandKey
    session: PeerSession
    count: int
    expires_s: float
    used: bool = False


@dataclass(slots=True)
class BatchGrants:
    """Demands and outstanding grants of one endpoint."""

    pool: str
    configuration: Configuration = EMPTY
    demands: dict[DemandKey, Demand] = field(default_factory=dict)
    grants: dict[int, Grant] = field(default_factory=dict)
    recent_use: dict[str, float] = field(
        default_factory=lambda: defaultdict(float)
    )
    last_decay_s: float = 0.0
    grant_ids: Iterator[int] = field(default_factory=lambda: itertools.count(1))

    def set_demand(self, session: PeerSession, message: BatchDemand) -> None:
        """Replace an entry's demand for a job; a count of 0 withdraws it.

        Messages of a connection arrive in order. A count that was sent before
        a grant was read still includes the granted items, so these are
        subtracted.
        """
        key = DemandKey(
            id(session),
            message.pool,
            message.organisation,
            message.job_id,
        )
        if message.count <= 0:
            self.withdraw(key)
            return
        granted = sum(
            grant.count for grant in self.grants.values() if grant.key == key
        )
        self.demands[key] = Demand(
            session,
            key,
            max(0, message.count - granted),
            clamp_slack(message.slack_s),
        )

    def withdraw(self, key: DemandKey) -> None:
        """Remove an entry's demand and grants for a job.

        The organisation is not compared: an entry that returns a grant may not
        know it.
        """

        def same_job(other: DemandKey) -> bool:
            return other._replace(organisation=key.organisation) == key

        self.drop_grants(lambda grant: same_job(grant.key))
        for other in list(self.demands):
            if same_job(other):
                self.demands.pop(other)

    def drop_grants(self, unwanted: Callable[[Grant], bool]) -> None:
        """Remove the grants for which `unwanted` returns True."""
        for grant_id, grant in list(self.grants.items()):
            if unwanted(grant):
                self.grants.pop(grant_id)

    def drop_session(self, session: PeerSession) -> None:
        """Remove the demands and grants of a lost connection."""
        self.drop_grants(lambda grant: grant.session is session)
        for key in list(self.demands):
            if key.session_id == id(session):
                self.demands.pop(key)

    def drop_job(self, job_id: str) -> None:
        """Remove the demands and grants of a cancelled job."""
        self.drop_grants(lambda grant: grant.key.job_id == job_id)
        for key in list(self.demands):
            if key.job_id == job_id:
                self.demands.pop(key)

    def clear(self) -> None:
        """Remove all demands and grants."""
        self.demands.clear()
        self.grants.clear()

    def outstanding(self, pool: str | None = None) -> int:
        """Return the granted items not yet started, of one pool or of all."""
        return sum(
            grant.count
            for grant in self.grants.values()
            if pool is None or grant.key.pool == pool
        )

    def expire(self, now_s: float) -> None:
        """Remove expired grants.

        If no item of a grant was started, its demand is removed too, and the
        entry must send it again.
        """
        for grant_id, grant in list(self.grants.items()):
            if grant.expires_s <= now_s:
                self.grants.pop(grant_id)
                if not grant.used:
                    self.demands.pop(grant.key, None)

    def consume(
        self, session: PeerSession, submit: Submit, now_s: float
    ) -> bool:
        """Use one item of a grant; return False if there is no valid grant.

        A grant is valid until it expires, and only for its connection, pool,
        organisation and job.
        """
        grant = self.grants.get(submit.grant_id)
        if grant is None or grant.expires_s <= now_s:
            return False
        key = DemandKey(
            id(session),
            submit.pool,
            submit.organisation,
            submit.job_id,
        )
        if grant.key != key:
            return False
        grant.used = True
        grant.count -= 1
        if not grant.count:
            self.grants.pop(submit.grant_id)
        return True

    def share(self, pool: str, work_class: str, at_risk: bool) -> float:
        """Return the share of this endpoint's slots that a pool may use.

        This is 1 for the endpoint's own pool and 0 without a lending rule.
        """
        if pool == self.pool:
            return 1
        return max(
            (
                rule.max_share
                for rule in self.configuration.lending
                if rule.borrower == pool
                and rule.lender == self.pool
                and rule.work == work_class
                and (rule.when == 'idle' or at_risk)
            ),
            default=0,
        )

    def slot_quota(
        self, pool: str, work_class: str, at_risk: bool, limit: int
    ) -> int:
        """Return the number of slots, out of `limit`, that a pool may use."""
        return math.floor(self.share(pool, work_class, at_risk) * limit)

    def weight(self, organisation: str) -> float:
        """Return an organisation's weight, 1 if it is not configured."""
        configured = self.configuration.organisations.get(organisation)
        return configured.weight if configured else 1

    def priority_key(self, demand: Demand) -> tuple[float, float, float]:
        """Return a sort key: slack in steps, then recent use, then slack."""
        return (
            math.floor(demand.slack_s / EQUAL_SLACK_S),
            self.recent_use[demand.key.organisation],
            demand.slack_s,
        )

    def allocate(
        self,
        room: int,
        limit: int,
        running_by_pool: dict[str, int],
        now_s: float,
    ) -> list[tuple[PeerSession, BatchGrant]]:
        """Divide free slots among the demands and return the new grants.

        Slots are allocated one at a time, so that the recent use of the
        organisations is updated after each. `running_by_pool` counts the
        running batch streams of each pool.
        """
        self.decay_use(now_s)
        allocated: dict[DemandKey, int] = defaultdict(int)
        for _ in range(room):
            chosen = self.choose_demand(limit, running_by_pool, allocated)
            if chosen is None:
                break
            chosen.count -= 1
            allocated[chosen.key] += 1
            organisation = chosen.key.organisation
            self.recent_use[organisation] += 1 / self.weight(organisation)
        return [
            self.issue(key, count, now_s) for key, count in allocated.items()
        ]

    def choose_demand(
        self,
        limit: int,
        running_by_pool: dict[str, int],
        allocated: dict[DemandKey, int],
    ) -> Demand | None:
        """Return the demand that gets the next slot, or None."""
        eligible = [
            demand
            for demand in self.demands.values()
            if demand.count > 0
            and self.has_quota(demand, limit, running_by_pool, allocated)
        ]
        return min(eligible, key=self.priority_key, default=None)

    def has_quota(
        self,
        demand: Demand,
        limit: int,
        running_by_pool: dict[str, int],
        allocated: dict[DemandKey, int],
    ) -> bool:
        """Tell whether the demand's pool may use one more slot."""
        pool = demand.key.pool
        slots = self.slot_quota(pool, 'batch', demand.slack_s < 0, limit)
        used = running_by_pool.get(pool, 0) + self.outstanding(pool)
        used += sum(
            count for key, count in allocated.items() if key.pool == pool
        )
        return used < slots

    def issue(
        self,
        key: DemandKey,
        count: int,
        now_s: float,
    ) -> tuple[PeerSession, BatchGrant]:
        """Record a grant; return its session and the message to send."""
        grant_id = next(self.grant_ids)
        session = self.demands[key].session
        self.grants[grant_id] = Grant(key, session, count, now_s + GRANT_TTL_S)
        return session, BatchGrant(grant_id, key.pool, key.job_id, count)

    def decay_use(self, now_s: float) -> None:
        """Reduce the recent use once per interval, so that it evens out."""
        if now_s - self.last_decay_s < USE_DECAY_INTERVAL_S:
            return
        self.last_decay_s = now_s
        fade_use(self.recent_use, USE_DECAY_FACTOR)
