"""Tests of the sidecar's relay between an entry and its endpoint."""

from __future__ import annotations

import subprocess
import sys

import anyio
import pytest

from quetzaldyke.connection.messages import Cancel, Window
from sidecar_rig import full_answer, make_rig, make_submit, until


@pytest.mark.parametrize('tokens', [1, 8, 300])
def test_answer_is_complete(tokens: int) -> None:
    """Guards against lost, repeated or reordered text."""

    async def scenario() -> None:
        async with make_rig(engine={'step_ms': 0.5}) as rig:
            entry = await rig.entry()
            outcome = await entry.ask(make_submit('hello', tokens))
            assert outcome.text == full_answer('hello', tokens)
            assert outcome.end is not None
            assert outcome.end.completion_tokens == tokens
            assert outcome.end.finish_reason == 'length'

    anyio.run(scenario)


def test_resumed_answer_is_complete() -> None:
    """Guards against a resumption that repeats or skips tokens."""

    async def scenario() -> None:
        async with make_rig() as rig:
            entry = await rig.entry()
            outcome = await entry.ask(
                make_submit(
                    'hello',
                    8,
                    resume_text=full_answer('hello', 3),
                    resume_tokens=3,
                ),
            )
            assert full_answer('hello', 3) + outcome.text == full_answer(
                'hello', 8
            )

    anyio.run(scenario)


@pytest.mark.parametrize(
    ('changes', 'ran', 'reason'),
    [
        ({'remaining_ms': 0}, 'not_run', 'deadline has passed'),
        ({'path': '@127.0.0.1:1/x'}, 'not_run', 'malformed request'),
        ({'headers': {'x': 'a\r\nb: c'}}, 'not_run', 'malformed request'),
        ({'work': 'other'}, 'not_run', 'unknown class of work'),
        ({'pool': 'another'}, 'not_run', 'pool is not lent'),
    ],
)
def test_refusals(changes: dict[str, object], ran: str, reason: str) -> None:
    """Guards against running invalid requests, or refusing without a reason."""

    async def scenario() -> None:
        async with make_rig() as rig:
            entry = await rig.entry()
            outcome = await entry.ask(make_submit(**changes))  # type: ignore[arg-type]
            assert outcome.failed is not None
            assert (outcome.failed.ran, outcome.failed.reason) == (ran, reason)
            assert not outcome.started
            assert rig.engine.counts.requests == 0

    anyio.run(scenario)


def test_engine_error_is_passed_on() -> None:
    """Guards against retrying a request that the engine calls invalid."""

    async def scenario() -> None:
        async with make_rig() as rig:
            entry = await rig.entry()
            outcome = await entry.ask(make_submit('INVALID'))
            assert outcome.end is not None
            assert outcome.end.status == 400
            assert b'invalid_request' in outcome.end.body

    anyio.run(scenario)


def test_engine_killed_in_mid_stream() -> None:
    """Guards against reporting a truncated answer as complete."""

    async def scenario() -> None:
        async with make_rig() as rig:
            entry = await rig.entry()
            outcome, done = entry.begin(make_submit('hello', 5000))
            await until(lambda: len(outcome.texts) > 3)
            rig.engine.faults.down = True
            await done.wait()
            assert outcome.end is None
            assert outcome.failed is not None
            assert outcome.failed.ran == 'unknown'
            text = outcome.failed.partial_text
            assert text == full_answer('hello', outcome.failed.partial_tokens)
            assert text.startswith(outcome.text)
            refused = await entry.ask(make_submit())
            assert refused.failed is not None
            assert refused.failed.ran == 'not_run'
            rig.engine.faults.down = False
            await until(lambda: rig.sidecar.monitor.up)
            again = await entry.ask(make_submit())
            assert again.text == full_answer('hello', 8)

    anyio.run(scenario)


