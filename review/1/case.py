"""The store is down while a job's items finish: their results are lost."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from bed.case import main  # noqa: E402
from bed.fleet import batch_route, engine  # noqa: E402
from bed.jobs import COMPLETION_S, BatchClient  # noqa: E402

OUTAGE_S = 4.5


async def case(fleet, trouble):
    fleet.write_configuration([batch_route('lm')], [engine('lm')])
    await fleet.add_replicas('lm', 3)
    await fleet.start(3)
    client = BatchClient(
        fleet, '7c41e09b52d6a3f8', items=200, events=60, size=270, event_ms=20
    )
    status = await client.submit(fleet.entries[0])
    assert status == 202, status
    await asyncio.sleep(0.3)
    if trouble:
        fleet.store.set_mode('busy')
    await asyncio.sleep(OUTAGE_S)
    if trouble:
        fleet.store.set_mode('up')
    ends_s = time.time() + COMPLETION_S
    return await client.check(fleet.entries, ends_s)


main(case)
