"""A result that was read is not there at another machine in touch."""

import asyncio
import base64
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "bed-2"))

import net  # noqa: E402
from bed import CouldNotRun, run_case  # noqa: E402

SETTLE_S, CUT_S, ROUNDS, EVENTS = 1.0, 5.5, 5, 10
ROUTE = {
    "name": "r-draft", "host": "h.example", "prefix": "/draft/", "kind": "batch",
    "timeout-ms": 15000, "goal-ms": 400, "priority": 2, "service": "lm",
    "max-attempts": 3, "completion-target-ms": 18000, "max-wait-s": 60, "cap": 2000000,
}
SERVICE = {
    "name": "lm", "health-path": "/health", "max-conns": 370, "protocol": "h1",
    "tls": False, "engine": {"slots": 8},
}


def watchers(bed):
    """Return the machines whose watches wait at the store, by their calls."""
    since = time.monotonic() - 6
    count = {
        name: sum(at > since and b"kv-watch" in call for at, call in proxy.calls)
        for name, proxy in bed.proxies.items()
    }
    bed.record(f"watches of the last 6 s: {count}")
    return sorted(count, key=count.get)[-2:], count


async def read(bed, name, job):
    """Read the results of a job from the start; return their number."""
    host, port, _ = bed.fronts[name]
    sent = time.monotonic()
    status, _, raw = await net.call(host, port, "GET", f"/quetzaldyke/lots/{job}?after=0")
    found = len(json.loads(raw)["results"]) if status == 200 else None
    return sent, status, found


async def one_round(bed, turn, cut, kept):
    """Return what breaks LOST in one cut, if anything does."""
    owner, *others = kept
    job, item = f"job-{turn}", f"item-{turn}"
    for name in bed.replicas:
        await bed.control(name, held={item: True})
    host, port, _ = bed.fronts[owner]
    body = {"items": [{
        "id": item, "path": "/draft/1", "headers": {"Model": "m", "Token-Count": f"350,{EVENTS}"},
        "body": base64.b64encode(b"{}").decode(), "tokens": 360,
    }]}
    status, _, _ = await net.call(host, port, "POST", "/draft/1", body, {"Attempt-Id": job})
    bed.record(f"round {turn}: {job} submitted at {owner}: {status}")
    if status != 202:
        raise CouldNotRun(f"the job was answered {status}")
    await asyncio.sleep(2.5)
    if bed.trouble:
        for name in cut:
            bed.proxies[name].cut = True
        bed.record(f"disruption: {', '.join(cut)} are cut off from the store")
    cut_at = time.monotonic()
    for name in bed.replicas:
        await bed.control(name, held={})
    first = None
    while first is None:
        sent, status, found = await read(bed, owner, job)
        if found:
            first = time.monotonic()
            bed.record(f"{owner}: the result is read {first - cut_at:.2f} s after the cut")
        elif time.monotonic() > cut_at + CUT_S:
            break
        else:
            await asyncio.sleep(0.03)
    broken = ""
    while first and time.monotonic() < cut_at + CUT_S:
        await asyncio.sleep(0.05)
        for name in others:
            sent, status, found = await read(bed, name, job)
            if time.monotonic() < first + SETTLE_S + 1.5:
                bed.record(f"{name}: sent {sent - first:.2f} s after that read: {status}, {found} results")
            if sent > first + SETTLE_S and (status in {404, 410} or found == 0):
                broken = broken or (
                    f"{name} has nothing at position 0 of {job}, asked {sent - first:.2f} s "
                    f"after {owner} had returned it"
                )
    for proxy in bed.proxies.values():
        proxy.cut = False
    if first is None:
        bed.record(f"round {turn}: no result in time")
    return broken


async def case(bed):
    await bed.start_store()
    bed.configure([ROUTE], [SERVICE])
    for number in range(3):
        await bed.start_replica(f"i-{number}", "lm", 8, 30)
    for number in range(5):
        await bed.start_entry(f"front-{number}", "z-ab"[:2] + "ab"[number % 2])
    await bed.wait_ready()
    await asyncio.sleep(8)
    cut, count = watchers(bed)
    kept = [name for name in bed.fronts if name not in cut]
    for turn in range(ROUNDS):
        broken = await one_round(bed, turn, cut, kept)
        if broken:
            return broken
        await asyncio.sleep(4)
    return ""


run_case(Path(__file__).parent, case)
