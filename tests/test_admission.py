"""Tests of admission control, without a connection or an endpoint."""

from __future__ import annotations

import functools
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from quetzaldyke.connection.messages import (
    BatchDemand,
    BatchGrant,
    Message,
    Submit,
)
from quetzaldyke.parts.limiter import AdaptiveLimit, Headroom, Samples
from quetzaldyke.parts.suspects import SUSPECT_HOLD_MS, SuspectBook
from quetzaldyke.parts.timers import Clock
from quetzaldyke.process.admission import AdmissionController, Refusal
from quetzaldyke.process.batch_grants import GRANT_TTL_S, BatchGrants
from quetzaldyke.process.tracked_request import TrackedRequest
from quetzaldyke.version.configuration import Configuration, Organisation
from sidecar_rig import make_submit

SLOTS = 6


def run_in_event_loop(test: Callable[..., None]) -> Callable[..., None]:
    """Run a test in an event loop, which cancel scopes need."""

    @functools.wraps(test)
    def run(*arguments: Any, **fields: Any) -> None:
        async def scenario() -> None:
            test(*arguments, **fields)

        anyio.run(scenario)

    return run


@dataclass
class FakeSession:
    """Records the messages sent to an entry."""

    sent: list[Message] = field(default_factory=list)

    def send(self, message: Message) -> None:
        """Record a message."""
        self.sent.append(message)

    @property
    def grants(self) -> list[BatchGrant]:
        """Return the grants that were sent."""
        return [one for one in self.sent if isinstance(one, BatchGrant)]


@dataclass
class Endpoint:
    """An admission controller whose clock is set by the test."""

    now_s: float = 100.0
    wall_ms: int = 0
    session: Any = field(default_factory=FakeSession)
    refused: dict[str, Refusal] = field(default_factory=dict)
    started: list[str] = field(default_factory=list)
    admission: AdmissionController = field(init=False)

    def __post_init__(self) -> None:
        """Create the controller and open admission."""
        self.admission = AdmissionController(
            'pool',
            SLOTS,
            20,
            Clock(read=lambda: self.now_s),
            AdaptiveLimit(SLOTS, Samples(1e9), Samples(1e9)),
            BatchGrants('pool'),
            SuspectBook(),
            start=self.note_start,
            refuse=self.note_refusal,
            now_ms=lambda: self.wall_ms,
        )
        self.admission.open()

    def note_start(self, request: TrackedRequest) -> None:
        """Record a started request."""
        self.started.append(request.submit.request_id)

    def note_refusal(self, request: TrackedRequest, refusal: Refusal) -> None:
        """Record a refusal."""
        self.refused[request.submit.request_id] = refusal

    def submit(self, **fields: Any) -> Submit:
        """Submit a request and return its message."""
        message = make_submit(**fields)
        request = TrackedRequest.from_submit(message, self.session, self.now_s)
        self.admission.submit(request)
        return message

    def demand(
        self,
        count: int,
        job_id: str = 'job',
        slack_s: float = 60.0,
        organisation: str = 'org',
        session: Any = None,
    ) -> None:
        """Send a demand for batch room."""
        message = BatchDemand('pool', organisation, job_id, count, slack_s)
        self.admission.grants.set_demand(session or self.session, message)
        self.admission.schedule()

    def use_grants(self) -> None:
        """Submit an item for each granted slot."""
        grants = self.session.grants
        self.session.sent.clear()
        for grant in grants:
            for _ in range(grant.count):
                self.submit(
                    work='batch',
                    grant_id=grant.grant_id,
                    job_id=grant.job_id,
                )

    def release(self, request: TrackedRequest) -> None:
        """Release the slot of a stream that ended at the engine."""
        self.admission.release(request)
        self.admission.schedule()


OPERATIONS = st.sampled_from(
    ['online', 'online', 'demand', 'use', 'end first', 'end last', 'later'],
)


@given(steps=st.lists(OPERATIONS, max_size=60))
@run_in_event_loop
def test_online_never_waits_behind_batch(steps: list[str]) -> None:
    """Guards against online requests that wait while batch keeps its slots."""
    endpoint = Endpoint()
    for step in steps:
        running = list(endpoint.admission.running.values())
        match step:
            case 'online':
                endpoint.submit()
            case 'demand':
                endpoint.demand(3)
            case 'use':
                endpoint.use_grants()
            case 'end first' if running:
                endpoint.release(running[0])
            case 'end last' if running:
                endpoint.release(running[-1])
            case 'later':
                endpoint.now_s += 0.5
                endpoint.admission.schedule()
        check_limits(endpoint)


