"""Tests of log writers, gossip datagrams, watches, feeds and the keeper."""

from __future__ import annotations

import os
import time
from dataclasses import dataclass, field

import anyio
import msgpack
import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok, Result

from gateway_fleet import configuration
from gateway_kit import FakeStore
from key_rig import confirm
from quetzaldyke.gateway.configuration_feed import (
    MAX_AGE_SHARE,
    ConfigurationFeed,
)
from quetzaldyke.gateway.configuration_reads import READ_AGE_SHARE
from quetzaldyke.gateway.crashes import CrashReport, ReportedCrash
from quetzaldyke.gateway.endpoint_feed import EndpointFeed
from quetzaldyke.gateway.endpoints import EndpointTable
from quetzaldyke.gateway.gossip_messages import (
    GossipMessage,
    JobEnded,
    LoadReport,
    PreemptBatch,
    WatchNotice,
    WatchUpdate,
    decode,
    encode,
)
from quetzaldyke.gateway.keeper import run_keeper
from quetzaldyke.gateway.loads import RequestCounts
from quetzaldyke.gateway.logs import LineRateLimiter, LineWriter
from quetzaldyke.gateway.model import Bounds, Configuration, Installation
from quetzaldyke.gateway.watch import HISTORY_DROP_S, PrefixWatcher
from quetzaldyke.parts.crash_causes import Trait
from quetzaldyke.parts.kv import KvError, Record
from quetzaldyke.parts.transactions import Snapshot, WatchBatch, WatchedChange
from quetzaldyke.standins.platform_store import (
    PlatformStoreOptions,
    run_platform_store,
)

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    """Run the tests on asyncio, as the processes do."""
    return 'asyncio'


def test_full_pipe_does_not_block_log_writes() -> None:
    """Guards against requests blocked by a log reader that stopped reading."""
    reader, writer_end = os.pipe()
    os.set_blocking(writer_end, False)
    writer = LineWriter(
        writer_end,
        'p',
        LineRateLimiter(tokens=1e9, updated_s=time.monotonic()),
    )
    # 1.8 MB exceed the capacity of any pipe.
    for number in range(2000):
        writer.limiter.tokens = 1000.0
        writer.write(
            {'message_type': 'event', 'filler': 'x' * 900, 'n': number}
        )
    assert writer.dropped
    os.close(reader)
    os.close(writer_end)


def test_lines_stay_complete_after_a_partial_write() -> None:
    """Guards against mixed lines when a write to a full pipe is partial."""
    reader, writer_end = os.pipe()
    os.set_blocking(writer_end, False)
    os.set_blocking(reader, False)
    writer = LineWriter(writer_end, 'p')
    seen = b''
    for number in range(300):
        writer.limiter.tokens = 1000.0
        writer.write(
            {'message_type': 'event', 'filler': 'y' * 997, 'n': number}
        )
        if number % 90 == 89:
            seen += os.read(reader, 1_000_000)
    seen += os.read(reader, 1_000_000)
    lines = seen.split(b'\n')[:-1]
    assert all(line.startswith(b't=') for line in lines)
    assert all(b' n=' in line for line in lines)
    os.close(reader)
    os.close(writer_end)


@given(st.integers(1, 5000))
def test_log_lines_per_second_are_limited(events: int) -> None:
    """Guards against a log volume that grows with the load."""
    limiter = LineRateLimiter()
    written = sum(
        limiter.try_take(routine=number % 3 > 0, now_s=number / events)
        for number in range(events)
    )
    assert written <= 300


def test_failures_are_logged_while_routine_lines_are_dropped() -> None:
    """Guards against lines about served requests using up the rate limit."""
    limiter = LineRateLimiter()
    while limiter.try_take(routine=True, now_s=0.0):
        """Take all tokens that routine lines may take."""
    assert limiter.try_take(routine=False, now_s=0.0)


