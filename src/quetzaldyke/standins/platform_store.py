"""Stand-in for the platform's store: keys, transactions, leases, watches.

It speaks the store's published protocol. Faults are switched over its
control path: it can refuse calls, lose answers after the work was done,
answer late, and drop its history.
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
JSON: Final = 'application/json'


@dataclass(frozen=True, slots=True)
class PlatformStoreOptions:
    """Options of the stand-in."""

    address: str = '127.0.0.1:0'


@dataclass(slots=True)
class StoreFaults:
    """Switches; all off at the start."""

    # Refuses every call but those that control the faults.
    refuse: bool = False
    delay_s: float = 0.0
    # The next writes are done and their answers lost.
    lose_answers: int = 0


@dataclass(slots=True)
class StoredItem:
    """One key."""

    value: bytes
    revision: int
    created: int
    lease: int


@dataclass(slots=True)
class StoredEvent:
    """One change in the history; `item` is None for a removal."""

    key: str
    revision: int
    item: StoredItem | None


@dataclass(slots=True)
class HeldLease:
    """One lease."""

    ttl_s: float
    ends_s: float


@dataclass(slots=True)
class StoreState:
    """Everything that the store keeps.

    >>> state = StoreState()
    >>> state.put('a', b'1', 0), state.put('b', b'2', 0)
    (1, 2)
    >>> [event.key for event in state.events_after('b', 0)]
    ['b']
    """

    now: Callable[[], float] = time.monotonic
    items: dict[str, StoredItem] = field(default_factory=dict)
    events: list[StoredEvent] = field(default_factory=list)
    leases: dict[int, HeldLease] = field(default_factory=dict)
    revision: int = 0
    next_lease: int = 1
    # Changes up to this revision are forgotten.
    forgotten: int = 0
    changed: anyio.Event = field(default_factory=anyio.Event)

    def put(self, key: str, value: bytes, lease: int) -> int:
        """Write a key in a revision of its own."""
        self.revision += 1
        self.write(key, value, lease)
        return self.revision

    def write(self, key: str, value: bytes, lease: int) -> None:
        """Write a key in the present revision."""
        known = self.items.get(key)
        created = known.created if known else self.revision
        item = StoredItem(value, self.revision, created, lease)
        self.items[key] = item
        self.note(StoredEvent(key, self.revision, item))

    def remove(self, key: str) -> None:
        """Remove a key in the present revision."""
        if self.items.pop(key, None) is not None:
            self.note(StoredEvent(key, self.revision, None))

    def note(self, event: StoredEvent) -> None:
        """Keep a change and wake the watches."""
        self.events.append(event)
        if len(self.events) > HISTORY_EVENTS:
            self.forgotten = self.events.pop(0).revision
        self.changed.set()
        self.changed = anyio.Event()

    def forget_history(self) -> None:
        """Drop all history."""
        self.events.clear()
        self.forgotten = self.revision
        self.changed.set()
        self.changed = anyio.Event()

    def events_after(self, prefix: str, after: int) -> list[StoredEvent]:
        """Return the changes of a prefix after a revision."""
        return [
            event
            for event in self.events
            if event.revision > after and event.key.startswith(prefix)
        ]

    def grant(self, ttl_s: float) -> int:
        """Create a lease."""
        lease = self.next_lease
        self.next_lease += 1
        self.leases[lease] = HeldLease(ttl_s, self.now() + ttl_s)
        return lease

    def revoke_lease(self, lease: int) -> None:
        """End a lease and remove its keys."""
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item.lease == lease]
        if keys:
            self.revision += 1
        for key in keys:
            self.remove(key)

    def lapse(self) -> None:
        """End the leases whose time is over."""
        now_s = self.now()
        for lease, held in list(self.leases.items()):
            if held.ends_s <= now_s:
                self.revoke_lease(lease)

    def transact(self, call: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Apply a transaction; return status and answer."""
        rows = call.get('if-rev', [])
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

    def revision_of(self, key: str) -> int:
        """Return the revision of a key, 0 when it does not exist."""
        item = self.items.get(key)
        return item.revision if item else 0

    def render(self, key: str) -> dict[str, Any]:
        """Return a key as the protocol shows it."""
        return render_item(key, self.items[key])


def render_item(key: str, item: StoredItem) -> dict[str, Any]:
    """Return an item as the protocol shows it."""
    return {
        'key': key,
        'value': base64.b64encode(item.value).decode('ascii'),
        'revision': item.revision,
        'created': item.created,
        'lease': item.lease,
    }


def render_event(event: StoredEvent) -> dict[str, Any]:
    """Return a change as the protocol shows it."""
    if event.item is not None:
        return render_item(event.key, event.item)
    return {'key': event.key, 'revision': event.revision, 'tombstone': True}


