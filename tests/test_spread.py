"""Tests of configuration propagation over real sockets."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from typing import Any
from unittest import mock

import anyio
import pytest
from anyio.abc import TaskGroup, TaskStatus

from quetzaldyke.connection import messages
from quetzaldyke.connection.config_messages import ConfigRequest
from quetzaldyke.connection.kv_http import HttpKeyValueStore
from quetzaldyke.connection.links import LinkOptions, dial, listen
from quetzaldyke.connection.peer import PeerSession
from quetzaldyke.parts.hlc import HybridClock
from quetzaldyke.parts.kv import Change
from quetzaldyke.parts.timers import Clock, TimerService
from quetzaldyke.process import fleet as fleet_module
from quetzaldyke.process.fleet import Fleet, Instance
from quetzaldyke.process.logs import make_log_event
from quetzaldyke.standins.kv import KvOptions, KvStandin, run_kv
from quetzaldyke.version.config_sync import ConfigSync, watchers_of
from quetzaldyke.version.configuration import (
    Configuration,
    hash_key,
    pack_document,
)
from quetzaldyke.version.holder import ConfigHolder
from quetzaldyke.version.rollout import RolloutMonitor
from quetzaldyke.version.store import submit_patch

SECRET = 'fleet-secret-0001'
LIMIT_S = 30.0


class WithoutWatch(HttpKeyValueStore):
    """Store whose watches never deliver a change."""

    async def watch(
        self, prefix: str, after_revision: int
    ) -> AsyncIterator[Change]:
        """Block forever."""
        await anyio.sleep_forever()
        yield  # type: ignore[misc]


@dataclass
class Node:
    """The parts of one entry that handle its configuration."""

    fleet: Fleet
    sync: ConfigSync
    rollout: RolloutMonitor
    options: LinkOptions
    group: TaskGroup
    timers: TimerService
    address: str = ''

    @property
    def holder(self) -> ConfigHolder:
        """Return the holder of the node's configuration."""
        return self.sync.holder

    def row(self) -> Instance:
        """Return the node's row in the instance list."""
        own = self.fleet.own
        return Instance(own.instance, 'entry', own.failure_domain, self.address)

    async def submit(self, number: int) -> int:
        """Submit a patch against the current version; return the new one."""
        operations: list[dict[str, Any]] = [
            {'op': 'replace', 'path': '/max_item_tries', 'value': number}
        ]
        if not self.holder.version:
            # Makes the document larger than a patch, so that deltas pay off.
            operations.append(
                {
                    'op': 'replace',
                    'path': '/organisations',
                    'value': {
                        f'org-{one}': {'key_sha256': hash_key(str(one))}
                        for one in range(20)
                    },
                }
            )
        outcome = await submit_patch(
            self.sync.store,
            self.holder.version,
            f'patch-{number}',
            operations,
        )
        return outcome.unwrap().version


def make_node(
    name: str, store: HttpKeyValueStore, group: TaskGroup, timers: TimerService
) -> Node:
    """Build a node without starting it."""
    clock = HybridClock(name)
    fleet = Fleet(Instance(name, 'entry', 'a', ''), 20)
    holder = ConfigHolder()
    log_event, _ = make_log_event(name, clock)
    sync = ConfigSync.from_parts(
        store, holder, fleet, Clock(), log_event, lambda: 0.0
    )
    sync.subscribe(timers)
    rollout = RolloutMonitor(fleet, sync.exchange, Clock())
    rollout.subscribe()

    async def on_open(session: PeerSession) -> None:
        await fleet_module.add_session(fleet, session)

    async def on_message(
        session: PeerSession, message: messages.Message
    ) -> None:
        await fleet_module.dispatch(fleet, session, message)

    options = LinkOptions(
        SECRET,
        clock,
        lambda: messages.Hello(
            messages.PROTOCOL_VERSION,
            'entry',
            name,
            'a',
            'i',
            '',
            holder.version,
        ),
        lambda: holder.version,
        on_open,
        on_message,
        lambda session: fleet_module.remove_session(fleet, session),
    )
    return Node(fleet, sync, rollout, options, group, timers)


