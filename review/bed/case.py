"""Runs one case and turns what was seen into an exit status."""

import asyncio
import os
import sys
import traceback
from pathlib import Path

from .fleet import Fleet

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2
LONGEST_S = 110.0


async def play(case, folder, trouble):
    fleet = Fleet(folder)
    try:
        async with asyncio.timeout(LONGEST_S):
            faults = await case(fleet, trouble)
        for fault in faults:
            fleet.record('check', f'broken: {fault}')
        fleet.record('check', 'broken' if faults else 'held')
        return faults
    finally:
        await fleet.stop()


def main(case):
    """Play a case; TROUBLE=0 leaves its disruption out."""
    folder = Path(sys.argv[0]).resolve().parent
    trouble = os.environ.get('TROUBLE', '1') != '0'
    try:
        faults = asyncio.run(play(case, folder, trouble))
    except Exception:
        traceback.print_exc()
        sys.exit(COULD_NOT_RUN)
    for fault in faults[:5]:
        print(fault)
    print('broken' if faults else 'held', flush=True)
    sys.exit(BROKEN if faults else HELD)
