"""The operator removes a batch route; then its owner is stopped as planned."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from bed.case import main  # noqa: E402
from bed.fleet import BOUNDS, batch_route, engine  # noqa: E402
from bed.jobs import COMPLETION_S, BatchClient  # noqa: E402


async def case(fleet, trouble):
    removed = batch_route('lm')
    kept = batch_route('lm', name='r-menu-plan', prefix='/kito418/')
    fleet.write_configuration([removed, kept], [engine('lm')])
    await fleet.add_replicas('lm', 3)
    await fleet.start(3)
    client = BatchClient(
        fleet, '7c41e09b52d6a3f8', items=150, events=60, size=70, event_ms=20
    )
    status = await client.submit(fleet.entries[0])
    assert status == 202, status
    await asyncio.sleep(1.0)
    if trouble:
        fleet.write_configuration([kept], [engine('lm')])
    await asyncio.sleep(BOUNDS['config-apply-ms'] / 1000)
    if trouble:
        owner = fleet.entries[0]
        owner.send_signal(signal.SIGTERM)
        async with asyncio.timeout(BOUNDS['grace-s']):
            await owner.process.wait()
        await owner.start()
        await owner.wait_until_ready()
    ends_s = time.time() + COMPLETION_S
    return await client.check(fleet.entries, ends_s)


main(case)
