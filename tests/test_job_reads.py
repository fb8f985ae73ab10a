"""Tests of reads of batch jobs at an entry whose table may be behind."""

from __future__ import annotations

from dataclasses import dataclass, field

import anyio
import orjson
import pytest
from result import Err, Ok, Result

from gateway_kit import FakeStore, FakeTime, Node, make_route
from quetzaldyke.gateway.authentication import Identity
from quetzaldyke.gateway.job_api import JobApi
from quetzaldyke.gateway.job_records import JOB_PREFIX, STATE_PREFIX
from quetzaldyke.gateway.new_job import make_job
from quetzaldyke.gateway.received_request import AsgiCaller, ReceivedRequest
from quetzaldyke.gateway.watch import OWN_CALL
from quetzaldyke.parts.kv import KvError, Record
from quetzaldyke.parts.transactions import Put, Snapshot, Transaction
from quetzaldyke.platform import names
from quetzaldyke.platform.jobs import SubmittedItem

pytestmark = pytest.mark.anyio
ITEMS = 3
# Age of a table that has missed a result for longer than is allowed.
OLD_S = 1.5
# Age of a table that the watch keeps up to date.
FRESH_S = 0.1


@pytest.fixture
def anyio_backend() -> str:
    """Run on the backend that the processes use."""
    return 'asyncio'


class CountingStore(FakeStore):
    """A store that counts reads of keys, and may fail or delay them."""

    reads: int = 0
    failing: bool = False
    delay_s: float = 0.0
    # Answers are as of the call, and come when this is set.
    gate: anyio.Event | None = None

    async def get(
        self, key: str, *, stale: bool = False
    ) -> Result[Record | None, KvError]:
        """Read one key."""
        self.reads += not stale
        await anyio.sleep(self.delay_s)
        if self.failing:
            return Err(KvError('unknown', 'no answer'))
        answer = await super().get(key, stale=stale)
        if self.gate is not None and not stale:
            await self.gate.wait()
        return answer


@dataclass(slots=True)
class Reader:
    """An entry that answers reads from its own table."""

    node: Node
    time: FakeTime = field(default_factory=FakeTime)
    store_up: bool = True
    api: JobApi = field(init=False)

    def __post_init__(self) -> None:
        """Build what answers requests about jobs."""
        self.api = JobApi(
            self.node.store,
            run_accepted=lambda _: None,
            tell_ended=lambda _: None,
            store_up=lambda: self.store_up,
            version=lambda: 1,
            now=self.time.read,
        )

    async def sync(self, age_s: float) -> None:
        """Apply all changes so far, as of some time ago."""
        await self.node.sync()
        self.node.table.confirmation.note(self.time.now_s - age_s, OWN_CALL)

    async def read(self, after: int, wait_ms: int = 0) -> tuple[int, int]:
        """Return the status of a read and the number of its results."""
        status = 0
        body = bytearray()

        async def send(message: dict[str, object]) -> None:
            nonlocal status
            if message['type'] == 'http.response.start':
                assert isinstance(message['status'], int)
                status = message['status']
            else:
                assert isinstance(message['body'], bytes)
                body.extend(message['body'])

        request = ReceivedRequest(
            b'GET',
            f'{names.JOB_PATH}j'.encode(),
            f'{names.JOB_PATH}j',
            f'after={after}'.encode(),
            'h',
            [(names.WAIT, str(wait_ms).encode())],
            b'',
        )
        caller = AsgiCaller(send, closing=False)  # type: ignore[arg-type]
        assert await self.api.handle(request, None, Identity(None), caller)
        found = orjson.loads(body)['results'] if status == 200 else []
        return status, len(found)


async def make_owner(store: FakeStore) -> Node:
    """Return an entry that has accepted a job of three items."""
    items = [
        SubmittedItem(f'j-{number}', '/p/x', (), 1, b'body')
        for number in range(ITEMS)
    ]
    owner = Node.of(store, 'a')
    job = make_job('j', make_route('batch'), items)
    assert await owner.store.accept(job, make_route('batch')) == Ok(None)
    return owner


