"""Tests of requests that an old configuration would decide."""

from __future__ import annotations

from pathlib import Path
from typing import Any
from unittest import mock

import anyio
import pytest
from anyio.abc import TaskGroup
from result import Ok, Result

from gateway_kit import FakeStore, FakeTime
from key_rig import encode_record
from quetzaldyke.gateway.entry import Entry
from quetzaldyke.gateway.watch_start import start_watchers
from quetzaldyke.parts.kv import KvError, Record
from quetzaldyke.parts.transactions import Snapshot, WatchBatch
from quetzaldyke.platform import names
from quetzaldyke.platform.store import PlatformStore
from test_outage_members import make_entry

pytestmark = pytest.mark.anyio
OLD_PATH = '/p/x'
NEW_PATH = '/q/x'
# The routes of the next version are below another prefix.
OLD_VERSION = encode_record(1, [])
NEW_VERSION = encode_record(2, []).replace(b'/p/', b'/q/')


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


def start(tmp_path: Path, time: FakeTime) -> Entry:
    """Return an entry that has just read the old version."""
    entry = make_entry(tmp_path / 'log')
    entry.configurations.now = time.read
    start_watchers(entry, mock.Mock(spec=TaskGroup))
    watcher = entry.sharing.watched[names.OPERATOR_PREFIX]
    watcher.now = time.read
    watcher.revision = 1
    watcher.confirmation.note(time.now_s, 'e1')
    watcher.on_success()
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
