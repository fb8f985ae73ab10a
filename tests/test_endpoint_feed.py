"""Tests of the endpoint list while other writers leave odd entries in it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final
from unittest import mock

import orjson
import pytest

from gateway_kit import FakeStore
from quetzaldyke.gateway.endpoint_feed import EndpointFeed
from quetzaldyke.gateway.endpoints import EndpointTable
from quetzaldyke.gateway.job_records import MEMBER_PREFIX, Member
from quetzaldyke.gateway.job_table import JobTable
from quetzaldyke.gateway.model import Endpoint
from quetzaldyke.gateway.watch import PrefixWatcher
from quetzaldyke.parts.transactions import WatchedChange

pytestmark = pytest.mark.anyio

PREFIX: Final = 'servers/'
ODD: Final = (
    b'[' * 200_000,
    b'{"service": "lm", "slots": 1e999}',
    b'\xff\xfe',
    b'null',
    b'',
)


@pytest.fixture
def anyio_backend() -> str:
    """Run on the backend that the processes use."""
    return 'asyncio'


def registration(state: str = 'ready', port: int = 80) -> bytes:
    """Return the registration of an endpoint."""
    return orjson.dumps(
        {
            'service': 'lm',
            'address': f'127.0.0.1:{port}',
            'zone': 'a',
            'slots': 2,
            'state': state,
        },
    )


@dataclass
class WatchedList:
    """An endpoint list in a store, and the table of an entry that reads it."""

    store: FakeStore = field(default_factory=FakeStore)
    table: EndpointTable = field(default_factory=EndpointTable)
    changes: int = 0

    def __post_init__(self) -> None:
        """Connect the table to a watch on the store."""
        self.feed = EndpointFeed(self.table, lambda: 0.0, self.count_change)
        self.watcher = PrefixWatcher(
            self.store, PREFIX, self.feed.on_snapshot, self.feed.on_changes
        )

    def count_change(self) -> None:
        """Count the changes that were passed on."""
        self.changes += 1

    def put(self, endpoint_id: str, raw: bytes) -> None:
        """Write an entry of the list."""
        self.store.state.put(f'{PREFIX}{endpoint_id}', raw, 0)

    def usable(self) -> set[str]:
        """Return the endpoints that may get a request."""
        return {one.endpoint_id for one in self.table.usable('lm', 0.0)}


@pytest.mark.parametrize('odd', [*ODD, registration(port=99_999)])
async def test_odd_entry_stops_no_watch(odd: bytes) -> None:
    """Guards against entries that end or stop following the list.

    The odd entry is there when the list is read, and comes again as a change
    together with others.
    """
    watched = WatchedList()
    watched.put('a', registration())
    watched.put('b', odd)
    watched.put('c', registration())
    assert await watched.watcher.poll()
    assert watched.usable() == {'a', 'c'}
    watched.put('b', odd)
    watched.put('d', registration())
    watched.put('c', registration('draining'))
    assert await watched.watcher.poll()
    assert watched.usable() == {'a', 'd'}
    assert watched.watcher.revision == watched.store.state.revision
    assert watched.changes == 2
    watched.put('e', registration())
    assert await watched.watcher.poll()
    assert watched.usable() == {'a', 'd', 'e'}


@pytest.mark.parametrize('state', ['ready', 'draining'])
@pytest.mark.parametrize('odd', ODD)
async def test_endpoint_with_an_unreadable_entry_gets_no_work(
    odd: bytes, state: str
) -> None:
    """Guards against use of an endpoint that the list no longer names.

    An entry that reads the whole list and one that follows its changes have
    to agree, also while registrations may have lapsed.
    """
    follower = WatchedList()
    follower.put('a', registration())
    follower.put('b', registration(state))
    assert await follower.watcher.poll()
    follower.table.outage_ended(0.0)
    follower.put('b', odd)
    reader = WatchedList(follower.store)
    assert await follower.watcher.poll()
    assert await reader.watcher.poll()
    assert follower.usable() == reader.usable() == {'a'}
    assert 'b' not in follower.table.by_id
    follower.put('b', registration())
    assert await follower.watcher.poll()
    assert follower.usable() == {'a', 'b'}


async def test_unreadable_entry_in_a_new_list_drops_the_endpoint() -> None:
    """Guards against a grace period for an entry that is there, but odd."""
    watched = WatchedList()
    watched.put('a', registration())
    assert await watched.watcher.poll()
    watched.put('a', b'[')
    watched.table.outage_ended(0.0)
    watched.watcher.revision = None
    assert await watched.watcher.poll()
    assert not watched.usable()


async def test_unexpected_error_is_left_to_its_entry() -> None:
    """Guards against a fault with one entry that hides the changes behind."""
    watched = WatchedList()
    assert await watched.watcher.poll()
    put = EndpointTable.put
    faults = [RecursionError()]

    def fail_once(table: EndpointTable, endpoint: Endpoint) -> None:
        if faults:
            raise faults.pop()
        put(table, endpoint)

    watched.put('a', registration())
    watched.put('b', registration())
    with mock.patch.object(EndpointTable, 'put', fail_once):
        assert await watched.watcher.poll()
    assert watched.usable() == {'b'}
    assert watched.changes == 2


async def test_unexpected_error_is_left_to_its_member() -> None:
    """Guards against a fault with one record that hides the members behind."""
    table = JobTable()
    seen: list[str] = []

    def fail(job_id: str) -> None:
        raise KeyError(job_id)

    table.on_job = fail
    table.on_members = lambda: seen.extend(table.members)
    member = Member('m', 'i', '127.0.0.1', 7_000)
    changes = [
        WatchedChange('quetzaldyke/fleet/end/j', 1, b'1'),
        WatchedChange(f'{MEMBER_PREFIX}m', 2, member.pack()),
    ]
    table.apply_changes(changes, 2)
    assert seen == ['m']
    assert table.revision == 2
