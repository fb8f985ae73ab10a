"""Builds the request to relay from what a caller has sent."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from quetzaldyke.gateway.authentication import Identity
from quetzaldyke.gateway.model import Route
from quetzaldyke.gateway.online_request import OnlineRequest
from quetzaldyke.gateway.received_request import ReceivedRequest
from quetzaldyke.platform import names
from quetzaldyke.platform.prompts import decode_prompt_parts

MS_IN_S: Final = 1000

# Returns the service of a route that a request goes to.
ServiceChoice = Callable[[Route], str]


def online_request_of(
    request: ReceivedRequest,
    route: Route,
    identity: Identity,
    arrived_s: float,
    choose_service: ServiceChoice,
) -> OnlineRequest | None:
    """Return the request to relay, or None unless it has one attempt id.

    A deadline header can shorten the route's timeout.
    """
    request_id = request.sole_header(names.ATTEMPT_ID)
    if not request_id:
        return None
    requested_ms = request.number(names.DEADLINE)
    timeout_s = route.timeout_s
    if requested_ms is not None:
        timeout_s = min(timeout_s, requested_ms / MS_IN_S)
    return OnlineRequest(
        request_id=request_id,
        method=request.method,
        target=request.target,
        headers=identity.apply_to(request.headers),
        body=request.body,
        route=route,
        organisation=identity.organisation,
        service=choose_service(route),
        arrived_s=arrived_s,
        deadline_s=arrived_s + timeout_s,
        last_event=request.number(names.LAST_EVENT),
        prompt_parts=decode_prompt_parts(request.header(names.PROMPT_PARTS)),
    )