async def make_old_reader(store: FakeStore) -> tuple[Node, Reader]:
    """Return the owner of a job, and an entry that follows no longer.

    Its table holds the job without results.
    """
    owner = await make_owner(store)
    reader = Reader(Node.of(store, 'b'))
    await reader.sync(OLD_S)
    return owner, reader


async def read_five_times(reader: Reader) -> list[tuple[int, int]]:
    """Return the answers to five reads at the same time."""
    answers = []

    async def read() -> None:
        answers.append(await reader.read(0))

    async with anyio.create_task_group() as group:
        for _ in range(5):
            group.start_soon(read)
    return answers


async def list_result(owner: Node, item: int) -> None:
    """List the result of an item, as the owner of the job."""
    listed = await owner.store.append_results(
        'j', [(item, True, b'output')], {}
    )
    assert listed == Ok(1)


async def test_result_that_was_read_elsewhere_is_shown_by_an_old_table() -> (
    None
):
    """Guards against a result that is read and then missing elsewhere.

    Whatever keeps the reader's table from following: a watcher that is cut
    off, an update that is lost, or a watch that hears nothing.
    """
    store = CountingStore()
    owner, reader = await make_old_reader(store)
    await list_result(owner, 0)
    assert await reader.read(0) == (200, 1)
    await list_result(owner, 1)
    reader.time.now_s += OLD_S
    assert await reader.read(1) == (200, 1)


async def test_wait_for_a_result_ends_with_what_the_store_has() -> None:
    """Guards against a wait at an entry that hears of no change."""
    store = CountingStore()
    owner, reader = await make_old_reader(store)
    await list_result(owner, 0)
    assert await reader.read(0, wait_ms=20) == (200, 1)


async def test_old_table_without_the_store_answers_503() -> None:
    """Guards against an entry that says "no result" and can't be sure."""
    store = CountingStore()
    owner, reader = await make_old_reader(store)
    await list_result(owner, 0)
    store.failing = True
    assert await reader.read(0) == (503, 0)


async def test_store_that_is_down_is_not_waited_for() -> None:
    """Guards against readers that wait for a store known to be away."""
    store = CountingStore()
    _, reader = await make_old_reader(store)
    reader.store_up = False
    store.reads = 0
    assert await reader.read(0) == (503, 0)
    assert not store.reads


async def test_known_results_need_no_store() -> None:
    """Guards against results that are refused in an outage."""
    store = CountingStore()
    owner = await make_owner(store)
    await list_result(owner, 0)
    reader = Reader(Node.of(store, 'b'))
    await reader.sync(OLD_S)
    part = 'quetzaldyke/result/j/0'
    reader.node.store.cache.put(part, store.state.items[part].value)
    store.failing = True
    assert await reader.read(0) == (200, 1)


async def test_end_of_a_complete_job_needs_no_store() -> None:
    """Guards against store calls for positions that can't have a result."""
    store = CountingStore()
    owner = await make_owner(store)
    for item in range(ITEMS):
        await list_result(owner, item)
    reader = Reader(Node.of(store, 'b'))
    await reader.sync(OLD_S)
    store.reads = 0
    assert await reader.read(ITEMS) == (200, 0)
    assert not store.reads


async def test_fresh_table_answers_without_the_store() -> None:
    """Guards against a store call for each read without a result."""
    store = CountingStore()
    await make_owner(store)
    reader = Reader(Node.of(store, 'b'))
    await reader.sync(FRESH_S)
    store.reads = 0
    assert await reader.read(0) == (200, 0)
    assert not store.reads


async def test_readers_of_a_job_share_one_call() -> None:
    """Guards against a store call for each of many readers of a job."""
    store = CountingStore()
    _, reader = await make_old_reader(store)
    store.reads = 0
    store.delay_s = 0.01
    assert await read_five_times(reader) == [(200, 0)] * 5
    assert store.reads == 1
    assert await reader.read(0) == (200, 0)
    assert store.reads == 1


