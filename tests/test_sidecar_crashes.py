"""Tests of requests that crash the engines that run them."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager

import anyio
import pytest

from quetzaldyke.connection.messages import CRASHES_ENDPOINTS, SuspectUpdate
from sidecar_rig import (
    EntryClient,
    Rig,
    full_answer,
    make_rig,
    make_submit,
    until,
)

ENDPOINTS = 5
CRASHING = 'please CRASH now'
TRIES = 40


@asynccontextmanager
async def make_fleet() -> AsyncIterator[list[tuple[Rig, EntryClient]]]:
    """Run several endpoints with an entry that forwards suspects."""
    async with AsyncExitStack() as stack:
        fleet: list[tuple[Rig, EntryClient]] = []
        for number in range(ENDPOINTS):
            rig = await stack.enter_async_context(
                make_rig(
                    instance=f'sidecar-{number}',
                    engine={'restart_s': 0.1},
                ),
            )
            fleet.append((rig, await rig.entry()))
        group = await stack.enter_async_context(anyio.create_task_group())
        group.start_soon(pass_suspects_on, fleet)
        yield fleet
        group.cancel_scope.cancel()


async def pass_suspects_on(fleet: list[tuple[Rig, EntryClient]]) -> None:
    """Forward each update to the other sidecars, as an entry does."""
    while True:
        for _, entry in fleet:
            for update in entry.received(SuspectUpdate):
                entry.inbox.remove(update)
                for _, other in fleet:
                    if other is not entry:
                        other.send(update)
        await anyio.sleep(0.001)


async def ask_until_answered(
    fleet: list[tuple[Rig, EntryClient]],
    prompt: str,
    tokens: int,
    first: int,
) -> str:
    """Try one endpoint after another; return the text or the last reason."""
    text = ''
    for number in range(first, first + TRIES):
        _, entry = fleet[number % len(fleet)]
        outcome = await entry.ask(make_submit(prompt, tokens))
        if outcome.end is not None:
            text = outcome.text
            break
        assert outcome.failed is not None
        text = outcome.failed.reason
        if text == CRASHES_ENDPOINTS:
            break
        await anyio.sleep(0.02)
    return text


def test_crashing_request_costs_few_endpoints() -> None:
    """Guards against retries of one request that crash the whole fleet.

    Other requests run beside it on every endpoint and are all answered.
    """
    answers: dict[str, str] = {}

    async def scenario() -> None:
        async with make_fleet() as fleet:

            async def ask(prompt: str, tokens: int, first: int) -> None:
                answers[prompt] = await ask_until_answered(
                    fleet, prompt, tokens, first
                )

            async with anyio.create_task_group() as group:
                for number in range(2 * ENDPOINTS):
                    group.start_soon(ask, f'innocent {number}', 60, number)
                await until(
                    lambda: all(
                        len(rig.sidecar.admission.running) == 2
                        for rig, _ in fleet
                    ),
                )
                group.start_soon(ask, CRASHING, 60, 0)
            again = await ask_until_answered(fleet, CRASHING, 60, 3)
            assert again == CRASHES_ENDPOINTS
            crashes = [rig.engine.counts.crashes for rig, _ in fleet]
            assert 2 <= sum(crashes) <= 3

    anyio.run(scenario)
    assert answers.pop(CRASHING) == CRASHES_ENDPOINTS
    assert answers == {prompt: full_answer(prompt, 60) for prompt in answers}


def test_taking_part_in_the_confirming_crash_is_ran() -> None:
    """Guards against a false "not run" for the request that crashed."""

    async def scenario() -> None:
        async with make_rig(engine={'restart_s': 0.1}) as rig:
            entry = await rig.entry()
            ran_values: list[str] = []
            while 'ran' not in ran_values:
                await until(lambda: rig.sidecar.monitor.up)
                outcome = await entry.ask(make_submit(CRASHING))
                assert outcome.failed is not None
                ran_values.append(outcome.failed.ran)
            last = await entry.ask(make_submit(CRASHING))
            assert last.failed is not None
            assert last.failed.ran == 'not_run'
            assert last.failed.reason == CRASHES_ENDPOINTS
            assert rig.engine.counts.crashes <= 3

    anyio.run(scenario)


def test_suspect_that_finishes_is_cleared() -> None:
    """Guards against an innocent request that stays a suspect for an hour."""

    async def scenario() -> None:
        async with make_rig(engine={'restart_s': 0.1}) as rig:
            entry = await rig.entry()
            outcome, done = entry.begin(make_submit('innocent', 500))
            await until(lambda: outcome.started)
            await entry.ask(make_submit(CRASHING))
            await done.wait()
            crash = await entry.receive(SuspectUpdate)
            assert set(crash.crashes) == {'fp-innocent', f'fp-{CRASHING}'}
            await until(lambda: rig.sidecar.monitor.up)
            again = await entry.ask(make_submit('innocent', 5))
            assert again.text == full_answer('innocent', 5)
            cleared = await entry.receive(SuspectUpdate)
            assert cleared.cleared == {
                'fp-innocent': crash.crashes['fp-innocent'],
            }
            late = await rig.entry('entry-2')
            known = await late.receive(SuspectUpdate)
            assert known.cleared == cleared.cleared

    anyio.run(scenario)


@pytest.mark.parametrize('breaks', ['one stream', 'idle engine'])
def test_faults_that_are_no_crash(breaks: str) -> None:
    """Guards against suspects recorded without a crash under load."""

    async def scenario() -> None:
        async with make_rig() as rig:
            entry = await rig.entry()
            submit = make_submit('innocent', 5000)
            if breaks == 'one stream':
                outcome, done = entry.begin(submit)
                await until(lambda: len(outcome.texts) > 1)
                rig.engine.batch.cancel(submit.request_id)
                await done.wait()
                assert outcome.failed is not None
                assert outcome.failed.ran == 'unknown'
            else:
                rig.engine.faults.down = True
                await until(lambda: not rig.sidecar.monitor.up)
            assert not rig.sidecar.peers.suspects.crashes

    anyio.run(scenario)


def test_suspects_are_passed_on_to_other_entries() -> None:
    """Guards against suspects that are not forwarded to other entries."""

    async def scenario() -> None:
        async with make_rig() as rig:
            first = await rig.entry('entry-1')
            second = await rig.entry('entry-2')
            crash_id = f'{rig.sidecar.peers.now_ms()}/elsewhere/1'
            first.send(SuspectUpdate({'fp-x': [crash_id]}, {}))
            update = await second.receive(SuspectUpdate)
            assert update.crashes == {'fp-x': [crash_id]}
            first.send(SuspectUpdate({'fp-x': [crash_id]}, {}))
            await first.ask(make_submit())
            assert not second.received(SuspectUpdate)
            assert not first.received(SuspectUpdate)

    anyio.run(scenario)


def test_suspects_run_apart() -> None:
    """Guards against two suspects that run together and share a crash."""

    async def scenario() -> None:
        async with make_rig() as rig:
            entry = await rig.entry()
            now_ms = rig.sidecar.peers.now_ms()
            entry.send(
                SuspectUpdate(
                    {
                        'fp-one': [f'{now_ms}/elsewhere/1'],
                        'fp-two': [f'{now_ms}/elsewhere/1'],
                    },
                    {},
                ),
            )
            first, first_done = entry.begin(make_submit('one', 60))
            second, second_done = entry.begin(make_submit('two', 60))
            clear = await entry.ask(make_submit('clear', 5))
            assert clear.text == full_answer('clear', 5)
            assert first.started
            assert not second.started
            await first_done.wait()
            await second_done.wait()
            assert second.text == full_answer('two', 60)

    anyio.run(scenario)
