"""Tests of requests that an old configuration would decide."""

from __future__ import annotations

from pathlib import Path
from typing import Any
from unittest import mock

import anyio
import pytest
from anyio.abc import TaskGroup
from result import Err, Ok, Result

from gateway_kit import FakeStore, FakeTime
from key_rig import encode_record
from quetzaldyke.gateway.configuration_reads import RETRY_S
from quetzaldyke.gateway.entry import Entry
from quetzaldyke.gateway.entry_process import start_watchers
from quetzaldyke.gateway.watch_repair import start_repair
from quetzaldyke.parts.kv import KvError, Record
from quetzaldyke.parts.transactions import Snapshot, WatchBatch
from quetzaldyke.platform import names
from quetzaldyke.platform.store import PlatformStore
from test_outage_members import lose_store, make_entry

pytestmark = pytest.mark.anyio
OLD_PATH = '/p/x'
NEW_PATH = '/q/x'
# The routes of the next version are below another prefix.
OLD_VERSION = encode_record(1, None)
NEW_VERSION = encode_record(2, None).replace(b'/p/', b'/q/')


@pytest.fixture
def anyio_backend() -> str:
    """Run on the backend that the processes use."""
    return 'asyncio'


class QuietStore(FakeStore):
    """A store whose first watch returns nothing; later ones never return."""

    watches: int = 0

    async def watch(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> Result[WatchBatch, KvError]:
        """Return no changes, once."""
        self.watches += 1
        if self.watches > 1:
            await anyio.sleep_forever()
        return Ok(WatchBatch([], after_revision))


async def stay_silent(*_: object) -> None:
    """Never answer a call."""
    await anyio.sleep_forever()


def start(tmp_path: Path, time: FakeTime) -> Entry:
    """Return an entry that has just read the old version."""
    entry = make_entry(tmp_path / 'log')
    entry.configurations.now = time.read
    start_watchers(entry, mock.Mock(spec=TaskGroup))
    start_repair(entry, mock.Mock(spec=TaskGroup))
    watcher = entry.sharing.watched[names.OPERATOR_PREFIX]
    watcher.now = time.read
    watcher.revision = 1
    watcher.confirmation.note(time.now_s, 'e1')
    record = Record(names.CONFIG_KEY, OLD_VERSION, 1)
    entry.configurations.on_snapshot(Snapshot([record], 1))
    entry.synced.set()
    return entry


async def status_of(entry: Entry, path: str) -> int:
    """Send a request; return the status of its answer."""
    sent: list[Any] = []
    body = [{'type': 'http.request', 'body': b'', 'more_body': False}]

    async def receive() -> dict[str, Any]:
        if body:
            return body.pop()
        await anyio.sleep_forever()
        return {}

    async def send(message: Any) -> None:
        sent.append(message)

    scope = {
        'type': 'http',
        'method': 'POST',
        'path': path,
        'raw_path': path.encode(),
        'query_string': b'',
        'headers': [(b'host', b'h.example'), (b'attempt-id', b'r1')],
    }
    await entry.ingress(scope, receive, send)
    return int(sent[0]['status'])


async def test_route_that_ended_is_not_used_after_the_promise(
    tmp_path: Path,
) -> None:
    """Guards against requests that an outdated version decides.

    Nothing has told the entry of the next version, and the store answers.
    """
    time = FakeTime()
    entry = start(tmp_path, time)
    record = Record(names.CONFIG_KEY, NEW_VERSION, 2)
    get = mock.AsyncMock(return_value=Ok(record))
    time.now_s += entry.installation.bounds.config_apply_s
    with mock.patch.object(PlatformStore, 'get', get):
        assert await status_of(entry, OLD_PATH) == 404
    assert entry.configurations.version == 2


async def test_requests_share_one_read(tmp_path: Path) -> None:
    """Guards against calls to the store that grow with the requests."""
    time = FakeTime()
    entry = start(tmp_path, time)

    async def answer(*_: object) -> Ok[Record]:
        await anyio.sleep(0.05)
        return Ok(Record(names.CONFIG_KEY, NEW_VERSION, 2))

    get = mock.AsyncMock(side_effect=answer)
    time.now_s += entry.installation.bounds.config_apply_s
    statuses: list[int] = []

    async def ask() -> None:
        statuses.append(await status_of(entry, OLD_PATH))

    with mock.patch.object(PlatformStore, 'get', get):
        async with anyio.create_task_group() as group:
            for _ in range(20):
                group.start_soon(ask)
    assert statuses == [404] * 20
    assert get.await_count == 1


async def test_items_do_not_wait_for_a_request(tmp_path: Path) -> None:
    """Guards against items that run by an old version at an idle entry."""
    time = FakeTime()
    entry = start(tmp_path, time)
    record = Record(names.CONFIG_KEY, NEW_VERSION, 2)
    get = mock.AsyncMock(return_value=Ok(record))
    time.now_s += entry.installation.bounds.config_apply_s
    with mock.patch.object(PlatformStore, 'get', get):
        with anyio.move_on_after(5):
            async with anyio.create_task_group() as group:
                group.start_soon(entry.timers.run)
                while entry.configurations.version < 2:
                    await anyio.sleep(0.01)
                group.cancel_scope.cancel()
    assert entry.configurations.version == 2


async def test_outage_delays_no_request(tmp_path: Path) -> None:
    """Guards against callers that wait while nobody can know a new version.

    Their routes go on being served, and none is denied.
    """
    time = FakeTime()
    entry = start(tmp_path, time)
    lose_store(entry)
    get = mock.AsyncMock(side_effect=stay_silent)
    time.now_s += 10 * entry.installation.bounds.config_apply_s
    with mock.patch.object(PlatformStore, 'get', get), anyio.fail_after(5):
        assert await status_of(entry, OLD_PATH) == 503
        assert await status_of(entry, NEW_PATH) == 503
    assert not get.await_count


@pytest.mark.parametrize('silent', [False, True])
async def test_failed_read_delays_few_requests(
    tmp_path: Path, silent: bool
) -> None:
    """Guards against each request waiting for a read that fails.

    The store still counts as up at that moment.
    """
    time = FakeTime()
    entry = start(tmp_path, time)
    get = mock.AsyncMock(return_value=Err(KvError('unavailable')))
    if silent:
        get.side_effect = stay_silent
    time.now_s += entry.installation.bounds.config_apply_s
    with mock.patch.object(PlatformStore, 'get', get), anyio.fail_after(5):
        for _ in range(20):
            assert await status_of(entry, NEW_PATH) == 503
        assert get.await_count == 1
        time.now_s += RETRY_S
        assert await status_of(entry, NEW_PATH) == 503
        assert get.await_count == 2


async def test_cut_watches_do_not_make_the_configuration_old(
    tmp_path: Path,
) -> None:
    """Guards against a 503 for an unknown route while watches are cut.

    The store ends each watch before its wait is over, and answers all else.
    """
    time = FakeTime()
    entry = start(tmp_path, time)
    record = Record(names.CONFIG_KEY, OLD_VERSION, 1)
    get = mock.AsyncMock(return_value=Ok(record))
    with mock.patch.object(PlatformStore, 'get', get):
        for _ in range(20):
            time.now_s += entry.installation.bounds.config_apply_s / 4
            assert await status_of(entry, NEW_PATH) == 404


async def test_short_watch_without_changes_does_not_confirm_the_routes(
    tmp_path: Path,
) -> None:
    """Guards against a 404 for a route that was added a moment ago.

    Watches hear nothing for a moment before a store drops its history.
    """
    time = FakeTime()
    entry = start(tmp_path, time)
    time.now_s += entry.installation.bounds.config_apply_s
    watcher = entry.sharing.watched[names.OPERATOR_PREFIX]
    watcher.store = store = QuietStore()
    # A call after a failed one does not wait.
    watcher.failures = 1
    with anyio.move_on_after(5):
        async with anyio.create_task_group() as group:
            group.start_soon(watcher.run)
            while store.watches < 2:
                await anyio.sleep(0.01)
            group.cancel_scope.cancel()
    assert not entry.configurations.is_current()