COUNTS = st.dictionaries(
    st.text(max_size=5),
    st.builds(RequestCounts, st.integers(0, 99), st.integers(0, 99)),
    max_size=4,
)
TRAITS = st.builds(Trait, st.text(max_size=5), st.integers(0, 2**40))
CRASHES = st.builds(
    ReportedCrash,
    st.lists(TRAITS, max_size=3).map(tuple),
    st.text(max_size=5),
    st.booleans(),
    st.floats(0, 9),
    st.text(max_size=5),
    st.floats(0, 9),
)
CLEARED = st.dictionaries(
    st.text(max_size=5),
    st.lists(st.text(max_size=5), max_size=3),
    max_size=3,
)
CHANGES = st.builds(
    WatchedChange,
    st.text(max_size=5),
    st.integers(0, 2**40),
    st.none() | st.binary(max_size=5),
)
MESSAGES: st.SearchStrategy[GossipMessage] = st.one_of(
    st.builds(
        LoadReport,
        st.text(max_size=5),
        COUNTS,
        st.dictionaries(st.text(max_size=5), st.integers(0, 99), max_size=3),
        st.integers(0, 99),
        st.floats(0, 99),
    ),
    st.builds(PreemptBatch, st.text(max_size=5), st.text(max_size=5)),
    st.builds(JobEnded, st.text(max_size=5), st.text(max_size=5)),
    st.builds(
        CrashReport,
        st.text(max_size=5),
        st.lists(CRASHES, max_size=2).map(tuple),
        CLEARED,
        st.lists(st.text(max_size=5), max_size=2).map(tuple),
    ),
    st.builds(
        WatchNotice,
        st.text(max_size=5),
        st.dictionaries(st.text(max_size=5), st.integers(0, 2**40), max_size=3),
    ),
    st.builds(
        WatchUpdate,
        st.text(max_size=5),
        st.text(max_size=5),
        st.integers(0, 2**40),
        st.integers(0, 2**40),
        st.none() | st.lists(CHANGES, max_size=3).map(tuple),
        st.floats(0, 9),
    ),
)
PLAIN_VALUES = st.recursive(
    st.none()
    | st.integers(-9, 9)
    | st.text(max_size=3)
    | st.binary(max_size=3),
    lambda inner: (
        st.lists(inner, max_size=5)
        | st.dictionaries(st.text(max_size=3), inner, max_size=2)
    ),
    max_leaves=8,
)


@given(MESSAGES)
def test_datagrams_round_trip(message: GossipMessage) -> None:
    """Guards against fields swapped between encoder and decoder."""
    assert decode(encode(message)) == message


@given(st.binary(max_size=40))
def test_malformed_datagram_raises_no_error(datagram: bytes) -> None:
    """Guards against a stray datagram that crashes an entry."""
    message = decode(datagram)
    assert message is None or message.sender is not None


@given(
    st.sampled_from(['room', 'ended', 'crash', 'watch', 'load', 'other']),
    PLAIN_VALUES,
)
def test_message_with_wrong_content_raises_no_error(
    kind: str,
    content: object,
) -> None:
    """Guards against a peer of another build that crashes an entry."""
    message = decode(msgpack.packb([kind, 'p', content]))
    assert message is None or decode(encode(message)) == message


INFINITE = float('inf')


@pytest.mark.parametrize(
    ('kind', 'content'),
    [
        ('load', [[['e', INFINITE, 0]], {}, 0, 0.0]),
        ('load', [[], {}, INFINITE, 0.0]),
        ('crash', [[[[['k', INFINITE]], 'e', False, 0.0, 's', 0.0]], {}, []]),
        ('watch', ['p', 0, INFINITE, None, 0.0]),
    ],
)
def test_message_with_infinite_number_is_dropped(
    kind: str, content: object
) -> None:
    """Guards against an error in the callback that receives datagrams."""
    assert decode(msgpack.packb([kind, 'p', content])) is None


@dataclass(slots=True)
class ScriptedStore(FakeStore):
    """A store whose watch calls return predefined results."""

    watch_results: list[Result[WatchBatch, KvError]] = field(
        default_factory=list
    )
    after_revisions: list[int] = field(default_factory=list)

    async def watch(
        self,
        prefix: str,
        after_revision: int,
        wait_s: float,
    ) -> Result[WatchBatch, KvError]:
        """Record the revision and return the next predefined result."""
        self.after_revisions.append(after_revision)
        return self.watch_results.pop(0)


async def test_compacted_history_triggers_a_new_snapshot() -> None:
    """Guards against changes missed when the store compacts its history."""
    lists: list[Snapshot] = []
    store = ScriptedStore(watch_results=[Err(KvError('compacted'))])
    store.state.put('p/a', b'1', 0)
    watcher = PrefixWatcher(store, 'p/', lists.append, lambda *_: None)
    await watcher.poll()
    store.state.put('p/b', b'2', 0)
    await watcher.poll()
    await watcher.poll()
    assert [len(one.records) for one in lists] == [1, 2]


