"""Benchmarks scheduling policies on the same arrivals and prints figures.

The load is open-loop, and latency counts from the intended start. Modes run
one after the other, each on its own fleet, so that they don't compete for
processors.
"""

from __future__ import annotations

import json
import sys
import time
from collections import Counter
from contextlib import AsyncExitStack
from dataclasses import dataclass
from pathlib import Path
from statistics import fmean
from typing import Any, Final

import anyio
import httpcore

from quetzaldyke.commands.arrivals import Arrival, Burst, LoadPlan, arrivals
from quetzaldyke.commands.bench_faults import FAULT_SCENARIOS, FaultScenario
from quetzaldyke.commands.bench_figures import Figures, p99, ratio
from quetzaldyke.commands.bench_modes import (
    ENGINE,
    MODES,
    ORGANISATION,
    REPLICAS,
    Mode,
    endpoint_requests_per_s,
)
from quetzaldyke.commands.caller import (
    Caller,
    ChatOutcome,
    item_line,
    job_results,
    new_key,
    submit_job,
)
from quetzaldyke.commands.demo import wait_for_job
from quetzaldyke.commands.process_fleet import ProcessFleet, start_fleet
from quetzaldyke.standins.engine_text import answer_text

TOKENS: Final = 24
ITEM_TOKENS: Final = 64
SAMPLE_INTERVAL_S: Final = 0.05
OK_STATUS: Final = 200
QUICK_WINDOW_S: Final = 3.0
FULL_WINDOW_S: Final = 40.0
# Several times the duration of one item; a shorter window ends before the
# first items do, so that its idle slot figures are meaningless.
BATCH_WINDOW_S: Final = 10.0
WARM_UP_S: Final = 0.5
# Online load as a fraction of the capacity of the endpoints.
BASE_LOAD: Final = 0.5
BURST_LOAD: Final = 0.9
BATCH_AS_ONLINE_CALLERS: Final = 60
# Prefix of the ids of online requests; ids of job items differ.
ONLINE_PREFIX: Final = 'req-'


@dataclass(slots=True)
class ModeRun:
    """One mode running on its fleet."""

    mode: Mode
    fleet: ProcessFleet
    plan: LoadPlan
    figures: Figures
    started_s: float = 0.0
    online_running: int = 0

    @property
    def elapsed_s(self) -> float:
        """Return the seconds since the start of the window."""
        return time.monotonic() - self.started_s


def load_plan(window_s: float, seed: int) -> LoadPlan:
    """Return an online load of half the capacity with one burst."""
    capacity = endpoint_requests_per_s(TOKENS) * REPLICAS
    burst = Burst(window_s * 0.5, window_s * 0.75, capacity * BURST_LOAD)
    return LoadPlan(seed, window_s, capacity * BASE_LOAD, (burst,), TOKENS)


async def drive_online(run: ModeRun) -> None:
    """Send every request at its intended time, without waiting for others."""
    callers = [run.fleet.caller(ORGANISATION, number) for number in range(2)]
    async with anyio.create_task_group() as group:
        for number, arrival in enumerate(arrivals(run.plan)):
            await anyio.sleep(max(0.0, arrival.at_s - run.elapsed_s))
            caller = callers[number % len(callers)]
            group.start_soon(send_online, run, caller, arrival)


async def send_online(run: ModeRun, caller: Caller, arrival: Arrival) -> None:
    """Send one online request and record its outcome."""
    figures = run.figures
    figures.online_sent += 1
    run.online_running += 1
    outcome = await caller.chat(
        run.mode.plan().pools[0].name,
        arrival.prompt,
        arrival.max_tokens,
        run.started_s + arrival.at_s,
    )
    run.online_running -= 1
    record_online(figures, arrival, outcome)


def record_online(
    figures: Figures,
    arrival: Arrival,
    outcome: ChatOutcome,
) -> None:
    """Count an online request as refused, broken or answered."""
    if outcome.status != OK_STATUS:
        figures.online_refused += 1
        figures.notes.append(outcome.error[:160])
        return
    expected = answer_text(arrival.prompt, arrival.max_tokens)
    if not outcome.complete or outcome.text != expected:
        figures.online_broken += 1
        figures.notes.append(
            f'incomplete or wrong answer: {outcome.error}'[:160]
        )
        return
    figures.online_answered += 1
    figures.record_ttft(outcome.ttft_s, arrival.in_burst)
    for token_gap_s in outcome.token_gaps_s:
        figures.record_token_gap(token_gap_s)


