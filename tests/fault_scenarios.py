"""Scenarios that inject faults into a fleet of processes under load."""

from __future__ import annotations

import random
import signal
from collections.abc import Callable, Coroutine
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from typing import Any

import anyio
import httpcore
import orjson

from quetzaldyke.commands.caller import (
    Caller,
    item_line,
    job_results,
    new_key,
    submit_job,
)
from quetzaldyke.commands.process_fleet import (
    ProcessFleet,
    start_entry,
    start_fleet,
)
from quetzaldyke.commands.task_fleet import FleetPlan, PoolPlan
from quetzaldyke.standins.engine_options import EngineOptions
from quetzaldyke.standins.engine_text import answer_text

ORGANISATION = 'depot'
POOL = 'orders'
ITEMS = 40
TOKENS = 20
BOOKINGS = 6
PATCHES = 4
FAULT_DURATION_S = 2.0
TRANSPORT_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)
PLAN = FleetPlan(
    'faults',
    ('a', 'b'),
    entries=2,
    pools=(
        PoolPlan(POOL, 3, engine=EngineOptions(step_ms=8.0, max_streams=4)),
        PoolPlan('dispatch', 1, kind='service'),
    ),
    organisations={ORGANISATION: 'depot-key'},
)


@dataclass
class Scenario:
    """A fleet under load, and the responses that its callers received."""

    fleet: ProcessFleet
    rng: random.Random
    job_ids: set[str] = field(default_factory=set)
    online: list[tuple[str, Any]] = field(default_factory=list)
    bookings: dict[str, list[tuple[int, Any]]] = field(default_factory=dict)
    patches: dict[str, list[tuple[int, Any]]] = field(default_factory=dict)
    versions: list[int] = field(default_factory=list)

    def prompts(self) -> list[str]:
        """Return the prompts of the job's items."""
        return [f'plan {number} for the evening' for number in range(ITEMS)]


async def call(
    caller: Caller,
    method: str,
    path: str,
    body: object = None,
    headers: dict[str, str] | None = None,
) -> tuple[int, Any]:
    """Send a request; return status 0 if there is no complete response."""
    try:
        with anyio.fail_after(20):
            return await caller.request(method, path, body, headers)
    except (*TRANSPORT_ERRORS, TimeoutError):
        return 0, None


# Load


async def submit_until_accepted(scenario: Scenario, key: str) -> None:
    """Submit the job to the entries in turn until one accepts it.

    Raises `AssertionError` if none has done so after 60 attempts.
    """
    lines = [
        item_line(number, POOL, prompt, TOKENS)
        for number, prompt in enumerate(scenario.prompts())
    ]
    for number in range(60):
        caller = scenario.fleet.caller(ORGANISATION, number)
        try:
            with anyio.fail_after(10):
                job = await submit_job(caller, lines, key)
        except (*TRANSPORT_ERRORS, RuntimeError, TimeoutError):
            await anyio.sleep(0.25)
            continue
        scenario.job_ids.add(job['id'])
        return
    raise AssertionError('the job was never accepted')


async def send_online(scenario: Scenario) -> None:
    """Stream two concurrent sequences of online requests."""

    async def send_in_sequence(number: int) -> None:
        for turn in range(12):
            prompt = f'message {number} {turn}'
            caller = scenario.fleet.caller(ORGANISATION, number + turn)
            try:
                with anyio.fail_after(20):
                    outcome = await caller.chat(POOL, prompt, TOKENS)
            except TimeoutError:
                outcome = None
            scenario.online.append((prompt, outcome))
            await anyio.sleep(0.1)

    async with anyio.create_task_group() as group:
        for number in range(2):
            group.start_soon(send_in_sequence, number)


async def send_bookings(scenario: Scenario) -> None:
    """Send each booking four times with one key, alternating the entries."""
    for number in range(BOOKINGS):
        name, key = f'booking-{number}', new_key()
        answers = scenario.bookings.setdefault(name, [])
        for turn in range(4):
            caller = scenario.fleet.caller(ORGANISATION, turn)
            answers.append(
                await call(
                    caller,
                    'POST',
                    '/services/dispatch/bookings',
                    {'id': name},
                    {'idempotency-key': key},
                )
            )
        await anyio.sleep(0.2)