async def test_failed_watch_resumes_from_its_revision() -> None:
    """Guards against changes missed after a failed or stale watch call."""
    seen: list[int] = []
    change = WatchedChange('p/a', 7, b'1')
    store = ScriptedStore(
        watch_results=[
            Err(KvError('unknown')),
            Ok(WatchBatch([change], 7)),
            Ok(WatchBatch([], 6)),
            Ok(WatchBatch([], 9)),
        ],
    )
    watcher = PrefixWatcher(
        store,
        'p/',
        lambda _: None,
        lambda changes, revision: seen.append(revision),
        revision=3,
    )
    for _ in range(4):
        await watcher.poll()
    # A stale answer does not move the revision back.
    assert (store.after_revisions, seen, watcher.revision) == (
        [3, 3, 7, 7],
        [7],
        9,
    )


def config_record(version: int) -> Record:
    """Return the store record of a configuration version."""
    return Record('op/config', orjson.dumps(configuration(version, 1000)), 1)


def test_older_configuration_is_ignored() -> None:
    """Guards against applying an older or unreadable version."""
    applied: list[Configuration] = []
    now = [0.0]
    feed = ConfigurationFeed(lambda: now[0], applied.append)
    feed.on_snapshot(Snapshot([config_record(5)], 1))
    feed.on_snapshot(Snapshot([config_record(4)], 2))
    feed.on_changes([WatchedChange('op/config', 3, b'{broken')], 3)
    feed.on_changes([WatchedChange('op/config', 4, config_record(6).value)], 4)
    assert [one.version for one in applied] == [5, 6]
    assert feed.is_engine('lm')
    assert not feed.is_engine('app')
    confirm(feed)
    now[0] = MAX_AGE_SHARE * feed.apply_s
    assert not feed.is_current()


@pytest.mark.parametrize('apply_s', [0.5, 2.0, 8.0])
def test_old_configuration_denies_no_request(apply_s: float) -> None:
    """Guards against a 404 or 401 that a version in force would not give.

    A working watch confirms the configuration often enough to deny requests.
    """
    now = [0.0]
    feed = ConfigurationFeed(lambda: now[0], lambda _: None, apply_s)
    confirm(feed)
    now[0] = feed.watch_wait_s()
    assert feed.is_current()
    if apply_s > HISTORY_DROP_S:
        # Before the next answer of a watch that hears nothing.
        now[0] += max(HISTORY_DROP_S, feed.watch_wait_s())
        assert feed.age_s() < READ_AGE_SHARE * apply_s
    now[0] = 0.9 * apply_s
    assert not feed.is_current()


def test_unreadable_record_does_not_hide_others() -> None:
    """Guards against one unreadable record that empties the whole list."""
    table = EndpointTable()
    feed = EndpointFeed(table, lambda: 0.0, lambda: None)
    good = orjson.dumps(
        {
            'service': 'lm',
            'address': '127.0.0.1:1',
            'zone': 'a',
            'slots': 2,
            'state': 'ready',
        },
    )
    records = [
        Record('servers/bad', b'\x00', 1),
        Record('servers/good', good, 2),
    ]
    feed.on_snapshot(Snapshot(records, 2))
    assert [one.endpoint_id for one in table.usable('lm', 0.0)] == ['good']
    feed.on_changes([WatchedChange('servers/good', 3, None)], 3)
    assert not table.usable('lm', 0.0)


async def test_keeper_reports_its_instance_as_emptied() -> None:
    """Guards against an instance that the operator can never retire."""
    async with anyio.create_task_group() as group:
        standin = await group.start(run_platform_store, PlatformStoreOptions())
        installation = Installation(
            instance='store-1',
            role='keeper',
            host='127.0.0.1',
            failure_domain='a',
            first_peer_port=1,
            last_peer_port=1,
            store_address=standin.address,
            heartbeat_s=1.0,
            bounds=Bounds(2.0, 8.0, 3.0, 120.0),
        )
        group.start_soon(run_keeper, installation)
        await anyio.sleep(0.1)
        standin.state.put('op/retire/other', b'{}', 0)
        await anyio.sleep(0.1)
        assert 'status/retire/other' not in standin.state.items
        standin.state.put('op/retire/store-1', b'{"within-s":10}', 0)
        with anyio.fail_after(5):
            while 'status/retire/store-1' not in standin.state.items:
                await anyio.sleep(0.02)
        group.cancel_scope.cancel()
