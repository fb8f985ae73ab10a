"""Operators' HTTP interface of an entry.

Health checks need no key, since the platform's balancer makes them. All
other paths need the operators' bearer key, which is separate from callers'.
"""

from __future__ import annotations

import hmac
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, Final, Protocol

from pydantic import BaseModel, ConfigDict, Field
from pydantic import ValidationError as ModelError
from result import Err, Result
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, PlainTextResponse, Response
from starlette.routing import Route

from quetzaldyke.connection.messages import Report
from quetzaldyke.parts.kv import KeyValueStore
from quetzaldyke.parts.timeline import Event
from quetzaldyke.process.fleet import Fleet, Instance
from quetzaldyke.process.logs import LogEvent
from quetzaldyke.process.metrics import Metrics
from quetzaldyke.version.holder import ConfigHolder
from quetzaldyke.version.store import (
    Accepted,
    AppliedPatch,
    Head,
    PatchError,
    PatchErrorKind,
    read_head,
    submit_patch,
)

ID_PATTERN: Final = '^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$'
DEFAULT_WAIT_S: Final = 30.0
MAX_WAIT_S: Final = 300.0
DEFAULT_EVENTS: Final = 200
MAX_EVENTS: Final = 2000

OK: Final = 200
BAD_REQUEST: Final = 400
UNAUTHORIZED: Final = 401
CONFLICT: Final = 409
TOO_LARGE: Final = 413
UNPROCESSABLE: Final = 422
UNAVAILABLE: Final = 503

STATUS_OF: Final[dict[PatchErrorKind, int]] = {
    'stale': CONFLICT,
    'too_old': CONFLICT,
    'reused': UNPROCESSABLE,
    'invalid': UNPROCESSABLE,
    'too_large': TOO_LARGE,
    'unavailable': UNAVAILABLE,
    'unknown': UNAVAILABLE,
}
# What a refusal says of the patch. `unavailable` says nothing about earlier
# sends of the same patch, since the history could not be read.
ACCEPTED_BY: Final[dict[PatchErrorKind, str]] = {
    'unknown': 'unknown',
    'too_old': 'unknown',
    'unavailable': 'not by this request',
}


class PatchBody(BaseModel):
    """Body of POST /config/patches."""

    model_config = ConfigDict(extra='forbid')

    base_version: int = Field(ge=0)
    patch_id: str = Field(pattern=ID_PATTERN)
    patch: list[dict[str, Any]]


class FleetVersions(Protocol):
    """What the interface asks of the spread of versions."""

    def reported_version(self, instance: str) -> int | None:
        """Return the version that a process last reported."""

    async def wait_for_rollout(
        self,
        version: int,
        timeout_s: float,
    ) -> list[str]:
        """Return the live processes that lack a version at the time-out."""


@dataclass(slots=True)
class OperatorsContext:
    """What the interface needs of its process."""

    operator_key: str
    holder: ConfigHolder
    store: KeyValueStore
    fleet: Fleet
    metrics: Metrics
    versions: FleetVersions
    log_event: LogEvent
    # Reason why the process is not ready; empty when it is.
    unready_reason: Callable[[], str]
    gather_events: Callable[[str, int], Awaitable[list[Event]]]
    explain: Callable[[str], Awaitable[str]]
    # Called with a value read on the way, so that it is in force at once.
    on_head: Callable[[Head], None] = field(default=lambda head: None)


Endpoint = Callable[[OperatorsContext, Request], Awaitable[Response]]


def make_operators_app(context: OperatorsContext) -> Starlette:
    """Return the application."""

    def route(path: str, endpoint: Endpoint, method: str = 'GET') -> Route:
        async def guarded(request: Request) -> Response:
            if not has_key(request, context.operator_key):
                return error(UNAUTHORIZED, 'unauthorized', 'wrong key')
            return await endpoint(context, request)

        return Route(path, guarded, methods=[method])

    async def healthz(request: Request) -> Response:
        return PlainTextResponse('ok\n')

    async def readyz(request: Request) -> Response:
        reason = context.unready_reason()
        status = UNAVAILABLE if reason else OK
        return PlainTextResponse(f'{reason or "ok"}\n', status)

    return Starlette(
        routes=[
            Route('/healthz', healthz),
            Route('/readyz', readyz),
            route('/metrics', get_metrics),
            route('/config', get_config),
            route('/config/patches', post_patch, 'POST'),
            route('/config/wait', get_wait),
            route('/config/history', get_history),
            route('/fleet', get_fleet),
            route('/events', get_events),
            route('/explain/{subject}', get_explanation),
        ],
    )


def has_key(request: Request, key: str) -> bool:
    """Tell whether the request carries the operators' key."""
    given = request.headers.get('authorization', '')
    return hmac.compare_digest(given.encode(), f'Bearer {key}'.encode())


def error(
    status: int,
    code: str,
    message: str,
    **more: object,
) -> JSONResponse:
    """Return an error response."""
    told = {'code': code, 'message': message, **more}
    return JSONResponse({'error': told}, status)


def number_of(request: Request, name: str, default: float) -> float | None:
    """Return a number of the query; None when it is not one."""
    try:
        return float(request.query_params.get(name, default))
    except ValueError:
        return None


async def get_metrics(context: OperatorsContext, request: Request) -> Response:
    """Answer with all metrics."""
    return PlainTextResponse(context.metrics.render())


async def get_config(context: OperatorsContext, request: Request) -> Response:
    """Answer with the configuration in force in this process."""
    holder = context.holder
    return JSONResponse(
        {
            'version': holder.version,
            'document': holder.current.model_dump(mode='json'),
        },
    )


