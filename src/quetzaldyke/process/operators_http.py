"""Operators' HTTP routes: health, metrics, configuration, fleet and events.

Health checks need no key, since the platform's load balancer makes them.
All other paths need the operators' bearer key; callers have other keys.
"""

from __future__ import annotations

import hmac
import math
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

STATUS_BY_ERROR_KIND: Final[dict[PatchErrorKind, int]] = {
    'stale': CONFLICT,
    'too_old': CONFLICT,
    'reused': UNPROCESSABLE,
    'invalid': UNPROCESSABLE,
    'too_large': TOO_LARGE,
    'unavailable': UNAVAILABLE,
    'unknown': UNAVAILABLE,
}
# The `accepted` field of a failed patch; 'no' for all other kinds. The value
# for `unavailable` leaves open whether an earlier submission of the same
# patch was accepted, since the history could not be read.
ACCEPTED_BY_ERROR_KIND: Final[dict[PatchErrorKind, str]] = {
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
    """Configuration versions that the processes of the fleet report."""

    def reported_version(self, instance: str) -> int | None:
        """Return a process's last reported version; None if it has none."""

    async def wait_for_rollout(
        self,
        version: int,
        timeout_s: float,
    ) -> list[str]:
        """Wait; return the live processes without the version at the end."""


@dataclass(slots=True)
class OperatorsContext:
    """Dependencies of the operators' routes."""

    operator_key: str
    holder: ConfigHolder
    store: KeyValueStore
    fleet: Fleet
    metrics: Metrics
    versions: FleetVersions
    log_event: LogEvent
    # Returns why the process is not ready; empty if it is ready.
    unready_reason: Callable[[], str]
    gather_events: Callable[[str, int], Awaitable[list[Event]]]
    explain: Callable[[str], Awaitable[str]]
    # Called with each head that a route reads, to apply it at once.
    on_head: Callable[[Head], None] = field(default=lambda head: None)


RouteHandler = Callable[[OperatorsContext, Request], Awaitable[Response]]


def make_operators_app(context: OperatorsContext) -> Starlette:
    """Return the operators' application with its key check."""

    def operator_route(
        path: str, handler: RouteHandler, method: str = 'GET'
    ) -> Route:
        async def check_key_and_handle(request: Request) -> Response:
            if not has_key(request, context.operator_key):
                return error_response(UNAUTHORIZED, 'unauthorized', 'wrong key')
            return await handler(context, request)

        return Route(path, check_key_and_handle, methods=[method])

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
            operator_route('/metrics', get_metrics),
            operator_route('/config', get_config),
            operator_route('/config/patches', post_patch, 'POST'),
            operator_route('/config/wait', get_wait),
            operator_route('/config/history', get_history),
            operator_route('/fleet', get_fleet),
            operator_route('/events', get_events),
            operator_route('/explain/{subject}', get_explanation),
        ],
    )


def has_key(request: Request, key: str) -> bool:
    """Tell whether the request has the operators' bearer key."""
    given = request.headers.get('authorization', '')
    return hmac.compare_digest(given.encode(), f'Bearer {key}'.encode())


def error_response(
    status: int,
    code: str,
    message: str,
    **more: object,
) -> JSONResponse:
    """Return a JSON error response; `more` adds fields to it."""
    content = {'code': code, 'message': message, **more}
    return JSONResponse({'error': content}, status)


def number_parameter(
    request: Request, name: str, default: float
) -> float | None:
    """Return a query parameter as a number; None if it is not finite."""
    try:
        number = float(request.query_params.get(name, default))
    except ValueError:
        return None
    return number if math.isfinite(number) else None


async def get_metrics(context: OperatorsContext, request: Request) -> Response:
    """Return all metrics in the text exposition format."""
    return PlainTextResponse(context.metrics.render())


async def get_config(context: OperatorsContext, request: Request) -> Response:
    """Return the configuration that this process has applied."""
    holder = context.holder
    return JSONResponse(
        {
            'version': holder.version,
            'document': holder.current.model_dump(mode='json'),
        },
    )


