"""Tests of leaving, graceful shutdown, pauses, configuration and reports."""

from __future__ import annotations

import time
from dataclasses import replace
from typing import Any

import anyio
import pytest

from quetzaldyke.connection.messages import (
    PROTOCOL_VERSION,
    ConfigPush,
    ConfigVersion,
    EventsReply,
    EventsRequest,
    Hello,
    LeavingNotice,
    Message,
    Report,
    Window,
)
from quetzaldyke.parts.suspects import SuspectBook
from quetzaldyke.parts.timers import Clock
from quetzaldyke.process import sidecar_messages
from quetzaldyke.process.sidecar import run_sidecar
from quetzaldyke.process.sidecar_drain import POLL_INTERVAL_S
from quetzaldyke.process.sidecar_peers import SidecarPeers
from quetzaldyke.version.configuration import (
    Configuration,
    Pool,
    pack_document,
)
from quetzaldyke.version.holder import ConfigHolder
from sidecar_rig import full_answer, make_item, make_rig, make_submit, until

PACKED = pack_document(Configuration(pools={'pool': Pool()}))


def test_planned_stop_completes_running_requests() -> None:
    """Guards against answers truncated by a graceful shutdown."""

    async def scenario() -> None:
        async with make_rig(max_streams=6) as rig:
            entry = await rig.entry()
            grant = await entry.obtain_grant()
            item, item_done = entry.begin(make_item(grant, 'item', 5000))
            await until(lambda: len(item.texts) > 1)
            answers = [
                entry.begin(make_submit(f'p{number}', 60))
                for number in range(3)
            ]
            slow = make_submit('slow', 200)
            call = entry.calls.begin(slow)
            await until(lambda: call.started)
            rig.sidecar.stopping.set()
            notice = await entry.receive(LeavingNotice)
            assert notice.instance == 'sidecar-1'
            late = await entry.ask(make_submit('late', 4))
            assert late.failed is not None
            assert late.failed.ran == 'not_run'
            await item_done.wait()
            assert item.failed is not None
            assert item.failed.reason == 'preempted'
            assert item.failed.partial_text.startswith(item.text)
            for number, (outcome, done) in enumerate(answers):
                await done.wait()
                assert outcome.text == full_answer(f'p{number}', 60)
            await until(lambda: not rig.sidecar.admission.running)
            await anyio.sleep(5 * POLL_INTERVAL_S)
            assert not rig.done.is_set()
            text = ''
            while not call.finished:
                entry.send(Window(slow.request_id, 8))
                await anyio.sleep(0.002)
            async for event in call.queue:
                text += getattr(event, 'text', '')
            assert text == full_answer('slow', 200)
            await rig.done.wait()

    anyio.run(scenario)


def test_queued_requests_are_handed_back_on_leaving() -> None:
    """Guards against queued requests that wait during a graceful shutdown."""

    async def scenario() -> None:
        async with make_rig(max_streams=1) as rig:
            entry = await rig.entry()
            running, done = entry.begin(make_submit('running', 100))
            await until(lambda: running.started)
            queued, queued_done = entry.begin(make_submit('queued', 4))
            await until(lambda: len(rig.sidecar.admission.queue) == 1)
            entry.send(LeavingNotice('sidecar-1'))
            await queued_done.wait()
            assert queued.failed is not None
            assert queued.failed.ran == 'not_run'
            await done.wait()
            assert running.text == full_answer('running', 100)
            await entry.receive(Report, lambda report: report.leaving)
            later = await rig.entry('entry-2')
            await later.receive(LeavingNotice)

    anyio.run(scenario)


def test_second_copy_leaves_the_first_alone() -> None:
    """Guards against a second copy that cancels the first one's streams."""

    async def scenario() -> None:
        async with make_rig() as rig:
            entry = await rig.entry()
            outcome, done = entry.begin(make_submit('hello', 100))
            await until(lambda: len(outcome.texts) > 1)
            second = rig.settings.model_copy(
                update={'peer_address': rig.sidecar.peer_address},
            )
            with pytest.raises(ExceptionGroup):
                await run_sidecar(second)
            await done.wait()
            assert outcome.text == full_answer('hello', 100)

    anyio.run(scenario)