async def send_patches(scenario: Scenario) -> None:
    """Let two operators send patches to the version they read, each twice."""

    async def operator(number: int) -> None:
        client = scenario.fleet.operator(number)
        for turn in range(PATCHES):
            _, current = await call(client, 'GET', '/config')
            base = current['version'] if isinstance(current, dict) else 0
            patch_id = f'operator-{number}-{turn}'
            body = {
                'base_version': base,
                'patch_id': patch_id,
                'patch': [
                    {
                        'op': 'add',
                        'path': '/max_item_tries',
                        'value': 3 + number + turn,
                    }
                ],
            }
            answers = scenario.patches.setdefault(patch_id, [])
            for _ in range(2):
                answers.append(
                    await call(client, 'POST', '/config/patches', body)
                )
            await anyio.sleep(0.3)

    async with anyio.create_task_group() as group:
        for number in range(2):
            group.start_soon(operator, number)


# Faults


async def kill_endpoint(scenario: Scenario) -> None:
    """Kill an endpoint and its sidecar; unlist the instance later."""
    for name in (f'{POOL}-0', f'engine-{POOL}-0'):
        scenario.fleet.members[name].process.kill()
    await anyio.sleep(FAULT_DURATION_S)
    control = scenario.fleet.control('instances')
    await control.request('DELETE', f'/instances/{POOL}-0')


async def replace_entry(scenario: Scenario) -> None:
    """Kill an entry that may have accepted work, and start another."""
    scenario.fleet.members['entry-1'].process.kill()
    del scenario.fleet.callers[1]
    del scenario.fleet.operators[1]
    await start_entry(scenario.fleet, 2)
    control = scenario.fleet.control('instances')
    await control.request('DELETE', '/instances/entry-1')
    row = scenario.fleet.rows['entry-2']
    await control.request('PUT', '/instances/entry-2', row)


async def resend_job(scenario: Scenario) -> None:
    """Submit the job again, with the same content and a new key."""
    await submit_until_accepted(scenario, new_key())


async def fail_store_calls(scenario: Scenario) -> None:
    """Make all calls to the key-value service fail for a while."""
    control = scenario.fleet.control('kv')
    await control.request('PUT', '/faults', {'drop_ratio': 1.0})
    await anyio.sleep(FAULT_DURATION_S)
    await control.request('PUT', '/faults', {'drop_ratio': 0.0})


async def lose_store_responses(scenario: Scenario) -> None:
    """Lose the responses of 30 % of the applied writes for a while."""
    control = scenario.fleet.control('kv')
    await control.request('PUT', '/faults', {'lose_answers_ratio': 0.3})
    await anyio.sleep(FAULT_DURATION_S)
    await control.request('PUT', '/faults', {'lose_answers_ratio': 0.0})


async def pause_entry(scenario: Scenario) -> None:
    """Pause an entry for longer than its peers wait, then resume it."""
    process = scenario.fleet.members['entry-0'].process
    process.send_signal(signal.SIGSTOP)
    await anyio.sleep(FAULT_DURATION_S * 2)
    process.send_signal(signal.SIGCONT)


async def delay_store_calls(scenario: Scenario) -> None:
    """Delay all calls to the key-value service for a while."""
    control = scenario.fleet.control('kv')
    await control.request('PUT', '/faults', {'delay_s': 0.4})
    await anyio.sleep(FAULT_DURATION_S)
    await control.request('PUT', '/faults', {'delay_s': 0.0})


async def send_crashing_request(scenario: Scenario) -> None:
    """Send a request that crashes every endpoint that runs it."""
    for number in range(3):
        caller = scenario.fleet.caller(ORGANISATION, number)
        with anyio.move_on_after(10):
            await caller.chat(POOL, 'CRASH the engine', TOKENS)


Fault = Callable[[Scenario], Coroutine[Any, Any, None]]

FAULTS: dict[str, Fault] = {
    'worker_dies': kill_endpoint,
    'instance_lost': replace_entry,
    'jobs_resent': resend_job,
    'store_down': fail_store_calls,
    'store_slow': delay_store_calls,
    'answers_lost': lose_store_responses,
    'holder_paused': pause_entry,
    'request_crashes': send_crashing_request,
}


# Checks


async def finished_results(scenario: Scenario) -> list[dict[str, Any]]:
    """Wait until the job has completed, and return its results.

    Raises `TimeoutError` after a minute.
    """
    (job_id,) = scenario.job_ids
    with anyio.fail_after(60):
        for number in range(10_000):
            caller = scenario.fleet.caller(ORGANISATION, number)
            status, job = await call(caller, 'GET', f'/v1/batches/{job_id}')
            if status == 200 and job['status'] == 'completed':
                return await job_results(caller, job_id)
            await anyio.sleep(0.2)
    raise AssertionError('the job did not end')


