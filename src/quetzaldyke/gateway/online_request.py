"""State of an online request and what all requests share."""

from __future__ import annotations

import math

from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from typing import Protocol

from quetzaldyke.gateway.answer_ends import StreamEnds
from quetzaldyke.gateway.crashes import (
    CrashTracker,
    content_trait,
    prompt_traits,
)
from quetzaldyke.gateway.answer_meter import AnswerMeter
from quetzaldyke.gateway.dispatcher import Dispatcher
from quetzaldyke.gateway.event_stream import EventSplitter
from quetzaldyke.gateway.http_client import HttpClient
from quetzaldyke.gateway.model import Organisation, Route
from quetzaldyke.parts.crash_causes import Trait

Headers = list[tuple[bytes, bytes]]


class Caller(Protocol):
    """Receives the response to a request."""

    async def start(self, status: int, headers: Headers) -> None:
        """Send the status and headers of the response."""

    async def send(self, chunk: bytes) -> None:
        """Send a chunk of the body."""

    async def finish(self) -> None:
        """End the response body."""


@dataclass(slots=True)
class OnlineRequest:
    """A caller's request that is relayed to an endpoint."""

    request_id: bytes
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    route: Route
    service: str
    arrived_s: float
    deadline_s: float
    last_event: int | None
    # None where requests need no API key.
    organisation: Organisation | None = None
    # Ids of the parts of the prompt in order; requests share parts.
    prompt_parts: tuple[str, ...] = ()
    # The configuration by which its route was found, and as of when that was
    # confirmed.
    version: int = 0
    configuration_as_of_s: float = -math.inf
    # Cached, because hashing covers the whole body.
    cached_traits: tuple[Trait, ...] = ()

    @property
    def organisation_name(self) -> str:
        """Return the name of the organisation; empty if there is none."""
        return self.organisation.name if self.organisation else ''

    def traits(self) -> tuple[Trait, ...]:
        """Return what it can share with other requests that crash endpoints.

        A caller's retry shares the content; other requests may share parts of
        the prompt.
        """
        if not self.cached_traits:
            self.cached_traits = (
                content_trait(
                    self.service, self.method + self.target, self.body
                ),
                *prompt_traits(self.service, self.prompt_parts),
            )
        return self.cached_traits


@dataclass(slots=True)
class Progress:
    """Progress of a request over all its attempts."""

    splitter: EventSplitter = field(default_factory=EventSplitter)
    response_started: bool = False
    # Sends after which the endpoint may have run the request.
    attempts: int = 0
    sends: int = 0
    tried_endpoints: set[str] = field(default_factory=set)
    # Endpoints that have sent a part of the stream or stated its end.
    ran: set[str] = field(default_factory=set)
    last_failure: str = ''
    endpoint_id: str = ''
    first_event_at_s: float = 0.0
    # When a slot was last reserved for the request, and the number of requests
    # that the endpoint was then assumed to run.
    reserved_s: float = 0.0
    running: int = 0
    # Chunks with whole events received in the latest attempt.
    event_chunks: int = 0
    # What answers without length or chunks say of the last event.
    ends: StreamEnds = field(default_factory=StreamEnds)
    # Whether the stream may have ended there: an answer with events ended
    # cleanly, and no other one has brought more since.
    end_stated: bool = False
    # When the caller has taken the latest events.
    sent_at_s: float = 0.0
    # Measures the latest answer; None if its endpoint's speed is not learned.
    meter: AnswerMeter | None = None

    def begin_send(self, endpoint_id: str, reserved_s: float) -> None:
        """Record the endpoint that the request is sent to next."""
        self.sends += 1
        self.endpoint_id = endpoint_id
        self.reserved_s = reserved_s
        self.event_chunks = 0
        self.meter = None

    def note_events(self, now_s: float) -> None:
        """Record that a chunk with whole events has arrived."""
        self.event_chunks += 1
        self.ran.add(self.endpoint_id)
        self.end_stated = False
        self.first_event_at_s = self.first_event_at_s or now_s
        if self.meter is not None:
            self.meter.note_events(self.splitter.last_id or 0, now_s)

    def note_sent(self, now_s: float) -> None:
        """Record that the caller has taken the latest events."""
        self.sent_at_s = now_s
        if self.meter is not None:
            self.meter.note_sent(now_s)

    def note_served(self, now_s: float) -> None:
        """Record that the latest attempt has brought the whole answer."""
        if self.meter is not None:
            self.meter.finish(now_s)

    def note_end(self, endpoint_id: str, usable: Collection[str]) -> bool:
        """Record that an answer without length or chunks has ended.

        Returns whether that proves the end of the stream. The next attempt
        goes to another endpoint.
        """
        self.end_stated |= self.event_chunks > 0
        self.tried_endpoints.add(endpoint_id)
        self.ends.add(self.splitter.last_id or 0, endpoint_id)
        return self.ends.agree(usable)


@dataclass(frozen=True, slots=True)
class RelayContext:
    """Services that all requests of a process share."""

    dispatcher: Dispatcher
    client: HttpClient
    crashes: CrashTracker
    now: Callable[[], float]
    log_event: Callable[..., None]


@dataclass(frozen=True, slots=True)
class Outcome:
    """Status and reason of a finished request, for logs and metrics."""

    status: int
    reason: str
