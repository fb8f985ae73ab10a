"""Stand-in for the platform's key-value service.

Speaks a subset of the etcd v3 JSON gateway: range, transactions with one
revision compare and one put or delete, leases, and streaming watches.
Every call is counted by kind, and faults can be switched while it runs.
"""

from __future__ import annotations

import base64
import json
from collections import Counter
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any, Final

import anyio
from anyio.abc import TaskStatus
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from quetzaldyke.standins.faults import Chance, Outage, control_routes
from quetzaldyke.standins.kv_state import KeyEvent, KeyValue, KvState, in_range

MAX_VALUE_BYTES: Final = 1_000_000
EXPIRY_POLL_S: Final = 0.02
WRITE_KINDS: Final = ('put', 'delete', 'lease_grant', 'lease_revoke')

Body = dict[str, Any]


@dataclass(frozen=True, slots=True)
class KvOptions:
    """Options of the stand-in."""

    address: str = '127.0.0.1:0'
    seed: int = 1


@dataclass(slots=True)
class KvFaults:
    """Switches; all off at the start."""

    # Refuses connections and breaks open ones.
    down: bool = False
    # Wait before a call is looked at. A client that gives up earlier can
    # still have its write applied afterwards.
    delay_s: float = 0.0
    # Share of the calls that `delay_s` applies to.
    delay_ratio: float = 1.0
    # The next writes are applied and their answers lost.
    lose_answers: int = 0
    # Share of the writes that are applied with the answer lost.
    lose_answers_ratio: float = 0.0
    # Share of the calls whose connection breaks before anything is applied.
    drop_ratio: float = 0.0
    # Leases end this long before their time.
    expire_early_s: float = 0.0


@dataclass(slots=True)
class KvCounts:
    """Calls by kind; a watch counts once when it starts to wait."""

    calls: Counter[str] = field(default_factory=Counter)
    conflicts: int = 0
    open_watches: int = 0

    @property
    def writes(self) -> int:
        """Return the number of write calls."""
        return sum(self.calls[kind] for kind in WRITE_KINDS)

    @property
    def reads(self) -> int:
        """Return the number of read calls, watches included."""
        return self.calls['range'] + self.calls['watch']

    def as_dict(self) -> dict[str, Any]:
        """Return the counters for HTTP."""
        return {
            'calls': dict(self.calls),
            'writes': self.writes,
            'reads': self.reads,
            'conflicts': self.conflicts,
            'open_watches': self.open_watches,
        }


@dataclass(slots=True)
class KvStandin:
    """A running stand-in."""

    faults: KvFaults
    counts: KvCounts
    state: KvState
    outage: Outage
    chance: Chance

    @property
    def address(self) -> str:
        """Return the bound address."""
        return self.outage.address

    @property
    def stopping(self) -> anyio.Event:
        """Return the event that stops the stand-in."""
        return self.outage.stopping


class CallFailed(Exception):
    """A call is answered with an error of the protocol."""

    def __init__(self, status: int, code: int, message: str) -> None:
        """Keep the HTTP status and the gRPC code."""
        super().__init__(message)
        self.status = status
        self.code = code


def encode(raw: bytes) -> str:
    """Return bytes as the gateway writes them."""
    return base64.b64encode(raw).decode()


def decode(body: Body, name: str) -> bytes:
    """Return a bytes field of a body."""
    return base64.b64decode(body.get(name, ''))


def number(body: Body, name: str) -> int:
    """Return an integer field; the gateway accepts strings and numbers."""
    return int(body.get(name, 0))


def kv_body(kv: KeyValue) -> Body:
    """Return a key as JSON; like the gateway, without zero fields."""
    fields: Body = {
        'key': encode(kv.key),
        'create_revision': str(kv.create_revision),
        'mod_revision': str(kv.mod_revision),
        'version': str(kv.version),
        'value': encode(kv.value),
        'lease': str(kv.lease),
    }
    return {
        name: text for name, text in fields.items() if text not in {'0', ''}
    }