async def check_job(scenario: Scenario) -> list[str]:
    """Report items that do not have exactly one, correct result."""
    if len(scenario.job_ids) != 1:
        return [f'the resent job became {len(scenario.job_ids)} jobs']
    rows = await finished_results(scenario)
    names = sorted(row['custom_id'] for row in rows)
    expected = sorted(f'item-{number}' for number in range(ITEMS))
    problems = [] if names == expected else [f'results of {names}']
    prompts = scenario.prompts()
    for row in rows:
        number = int(row['custom_id'].removeprefix('item-'))
        message = row['response']['body']['choices'][0]['message']
        if message['content'] != answer_text(prompts[number], TOKENS):
            problems.append(f'wrong text of {row["custom_id"]}')
    return problems


def check_online(scenario: Scenario) -> list[str]:
    """Report truncated responses that seem complete, and mixed-up text."""
    problems = []
    for prompt, outcome in scenario.online:
        expected = answer_text(prompt, TOKENS)
        if outcome is None or outcome.status != 200:
            continue
        if outcome.complete and outcome.text != expected:
            problems.append(f'wrong answer to {prompt!r}')
        if not expected.startswith(outcome.text):
            problems.append(f'text of another request for {prompt!r}')
    return problems


async def check_bookings(scenario: Scenario) -> list[str]:
    """Report bookings that ran twice or contrary to their responses.

    Only a `not_run` in the last response to a booking must be true.
    """
    control = scenario.fleet.control('service-dispatch-0')
    _, counts = await control.request('GET', '/executions')
    assert isinstance(counts, dict)
    executions = counts.get('executions', counts)
    problems = [
        f'{name} ran {runs} times'
        for name, runs in executions.items()
        if runs > 1
    ]
    for name, answers in scenario.bookings.items():
        runs = executions.get(name, 0)
        if any(status == 201 for status, _ in answers) and runs != 1:
            problems.append(f'{name} was answered and ran {runs} times')
        if runs and reports_not_run(answers[-1][1]):
            problems.append(f'{name} ran, last answer {answers[-1]}')
    return problems


def reports_not_run(content: object) -> bool:
    """Return whether a response states that the request did not run."""
    return isinstance(content, dict) and (
        content.get('error', {}).get('ran') == 'not_run'
    )


async def check_patches(scenario: Scenario) -> list[str]:
    """Report patches that are lost, in the history twice or not in force."""
    operator = scenario.fleet.operator()
    with anyio.fail_after(30):
        status, history = 0, None
        while status != 200:
            status, history = await call(operator, 'GET', '/config/history')
            await anyio.sleep(0.1)
    assert isinstance(history, dict)
    listed = [row['patch_id'] for row in history['patches']]
    problems = [
        f'{name} is in the history twice'
        for name in set(listed)
        if listed.count(name) > 1
    ]
    for name, answers in scenario.patches.items():
        accepted = any(status == 200 for status, _ in answers)
        if accepted and name not in listed:
            problems.append(f'{name} was accepted and is not in the history')
    latest = max(row['version'] for row in history['patches'])
    for number in range(len(scenario.fleet.operators)):
        client = scenario.fleet.operator(number)
        status, answer = await call(
            client, 'GET', f'/config/wait?version={latest}&timeout_s=8'
        )
        if status != 200 or not answer['everywhere']:
            text = orjson.dumps(answer).decode()
            problems.append(f'version {latest} is not in force: {text}')
    return problems


async def run_scenario(names: tuple[str, ...], seed: int) -> list[str]:
    """Run the load with these faults; return the violated guarantees."""
    async with AsyncExitStack() as stack:
        fleet = await start_fleet(stack, PLAN)
        scenario = Scenario(fleet, random.Random(seed))
        async with anyio.create_task_group() as group:
            group.start_soon(submit_until_accepted, scenario, new_key())
            group.start_soon(send_online, scenario)
            group.start_soon(send_bookings, scenario)
            group.start_soon(send_patches, scenario)
            for name in names:
                await anyio.sleep(scenario.rng.uniform(0.05, 0.6))
                group.start_soon(FAULTS[name], scenario)
        return [
            *await check_job(scenario),
            *check_online(scenario),
            *await check_bookings(scenario),
            *await check_patches(scenario),
        ]