async def post_patch(context: OperatorsContext, request: Request) -> Response:
    """Accept a patch, or say why not and whether it may be in force."""
    try:
        body = PatchBody.model_validate_json(await request.body())
    except ModelError as exc:
        findings = exc.errors(include_input=False, include_url=False)
        messages = [f'{one["loc"]}: {one["msg"]}' for one in findings]
        return error(BAD_REQUEST, 'malformed', '; '.join(messages))
    outcome = await submit_patch(
        context.store,
        body.base_version,
        body.patch_id,
        body.patch,
        decoded=(context.holder.version, context.holder.current),
    )
    log_patch(context, body, outcome)
    if isinstance(outcome, Err):
        failure = outcome.err_value
        if failure.head is not None:
            context.on_head(failure.head)
        return patch_refusal(failure)
    accepted = outcome.ok_value
    context.on_head(accepted.head)
    return JSONResponse(
        {'version': accepted.version, 'repeated': accepted.repeated},
    )


def log_patch(
    context: OperatorsContext,
    body: PatchBody,
    outcome: Result[Accepted, PatchError],
) -> None:
    """Log what became of a patch."""
    told = 'accepted' if outcome.is_ok() else outcome.unwrap_err().kind
    accepted = outcome.ok()
    context.log_event(
        'config_patch',
        patch_id=body.patch_id,
        base_version=body.base_version,
        outcome=told,
        version=accepted.version if accepted else '',
    )


def patch_refusal(failure: PatchError) -> JSONResponse:
    """Return the response for a patch that is not known to be accepted."""
    more: dict[str, object] = {
        'accepted': ACCEPTED_BY.get(failure.kind, 'no'),
    }
    if failure.head is not None:
        more['version'] = failure.head.version
    if failure.findings is not None:
        more['findings'] = [str(one) for one in failure.findings.findings]
    return error(
        STATUS_OF[failure.kind],
        failure.kind,
        failure.detail,
        **more,
    )


async def get_wait(context: OperatorsContext, request: Request) -> Response:
    """Answer once every live process has a version, or at the time-out."""
    version = number_of(request, 'version', context.holder.version)
    timeout_s = number_of(request, 'timeout_s', DEFAULT_WAIT_S)
    if version is None or timeout_s is None:
        return error(BAD_REQUEST, 'malformed', 'version must be a number')
    behind = await context.versions.wait_for_rollout(
        int(version),
        min(max(timeout_s, 0), MAX_WAIT_S),
    )
    return JSONResponse(
        {
            'version': int(version),
            'everywhere': not behind,
            'behind': sorted(behind),
        },
    )


async def get_history(context: OperatorsContext, request: Request) -> Response:
    """Answer with the latest patches, oldest first."""
    answer = await read_head(context.store)
    if answer.is_err():
        failure = answer.unwrap_err()
        return error(UNAVAILABLE, failure.kind, failure.detail)
    head = answer.unwrap()
    context.on_head(head)
    return JSONResponse(
        {
            'version': head.version,
            'patches': [patch_row(one) for one in head.patches],
        },
    )


def patch_row(patch: AppliedPatch) -> dict[str, object]:
    """Return the shown form of a patch."""
    return {
        'version': patch.version,
        'patch_id': patch.patch_id,
        'accepted_ms': patch.accepted_ms,
        'patch': patch.operations,
        'operations_kept': bool(patch.packed_operations),
    }


async def get_fleet(context: OperatorsContext, request: Request) -> Response:
    """Answer with every listed process and what it last reported."""
    fleet = context.fleet
    listed = {fleet.own.instance: fleet.own, **fleet.instances}
    rows = [instance_row(context, listed[name]) for name in sorted(listed)]
    return JSONResponse({'instances': rows})


def instance_row(
    context: OperatorsContext,
    instance: Instance,
) -> dict[str, object]:
    """Return the shown form of one process."""
    link = context.fleet.links.get(instance.instance)
    row: dict[str, object] = {
        'instance': instance.instance,
        'role': instance.role,
        'failure_domain': instance.failure_domain,
        'pool': instance.pool,
        'listed_leaving': instance.leaving,
        'config_version': context.versions.reported_version(instance.instance),
        'connected': is_connected(context.fleet, instance.instance),
    }
    if link is not None and link.report is not None:
        row['leaving'] = link.leaving
        row['report'] = report_row(link.report)
    return row


def is_connected(fleet: Fleet, name: str) -> bool:
    """Tell whether a session to the process is open."""
    return name == fleet.own.instance or any(
        name in known for known in (fleet.links, fleet.entries)
    )


def report_row(report: Report) -> dict[str, object]:
    """Return the shown form of a sidecar's report."""
    return {
        'endpoint_up': report.endpoint_up,
        'model': report.model,
        'version': report.version,
        'adapter': report.adapter,
        'limit': report.limit,
        'online_running': report.online_running,
        'online_queued': report.online_queued,
        'batch_running': report.batch_running,
        'ttft_ms': report.ttft_ms,
        'tbt_ms': report.tbt_ms,
        'fencing_token': report.fencing_token,
    }


async def get_events(context: OperatorsContext, request: Request) -> Response:
    """Answer with the fleet's latest events in stamp order."""
    limit = number_of(request, 'limit', DEFAULT_EVENTS)
    if limit is None:
        return error(BAD_REQUEST, 'malformed', 'limit must be a number')
    events = await context.gather_events(
        request.query_params.get('contains', ''),
        min(max(int(limit), 1), MAX_EVENTS),
    )
    return JSONResponse({'events': [one.as_row() for one in events]})


async def get_explanation(
    context: OperatorsContext,
    request: Request,
) -> Response:
    """Answer with one request's or item's history as sentences."""
    text = await context.explain(request.path_params['subject'])
    return PlainTextResponse(text)
