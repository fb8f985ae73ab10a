"""Decides whether a failed request may be retried.

Endpoints crash, refuse requests or lose responses, and it is then unknown
whether the request ran. The kind of the route decides what may be retried: a
request that is not idempotent is retried only if every endpoint that received
it reported that it did not run.
"""

from __future__ import annotations

from typing import Final

from quetzaldyke.gateway.exchange import ResponseHead
from quetzaldyke.gateway.online_request import (
    OnlineRequest,
    Progress,
    RelayContext,
)
from quetzaldyke.gateway.stalls import answer_deadline_s
from quetzaldyke.platform import names

# Limits all sends of a request. Those that were certainly not run don't count
# as attempts but still cost the caller time.
MAX_SENDS: Final = 5
# The endpoint is not the one that the request names.
STATUS_MISDIRECTED: Final = 421
STATUS_BAD_GATEWAY: Final = 502
STATUS_UNAVAILABLE: Final = 503
STATUS_TIMEOUT: Final = 504
# These tell a caller that its request did not run and will not; only an answer
# with the header of that meaning proves it of an endpoint.
PROMISING_STATUSES: Final = frozenset((408, 429, STATUS_UNAVAILABLE))


def is_not_run(head: ResponseHead) -> bool:
    """Tell whether a response states that the request was not run."""
    refused = head.get(names.NOT_RUN) is not None
    return refused or head.status == STATUS_MISDIRECTED


def final_failure(
    context: RelayContext,
    request: OnlineRequest,
    progress: Progress,
) -> tuple[int, str] | None:
    """Return the final status and reason, or None if a retry is allowed."""
    route = request.route
    if context.now() >= answer_deadline_s(request, progress):
        return STATUS_TIMEOUT, 'deadline'
    if progress.attempts and not route.idempotent:
        return STATUS_BAD_GATEWAY, progress.last_failure
    # Endpoints that it was sent to may be asked again whether it has ended.
    if progress.attempts >= route.max_attempts and not progress.end_stated:
        return STATUS_BAD_GATEWAY, progress.last_failure
    if progress.sends >= MAX_SENDS:
        status = STATUS_BAD_GATEWAY if progress.attempts else STATUS_UNAVAILABLE
        return status, progress.last_failure
    if context.crashes.is_quarantined(request.traits()):
        return STATUS_BAD_GATEWAY, 'crashes_endpoints'
    return None
