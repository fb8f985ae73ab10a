"""Stand-in of a client, after the section on requests in PROTOCOL.md."""

import asyncio
import time

import net


class Stream:
    """What a client has seen of one streamed answer."""

    def __init__(self, number):
        self.number = number
        self.status = 0
        self.headers = {}
        self.raw = b""
        # How the answer ended: complete, cut, or given up.
        self.end = ""
        self.began = time.time()
        self.ended = 0.0

    def events(self):
        """Return the ids and data of the whole events."""
        found = []
        for text in self.raw.decode("latin-1").split("\n\n")[:-1]:
            fields = dict(line.split(": ", 1) for line in text.split("\n") if ": " in line)
            found.append((int(fields["id"]), fields["data"]))
        return found

    def describe(self):
        ids = [event for event, _ in self.events()]
        span = f"{ids[0]}..{ids[-1]}" if ids else "none"
        return f"status {self.status}, end {self.end or 'open'}, {len(ids)} events ({span})"


async def read_answer(reader, stream):
    """Read an answer to its end; note whether it looks complete."""
    first, stream.headers = await net.read_head(reader)
    stream.status = int(first.split()[1])
    if stream.headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            part = await reader.readexactly(size + 2)
            if not size:
                stream.end = "complete"
                return
            stream.raw += part[:-2]
    if "content-length" in stream.headers:
        stream.raw += await reader.readexactly(int(stream.headers["content-length"]))
        stream.end = "complete"
        return
    while chunk := await reader.read(65536):
        stream.raw += chunk
    stream.end = "complete"


async def ask(front, number, path, events, body=b"{}", wait_ms=5000, headers=None):
    """Send a request on a new channel; return what was seen of its answer."""
    stream = Stream(number)
    writer = None
    try:
        async with asyncio.timeout(wait_ms / 1000):
            reader, writer = await asyncio.open_connection(*front[:2])
            known = {
                "Host": "h.example", "Attempt-Id": number, "Model": "m",
                "Token-Count": f"450,{events}", "Deadline-Ms": str(wait_ms),
                **(headers or {}),
            }
            writer.write(net.encode(f"POST {path} HTTP/1.1", known, body))
            await read_answer(reader, stream)
    except TimeoutError:
        stream.end = "time budget over"
    except (net.Closed, asyncio.IncompleteReadError, ConnectionError, OSError):
        stream.end = "cut"
    finally:
        stream.ended = time.time()
        if writer is not None:
            writer.close()
    return stream
