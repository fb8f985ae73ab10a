"""Tests that non-idempotent requests run at most once."""

from __future__ import annotations

import anyio
import pytest
from result import Err

from entry_rig import make_fleet, until, uuid7
from quetzaldyke.request.limits import Limits
from quetzaldyke.request.outcome import overloaded
from quetzaldyke.request.router import Router
from quetzaldyke.version.configuration import EMPTY


def test_resend_through_another_entry_after_a_lost_answer() -> None:
    """Guards against a booking that runs twice, or whose outcome is lost."""

    async def scenario() -> None:
        async with make_fleet(services=2, entries=2) as fleet:
            key = uuid7()
            with anyio.CancelScope() as scope:
                async with anyio.create_task_group() as group:
                    group.start_soon(fleet.book, 'guard-7', key)
                    await until(lambda: fleet.executions('guard-7') > 0)
                    scope.cancel()
            answer = await fleet.book('guard-7', key, entry='entry-2')
            assert answer.status == 201
            assert answer.json()['executions'] == 1
            assert fleet.executions('guard-7') == 1

    anyio.run(scenario)


def test_concurrent_resends_run_once() -> None:
    """Guards against two claims of one key."""

    async def scenario() -> None:
        async with make_fleet(services=2, entries=2) as fleet:
            for service in fleet.services.values():
                service.faults.delay_s = 0.1
            key = uuid7()
            statuses = []

            async def book(entry: str) -> None:
                answer = await fleet.book('guard-8', key, entry=entry)
                statuses.append(answer.status)

            async with anyio.create_task_group() as group:
                for number in range(10):
                    group.start_soon(book, f'entry-{number % 2 + 1}')
            assert statuses == [201] * 10
            assert fleet.executions('guard-8') == 1

    anyio.run(scenario)


def test_answer_that_the_service_lost_is_unknown() -> None:
    """Guards against a second run when the first outcome is unknown."""

    async def scenario() -> None:
        async with make_fleet(services=2, entries=2) as fleet:
            for service in fleet.services.values():
                service.faults.lose_answers = 1
            key = uuid7()
            first = await fleet.book('guard-9', key)
            again = await fleet.book('guard-9', key, entry='entry-2')
            assert first.error['ran'] == again.error['ran'] == 'unknown'
            assert fleet.executions('guard-9') == 1

    anyio.run(scenario)


def test_entry_lost_after_its_claim() -> None:
    """Guards against a second run while the first claim is unresolved."""

    async def scenario() -> None:
        async with make_fleet(services=1, entries=2) as fleet:
            fleet.services['service-1'].faults.delay_s = 0.5
            key = uuid7()

            async def book() -> None:
                with anyio.move_on_after(20):
                    try:
                        await fleet.book('guard-10', key)
                    except Exception:
                        return

            async with anyio.create_task_group() as group:
                group.start_soon(book)
                await until(lambda: fleet.services['service-1'].running > 0)
                await fleet.entries['entry-1'].crash()
                again = await fleet.book('guard-10', key, entry='entry-2')
            assert again.status == 409
            assert again.error['ran'] == 'unknown'
            assert fleet.executions('guard-10') <= 1

    anyio.run(scenario)


def test_request_that_did_not_run_can_be_retried() -> None:
    """Guards against a key that cannot be reused though nothing ran."""

    async def scenario() -> None:
        async with make_fleet(services=1) as fleet:
            key = uuid7()
            fleet.services['service-1'].faults.down = True
            await until(lambda: not fleet.entry().fleet.links_of('dispatch'))
            refused = await fleet.book('guard-11', key)
            assert refused.error['ran'] == 'not_run'
            fleet.services['service-1'].faults.down = False
            await until(lambda: bool(fleet.entry().fleet.links_of('dispatch')))
            answer = await fleet.book('guard-11', key)
            assert answer.status == 201
            assert fleet.executions('guard-11') == 1

    anyio.run(scenario)


def test_key_of_another_organisation() -> None:
    """Guards against one organisation getting another's outcome."""

    async def scenario() -> None:
        async with make_fleet(services=1) as fleet:
            key = uuid7()
            await fleet.book('guard-12', key)
            other = await fleet.book('guard-12', key, organisation='kymata')
            assert other.json()['executions'] == 2

    anyio.run(scenario)