def event_body(event: KeyEvent) -> Body:
    """Return a change as JSON; PUT is the default type and left out."""
    body: Body = {'kv': kv_body(event.kv)}
    if event.deleted:
        body['type'] = 'DELETE'
    return body


def header(state: KvState) -> Body:
    """Return the header that every answer has."""
    return {
        'cluster_id': '1',
        'member_id': '1',
        'revision': str(state.revision),
    }


def do_range(standin: KvStandin, body: Body) -> Body:
    """Read a key or a range."""
    standin.counts.calls['range'] += 1
    found = standin.state.select(decode(body, 'key'), decode(body, 'range_end'))
    return {
        'header': header(standin.state),
        'kvs': [kv_body(one) for one in found],
        'count': str(len(found)),
    }


def do_txn(standin: KvStandin, body: Body) -> Body:
    """Apply one put or delete if the revision is as compared."""
    [compare] = body['compare']
    [operation] = body['success']
    kind = 'put' if 'request_put' in operation else 'delete'
    standin.counts.calls[kind] += 1
    if compare.get('target') != 'MOD' or compare.get('result') != 'EQUAL':
        raise CallFailed(400, 3, 'only MOD EQUAL is supported')
    revision = standin.state.mod_revision(decode(compare, 'key'))
    put = operation.get('request_put')
    if put is not None:
        check_put(standin.state, put)
    if revision != number(compare, 'mod_revision'):
        standin.counts.conflicts += 1
        return {'header': header(standin.state)}
    if put is not None:
        standin.state.put(
            decode(put, 'key'),
            decode(put, 'value'),
            number(put, 'lease'),
        )
    else:
        standin.state.delete(decode(operation['request_delete_range'], 'key'))
    return {'header': header(standin.state), 'succeeded': True}


def check_put(state: KvState, put: Body) -> None:
    """Refuse a large value and an unknown lease."""
    if len(decode(put, 'value')) > MAX_VALUE_BYTES:
        raise CallFailed(400, 3, 'etcdserver: request is too large')
    lease_id = number(put, 'lease')
    if lease_id and lease_id not in state.leases:
        raise CallFailed(404, 5, 'etcdserver: requested lease not found')


def do_grant(standin: KvStandin, body: Body) -> Body:
    """Create a lease."""
    standin.counts.calls['lease_grant'] += 1
    lease = standin.state.grant(number(body, 'TTL'))
    return {
        'header': header(standin.state),
        'ID': str(lease.lease_id),
        'TTL': str(lease.ttl_s),
    }


def do_keep_alive(standin: KvStandin, body: Body) -> Body:
    """Extend a lease; a lapsed one is answered without TTL."""
    standin.counts.calls['lease_keepalive'] += 1
    ttl_s = standin.state.keep_alive(number(body, 'ID'))
    result: Body = {'header': header(standin.state), 'ID': str(body['ID'])}
    if ttl_s:
        result['TTL'] = str(ttl_s)
    return {'result': result}


def do_revoke(standin: KvStandin, body: Body) -> Body:
    """End a lease."""
    standin.counts.calls['lease_revoke'] += 1
    if not standin.state.revoke(number(body, 'ID')):
        raise CallFailed(404, 5, 'etcdserver: requested lease not found')
    return {'header': header(standin.state)}


CALLS: Final = {
    '/v3/kv/range': do_range,
    '/v3/kv/txn': do_txn,
    '/v3/lease/grant': do_grant,
    '/v3/lease/keepalive': do_keep_alive,
    '/v3/lease/revoke': do_revoke,
}
READ_PATHS: Final = frozenset(('/v3/kv/range',))


async def answer_call(standin: KvStandin, request: Request) -> Response:
    """Run one call with the faults that are on."""
    body = await request.json()
    faults = standin.faults
    if faults.delay_s and standin.chance.happens(faults.delay_ratio):
        await anyio.sleep(faults.delay_s)
    if faults.down or standin.chance.happens(faults.drop_ratio):
        return standin.outage.break_answer(request)
    path = request.url.path
    try:
        answer = CALLS[path](standin, body)
    except CallFailed as exc:
        return error_answer(exc)
    if path not in READ_PATHS and loses_answer(standin):
        return standin.outage.break_answer(request)
    return JSONResponse(answer)


