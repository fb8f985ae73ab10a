"""Tests of the platform adapter: settings, records and store client."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from unittest import mock

import anyio
import orjson
import pytest
from result import Err, Ok

from quetzaldyke.gateway.exchange import ResponseHead
from quetzaldyke.gateway.http_client import HttpClient
from quetzaldyke.gateway.store_path import StorePath
from quetzaldyke.parts.transactions import Put, Transaction
from quetzaldyke.platform.jobs import (
    ItemResult,
    decode_submission,
    encode_results,
)
from quetzaldyke.platform.records import decode_configuration, decode_endpoint
from quetzaldyke.platform.settings import load_installation
from quetzaldyke.platform.store import PlatformStore
from quetzaldyke.standins.platform_store import (
    PlatformStoreOptions,
    PlatformStoreStandin,
    run_platform_store,
)

pytestmark = pytest.mark.anyio

SETTINGS = """
node = "front-1"
role = "entry"
ip = "127.0.0.1"
zone = "a"
port-range = [7000, 7010]
unknown-field = 3
[bounds]
drain-ms = 2000
grace-s = 8
[provider]
address = "127.0.0.1:1"
[listen]
front = "127.0.0.1:2"
ready = "127.0.0.1:3"
"""


@pytest.fixture
def anyio_backend() -> str:
    """Run the tests on asyncio, as the processes do."""
    return 'asyncio'


def test_settings_are_read_despite_unknown_fields(tmp_path: Path) -> None:
    """Guards against a failed start because the platform added a setting."""
    path = tmp_path / 'local.toml'
    path.write_text(SETTINGS)
    loaded = load_installation(str(path))
    assert isinstance(loaded, Ok)
    assert loaded.ok_value.bounds.drain_s == 2.0
    assert loaded.ok_value.failure_domain == 'a'


@pytest.mark.parametrize(
    ('old', 'new', 'field_path'),
    [
        ('grace-s = 8', 'grace-s = "soon"', 'bounds.grace-s'),
        ('node = "front-1"', '', 'node'),
        ('[7000, 7010]', '[7000]', 'port-range'),
        ('[provider]', '[other]', 'provider'),
    ],
)
def test_settings_errors_name_the_field(
    tmp_path: Path,
    old: str,
    new: str,
    field_path: str,
) -> None:
    """Guards against errors that don't say which setting is wrong."""
    path = tmp_path / 'local.toml'
    path.write_text(SETTINGS.replace(old, new))
    loaded = load_installation(str(path))
    assert isinstance(loaded, Err)
    assert field_path in loaded.err_value.render()


def test_missing_settings_error_names_the_file() -> None:
    """Guards against a traceback when the file does not exist."""
    loaded = load_installation('/nowhere/local.toml')
    assert isinstance(loaded, Err)
    assert '/nowhere/local.toml' in loaded.err_value.render()


REGISTRATION = {
    'service': 'lm',
    'address': '127.0.0.1:80',
    'zone': 'a',
    'slots': 8,
    'state': 'ready',
    'born': 5,
}


@pytest.mark.parametrize(
    'change',
    [
        {'state': 'sleeping'},
        {'slots': 'many'},
        {'address': 'nowhere'},
        {'service': None},
    ],
)
def test_unreadable_registration_yields_no_endpoint(
    change: dict[str, object],
) -> None:
    """Guards against using an endpoint whose registration is unreadable."""
    raw = orjson.dumps({**REGISTRATION, **change})
    assert isinstance(decode_endpoint('servers/x', raw), Err)
    assert isinstance(decode_endpoint('servers/x', b'\xff'), Err)
    decoded = decode_endpoint('servers/x', orjson.dumps(REGISTRATION))
    assert isinstance(decoded, Ok)
    assert decoded.ok_value.endpoint_id == 'x'


