"""What a request gets from the dispatcher: capacity, or a refusal."""

from __future__ import annotations

from dataclasses import dataclass

from quetzaldyke.gateway.model import Endpoint


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request was refused, and when the caller should retry."""

    reason: str
    retry_after_s: float
    # Inputs of the decision, for the log: the expected wait for a slot, the
    # requests queued here and at the other entries, and the slots of the
    # service.
    expected_wait_s: float = 0.0
    waiting: int = 0
    waiting_elsewhere: int = 0
    slots: int = 0


@dataclass(slots=True)
class Reservation:
    """Capacity that one request or batch run occupies on an endpoint."""

    endpoint: Endpoint
    online: bool
    reserved_s: float
    # Whether the endpoint had no free slot at the time of the reservation, so
    # that the request waits in the endpoint's own queue.
    queued: bool
    # Whether the endpoint has a limit and the request has a permit.
    permitted: bool = False
    released: bool = False
    # Name of the request's organisation; empty if there is none, or for batch
    # items.
    flow: str = ''
