"""Builds a batch runner on a fake store, whose items tests finish by hand."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from anyio.abc import TaskGroup
from result import Ok

from gateway_kit import (
    FakeStore,
    FakeTime,
    Node,
    make_dispatcher,
    make_route,
    make_table,
)
from quetzaldyke.gateway.active_job import ActiveJob
from quetzaldyke.gateway.batch_runner import BatchRunner
from quetzaldyke.gateway.batch_schedule import BatchPolicy
from quetzaldyke.gateway.http_client import HttpClient
from quetzaldyke.gateway.model import Endpoint, Route
from quetzaldyke.gateway.new_job import NewJob, make_job
from quetzaldyke.gateway.route_table import RouteTable
from quetzaldyke.gateway.slot_grants import SlotGrants
from quetzaldyke.platform.jobs import SubmittedItem


def make_runner(
    node: Node,
    group: TaskGroup,
    routes: Callable[[], RouteTable | None],
    *endpoints: Endpoint,
) -> BatchRunner:
    """Return the runner of an entry with the routes in force there."""
    dispatcher = make_dispatcher(FakeTime(), *endpoints)
    loads = dispatcher.loads
    owner_id = node.store.owner_id
    return BatchRunner(
        dispatcher,
        HttpClient(),
        node.store,
        BatchPolicy(loads, SlotGrants(owner_id, loads), random.Random(1)),
        group,
        lambda: None,
        routes,
    )


def new_job(
    items: int, *, job_id: str = 'j', route: Route | None = None
) -> NewJob:
    """Return a job of some items with short bodies."""
    route = route or make_route('batch')
    submitted = [
        SubmittedItem(f'{job_id}-{number}', '/p/x', (), 10, b'body')
        for number in range(items)
    ]
    return make_job(job_id, route, submitted, version=1)


@dataclass(slots=True)
class RunnerHarness:
    """A runner that has accepted one job."""

    node: Node
    runner: BatchRunner
    job: ActiveJob

    @classmethod
    async def with_job(
        cls, store: FakeStore, group: TaskGroup, items: int
    ) -> RunnerHarness:
        """Return a runner that runs a job of some items."""
        node = Node.of(store, 'a')
        job = new_job(items)
        route = make_route('batch')
        assert await node.store.accept(job, route) == Ok(None)
        await node.sync()
        runner = make_runner(node, group, lambda: make_table(route))
        runner.activate(job.record, set(), {}, dict(job.bodies), [])
        return cls(node, runner, runner.jobs['j'])

    def finish(self, item: int, output: bytes) -> None:
        """Finish an item with an output."""
        progress = self.job.items[item]
        progress.outputs = [output]
        self.runner.finish_item(self.job, progress, True)

    async def listed(self) -> dict[int, bytes]:
        """Return the listed outputs by item, as another entry reads them."""
        reader = Node.of(self.node.store.store, 'reader')  # type: ignore[arg-type]
        await reader.sync()
        state = reader.table.view('j').state
        assert state is not None
        outputs = {}
        for result in state.results:
            part = await reader.store.read_outputs('j', result.part)
            assert isinstance(part, Ok)
            outputs[result.item] = part.ok_value[result.item]
        return outputs
