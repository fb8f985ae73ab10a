"""Tests of updates of watches that entries fetch from each other."""

from __future__ import annotations

import socket
import zlib
from collections.abc import AsyncIterator, Collection
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import Final

import anyio
import pytest
from anyio.abc import SocketStream

from gateway_fleet import GatewayFleet
from quetzaldyke.gateway.gossip_messages import (
    WatchNotice,
    WatchUpdate,
    encode_watch_message,
)
from quetzaldyke.gateway.http_client import HttpClient
from quetzaldyke.gateway.peer_updates import (
    MAX_UPDATE_BYTES,
    ask_peer,
    decode_body,
)
from quetzaldyke.gateway.shared_watch import (
    MAX_BURST_BYTES,
    MAX_SILENCE_S,
    NOTICE_S,
    max_confirmation_age_s,
)
from quetzaldyke.gateway.store_tunnel import (
    MAX_REQUEST_BYTES,
    MAX_TUNNELS,
    serve_tunnels,
)
from quetzaldyke.gateway.watch import (
    MAX_HISTORY_BYTES,
    ChangeHistory,
)
from quetzaldyke.parts.transactions import WatchedChange
from sharing_fleet import PREFIX, SimulatedFleet
from test_cut_watchers import followed_entries

pytestmark = pytest.mark.anyio
HOST: Final = '127.0.0.1'
TIMEOUT_S: Final = 5.0
LARGE: Final = WatchedChange('p/k', 8, bytes(100_000))
# From the acknowledgement of a version until it is in force everywhere.
APPLY_S: Final = 2.0
ENTRIES: Final = 6
SETTLE_S: Final = 4.0


@pytest.fixture
def anyio_backend() -> str:
    """Run on the backend that the processes use."""
    return 'asyncio'


def held_update(prefix: str, after: int) -> WatchUpdate | None:
    """Return the update that the peer holds: one large change."""
    if prefix != PREFIX or after > 7:
        return None
    return WatchUpdate('e1', prefix, after, 9, (LARGE,), 0.0, 0.5)


async def echo(stream: SocketStream) -> None:
    """Return what is received."""
    async with stream:
        async for chunk in stream:
            await stream.send(chunk)


@asynccontextmanager
async def peer_port() -> AsyncIterator[tuple[str, int]]:
    """Serve the port for peers of an entry whose store returns all bytes."""
    with socket.socket() as free:
        free.bind((HOST, 0))
        port = free.getsockname()[1]
    store = await anyio.create_tcp_listener(local_host=HOST)
    address = store.extra(anyio.abc.SocketAttribute.local_address)
    async with store, anyio.create_task_group() as group:
        group.start_soon(store.serve, echo)
        await group.start(serve_tunnels, HOST, port, address, held_update)
        yield HOST, port
        group.cancel_scope.cancel()


async def test_peer_returns_what_no_datagram_holds() -> None:
    """Guards against followers that can get large changes from the store only.

    A change is larger than a datagram can be.
    """
    async with peer_port() as address:
        update = await ask_peer(HttpClient(), address, PREFIX, 7, TIMEOUT_S)
    assert update == held_update(PREFIX, 7)


async def test_peer_that_has_dropped_changes_says_so() -> None:
    """Guards against a wait for changes that the peer does not hold."""
    async with peer_port() as address:
        assert not await ask_peer(HttpClient(), address, PREFIX, 8, TIMEOUT_S)
        assert not await ask_peer(HttpClient(), address, 'q/', 7, TIMEOUT_S)


@pytest.mark.parametrize(
    'request_line',
    [
        b'GET /watch-updates? HTTP/1.1\r\n\r\n',
        b'GET /watch-updates?prefix=p/&after=x HTTP/1.1\r\n\r\n',
        b'GET /watch-updates?after=-1 HTTP/1.1\r\n\r\n',
        b'GET /watch-updates?\xff HTTP/1.1\r\n\r\n',
        b'GET /watch-updates?%b' % bytes(MAX_REQUEST_BYTES),
    ],
)
async def test_malformed_request_of_a_peer_ends_only_its_connection(
    request_line: bytes,
) -> None:
    """Guards against one malformed request that ends the process."""
    async with peer_port() as address:
        async with await anyio.connect_tcp(*address) as peer:
            await peer.send(request_line)
            with pytest.raises(anyio.EndOfStream), anyio.fail_after(TIMEOUT_S):
                while True:
                    await peer.receive()
        update = await ask_peer(HttpClient(), address, PREFIX, 7, TIMEOUT_S)
    assert update is not None


