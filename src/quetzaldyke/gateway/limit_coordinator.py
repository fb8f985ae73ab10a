"""Coordinates the limits of some endpoints for all entries.

Load pattern: an endpoint takes few requests a second from all entries
together. One entry, chosen by rendezvous hashing over the members that are
heard, keeps the endpoint's permits (`parts/shared_rate.py`); it notifies the
others of the limit and decides when it has ended.

Responses are the only sign of an end. A limit that nobody asks permits for,
because other endpoints have room, is tried by one entry with requests now and
then. Responses without a limit must come several times in a row
(`parts/end_detector.py`), and each lets one more request go, so that the end is
known soon even at a low limit.
"""

from __future__ import annotations

import itertools
import math
import random
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Final

from quetzaldyke.gateway.endpoint_limits import (
    EndpointLimits,
    KnownLimit,
    LimitAnswer,
)
from quetzaldyke.gateway.limit_messages import (
    LimitAnswers,
    LimitMessage,
    LimitUpdate,
    PermitAsk,
    PermitAsks,
    PermitGrant,
    PermitOffer,
    PermitReturn,
)
from quetzaldyke.parts.coordinators import CoordinatorChoice
from quetzaldyke.parts.end_detector import EndDetector
from quetzaldyke.parts.shared_rate import Ask, Grant, PermitBucket

# Most doublings of the rate while answers without the limit suggest its end.
MAX_DOUBLINGS: Final = 4
# Pause between two series of such answers whose first one lets a request go at
# once.
FIRST_TOKEN_PAUSE_S: Final = 4.0
# A lower limit is taken as this one, in requests/s: nothing but a request
# shows that it has ended.
MIN_RATE: Final = 0.25
# A limited endpoint is tried after this time without a response or permit.
TRIAL_AFTER_S: Final = 1.0
# The same while responses have ceased to name the limit.
NEXT_TRIAL_AFTER_S: Final = 0.1
# Pause between two trials, of which the first may not have found a request.
TRIAL_PAUSE_S: Final = 1.5
# Pause between two updates of all coordinated limits, at least and for each
# peer, so that the traffic of one entry stays bounded.
MIN_UPDATE_PAUSE_S: Final = 0.3
UPDATE_PAUSE_PER_PEER_S: Final = 0.005
# A limit is dropped after so many updates without it. A time would also pass
# while this entry is suspended and hears nothing.
MAX_MISSED_UPDATES: Final = 6
# For how long an ended limit is kept, to notify entries that still ask.
ENDED_MEMORY_S: Final = 5.0


@dataclass(slots=True)
class CoordinatedLimit:
    """What the coordinator keeps of one endpoint's limit."""

    bucket: PermitBucket
    # When the endpoint last responded to any entry, and when it last named
    # the limit.
    answered_s: float
    named_s: float
    # Whether the other entries were notified of the limit when it was new.
    announced: bool = False
    first_token_s: float = -math.inf
    offered_s: float = -math.inf


