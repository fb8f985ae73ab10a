"""Registers this entry under a lease and selects orphaned jobs to take over.

Leases show which entries run, but they only decide which entry attempts a
takeover. A job's state is changed by conditional transactions, so two entries
that both consider themselves the owner of a job can't both list results. Jobs
of a lost entry go to the entry that ranks first for them in rendezvous
hashing, once the store has been reachable for long enough that a store outage
can't have caused the lease to lapse.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import Final

from result import Err, Ok

from quetzaldyke.gateway.job_records import MEMBER_PREFIX, Member
from quetzaldyke.gateway.job_table import JobTable, JobView
from quetzaldyke.gateway.logs import log_event
from quetzaldyke.parts.rendezvous import first_for
from quetzaldyke.parts.transactions import (
    Put,
    Transaction,
    TransactionalStore,
)

LEASE_TTL_S: Final = 3.0
RENEWAL_INTERVAL_S: Final = 1.0
# An owner whose lease has lapsed gets this long to register again.
OWNER_GRACE_S: Final = 0.7
# Time after a store outage for entries to renew the leases that lapsed in it.
OUTAGE_GRACE_S: Final = 2.5


@dataclass(slots=True)
class Registration:
    """The leased member record of this entry."""

    store: TransactionalStore
    member: Member
    lease_id: int = 0
    # Whether the record was certainly written under the lease.
    written: bool = False
    ended: bool = False
    # Called when the lease was renewed.
    on_renewed: Callable[[], None] = lambda: None

    @property
    def key(self) -> str:
        """Return the key of the member record."""
        return f'{MEMBER_PREFIX}{self.member.owner_id}'

    async def renew(self) -> None:
        """Renew the lease, or register again if it has lapsed.

        Other errors of the store leave the registration as it is.
        """
        if self.ended:
            return
        if self.lease_id:
            answer = await self.store.renew_lease(self.lease_id)
            if isinstance(answer, Ok):
                self.on_renewed()
                if not self.written:
                    await self.register()
                return
            if answer.err_value.kind != 'no_lease':
                return
            log_event('lease_lapsed', lease=self.lease_id)
            self.lease_id = 0
        await self.register()

    async def register(self) -> None:
        """Write the member record under the lease; obtain one if needed.

        The entry stays unregistered if either call fails. A write without an
        answer may be applied later, so it is repeated under the same lease:
        under another, the late one would leave the record to a lease that is
        not renewed.
        """
        self.written = False
        if not self.lease_id:
            granted = await self.store.grant_lease(LEASE_TTL_S)
            if isinstance(granted, Err):
                return
            self.lease_id = granted.ok_value.lease_id
        written = await self.store.transact(
            Transaction(
                {}, (Put(self.key, self.member.pack(), self.lease_id),)
            ),
        )
        if isinstance(written, Err):
            return
        self.written = True
        log_event('registered', lease=self.lease_id, revision=written.ok_value)

    async def end(self) -> None:
        """Revoke the lease, so that other entries take over at once."""
        self.ended = True
        if self.lease_id:
            await self.store.revoke_lease(self.lease_id)


@dataclass(slots=True)
class Ownership:
    """Decides which jobs of lost owners this entry takes over."""

    table: JobTable
    member: Member
    # When each owner was first found without a member record.
    missing_since: dict[str, float]

    @classmethod
    def of(cls, table: JobTable, member: Member) -> Ownership:
        """Return an instance that has found no owner missing yet."""
        return cls(table, member, {})

    def orphans(
        self,
        now_s: float,
        store_up_since_s: float,
        alive: Collection[str],
    ) -> list[str]:
        """Return the jobs that this entry should take over now.

        `alive` are the entries whose load reports are arriving. Shortly
        after a store outage, only jobs of earlier processes of this instance
        are returned.
        """
        members = self.table.members
        owners = {
            view.state.owner_id: view.state.owner_instance
            for view in self.table.jobs.values()
            if view.open and view.state is not None
        }
        gone = {
            owner
            for owner, instance in owners.items()
            if self.is_gone(owner, instance, now_s, alive)
        }
        for owner in list(self.missing_since):
            if owner in members or owner not in owners:
                del self.missing_since[owner]
        if now_s - store_up_since_s < OUTAGE_GRACE_S:
            gone = {
                owner for owner in gone if self.is_predecessor(owners[owner])
            }
        return [
            job_id
            for job_id, view in self.table.jobs.items()
            if view.open and self.should_take_over(job_id, view, gone)
        ]

    def is_gone(
        self,
        owner_id: str,
        instance: str,
        now_s: float,
        alive: Collection[str],
    ) -> bool:
        """Return whether the process of an owner has ended.

        That is so for an earlier process of this instance, and for an owner
        that has had neither a member record nor load reports for the grace
        period.
        """
        if owner_id == self.member.owner_id:
            return False
        if self.is_predecessor(instance):
            return True
        if owner_id in self.table.members or owner_id in alive:
            self.missing_since.pop(owner_id, None)
            return False
        since_s = self.missing_since.setdefault(owner_id, now_s)
        return now_s - since_s >= OWNER_GRACE_S

    def is_predecessor(self, instance: str) -> bool:
        """Return whether the owner was an earlier process of this instance."""
        return instance == self.member.instance

    def should_take_over(
        self,
        job_id: str,
        view: JobView,
        gone: Collection[str],
    ) -> bool:
        """Return whether a job is orphaned and this entry's to take over."""
        assert view.state is not None
        if view.state.owner_id not in gone:
            return False
        if self.is_predecessor(view.state.owner_instance):
            return True
        candidates = {*self.table.members, self.member.owner_id}
        return first_for(candidates, job_id) == self.member.owner_id