async def run_node(
    name: str,
    store: HttpKeyValueStore,
    *,
    task_status: TaskStatus[Node] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Run a node until its group is cancelled."""
    timers = TimerService()
    async with store, anyio.create_task_group() as group:
        node = make_node(name, store, group, timers)
        node.address = await group.start(listen, '127.0.0.1:0', node.options)
        group.start_soon(timers.run)
        group.start_soon(node.sync.run)
        group.start_soon(node.rollout.run)
        task_status.started(node)
        await anyio.sleep_forever()


def stop_polling(node: Node) -> None:
    """Stop a node's polls, so that only watches and peers remain."""
    for one in list(node.timers.subscriptions):
        if one.name == 'config_poll':
            node.timers.unsubscribe(one)


async def run_fake_sidecar(
    address: str, on_message: Any, version: int = 0
) -> None:
    """Run a sidecar that has a version and sends no requests."""

    async def on_open(session: PeerSession) -> None:
        """Send nothing."""

    options = LinkOptions(
        SECRET,
        HybridClock('s1'),
        lambda: messages.Hello(
            messages.PROTOCOL_VERSION,
            'sidecar',
            's1',
            'a',
            'i',
            'orders',
            version,
        ),
        lambda: version,
        on_open,
        on_message,
        lambda session: None,
    )
    await dial(address, options)


def introduce(*nodes: Node) -> None:
    """Give every node the same instance list."""
    rows = [node.row() for node in nodes]
    for node in nodes:
        fleet_module.apply_instance_list(
            node.fleet, rows, node.group, node.options
        )


Scenario = Callable[[KvStandin, Callable[..., Awaitable[Node]]], Awaitable[Any]]


def run_scenario(scenario: Scenario) -> None:
    """Run a scenario against a key-value stand-in."""

    async def main() -> None:
        with anyio.fail_after(LIMIT_S):
            async with anyio.create_task_group() as group:
                standin = await group.start(run_kv, KvOptions())

                async def start(name: str, kind: Any = WithoutWatch) -> Node:
                    store = kind.from_address(standin.address)
                    node: Node = await group.start(run_node, name, store)
                    return node

                await scenario(standin, start)
                group.cancel_scope.cancel()

    anyio.run(main)


def test_version_reaches_peers_without_watches() -> None:
    """Guards against propagation that depends on watches alone."""

    async def scenario(standin: KvStandin, start: Any) -> None:
        first, second = await start('e1'), await start('e2')
        introduce(first, second)
        for number in (11, 12, 13):
            version = await first.submit(number)
            await first.sync.refresh()
            current = await second.holder.wait_for(version)
            assert current.max_item_tries == number
        exchange = first.sync.exchange
        assert (exchange.sent_documents, exchange.sent_deltas) == (1, 2)

    run_scenario(scenario)


def test_watch_brings_a_version_without_peers() -> None:
    """Guards against a watch that misses changes or starts too late."""

    async def scenario(standin: KvStandin, start: Any) -> None:
        first = await start('e1', HttpKeyValueStore)
        second = await start('e2', HttpKeyValueStore)
        for node in (first, second):
            stop_polling(node)
        for number in (11, 12):
            version = await first.submit(number)
            await first.holder.wait_for(version)
            await second.holder.wait_for(version)

    run_scenario(scenario)


def test_watch_works_after_its_revision_was_compacted() -> None:
    """Guards against a rarely changed value that can't be watched again."""

    async def scenario(standin: KvStandin, start: Any) -> None:
        writer = await start('e0')
        await writer.submit(11)
        await writer.sync.refresh()
        for _ in range(3):
            standin.state.put(b'other', b'', 0)
        standin.state.compacted = standin.state.revision
        node = await start('e1', HttpKeyValueStore)
        stop_polling(node)
        # The first watch is cancelled at once; the second one stays open.
        while standin.counts.calls['watch'] < 2 or not (
            standin.counts.open_watches and node.sync.watch_delivered
        ):
            await anyio.sleep(0.01)
        refreshed: list[int] = []

        async def refresh(sync: ConfigSync) -> None:
            refreshed.append(1)

        with mock.patch.object(ConfigSync, 'refresh', refresh):
            version = await writer.submit(12)
            await node.holder.wait_for(version)
        assert not refreshed

    run_scenario(scenario)


def test_poll_finds_a_version_whose_writer_died() -> None:
    """Guards against a version that is lost when its writer dies."""

    async def scenario(standin: KvStandin, start: Any) -> None:
        first, second = await start('e1'), await start('e2')
        version = await first.submit(11)
        first.group.cancel_scope.cancel()
        await second.sync.poll()
        assert second.holder.version == version
        # The same for a second version, after the first was adopted.
        third = await start('e3')
        await third.sync.refresh()
        version = await third.submit(12)
        await second.sync.poll()
        assert second.holder.version == version

    run_scenario(scenario)


def test_polls_without_a_change_do_not_read_the_document() -> None:
    """Guards against reading 255 KB every 4 s in every entry.

    The node's own reads, at its start and by its timer, must not be counted.
    """

    async def scenario(standin: KvStandin, start: Any) -> None:
        node = await start('e1')
        stop_polling(node)
        while not node.sync.synced:
            await anyio.sleep(0.01)
        await node.submit(11)
        await node.sync.refresh()
        before = standin.counts.calls['range']
        for _ in range(5):
            await node.sync.poll()
        assert standin.counts.calls['range'] - before == 5

    run_scenario(scenario)


def test_start_in_an_outage_takes_the_peers_version() -> None:
    """Guards against a restart that reverts or is ready too early."""

    async def scenario(standin: KvStandin, start: Any) -> None:
        first, second = await start('e1'), await start('e2')
        introduce(first, second)
        version = await first.submit(11)
        await first.sync.refresh()
        await second.holder.wait_for(version)
        standin.faults.down = True
        third = await start('e3')
        await third.sync.poll()
        await third.sync.check()
        assert not third.sync.synced
        introduce(first, second, third)
        await third.holder.wait_for(version)
        while not third.sync.synced:
            await anyio.sleep(0.02)
        assert third.holder.version == version
        assert third.holder.current.max_item_tries == 11

    run_scenario(scenario)


def test_late_older_push_is_ignored() -> None:
    """Guards against a reverted configuration."""

    async def scenario(standin: KvStandin, start: Any) -> None:
        first, second = await start('e1'), await start('e2')
        introduce(first, second)
        await first.submit(11)
        await first.sync.refresh()
        version = await first.submit(12)
        await first.sync.refresh()
        await second.holder.wait_for(version)
        old = pack_document(Configuration(max_item_tries=99))
        first.fleet.send_to_entry('e2', messages.ConfigPush(1, old))
        first.fleet.send_to_entry('e2', messages.ConfigPush(version, old))
        # A later version on the same connection shows that both arrived.
        version = await first.submit(13)
        await first.sync.refresh()
        await second.holder.wait_for(version)
        assert second.holder.current.max_item_tries == 13
        assert second.holder.refused_version == 0

    run_scenario(scenario)


def test_wait_for_rollout_names_those_that_lack_it() -> None:
    """Guards against a wait that ends before every live process reported."""

    async def scenario(standin: KvStandin, start: Any) -> None:
        first, second = await start('e1'), await start('e2')
        introduce(first, second)
        version = await first.submit(11)
        await first.sync.refresh()
        assert await first.rollout.wait_for_rollout(version, LIMIT_S) == []
        silent = Instance('s9', 'sidecar', 'a', '127.0.0.1:1', 'orders')
        first.fleet.instances['s9'] = silent
        assert await first.rollout.wait_for_rollout(version, 0.2) == ['s9']
        assert await first.rollout.wait_for_rollout(version + 1, 0.2) == [
            'e1',
            'e2',
            's9',
        ]

    run_scenario(scenario)


def test_peer_that_can_not_ask_is_sent_the_document() -> None:
    """Guards against sidecars that stay behind forever."""

    async def scenario(standin: KvStandin, start: Any) -> None:
        node = await start('e1')
        version = await node.submit(11)
        await node.sync.refresh()
        pushed: list[messages.Message] = []
        arrived = anyio.Event()

        async def on_message(
            session: PeerSession, message: messages.Message
        ) -> None:
            pushed.append(message)
            assert not isinstance(message, ConfigRequest)
            if isinstance(message, messages.ConfigPush):
                arrived.set()

        async with anyio.create_task_group() as group:
            group.start_soon(run_fake_sidecar, node.address, on_message)
            await arrived.wait()
            group.cancel_scope.cancel()
        last = pushed[-1]
        assert isinstance(last, messages.ConfigPush)
        assert last.version == version

    run_scenario(scenario)


def test_wait_for_rollout_queries_the_other_entries() -> None:
    """Guards against a wait that covers only its own entry's sidecars."""

    async def scenario(standin: KvStandin, start: Any) -> None:
        first, second = await start('e1'), await start('e2')
        introduce(first, second)
        version = await first.submit(11)
        await first.sync.refresh()
        listed = Instance('s1', 'sidecar', 'a', '127.0.0.1:1', 'orders')
        first.fleet.instances['s1'] = listed

        async def on_message(
            session: PeerSession, message: messages.Message
        ) -> None:
            """Ignore everything."""

        async with anyio.create_task_group() as group:
            group.start_soon(
                run_fake_sidecar, second.address, on_message, version
            )
            assert await first.rollout.wait_for_rollout(version, LIMIT_S) == []
            assert 's1' not in first.fleet.links
            group.cancel_scope.cancel()

    run_scenario(scenario)


@pytest.mark.parametrize(('others', 'expected'), [(1, 2), (9, 3)])
def test_few_entries_of_a_failure_domain_watch(
    others: int, expected: int
) -> None:
    """Guards against a number of watches that grows with the fleet."""
    fleet = Fleet(Instance('e0', 'entry', 'a', ''), 20)
    for number in range(others):
        name = f'e{number + 1}'
        fleet.instances[name] = Instance(name, 'entry', 'a', '')
    fleet.instances['x'] = Instance('x', 'entry', 'a', '', leaving=True)
    fleet.instances['y'] = Instance('y', 'entry', 'b', '')
    watchers = watchers_of(fleet, 'a')
    assert len(watchers) == expected
    assert not {'x', 'y'} & set(watchers)
