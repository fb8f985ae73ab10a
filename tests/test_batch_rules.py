"""Tests running jobs: tries, preemption, cancels, outages, shutdown."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import anyio
import pytest

from batch_bed import POOL, Bed, scenario
from quetzaldyke.connection import messages as m
from quetzaldyke.durable import keys
from quetzaldyke.durable.progress import decode
from quetzaldyke.durable.records import Progress
from quetzaldyke.parts.kv import Envelope
from quetzaldyke.process import batch_part, fleet
from test_batch_runs import prompts_of


def progress_of(bed: Bed, job_id: str, segment: int = 0) -> Progress:
    """Return a segment's stored progress record."""
    record = bed.shared.records[keys.progress_key(job_id, segment)]
    found = decode(Envelope.unpack(record.value).payload)
    assert found is not None
    return found


async def wait_for_owner(bed: Bed, job_id: str) -> str:
    """Wait until the first segment runs; return its owner."""
    key = keys.progress_key(job_id, 0)
    await bed.wait(
        lambda: key in bed.shared.records and bed.starts != [],
        60,
    )
    return progress_of(bed, job_id).owner


def test_items_that_always_fail_are_recorded_with_a_reason() -> None:
    """Guards against an item that always fails and blocks its job."""
    prompts = ['BREAK', 'INVALID', *prompts_of(60)]

    async def body(bed: Bed) -> None:
        job_id = await bed.submit(prompts)
        await bed.finished(job_id)
        await bed.check(job_id, prompts)
        bad = await bed.lines(job_id, failed=True)
        found = [(one['error']['code'], one['history']['tries']) for one in bad]
        assert found == [('too_many_tries', 5), ('invalid_item', 1)]
        assert bad[0]['error']['message'] == 'stream broke'
        assert bad[1]['response']['status_code'] == 400
        assert bed.job(job_id).failed == 2

    scenario(body)


# Guards against a sound item that is given up, though it is still owed, because
# several endpoints crashed while they ran it.
def test_item_under_which_endpoints_crashed_is_still_done() -> None:
    """Guards against blaming an item for crashes that it did not cause."""
    prompts = ['unlucky', *prompts_of(20)]

    async def body(bed: Bed) -> None:
        for sidecar in bed.sidecars.values():
            sidecar.crashes['unlucky'] = [
                *['endpoint_crashed'] * 4,
                *['crashes_endpoints'] * 4,
                *['connection to the sidecar was lost'] * 4,
            ]
        job_id = await bed.submit(prompts)
        await bed.finished(job_id, limit_s=600)
        await bed.check(job_id, prompts)
        assert bed.job(job_id).failed == 0

    scenario(body)


def test_preempted_items_resume_and_are_not_a_try() -> None:
    """Guards against items that fail or restart when bursts preempt them."""
    prompts = prompts_of(100)

    async def body(bed: Bed) -> None:
        resumed: list[int] = []
        for sidecar in bed.sidecars.values():
            sidecar.preempt_rate = 0.6
            submit = sidecar.submit

            def note(entry: str, message: Any, submit: Any = submit) -> None:
                resumed.append(message.resume_tokens)
                assert message.attempt == 1
                submit(entry, message)

            sidecar.submit = note  # type: ignore[method-assign,assignment]
        job_id = await bed.submit(prompts)
        await bed.finished(job_id)
        await bed.check(job_id, prompts)
        assert len(resumed) > 200
        assert {1, 2, 3} <= set(resumed)
        assert bed.job(job_id).failed == 0

    scenario(body)


def test_writes_of_an_owner_that_resumes_lose() -> None:
    """Guards against a paused owner that overwrites its successor's results."""
    prompts = prompts_of(400)

    async def body(bed: Bed) -> None:
        job_id = await bed.submit(prompts)
        owner = await wait_for_owner(bed, job_id)
        old = bed.entries[owner]
        segment = old.parts.worker.segments[job_id, 0]
        await bed.wait(lambda: len(segment.held) > 0, 30)
        old.pause()
        await anyio.sleep(4)
        bed.disconnect(owner, listed=True)
        await bed.wait(lambda: progress_of(bed, job_id).epoch == 2, 60)
        successor = progress_of(bed, job_id).owner
        assert successor != owner
        old.resume()
        await bed.connect()
        await bed.finished(job_id)
        await bed.wait(lambda: not old.parts.worker.segments, 60)
        assert bed.events['segment_lost'] == 1
        await bed.check(job_id, prompts)

    scenario(body)