@pytest.mark.parametrize('size', [1, 5, 20])
async def test_request_that_comes_in_pieces_is_answered(size: int) -> None:
    """Guards against followers that get nothing while links are busy.

    A head that a packet ends in the middle of was taken for a whole one.
    """
    request = b'GET /watch-updates?prefix=p%2F&after=7 HTTP/1.1\r\n\r\n'
    async with (
        peer_port() as address,
        await anyio.connect_tcp(*address) as peer,
    ):
        for start in range(0, len(request), size):
            await peer.send(request[start : start + size])
            await anyio.sleep(0.002)
        answer = b''
        with pytest.raises(anyio.EndOfStream), anyio.fail_after(TIMEOUT_S):
            while True:
                answer += await peer.receive()
    head, _, body = answer.partition(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 200 ')
    assert decode_body(body) == held_update(PREFIX, 7)


async def test_calls_to_the_store_are_still_relayed() -> None:
    """Guards against a peer's way to the store that loses the first bytes."""
    async with (
        peer_port() as address,
        await anyio.connect_tcp(*address) as peer,
    ):
        for part in (b'GET /quetzaldyke/', b'kv-key'):
            await peer.send(part)
            with anyio.fail_after(TIMEOUT_S):
                assert await peer.receive() == part


async def test_call_beyond_the_tunnels_fails_at_once() -> None:
    """Guards against calls that wait for a tunnel until their timeout."""
    async with peer_port() as address, AsyncExitStack() as stack:
        for _ in range(MAX_TUNNELS):
            peer = await anyio.connect_tcp(*address)
            await stack.enter_async_context(peer)
            await peer.send(b'POST ')
            assert await peer.receive() == b'POST '
        late = await anyio.connect_tcp(*address)
        async with late:
            await late.send(b'POST ')
            with pytest.raises(anyio.EndOfStream), anyio.fail_after(TIMEOUT_S):
                await late.receive()
        await peer.aclose()
        again = await stack.enter_async_context(
            await anyio.connect_tcp(*address)
        )
        await anyio.sleep(0.1)
        await again.send(b'POST ')
        assert await again.receive() == b'POST '


def test_update_that_can_not_be_read_is_none() -> None:
    """Guards against answers of peers that end the process or fill memory."""
    update = held_update(PREFIX, 7)
    assert update is not None
    whole = zlib.compress(encode_watch_message(update))
    assert decode_body(whole) == update
    assert decode_body(whole[:-1]) is None
    assert decode_body(b'') is None
    assert decode_body(b'plain') is None
    notice = encode_watch_message(WatchNotice('e1', {PREFIX: 3}))
    assert decode_body(zlib.compress(notice)) is None
    assert decode_body(zlib.compress(bytes(2 * MAX_UPDATE_BYTES))) is None


def test_history_is_bounded_and_keeps_the_last_change() -> None:
    """Guards against memory that grows with the size of the configuration."""
    history = ChangeHistory()
    history.restart(0)
    size = MAX_HISTORY_BYTES // 2
    for revision in range(1, 9):
        history.add([WatchedChange('k', revision, bytes(size))])
        assert history.size <= MAX_HISTORY_BYTES + size
    assert history.since(0) is None
    assert [change.revision for change in history.since(7) or ()] == [8]
    history.add([WatchedChange('k', 9, bytes(2 * MAX_HISTORY_BYTES))])
    assert [change.revision for change in history.since(8) or ()] == [9]
    assert history.since(7) is None


async def test_last_change_is_announced_again_for_a_moment() -> None:
    """Guards against followers that wait for the next change.

    All datagrams of the change were lost.
    """
    fleet = await SimulatedFleet.settled(4)
    await fleet.write()
    await fleet.step()
    fleet.updates = []
    sources = [one for one in fleet.entries.values() if one.sharing.followers]
    for source in sources:
        await source.sharing.repeat_notices()
    fleet.deliver_all()
    for entry in fleet.entries.values():
        await entry.close_gap()
        assert entry.applied == [1]
    fleet.time.now_s += NOTICE_S + 0.01
    for source in sources:
        await source.sharing.repeat_notices()
    assert not fleet.updates


async def test_watcher_that_the_store_refuses_hears_of_the_others() -> None:
    """Guards against a watcher that is behind while its peers are not.

    It follows nobody, and its calls fail.
    """
    fleet = await SimulatedFleet.settled(4)
    refused = fleet.entries[fleet.follower().sharing.sources[0]]
    fleet.refused = {refused.sharing.own_id}
    await fleet.write()
    await fleet.step()
    fleet.deliver_all()
    assert not refused.applied
    for other in fleet.entries.values():
        await other.sharing.repeat_notices()
    fleet.deliver_all()
    await refused.close_gap()
    assert refused.applied == [1]


async def test_entry_that_is_no_member_hears_of_changes() -> None:
    """Guards against an entry that is behind as long as the store refuses it.

    Its registration has lapsed, so nobody follows or is followed by it.
    """
    fleet = await SimulatedFleet.settled(4)
    refused = fleet.follower()
    name = refused.sharing.own_id
    fleet.set_members([one for one in fleet.members if one != name])
    fleet.refused = {name}
    await fleet.write()
    await fleet.step()
    fleet.deliver_all()
    assert not refused.applied
    for other in fleet.entries.values():
        await other.sharing.repeat_notices()
    fleet.deliver_all()
    await refused.close_gap()
    assert refused.applied == [1]


async def test_fetched_update_does_not_vouch_for_its_sender() -> None:
    """Guards against relying on a source that holds what it read long ago."""
    fleet = await SimulatedFleet.settled(4)
    follower = fleet.follower()
    source = follower.sharing.sources[0]
    confirmed_s = dict(follower.sharing.confirmed_s)
    held = fleet.entries[source].sharing.held_update(PREFIX, 0)
    assert held is not None
    fleet.time.now_s += 1.0
    follower.sharing.on_fetched(held)
    assert follower.sharing.confirmed_s == confirmed_s


async def test_failing_request_to_a_peer_leads_to_the_store() -> None:
    """Guards against an unexpected error that ends the process or the watch."""
    fleet = await SimulatedFleet.settled(4)
    follower = fleet.follower()
    closer = follower.closer
    assert closer is not None

    async def fail(*_: object) -> WatchUpdate | None:
        raise KeyError('unexpected')

    closer.ask = fail
    source = follower.sharing.sources[0]
    follower.sharing.on_notice(WatchNotice(source, {PREFIX: 7}))
    with anyio.move_on_after(TIMEOUT_S):
        async with anyio.create_task_group() as group:
            group.start_soon(closer.run)
            await follower.watcher.behind.wait()
            assert not closer.noted.is_set()
            group.cancel_scope.cancel()
    assert follower.must_call()


async def test_source_whose_announcement_was_fetched_is_relied_on() -> None:
    """Guards against followers that leave sources while versions are large.

    Updates without their changes confirm nothing until these were fetched.
    """
    fleet = await SimulatedFleet.settled(4)
    follower = fleet.follower()
    began_s = fleet.time.now_s
    while fleet.time.now_s < began_s + 2 * max_confirmation_age_s(
        follower.watcher
    ):
        fleet.time.now_s += MAX_SILENCE_S / 2
        await fleet.write(bytes(MAX_BURST_BYTES))
        await fleet.step()
        fleet.deliver_all()
        assert follower.closer is not None
        assert follower.closer.gap is not None
        await follower.close_gap()
        assert not follower.must_call()
    assert follower.applied == list(range(1, fleet.store.state.revision + 1))


def logged(folder: Path, name: str, event: str) -> int:
    """Return how many lines of an entry's log begin an event like this."""
    text = (folder / f'{name}.log').read_text()
    return text.count(f' event={event} ')


async def until_logged(
    folder: Path, names: Collection[str], event: str, times: int, until_s: float
) -> None:
    """Check that entries log an event until a time of the event loop."""
    with anyio.move_on_after(until_s - anyio.current_time()):
        while any(logged(folder, name, event) < times for name in names):
            await anyio.sleep(0.02)
    counts = {name: logged(folder, name, event) for name in names}
    assert min(counts.values()) >= times, (event, counts)


def test_large_versions_reach_entries_that_lost_the_store(
    tmp_path: Path,
) -> None:
    """Guards against followers that get a large version from the store only.

    Theirs does not answer; their sources have the version. At the second one
    they have connections through peers to the store, which must not be taken
    for connections to the peers.
    """

    async def run() -> None:
        async with AsyncExitStack() as stack:
            fleet = GatewayFleet(tmp_path, stack)
            fleet.added_hashes = 400
            await fleet.start(ENTRIES, engines=1, services=1)
            await anyio.sleep(SETTLE_S)
            followers = fleet.ports.keys() - followed_entries(fleet, tmp_path)
            for name in followers:
                fleet.store_proxies[name].impairment = 'silent'
            for turn in range(1, 4):
                await fleet.write_configuration(timeout_ms=4000)
                version = f'config_applied version={fleet.version}'
                until_s = anyio.current_time() + APPLY_S
                await until_logged(tmp_path, followers, version, 1, until_s)
                closed = 'watch_gap_closed prefix=op/'
                await until_logged(tmp_path, followers, closed, turn, until_s)
                await anyio.sleep(SETTLE_S)
            for name in followers:
                assert not logged(tmp_path, name, 'watch_gap_open prefix=op/')

    anyio.run(run)
