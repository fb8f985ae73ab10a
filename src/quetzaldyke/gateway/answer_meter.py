"""Measures the durations of one answer for the speed of its endpoint.

Thousands of events arrive a second: an event costs a comparison, and durations
are computed once for a window of events.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Final

from result import Err

from quetzaldyke.gateway.dispatcher import Dispatcher
from quetzaldyke.gateway.endpoint_speeds import EndpointSpeeds, Kind
from quetzaldyke.gateway.exchange import ResponseHead
from quetzaldyke.gateway.reservation import Reservation
from quetzaldyke.platform.load_statements import decode_load

STATUS_MISDIRECTED: Final = 421
FIRST_ERROR_STATUS: Final = 400
# Events of this time make one duration; some eight where pauses are short.
WINDOW_S: Final = 0.15
# A send to the caller that takes longer shows that the caller reads slowly.
SLOW_SEND_S: Final = 0.01


@dataclass(slots=True)
class AnswerMeter:
    """Measures one answer of an endpoint."""

    speeds: EndpointSpeeds
    reservation: Reservation
    # Last event of the window before this one, and when that came.
    event: int = 0
    since_s: float = 0.0
    # The next event from then on ends the window.
    until_s: float = 0.0
    latest_s: float = 0.0

    @property
    def timed(self) -> bool:
        """Return whether the time since the reservation is the endpoint's.

        It is not while a request waits there for a slot; an item's input is
        read after the reservation.
        """
        return self.reservation.online and not self.reservation.queued

    def note_events(self, last_event: int, now_s: float) -> None:
        """Record that the events up to `last_event` have just arrived."""
        self.latest_s = now_s
        if now_s >= self.until_s:
            self.end_window(last_event, now_s)

    def end_window(self, last_event: int, now_s: float) -> None:
        """Record the durations of a window, and begin the next one."""
        endpoint = self.reservation.endpoint
        if not self.since_s:
            if self.timed:
                waited_s = now_s - self.reservation.reserved_s
                self.speeds.record(endpoint, 'first', waited_s)
        elif last_event > self.event:
            pause_s = (now_s - self.since_s) / (last_event - self.event)
            self.speeds.record(endpoint, 'pause', pause_s)
        self.event = last_event
        self.since_s = now_s
        self.until_s = now_s + WINDOW_S

    def note_sent(self, now_s: float) -> None:
        """Record that the caller has taken the latest events.

        One that reads slowly hides when further events come, so the answer
        tells nothing more.
        """
        if now_s - self.latest_s > SLOW_SEND_S:
            self.until_s = math.inf

    def finish(self, now_s: float) -> None:
        """Record a whole answer."""
        if self.timed and self.until_s < math.inf:
            kind: Kind = 'stream' if self.since_s else 'whole'
            held_s = now_s - self.reservation.reserved_s
            self.speeds.record(self.reservation.endpoint, kind, held_s)


def note_head(
    dispatcher: Dispatcher, reservation: Reservation, head: ResponseHead
) -> AnswerMeter | None:
    """Apply what the head of an answer states of its endpoint.

    Returns what measures the rest of the answer, None if it is not measured.
    """
    endpoint = reservation.endpoint
    dispatcher.drains.note_head(endpoint, head)
    speeds = dispatcher.policy.speeds
    if speeds is None or head.status == STATUS_MISDIRECTED:
        return None
    stated = decode_load(head.headers)
    if isinstance(stated, Err):
        speeds.note_unreadable(endpoint, stated.err_value)
    elif stated.ok_value is not None:
        speeds.of(endpoint).note_statement(stated.ok_value, speeds.now())
    if head.status >= FIRST_ERROR_STATUS:
        return None
    return AnswerMeter(speeds, reservation)
