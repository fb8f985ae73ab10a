"""One online request: what it asks for, and what has happened to it."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from quetzaldyke.gateway.crashes import CrashTracker
from quetzaldyke.gateway.dispatcher import Dispatcher
from quetzaldyke.gateway.event_stream import EventSplitter
from quetzaldyke.gateway.http_client import HttpClient
from quetzaldyke.gateway.model import Route

Headers = list[tuple[bytes, bytes]]


class Caller(Protocol):
    """The side that waits for the answer."""

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of the answer."""

    async def send(self, chunk: bytes) -> None:
        """Send a part of the body."""

    async def finish(self) -> None:
        """Mark the answer as complete."""


@dataclass(slots=True)
class OnlineRequest:
    """One attempt of a caller."""

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
    # Kept, as the whole body goes into it and every failure asks for it.
    cached_fingerprint: str = ''

    def fingerprint(self) -> str:
        """Return what a repeated request has in common with this one."""
        if self.cached_fingerprint:
            return self.cached_fingerprint
        digest = hashlib.blake2b(self.body, digest_size=8)
        digest.update(self.method + self.target)
        self.cached_fingerprint = digest.hexdigest()
        return self.cached_fingerprint


@dataclass(slots=True)
class Progress:
    """What has happened to a request so far."""

    splitter: EventSplitter = field(default_factory=EventSplitter)
    response_started: bool = False
    # Sends that an endpoint may have run.
    attempts: int = 0
    sends: int = 0
    tried_endpoints: set[str] = field(default_factory=set)
    last_failure: str = ''
    endpoint_id: str = ''
    first_event_at_s: float = 0.0
    # When the latest place was taken, and how many requests its endpoint
    # was believed to run.
    placed_s: float = 0.0
    running: int = 0
    # Chunks with events of the latest run.
    event_chunks: int = 0

    def begin_send(self, endpoint_id: str, placed_s: float) -> None:
        """Note the endpoint of the next send."""
        self.sends += 1
        self.endpoint_id = endpoint_id
        self.placed_s = placed_s
        self.event_chunks = 0

    def note_events(self, now_s: float) -> None:
        """Note that events have come."""
        self.event_chunks += 1
        self.first_event_at_s = self.first_event_at_s or now_s


@dataclass(frozen=True, slots=True)
class RelayContext:
    """What all requests of a process share."""

    dispatcher: Dispatcher
    client: HttpClient
    crashes: CrashTracker
    now: Callable[[], float]
    log_event: Callable[..., None]


@dataclass(frozen=True, slots=True)
class Outcome:
    """How a request ended, for logs and metrics."""

    status: int
    reason: str
