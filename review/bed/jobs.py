"""A client of batch jobs, and the check of what it was promised."""

import asyncio
import base64
import json
import time

from . import web
from .replica import whole_output

HOST = 'ficu95.example'
# Bound completion-s of the sheet.
COMPLETION_S = 18.0
# No replica had an unlisted item for this long before the check.
CALM_S = 5.0


class BatchClient:
    """Submits one job and reads its results at every entry."""

    def __init__(self, fleet, job, items, events, size, event_ms):
        self.fleet = fleet
        self.job = job
        self.shape = {'events': events, 'size': size, 'event-ms': event_ms}
        self.items = [f'{job[:8]}{number:08x}' for number in range(items)]
        self.submitted_s = 0.0

    def record(self, what):
        self.fleet.record('client', what)

    async def submit(self, entry):
        """Submit the job at an entry until it is accepted."""
        body = base64.b64encode(json.dumps(self.shape).encode()).decode()
        tokens = 350 + self.shape['events']
        rows = [
            {
                'id': item,
                'path': f'/pule252/3/{number:x}',
                'headers': {
                    'Model': 'm',
                    'Token-Count': f'350,{self.shape["events"]}',
                    'Prompt-Prefix': f'9c2e41:100,{item}:250',
                },
                'body': body,
                'tokens': tokens,
            }
            for number, item in enumerate(self.items)
        ]
        status, _, _ = await web.call(
            entry.front,
            'POST',
            f'/pule252/{self.job}',
            {
                'Host': HOST,
                'Attempt-Id': self.job,
                'Content-Type': 'application/json',
            },
            json.dumps({'items': rows}).encode(),
            4.0,
        )
        self.submitted_s = time.time()
        self.record(
            f'submits job {self.job} of {len(rows)} items at {entry.name}: '
            f'{status}'
        )
        return status

    async def read(self, entry):
        """Return the status of a read from the start, and all results."""
        results = []
        while True:
            status, _, body = await web.call(
                entry.front,
                'GET',
                f'/quetzaldyke/lots/{self.job}?after={len(results)}',
                {'Host': HOST},
                timeout_s=3.0,
            )
            if status != 200:
                return status, results
            page = json.loads(body)
            results.extend(page['results'])
            if not page['results']:
                return 200, results

    async def follow(self, entry, ends_s):
        """Read until all items are listed or the time is over."""
        shown = -1
        while True:
            status, results = await self.read(entry)
            if len(results) != shown:
                shown = len(results)
                self.record(
                    f'reads at {entry.name}: {status}, {shown} of '
                    f'{len(self.items)} listed'
                )
            if len(results) >= len(self.items) or time.time() > ends_s:
                return results
            await asyncio.sleep(0.5)

    def wrong(self, results):
        """Return what is wrong with results that are listed."""
        faults = []
        seen = set()
        for row in results:
            item = row['id']
            if item in seen:
                faults.append(f'{item} is listed twice')
            seen.add(item)
            if row['state'] != 'completed':
                faults.append(f'{item} is {row["state"]}')
            elif row['output'] != whole_output(
                item, self.shape['events'], self.shape['size']
            ):
                faults.append(f'{item} has another output')
        return faults

    async def check(self, entries, ends_s):
        """Return the breaches of LOST and MIXED at the end of the day.

        A job whose items are neither listed nor run is read at all entries.
        """
        await self.follow(entries[0], ends_s)
        while True:
            quiet_s = time.time() - self.fleet.last_run_s()
            best = []
            for entry in entries:
                status, results = await self.read(entry)
                self.record(
                    f'reads at {entry.name}: {status}, {len(results)} of '
                    f'{len(self.items)} listed; no replica has had an item '
                    f'for {quiet_s:.1f} s'
                )
                best = max(best, results, key=len)
            if len(best) >= len(self.items) or quiet_s >= CALM_S:
                break
            await asyncio.sleep(1.0)
        faults = self.wrong(best)
        missing = len(self.items) - len(best)
        if missing:
            since_s = time.time() - self.submitted_s
            faults.append(
                f'{missing} of {len(self.items)} accepted items are listed '
                f'neither as completed nor as dead_letter {since_s:.0f} s '
                'after the 202'
            )
        return faults
