"""Decides whether a request may be sent on an idle connection.

Failure pattern: an endpoint's machine loses power or is cut off, and its idle
connections stay open. A request that is sent on one is lost, and may not be
repeated unless it is idempotent. A new connection shows the loss at no cost.
"""

from __future__ import annotations

import math
from typing import Final

from quetzaldyke.gateway.model import Endpoint, Route
from quetzaldyke.gateway.online_request import RelayContext

# The peer may have dropped an idle connection without notice. A request that
# is not idempotent therefore reuses only a connection idle for less than this.
NON_IDEMPOTENT_MAX_IDLE_S: Final = 0.5
IDEMPOTENT_MAX_IDLE_S: Final = 4.0


def max_idle_s(
    context: RelayContext, route: Route, endpoint: Endpoint
) -> float:
    """Return for how long a connection that is reused may have been idle.

    The keep-alive time of the connection is a limit besides. Bytes of the
    endpoint on any connection show that its machine lives, and it would then
    have reset a connection that it closed. Entries that keep to few endpoints
    see such bytes often.
    """
    alive_s = context.now() - NON_IDEMPOTENT_MAX_IDLE_S
    endpoints = context.dispatcher.endpoints
    alive = endpoints.sent_since(endpoint.endpoint_id, alive_s)
    if alive and context.dispatcher.policy.preference is not None:
        return math.inf
    if route.idempotent:
        return IDEMPOTENT_MAX_IDLE_S
    return NON_IDEMPOTENT_MAX_IDLE_S
