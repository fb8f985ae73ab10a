"""Simulates the platform's store: keys, transactions, leases and watches.

Serves the published protocol of the store. Its `/faults` route injects
faults: refused calls, lost responses to applied writes, delays, revoked
leases and dropped history.
"""

from __future__ import annotations

import base64
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final

import anyio
import orjson
from anyio.abc import TaskStatus
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from quetzaldyke.standins.serving import serve_standin

MS_IN_S: Final = 1000
HISTORY_EVENTS: Final = 5_000
LEASE_CHECK_S: Final = 0.1
VALUE_BYTES: Final = 1_048_576
KEY_BYTES: Final = 200
TRANSACTION_ENTRIES: Final = 32
JSON: Final = 'application/json'


@dataclass(frozen=True, slots=True)
class PlatformStoreOptions:
    """Options of the simulated store."""

    address: str = '127.0.0.1:0'


@dataclass(slots=True)
class StoreFaults:
    """Fault switches, all off initially."""

    # Refuses every call except those to `/faults`.
    refuse: bool = False
    delay_s: float = 0.0
    # Number of next writes that are applied without a response.
    lose_answers: int = 0


@dataclass(slots=True)
class StoredItem:
    """The value of a key, with its revisions and lease."""

    value: bytes
    revision: int
    created: int
    lease: int


@dataclass(slots=True)
class StoredEvent:
    """A change in the history; `item` is None for a deletion."""

    key: str
    revision: int
    item: StoredItem | None


@dataclass(slots=True)
class StoreLease:
    """A lease with its TTL and expiry time."""

    ttl_s: float
    expires_s: float


