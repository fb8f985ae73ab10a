"""Faults against a fleet of real processes, and the load that they meet."""

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
FAULT_S = 2.0
BROKEN = (
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
class World:
    """One fleet under load, and what its callers were told."""

    fleet: ProcessFleet
    rng: random.Random
    job_ids: set[str] = field(default_factory=set)
    online: list[tuple[str, Any]] = field(default_factory=list)
    bookings: dict[str, list[tuple[int, Any]]] = field(default_factory=dict)
    patches: dict[str, list[tuple[int, Any]]] = field(default_factory=dict)
    versions: list[int] = field(default_factory=list)

    def prompts(self) -> list[str]:
        """Return the prompts of the job."""
        return [f'plan {number} for the evening' for number in range(ITEMS)]


async def call(
    caller: Caller,
    method: str,
    path: str,
    body: object = None,
    headers: dict[str, str] | None = None,
) -> tuple[int, Any]:
    """Make a call; status 0 when there was no answer."""
    try:
        with anyio.fail_after(20):
            return await caller.request(method, path, body, headers)
    except (*BROKEN, TimeoutError):
        return 0, None


# Load


async def submit_until_accepted(world: World, key: str) -> None:
    """Send the job again until it was acknowledged, by any entry."""
    lines = [
        item_line(number, POOL, prompt, TOKENS)
        for number, prompt in enumerate(world.prompts())
    ]
    for number in range(60):
        caller = world.fleet.caller(ORGANISATION, number)
        try:
            with anyio.fail_after(10):
                job = await submit_job(caller, lines, key)
        except (*BROKEN, RuntimeError, TimeoutError):
            await anyio.sleep(0.25)
            continue
        world.job_ids.add(job['id'])
        return
    raise AssertionError('the job was never accepted')


async def send_online(world: World) -> None:
    """Stream online requests, one after the other on two lanes."""

    async def lane(number: int) -> None:
        for turn in range(12):
            prompt = f'message {number} {turn}'
            caller = world.fleet.caller(ORGANISATION, number + turn)
            try:
                with anyio.fail_after(20):
                    outcome = await caller.chat(POOL, prompt, TOKENS)
            except TimeoutError:
                outcome = None
            world.online.append((prompt, outcome))
            await anyio.sleep(0.1)

    async with anyio.create_task_group() as group:
        for number in range(2):
            group.start_soon(lane, number)


async def send_bookings(world: World) -> None:
    """Send each booking to both entries, again after a failure."""
    for number in range(BOOKINGS):
        name, key = f'booking-{number}', new_key()
        answers = world.bookings.setdefault(name, [])
        for turn in range(4):
            caller = world.fleet.caller(ORGANISATION, turn)
            answers.append(
                await call(
                    caller,
                    'POST',
                    '/services/dispatch/bookings',
                    {'id': name},
                    {'idempotency-key': key},
                ),
            )
        await anyio.sleep(0.2)


async def send_patches(world: World) -> None:
    """Let two operators patch on top of what they read."""

    async def operator(number: int) -> None:
        client = world.fleet.operator(number)
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
                    },
                ],
            }
            answers = world.patches.setdefault(patch_id, [])
            for _ in range(2):
                answers.append(
                    await call(client, 'POST', '/config/patches', body),
                )
            await anyio.sleep(0.3)

    async with anyio.create_task_group() as group:
        for number in range(2):
            group.start_soon(operator, number)


# Faults


async def worker_dies(world: World) -> None:
    """Kill an endpoint with its sidecar; the list drops it later."""
    for name in (f'{POOL}-0', f'engine-{POOL}-0'):
        world.fleet.members[name].process.kill()
    await anyio.sleep(FAULT_S)
    control = world.fleet.control('instances')
    await control.request('DELETE', f'/instances/{POOL}-0')


async def instance_lost(world: World) -> None:
    """Kill an entry that acknowledged work, and start another."""
    world.fleet.members['entry-1'].process.kill()
    del world.fleet.callers[1]
    del world.fleet.operators[1]
    await start_entry(world.fleet, 2)
    control = world.fleet.control('instances')
    await control.request('DELETE', '/instances/entry-1')
    row = world.fleet.rows['entry-2']
    await control.request('PUT', '/instances/entry-2', row)


async def jobs_resent(world: World) -> None:
    """Send the whole job again, with the same contents and a new key."""
    await submit_until_accepted(world, new_key())


async def store_down(world: World) -> None:
    """Break every call of the key-value service for a while."""
    control = world.fleet.control('kv')
    await control.request('PUT', '/faults', {'drop_ratio': 1.0})
    await anyio.sleep(FAULT_S)
    await control.request('PUT', '/faults', {'drop_ratio': 0.0})


async def answers_lost(world: World) -> None:
    """Apply writes whose answer is lost, a third of the time."""
    control = world.fleet.control('kv')
    await control.request('PUT', '/faults', {'lose_answers_ratio': 0.3})
    await anyio.sleep(FAULT_S)
    await control.request('PUT', '/faults', {'lose_answers_ratio': 0.0})


async def holder_paused(world: World) -> None:
    """Pause an entry for longer than its peers wait, then let it go on."""
    process = world.fleet.members['entry-0'].process
    process.send_signal(signal.SIGSTOP)
    await anyio.sleep(FAULT_S * 2)
    process.send_signal(signal.SIGCONT)


