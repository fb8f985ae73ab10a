"""The store cuts watches that wait; an entry is lost for good."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from bed.case import main  # noqa: E402
from bed.fleet import batch_route, engine  # noqa: E402
from bed.jobs import COMPLETION_S, BatchClient  # noqa: E402

CUT_S = 1.8


async def case(fleet, trouble):
    fleet.store.watch_cut_s = CUT_S
    fleet.write_configuration([batch_route('lm')], [engine('lm')])
    await fleet.add_replicas('lm', 3)
    await fleet.start(3)
    client = BatchClient(
        fleet, '7c41e09b52d6a3f8', items=100, events=60, size=70, event_ms=20
    )
    while await client.submit(fleet.entries[0]) != 202:
        await asyncio.sleep(0.5)
    await asyncio.sleep(2.0)
    left = fleet.entries
    if trouble:
        fleet.entries[0].send_signal(signal.SIGKILL)
        left = fleet.entries[1:]
    return await client.check(left, time.time() + COMPLETION_S)


main(case)