@dataclass(slots=True)
class StoreState:
    """The keys, history and leases of the store.

    >>> state = StoreState()
    >>> state.put('a', b'1', 0), state.put('b', b'2', 0)
    (1, 2)
    >>> [event.key for event in state.events_after('b', 0)]
    ['b']
    """

    now: Callable[[], float] = time.monotonic
    items: dict[str, StoredItem] = field(default_factory=dict)
    events: list[StoredEvent] = field(default_factory=list)
    leases: dict[int, StoreLease] = field(default_factory=dict)
    revision: int = 0
    next_lease: int = 1
    # The history no longer contains changes up to this revision.
    compacted: int = 0
    changed: anyio.Event = field(default_factory=anyio.Event)
    value_bytes: int = VALUE_BYTES

    def put(self, key: str, value: bytes, lease: int) -> int:
        """Write a key at the next revision and return that revision."""
        self.revision += 1
        self.write(key, value, lease)
        return self.revision

    def write(self, key: str, value: bytes, lease: int) -> None:
        """Write a key at the current revision."""
        known = self.items.get(key)
        created = known.created if known else self.revision
        item = StoredItem(value, self.revision, created, lease)
        self.items[key] = item
        self.record_event(StoredEvent(key, self.revision, item))

    def remove(self, key: str) -> None:
        """Delete a key at the current revision, if it exists."""
        if self.items.pop(key, None) is not None:
            self.record_event(StoredEvent(key, self.revision, None))

    def record_event(self, event: StoredEvent) -> None:
        """Append an event to the bounded history and wake all watches."""
        self.events.append(event)
        if len(self.events) > HISTORY_EVENTS:
            self.compacted = self.events.pop(0).revision
        self.changed.set()
        self.changed = anyio.Event()

    def discard_history(self) -> None:
        """Compact the whole history and wake all watches."""
        self.events.clear()
        self.compacted = self.revision
        self.changed.set()
        self.changed = anyio.Event()

    def events_after(self, prefix: str, after: int) -> list[StoredEvent]:
        """Return the retained changes of a prefix after a revision."""
        return [
            event
            for event in self.events
            if event.revision > after and event.key.startswith(prefix)
        ]

    def grant(self, ttl_s: float) -> int:
        """Grant a lease."""
        lease = self.next_lease
        self.next_lease += 1
        self.leases[lease] = StoreLease(ttl_s, self.now() + ttl_s)
        return lease

    def revoke_lease(self, lease: int) -> None:
        """Revoke a lease and delete its keys at one revision."""
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item.lease == lease]
        if keys:
            self.revision += 1
        for key in keys:
            self.remove(key)

    def expire_leases(self) -> None:
        """Revoke the expired leases."""
        now_s = self.now()
        for lease, held in list(self.leases.items()):
            if held.expires_s <= now_s:
                self.revoke_lease(lease)

    def transact(self, call: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Apply a transaction and return the HTTP status and body.

        Returns 413 if it is too large, 412 with the existing keys if a
        revision differs, and 404 if a lease is unknown; none of these changes
        anything.
        """
        rows = call.get('if-rev', [])
        if self.exceeds_limits(call):
            return 413, {'error': 'too large'}
        if any(self.revision_of(row['key']) != row['revision'] for row in rows):
            known = [row['key'] for row in rows if row['key'] in self.items]
            return 412, {'items': [self.render(key) for key in known]}
        puts = call.get('puts', [])
        wanted = {put.get('lease', 0) for put in puts} - {0}
        if wanted - self.leases.keys():
            return 404, {'error': 'no such lease'}
        self.revision += 1
        for put in puts:
            value = base64.b64decode(put['value'], validate=True)
            self.write(put['key'], value, put.get('lease', 0))
        for key in call.get('deletes', []):
            self.remove(key)
        return 200, {'revision': self.revision}

    def exceeds_limits(self, call: dict[str, Any]) -> bool:
        """Return whether a transaction is too large for the store."""
        puts = call.get('puts', [])
        keys = [put['key'] for put in puts] + call.get('deletes', [])
        entries = len(call.get('if-rev', [])) + len(keys)
        return (
            entries > TRANSACTION_ENTRIES
            or any(len(key.encode()) > KEY_BYTES for key in keys)
            or any(
                len(base64.b64decode(put['value'])) > self.value_bytes
                for put in puts
            )
        )

    def revision_of(self, key: str) -> int:
        """Return the revision of a key; 0 if it does not exist."""
        item = self.items.get(key)
        return item.revision if item else 0

    def render(self, key: str) -> dict[str, Any]:
        """Return a key in the JSON format of the protocol."""
        return render_item(key, self.items[key])


def render_item(key: str, item: StoredItem) -> dict[str, Any]:
    """Return an item in the JSON format of the protocol."""
    return {
        'key': key,
        'value': base64.b64encode(item.value).decode('ascii'),
        'revision': item.revision,
        'created': item.created,
        'lease': item.lease,
    }


def render_event(event: StoredEvent) -> dict[str, Any]:
    """Return a change in the JSON format; a deletion is a tombstone."""
    if event.item is not None:
        return render_item(event.key, event.item)
    return {'key': event.key, 'revision': event.revision, 'tombstone': True}


@dataclass(slots=True)
class PlatformStoreStandin:
    """A simulated store: its options, state, faults and call counter."""

    options: PlatformStoreOptions
    state: StoreState = field(default_factory=StoreState)
    faults: StoreFaults = field(default_factory=StoreFaults)
    stopping: anyio.Event = field(default_factory=anyio.Event)
    address: str = ''
    calls: int = 0

    def routes(self) -> list[Route]:
        """Return the routes of the store protocol and the control route."""
        base = '/quetzaldyke'
        return [
            Route(f'{base}/kv-key', self.with_faults(self.read_key)),
            Route(f'{base}/kv-range', self.with_faults(self.read_range)),
            Route(f'{base}/kv-watch', self.with_faults(self.watch)),
            Route(
                f'{base}/kv-txn',
                self.with_faults(self.run_transaction),
                methods=['POST'],
            ),
            Route(
                f'{base}/kv-lease',
                self.with_faults(self.grant_lease),
                methods=['POST'],
            ),
            Route(
                f'{base}/kv-keep/{{lease:int}}',
                self.with_faults(self.renew_lease),
                methods=['POST'],
            ),
            Route(
                f'{base}/kv-lease-end/{{lease:int}}',
                self.with_faults(self.end_lease),
                methods=['DELETE'],
            ),
            Route('/faults', self.set_faults, methods=['POST']),
        ]

    def with_faults(self, handler: Any) -> Any:
        """Return a handler that counts calls and applies the active faults."""

        async def handle_with_faults(request: Request) -> Response:
            self.calls += 1
            if self.faults.refuse:
                return json_response({'error': 'refused'}, 503)
            if self.faults.delay_s:
                await anyio.sleep(self.faults.delay_s)
            response: Response = await handler(request)
            if self.faults.refuse:
                # Also refuses calls, such as watches, that were waiting when
                # the outage began.
                return json_response({'error': 'refused'}, 503)
            if self.faults.lose_answers and request.method == 'POST':
                self.faults.lose_answers -= 1
                raise ConnectionResetError(
                    'response dropped by the lose_answers fault'
                )
            return response

        return handle_with_faults

    async def read_key(self, request: Request) -> Response:
        """Return a key; 404 if it does not exist."""
        key = request.query_params['key']
        if key not in self.state.items:
            return json_response({'store-revision': self.state.revision}, 404)
        shown = self.state.render(key)
        shown['store-revision'] = self.state.revision
        return json_response(shown)

    async def read_range(self, request: Request) -> Response:
        """Return all keys of a prefix in a single page."""
        prefix = request.query_params['prefix']
        after = request.query_params.get('after', '')
        keys = sorted(
            key
            for key in self.state.items
            if key.startswith(prefix) and key > after
        )
        items = [self.state.render(key) for key in keys]
        return json_response(
            {
                'items': items,
                'has-more': False,
                'store-revision': self.state.revision,
            },
        )

    async def watch(self, request: Request) -> Response:
        """Wait for changes of a prefix and return them.

        Returns no events after a timeout, and 410 if the history is compacted.
        """
        prefix = request.query_params['prefix']
        after = int(request.query_params['after'])
        wait_s = int(request.query_params['wait-ms']) / MS_IN_S
        with anyio.move_on_after(wait_s):
            while not self.state.events_after(prefix, after):
                if after < self.state.compacted:
                    return json_response({'error': 'history is gone'}, 410)
                await self.state.changed.wait()
        if after < self.state.compacted:
            return json_response({'error': 'history is gone'}, 410)
        events = self.state.events_after(prefix, after)
        return json_response(
            {
                'events': [render_event(event) for event in events],
                'store-revision': self.state.revision,
            },
        )

    async def run_transaction(self, request: Request) -> Response:
        """Apply a transaction."""
        status, body = self.state.transact(orjson.loads(await request.body()))
        return json_response(body, status)

    async def grant_lease(self, request: Request) -> Response:
        """Grant a lease."""
        call = orjson.loads(await request.body())
        lease = self.state.grant(call['ttl-ms'] / MS_IN_S)
        return json_response({'lease': lease, 'ttl-ms': call['ttl-ms']})

    async def renew_lease(self, request: Request) -> Response:
        """Renew a lease; return 404 if it is unknown."""
        held = self.state.leases.get(request.path_params['lease'])
        if held is None:
            return json_response({'error': 'no such lease'}, 404)
        held.expires_s = self.state.now() + held.ttl_s
        return json_response({'ttl-ms': int(held.ttl_s * MS_IN_S)})

    async def end_lease(self, request: Request) -> Response:
        """Revoke a lease."""
        self.state.revoke_lease(request.path_params['lease'])
        return json_response({})

    async def set_faults(self, request: Request) -> Response:
        """Set fault switches and return the number of calls.

        `forget` compacts the history; `lapse` revokes all leases.
        """
        wanted = orjson.loads(await request.body())
        if wanted.pop('forget', False):
            self.state.discard_history()
        if wanted.pop('lapse', False):
            for lease in list(self.state.leases):
                self.state.revoke_lease(lease)
        for name, setting in wanted.items():
            setattr(self.faults, name, setting)
        return json_response({'calls': self.calls})


def json_response(body: object, status: int = 200) -> Response:
    """Return a JSON response."""
    return Response(orjson.dumps(body), status, media_type=JSON)


async def poll_expired_leases(standin: PlatformStoreStandin) -> None:
    """Revoke expired leases periodically."""
    while True:
        await anyio.sleep(LEASE_CHECK_S)
        standin.state.expire_leases()


async def run_platform_store(
    options: PlatformStoreOptions,
    *,
    task_status: TaskStatus[PlatformStoreStandin] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Run the stand-in until `stopping` is set."""
    await serve_standin(
        PlatformStoreStandin(options),
        options.address,
        poll_expired_leases,
        task_status,
    )