def test_key_used_for_another_request() -> None:
    """Guards against returning one booking's answer for another."""

    async def scenario() -> None:
        async with make_fleet(services=1) as fleet:
            key = uuid7()
            await fleet.book('guard-13', key)
            other = await fleet.book('guard-14', key)
            assert other.status == 422
            assert other.error['code'] == 'idempotency_key_reused'
            assert fleet.executions('guard-14') == 0

    anyio.run(scenario)


@pytest.mark.parametrize(
    ('key', 'status', 'ran'),
    [
        (uuid7(age_s=86_401), 409, 'unknown'),
        (uuid7(age_s=-3600), 422, 'not_run'),
        ('order-17', 422, 'not_run'),
        ('3f2504e0-4f89-41d3-9a0c-0305e82c3301', 422, 'not_run'),
    ],
    ids=['expired', 'ahead', 'plain', 'uuid4'],
)
def test_unusable_keys(key: str, status: int, ran: str) -> None:
    """Guards against a run under a key whose record may have expired."""

    async def scenario() -> None:
        async with make_fleet(services=1) as fleet:
            answer = await fleet.book('guard-15', key)
            assert answer.status == status
            assert answer.error['ran'] == ran
            assert fleet.executions('guard-15') == 0

    anyio.run(scenario)


def test_exception_in_the_entry(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an exception in one request that stops the entry."""

    async def scenario() -> None:
        async with make_fleet(services=1) as fleet:
            with monkeypatch.context() as patch:
                patch.setattr(Router, 'pick', None)
                detached = await fleet.book('guard-18', uuid7())
                attached = await fleet.ask('/services/dispatch/roster')
            for answer in (detached, attached):
                assert answer.error['ran'] == 'unknown'
            assert (await fleet.book('guard-19', uuid7())).status == 201

    anyio.run(scenario)


def test_outage_of_the_store() -> None:
    """Guards against a run without a claim and failed online requests."""

    async def scenario() -> None:
        async with make_fleet(services=1, engines=1) as fleet:
            fleet.kv.faults.down = True
            key = uuid7()
            refused = await fleet.book('guard-16', key)
            assert refused.status == 503
            assert fleet.executions('guard-16') == 0
            assert (await fleet.complete('online goes on', 3)).whole
            fleet.kv.faults.down = False
            answer = await fleet.book('guard-16', uuid7())
            assert answer.status == 201

    anyio.run(scenario)


def test_lost_answers_of_the_store() -> None:
    """Guards against treating a stored claim as not made."""

    async def scenario() -> None:
        async with make_fleet(services=1, entries=2) as fleet:
            fleet.kv.faults.lose_answers = 3
            key = uuid7()
            first = await fleet.book('guard-17', key)
            again = await fleet.book('guard-17', key, entry='entry-2')
            assert (first.status, again.status) == (201, 201)
            assert fleet.executions('guard-17') == 1

    anyio.run(scenario)


def test_retry_in_an_outage_is_not_reported_as_not_run() -> None:
    """Guards against `not_run` for a request that ran before the outage."""

    async def scenario() -> None:
        async with make_fleet(services=1, entries=2) as fleet:
            key = uuid7()
            first = await fleet.book('guard-18', key)
            fleet.kv.faults.down = True
            again = await fleet.book('guard-18', key, entry='entry-2')
            assert first.status == 201
            assert again.status == 503
            assert again.error['ran'] == 'unknown'

    anyio.run(scenario)


@pytest.mark.parametrize('cause', ['limit', 'no configuration'])
def test_refused_retry_is_not_reported_as_not_run(
    cause: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against `not_run` before the claims were read."""

    async def scenario() -> None:
        async with make_fleet(services=1, entries=2) as fleet:
            key = uuid7()
            first = await fleet.book('guard-19', key)
            second = fleet.entries['entry-2'].process
            if cause == 'limit':
                refusal = Err(overloaded('roster', 1000))
                monkeypatch.setattr(Limits, 'admit', lambda *_: refusal)
            else:
                second.config.versioned.current = EMPTY
            again = await fleet.book('guard-19', key, entry='entry-2')
            assert (first.status, again.status) == (201, 503)
            assert again.error['ran'] == 'unknown'

    anyio.run(scenario)
