"""The only replica of one service of a split batch route is lost for good."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from bed.case import main  # noqa: E402
from bed.fleet import batch_route, engine  # noqa: E402
from bed.jobs import COMPLETION_S, BatchClient  # noqa: E402

HEARTBEAT_S = 1.2


async def case(fleet, trouble):
    route = batch_route('')
    del route['service']
    route['backends'] = [
        {'service': 'lm-new', 'weight': 10},
        {'service': 'lm', 'weight': 90},
    ]
    fleet.write_configuration([route], [engine('lm-new'), engine('lm')])
    await fleet.add_replicas('lm-new', 1)
    await fleet.add_replicas('lm', 3)
    await fleet.start(3)
    before = BatchClient(
        fleet, '7c41e09b52d6a3f8', items=40, events=60, size=70, event_ms=20
    )
    status = await before.submit(fleet.entries[0])
    assert status == 202, status
    await asyncio.sleep(2.0)
    if trouble:
        await fleet.replicas['i-lm-new-1'].crash(HEARTBEAT_S)
    after = BatchClient(
        fleet, '83f0a6d15be7249c', items=40, events=60, size=70, event_ms=20
    )
    status = await after.submit(fleet.entries[1])
    assert status == 202, status
    ends_s = time.time() + COMPLETION_S
    faults = await before.check(fleet.entries, ends_s)
    faults += await after.check(fleet.entries, ends_s)
    return faults


main(case)
