"""Tests of graceful shutdowns, engine crashes, shares of limits and lending."""

from __future__ import annotations

from collections.abc import Callable

import anyio
import httpcore
import pytest

from entry_rig import Answer, Fleet, configuration, make_fleet, until
from quetzaldyke.connection.messages import ConfigPush
from quetzaldyke.process.entry_parts import EntryPart
from quetzaldyke.standins.engine_text import answer_text
from quetzaldyke.version.configuration import LendingRule, Pool

TOKENS = 40


async def send_requests_until(
    fleet: Fleet,
    stopped: Callable[[], bool],
    answers: dict[str, Answer],
    entry: str,
    caller: int,
) -> None:
    """Send requests one after another until `stopped` returns True."""
    number = 0
    while not stopped():
        prompt = f'caller {caller} request {number}'
        answers[prompt] = await fleet.complete(
            prompt,
            TOKENS,
            stream=number % 2 > 0,
            entry=entry,
        )
        number += 1


def assert_all_complete(answers: dict[str, Answer]) -> None:
    """Check that every request got its complete answer."""
    assert len(answers) > 10
    for prompt, answer in answers.items():
        assert answer.status == 200, answer.body
        assert answer.text == answer_text(prompt, TOKENS)


def test_graceful_shutdown_of_a_sidecar_under_load() -> None:
    """Guards against answers cut or refused when a sidecar shuts down."""

    async def scenario() -> None:
        async with make_fleet(engines=3) as fleet:
            answers: dict[str, Answer] = {}
            role = fleet.sidecars['engine-1']
            engine = fleet.engines['engine-1']
            async with anyio.create_task_group() as group:
                for caller in range(12):
                    group.start_soon(
                        send_requests_until,
                        fleet,
                        role.done.is_set,
                        answers,
                        'entry-1',
                        caller,
                    )
                await until(lambda: len(engine.batch.ids()) > 2)
                await role.stop()
            assert_all_complete(answers)
            assert engine.counts.cancelled == 0

    anyio.run(scenario)


def engines_running_long_request(fleet: Fleet) -> list[str]:
    """Return the engines that run the request of 250 tokens."""
    return [
        name
        for name, engine in fleet.engines.items()
        for stream in engine.batch.running.values()
        if stream.max_tokens == 250
    ]


def test_graceful_shutdown_of_an_entry_under_load() -> None:
    """Guards against answers cut or refused when an entry shuts down."""
    order: list[str] = []

    async def stop_part(entry: object) -> None:
        order.append('part stopped')

    async def scenario() -> None:
        async with make_fleet(engines=2, engine={'step_ms': 5.0}) as fleet:
            await fleet.add_entry('entry-2', (EntryPart('p', stop=stop_part),))
            await fleet.until_connected()
            role = fleet.entries['entry-2']
            answers: dict[str, Answer] = {}
            long_answers = []

            async def ask_long() -> None:
                prompt = 'longer than the linger'
                long_answers.append(
                    await fleet.complete(prompt, 250, entry='entry-2'),
                )

            async with anyio.create_task_group() as group:
                for caller in range(12):
                    group.start_soon(
                        send_requests_until,
                        fleet,
                        role.process.stopping.is_set,
                        answers,
                        'entry-2',
                        caller,
                    )
                await until(lambda: len(answers) > 10)
                assert role.process.unready_reason() == ''
                group.start_soon(ask_long)
                await until(lambda: bool(engines_running_long_request(fleet)))
                await role.stop()
                order.append('stopped')
            assert_all_complete(answers)
            expected = answer_text('longer than the linger', 250)
            assert long_answers[0].text == expected
            assert role.process.unready_reason() == 'stopping'
            assert order == ['part stopped', 'stopped']
            with pytest.raises(httpcore.ConnectError):
                await fleet.complete('too late', entry='entry-2')

    anyio.run(scenario)


def test_entry_serves_while_it_lingers() -> None:
    """Guards against refusals while the load balancer still sends callers."""

    async def scenario() -> None:
        async with make_fleet(engines=1, entry={'linger_s': 2.0}) as fleet:
            entry = fleet.entry()
            entry.stopping.set()
            await until(lambda: entry.open_requests.closing)
            answer = await fleet.complete('during the linger', 5)
            assert answer.text == answer_text('during the linger', 5)
            assert answer.headers['connection'] == 'close'

    anyio.run(scenario)


