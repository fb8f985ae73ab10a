"""Stand-in of a model replica, after the section on replicas in PROTOCOL.md.

    replica.py HOST PORT STORE_HOST:STORE_PORT ID SERVICE SLOTS EVENT_MS SETTINGS

Requests wait for one of SLOTS slots, in order of arrival; 24 may wait, others
get a 503 with `Not-Executed`. A request is answered by as many events as its
`Token-Count` names as output, EVENT_MS apart; a request of kind `plain` (path
under `/plain/`) by one body. A control channel on the path `/control` sets
faults and returns what was run; it belongs to the test, not to the replica.
"""

import asyncio
import base64
import json
import os
import sys
import time

import net

HOST, PORT, STORE, ID, SERVICE, SLOTS, EVENT_MS = sys.argv[1:8]
PORT, SLOTS, EVENT_S = int(PORT), int(SLOTS), float(EVENT_MS) / 1000
BORN = int(time.time() * 1000)
QUEUE = 24


class Replica:
    def __init__(self):
        self.runs = []
        self.arrivals = []
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Condition()
        # Answers of streams without length or chunks.
        self.unframed = False
        # By request id: the event behind which its answer is truncated.
        self.truncate = {}
        self.state = "ready"
        # Item ids that wait before their last event until they are released.
        self.held = {}
        # A part of prompts under which this replica crashes as it begins to
        # write an answer.
        self.crash_part = os.environ.get("CRASH_PART", "")

    async def register(self):
        host, _, port = STORE.rpartition(":")
        lease, written = 0, None
        while True:
            if lease:
                status, _, _ = await net.call(
                    host, int(port), "POST", f"/quetzaldyke/kv-keep/{lease}"
                )
                if status == 404:
                    lease = 0
            if not lease:
                status, _, raw = await net.call(
                    host, int(port), "POST", "/quetzaldyke/kv-lease", {"ttl-ms": 3600}
                )
                lease = json.loads(raw)["lease"] if status == 200 else 0
                written = None
            if lease and written != self.state:
                entry = {
                    "service": SERVICE, "address": f"{HOST}:{PORT}", "zone": "z-a",
                    "version": "v1", "slots": SLOTS, "state": self.state,
                    "cold-left-ms": 0, "call-seq": 0, "born": BORN,
                }
                value = base64.b64encode(json.dumps(entry).encode()).decode()
                put = {"key": f"servers/{ID}", "value": value, "lease": lease}
                status, _, _ = await net.call(
                    host, int(port), "POST", "/quetzaldyke/kv-txn", {"puts": [put]}
                )
                if status == 200:
                    written = self.state
            await asyncio.sleep(1.0)

    def control(self, body):
        wanted = json.loads(body or b"{}")
        for name in ("unframed", "truncate", "state", "held"):
            if name in wanted:
                setattr(self, name, wanted[name])
        return {
            "runs": self.runs, "arrivals": self.arrivals,
            "running": self.running, "waiting": self.waiting,
        }

    async def channel(self, reader, writer):
        try:
            while True:
                first, headers = await net.read_head(reader)
                body = await net.read_sized(reader, headers)
                method, path, _ = first.split()
                if path == "/control":
                    writer.write(net.answer(200, self.control(body)))
                    await writer.drain()
                    continue
                if not await self.request(path, headers, reader, writer):
                    return
        except (net.Closed, OSError):
            pass
        finally:
            writer.close()

    def load(self):
        return f"{self.running},{self.waiting},{SLOTS}"

    async def request(self, path, headers, reader, writer):
        """Answer a request; return whether the channel stays open."""
        number = headers.get("attempt-id", "")
        known = {"Attempt-Id": number, "Server-Load": self.load(), "Instance-Id": ID}
        self.arrivals.append([time.time(), number, headers.get("last-event-id"), path])
        if headers.get("expect-instance", ID) != ID:
            writer.write(net.answer(421, None, known))
            await writer.drain()
            return True
        if not number or self.waiting >= QUEUE:
            known["Not-Executed"] = "1"
            writer.write(net.answer(503 if number else 400, None, known))
            await writer.drain()
            return True
        work = asyncio.create_task(self.run(path, headers, known, writer))
        gone = asyncio.create_task(reader.read(1))
        await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
        if work.done():
            gone.cancel()
            try:
                await gone
            except asyncio.CancelledError:
                pass
            return work.result()
        work.cancel()
        try:
            await work
        except asyncio.CancelledError:
            pass
        return False

    async def run(self, path, headers, known, writer):
        number = headers["attempt-id"]
        after = int(headers.get("last-event-id", 0))
        async with self.free:
            self.waiting += 1
            try:
                await self.free.wait_for(lambda: self.running < SLOTS)
            finally:
                self.waiting -= 1
            self.running += 1
        run = {"id": number, "after": after, "began": time.time(), "made": after, "ended": ""}
        try:
            return await self.stream(headers, known, writer, run, after)
        except asyncio.CancelledError:
            run["ended"] = "channel closed"
            raise
        finally:
            self.running -= 1
            async with self.free:
                self.free.notify_all()

    async def stream(self, headers, known, writer, run, after):
        number = headers["attempt-id"]
        total = int(headers.get("token-count", "0,10").split(",")[1])
        known["Response-Signature"] = f"{ID}.{number}"
        known["Content-Type"] = "text/event-stream"
        if self.unframed:
            known["Connection"] = "close"
        else:
            known["Transfer-Encoding"] = "chunked"
        lines = ["HTTP/1.1 200 OK", *(f"{name}: {text}" for name, text in known.items())]
        # A request begins to run with its first token.
        await asyncio.sleep(EVENT_S)
        self.runs.append(run)
        writer.write("\r\n".join([*lines, "", ""]).encode())
        parts = [one.partition(":")[0] for one in headers.get("prompt-prefix", "").split(",")]
        if self.crash_part and self.crash_part in parts:
            await writer.drain()
            os._exit(70)
        for event in range(after + 1, total + 1):
            while event == total and self.held.get(number):
                await asyncio.sleep(0.01)
            if event > after + 1:
                await asyncio.sleep(EVENT_S)
            raw = f"id: {event}\ndata: {number}/{event}\n\n".encode()
            if not self.unframed:
                raw = b"%x\r\n%b\r\n" % (len(raw), raw)
            writer.write(raw)
            await writer.drain()
            run["made"] = event
            if self.truncate.get(number) == event and not after:
                run["ended"] = "truncated"
                return False
        run["ended"] = "whole"
        if self.unframed:
            return False
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


async def main():
    replica = Replica()
    server = await asyncio.start_server(replica.channel, HOST, PORT)
    async with server:
        await replica.register()


asyncio.run(main())