@pytest.mark.parametrize('message_comes_first', [True, False])
def test_all_work_is_dropped_after_a_pause(message_comes_first: bool) -> None:
    """Guards against a sidecar that resumes requests after a pause.

    The entries may have started them elsewhere in the meantime.
    """

    async def scenario() -> None:
        async with make_rig(engine={'keep_orphans': True}) as rig:
            entry = await rig.entry()
            running, done = entry.begin(make_submit('running', 100_000))
            await until(lambda: len(running.texts) > 1)
            grant = await entry.obtain_grant()
            assert entry.session is not None
            [session] = rig.sidecar.peers.sessions()
            rig.sidecar.timers.clock.read = lambda: time.monotonic() + 10
            if message_comes_first:
                handle = sidecar_messages.make_message_handler(rig.sidecar)
                for late in (make_item(grant, 'item', 4), make_submit()):
                    await handle(session, late)
                    assert late.request_id not in rig.sidecar.runner.requests
            await done.wait()
            await until(lambda: not rig.engine.batch.ids())
            assert rig.engine.counts.requests == 1
            assert not rig.sidecar.admission.grants.grants
            again = await rig.entry()
            answered = await again.ask(make_submit('again', 4))
            assert answered.text == full_answer('again', 4)

    anyio.run(scenario)


def test_configuration_spreads_over_the_sidecar() -> None:
    """Guards against entries with an old version, and against a downgrade."""

    async def scenario() -> None:
        async with make_rig() as rig:
            first = await rig.entry('entry-1')
            second = await rig.entry('entry-2')
            await second.ask(make_submit())
            first.send(ConfigPush(5, PACKED))
            await second.receive(ConfigVersion)
            await second.ask(make_submit())
            [passed_on] = second.received(ConfigPush)
            assert passed_on == ConfigPush(5, PACKED)
            assert (await first.receive(ConfigVersion)).version == 5
            second.send(ConfigPush(4, pack_document(Configuration())))
            second.send(ConfigVersion(5))
            late = await rig.entry('entry-3')
            assert await late.receive(ConfigPush) == passed_on
            assert rig.sidecar.config.version == 5
            assert 'pool' in rig.sidecar.config.current.pools
            assert not first.received(ConfigPush)

    anyio.run(scenario)


class CountingSession:
    """Records messages sent at once and those sent with the next write."""

    def __init__(self) -> None:
        self.remote = Hello(PROTOCOL_VERSION, 'entry', 'entry-1', 'a', 'inc')
        self.sent: list[Message] = []
        self.waiting: list[Message] = []

    def send(self, message: Message) -> None:
        """Record a message that is sent at once."""
        self.sent.append(message)

    def send_with_next(self, message: Message) -> None:
        """Record a message that is sent with the next write."""
        self.waiting.append(message)


@pytest.mark.parametrize(
    ('field', 'changed', 'at_once'),
    [
        ('endpoint_up', False, True),
        ('leaving', True, True),
        ('model', 'other', True),
        ('online_queued', 1, True),
        ('online_running', 3, False),
        ('tbt_ms', 60.0, False),
    ],
)
def test_decisive_changes_are_reported_at_once(
    field: str,
    changed: object,
    at_once: bool,
) -> None:
    """Guards against requests sent to an endpoint that can't accept them."""
    state = Report(
        'pool', True, False, 4, 0, 0, 0, 3, 1.0, 1.0, 'm', '1', '', 0, [], 'a'
    )
    now = [0.0]
    peers = SidecarPeers(
        'sidecar-1',
        Clock(read=lambda: now[0]),
        ConfigHolder(),
        SuspectBook(),
        make_report=lambda: replace(state),
        now_ms=lambda: 0,
    )
    session: Any = CountingSession()
    peers.add(session)
    peers.report()
    session.sent.clear()
    peers.report()
    assert not session.sent + session.waiting
    now[0] = 0.5
    setattr(state, field, changed)
    peers.report()
    assert bool(session.sent) is at_once
    assert bool(session.waiting) is not at_once


def test_events_are_answered_from_the_time_line() -> None:
    """Guards against requests whose events can't be queried."""

    async def scenario() -> None:
        async with make_rig() as rig:
            entry = await rig.entry()
            submit = make_submit()
            await entry.ask(submit)
            entry.send(EventsRequest(3, submit.request_id, 10))
            reply = await entry.receive(EventsReply)
            assert (reply.query_id, reply.process) == (3, 'sidecar-1')
            names = [row[1] for row in reply.rows]
            assert names == ['request_started', 'request_finished']
            entry.send(EventsRequest(4, submit.request_id, 1))
            short = await entry.receive(EventsReply)
            assert short.rows == reply.rows[-1:]

    anyio.run(scenario)
