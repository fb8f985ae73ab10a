"""Whether a request that failed may be sent again.

Failure pattern: endpoints that crash, refuse or lose answers while their
requests may or may not have run. What may be repeated follows from the
route's kind; a request that may run once is sent again only when every
endpoint that got it said that it did not run it.
"""

from __future__ import annotations

from typing import Final

from quetzaldyke.gateway.exchange import ResponseHead
from quetzaldyke.gateway.online_request import (
    OnlineRequest,
    Progress,
    RelayContext,
)
from quetzaldyke.platform import names

# Sends that were certainly not run are not counted as attempts; this bounds
# them, because each costs the caller time.
MAX_SENDS: Final = 5
# Another endpoint than the one named in the request.
STATUS_MISDIRECTED: Final = 421
STATUS_BAD_GATEWAY: Final = 502
STATUS_UNAVAILABLE: Final = 503
STATUS_TIMEOUT: Final = 504


def is_not_run(head: ResponseHead) -> bool:
    """Tell whether an answer says that the endpoint did not run a request."""
    refused = head.get(names.NOT_RUN) is not None
    return refused or head.status == STATUS_MISDIRECTED


def final_failure(
    context: RelayContext,
    request: OnlineRequest,
    progress: Progress,
) -> tuple[int, str] | None:
    """Return the final status if a request must not be sent again."""
    route = request.route
    if context.now() >= request.deadline_s:
        return STATUS_TIMEOUT, 'deadline'
    if progress.attempts and not route.idempotent:
        return STATUS_BAD_GATEWAY, progress.last_failure
    if progress.attempts >= route.max_attempts:
        return STATUS_BAD_GATEWAY, progress.last_failure
    if progress.sends >= MAX_SENDS:
        status = STATUS_BAD_GATEWAY if progress.attempts else STATUS_UNAVAILABLE
        return status, progress.last_failure
    if context.crashes.is_suspect(request.fingerprint()):
        return STATUS_BAD_GATEWAY, 'crashes_endpoints'
    return None
