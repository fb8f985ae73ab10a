"""Whole runs of batch jobs: entries, sidecars and one store with faults."""

from __future__ import annotations

import os

import anyio
import pytest

from batch_bed import Bed, scenario


def prompts_of(count: int) -> list[str]:
    """Return prompts that differ."""
    return [f'p{number}' for number in range(count)]


@pytest.mark.parametrize('step_s', [0.05, 1.0])
def test_job_of_2000_items_costs_few_writes(step_s: float) -> None:
    """Guards against an item costing a write, and against lost items.

    The endpoints finish about 80 items a second, or 4; the cost must not
    depend on the speed.
    """
    prompts = prompts_of(2000)

    async def body(bed: Bed) -> None:
        for sidecar in bed.sidecars.values():
            sidecar.step_s = step_s
        bed.shared.writes.clear()
        job_id = await bed.submit(prompts)
        await bed.finished(job_id, limit_s=3600)
        await bed.check(job_id, prompts)
        writes = sum(bed.shared.writes.values())
        print(dict(bed.shared.writes), writes / len(prompts))
        assert writes / len(prompts) < 0.1

    scenario(body)


SEEDS = range(int(os.environ.get('BATCH_SEEDS', '4')))


async def with_faults(bed: Bed, rate: float) -> None:
    """Let the store and the sidecars fail at random from now on."""
    for entry in bed.entries.values():
        entry.client.fault_rate = rate
    for sidecar in bed.sidecars.values():
        sidecar.preempt_rate = 0.05
        sidecar.break_rate = 0.01


async def without_faults(bed: Bed) -> None:
    """End the random faults."""
    for entry in bed.entries.values():
        entry.client.fault_rate = 0
        entry.client.down = False


async def shake(bed: Bed) -> None:
    """Pause, disconnect and cut off entries at random times."""
    for _ in range(4):
        await anyio.sleep(bed.rng.random() * 4)
        name = bed.rng.choice(sorted(bed.entries))
        entry = bed.entries[name]
        match bed.rng.choice(('pause', 'long pause', 'down', 'kill')):
            case 'pause':
                entry.pause()
                await anyio.sleep(2)
                entry.resume()
            case 'long pause':
                entry.pause()
                await anyio.sleep(4)
                bed.disconnect(name, listed=True)
                await anyio.sleep(8)
                entry.resume()
                await bed.connect()
            case 'down':
                entry.client.down = True
                await anyio.sleep(5)
                entry.client.down = False
            case 'kill' if len(bed.entries) > 2:
                bed.kill(name)


@pytest.mark.parametrize('seed', SEEDS)
def test_each_item_has_one_result_under_faults(seed: int) -> None:
    """Guards against lost, doubled or changed results, whatever fails.

    The store loses answers, drops writes and is down; entries are paused
    beyond their ownership and die; items are preempted and break.
    """
    prompts = prompts_of(1200)

    async def body(bed: Bed) -> None:
        job_id = await bed.submit(prompts)
        await with_faults(bed, 0.1)
        await shake(bed)
        await without_faults(bed)
        await bed.finished(job_id)
        await bed.check(job_id, prompts)
        assert bed.job(job_id).completed + bed.job(job_id).failed == 1200

    scenario(body, seed, entries=3)


@pytest.mark.parametrize('seed', SEEDS)
def test_nothing_starts_after_cancelled(seed: int) -> None:
    """Guards against work of a job whose cancel was acknowledged."""
    prompts = prompts_of(1500)

    async def body(bed: Bed) -> None:
        job_id = await bed.submit(prompts)
        await with_faults(bed, 0.1)
        await anyio.sleep(2 + bed.rng.random() * 6)
        name = bed.rng.choice(sorted(bed.entries))
        paused = bed.entries[name]
        paused.pause()
        other = next(one for one in sorted(bed.entries) if one != name)
        await bed.service(other).cancel('barf', job_id)
        await anyio.sleep(bed.rng.random() * 5)
        paused.resume()
        await shake(bed)
        await without_faults(bed)
        await bed.finished(job_id)
        recorded = len(await bed.lines(job_id, failed=False))
        await anyio.sleep(20)
        assert bed.job(job_id).state == 'cancelled', f'seed {seed}'
        late = [
            at_s
            for started, at_s in bed.starts
            if started == job_id and at_s > bed.cancelled_at[job_id]
        ]
        assert not late, f'seed {seed}'
        assert not bed.violations, (seed, bed.violations)
        assert len(await bed.lines(job_id, failed=False)) == recorded

    scenario(body, seed, entries=3)