def check_limits(endpoint: Endpoint) -> None:
    """Check that batch gives up a slot for each waiting request."""
    admission = endpoint.admission
    assert len(admission.running) <= SLOTS
    stopping = sum(
        request.state == 'stopping' for request in admission.running.values()
    )
    waiting = len(admission.queue)
    assert not waiting or admission.free_slots == 0
    assert stopping >= min(waiting, admission.running_count(batch=True))


@pytest.mark.parametrize(
    ('age_s', 'starts'),
    [(0.0, True), (GRANT_TTL_S - 0.01, True), (GRANT_TTL_S, False)],
)
@run_in_event_loop
def test_grants_expire(age_s: float, starts: bool) -> None:
    """Guards against an item started late by a segment owner that paused."""
    endpoint = Endpoint()
    endpoint.demand(1)
    endpoint.now_s += age_s
    endpoint.use_grants()
    assert bool(endpoint.started) is starts
    assert starts or endpoint.refused


@run_in_event_loop
def test_demand_subtracts_outstanding_grants() -> None:
    """Guards against slots reserved twice for the same items.

    A repeated demand still includes items that were granted meanwhile.
    """
    endpoint = Endpoint()
    endpoint.demand(2)
    endpoint.demand(2)
    assert sum(grant.count for grant in endpoint.session.grants) == 2
    endpoint.demand(0, organisation='')
    assert endpoint.admission.grants.outstanding() == 0
    assert not endpoint.admission.grants.demands


@run_in_event_loop
def test_equal_urgency_is_shared_by_weight() -> None:
    """Guards against an organisation that gets all batch slots."""
    key = 'a' * 64
    endpoint = Endpoint()
    endpoint.admission.grants.configuration = Configuration(
        organisations={
            'heavy': Organisation(key_sha256=key, weight=2.0),
            'light': Organisation(key_sha256=key, weight=1.0),
        },
    )
    given: dict[str, int] = {'heavy': 0, 'light': 0}
    for _ in range(30):
        endpoint.demand(100, 'heavy', 601.0, 'heavy')
        endpoint.demand(100, 'light', 600.0, 'light')
        for grant in endpoint.session.grants:
            given[grant.job_id] += grant.count
        endpoint.session.sent.clear()
        endpoint.admission.grants.grants.clear()
    assert 1.7 <= given['heavy'] / given['light'] <= 2.3


@run_in_event_loop
def test_urgency_outranks_past_use() -> None:
    """Guards against an urgent job that waits due to its owner's past use."""
    endpoint = Endpoint()
    endpoint.admission.grants.recent_use['busy'] = 50.0
    for number in range(SLOTS):
        endpoint.submit(prompt=f'online {number}')
    endpoint.now_s += 60.0
    endpoint.admission.grants.last_decay_s = endpoint.now_s
    endpoint.demand(1, 'patient', 900.0, 'idle')
    endpoint.demand(1, 'urgent', 30.0, 'busy')
    endpoint.release(next(iter(endpoint.admission.running.values())))
    assert [grant.job_id for grant in endpoint.session.grants] == ['urgent']


@run_in_event_loop
def test_overload_is_refused_early() -> None:
    """Guards against queueing requests that would miss their deadline."""
    endpoint = Endpoint()
    for _ in range(SLOTS):
        endpoint.submit()
    impatient = endpoint.submit(remaining_ms=1)
    for _ in range(20):
        endpoint.submit()
    last = endpoint.submit()
    assert set(endpoint.refused) == {impatient.request_id, last.request_id}
    for refusal in endpoint.refused.values():
        assert refusal.reason == 'overloaded'
        assert refusal.retry_after_ms > 0


@run_in_event_loop
def test_expired_requests_never_start() -> None:
    """Guards against running requests after their deadline."""
    endpoint = Endpoint()
    for _ in range(SLOTS):
        endpoint.submit()
    queued = endpoint.submit(remaining_ms=5000)
    endpoint.now_s += 5.0
    endpoint.release(next(iter(endpoint.admission.running.values())))
    refusal = endpoint.refused[queued.request_id]
    assert refusal.reason == 'deadline has passed'
    assert queued.request_id not in endpoint.started