async def store_slow(world: World) -> None:
    """Delay every call of the key-value service for a while."""
    control = world.fleet.control('kv')
    await control.request('PUT', '/faults', {'delay_s': 0.4})
    await anyio.sleep(FAULT_S)
    await control.request('PUT', '/faults', {'delay_s': 0.0})


async def request_crashes(world: World) -> None:
    """Send a request that crashes each endpoint that runs it."""
    for number in range(3):
        caller = world.fleet.caller(ORGANISATION, number)
        with anyio.move_on_after(10):
            await caller.chat(POOL, 'CRASH the engine', TOKENS)


Fault = Callable[[World], Coroutine[Any, Any, None]]

FAULTS: dict[str, Fault] = {
    'worker_dies': worker_dies,
    'instance_lost': instance_lost,
    'jobs_resent': jobs_resent,
    'store_down': store_down,
    'store_slow': store_slow,
    'answers_lost': answers_lost,
    'holder_paused': holder_paused,
    'request_crashes': request_crashes,
}


# Checks


async def finished_results(world: World) -> list[dict[str, Any]]:
    """Wait until the job has ended, and return its results."""
    (job_id,) = world.job_ids
    with anyio.fail_after(60):
        for number in range(10_000):
            caller = world.fleet.caller(ORGANISATION, number)
            status, job = await call(caller, 'GET', f'/v1/batches/{job_id}')
            if status == 200 and job['status'] == 'completed':
                return await job_results(caller, job_id)
            await anyio.sleep(0.2)
    raise AssertionError('the job did not end')


async def check_job(world: World) -> list[str]:
    """Each item has exactly one recorded result, the right one."""
    if len(world.job_ids) != 1:
        return [f'the resent job became {len(world.job_ids)} jobs']
    rows = await finished_results(world)
    names = sorted(row['custom_id'] for row in rows)
    expected = sorted(f'item-{number}' for number in range(ITEMS))
    problems = [] if names == expected else [f'results of {names}']
    prompts = world.prompts()
    for row in rows:
        number = int(row['custom_id'].removeprefix('item-'))
        message = row['response']['body']['choices'][0]['message']
        if message['content'] != answer_text(prompts[number], TOKENS):
            problems.append(f'wrong text of {row["custom_id"]}')
    return problems


def check_online(world: World) -> list[str]:
    """No answer is silently short, and none is another request's."""
    problems = []
    for prompt, outcome in world.online:
        expected = answer_text(prompt, TOKENS)
        if outcome is None or outcome.status != 200:
            continue
        if outcome.complete and outcome.text != expected:
            problems.append(f'wrong answer to {prompt!r}')
        if not expected.startswith(outcome.text):
            problems.append(f'text of another request for {prompt!r}')
    return problems


async def check_bookings(world: World) -> list[str]:
    """No booking ran twice; a `not_run` that was the last word is true."""
    control = world.fleet.control('service-dispatch-0')
    _, counts = await control.request('GET', '/executions')
    assert isinstance(counts, dict)
    executions = counts.get('executions', counts)
    problems = [
        f'{name} ran {runs} times'
        for name, runs in executions.items()
        if runs > 1
    ]
    for name, answers in world.bookings.items():
        runs = executions.get(name, 0)
        if any(status == 201 for status, _ in answers) and runs != 1:
            problems.append(f'{name} was answered and ran {runs} times')
        if runs and told_not_run(answers[-1][1]):
            problems.append(f'{name} ran, last answer {answers[-1]}')
    return problems


def told_not_run(content: object) -> bool:
    """Tell whether an answer says that the request did not run."""
    return isinstance(content, dict) and (
        content.get('error', {}).get('ran') == 'not_run'
    )


async def check_patches(world: World) -> list[str]:
    """An accepted patch is in the history once and in force everywhere."""
    operator = world.fleet.operator()
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
    for name, answers in world.patches.items():
        accepted = any(status == 200 for status, _ in answers)
        if accepted and name not in listed:
            problems.append(f'{name} was accepted and is not in the history')
    latest = max(row['version'] for row in history['patches'])
    for number in range(len(world.fleet.operators)):
        client = world.fleet.operator(number)
        status, answer = await call(
            client,
            'GET',
            f'/config/wait?version={latest}&timeout_s=8',
        )
        if status != 200 or not answer['everywhere']:
            text = orjson.dumps(answer).decode()
            problems.append(f'version {latest} is not in force: {text}')
    return problems


async def run_scenario(names: tuple[str, ...], seed: int) -> list[str]:
    """Run the load with faults and return every broken promise."""
    async with AsyncExitStack() as stack:
        fleet = await start_fleet(stack, PLAN)
        world = World(fleet, random.Random(seed))
        async with anyio.create_task_group() as group:
            group.start_soon(submit_until_accepted, world, new_key())
            group.start_soon(send_online, world)
            group.start_soon(send_bookings, world)
            group.start_soon(send_patches, world)
            for name in names:
                await anyio.sleep(world.rng.uniform(0.05, 0.6))
                group.start_soon(FAULTS[name], world)
        return [
            *await check_job(world),
            *check_online(world),
            *await check_bookings(world),
            *await check_patches(world),
        ]