def test_cancel_is_resumed_when_the_canceller_dies() -> None:
    """Guards against a job that stays `cancelling` after a crash."""
    prompts = prompts_of(1000)

    async def body(bed: Bed) -> None:
        job_id = await bed.submit(prompts)
        await wait_for_owner(bed, job_id)
        bed.sidecars['sidecar-0'].ignores_cancel = True
        await bed.service().cancel('barf', job_id)
        assert bed.job(job_id).state == 'cancelling'
        bed.kill('entry-0')
        bed.sidecars['sidecar-0'].ignores_cancel = False
        await bed.finished(job_id)
        assert bed.job(job_id).state == 'cancelled'

    scenario(body, entries=3)


@pytest.mark.parametrize('silent', ['sidecar-0', 'entry-1'])
def test_job_stays_cancelling_until_each_process_stopped_or_left(
    silent: str,
) -> None:
    """Guards against a false acknowledgement of a cancel.

    An entry that has not received the cancel could start an item at a
    sidecar that joins later.
    """

    async def body(bed: Bed) -> None:
        job_id = await bed.submit(prompts_of(1000))
        await wait_for_owner(bed, job_id)
        if silent == 'entry-1':
            bed.disconnect(silent, listed=True)
        else:
            bed.sidecars[silent].ignores_cancel = True
        status = await bed.service().cancel('barf', job_id)
        assert status.unwrap().job.state == 'cancelling'
        await anyio.sleep(30)
        assert bed.job(job_id).state == 'cancelling'
        for entry in bed.entries.values():
            entry.fleet.instances.pop(silent, None)
            link = entry.fleet.links.get(silent)
            if link is not None:
                fleet.remove_session(entry.fleet, link.session)
        await bed.finished(job_id)
        assert bed.job(job_id).state == 'cancelled'

    scenario(body)


def test_outage_holds_results_up_to_the_memory_bound() -> None:
    """Guards against lost results and unbounded memory in an outage."""
    prompts = prompts_of(1000)
    bound = 20_000

    async def body(bed: Bed) -> None:
        job_id = await bed.submit(prompts)
        await wait_for_owner(bed, job_id)
        workers = [one.parts.worker for one in bed.entries.values()]
        for entry in bed.entries.values():
            entry.client.down = True
        for worker in workers:
            worker.options = replace(worker.options, held_results_bytes=bound)
        await anyio.sleep(30)
        full = [one for one in workers if one.held_bytes() >= bound]
        assert full
        # Items that were running when the bound was reached still finish.
        assert all(one.held_bytes() < 1.5 * bound for one in workers)
        running = [one.segments.values() for one in full]
        assert not any(seg.running for part in running for seg in part)
        started = len(bed.starts)
        await anyio.sleep(10)
        assert len(bed.starts) == started or len(full) < len(workers)
        for entry in bed.entries.values():
            entry.client.down = False
        await bed.finished(job_id)
        await bed.check(job_id, prompts)

    scenario(body)


def test_planned_stop_hands_segments_over() -> None:
    """Guards against results and items lost by a graceful shutdown."""
    prompts = prompts_of(600)

    async def body(bed: Bed) -> None:
        job_id = await bed.submit(prompts)
        owner = await wait_for_owner(bed, job_id)
        await anyio.sleep(3)
        entry = bed.entries[owner]
        segment = entry.parts.worker.segments[job_id, 0]
        await bed.wait(lambda: len(segment.held) > 10, 30)
        pending = set(segment.held) | set(segment.running)
        entry.process.stopping.set()
        await batch_part.stop(entry.process)
        record = progress_of(bed, job_id)
        assert record.owner != owner
        assert pending and all(record.is_finished(one) for one in pending)
        assert not entry.parts.worker.segments
        bed.kill(owner)
        await bed.finished(job_id)
        await bed.check(job_id, prompts)

    scenario(body)


