"""Stand-in of an application replica with a faulty spell, after PROTOCOL.md.

    lookup.py HOST PORT STORE_HOST:STORE_PORT ID SERVICE SLOTS

Each answer has 800 bytes, a `Content-Length` and the id of its request. In a
faulty spell the replica truncates every Nth answer. LATE_MS later an extra response
comes on the same channel: a second one to the request before, or to the same
request on a new channel. The path `/control` belongs to the test.
"""

import asyncio
import base64
import json
import sys
import time

import net

HOST, PORT, STORE, ID, SERVICE, SLOTS = sys.argv[1:7]
PORT, SLOTS = int(PORT), int(SLOTS)
BORN = int(time.time() * 1000)
WORK_S = 0.06


def body_of(number):
    """Return the 800 bytes that a run of a request gives."""
    line = f"record {number} of {ID}; ".encode()
    return (line * (800 // len(line) + 1))[:800]


class Replica:
    def __init__(self):
        self.every = 0
        self.late_s = 0.0
        self.answers = 0
        self.running = 0
        self.runs = []
        self.spoiled = []
        self.slot = asyncio.Semaphore(SLOTS)

    async def register(self):
        host, _, port = STORE.rpartition(":")
        lease = 0
        while True:
            if lease:
                path = f"/quetzaldyke/kv-keep/{lease}"
                status, _, _ = await net.call(host, int(port), "POST", path)
                lease = 0 if status == 404 else lease
            if not lease:
                path = "/quetzaldyke/kv-lease"
                status, _, raw = await net.call(host, int(port), "POST", path, {"ttl-ms": 3600})
                if status == 200:
                    lease = json.loads(raw)["lease"]
                    entry = {
                        "service": SERVICE, "address": f"{HOST}:{PORT}", "zone": "z-a",
                        "version": "v1", "slots": SLOTS, "state": "ready",
                        "cold-left-ms": 0, "call-seq": 0, "born": BORN,
                    }
                    value = base64.b64encode(json.dumps(entry).encode()).decode()
                    put = {"key": f"servers/{ID}", "value": value, "lease": lease}
                    await net.call(host, int(port), "POST", "/quetzaldyke/kv-txn", {"puts": [put]})
            await asyncio.sleep(1.0)

    def control(self, body):
        wanted = json.loads(body or b"{}")
        self.every = wanted.get("every", self.every)
        self.late_s = wanted.get("late_ms", self.late_s * 1000) / 1000
        return {"runs": self.runs, "spoiled": self.spoiled, "answers": self.answers}

    def answer(self, number):
        head = {
            "Attempt-Id": number, "Response-Signature": f"{ID}.{number}",
            "Server-Load": f"{self.running},0,{SLOTS}",
        }
        return net.encode("HTTP/1.1 200 OK", head, body_of(number))

    async def channel(self, reader, writer):
        last = ""
        try:
            while True:
                first, headers = await net.read_head(reader)
                body = await net.read_sized(reader, headers)
                path = first.split()[1]
                if path == "/control":
                    writer.write(net.answer(200, self.control(body)))
                    await writer.drain()
                    continue
                number = headers.get("attempt-id", "")
                if headers.get("expect-instance", ID) != ID:
                    writer.write(net.answer(421, None, {"Attempt-Id": number}))
                    await writer.drain()
                    continue
                async with self.slot:
                    self.running += 1
                    try:
                        await asyncio.sleep(WORK_S)
                    finally:
                        self.running -= 1
                self.runs.append(number)
                self.answers += 1
                if self.every and not self.answers % self.every:
                    self.spoiled.append(number)
                    # Truncated in its body, and the extra response behind it.
                    writer.write(self.answer(number)[:-500])
                    await writer.drain()
                    await asyncio.sleep(self.late_s)
                    writer.write(self.answer(last or number))
                else:
                    writer.write(self.answer(number))
                await writer.drain()
                last = number
        except (net.Closed, OSError):
            pass
        finally:
            writer.close()


async def main():
    replica = Replica()
    server = await asyncio.start_server(replica.channel, HOST, PORT)
    async with server:
        await replica.register()


asyncio.run(main())