# Guards against an item that is never placed again because endpoints crashed
# while they ran it, although all is calm and there is room.
@run_in_event_loop
def test_item_under_which_endpoints_crashed_is_placed_again() -> None:
    """Guards against refusing a suspect item for as long as others run."""
    endpoint = Endpoint()
    suspects = endpoint.admission.suspects
    for number in range(4):
        suspects.record(f'{number}/s/{number}', ['fp-x'], 0)
    endpoint.submit(prompt='clear')
    for wall_ms, placed in ((1000, False), (SUSPECT_HOLD_MS * 4 + 4, True)):
        endpoint.wall_ms = wall_ms
        endpoint.demand(1)
        grant = endpoint.session.grants[-1]
        item = endpoint.submit(
            prompt='x',
            work='batch',
            grant_id=grant.grant_id,
            job_id=grant.job_id,
        )
        assert (item.request_id in endpoint.started) is placed


@run_in_event_loop
def test_waiting_suspect_gets_to_run_alone() -> None:
    """Guards against a suspect that never runs because others keep starting."""
    endpoint = Endpoint()
    endpoint.admission.suspects.record('0/s/1', ['fp-x'], 0)
    endpoint.admission.suspects.record('0/s/2', ['fp-x'], 0)
    endpoint.submit()
    endpoint.demand(2)
    endpoint.use_grants()
    suspect = endpoint.submit(prompt='x')
    endpoint.now_s += 1.0
    other = endpoint.submit()
    assert other.request_id not in endpoint.started
    running = list(endpoint.admission.running.values())
    assert [request.state for request in running if request.is_batch] == 2 * [
        'stopping'
    ]
    for request in running:
        endpoint.release(request)
    assert endpoint.started[-1] == suspect.request_id
    endpoint.release(next(iter(endpoint.admission.running.values())))
    assert endpoint.started[-1] == other.request_id


@pytest.mark.parametrize(
    ('samples_ms', 'used', 'limit'),
    [
        ([80.0] * 20, True, 8),
        ([80.0] * 19, True, 11),
        ([80.0] * 4 + [10.0] * 96, True, 11),
        ([80.0] * 6 + [10.0] * 94, True, 8),
        ([10.0] * 20, True, 11),
        ([10.0] * 20, False, 10),
        ([80.0] * 20, False, 8),
    ],
)
def test_limit_follows_the_targets(
    samples_ms: list[float],
    used: bool,
    limit: int,
) -> None:
    """Guards against a limit that ignores that targets hold for 95 in 100."""
    adaptive = AdaptiveLimit(16, Samples(1e9), Samples(50.0), limit=10)
    for sample_ms in samples_ms:
        adaptive.between_tokens.add(sample_ms)
    adaptive.record_running(10 if used else 9)
    adaptive.adjust(now_s=1.0)
    assert adaptive.limit == limit


def test_limit_is_cut_once_a_second_and_bounded() -> None:
    """Guards against a limit that a short latency peak cuts to the minimum."""
    adaptive = AdaptiveLimit(16, Samples(50.0), Samples(50.0))
    limits = []
    for number in range(20):
        for _ in range(20):
            adaptive.first_token.add(80.0)
        adaptive.adjust(now_s=10 + number / 2)
        limits.append(adaptive.limit)
    assert limits[:4] == [12, 12, 9, 9]
    assert min(limits) == 4


def test_headroom_follows_the_arrivals() -> None:
    """Guards against headroom that ignores a burst or keeps it for ever."""
    headroom = Headroom(phase=0.0)
    for number in range(30):
        headroom.record_arrival(now_s=1000 + number / 30)
    headroom.record_preemption(0.05)
    assert headroom.expected_arrivals == pytest.approx(1.5)
    kept = [headroom.slots(limit=16, now_s=1000.95) for _ in range(3)]
    assert set(kept) <= {1, 2}
    assert headroom.slots(limit=2, now_s=1000.95) == 1
    assert headroom.slots(limit=1, now_s=1000.95) == 0
    assert headroom.slots(limit=16, now_s=1002.5) == 0


@pytest.mark.parametrize('arrivals', [2, 7, 12, 18])
def test_fractional_headroom_is_kept_on_average(arrivals: int) -> None:
    """Guards against fractional headroom always rounded up or down."""
    headroom = Headroom(phase=0.3)
    kept = 0
    for second in range(200):
        for _ in range(arrivals):
            headroom.record_arrival(now_s=float(second))
        kept += headroom.slots(limit=16, now_s=second + 0.5)
    assert kept / 200 == pytest.approx(arrivals * 0.05, abs=0.02)
