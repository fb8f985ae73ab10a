"""Tests of the router, early refusals and retry decisions."""

from __future__ import annotations

from random import Random
from typing import Any, cast

import pytest
from hypothesis import given
from hypothesis import strategies as st

from entry_rig import configuration
from quetzaldyke.connection.calls import CallTable
from quetzaldyke.connection.messages import Failed, Report
from quetzaldyke.connection.peer import PeerSession
from quetzaldyke.parts.suspects import SuspectBook
from quetzaldyke.parts.timers import Clock
from quetzaldyke.process.fleet import Fleet, Instance, SidecarLink
from quetzaldyke.process.metrics import Metrics
from quetzaldyke.request.deadline import DeadlineQueue
from quetzaldyke.request.execute import (
    ExecuteContext,
    make_submit,
    refuse_early,
)
from quetzaldyke.request.model import OnlineRequest
from quetzaldyke.request.prefixes import prefix_hashes
from quetzaldyke.request.retry import (
    Progress,
    combine_ran,
    may_retry,
    unsent_text,
)
from quetzaldyke.request.router import Pick, Router
from quetzaldyke.standins import engine_text
from quetzaldyke.version.configuration import (
    Configuration,
    LendingRule,
    Pool,
)

OWN = Instance('entry-1', 'entry', 'a', '127.0.0.1:1')


class FixedConfiguration:
    """Configuration holder whose configuration does not change."""

    def __init__(self, current: Configuration) -> None:
        self.current = current


def report(pool: str, **more: Any) -> Report:
    """Return the report of an idle endpoint."""
    fields = {
        'pool': pool,
        'endpoint_up': True,
        'leaving': False,
        'limit': 4,
        'online_running': 0,
        'online_queued': 0,
        'batch_running': 0,
        'batch_room': 0,
        'ttft_ms': 0.0,
        'tbt_ms': 0.0,
        'model': 'model',
        'version': '1',
        'adapter': '',
        'fencing_token': 0,
        'prefixes': [],
        'failure_domain': 'a',
    }
    return Report(**{**fields, **more})


def make_request(**more: Any) -> OnlineRequest:
    """Return a request for the pool of models."""
    fields = {
        'request_id': 'r1',
        'organisation': 'barf',
        'pool': 'orders',
        'kind': 'engine',
        'method': 'POST',
        'path': '/v1/completions',
        'headers': {},
        'body': b'{}',
        'stream': True,
        'idempotent': True,
        'deadline_s': 60.0,
        'fingerprint': 'f1',
    }
    return OnlineRequest(**{**fields, **more})


class RouterRig:
    """Router with links that have no connection."""

    def __init__(self, config: Configuration | None = None) -> None:
        self.now_s = 0.0
        self.fleet = Fleet(OWN, 20)
        self.router = Router(
            self.fleet,
            FixedConfiguration(config or configuration()),
            Clock(lambda: self.now_s),
            Random(5),
        )

    def add(self, name: str, pool: str = 'orders', **more: Any) -> SidecarLink:
        """Add a usable link."""
        session = cast(PeerSession, type('Session', (), {'closed': False})())
        link = SidecarLink(
            Instance(name, 'sidecar', 'a', '', pool),
            session,
            CallTable(session),
            report(pool, **more),
        )
        self.fleet.links[name] = link
        return link

    def picked_endpoints(
        self, request: OnlineRequest | None = None
    ) -> set[str]:
        """Return the endpoints picked in 60 calls."""
        names = set()
        for _ in range(60):
            pick = self.router.pick(request or make_request(), ())
            names.add(pick.link.instance.instance if pick else '')
        return names


def test_ejected_endpoint_is_used_only_when_none_is_left() -> None:
    """Guards against new requests to an endpoint that just failed."""
    rig = RouterRig()
    rig.add('good')
    rig.add('bad')
    rig.router.eject('bad')
    assert rig.picked_endpoints() == {'good'}
    rig.router.eject('good')
    assert rig.picked_endpoints() == {'good', 'bad'}
    rig.now_s = 1.5
    assert rig.picked_endpoints() == {'good', 'bad'}


@pytest.mark.parametrize(
    'more',
    [
        {'endpoint_up': False},
        {'leaving': True},
        {'model': 'another'},
    ],
    ids=str,
)
def test_unusable_endpoint_is_never_chosen(more: dict[str, Any]) -> None:
    """Guards against requests to an endpoint that cannot run them."""
    rig = RouterRig()
    rig.add('only', **more)
    assert rig.picked_endpoints() == {''}


def test_load_counts_what_was_sent_since_the_report() -> None:
    """Guards against overload of the endpoint that last reported idle."""
    rig = RouterRig()
    link = rig.add('one', online_running=3, online_queued=1)
    rig.router.running_at_report['one'] = 2
    link.running_online = 5
    assert rig.router.load_of(link) == 7
    link.running_online = 0
    assert rig.router.load_of(link) == 2


def test_longest_cached_prefix_wins() -> None:
    """Guards against prefix affinity that ignores the cached length."""
    names = prefix_hashes('word ' * 64)
    rig = RouterRig()
    rig.add('cold')
    rig.add('short', prefixes=[names[0]])
    rig.add('long', prefixes=[names[0], names[2]])
    assert rig.picked_endpoints(make_request(prefixes=names)) == {'long'}


