"""A small HTTP/1.1 server and client on asyncio streams."""

import asyncio

REASONS = {
    200: 'OK',
    202: 'Accepted',
    404: 'Not Found',
    410: 'Gone',
    412: 'Precondition Failed',
    413: 'Content Too Large',
    421: 'Misdirected Request',
    503: 'Service Unavailable',
}
CLOSED = (ConnectionError, asyncio.IncompleteReadError, OSError)


class Request:
    """A request as it was read from a channel."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    def get(self, name, default=''):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Return the first line and the headers, names in lower case."""
    raw = await reader.readuntil(b'\r\n\r\n')
    lines = raw.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, content = line.partition(':')
            headers[name.strip().lower()] = content.strip()
    return lines[0], headers


async def read_chunks(reader):
    """Yield the chunks of a chunked body."""
    while True:
        size = int((await reader.readline()).split(b';')[0], 16)
        chunk = await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            return
        yield chunk


async def read_request(reader):
    """Return the next request of a channel."""
    line, headers = await read_head(reader)
    method, target, _ = line.split(' ')
    body = b''
    if 'chunked' in headers.get('transfer-encoding', ''):
        body = b''.join([chunk async for chunk in read_chunks(reader)])
    elif headers.get('content-length'):
        body = await reader.readexactly(int(headers['content-length']))
    return Request(method, target, headers, body)


def encode_head(status, headers):
    """Return the head of an answer."""
    lines = [f'HTTP/1.1 {status} {REASONS.get(status, "-")}']
    lines.extend(f'{name}: {content}' for name, content in headers.items())
    return '\r\n'.join([*lines, '', '']).encode('latin-1')


def encode_answer(status, body=b'', headers=None):
    """Return a whole answer with its length."""
    named = {**(headers or {}), 'Content-Length': len(body)}
    return encode_head(status, named) + body


async def serve(handle, host, port):
    """Serve channels; `handle` gets each request, the reader and the writer.

    A handler that returns False ends its channel.
    """

    async def on_channel(reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if await handle(request, reader, writer) is False:
                    break
                await writer.drain()
        except (*CLOSED, ValueError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(
        on_channel, host, port, limit=1 << 24, backlog=512
    )


async def call(
    address, method, target, headers=None, body=b'', timeout_s=8.0
):
    """Send one request on a new channel; return status, headers and body.

    The status is 0 if there is no whole answer in time.
    """
    try:
        async with asyncio.timeout(timeout_s):
            return await call_unbounded(address, method, target, headers, body)
    except (*CLOSED, TimeoutError, ValueError):
        return 0, {}, b''


async def call_unbounded(address, method, target, headers, body):
    """Send one request on a new channel and read the whole answer."""
    reader, writer = await asyncio.open_connection(*address, limit=1 << 24)
    try:
        named = {**(headers or {})}
        if body or method == 'POST':
            named['Content-Length'] = len(body)
        lines = [f'{method} {target} HTTP/1.1']
        lines.extend(f'{name}: {content}' for name, content in named.items())
        writer.write('\r\n'.join([*lines, '', '']).encode('latin-1') + body)
        line, answered = await read_head(reader)
        if 'chunked' in answered.get('transfer-encoding', ''):
            got = b''.join([chunk async for chunk in read_chunks(reader)])
        else:
            size = int(answered.get('content-length', '0'))
            got = await reader.readexactly(size)
        return int(line.split(' ')[1]), answered, got
    finally:
        writer.close()
