"""Tests of an entry's leased member record."""

from __future__ import annotations

from dataclasses import dataclass, field

import pytest
from result import Err, Ok, Result

from quetzaldyke.gateway.job_records import Member
from quetzaldyke.gateway.membership import Registration
from quetzaldyke.parts.kv import KvError
from quetzaldyke.parts.transactions import Lease, Transaction

pytestmark = pytest.mark.anyio

MEMBER = Member('m1', 'i1', '127.0.0.1', 1)


@pytest.fixture
def anyio_backend() -> str:
    """Run on the backend that the processes use."""
    return 'asyncio'


@dataclass(slots=True)
class LeaseStore:
    """The leases and the leased keys of a store that can lose answers."""

    # Outcomes of the next writes: `lost` loses the answer only, `late` applies
    # the write later.
    writes: list[str] = field(default_factory=list)
    leases: set[int] = field(default_factory=set)
    granted: int = 0
    # Lease by key.
    keys: dict[str, int] = field(default_factory=dict)
    late: list[Transaction] = field(default_factory=list)

    async def grant_lease(self, ttl_s: float) -> Result[Lease, KvError]:
        """Create a lease."""
        self.granted += 1
        self.leases.add(self.granted)
        return Ok(Lease(self.granted, ttl_s))

    async def renew_lease(self, lease_id: int) -> Result[None, KvError]:
        """Renew a lease that has not ended."""
        if lease_id in self.leases:
            return Ok(None)
        return Err(KvError('no_lease'))

    async def transact(self, transaction: Transaction) -> Result[int, KvError]:
        """Apply a write, or lose its answer; a late one is applied later."""
        outcome = self.writes.pop(0) if self.writes else 'applied'
        if outcome == 'late':
            self.late.append(transaction)
            return Err(KvError('unknown'))
        applied = self.apply(transaction)
        return Err(KvError('unknown')) if outcome == 'lost' else applied

    def apply(self, transaction: Transaction) -> Result[int, KvError]:
        """Write the keys of a transaction under their lease."""
        for put in transaction.puts:
            if put.lease_id not in self.leases:
                return Err(KvError('no_lease'))
            self.keys[put.key] = put.lease_id
        return Ok(1)

    def end_lease(self, lease_id: int) -> None:
        """End a lease, which deletes its keys."""
        self.leases.discard(lease_id)
        for key in [key for key, one in self.keys.items() if one == lease_id]:
            del self.keys[key]


def make_registration(store: LeaseStore) -> Registration:
    """Return the registration of `MEMBER`, not yet written."""
    return Registration(store, MEMBER)  # type: ignore[arg-type]


# Guards against an entry that renews a lease without its record and is taken
# for lost: its jobs are run by others, and its peers send it nothing.
@pytest.mark.parametrize('outcome', ['late', 'lost'])
async def test_record_stays_with_the_lease_that_is_renewed(
    outcome: str,
) -> None:
    """A write that is applied late leaves the record under the same lease."""
    store = LeaseStore([outcome])
    registration = make_registration(store)
    await registration.renew()
    await registration.renew()
    for transaction in store.late:
        store.apply(transaction)
    renewed = registration.lease_id
    for lease_id in store.leases - {renewed}:
        store.end_lease(lease_id)
    assert store.keys == {registration.key: renewed}
    assert store.granted == 1


async def test_lapsed_lease_is_replaced() -> None:
    """Guards against an entry that stays unregistered after a lapse."""
    store = LeaseStore()
    registration = make_registration(store)
    await registration.renew()
    store.end_lease(registration.lease_id)
    await registration.renew()
    assert store.keys == {registration.key: registration.lease_id}


async def test_lease_that_lapses_before_the_write_is_replaced() -> None:
    """Guards against writing under a lease that has ended for ever."""
    store = LeaseStore(['late'])
    registration = make_registration(store)
    await registration.renew()
    store.end_lease(registration.lease_id)
    store.writes = ['late']
    await registration.renew()
    await registration.renew()
    assert store.keys == {registration.key: registration.lease_id}
