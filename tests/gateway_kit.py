"""Builders and fakes shared by the tests of the gateway."""

from __future__ import annotations

import base64
import random
from dataclasses import dataclass, field
from typing import Final

from result import Err, Ok, Result

from quetzaldyke.gateway.dispatcher import Dispatcher
from quetzaldyke.gateway.endpoints import EndpointTable
from quetzaldyke.gateway.job_records import FLEET_PREFIX, JobTerms
from quetzaldyke.gateway.job_store import JobStore
from quetzaldyke.gateway.job_table import JobTable
from quetzaldyke.gateway.job_terms import terms_of_route
from quetzaldyke.gateway.loads import LoadTable, RequestCounts
from quetzaldyke.gateway.model import (
    BatchRouteOptions,
    Endpoint,
    EndpointState,
    Route,
    RouteKind,
    WeightedService,
)
from quetzaldyke.gateway.placement import PlacementPolicy
from quetzaldyke.gateway.route_table import RouteTable
from quetzaldyke.parts.kv import ErrorKind, KvError, Record
from quetzaldyke.parts.timers import Clock
from quetzaldyke.parts.transactions import (
    Lease,
    Snapshot,
    Transaction,
    WatchBatch,
    WatchedChange,
)
from quetzaldyke.standins.platform_store_state import StoreState


def make_endpoint(
    endpoint_id: str,
    *,
    failure_domain: str = 'a',
    slots: int = 4,
    state: EndpointState = 'ready',
    started_ms: int = 0,
) -> Endpoint:
    """Return an endpoint of the service `lm`."""
    return Endpoint(
        endpoint_id,
        'lm',
        '127.0.0.1',
        1,
        failure_domain,
        slots,
        state,
        started_ms,
    )


def make_route(
    kind: RouteKind = 'stream',
    *,
    resumable: bool = True,
    max_attempts: int = 2,
    cap: int = 0,
) -> Route:
    """Return a route to the service `lm`."""
    return Route(
        name='r',
        host='h.example',
        prefix='/p/',
        kind=kind,
        timeout_s=5.0,
        target_s=0.3,
        priority=0,
        max_attempts=max_attempts,
        resumable=resumable,
        max_gap_s=0.25,
        services=(WeightedService('lm', 1),),
        batch=BatchRouteOptions(18.0, 60.0, cap) if kind == 'batch' else None,
    )


def make_terms() -> JobTerms:
    """Return the terms of a batch route to the service `lm`."""
    return terms_of_route(make_route('batch'), version=1)


def make_table(*routes: Route, version: int = 1) -> RouteTable:
    """Return the routes of a configuration with the service `lm`."""
    return RouteTable(
        version,
        {},
        {route.name: route for route in routes},
        frozenset(('lm',)),
    )


# Kinds of errors by the status with which the store refuses a transaction.
REFUSALS: Final[dict[int, ErrorKind]] = {
    404: 'no_lease',
    412: 'conflict',
    413: 'too_large',
}


@dataclass(slots=True)
class FakeTime:
    """A clock whose time is set by tests."""

    now_s: float = 100.0

    def read(self) -> float:
        """Return the time in seconds."""
        return self.now_s


def make_dispatcher(
    time: FakeTime, *endpoints: Endpoint, seed: int = 1
) -> Dispatcher:
    """Return a dispatcher over the given endpoints.

    Simulated entries need different seeds: with one seed all of them would
    choose the same endpoint at the same moment.
    """
    generator = random.Random(seed)
    loads = LoadTable()
    table = EndpointTable()
    table.replace_all(endpoints, time.now_s)
    return Dispatcher(
        table,
        loads,
        PlacementPolicy('a', generator, loads),
        Clock(time.read),
        generator,
        is_engine=lambda service: True,
    )


def set_running(
    loads: LoadTable, endpoint_id: str, online: int, batch: int
) -> None:
    """Set this entry's request counts on an endpoint."""
    loads.own[endpoint_id] = RequestCounts(online, batch)


@dataclass(slots=True)
class FakeStore:
    """An in-memory store that injects the faults in `write_faults`.

    `unknown` loses the answer to a write that was applied; `dropped` loses
    the answer to a write that was not.
    """

    state: StoreState = field(default_factory=StoreState)
    write_faults: list[str] = field(default_factory=list)
    writes: int = 0

    async def get(
        self,
        key: str,
        *,
        stale: bool = False,
    ) -> Result[Record | None, KvError]:
        """Read one key."""
        item = self.state.items.get(key)
        if item is None:
            return Ok(None)
        return Ok(Record(key, item.value, item.revision))

    async def list_prefix(self, prefix: str) -> Result[Snapshot, KvError]:
        """Read a prefix."""
        records = [
            Record(key, item.value, item.revision)
            for key, item in self.state.items.items()
            if key.startswith(prefix)
        ]
        return Ok(Snapshot(records, self.state.revision))

    async def watch(
        self,
        prefix: str,
        after_revision: int,
        wait_s: float,
    ) -> Result[WatchBatch, KvError]:
        """Return the changes so far, without waiting."""
        changes = [
            WatchedChange(
                event.key,
                event.revision,
                event.item.value if event.item else None,
            )
            for event in self.state.events_after(prefix, after_revision)
        ]
        return Ok(WatchBatch(changes, self.state.revision))

    async def transact(self, transaction: Transaction) -> Result[int, KvError]:
        """Apply a transaction, or inject the next fault."""
        self.writes += 1
        fault = self.write_faults.pop(0) if self.write_faults else ''
        if fault == 'dropped':
            return Err(KvError('unknown'))
        if fault == 'unavailable':
            return Err(KvError('unavailable'))
        status, answer = self.state.transact(encode(transaction))
        if fault == 'unknown':
            return Err(KvError('unknown'))
        if status == 200:
            return Ok(int(answer['revision']))
        return Err(KvError(REFUSALS[status]))

    async def grant_lease(self, ttl_s: float) -> Result[Lease, KvError]:
        """Create a lease."""
        return Ok(Lease(self.state.grant(ttl_s), ttl_s))

    async def renew_lease(self, lease_id: int) -> Result[None, KvError]:
        """Extend a lease."""
        if lease_id in self.state.leases:
            return Ok(None)
        return Err(KvError('no_lease'))

    async def revoke_lease(self, lease_id: int) -> Result[None, KvError]:
        """End a lease."""
        self.state.revoke_lease(lease_id)
        return Ok(None)


def encode(transaction: Transaction) -> dict[str, object]:
    """Encode a transaction as the stand-in store expects it."""
    return {
        'if-rev': [
            {'key': key, 'revision': revision}
            for key, revision in transaction.conditions.items()
        ],
        'puts': [
            {
                'key': put.key,
                'value': base64.b64encode(put.value).decode(),
                'lease': put.lease_id,
            }
            for put in transaction.puts
        ],
        'deletes': list(transaction.deletes),
    }


@dataclass(slots=True)
class Node:
    """The job store and job table of one entry on a shared store."""

    store: JobStore
    table: JobTable

    @classmethod
    def of(cls, store: FakeStore, owner_id: str) -> Node:
        """Return a node with an empty job table."""
        table = JobTable()
        return cls(JobStore(store, table, owner_id, f'i-{owner_id}'), table)

    async def sync(self) -> None:
        """Load every change so far into the job table."""
        answer = await self.store.store.list_prefix(FLEET_PREFIX)
        assert isinstance(answer, Ok)
        self.table.apply_snapshot(answer.ok_value)
