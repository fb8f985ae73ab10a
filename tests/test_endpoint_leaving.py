"""Tests of endpoints that say in their answers that they are leaving."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio
import pytest

from entry_rig import make_fleet
from quetzaldyke.connection.messages import LeavingNotice, Report
from quetzaldyke.parts.hlc import HybridClock
from quetzaldyke.parts.timeline import Event, Timeline
from quetzaldyke.process.endpoint_leaving import (
    END_CHECKS,
    LEAVING_HEADER,
    EndpointLeaving,
)
from sidecar_rig import full_answer, make_item, make_rig, make_submit, until

WORD = [(LEAVING_HEADER, b'1')]
NO_WORD: list[tuple[bytes, bytes]] = []
MANY = 1000


class Recorder:
    """Keeps log events and counts changes."""

    def __init__(self) -> None:
        """Create the state of an endpoint that has said nothing."""
        self.events: list[tuple[str, dict[str, object]]] = []
        self.changes = 0
        self.timeline = Timeline(HybridClock('test'))
        self.state = EndpointLeaving(self.log, self.count)

    def log(self, name: str, **fields: object) -> Event:
        """Keep one event."""
        self.events.append((name, fields))
        return self.timeline.record(name, **fields)

    def count(self) -> None:
        """Count one change."""
        self.changes += 1


def test_word_holds_until_the_endpoint_was_down() -> None:
    """Guards against work for an endpoint that leaves, and for none after."""
    recorder = Recorder()
    state = recorder.state
    for _ in range(MANY):
        state.watch_answer()(WORD)
    assert state.leaving
    assert recorder.changes == 1
    assert len(recorder.events) == 1
    state.begin_lifetime()
    assert not state.leaving
    assert recorder.changes == 2


def test_late_word_of_an_earlier_lifetime_is_ignored() -> None:
    """Guards against draining the endpoint that took over the address."""
    state = Recorder().state
    read_head = state.watch_answer()
    state.begin_lifetime()
    read_head(WORD)
    assert not state.leaving


def test_single_false_word_ends_after_some_health_checks() -> None:
    """Guards against one faulty answer that idles an endpoint for ever."""
    state = Recorder().state
    state.watch_answer()(WORD)
    for _ in range(END_CHECKS - 1):
        state.note_sound_check()
        assert state.leaving
    state.note_sound_check()
    assert not state.leaving


def test_word_between_health_checks_holds_on() -> None:
    """Guards against work for an endpoint that leaves and looks healthy."""
    state = Recorder().state
    for _ in range(MANY):
        state.watch_answer()(WORD)
        state.note_sound_check()
    assert state.leaving


@pytest.mark.parametrize(
    ('values', 'leaving', 'malformed'),
    [
        ([b'1', b'1'], True, 0),
        ([b'1', b'0'], False, 1),
        ([b''], False, 1),
        ([b'0'], False, 0),
        ([b'true'], False, 1),
        ([b'9' * 60_000], False, 1),
    ],
    ids=['twice', 'contradiction', 'empty', 'zero', 'text', 'huge'],
)
def test_false_word_has_one_outcome(
    values: list[bytes], leaving: bool, malformed: int
) -> None:
    """Guards against odd words that drain an endpoint or flood the log."""
    recorder = Recorder()
    headers = [(LEAVING_HEADER, one) for one in values]
    for _ in range(MANY):
        recorder.state.watch_answer()(headers)
    assert recorder.state.leaving is leaving
    assert recorder.state.malformed == malformed * MANY
    assert len(recorder.events) == int(leaving) + malformed
    recorder.state.begin_lifetime()
    if leaving or malformed:
        name, fields = recorder.events[-1]
        assert name == 'endpoint_leaving_ended'
        assert fields == {'malformed': malformed * MANY}


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    """Run a scenario."""
    anyio.run(scenario)


def test_engine_that_leaves_gets_no_new_work() -> None:
    """Guards against requests that an engine is handed after its word."""

    async def scenario() -> None:
        async with make_rig(max_streams=3) as rig:
            entry = await rig.entry()
            grant = await entry.obtain_grant()
            item, item_done = entry.begin(make_item(grant, 'item', 5000))
            await until(lambda: len(item.texts) > 1)
            running, running_done = entry.begin(make_submit('running', 100))
            await until(lambda: len(running.texts) > 1)
            rig.engine.faults.leaving = True
            word, word_done = entry.begin(make_submit('word', 100))
            queued, queued_done = entry.begin(make_submit('queued', 4))
            await entry.receive(Report, lambda report: not report.endpoint_up)
            await queued_done.wait()
            assert queued.failed is not None
            assert queued.failed.ran == 'not_run'
            late = await entry.ask(make_submit('late', 4))
            assert late.failed is not None
            assert late.failed.ran == 'not_run'
            assert late.failed.reason == 'endpoint is leaving'
            assert late.failed.retry_after_ms
            await item_done.wait()
            assert item.failed is not None
            assert item.failed.reason == 'preempted'
            await running_done.wait()
            assert running.text == full_answer('running', 100)
            await word_done.wait()
            assert word.text == full_answer('word', 100)
            assert not entry.received(LeavingNotice)

    run(scenario)


def test_next_lifetime_of_an_engine_gets_work() -> None:
    """Guards against a word that outlasts the engine that said it."""

    async def scenario() -> None:
        async with make_rig() as rig:
            entry = await rig.entry()
            rig.engine.faults.leaving = True
            await entry.receive(Report, lambda report: not report.endpoint_up)
            rig.engine.faults.down = True
            await until(lambda: not rig.sidecar.monitor.up)
            rig.engine.faults.leaving = False
            rig.engine.faults.down = False
            await until(lambda: rig.sidecar.monitor.takes_work)
            after = await entry.ask(make_submit('after', 4))
            assert after.text == full_answer('after', 4)

    run(scenario)


def test_word_on_a_refusal_counts() -> None:
    """Guards against a word that only some kinds of answers carry."""

    async def scenario() -> None:
        async with make_rig() as rig:
            entry = await rig.entry()
            rig.engine.faults.refuse_for_s = 1
            rig.engine.faults.leaving = True
            refused = await entry.ask(make_submit())
            assert refused.failed is not None
            assert not rig.sidecar.monitor.takes_work

    run(scenario)


def test_engine_that_leaves_and_ends_is_no_crash() -> None:
    """Guards against blaming requests for the end of an engine that left."""

    async def scenario() -> None:
        async with make_rig() as rig:
            entry = await rig.entry()
            cut, done = entry.begin(make_submit('cut', 5000))
            await until(lambda: len(cut.texts) > 1)
            rig.engine.faults.leaving = True
            await entry.receive(Report, lambda report: not report.endpoint_up)
            rig.engine.faults.down = True
            await done.wait()
            assert cut.failed is not None
            assert not rig.sidecar.peers.suspects.crashes

    run(scenario)


def test_entry_places_requests_elsewhere_or_refuses_at_once() -> None:
    """Guards against requests that wait for an engine that leaves."""

    async def scenario() -> None:
        async with make_fleet(engines=2) as fleet:
            first, second = fleet.engines.values()
            first.faults.leaving = True
            links = fleet.entry().fleet.links_of
            await until(lambda: len(links('orders')) == 1)
            started = first.counts.requests
            for number in range(4):
                answer = await fleet.complete(f'p{number}', 4)
                assert answer.text == full_answer(f'p{number}', 4)
            assert first.counts.requests == started
            second.faults.leaving = True
            await until(lambda: not links('orders'))
            refused = await fleet.complete('none', 4)
            assert refused.status == 503
            assert refused.error['ran'] == 'not_run'
            assert int(refused.headers['retry-after']) > 0

    run(scenario)
