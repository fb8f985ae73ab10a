"""Complete batch jobs on several entries and sidecars, with random faults."""

from __future__ import annotations

import os

import anyio
import pytest

from batch_bed import Bed, scenario


def prompts_of(count: int) -> list[str]:
    """Return distinct prompts."""
    return [f'p{number}' for number in range(count)]


@pytest.mark.parametrize('step_s', [0.05, 1.0])
def test_job_of_2000_items_costs_few_writes(step_s: float) -> None:
    """Guards against one store write per item, and against lost items.

    The endpoints finish about 80 or 4 items a second. The number of writes
    must depend neither on that rate nor on the number of entries.
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
        # At 4 items/s one owner is enough: one commit every 5 s for 500 s.
        assert bed.shared.writes['progress'] < 120
        # Progress figures: one write for each 1/20 of the items, and one
        # every 30 s.
        assert bed.shared.writes['active'] < 50

    scenario(body, entries=8)


SEEDS = range(int(os.environ.get('BATCH_SEEDS', '4')))


async def enable_random_faults(bed: Bed, rate: float) -> None:
    """Make the store and the sidecars fail at random from now on."""
    for entry in bed.entries.values():
        entry.client.fault_rate = rate
    for sidecar in bed.sidecars.values():
        sidecar.preempt_rate = 0.05
        sidecar.break_rate = 0.01


async def disable_faults(bed: Bed) -> None:
    """End the random faults and outages of the store."""
    for entry in bed.entries.values():
        entry.client.fault_rate = 0
        entry.client.down = False


async def inject_process_faults(bed: Bed) -> None:
    """Pause, disconnect or kill entries, or cut off their store, at random."""
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
    """Guards against lost, duplicated or changed results under faults.

    The store loses responses, drops writes and is unavailable. Entries crash
    or are paused so long that others take over their segments. Items are
    preempted and their streams break.
    """
    prompts = prompts_of(1200)

    async def body(bed: Bed) -> None:
        job_id = await bed.submit(prompts)
        await enable_random_faults(bed, 0.1)
        await inject_process_faults(bed)
        await disable_faults(bed)
        await bed.finished(job_id)
        await bed.check(job_id, prompts)
        assert bed.job(job_id).completed + bed.job(job_id).failed == 1200

    scenario(body, seed, entries=3)


@pytest.mark.parametrize('seed', SEEDS)
def test_nothing_starts_after_cancelled(seed: int) -> None:
    """Guards against starting items of a job after its cancellation.

    The cancellation is requested while one entry is paused and store calls
    fail at random. Once the job is cancelled, no item may start and no result
    may be recorded.
    """
    prompts = prompts_of(1500)

    async def body(bed: Bed) -> None:
        job_id = await bed.submit(prompts)
        await enable_random_faults(bed, 0.1)
        await anyio.sleep(2 + bed.rng.random() * 6)
        name = bed.rng.choice(sorted(bed.entries))
        paused = bed.entries[name]
        paused.pause()
        other = next(one for one in sorted(bed.entries) if one != name)
        await bed.service(other).cancel('barf', job_id)
        await anyio.sleep(bed.rng.random() * 5)
        paused.resume()
        await inject_process_faults(bed)
        await disable_faults(bed)
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