def error_answer(exc: CallFailed) -> Response:
    """Return an error as the gateway writes it."""
    message = str(exc)
    return JSONResponse(
        {'error': message, 'code': exc.code, 'message': message},
        exc.status,
    )


def loses_answer(standin: KvStandin) -> bool:
    """Tell whether the answer of an applied write gets lost."""
    if standin.faults.lose_answers > 0:
        standin.faults.lose_answers -= 1
        return True
    return standin.chance.happens(standin.faults.lose_answers_ratio)


async def answer_watch(standin: KvStandin, request: Request) -> Response:
    """Open a watch, one JSON object a line."""
    body = await request.json()
    if standin.faults.delay_s:
        await anyio.sleep(standin.faults.delay_s)
    standin.counts.calls['watch'] += 1
    create = body['create_request']
    return StreamingResponse(
        watch_lines(
            standin,
            decode(create, 'key'),
            decode(create, 'range_end'),
            number(create, 'start_revision'),
        ),
        media_type='application/json',
    )


def watch_line(state: KvState, fields: Body) -> str:
    """Return one line of a watch's answer."""
    return f'{json.dumps({"result": {"header": header(state), **fields}})}\n'


async def watch_lines(
    standin: KvStandin,
    key: bytes,
    range_end: bytes,
    start_revision: int,
) -> AsyncIterator[str]:
    """Yield the changes of a range from a revision on."""
    state = standin.state
    next_revision = start_revision or state.revision + 1
    standin.counts.open_watches += 1
    try:
        yield watch_line(state, {'created': True})
        while True:
            changed = state.changed
            if next_revision <= state.compacted:
                fields = {
                    'canceled': True,
                    'compact_revision': str(state.compacted + 1),
                }
                yield watch_line(state, fields)
                return
            events = matching(state, key, range_end, next_revision)
            next_revision = state.revision + 1
            if events:
                rows = [event_body(one) for one in events]
                yield watch_line(state, {'events': rows})
            await changed.wait()
    finally:
        standin.counts.open_watches -= 1


def matching(
    state: KvState,
    key: bytes,
    range_end: bytes,
    revision: int,
) -> list[KeyEvent]:
    """Return the changes of a range at or after a revision."""
    return [
        event
        for event in state.events_from(revision)
        if event.kv.key == key
        or (range_end and in_range(event.kv.key, key, range_end))
    ]


async def expire_leases(standin: KvStandin) -> None:
    """End leases at their time."""
    while True:
        await anyio.sleep(EXPIRY_POLL_S)
        standin.state.expire_leases(standin.faults.expire_early_s)


def make_app(standin: KvStandin) -> Starlette:
    """Return the HTTP app of a stand-in."""

    async def call(request: Request) -> Response:
        return await answer_call(standin, request)

    async def watch(request: Request) -> Response:
        return await answer_watch(standin, request)

    routes = [Route(path, call, methods=['POST']) for path in CALLS]
    routes.append(Route('/v3/watch', watch, methods=['POST']))
    routes.extend(control_routes(standin.faults, standin.counts.as_dict))
    return Starlette(routes=routes)


def make_standin(options: KvOptions) -> KvStandin:
    """Return a stand-in that is not yet served."""
    faults = KvFaults()
    return KvStandin(
        faults,
        KvCounts(),
        KvState(),
        Outage(lambda: faults.down),
        Chance(options.seed),
    )


async def run_kv(
    options: KvOptions,
    *,
    task_status: TaskStatus[KvStandin] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Run the stand-in until it is stopped or cancelled."""
    standin = make_standin(options)
    async with anyio.create_task_group() as group:
        group.start_soon(expire_leases, standin)
        await group.start(
            standin.outage.serve,
            make_app(standin),
            options.address,
        )
        task_status.started(standin)
        await standin.stopping.wait()
        await standin.outage.stopped.wait()
        group.cancel_scope.cancel()
