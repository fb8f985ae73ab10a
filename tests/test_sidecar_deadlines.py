"""Tests of requests that are running when their time is up."""

from __future__ import annotations

import anyio
import pytest

from sidecar_rig import full_answer, make_item, make_rig, make_submit

SOON_MS = 100


@pytest.mark.parametrize('batch', [False, True], ids=['online', 'batch'])
def test_request_at_a_stalled_engine_ends_at_its_deadline(batch: bool) -> None:
    """Guards against a batch item that holds its slot for ever."""

    async def scenario() -> None:
        async with make_rig(max_streams=1) as rig:
            entry = await rig.entry()
            submit = make_submit('stalled', 4, remaining_ms=SOON_MS)
            if batch:
                grant = await entry.obtain_grant()
                submit = make_item(grant, 'stalled', 4, remaining_ms=SOON_MS)
            rig.engine.faults.stalled = True
            stalled = await entry.ask(submit)
            assert stalled.started
            assert stalled.failed is not None
            assert stalled.failed.ran == 'ran'
            assert stalled.failed.reason == 'deadline has passed'
            assert not rig.sidecar.admission.running
            rig.engine.faults.stalled = False
            after = await entry.ask(make_submit('after', 4))
            assert after.text == full_answer('after', 4)

    anyio.run(scenario)


def test_slow_stream_within_its_deadline_is_whole() -> None:
    """Guards against cutting a slow but sound stream."""

    async def scenario() -> None:
        async with make_rig(engine={'step_ms': 150.0}) as rig:
            entry = await rig.entry()
            slow = await entry.ask(make_submit('slow', 5))
            assert slow.text == full_answer('slow', 5)
            assert slow.end is not None

    anyio.run(scenario)
