"""A result that was read is not there at a machine in touch, after an outage."""

import asyncio
import base64
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "bed-2"))

import net  # noqa: E402
from bed import CouldNotRun, run_case  # noqa: E402

CONTACT_S, SETTLE_S, OUTAGE_S, ROUNDS = 3.0, 1.0, 4.5, 10
# Added to the bounds, for the way of a call in this process.
MARGIN_S = 0.02
BATCH = {
    "name": "r-draft", "host": "h.example", "prefix": "/draft/", "kind": "batch",
    "timeout-ms": 15000, "goal-ms": 400, "priority": 2, "service": "lm",
    "max-attempts": 3, "completion-target-ms": 18000, "max-wait-s": 60, "cap": 2000000,
}
LM = {
    "name": "lm", "health-path": "/health", "max-conns": 370, "protocol": "h1",
    "tls": False, "engine": {"slots": 8},
}


async def submit(bed, name, job, item):
    """Submit a batch job of one item; return the status."""
    body = {"items": [{
        "id": item, "path": "/draft/1", "headers": {"Model": "m", "Token-Count": "350,10"},
        "body": base64.b64encode(b"{}").decode(), "tokens": 360,
    }]}
    host, port, _ = bed.fronts[name]
    known = {"Attempt-Id": job}
    status, _, _ = await net.call(host, port, "POST", "/draft/1", body, known)
    return status


async def count(bed, name, job):
    """Return when the results of a job were asked for, and their number."""
    host, port, _ = bed.fronts[name]
    sent = time.monotonic()
    path = f"/quetzaldyke/lots/{job}?after=0"
    status, _, raw = await net.call(host, port, "GET", path, timeout_s=2)
    return sent, status, len(json.loads(raw)["results"]) if status == 200 else None


class Round:
    """An outage of the store, and a result that comes after it."""

    def __init__(self, bed, turn):
        self.bed, self.turn, self.job = bed, turn, f"job-{turn}"
        self.back = 0.0
        self.first_read = self.reader = None
        self.broken = ""

    async def hold(self, held):
        for name in self.bed.replicas:
            await self.bed.control(name, held=held)

    async def outage(self):
        if self.bed.trouble:
            self.bed.store.begin_outage()
            self.bed.record("disruption: the store resets all channels, leases run out")
        await asyncio.sleep(OUTAGE_S)
        self.bed.store.end_outage()
        self.back = time.monotonic()
        self.bed.record("the store is back" if self.bed.trouble else "no outage")

    async def release(self):
        """Let the item end after most machines are back."""
        await asyncio.sleep(self.back + 0.9 - time.monotonic())
        await self.hold({})

    async def others(self):
        """Submit other jobs at all machines as soon as the store is back."""
        for number in range(8):
            for place, name in enumerate(self.bed.fronts):
                item = f"other-{self.turn}-{number}-{place}"
                asyncio.create_task(submit(self.bed, name, f"job-{item}", item))
            await asyncio.sleep(0.1)

    async def watch(self, name):
        """Read the results at one machine, again and again."""
        await asyncio.sleep(self.back + 1.0 - time.monotonic())
        while time.monotonic() < self.back + 3.6:
            sent, status, found = await count(self.bed, name, self.job)
            if found and self.first_read is None:
                self.first_read, self.reader = time.monotonic(), name
                self.bed.record(f"{name}: first read of the result of {self.job}")
            calm = sent - self.back
            since = sent - self.first_read if self.first_read else 0.0
            missing = status in {404, 410} or found == 0
            if self.first_read and (missing or calm > CONTACT_S - 0.2):
                self.bed.record(
                    f"{name}: {calm:.2f} s after the store was back, {since:.2f} s after "
                    f"the first read: {status}, {found} results"
                )
            in_touch = calm > CONTACT_S + MARGIN_S
            if in_touch and since > SETTLE_S + MARGIN_S and missing:
                self.broken = self.broken or (
                    f"{name} has nothing at position 0 of {self.job}, asked {since:.2f} s after "
                    f"{self.reader} had returned it, {calm:.2f} s after the store was back"
                )
            await asyncio.sleep(0.02)

    async def run(self):
        item = f"item-{self.turn}"
        await self.hold({item: True})
        status = await submit(self.bed, next(iter(self.bed.fronts)), self.job, item)
        self.bed.record(f"round {self.turn}: {self.job} submitted: {status}")
        if status != 202:
            raise CouldNotRun(f"the job was answered {status}")
        await asyncio.sleep(0.5)
        await self.outage()
        await asyncio.gather(
            self.release(), self.others(), *(self.watch(name) for name in self.bed.fronts)
        )
        return self.broken


async def case(bed):
    await bed.start_store()
    bed.configure([BATCH], [LM])
    for number in range(4):
        await bed.start_replica(f"i-{number}", "lm", 8, 30)
    for number in range(5):
        await bed.start_entry(f"front-{number}", "z-ab"[:2] + "ab"[number % 2])
    await bed.wait_ready()
    await asyncio.sleep(4)
    for turn in range(ROUNDS):
        broken = await Round(bed, turn).run()
        if broken:
            return broken
        await asyncio.sleep(0.5)
    return ""


run_case(Path(__file__).parent, case)
