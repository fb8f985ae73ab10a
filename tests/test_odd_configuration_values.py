"""Tests of odd values at the keys of the configuration and its hint."""

from __future__ import annotations

from typing import Final
from unittest import mock

import msgpack
import pytest
from result import Err

from quetzaldyke.parts.kv import Change, Envelope, Record, read
from quetzaldyke.parts.memory_store import MemoryStore
from quetzaldyke.version.config_sync import ConfigSync
from quetzaldyke.version.store import CONFIG_KEY
from quetzaldyke.version.version_hint import VERSION_HINT_KEY, VersionHintReader

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    """Run on asyncio only."""
    return 'asyncio'


VALUES: Final = (
    b'',
    b'\xc1',
    b'\x91' * 200_000,
    msgpack.packb(7),
    msgpack.packb([['w'], b'x', 3]),
    msgpack.packb([['w'], b'\xc1']),
    msgpack.packb([['w'], msgpack.packb(['x', b'', [], ''])]),
    msgpack.packb([['w'], msgpack.packb([10**18, 5, [], ''])]),
    msgpack.packb([['w'], msgpack.packb([9, b'', [7], ''])]),
    msgpack.packb([['w'], 7]),
)


def make_sync(store: MemoryStore) -> tuple[ConfigSync, mock.Mock]:
    """Return a synchronisation on a store, and its log."""
    log_event = mock.Mock()
    holder = mock.Mock(version=1)
    holder.adopt_patches.return_value = False
    holder.adopt.side_effect = lambda version, document: len(document) >= 0
    sync = ConfigSync(
        store, holder, mock.Mock(), mock.Mock(), log_event, mock.Mock()
    )
    return sync, log_event


@pytest.mark.parametrize('raw', VALUES)
async def test_odd_configuration_value_ends_no_process(raw: bytes) -> None:
    """Guards against entries that end at each start while the value is odd."""
    store = MemoryStore()
    await store.put_if(CONFIG_KEY, raw, 0)
    sync, _ = make_sync(store)
    await sync.refresh()
    sync.on_watch_event(Change(Record(CONFIG_KEY, raw, 5), False))
    assert sync.last_revision == 5


async def test_odd_value_is_unknown() -> None:
    """Guards against a read that raises at a value of another form."""
    store = MemoryStore()
    await store.put_if('k', b'\xc1', 0)
    stored = await read(store, 'k')
    assert isinstance(stored, Err)
    assert stored.err_value.kind == 'unknown'


@pytest.mark.parametrize('payload', [b'x', b'-1', b'9' * 5_000, b'\xff'])
async def test_odd_version_hint_leads_to_a_read(payload: bytes) -> None:
    """Guards against polls that fail for as long as the hint is odd."""
    store = MemoryStore()
    raw = Envelope(('w',), payload).pack()
    await store.put_if(VERSION_HINT_KEY, raw, 0)
    assert await VersionHintReader().should_read(store, 5)
