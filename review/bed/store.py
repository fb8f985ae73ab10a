"""The platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

from . import web

KEY_BYTES = 200
ROWS = 32
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
ANSWER_S = 0.004


class Store:
    """Keys, leases and history; one channel address for each machine."""

    def __init__(self, record, value_bytes=1_048_576):
        self.record = record
        self.value_bytes = value_bytes
        self.items = {}
        self.leases = {}
        self.history = []
        self.revision = 100
        self.next_lease = 1
        self.changed = asyncio.Event()
        # How the store treats calls: up, busy (503) or silent.
        self.mode = 'up'
        self.servers = []

    async def listen(self, host, port):
        self.servers.append(await web.serve(self.handle, host, port))

    def set_mode(self, mode):
        self.mode = mode
        self.record('store', f'is {mode}')

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        """Write a key as the operator or a replica does."""
        self.revision += 1
        self.write(key, value, lease)
        self.wake()
        return self.revision

    def write(self, key, value, lease):
        known = self.items.get(key)
        self.items[key] = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'revision': self.revision,
            'created': known['created'] if known else self.revision,
            'lease': lease,
        }
        self.history.append(self.items[key])

    def remove(self, key):
        """Remove a key at the current revision."""
        if self.items.pop(key, None) is not None:
            self.history.append(
                {'key': key, 'revision': self.revision, 'tombstone': True}
            )

    def delete(self, key):
        """Remove a key as a replica does that leaves."""
        self.revision += 1
        self.remove(key)
        self.wake()

    async def expire_leases(self):
        """Remove the keys of leases that have run out; they pause in outages."""
        before_s = time.monotonic()
        while True:
            await asyncio.sleep(0.1)
            now_s = time.monotonic()
            for lease, held in list(self.leases.items()):
                if self.mode != 'up':
                    held['ends_s'] += now_s - before_s
                elif held['ends_s'] < now_s:
                    self.end_lease(lease)
            before_s = now_s

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, one in self.items.items() if one['lease'] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self.remove(key)
            self.wake()

    async def handle(self, request, reader, writer):
        await asyncio.sleep(ANSWER_S)
        if self.mode == 'silent':
            # Nothing is done and nothing is answered on this channel.
            await reader.read()
            return False
        if self.mode == 'busy':
            writer.write(web.encode_answer(503))
            return True
        url = urlsplit(request.target)
        query = {name: rows[0] for name, rows in parse_qs(url.query).items()}
        name, _, rest = url.path.removeprefix('/quetzaldyke/').partition('/')
        if name == 'kv-watch':
            status, body = await self.watch(query)
            if self.mode != 'up':
                # A watch that is waiting may be cut.
                return False
        else:
            call = json.loads(request.body) if request.body else {}
            status, body = self.answer(name, rest, query, call)
        named = {'Content-Type': 'application/json'}
        writer.write(web.encode_answer(status, json.dumps(body).encode(), named))
        return True

    def answer(self, name, rest, query, call):
        if name == 'kv-key':
            found = self.items.get(query['key'], {})
            status = 200 if found else 404
            return status, {**found, 'store-revision': self.revision}
        if name == 'kv-range':
            return 200, self.page(query['prefix'], query.get('after', ''))
        if name == 'kv-txn':
            return self.transact(call)
        if name == 'kv-lease':
            ttl_s = call['ttl-ms'] / 1000
            self.leases[self.next_lease] = {
                'ttl_s': ttl_s,
                'ends_s': time.monotonic() + ttl_s,
            }
            self.next_lease += 1
            return 200, {'lease': self.next_lease - 1, 'ttl-ms': call['ttl-ms']}
        if name == 'kv-keep':
            held = self.leases.get(int(rest))
            if held is None:
                return 404, {}
            held['ends_s'] = time.monotonic() + held['ttl_s']
            return 200, {'ttl-ms': int(held['ttl_s'] * 1000)}
        if name == 'kv-lease-end':
            self.end_lease(int(rest))
            return 200, {}
        return 404, {}

    def page(self, prefix, after):
        rows = []
        size = 0
        more = False
        for key in sorted(self.items):
            if key <= after or not key.startswith(prefix):
                continue
            size += len(self.items[key]['value'])
            if rows and (len(rows) >= PAGE_ITEMS or size > PAGE_BYTES):
                more = True
                break
            rows.append(self.items[key])
        return {
            'items': rows,
            'has-more': more,
            'store-revision': self.revision,
        }

    async def watch(self, query):
        prefix = query['prefix']
        after = int(query['after'])
        ends_s = time.monotonic() + int(query['wait-ms']) / 1000
        while True:
            events = [
                one
                for one in self.history
                if one['revision'] > after and one['key'].startswith(prefix)
            ]
            left_s = ends_s - time.monotonic()
            if events or left_s <= 0:
                break
            try:
                async with asyncio.timeout(left_s):
                    await self.changed.wait()
            except TimeoutError:
                pass
        return 200, {'events': events, 'store-revision': self.revision}

    def transact(self, call):
        conditions = call.get('if-rev', [])
        puts = call.get('puts', [])
        deletes = call.get('deletes', [])
        keys = [put['key'] for put in puts] + deletes
        if len(conditions) + len(keys) > ROWS:
            return 413, {'error': f'more than {ROWS} entries'}
        if any(len(key) > KEY_BYTES for key in keys):
            return 413, {'error': f'a key has more than {KEY_BYTES} bytes'}
        if any(key.startswith(('op/', 'servers/')) for key in keys):
            return 403, {}
        values = [base64.b64decode(put['value']) for put in puts]
        for put, value in zip(puts, values, strict=True):
            if len(value) > self.value_bytes:
                self.record(
                    'store',
                    f'refuses {put["key"]}: {len(value)} bytes are more than '
                    f'{self.value_bytes}',
                )
                return 413, {'error': 'a value is too large'}
        for row in conditions:
            known = self.items.get(row['key'], {})
            if known.get('revision', 0) != row['revision']:
                rows = [self.items.get(one['key']) for one in conditions]
                return 412, {'items': [one for one in rows if one]}
        leases = {put.get('lease', 0) for put in puts} - {0}
        if leases - self.leases.keys():
            return 404, {}
        self.revision += 1
        for put, value in zip(puts, values, strict=True):
            self.write(put['key'], value, put.get('lease', 0))
        for key in deletes:
            self.remove(key)
        self.wake()
        return 200, {'revision': self.revision}