async def sample_slots(run: ModeRun) -> None:
    """Sample the slots that online work leaves idle and batch uses."""
    engines = [
        run.fleet.control(member.name)
        for member in run.fleet.with_role('engine')
    ]
    while run.elapsed_s < run.plan.duration_s:
        await anyio.sleep(SAMPLE_INTERVAL_S)
        async with anyio.create_task_group() as group:
            for engine in engines:
                group.start_soon(sample_engine, run.figures, engine)


async def sample_engine(figures: Figures, engine: Caller) -> None:
    """Add one sample of an engine's idle and batch slots.

    An engine that can't be reached is skipped.
    """
    try:
        _, content = await engine.request('GET', '/v1/requests')
    except (httpcore.NetworkError, httpcore.ProtocolError):
        return
    running = content['running'] if isinstance(content, dict) else []
    online = sum(name.startswith(ONLINE_PREFIX) for name in running)
    figures.idle_slots += max(0, ENGINE.max_streams - online)
    figures.batch_slots += len(running) - online


async def send_batch_as_online(run: ModeRun) -> None:
    """Send batch items as online requests from many concurrent callers."""
    caller = run.fleet.caller(ORGANISATION)

    async def worker(number: int) -> None:
        sent = 0
        while run.elapsed_s < run.plan.duration_s:
            prompt = f'draft {number} {sent}'
            pool = run.fleet.plan.pools[0].name
            outcome = await caller.chat(pool, prompt, ITEM_TOKENS)
            sent += 1
            if not outcome.complete:
                run.figures.notes.append(outcome.error[:160])

    async with anyio.create_task_group() as group:
        for number in range(BATCH_AS_ONLINE_CALLERS):
            group.start_soon(worker, number)


async def run_job(run: ModeRun) -> None:
    """Submit a job that outlasts the window and check all its results."""
    capacity = endpoint_requests_per_s(ITEM_TOKENS) * REPLICAS
    count = int(capacity * run.plan.duration_s * 0.75)
    prompts = [f'draft {number} of the rota' for number in range(count)]
    lines = [
        item_line(number, run.mode.batch_pool, prompt, ITEM_TOKENS)
        for number, prompt in enumerate(prompts)
    ]
    caller = run.fleet.caller(ORGANISATION)
    job = await submit_job(caller, lines, new_key())
    run.figures.items_accepted = count
    await anyio.sleep(max(0.0, run.plan.duration_s - run.elapsed_s))
    ended = await wait_for_job(caller, job['id'])
    run.figures.late_jobs = int(bool(ended.get('late')))
    check_results(run, prompts, await job_results(caller, job['id']))


async def items_finished(run: ModeRun) -> int:
    """Return the number of batch items that engines have finished."""
    counts = [
        await read_counts(run.fleet, member.name)
        for member in run.fleet.with_role('engine')
    ]
    finished = sum(int(engine['finished']) for engine in counts)
    return max(0, finished - run.figures.online_answered)


async def read_counts(fleet: ProcessFleet, name: str) -> dict[str, Any]:
    """Return the counters of a stand-in; zeros if it can't be reached."""
    control = fleet.control(name)
    try:
        _, content = await control.request('GET', '/counts')
    except (httpcore.NetworkError, httpcore.ProtocolError):
        return {'finished': 0, 'writes': 0, 'calls': {}}
    await control.pool.aclose()
    assert isinstance(content, dict)
    return content


def check_results(
    run: ModeRun,
    prompts: list[str],
    rows: list[dict[str, object]],
) -> None:
    """Count recorded, duplicated and wrong results."""
    counts = Counter(str(row['custom_id']) for row in rows)
    run.figures.items_recorded = len(counts)
    run.figures.items_duplicated = sum(counts.values()) - len(counts)
    for row in rows:
        number = int(str(row['custom_id']).removeprefix('item-'))
        expected = answer_text(prompts[number], ITEM_TOKENS)
        run.figures.items_wrong += result_text(row) != expected


def result_text(row: dict[str, object]) -> str:
    """Return the generated text of a result, empty for a failed item."""
    match row:
        case {'response': {'body': {'choices': [{'message': message}, *_]}}}:
            return str(message['content'])
    return ''


async def run_mode(
    mode: Mode,
    plan: LoadPlan,
    fault_scenario: FaultScenario | None = None,
) -> Figures:
    """Run one mode on its own fleet and return its figures."""
    figures = Figures(mode.name)
    async with AsyncExitStack() as stack:
        fleet = await start_fleet(stack, mode.plan())
        await anyio.sleep(WARM_UP_S)
        run = ModeRun(mode, fleet, plan, figures, time.monotonic())
        await run_window(run, fault_scenario)
    return figures