async def test_readers_of_a_job_share_a_failure() -> None:
    """Guards against readers that wait for one failing call after another."""
    store = CountingStore()
    _, reader = await make_old_reader(store)
    store.reads = 0
    store.delay_s = 0.01
    store.failing = True
    assert await read_five_times(reader) == [(503, 0)] * 5
    assert store.reads == 1


async def test_cancelled_reader_leaves_the_call_to_the_next() -> None:
    """Guards against readers that wait for a caller that has gone."""
    store = CountingStore()
    _, reader = await make_old_reader(store)
    store.delay_s = 0.05
    answers = []

    async def read() -> None:
        answers.append(await reader.read(0))

    with anyio.fail_after(5):
        async with anyio.create_task_group() as waiting:
            async with anyio.create_task_group() as leaving:
                leaving.start_soon(reader.read, 0)
                await anyio.sleep(0.01)
                waiting.start_soon(read)
                await anyio.sleep(0.01)
                store.delay_s = 0.0
                leaving.cancel_scope.cancel()
    assert answers == [(200, 0)]


@pytest.mark.parametrize('settle_s', [1.0, 0.5])
async def test_reader_shares_no_call_that_was_sent_too_early(
    settle_s: float,
) -> None:
    """Guards against a result that was listed after a shared call was sent.

    The call takes so long that the second reader comes 0.85 s after it.
    """
    store = CountingStore()
    owner, reader = await make_old_reader(store)
    reader.api.reads.settle_s = settle_s
    store.gate = anyio.Event()
    answers = []

    async def read() -> None:
        answers.append(await reader.read(0))

    async with anyio.create_task_group() as group:
        group.start_soon(read)
        await anyio.sleep(0.01)
        await list_result(owner, 0)
        reader.time.now_s += 0.85
        group.start_soon(read)
        await anyio.sleep(0.01)
        gate, store.gate = store.gate, None
        gate.set()
    assert answers == [(200, 0), (200, 1)]


async def test_answer_to_a_long_wait_is_as_new_as_the_answer() -> None:
    """Guards against a wait in which the table falls behind."""
    store = CountingStore()
    owner = await make_owner(store)
    reader = Reader(Node.of(store, 'b'))
    await reader.sync(0.6)
    await list_result(owner, 0)

    async def pass_time() -> None:
        await anyio.sleep(0.01)
        reader.time.now_s += 1.0

    async with anyio.create_task_group() as group:
        group.start_soon(pass_time)
        assert await reader.read(0, wait_ms=50) == (200, 1)


@pytest.mark.parametrize('prefix', [STATE_PREFIX, JOB_PREFIX])
async def test_record_that_can_not_be_read_denies_nothing(prefix: str) -> None:
    """Guards against 404, or no result, for a record of another release."""
    store = CountingStore()
    owner = await make_owner(store)
    reader = Reader(Node.of(store, 'b'))
    if prefix == STATE_PREFIX:
        await reader.sync(OLD_S)
        await list_result(owner, 0)
    await store.transact(Transaction({}, (Put(f'{prefix}j', b'\xc1'),)))
    assert await reader.read(0) == (503, 0)


async def test_job_that_was_deleted_is_not_found() -> None:
    """Guards against an old table that still shows a deleted job."""
    store = CountingStore()
    owner, reader = await make_old_reader(store)
    await owner.store.delete('j')
    assert await reader.read(0) == (404, 0)


async def test_listing_begun_earlier_does_not_drop_a_new_job() -> None:
    """Guards against a job that disappears while the entry lists all jobs.

    A listing is as old as its first page, and the job was accepted after it.
    """
    store = CountingStore()
    before = Snapshot([], store.state.revision)
    owner = await make_owner(store)
    await list_result(owner, 0)
    owner.table.apply_snapshot(before)
    assert owner.table.is_known('j')
    await list_result(owner, 1)
