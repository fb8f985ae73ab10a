"""Tests of failed runs of items whose owners are killed one after another."""

from __future__ import annotations

from dataclasses import dataclass, field

import anyio
import pytest
from anyio.abc import TaskGroup
from result import Ok

from gateway_kit import (
    FakeStore,
    FakeTime,
    Node,
    make_endpoint,
    make_route,
    make_table,
)
from quetzaldyke.gateway.active_job import ActiveJob, ItemProgress
from quetzaldyke.gateway.batch_runner import BatchRunner
from quetzaldyke.gateway.exchange import Exchange, ResponseHead
from quetzaldyke.gateway.item_run import ItemRun
from quetzaldyke.gateway.job_records import JobState, Member
from quetzaldyke.gateway.reservation import Reservation
from quetzaldyke.parts.timers import Clock
from runner_kit import make_runner, new_job

pytestmark = pytest.mark.anyio
MAX_ATTEMPTS = 3
ROUTE = make_route('batch', max_attempts=MAX_ATTEMPTS)
SUCCESSOR = Member('next', 'i-next', '127.0.0.1', 1)
# Longer than an item waits before its next run, but two steps are shorter than
# results wait for others.
STEP_S = 0.25
# Of the users' rule: an item that failed this often runs no more.
MOST_FAILURES = 3 * MAX_ATTEMPTS


@pytest.fixture
def anyio_backend() -> str:
    """Run on the backend that the processes use."""
    return 'asyncio'


@dataclass(slots=True)
class Owner:
    """An entry that owns the job, and the runs that it has under way."""

    node: Node
    runner: BatchRunner
    time: FakeTime
    runs: list[ItemRun] = field(default_factory=list)

    @classmethod
    async def of(
        cls, store: FakeStore, group: TaskGroup, owner_id: str
    ) -> Owner:
        """Return an entry that takes the job over, as its owner is lost."""
        node = Node.of(store, owner_id)
        await node.sync()
        assert await node.store.take_over('j') == Ok(None)
        runner = make_runner(
            node, group, lambda: make_table(ROUTE), make_endpoint('e1')
        )
        owner = cls(node, runner, FakeTime())
        clock = Clock(owner.time.read)
        runner.dispatcher.clock = runner.results.clock = clock
        runner.starter.start_run = owner.note_run
        runner.peers_known = True
        view = node.table.view('j')
        assert view.record is not None
        done = {result.item for result in owner.state.results}
        failures = owner.state.failures
        runner.activate(view.record, done, failures, {}, [])
        return owner

    def note_run(
        self, job: ActiveJob, progress: ItemProgress, reservation: Reservation
    ) -> None:
        """Note a run, which goes on until `answer` ends it."""
        context = self.runner.run_context
        self.runs.append(
            ItemRun(context, job, progress, reservation, Exchange())
        )

    async def step(self, times: int = 2) -> None:
        """Run the periodic work, and the writes that it has started.

        After two times items run again whose failures the first has written.
        """
        for _ in range(times):
            self.time.now_s += STEP_S
            await self.runner.tick()
            await anyio.wait_all_tasks_blocked()

    def answer(self, status: int) -> int:
        """End all runs with an answer; return how many there were."""
        runs, self.runs = self.runs, []
        for run in runs:
            if status == 500:
                run.handle_error_response(ResponseHead(500, []), b'')
            else:
                run.context.finish_item(run.job, run.progress, False)
            self.runner.end_run(run.progress, run.reservation)
        return len(runs)

    @property
    def state(self) -> JobState:
        """Return the state of the job as this entry knows it."""
        state = self.node.table.view('j').state
        assert state is not None
        return state


async def accepted(items: int = 1) -> FakeStore:
    """Return a store with an accepted job."""
    store = FakeStore()
    node = Node.of(store, 'first')
    assert await node.store.accept(new_job(items), ROUTE) == Ok(None)
    return store


# Guards against an item that fails at each run and runs for ever, because each
# owner counts its failed runs from the same number and is then killed.
@pytest.mark.parametrize('failures_each', [1, 2, 3])
async def test_failed_runs_outlive_their_owners(failures_each: int) -> None:
    """An item is given up after its attempts at all owners together."""
    store = await accepted()
    failed = 0
    async with anyio.create_task_group() as group:
        for number in range(3 * MOST_FAILURES):
            owner = await Owner.of(store, group, f'o{number}')
            for _ in range(failures_each):
                await owner.step()
                failed += owner.answer(500)
            await owner.step()
        group.cancel_scope.cancel()
    assert failed == MAX_ATTEMPTS
    assert [result.completed for result in owner.state.results] == [False]