def test_configuration_is_decoded() -> None:
    """Guards against fields decoded under the wrong name or unit."""
    record = {
        'version': 7,
        'routes': [
            {
                'name': 'r',
                'host': 'H.example',
                'prefix': '/p/',
                'kind': 'batch',
                'timeout-ms': 5000,
                'goal-ms': 300,
                'backends': [{'service': 'lm', 'weight': 90}],
                'max-attempts': 3,
                'completion-target-ms': 18000,
                'max-wait-s': 60,
                'cap': 1000,
            },
        ],
        'services': [{'name': 'lm', 'engine': {'slots': 8}}],
    }
    decoded = decode_configuration(orjson.dumps(record))
    assert isinstance(decoded, Ok)
    route = decoded.ok_value.routes[0]
    assert (route.host, route.timeout_s, route.target_s) == (
        'h.example',
        5,
        0.3,
    )
    assert route.batch is not None
    assert route.batch.completion_target_s == 18
    assert route.batch.max_waiting_tokens == 1000
    assert decoded.ok_value.services['lm'].is_engine


def test_unreadable_configuration_is_reported() -> None:
    """Guards against an unreadable record that ends the process."""
    assert isinstance(decode_configuration(b'{"version": "x"}'), Err)


def test_jobs_are_decoded_and_results_encoded() -> None:
    """Guards against items that lose their body or token count."""
    raw = orjson.dumps(
        {'items': [{'id': 'i', 'path': '/p/x', 'body': 'aGk=', 'tokens': 9}]},
    )
    decoded = decode_submission(raw)
    assert isinstance(decoded, Ok)
    assert decoded.ok_value[0].body == b'hi'
    assert isinstance(decode_submission(b'[]'), Err)
    page = orjson.loads(encode_results(3, 1, [ItemResult('i', False, b'')]))
    assert (page['total'], page['next']) == (3, 2)
    assert page['results'][0]['state'] == 'dead_letter'


@asynccontextmanager
async def store_and_client() -> AsyncIterator[
    tuple[PlatformStoreStandin, PlatformStore]
]:
    """Run a store stand-in and yield it with a client of it."""
    async with anyio.create_task_group() as group:
        standin = await group.start(run_platform_store, PlatformStoreOptions())
        client = HttpClient()
        store = PlatformStore.from_address(
            standin.address,
            client,
            lambda call, answered: None,
        )
        yield standin, store
        client.close()
        group.cancel_scope.cancel()


async def test_transactions_are_conditional() -> None:
    """Guards against overwriting the write of another client."""
    async with store_and_client() as (_, store):
        first = Transaction({'k': 0}, (Put('k', b'\x00one'),))
        assert isinstance(await store.transact(first), Ok)
        again = await store.transact(first)
        assert isinstance(again, Err)
        assert again.err_value.kind == 'conflict'
        read = await store.get('k')
        assert isinstance(read, Ok)
        assert read.ok_value is not None
        assert read.ok_value.value == b'\x00one'
        assert await store.get('other') == Ok(None)


async def test_lost_response_is_unknown_and_rejection_is_unavailable() -> None:
    """Guards against reporting an applied write as certainly not applied."""
    async with store_and_client() as (standin, store):
        standin.faults.lose_answers = 1
        lost = await store.transact(Transaction({}, (Put('k', b'1'),)))
        assert isinstance(lost, Err)
        assert lost.err_value.kind == 'unknown'
        assert 'k' in standin.state.items
        standin.faults.refuse = True
        refused = await store.transact(Transaction({}, (Put('l', b'1'),)))
        assert isinstance(refused, Err)
        assert refused.err_value.kind == 'unavailable'


async def test_watch_returns_changes_in_order() -> None:
    """Guards against a watch that skips changes or returns other keys."""
    async with store_and_client() as (standin, store):
        standin.state.put('p/a', b'1', 0)
        standin.state.put('q/a', b'2', 0)
        standin.state.put('p/b', b'3', 0)
        batch = await store.watch('p/', 0, 1.0)
        assert isinstance(batch, Ok)
        assert [one.key for one in batch.ok_value.changes] == ['p/a', 'p/b']
        quiet = await store.watch('p/', batch.ok_value.revision, 0.05)
        assert isinstance(quiet, Ok)
        assert not quiet.ok_value.changes


async def test_watch_of_compacted_history_fails() -> None:
    """Guards against a watch that silently skips compacted changes."""
    async with store_and_client() as (standin, store):
        standin.state.put('p/a', b'1', 0)
        standin.state.discard_history()
        batch = await store.watch('p/', 0, 0.2)
        assert isinstance(batch, Err)
        assert batch.err_value.kind == 'compacted'