def test_slow_reader_does_not_stall_others() -> None:
    """Guards against one caller's backpressure stalling another request."""

    async def scenario() -> None:
        async with make_rig(engine={'step_ms': 0.5}) as rig:
            entry = await rig.entry()
            slow = make_submit('slow', 400)
            call = entry.calls.begin(slow)
            await until(lambda: bool(rig.engine.counts.finished))
            await until(lambda: not rig.sidecar.admission.running)
            request = rig.sidecar.runner.requests[slow.request_id]
            assert request.answer.credit == 0
            other = await entry.ask(make_submit('other', 200))
            assert other.text == full_answer('other', 200)
            text = ''
            while not call.finished:
                entry.send(Window(slow.request_id, 1))
                await anyio.sleep(0.002)
            async for event in call.queue:
                text += getattr(event, 'text', '')
            assert text == full_answer('slow', 400)
            assert slow.request_id not in rig.sidecar.runner.requests

    anyio.run(scenario)


@pytest.mark.parametrize('loses_connection', [False, True])
def test_unwanted_requests_stop_at_the_engine(loses_connection: bool) -> None:
    """Guards against slots held by requests whose answer nobody reads."""

    async def scenario() -> None:
        async with make_rig(engine={'keep_orphans': True}) as rig:
            entry = await rig.entry()
            submit = make_submit('long', 100_000)
            outcome, _ = entry.begin(submit)
            await until(lambda: len(outcome.texts) > 1)
            if loses_connection:
                entry.scope.cancel()
            else:
                entry.send(Cancel(submit.request_id))
            await until(lambda: not rig.engine.batch.ids())
            await until(lambda: not rig.sidecar.runner.requests)

    anyio.run(scenario)


def test_orphans_are_cancelled_at_the_start() -> None:
    """Guards against slots held for ever by streams of a crashed sidecar."""

    async def scenario() -> None:
        async with make_rig(engine={'keep_orphans': True}) as rig:
            entry = await rig.entry()
            outcome, _ = entry.begin(make_submit('long', 100_000))
            await until(lambda: len(outcome.texts) > 1)
            await rig.crash_sidecar()
            assert rig.engine.batch.ids()
            await rig.restart_sidecar()
            assert not rig.engine.batch.ids()

    anyio.run(scenario)


def test_endpoint_that_was_restarted_gets_new_connections() -> None:
    """Guards against requests sent on connections to the previous process."""

    async def scenario() -> None:
        async with make_rig() as rig:
            entry = await rig.entry()
            for _ in range(2):
                answers = [
                    entry.begin(make_submit(f'p{number}', 8))
                    for number in range(4)
                ]
                for number, (outcome, done) in enumerate(answers):
                    await done.wait()
                    assert outcome.text == full_answer(f'p{number}', 8)
                rig.engine.faults.down = True
                await until(lambda: not rig.sidecar.monitor.up)
                rig.engine.faults.down = False
                await until(lambda: rig.sidecar.monitor.up)

    anyio.run(scenario)


def test_own_streams_are_no_orphans() -> None:
    """Guards against cancelling live streams when a hung engine recovers."""

    async def scenario() -> None:
        async with make_rig() as rig:
            entry = await rig.entry()
            outcome, done = entry.begin(make_submit('hello', 100))
            await until(lambda: len(outcome.texts) > 1)
            rig.sidecar.monitor.up = False
            await rig.sidecar.monitor.bring_up()
            await done.wait()
            assert outcome.text == full_answer('hello', 100)

    anyio.run(scenario)


def test_request_id_in_use_is_refused() -> None:
    """Guards against two answers mixed under one request id."""

    async def scenario() -> None:
        async with make_rig() as rig:
            first = await rig.entry('entry-1')
            second = await rig.entry('entry-2')
            submit = make_submit('hello', 200)
            outcome, done = first.begin(submit)
            await until(lambda: outcome.started)
            refused = await second.ask(submit)
            assert refused.failed is not None
            assert refused.failed.ran == 'not_run'
            request = rig.sidecar.runner.requests[submit.request_id]
            assert request.session.remote.instance == 'entry-1'
            await done.wait()
            assert outcome.text == full_answer('hello', 200)

    anyio.run(scenario)


def test_sidecar_imports_no_server_library() -> None:
    """Guards against memory spent on libraries that a sidecar never uses."""
    script = (
        'import sys, quetzaldyke.process.sidecar;'
        'print([n for n in ("uvicorn", "starlette", "fire")'
        ' if n in sys.modules])'
    )
    printed = subprocess.run(
        [sys.executable, '-c', script],
        capture_output=True,
        text=True,
        check=True,
        env={'PYTHONPATH': 'src'},
    )
    assert printed.stdout.strip() == '[]'
