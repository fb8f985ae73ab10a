"""Tests of a store that ends watches while they wait for changes."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import anyio
import pytest
from result import Err, Ok, Result

from gateway_kit import FakeStore
from quetzaldyke.gateway.exchange import Failure
from quetzaldyke.gateway.http_client import HttpClient
from quetzaldyke.gateway.job_records import (
    ItemRecord,
    JobRecord,
    JobState,
    Member,
)
from quetzaldyke.gateway.job_table import JobTable
from quetzaldyke.gateway.membership import OWNER_GRACE_S, Ownership
from quetzaldyke.gateway.store_health import (
    MIN_WATCH_S,
    StoreHealth,
    is_cut_watch,
)
from quetzaldyke.gateway.watch import CATCH_UP_WAIT_S, PrefixWatcher
from quetzaldyke.parts.kv import KvError
from quetzaldyke.parts.transactions import WatchBatch
from quetzaldyke.platform.store import PlatformStore

pytestmark = pytest.mark.anyio
OWN = Member('me', 'i-me', '127.0.0.1', 1)
OTHER = Member('you', 'i-you', '127.0.0.1', 2)
WATCHES = 3


@pytest.fixture
def anyio_backend() -> str:
    """Run on the backend that the processes use."""
    return 'asyncio'


@asynccontextmanager
async def store_that_cuts(
    after_s: float,
) -> AsyncIterator[tuple[PlatformStore, StoreHealth]]:
    """Run a store that ends each connection after some time.

    Yields a client of it, and what that client makes of the store.
    """

    async def cut(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        await asyncio.sleep(after_s)
        writer.close()

    server = await asyncio.start_server(cut, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    client = HttpClient()
    health = StoreHealth()
    store = PlatformStore.from_address(
        f'127.0.0.1:{port}',
        client,
        lambda call, answered: health.note(answered=answered, now_s=50.0),
    )
    try:
        yield store, health
    finally:
        client.close()
        server.close()


def lost_job() -> JobTable:
    """Return a table with an open job of an entry that is lost."""
    table = JobTable()
    view = table.view('j')
    item = ItemRecord('x', '/p/x', (), 1, 0, 0, 0)
    view.record = JobRecord('j', 'r', 'h', 0, (item,))
    view.state = JobState(OTHER.owner_id, OTHER.instance)
    table.members = {OWN.owner_id: OWN}
    return table


async def test_jobs_of_a_lost_entry_go_on_while_watches_are_cut() -> None:
    """Guards against jobs that wait for a store that seems to fail."""
    cuts: list[str] = []
    async with store_that_cuts(MIN_WATCH_S * 1.5) as (store, health):
        store.on_cut = lambda: cuts.append('kv-watch')
        health.note(answered=True, now_s=1.0)
        for _ in range(WATCHES):
            answer = await store.watch('p/', 0, 2.0)
            assert isinstance(answer, Err)
            assert answer.err_value.kind == 'cut'
    assert len(cuts) == WATCHES
    assert health.up
    assert store.path.direct.up
    ownership = Ownership.of(lost_job(), OWN)
    assert not ownership.orphans(50.0, health.up_since_s, ())
    taken = ownership.orphans(50.1 + OWNER_GRACE_S, health.up_since_s, ())
    assert taken == ['j']


async def test_store_that_ends_each_call_at_once_is_down() -> None:
    """Guards against a failing store that counts as up."""
    async with store_that_cuts(0.0) as (store, health):
        for _ in range(WATCHES):
            answer = await store.watch('p/', 0, 2.0)
            assert isinstance(answer, Err)
    assert not health.up
    assert not store.path.direct.up


async def test_other_calls_are_never_cut() -> None:
    """Guards against a lost answer that counts as no failure."""
    async with store_that_cuts(MIN_WATCH_S * 1.5) as (store, health):
        answer = await store.get('k')
        assert isinstance(answer, Err)
        assert answer.err_value.kind == 'unknown'
    assert health.failures == 1


@pytest.mark.parametrize(
    'failure', [one for one in Failure if one is not Failure.BROKEN]
)
def test_only_an_ended_connection_is_a_cut(failure: Failure) -> None:
    """Guards against a store without an answer that counts as up."""
    assert not is_cut_watch(failure, 2.0)


@dataclass(slots=True)
class CuttingStore(FakeStore):
    """A store that ends each watch that waits."""

    waits_s: list[float] = field(default_factory=list)

    async def watch(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> Result[WatchBatch, KvError]:
        """Note the wait; answer only a watch that does not wait."""
        self.waits_s.append(wait_s)
        if wait_s > CATCH_UP_WAIT_S:
            return Err(KvError('cut'))
        return Ok(WatchBatch([], 1))


async def test_cut_watch_still_brings_changes() -> None:
    """Guards against changes that arrive only with the end of cut watches.

    What the configuration is confirmed by is in `test_configuration_floor.py`.
    """
    store = CuttingStore()
    watcher = PrefixWatcher(store, 'p/', lambda _: None, lambda *_: None)
    async with anyio.create_task_group() as group:
        group.start_soon(watcher.run)
        with anyio.fail_after(5):
            while len(store.waits_s) < 2:
                await anyio.sleep(0.01)
        group.cancel_scope.cancel()
    assert store.waits_s[:2] == [watcher.wait_s, CATCH_UP_WAIT_S]