async def test_revoking_a_lease_deletes_its_keys() -> None:
    """Guards against member records that outlive their lease."""
    async with store_and_client() as (standin, store):
        granted = await store.grant_lease(1.0)
        assert isinstance(granted, Ok)
        lease_id = granted.ok_value.lease_id
        put = Transaction({}, (Put('m', b'', lease_id),))
        assert isinstance(await store.transact(put), Ok)
        assert await store.renew_lease(lease_id) == Ok(None)
        assert await store.revoke_lease(lease_id) == Ok(None)
        assert 'm' not in standin.state.items
        renewed = await store.renew_lease(lease_id)
        assert isinstance(renewed, Err)
        assert renewed.err_value.kind == 'no_lease'


async def test_calls_go_through_a_peer_when_the_store_is_unreachable() -> None:
    """Guards against an entry cut off when only it can't reach the store."""
    async with store_and_client() as (standin, store):
        host, _, port = standin.address.rpartition(':')
        now_s = time.monotonic()
        store.path.store = ('127.0.0.1', 1)
        store.path.note_peer(
            'p', (host, int(port)), store_up_s=9.0, now_s=now_s
        )
        for _ in range(2):
            assert isinstance(await store.get('k'), Err)
        assert await store.get('k') == Ok(None)


def test_peer_without_a_store_connection_is_not_used() -> None:
    """Guards against sending calls to a peer that can't reach the store."""
    path = StorePath(('s', 1))
    path.note_peer('p', ('p', 2), store_up_s=0.0, now_s=1.0)
    for _ in range(3):
        path.note(('s', 1), answered=False, now_s=1.0)
    assert path.choose(1.0) == ('s', 1)


def test_failing_peer_is_replaced_by_another() -> None:
    """Guards against calls that keep failing at the same peer."""
    path = StorePath(('s', 1))
    path.note_peer('p', ('p', 2), store_up_s=9.0, now_s=1.0)
    path.note_peer('q', ('q', 3), store_up_s=9.0, now_s=1.0)
    for _ in range(2):
        path.note(('s', 1), answered=False, now_s=1.0)
    first = path.choose(1.0)
    path.note(first, answered=False, now_s=1.0)
    assert path.choose(1.0) not in {first, ('s', 1)}


def test_rejected_entries_use_different_peers() -> None:
    """Guards against a peer whose tunnels are used up by the whole fleet.

    The store rejects half of the entries, and the calls of all of them went
    through the peer whose report each had heard first.
    """
    chosen = []
    for number in range(300):
        path = StorePath(('s', 1), f'e{number}')
        for peer in range(10):
            path.note_peer(f'p{peer}', ('p', peer), store_up_s=9.0, now_s=1.0)
        for _ in range(2):
            path.note(('s', 1), answered=False, now_s=1.0)
        chosen.append(path.choose(1.0))
        assert path.choose(1.5) == chosen[-1]
    assert max(chosen.count(address) for address in chosen) <= 2 * 300 / 10


MALFORMED_BODIES = (
    b'',
    b'null',
    b'[]',
    b'7',
    b'{"items": [{}], "events": [[]], "revision": "x", "lease": null}',
    b'{"items": 1, "has-more": 0, "store-revision": 1, "events": [{"key": 1}]}',
    b'{"key": "k", "value": "no base64!", "revision": {}}',
)


@pytest.mark.parametrize('body', MALFORMED_BODIES)
@pytest.mark.parametrize('status', [200, 204, 410, 412])
async def test_malformed_store_response_is_an_error(
    body: bytes,
    status: int,
) -> None:
    """Guards against a response of the store that ends the process."""
    head = ResponseHead(status, [])
    answer = mock.AsyncMock(return_value=Ok((head, body)))
    store = PlatformStore.from_address(
        '127.0.0.1:1', HttpClient(), lambda call, answered: None
    )
    with mock.patch.object(PlatformStore, 'send', answer):
        results = [
            await store.get('k'),
            await store.list_prefix('p/'),
            await store.watch('p/', 1, 0.1),
            await store.transact(Transaction({}, (Put('k', b'1'),))),
            await store.grant_lease(3.0),
        ]
    assert all(isinstance(one, Err) for one in results)