async def post_patch(context: OperatorsContext, request: Request) -> Response:
    """Submit a patch; return its version or why it is not accepted.

    An error also says whether the patch may have been accepted anyway.
    """
    try:
        body = PatchBody.model_validate_json(await request.body())
    except ModelError as exc:
        findings = exc.errors(include_input=False, include_url=False)
        messages = [f'{item["loc"]}: {item["msg"]}' for item in findings]
        return error_response(BAD_REQUEST, 'malformed', '; '.join(messages))
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
        return patch_error_response(failure)
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
    """Log the outcome of a patch."""
    result = 'accepted' if outcome.is_ok() else outcome.unwrap_err().kind
    accepted = outcome.ok()
    context.log_event(
        'config_patch',
        patch_id=body.patch_id,
        base_version=body.base_version,
        outcome=result,
        version=accepted.version if accepted else '',
    )


def patch_error_response(failure: PatchError) -> JSONResponse:
    """Return the error response of a patch not known to be accepted."""
    more: dict[str, object] = {
        'accepted': ACCEPTED_BY_ERROR_KIND.get(failure.kind, 'no'),
    }
    if failure.head is not None:
        more['version'] = failure.head.version
    if failure.findings is not None:
        more['findings'] = [str(one) for one in failure.findings.findings]
    return error_response(
        STATUS_BY_ERROR_KIND[failure.kind],
        failure.kind,
        failure.detail,
        **more,
    )


async def get_wait(context: OperatorsContext, request: Request) -> Response:
    """Wait until every live process has a version or the time is over."""
    version = number_parameter(request, 'version', context.holder.version)
    timeout_s = number_parameter(request, 'timeout_s', DEFAULT_WAIT_S)
    if version is None or timeout_s is None:
        return error_response(
            BAD_REQUEST, 'malformed', 'version must be a number'
        )
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
    """Return the latest patches from the store, oldest first."""
    answer = await read_head(context.store)
    if answer.is_err():
        failure = answer.unwrap_err()
        return error_response(UNAVAILABLE, failure.kind, failure.detail)
    head = answer.unwrap()
    context.on_head(head)
    return JSONResponse(
        {
            'version': head.version,
            'patches': [patch_row(one) for one in head.patches],
        },
    )


def patch_row(patch: AppliedPatch) -> dict[str, object]:
    """Return the JSON form of a patch."""
    return {
        'version': patch.version,
        'patch_id': patch.patch_id,
        'accepted_ms': patch.accepted_ms,
        'patch': patch.operations,
        'operations_kept': bool(patch.packed_operations),
    }


async def get_fleet(context: OperatorsContext, request: Request) -> Response:
    """Return every listed process and its last report."""
    fleet = context.fleet
    listed = {fleet.own.instance: fleet.own, **fleet.instances}
    rows = [instance_row(context, listed[name]) for name in sorted(listed)]
    return JSONResponse({'instances': rows})


def instance_row(
    context: OperatorsContext,
    instance: Instance,
) -> dict[str, object]:
    """Return the JSON form of a process."""
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
    """Tell whether the process is this one or has an open session to it."""
    return name == fleet.own.instance or any(
        name in sessions for sessions in (fleet.links, fleet.entries)
    )


def report_row(report: Report) -> dict[str, object]:
    """Return the JSON form of a sidecar's report."""
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
    """Return the fleet's latest events that match, in stamp order."""
    limit = number_parameter(request, 'limit', DEFAULT_EVENTS)
    if limit is None:
        return error_response(
            BAD_REQUEST, 'malformed', 'limit must be a number'
        )
    events = await context.gather_events(
        request.query_params.get('contains', ''),
        min(max(int(limit), 1), MAX_EVENTS),
    )
    return JSONResponse({'events': [one.as_row() for one in events]})


async def get_explanation(
    context: OperatorsContext,
    request: Request,
) -> Response:
    """Return the history of a request, item, job or patch as sentences."""
    text = await context.explain(request.path_params['subject'])
    return PlainTextResponse(text)
