"""A replica of a model service: streams events on a few slots."""

import asyncio
import json
import time

from . import web

QUEUE = 24


def event_data(item, number, size):
    """Return the data of an event, which depends on the item alone."""
    text = f'{item}/{number}.'
    return (text * (size // len(text) + 1))[:size]


def whole_output(item, events, size):
    """Return the output of an item: the data of all its events."""
    return '\n'.join(event_data(item, n, size) for n in range(1, events + 1))


def wanted_of(body):
    """Return what a body asks for; a short stream if it names nothing."""
    try:
        wanted = json.loads(body)
    except ValueError:
        wanted = None
    if isinstance(wanted, dict) and 'events' in wanted:
        return wanted
    return {'events': 3, 'size': 70, 'event-ms': 5}


class Replica:
    """One replica, registered in the store under its id."""

    def __init__(self, store, record, name, service, zone, address, slots=8):
        self.store = store
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.address = address
        self.slots = asyncio.Semaphore(slots)
        self.slot_count = slots
        self.waiting = 0
        self.running = 0
        self.state = 'ready'
        self.born = int(time.time() * 1000)
        # Rows of [item, first event, start, end, whether it was whole].
        self.runs = []
        # Rows of [id, method, target, body] of all requests that ran.
        self.seen = []
        self.server = None
        self.channels = set()

    async def start(self):
        self.server = await web.serve(self.handle, *self.address)
        self.register()

    def register(self):
        host, port = self.address
        entry = {
            'service': self.service,
            'address': f'{host}:{port}',
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slot_count,
            'state': self.state,
            'cold-left-ms': 0,
            'call-seq': 0,
            'born': self.born,
        }
        self.store.put(f'servers/{self.name}', json.dumps(entry).encode())
        self.record(self.name, f'registers as {self.state}')

    async def leave(self, drain_s):
        """Report `draining`, serve on for that long, then exit."""
        self.state = 'draining'
        self.register()
        await asyncio.sleep(drain_s)
        self.store.delete(f'servers/{self.name}')
        self.server.close()
        for writer in list(self.channels):
            writer.transport.abort()
        self.record(self.name, 'has left')

    async def crash(self, heartbeat_s):
        """End without a word; the registration lapses after three beats."""
        self.record(self.name, 'crashes and is lost for good')
        self.server.close()
        for writer in list(self.channels):
            writer.transport.abort()
        await asyncio.sleep(3 * heartbeat_s)
        self.store.delete(f'servers/{self.name}')
        self.record(self.name, 'is no longer registered')

    async def handle(self, request, reader, writer):
        item = request.get('attempt-id')
        named = {'Attempt-Id': item}
        if request.target.startswith('/health'):
            writer.write(web.encode_answer(200, b'', {'Instance-Id': self.name}))
            return True
        if request.get('expect-instance', self.name) != self.name:
            answer = {**named, 'Instance-Id': self.name}
            writer.write(web.encode_answer(421, b'', answer))
            return True
        if self.waiting >= QUEUE:
            answer = {**named, 'Not-Executed': '1'}
            writer.write(web.encode_answer(503, b'', answer))
            return True
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        self.channels.add(writer)
        self.running += 1
        try:
            return await self.run(item, request, reader, writer)
        finally:
            self.running -= 1
            self.channels.discard(writer)
            self.slots.release()

    async def run(self, item, request, reader, writer):
        """Stream the events behind `Last-Event-Id`; stop if the caller leaves."""
        wanted = wanted_of(request.body)
        self.seen.append((item, request.method, request.target, request.body))
        first = int(request.get('last-event-id', '0')) + 1
        row = [item, first, time.time(), 0.0, False]
        self.runs.append(row)
        head = {
            'Attempt-Id': item,
            'Response-Signature': f'proof-of-{self.name}',
            'Content-Type': 'text/event-stream',
            'Server-Load': f'{self.running},{self.waiting},{self.slot_count}',
            'Transfer-Encoding': 'chunked',
        }
        if self.state == 'draining':
            head['Server-Leaving'] = '1'
            head['Connection'] = 'close'
        writer.write(web.encode_head(200, head))
        for number in range(first, wanted['events'] + 1):
            await asyncio.sleep(wanted['event-ms'] / 1000)
            if writer.is_closing() or reader.at_eof():
                row[3] = time.time()
                return False
            data = event_data(item, number, wanted['size'])
            event = f'id: {number}\ndata: {data}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
        writer.write(b'0\r\n\r\n')
        row[3] = time.time()
        row[4] = True
        return self.state != 'draining'