# Guards against the same where each owner is killed before it has written
# anything about the last failure that it has seen.
async def test_owner_loses_the_last_failure_at_most() -> None:
    """All failures of an owner but the last one are in the store."""
    store = await accepted()
    async with anyio.create_task_group() as group:
        owner = await Owner.of(store, group, 'a')
        await owner.step()
        assert owner.answer(500) == 1
        await owner.step()
        assert owner.answer(500) == 1
        successor = await Owner.of(store, group, 'b')
        assert successor.state.failures == {0: 1}
        group.cancel_scope.cancel()


# Guards against a run that starts although the store lacks the failure before,
# which would be lost with the owner.
async def test_item_waits_until_its_failure_is_written() -> None:
    """While the store fails, a failed item runs no more; others do."""
    store = await accepted(items=2)
    async with anyio.create_task_group() as group:
        owner = await Owner.of(store, group, 'a')
        await owner.step()
        failed, sound = owner.runs
        owner.runs = [failed]
        store.write_faults = ['unavailable', 'dropped', 'unknown']
        assert owner.answer(500) == 1
        owner.runner.end_run(sound.progress, sound.reservation)
        while len(store.write_faults) > 1:
            before = len(store.write_faults)
            await owner.step(3)
            assert len(store.write_faults) == before - 1
            items = {run.progress.item for run in owner.runs}
            assert items == {sound.progress.item}
        await owner.step(6)
        assert owner.state.failures == {failed.progress.item: 1}
        items = {run.progress.item for run in owner.runs}
        assert items == {failed.progress.item, sound.progress.item}
        group.cancel_scope.cancel()


async def test_failures_of_a_moment_share_a_write() -> None:
    """Guards against one priced call for each item that fails."""
    store = await accepted(items=4)
    async with anyio.create_task_group() as group:
        owner = await Owner.of(store, group, 'a')
        await owner.step()
        before = store.writes
        assert owner.answer(500) == 4
        await owner.step()
        assert store.writes == before + 1
        assert owner.state.failures == dict.fromkeys(range(4), 1)
        assert len(owner.runs) == 4
        group.cancel_scope.cancel()


# Guards against an owner that is killed between an item's last answer and its
# result, after which the next one would run the item again.
@pytest.mark.parametrize('status', [422, 500])
async def test_item_that_is_given_up_is_listed_at_once(status: int) -> None:
    """The result of a failed item doesn't wait for others."""
    store = await accepted(items=2)
    attempts = MAX_ATTEMPTS if status == 500 else 1
    async with anyio.create_task_group() as group:
        owner = await Owner.of(store, group, 'a')
        await owner.step()
        failing, _ = owner.runs
        for _ in range(attempts):
            owner.runs = [run for run in owner.runs if run.progress.item == 0]
            assert owner.answer(status) == 1
            await owner.step()
        listed = [(row.item, row.completed) for row in owner.state.results]
        assert listed == [(failing.progress.item, False)]
        group.cancel_scope.cancel()


async def test_exhausted_item_does_not_run_at_its_next_owner() -> None:
    """Guards against one more run for each owner of a failed item."""
    store = await accepted()
    first = Node.of(store, 'first')
    await first.sync()
    written = await first.store.append_results('j', [], {0: MAX_ATTEMPTS})
    assert written == Ok(0)
    async with anyio.create_task_group() as group:
        owner = await Owner.of(store, group, 'a')
        await owner.step(4)
        assert not owner.runs
        assert [result.completed for result in owner.state.results] == [False]
        group.cancel_scope.cancel()


async def test_failed_runs_are_handed_over() -> None:
    """Guards against failures that a planned stop of the owner drops."""
    store = await accepted()
    async with anyio.create_task_group() as group:
        owner = await Owner.of(store, group, 'a')
        await owner.step()
        assert owner.answer(500) == 1
        await owner.runner.hand_over('j', [SUCCESSOR])
        assert owner.state.owner_id == SUCCESSOR.owner_id
        assert owner.state.failures == {0: 1}
        group.cancel_scope.cancel()


# Guards against failures of an item that has finished but whose result did not
# fit into the write, or failed with it.
def test_failures_are_kept_until_the_result_is_listed() -> None:
    """Only a listed result makes the failed runs of an item needless."""
    state = JobState('o', 'i').with_results([(0, True)], {0: 2, 1: 2})
    assert state.failures == {1: 2}
    assert state.with_results([], {1: 3}).part_count == 1