@given(words=st.integers(0, 100))
def test_prefix_hashes_match_those_of_the_engine(words: int) -> None:
    """Guards against hashes that never match the engine's."""
    prompt = ' '.join(f'w{number}' for number in range(words))
    assert list(prefix_hashes(prompt)) == engine_text.prefix_hashes(prompt)


@pytest.mark.parametrize(
    ('share', 'lender_load', 'borrowed', 'expected'),
    [
        (1.0, 0, 0, 'lender'),
        (1.0, 4, 0, 'own'),  # the lender has no free slot
        (0.5, 0, 2, 'own'),  # the rule's share is used up
        (0.5, 0, 1, 'lender'),
    ],
)
def test_lending_keeps_to_the_rule(
    share: float,
    lender_load: int,
    borrowed: int,
    expected: str,
) -> None:
    """Guards against borrowing from a busy lender or over the share."""
    rule = LendingRule(
        borrower='orders',
        lender='spare',
        work='online',
        max_share=share,
    )
    pools = {'orders': Pool(model='model'), 'spare': Pool(model='model')}
    rig = RouterRig(configuration(pools=pools, lending=(rule,)))
    rig.add('own', online_running=4)
    rig.add('lender', 'spare', online_running=lender_load)
    rig.router.borrowed['orders', 'spare'] = borrowed
    assert rig.picked_endpoints() == {expected}


def test_idle_pool_borrows_nothing() -> None:
    """Guards against borrowing while the own pool has free slots."""
    rule = LendingRule(borrower='orders', lender='spare', work='online')
    pools = {'orders': Pool(model='model'), 'spare': Pool(model='model')}
    rig = RouterRig(configuration(pools=pools, lending=(rule,)))
    rig.add('own', online_running=3)
    rig.add('lender', 'spare')
    assert rig.picked_endpoints() == {'own'}


def test_next_attempt_continues_after_the_text_so_far() -> None:
    """Guards against text that is generated again or skipped."""
    request = make_request()
    progress = Progress()
    progress.begin_attempt()
    first = make_submit(request, progress, 2.5)
    progress.add_text(' one', 1)
    progress.add_text(' two three', 2)
    progress.begin_attempt()
    second = make_submit(request, progress, 2.5)
    assert (first.resume_text, first.resume_tokens) == ('', 0)
    assert (second.resume_text, second.resume_tokens) == (' one two three', 3)
    assert first.request_id != second.request_id
    assert second.remaining_ms == 2500


@pytest.mark.parametrize(
    ('load', 'remaining_s', 'code'),
    [
        (8, 60.0, None),
        (8, 5.0, 'overloaded'),
        (3, 5.0, None),
        (0, 0.0, 'deadline_exceeded'),
    ],
)
def test_requests_that_cannot_start_in_time_are_refused(
    load: int,
    remaining_s: float,
    code: str | None,
) -> None:
    """Guards against queueing past the deadline and needless refusals."""
    rig = RouterRig()
    link = rig.add('one')
    context = ExecuteContext(
        rig.router,
        rig.router.clock,
        DeadlineQueue(),
        cast(Any, None),
        Metrics(),
        SuspectBook(),
        mean_service_s={'orders': 6.0},
    )
    request = make_request(deadline_s=remaining_s)
    refusal = refuse_early(context, request, Pick(link, load, 4))
    assert (refusal.code if refusal else None) == code
    assert refusal is None or refusal.ran == 'not_run'


ran_values = st.sampled_from(['not_run', 'unknown', 'ran'])


@given(first=ran_values, second=ran_values, idempotent=st.booleans())
def test_retries_never_risk_a_second_run(
    first: Any,
    second: Any,
    idempotent: bool,
) -> None:
    """Guards against a second run and a wrong `ran` value."""
    request = make_request(idempotent=idempotent)
    progress = Progress()
    for ran in (first, second):
        failed = Failed('r1', ran, 'broken')
        progress.record_failure('e1', failed)
        allowed = may_retry(request, progress, failed)
        assert allowed is (idempotent or ran == 'not_run')
    both = {first, second}
    assert (combine_ran(first, second) == 'not_run') is (both == {'not_run'})
    assert progress.ran == combine_ran(first, second)


@given(
    sent=st.lists(st.text(min_size=1), max_size=5),
    waiting=st.text(),
    earlier=st.text(min_size=1),
)
def test_text_of_a_failure_is_neither_lost_nor_repeated(
    sent: list[str],
    waiting: str,
    earlier: str,
) -> None:
    """Guards against text that is lost, generated or sent twice."""
    progress = Progress()
    progress.begin_attempt()
    progress.add_text(earlier, 1)
    progress.begin_attempt()
    for text in sent:
        progress.add_text(text, 1)
    whole = ''.join(sent) + waiting
    failed = Failed('r1', 'ran', 'preempted', 0, whole, len(sent) + 2)
    text, tokens = unsent_text(progress, failed)
    assert text == waiting if whole else text == ''
    assert tokens == (2 if whole else 0)


def test_text_that_does_not_continue_is_not_used() -> None:
    """Guards against an answer assembled from two different texts."""
    progress = Progress()
    progress.begin_attempt()
    progress.add_text('one', 1)
    failed = Failed('r1', 'ran', 'broken', 0, 'other text', 2)
    assert unsent_text(progress, failed) == ('', 0)
