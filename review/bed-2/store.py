"""Stand-in of the platform's store, after the section on it in PROTOCOL.md.

It answers at once, loses nothing and keeps its whole history.
"""

import asyncio
import base64
import json
import socket
import struct
import time
from urllib.parse import parse_qs, urlsplit

import net


def reset(writer):
    """Reset a channel."""
    connected = writer.get_extra_info("socket")
    if connected is not None:
        linger = struct.pack("ii", 1, 0)
        connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class Store:
    """Keys, leases and their history."""

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 100
        self.leases = {}
        self.next_lease = 1000
        self.changed = asyncio.Event()
        # Open channels, and whether all are reset, as in an outage.
        self.channels = set()
        self.down = False
        # Called with the names of the proxies and the calls, for the record.
        self.on_call = lambda channel, method, path: None

    def bump(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        known = self.items.get(key)
        created = known["created"] if known else self.revision
        self.items[key] = {
            "key": key, "value": value, "revision": self.revision,
            "created": created, "lease": lease,
        }
        self.bump(dict(self.items[key]))

    def delete(self, key):
        if self.items.pop(key, None):
            self.bump({"key": key, "revision": self.revision, "tombstone": True})

    def write(self, key, document):
        """Write as the operator does."""
        self.revision += 1
        raw = json.dumps(document).encode()
        self.put(key, base64.b64encode(raw).decode())

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.revision += 1
        for key in keys:
            self.delete(key)

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease, (ends, _) in list(self.leases.items()):
                if ends <= now:
                    self.end_lease(lease)

    def transact(self, body):
        wrong = []
        for row in body.get("if-rev", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                wrong.append(row["key"])
        if wrong:
            keys = [row["key"] for row in body["if-rev"]]
            return 412, {"items": [self.items[key] for key in keys if key in self.items]}
        for put in body.get("puts", []):
            if put.get("lease") and put["lease"] not in self.leases:
                return 404, {}
        if body.get("puts") or body.get("deletes"):
            self.revision += 1
        for put in body.get("puts", []):
            self.put(put["key"], put["value"], put.get("lease", 0))
        for key in body.get("deletes", []):
            self.delete(key)
        return 200, {"revision": self.revision}

    async def watch(self, prefix, after, wait_s):
        ends = time.monotonic() + wait_s
        while True:
            events = [
                one for one in self.events
                if one["revision"] > after and one["key"].startswith(prefix)
            ]
            left = ends - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store-revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                pass

    async def handle(self, method, path, body):
        parts = urlsplit(path)
        query = {name: rows[0] for name, rows in parse_qs(parts.query).items()}
        _, _, rest = parts.path.partition("/quetzaldyke/")
        name, _, argument = rest.partition("/")
        if name == "kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"store-revision": self.revision}
            return 200, {**item, "store-revision": self.revision}
        if name == "kv-range":
            after = query.get("after", "")
            keys = sorted(
                key for key in self.items
                if key.startswith(query["prefix"]) and key > after
            )
            page = [self.items[key] for key in keys[:500]]
            return 200, {
                "items": page, "has-more": len(keys) > 500,
                "store-revision": self.revision,
            }
        if name == "kv-watch":
            wait_s = int(query.get("wait-ms", 0)) / 1000
            return await self.watch(query["prefix"], int(query["after"]), wait_s)
        if name == "kv-txn":
            return self.transact(json.loads(body))
        if name == "kv-lease":
            ttl_ms = max(1000, int(json.loads(body)["ttl-ms"]))
            self.next_lease += 1
            self.leases[self.next_lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
            return 200, {"lease": self.next_lease, "ttl-ms": ttl_ms}
        if name == "kv-keep":
            held = self.leases.get(int(argument))
            if held is None:
                return 404, {}
            self.leases[int(argument)] = (time.monotonic() + held[1] / 1000, held[1])
            return 200, {"ttl-ms": held[1]}
        if name == "kv-lease-end":
            self.end_lease(int(argument))
            return 200, {}
        return 404, {}

    def begin_outage(self):
        """Reset all channels, also new ones; leases go on running out."""
        self.down = True
        for writer in list(self.channels):
            reset(writer)

    def end_outage(self):
        """Serve again."""
        self.down = False

    async def serve(self, host, port):
        """Listen; the server goes on until the loop ends."""
        async def channel(reader, writer):
            name = writer.get_extra_info("peername")
            if self.down:
                reset(writer)
                return
            self.channels.add(writer)
            try:
                while True:
                    first, headers = await net.read_head(reader)
                    body = await net.read_sized(reader, headers)
                    method, path, _ = first.split()
                    self.on_call(name, method, path)
                    status, document = await self.handle(method, path, body)
                    writer.write(net.answer(status, document))
                    await writer.drain()
            except (net.Closed, OSError):
                pass
            finally:
                self.channels.discard(writer)
                writer.close()

        self.expiry = asyncio.create_task(self.expire())
        self.server = await asyncio.start_server(channel, host, port)


class Proxy:
    """A channel of one machine to the store, which can be cut silently."""

    def __init__(self, name, target):
        self.name, self.target, self.cut = name, target, False
        self.calls = []

    async def serve(self, host):
        self.server = await asyncio.start_server(self.channel, host, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def channel(self, reader, writer):
        if self.cut:
            # A machine behind a partition doesn't respond.
            await asyncio.sleep(3600)
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            reset(writer)
            return

        async def copy(source, sink, outward):
            try:
                while chunk := await source.read(65536):
                    if outward:
                        self.calls.append((time.monotonic(), chunk.split(b"\r\n", 1)[0]))
                    if self.cut:
                        # Bytes that are held up by a partition.
                        while self.cut:
                            await asyncio.sleep(0.02)
                    sink.write(chunk)
                    await sink.drain()
            except OSError:
                reset(sink)
            finally:
                sink.close()

        await asyncio.gather(
            copy(reader, far_writer, True), copy(far_reader, writer, False),
        )