async def run_window(
    run: ModeRun, fault_scenario: FaultScenario | None
) -> None:
    """Generate the load of one window and record figures until it ends."""
    figures = run.figures
    before = await read_counts(run.fleet, 'kv')
    cpu_before = cpu_by_role(run.fleet)
    run.started_s = time.monotonic()
    async with anyio.create_task_group() as group:
        group.start_soon(drive_online, run)
        group.start_soon(sample_slots, run)
        if fault_scenario is not None:
            group.start_soon(fault_scenario, run.fleet, run.plan.duration_s)
        if run.mode.batch_as_online:
            group.start_soon(send_batch_as_online, run)
        if run.mode.job:
            group.start_soon(run_job, run)
        await anyio.sleep(run.plan.duration_s)
        figures.items_in_window = await items_finished(run)
        figures.window_s = run.elapsed_s
        figures.cpu_share = {
            role: (used_s - cpu_before[role]) / run.elapsed_s
            for role, used_s in cpu_by_role(run.fleet).items()
        }
    after = await read_counts(run.fleet, 'kv')
    figures.kv_writes = after['writes'] - before['writes']
    figures.kv_calls = {
        kind: count - before['calls'].get(kind, 0)
        for kind, count in after['calls'].items()
    }


def cpu_by_role(fleet: ProcessFleet) -> dict[str, float]:
    """Return the mean CPU seconds of a process by role, and of this driver.

    A process that is gone counts as 0.
    """
    roles = {member.role for member in fleet.members.values()}
    used = {
        role: fmean([member.cpu_s() for member in fleet.with_role(role)])
        for role in roles
    }
    return used | {'driver': time.process_time()}


def compare(
    figures_by_mode: dict[str, Figures],
    window_s: float,
) -> dict[str, float]:
    """Return the ratios between modes.

    Batch ratios are left out if the window is too short for them.
    """
    no_batch = figures_by_mode['no_batch']
    lending = figures_by_mode['lending']
    no_priority = figures_by_mode['no_priority']
    online = {
        'harm_ratio': ratio(p99(lending.ttft), p99(no_batch.ttft)),
        'harm_ratio_burst': ratio(
            p99(lending.burst_ttft), p99(no_batch.burst_ttft)
        ),
        'harm_ratio_no_priority': ratio(
            p99(no_priority.ttft), p99(no_batch.ttft)
        ),
    }
    if window_s < BATCH_WINDOW_S:
        return online
    return online | {
        'idle_use': ratio(lending.batch_slots, lending.idle_slots),
        'throughput_ratio': ratio(
            lending.items_in_window,
            no_priority.items_in_window,
        ),
    }


async def run_bench(
    window_s: float,
    seed: int,
    fault: str,
) -> dict[str, Figures]:
    """Run every mode on the same arrivals and fault; print the figures."""
    plan = load_plan(window_s, seed)
    figures_by_mode = {}
    for mode in MODES:
        figures = await run_mode(mode, plan, FAULT_SCENARIOS[fault])
        figures_by_mode[mode.name] = figures
        lines = figures.lines(batch=window_s >= BATCH_WINDOW_S)
        print('\n'.join(lines), flush=True)
        for note, count in Counter(figures.notes).most_common(3):
            print(f'mode={mode.name} note={note!r} count={count}')
    return figures_by_mode


def bench(
    quick: bool = False,
    seed: int = 1,
    json_file: str = '',
    fault: str = 'none',
) -> None:
    """Compare the scheduling policies; `--quick` finishes within 45 s."""
    if fault not in FAULT_SCENARIOS:
        sys.exit(f'--fault: must be one of {", ".join(FAULT_SCENARIOS)}')
    window_s = QUICK_WINDOW_S if quick else FULL_WINDOW_S
    figures_by_mode = anyio.run(
        run_bench,
        window_s,
        seed,
        fault,
        backend_options={'use_uvloop': True},
    )
    comparison = compare(figures_by_mode, window_s)
    if window_s < BATCH_WINDOW_S:
        print(
            f'note: batch rates need a window of at least {BATCH_WINDOW_S:g} s'
        )
    for name, figure in comparison.items():
        print(f'figure={name} value={figure:.4g} seed={seed} fault={fault}')
    if json_file:
        document = {
            name: figures.rows() for name, figures in figures_by_mode.items()
        }
        content = {
            'seed': seed,
            'fault': fault,
            'modes': document,
            'compared': comparison,
        }
        Path(json_file).write_text(json.dumps(content, indent=2))
