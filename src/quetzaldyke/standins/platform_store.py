"""Simulates the platform's store: keys, transactions, leases and watches.

Serves the published protocol of the store. Its `/faults` route injects
faults: refused calls, lost responses to applied writes, delays, revoked
leases and dropped history.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, Final

import anyio
import orjson
from anyio.abc import TaskStatus
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from quetzaldyke.standins.platform_store_state import (
    StoreState,
    render_event,
)
from quetzaldyke.standins.serving import serve_standin

MS_IN_S: Final = 1000
LEASE_CHECK_S: Final = 0.1
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