@dataclass(slots=True)
class LimitCoordinator:
    """The limits that this entry coordinates, by lifetime of the endpoint."""

    own_id: str
    limits: EndpointLimits
    now: Callable[[], float]
    generator: random.Random
    # Returns the entries that have requests under way, this one included.
    busy_entries: Callable[[], list[str]] = list
    # Sends a message to an entry, which may be this one.
    send: Callable[[str, LimitMessage], None] = lambda receiver, message: None
    # Serial numbers of messages that must not be applied twice.
    serials: Iterator[int] = field(default_factory=itertools.count)
    choice: CoordinatorChoice = field(default_factory=CoordinatorChoice)
    # The other entries that are heard. One that is being stopped still serves
    # open connections after it has left the members.
    heard_peers: frozenset[str] = frozenset()
    coordinated: dict[str, CoordinatedLimit] = field(default_factory=dict)
    # Kept for ended limits too: one that is named again had not ended.
    detectors: dict[str, EndDetector] = field(default_factory=dict)
    ended_s: dict[str, float] = field(default_factory=dict)
    # When the limits were last sent, and when missed updates were counted.
    updated_s: float = -math.inf
    counted_s: float = -math.inf

    @property
    def update_pause_s(self) -> float:
        """Return the pause between two updates to all peers, in seconds."""
        peers = len(self.heard_peers)
        return max(MIN_UPDATE_PAUSE_S, UPDATE_PAUSE_PER_PEER_S * peers)

    def coordinates(self, key: str) -> bool:
        """Return whether this entry coordinates a limit."""
        return self.choice.coordinator(key) == self.own_id

    def state(self, key: str) -> CoordinatedLimit:
        """Return what is kept of a known limit; create it on first use.

        The bucket of a new coordinator is empty: its predecessor may have
        granted permits until just now.
        """
        now_s = self.now()
        known = self.coordinated.get(key)
        if known is None:
            bucket = PermitBucket(0.0, now_s)
            known = self.coordinated[key] = CoordinatedLimit(
                bucket, now_s, now_s
            )
        return known

    def detector(self, key: str) -> EndDetector:
        """Return what answers show of the end of a limit."""
        return self.detectors.setdefault(key, EndDetector())

    def refresh(self, key: str, limit: KnownLimit) -> CoordinatedLimit:
        """Return what is kept of a limit, with the rate that holds now."""
        state = self.state(key)
        doublings = min(max(0, self.detector(key).excess - 1), MAX_DOUBLINGS)
        rate = max(limit.rate, MIN_RATE) * 2**doublings
        share = self.choice.safe_share(self.own_id, key)
        state.bucket.set_rate(rate * share, self.now())
        return state

    def on_answers(self, message: LimitAnswers) -> None:
        """Apply reported responses of the limits coordinated here."""
        for answer in message.answers:
            if self.coordinates(answer.key):
                self.apply_answer(answer)

    def apply_answer(self, answer: LimitAnswer) -> None:
        """Apply one reported response of a limited endpoint."""
        if answer.rate is not None:
            self.apply_named(answer, answer.rate)
            return
        limit = self.limits.known.get(answer.key)
        if limit is None:
            return
        state = self.refresh(answer.key, limit)
        state.answered_s = self.now()
        if self.now() - answer.age_s > state.named_s:
            self.note_unnamed(answer.key, state)
            self.serve(answer.key)

    def apply_named(self, answer: LimitAnswer, rate: float) -> None:
        """Apply a response that names a limit; announce it if it is new.

        Only this entry's bucket needs the current value. The others get changes
        with the periodic updates, so that a value that changes with each
        response does not cost one message for each response and peer.
        """
        endpoint = self.limits.find(answer.key)
        if endpoint is None:
            return
        now_s = self.now()
        self.ended_s.pop(answer.key, None)
        self.limits.confirm(endpoint, rate)
        self.detector(answer.key).note_made()
        state = self.refresh(answer.key, self.limits.known[answer.key])
        if not answer.permitted and now_s - answer.age_s > state.named_s:
            state.bucket.take_unasked()
        state.answered_s = now_s
        state.named_s = now_s
        if not state.announced:
            state.announced = True
            self.broadcast({answer.key: rate})

    def note_unnamed(self, key: str, state: CoordinatedLimit) -> None:
        """Count an answer without a limit; end the limit after several."""
        detector = self.detector(key)
        if detector.note_absent():
            self.coordinated.pop(key)
            self.ended_s[key] = self.now()
            self.limits.end(key, 'not named')
            self.broadcast({key: None})
            return
        if detector.excess > 1:
            state.bucket.add_token()
        elif detector.excess == 1:
            self.add_first_token(state)

    def add_first_token(self, state: CoordinatedLimit) -> None:
        """Let a request go after a first answer without a limit."""
        now_s = self.now()
        if now_s - state.first_token_s >= FIRST_TOKEN_PAUSE_S:
            state.first_token_s = now_s
            state.bucket.add_token()

    def on_asks(self, message: PermitAsks) -> None:
        """Answer the asks of an entry for permits."""
        for ask in message.asks:
            if ask.key in self.ended_s:
                rates: dict[str, float | None] = {ask.key: None}
                self.send(message.sender, LimitUpdate(self.own_id, rates))
            elif self.coordinates(ask.key):
                self.apply_ask(message.sender, ask)

    def apply_ask(self, sender: str, ask: PermitAsk) -> None:
        """Answer the ask of an entry for permits of one endpoint.

        An entry that has just become coordinator learns the limit from it.
        """
        endpoint = self.limits.find(ask.key)
        if endpoint is None:
            return
        if ask.key not in self.limits.known:
            self.limits.confirm(endpoint, ask.rate)
        state = self.refresh(ask.key, self.limits.known[ask.key])
        row = Ask(sender, ask.number, ask.online, ask.batch, ask.priority)
        self.send_grants(ask.key, state.bucket.ask(row, self.now()))

    def serve(self, key: str) -> None:
        """Grant the tokens of a limit to the asks that wait for them."""
        limit = self.limits.known.get(key)
        if limit is None or key not in self.coordinated:
            return
        state = self.refresh(key, limit)
        self.send_grants(key, state.bucket.serve(self.now()))

    def on_return(self, message: PermitReturn) -> None:
        """Take back permits that an entry has not used.

        A coordinator that has not granted any itself ignores them.
        """
        for key, permits in message.permits.items():
            state = self.coordinated.get(key)
            if state is None:
                continue
            if message.sender in state.bucket.granted_s:
                state.bucket.take_back(permits, self.now())
                self.serve(key)

    def send_grants(self, key: str, grants: Iterable[Grant]) -> None:
        """Send grants to the entries that asked."""
        for grant in grants:
            message = PermitGrant(self.own_id, key, grant, next(self.serials))
            self.send(grant.sender, message)

    def on_update(self, message: LimitUpdate) -> None:
        """Apply the limits that another entry sends.

        A coordinator learns limits from others, but not their end.
        """
        for key, rate in message.rates.items():
            if rate is not None:
                self.learn(key, rate)
            elif not self.coordinates(key):
                self.limits.end(key, 'ended by coordinator')

    def learn(self, key: str, rate: float) -> None:
        """Store a limit that another entry sent, unless it is outdated.

        The coordinator of a limit knows it better than others.
        """
        endpoint = self.limits.find(key)
        outdated = self.coordinates(key) and (
            key in self.limits.known or key in self.ended_s
        )
        if endpoint is not None and not outdated:
            self.limits.confirm(endpoint, rate)

    def broadcast(self, rates: dict[str, float | None]) -> None:
        """Send limits to all other entries that are heard."""
        self.send_to_peers(LimitUpdate(self.own_id, rates))

    def send_to_peers(self, message: LimitMessage) -> None:
        """Send a message to all other entries that are heard."""
        for peer in self.heard_peers:
            self.send(peer, message)

    def set_members(
        self, registered: Iterable[str], heard: Iterable[str]
    ) -> None:
        """Replace the members; hand limits to their new coordinators.

        `heard` are the entries that are heard, members or not.
        """
        before = self.choice.registered, self.choice.members
        heard_peers = frozenset(heard) - {self.own_id}
        if heard_peers - self.heard_peers:
            # New peers learn the limits with the next update.
            self.updated_s = -math.inf
        self.heard_peers = heard_peers
        self.choice.set_members(
            frozenset(registered), heard_peers | {self.own_id}
        )
        if before == (self.choice.registered, self.choice.members):
            return
        self.hand_over_limits()
        for state in self.coordinated.values():
            state.bucket.remove_absent(self.choice.registered)

    def hand_over_limits(self) -> None:
        """Send limits to those that have become their coordinators.

        All entries do so, as the last coordinator may be lost.
        """
        moved: dict[str, dict[str, float | None]] = {}
        for key, limit in self.limits.known.items():
            coordinator = self.choice.coordinator(key) or ''
            if coordinator != limit.coordinator:
                limit.coordinator = coordinator
                moved.setdefault(coordinator, {})[key] = limit.rate
            if coordinator != self.own_id:
                self.coordinated.pop(key, None)
        for receiver, rates in moved.items():
            if receiver and receiver != self.own_id:
                self.send(receiver, LimitUpdate(self.own_id, rates))

    def tick(self) -> None:
        """Serve waiting asks, try idle endpoints, and send the limits."""
        now_s = self.now()
        for key, state in list(self.coordinated.items()):
            if key not in self.limits.known:
                del self.coordinated[key]
            elif state.bucket.asks:
                self.serve(key)
        self.send_limits(now_s)
        self.count_missed_updates(now_s)
        for key, limit in list(self.limits.known.items()):
            if self.coordinates(key):
                self.offer_trial(key, limit)
        self.ended_s = {
            key: ended_s
            for key, ended_s in self.ended_s.items()
            if now_s - ended_s <= ENDED_MEMORY_S
        }
        needed = self.coordinated.keys() | self.ended_s.keys()
        for key in self.detectors.keys() - needed:
            del self.detectors[key]

    def send_limits(self, now_s: float) -> None:
        """Send all coordinated limits at intervals."""
        if now_s - self.updated_s < self.update_pause_s:
            return
        self.updated_s = now_s
        rates: dict[str, float | None] = dict.fromkeys(self.ended_s)
        for key, limit in self.limits.known.items():
            if self.coordinates(key):
                rates[key] = limit.rate
        if rates:
            self.broadcast(rates)

    def count_missed_updates(self, now_s: float) -> None:
        """Drop the limits that their coordinators confirm no more."""
        if now_s - self.counted_s < self.update_pause_s:
            return
        self.counted_s = now_s
        for key, limit in list(self.limits.known.items()):
            if self.coordinates(key):
                limit.missed_updates = 0
            else:
                limit.missed_updates += 1
            if limit.missed_updates > MAX_MISSED_UPDATES:
                self.limits.end(key, 'not confirmed')

    def offer_trial(self, key: str, limit: KnownLimit) -> None:
        """Invite an entry with requests to use an idle limited endpoint."""
        now_s = self.now()
        state = self.refresh(key, limit)
        unnamed = self.detector(key).excess
        after_s = NEXT_TRIAL_AFTER_S if unnamed else TRIAL_AFTER_S
        idle = now_s - state.answered_s >= after_s
        if not idle or state.bucket.tokens < 1:
            return
        answered = state.answered_s > state.offered_s
        if not answered and now_s - state.offered_s < TRIAL_PAUSE_S:
            return
        busy = self.busy_entries()
        if busy:
            state.offered_s = now_s
            chosen = self.generator.choice(busy)
            self.send(chosen, PermitOffer(self.own_id, key))
