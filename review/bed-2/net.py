"""Minimal HTTP/1.1 over asyncio for the stand-ins of this review."""

import asyncio
import json


class Closed(Exception):
    """The channel ended before a message was complete."""


async def read_head(reader):
    """Return the first line and the headers (names in lower case)."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError) as exc:
        raise Closed from exc
    first, *lines = raw[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, content = line.partition(":")
        headers[name.strip().lower()] = content.strip()
    return first, headers


async def read_sized(reader, headers):
    """Return a body with a length or in chunks."""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int(await reader.readuntil(b"\r\n"), 16)
                part = await reader.readexactly(size + 2)
                if not size:
                    return body
                body += part[:-2]
        return await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError, OSError) as exc:
        raise Closed from exc


def encode(first, headers, body=b""):
    """Return a message with a length."""
    lines = [first, *(f"{name}: {content}" for name, content in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def answer(status, document=None, headers=None):
    """Return an answer with a JSON body."""
    body = b"" if document is None else json.dumps(document).encode()
    known = {"Content-Type": "application/json", **(headers or {})}
    return encode(f"HTTP/1.1 {status} X", known, body)


async def call(host, port, method, path, document=None, headers=None, timeout_s=3.0):
    """Send one call on a new channel; return status, headers and body.

    The status is 0 if there is no complete answer.
    """
    if isinstance(document, bytes):
        body = document
    else:
        body = b"" if document is None else json.dumps(document).encode()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            known = {"Host": "h.example", **(headers or {})}
            writer.write(encode(f"{method} {path} HTTP/1.1", known, body))
            first, answered = await read_head(reader)
            return int(first.split()[1]), answered, await read_sized(reader, answered)
    except (Closed, OSError, TimeoutError):
        return 0, {}, b""
    finally:
        if writer is not None:
            writer.close()