def test_leaving_endpoint_gets_no_new_work() -> None:
    """Guards against work for an endpoint listed as leaving."""

    async def scenario() -> None:
        async with make_fleet(engines=2) as fleet:
            address = fleet.sidecar('engine-1').peer_address
            fleet.list_instance(
                'engine-1',
                'sidecar',
                peer_address=address,
                pool='orders',
                state='leaving',
            )
            links = fleet.entry().fleet.links
            await until(lambda: links['engine-1'].leaving)
            for number in range(20):
                await fleet.complete(f'prompt {number}', 2)
            assert fleet.engines['engine-1'].counts.requests == 0

    anyio.run(scenario)


def test_engine_crash_resumes_elsewhere_and_is_sent_to_all_sidecars() -> None:
    """Guards against lost answers and unshared crash records after a crash."""

    async def scenario() -> None:
        options = {'step_ms': 5.0}
        async with make_fleet(engines=2, entries=2, engine=options) as fleet:
            engine = fleet.engines['engine-1']
            answers: dict[str, Answer] = {}

            async def ask(prompt: str) -> None:
                answers[prompt] = await fleet.complete(prompt, 200)

            async with anyio.create_task_group() as group:
                for number in range(6):
                    group.start_soon(ask, f'prompt {number}')
                await until(lambda: engine.counts.tokens > 20)
                engine.faults.down = True
                await until(lambda: bool(fleet.entry().suspects.book.crashes))
                engine.faults.down = False
            for prompt, answer in answers.items():
                assert answer.text == answer_text(prompt, 200)
            other = fleet.sidecar('engine-2').peers.suspects
            await until(lambda: bool(other.crashes))
            await until(
                lambda: bool(fleet.entry('entry-2').suspects.book.crashes)
            )

    anyio.run(scenario)


def test_crashing_request_is_refused_in_the_end() -> None:
    """Guards against a request that is retried until it crashed all engines."""

    async def scenario() -> None:
        options = {'restart_s': 0.2}
        async with make_fleet(engines=3, engine=options) as fleet:
            last = None
            for _ in range(6):
                last = await fleet.complete('CRASH now', 5)
                if last.status == 422 and last.error['ran'] == 'not_run':
                    break
                await until(
                    lambda: bool(fleet.entry().fleet.links_of('orders')),
                )
            assert last is not None
            assert last.error['code'] == 'crashes_endpoints'
            crashes = sum(
                engine.counts.crashes for engine in fleet.engines.values()
            )
            assert crashes <= 3
            await until(lambda: bool(fleet.entry().fleet.links_of('orders')))
            assert (await fleet.complete('innocent', 3)).whole

    anyio.run(scenario)


def test_entries_divide_a_limit_by_demand() -> None:
    """Guards against equal shares of a limit despite unequal demand."""

    async def scenario() -> None:
        async with make_fleet(engines=1, entries=2) as fleet:
            limits = fleet.entry('entry-1').limits
            assert limits.share_of('barf') == 0.5

            async def send_load() -> None:
                while True:
                    await fleet.ask('/v1/models', entry='entry-1')
                    await anyio.sleep(0.02)

            async with anyio.create_task_group() as group:
                group.start_soon(send_load)
                await until(lambda: limits.share_of('barf') > 0.8)
                group.cancel_scope.cancel()
            other = fleet.entry('entry-2').limits
            await until(lambda: other.share_of('barf') < 0.2)

    anyio.run(scenario)


@pytest.mark.parametrize('has_rule', [True, False])
def test_online_work_is_lent_only_by_rule(has_rule: bool) -> None:
    """Guards against lending without a rule, and rules without effect."""
    rule = LendingRule(borrower='nightly', lender='orders', work='online')
    config = configuration(
        pools={'orders': Pool(model='model'), 'nightly': Pool(model='model')},
        lending=(rule,) if has_rule else (),
    )

    async def scenario() -> None:
        async with make_fleet(engines=1, config=config) as fleet:
            sidecar = fleet.sidecar('engine-1')
            for session in fleet.entry().fleet.sessions():
                session.send(ConfigPush(1, fleet.document))
            await until(lambda: sidecar.config.version > 0)
            body = {'model': 'nightly', 'prompt': 'lend', 'max_tokens': 3}
            answer = await fleet.ask('/v1/completions', body)
            assert answer.status == (200 if has_rule else 503)

    anyio.run(scenario)