@dataclass(slots=True)
class PlatformStoreStandin:
    """A running stand-in."""

    options: PlatformStoreOptions
    state: StoreState = field(default_factory=StoreState)
    faults: StoreFaults = field(default_factory=StoreFaults)
    stopping: anyio.Event = field(default_factory=anyio.Event)
    address: str = ''
    calls: int = 0

    def routes(self) -> list[Route]:
        """Return the routes of the protocol and of the faults."""
        base = '/quetzaldyke'
        return [
            Route(f'{base}/kv-key', self.guard(self.read_key)),
            Route(f'{base}/kv-range', self.guard(self.read_range)),
            Route(f'{base}/kv-watch', self.guard(self.watch)),
            Route(f'{base}/kv-txn', self.guard(self.txn), methods=['POST']),
            Route(f'{base}/kv-lease', self.guard(self.lease), methods=['POST']),
            Route(
                f'{base}/kv-keep/{{lease:int}}',
                self.guard(self.keep),
                methods=['POST'],
            ),
            Route(
                f'{base}/kv-lease-end/{{lease:int}}',
                self.guard(self.lease_end),
                methods=['DELETE'],
            ),
            Route('/faults', self.set_faults, methods=['POST']),
        ]

    def guard(self, handler: Any) -> Any:
        """Apply the faults to a handler."""

        async def guarded(request: Request) -> Response:
            self.calls += 1
            if self.faults.refuse:
                return answer({'error': 'refused'}, 503)
            if self.faults.delay_s:
                await anyio.sleep(self.faults.delay_s)
            response: Response = await handler(request)
            if self.faults.refuse:
                # A watch that waited when the outage began hears nothing.
                return answer({'error': 'refused'}, 503)
            if self.faults.lose_answers and request.method == 'POST':
                self.faults.lose_answers -= 1
                raise ConnectionResetError('the answer is lost on purpose')
            return response

        return guarded

    async def read_key(self, request: Request) -> Response:
        """Serve one key."""
        key = request.query_params['key']
        if key not in self.state.items:
            return answer({'store-revision': self.state.revision}, 404)
        shown = self.state.render(key)
        shown['store-revision'] = self.state.revision
        return answer(shown)

    async def read_range(self, request: Request) -> Response:
        """Serve the keys of a prefix in one page."""
        prefix = request.query_params['prefix']
        after = request.query_params.get('after', '')
        keys = sorted(
            key
            for key in self.state.items
            if key.startswith(prefix) and key > after
        )
        items = [self.state.render(key) for key in keys]
        return answer(
            {
                'items': items,
                'has-more': False,
                'store-revision': self.state.revision,
            },
        )

    async def watch(self, request: Request) -> Response:
        """Serve changes as soon as there are some."""
        prefix = request.query_params['prefix']
        after = int(request.query_params['after'])
        wait_s = int(request.query_params['wait-ms']) / MS_IN_S
        with anyio.move_on_after(wait_s):
            while not self.state.events_after(prefix, after):
                if after < self.state.forgotten:
                    return answer({'error': 'history is gone'}, 410)
                await self.state.changed.wait()
        if after < self.state.forgotten:
            return answer({'error': 'history is gone'}, 410)
        events = self.state.events_after(prefix, after)
        return answer(
            {
                'events': [render_event(event) for event in events],
                'store-revision': self.state.revision,
            },
        )

    async def txn(self, request: Request) -> Response:
        """Apply a transaction."""
        status, body = self.state.transact(orjson.loads(await request.body()))
        return answer(body, status)

    async def lease(self, request: Request) -> Response:
        """Create a lease."""
        call = orjson.loads(await request.body())
        lease = self.state.grant(call['ttl-ms'] / MS_IN_S)
        return answer({'lease': lease, 'ttl-ms': call['ttl-ms']})

    async def keep(self, request: Request) -> Response:
        """Renew a lease."""
        held = self.state.leases.get(request.path_params['lease'])
        if held is None:
            return answer({'error': 'no such lease'}, 404)
        held.ends_s = self.state.now() + held.ttl_s
        return answer({'ttl-ms': int(held.ttl_s * MS_IN_S)})

    async def lease_end(self, request: Request) -> Response:
        """End a lease."""
        self.state.revoke_lease(request.path_params['lease'])
        return answer({})

    async def set_faults(self, request: Request) -> Response:
        """Switch faults on and off."""
        wanted = orjson.loads(await request.body())
        if wanted.pop('forget', False):
            self.state.forget_history()
        if wanted.pop('lapse', False):
            for lease in list(self.state.leases):
                self.state.revoke_lease(lease)
        for name, setting in wanted.items():
            setattr(self.faults, name, setting)
        return answer({'calls': self.calls})


def answer(body: object, status: int = 200) -> Response:
    """Return a JSON answer."""
    return Response(orjson.dumps(body), status, media_type=JSON)


async def lapse_leases(standin: PlatformStoreStandin) -> None:
    """End leases as their time is over."""
    while True:
        await anyio.sleep(LEASE_CHECK_S)
        standin.state.lapse()


async def run_platform_store(
    options: PlatformStoreOptions,
    *,
    task_status: TaskStatus[PlatformStoreStandin] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Run the stand-in until `stopping` is set."""
    await serve_standin(
        PlatformStoreStandin(options),
        options.address,
        lapse_leases,
        task_status,
    )
