"""Logs and counts how an online request ended."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from quetzaldyke.gateway.online_request import OnlineRequest, Progress
from quetzaldyke.gateway.watch import age_ms
from quetzaldyke.process.metrics import Metrics

MS_IN_S: Final = 1000


@dataclass(frozen=True, slots=True)
class FinalOutcome:
    """How a request ended for its caller, and after which time."""

    # The status, or what happened in place of a whole response.
    status: str
    reason: str
    elapsed_s: float


def record_outcome(
    metrics: Metrics,
    log_event: Callable[..., None],
    online: OnlineRequest,
    outcome: FinalOutcome,
    progress: Progress,
) -> None:
    """Log the outcome of a request and update its metrics."""
    elapsed_ms = outcome.elapsed_s * MS_IN_S
    kind = online.route.kind
    metrics.count('requests_total', kind=kind, status=outcome.status)
    metrics.observe_ms('request_ms', elapsed_ms, kind=kind)
    log_event(
        'request_served' if outcome.reason == 'served' else 'request_failed',
        request=online.request_id.decode('latin-1'),
        route=online.route.name,
        organisation=online.organisation_name,
        kind=kind,
        status=outcome.status,
        reason=outcome.reason,
        elapsed_ms=int(elapsed_ms),
        placed_ms=span_ms(online.arrived_s, progress.reserved_s),
        first_ms=span_ms(online.arrived_s, progress.first_event_at_s),
        deadline_ms=span_ms(online.arrived_s, online.deadline_s),
        endpoint=progress.endpoint_id,
        running=progress.running,
        sends=progress.sends,
        attempts=progress.attempts,
        last_event=progress.splitter.last_id,
        parts=','.join(online.prompt_parts),
        config=online.version,
        config_ms=age_ms(online.configuration_as_of_s, online.arrived_s),
    )


def span_ms(start_s: float, end_s: float) -> int | str:
    """Return a time span in ms, or an empty string if it has no end."""
    return int((end_s - start_s) * MS_IN_S) if end_s else ''