def test_late_job_continues_and_is_at_risk_and_late() -> None:
    """Guards against a job that is dropped at its deadline."""
    prompts = prompts_of(1000)

    async def body(bed: Bed) -> None:
        fields = {
            'deadline_local': '2020-01-01T18:00',
            'deadline_zone': 'Asia/Karachi',
        }
        job_id = await bed.submit(prompts, **fields)
        await anyio.sleep(10)
        status = (await bed.service().status('barf', job_id)).unwrap()
        assert status.figures.at_risk
        assert status.figures.estimate_ms > status.now_ms
        assert status.figures.finished > 0
        await bed.finished(job_id)
        assert bed.job(job_id).state == 'completed'
        late = (await bed.service().status('barf', job_id)).unwrap()
        assert late.late

    scenario(body)


@pytest.mark.parametrize('stale', ['grant', 'ownership'])
def test_nothing_starts_on_unconfirmed_ownership(stale: str) -> None:
    """Guards against items started by an owner that was just paused."""

    async def body(bed: Bed) -> None:
        job_id = await bed.submit(prompts_of(1000))
        owner = await wait_for_owner(bed, job_id)
        entry = bed.entries[owner]
        worker = entry.parts.worker
        entry.pause()
        await anyio.sleep(3.5)
        if stale == 'ownership':
            # The first tick after the pause has run, but the records have not
            # been read again.
            worker.last_tick_s = anyio.current_time()
            for segment in worker.segments.values():
                segment.confirmed = False
        link = next(iter(entry.fleet.links.values()))
        running = [len(one.running) for one in worker.segments.values()]
        grant = m.BatchGrant(999_999, POOL, job_id, 3)
        await worker.on_grant(link.session, grant)
        assert running == [len(one.running) for one in worker.segments.values()]
        entry.resume()

    scenario(body)


def test_refused_item_does_not_block_others() -> None:
    """Guards against head-of-line blocking by a refused item."""
    prompts = ['REFUSED', *prompts_of(20)]

    async def body(bed: Bed) -> None:
        bed.sidecars['sidecar-0'].slots = 1
        job_id = await bed.submit(prompts)
        await wait_for_owner(bed, job_id)
        await bed.wait(
            lambda: progress_of(bed, job_id).finished_count == 20, 90
        )
        assert not progress_of(bed, job_id).is_finished(0)
        assert progress_of(bed, job_id).tries == {}

    scenario(body, sidecars=1)


def test_jobs_with_less_slack_finish_first() -> None:
    """Guards against a missed deadline in favour of a job due later."""
    due = {'b': '2031', 'c': '2033', 'a': '2032', 'd': '2030'}

    async def body(bed: Bed) -> None:
        # No slots until all four jobs wait; otherwise the first one would
        # start alone.
        slots = {name: one.slots for name, one in bed.sidecars.items()}
        for sidecar in bed.sidecars.values():
            sidecar.slots = 0
        job_ids = [
            await bed.submit(
                [f'{name}{number}' for number in range(400)],
                deadline_local=f'{year}-01-01T18:00',
                deadline_zone='Asia/Karachi',
            )
            for name, year in due.items()
        ]
        await bed.wait(
            lambda: all(
                {job_id for _, job_id in one.demands} == set(job_ids)
                for one in bed.sidecars.values()
            ),
            60,
        )
        for name, sidecar in bed.sidecars.items():
            sidecar.slots = slots[name]
        for job_id in job_ids:
            await bed.finished(job_id)
        jobs = [bed.job(job_id) for job_id in job_ids]
        ended = [
            max(at_s for one, at_s in bed.starts if one == job.job_id)
            for job in jobs
        ]
        by_deadline = sorted(
            range(4), key=lambda n: jobs[n].deadline.instant_ms
        )
        assert sorted(range(4), key=lambda n: ended[n]) == by_deadline

    scenario(body)
