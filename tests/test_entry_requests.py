"""Tests of online requests through an entry, over real sockets."""

from __future__ import annotations

from typing import Any

import anyio
import pytest
from starlette.types import Message

from entry_rig import KEYS, Answer, configuration, make_fleet, until
from quetzaldyke.process import answers_http, callers_middleware
from quetzaldyke.request import execute
from quetzaldyke.standins.engine_text import answer_text


@pytest.mark.parametrize('stream', [True, False])
@pytest.mark.parametrize('path', ['/v1/completions', '/v1/chat/completions'])
def test_whole_answer(path: str, stream: bool) -> None:
    """Guards against lost or reordered chunks of an answer."""

    async def scenario() -> None:
        async with make_fleet(engines=1) as fleet:
            content: dict[str, Any] = {'prompt': 'two blocks'}
            if 'chat' in path:
                message = {'role': 'user', 'content': 'two blocks'}
                content = {'messages': [message]}
            answer = await fleet.ask(
                path,
                {
                    **content,
                    'model': 'orders',
                    'max_tokens': 40,
                    'stream': stream,
                    'stream_options': {'include_usage': True},
                },
            )
            assert answer.status == 200
            assert answer.text == answer_text('two blocks', 40)
            assert answer.whole is stream
            last = answer.events()[-2] if stream else answer.json()
            assert last['usage']['completion_tokens'] == 40
            assert last['choices'][0]['finish_reason'] == 'length'

    anyio.run(scenario)


def test_sidecar_killed_in_mid_stream() -> None:
    """Guards against truncated or repeated text after a sidecar crash."""

    async def scenario() -> None:
        async with make_fleet(engines=2, engine={'step_ms': 5.0}) as fleet:
            answers: dict[str, Answer] = {}

            async def ask(prompt: str, stream: bool) -> None:
                answers[prompt] = await fleet.complete(
                    prompt,
                    120,
                    stream=stream,
                )

            def busy() -> bool:
                works = fleet.sidecar('engine-1').runner.requests.values()
                return any(work.tokens > 20 for work in works)

            async with anyio.create_task_group() as group:
                for number in range(12):
                    group.start_soon(ask, f'prompt {number}', number % 3 > 0)
                await until(busy)
                await fleet.sidecars['engine-1'].crash()
            for prompt, answer in answers.items():
                assert answer.text == answer_text(prompt, 120)
            assert all(
                answer.whole
                for answer in answers.values()
                if 'event-stream' in answer.headers['content-type']
            )
            resumed = [
                event
                for event in fleet.entry().timeline.events
                if event.name == 'request_routed'
                and event.fields['resumed_at'] != '0'
            ]
            assert resumed

    anyio.run(scenario)


def test_stream_without_another_endpoint_ends_with_an_error() -> None:
    """Guards against a truncated answer that looks complete."""

    async def scenario() -> None:
        async with make_fleet(engines=1, engine={'step_ms': 5.0}) as fleet:
            answers = []

            async def ask() -> None:
                answers.append(
                    await fleet.complete(
                        'lost',
                        400,
                        headers={'X-Request-Timeout-Ms': '1500'},
                    ),
                )

            async with anyio.create_task_group() as group:
                group.start_soon(ask)
                await until(lambda: fleet.engines['engine-1'].counts.tokens > 9)
                fleet.instances.change('engine-1', None)
                await fleet.sidecars['engine-1'].crash()
            assert not answers[0].whole
            assert b'event: error' in answers[0].body
            assert answers[0].events()[-1]['error']['ran'] == 'unknown'
            assert answer_text('lost', 400).startswith(answers[0].text)

    anyio.run(scenario)


@pytest.mark.parametrize(
    ('path', 'body', 'headers', 'status', 'code'),
    [
        ('/v1/completions', {'model': 'orders', 'prompt': 'x'},
         {'Authorization': 'Bearer wrong'}, 401, 'unknown_key'),
        ('/v1/completions', {'model': 'absent', 'prompt': 'x'},
         {}, 404, 'not_found'),
        ('/v1/nothing', {}, {}, 404, 'not_found'),
        ('/services/absent/x', {}, {}, 404, 'not_found'),
        ('/services/orders/x', {}, {}, 404, 'not_found'),
        ('/v1/completions', {'model': 'orders'}, {}, 422, 'invalid_body'),
        ('/v1/completions', b'{', {}, 400, 'invalid_json'),
        ('/v1/completions', b'x' * 5000, {}, 413, 'body_too_large'),
        ('/v1/completions', {'model': 'orders', 'prompt': 'x'},
         {'X-Request-Timeout-Ms': 'soon'}, 422, 'invalid_timeout'),
        ('/v1/completions', {'model': 'orders', 'prompt': 'x'},
         {'X-Idempotent': 'perhaps'}, 422, 'invalid_header'),
        ('/v1/completions', {'model': 'orders', 'prompt': 'x'},
         {'X-Idempotent': 'false'}, 422, 'idempotency_key_needed'),
        ('/services/dispatch/bookings', {'id': 'b'}, {}, 422,
         'idempotency_key_needed'),
    ],
)  # fmt: skip
def test_refusals_leave_the_entry_serving(
    path: str,
    body: Any,
    headers: dict[str, str],
    status: int,
    code: str,
) -> None:
    """Guards against an invalid request that runs or breaks the next one."""

    async def scenario() -> None:
        options = {'max_body_bytes': 4096}
        async with make_fleet(engines=1, entry=options) as fleet:
            refused = await fleet.ask(path, body, headers=headers)
            assert refused.status == status
            assert refused.error['code'] == code
            assert refused.error['ran'] == 'not_run'
            assert fleet.engines['engine-1'].counts.requests == 0
            answer = await fleet.complete('next', 3)
            assert answer.text == answer_text('next', 3)
            assert fleet.entry().open_requests.count == 0

    anyio.run(scenario)


def test_rejection_of_the_engine_reaches_the_caller() -> None:
    """Guards against a rejection that is retried or reported as not run."""

    async def scenario() -> None:
        async with make_fleet(engines=2) as fleet:
            answer = await fleet.complete('INVALID words')
            assert answer.status == 400
            assert answer.error['ran'] == 'ran'
            assert answer.error['message'] == 'the prompt is invalid'

    anyio.run(scenario)


def test_nothing_available_is_not_run() -> None:
    """Guards against a wrong `ran` value when no endpoint is available."""

    async def scenario() -> None:
        async with make_fleet(engines=1) as fleet:
            await fleet.sidecars['engine-1'].crash()
            await until(lambda: not fleet.entry().fleet.links)
            answer = await fleet.complete('anything')
            assert answer.status == 503
            assert answer.error['ran'] == 'not_run'
            assert answer.error['code'] == 'no_endpoint'
            assert answer.headers['retry-after'] == '1'
            assert fleet.engines['engine-1'].counts.requests == 0

    anyio.run(scenario)


def test_expired_request_is_refused_truthfully() -> None:
    """Guards against a request that runs on after its deadline."""

    async def scenario() -> None:
        async with make_fleet(engines=1) as fleet:
            engine = fleet.engines['engine-1']
            engine.faults.stalled = True
            answer = await fleet.complete(
                'late',
                headers={'X-Request-Timeout-Ms': '300'},
            )
            assert answer.status == 504
            assert answer.error['code'] == 'deadline_exceeded'
            assert answer.error['ran'] != 'not_run'
            await until(lambda: not engine.batch.ids())

    anyio.run(scenario)


def test_caller_disconnect_cancels_the_request() -> None:
    """Guards against generation for a caller that disconnected."""

    async def scenario() -> None:
        async with make_fleet(engines=1, engine={'step_ms': 5.0}) as fleet:
            engine = fleet.engines['engine-1']
            with anyio.CancelScope() as scope:
                async with anyio.create_task_group() as group:
                    group.start_soon(fleet.complete, 'left', 5000)
                    await until(lambda: engine.counts.tokens > 5)
                    scope.cancel()
            await until(lambda: not engine.batch.ids())
            assert engine.counts.tokens < 4000
            await until(lambda: fleet.entry().open_requests.count == 0)

    anyio.run(scenario)


def test_service_answers_pass_through() -> None:
    """Guards against changed statuses and bodies of plain services."""

    async def scenario() -> None:
        async with make_fleet(services=1) as fleet:
            roster = await fleet.ask('/services/dispatch/roster?day=1')
            assert roster.json() == {'roster': []}
            missing = await fleet.ask('/services/dispatch/absent')
            assert missing.status == 404
            assert b'Not Found' in missing.body

    anyio.run(scenario)


def test_limits_refuse_before_anything_runs() -> None:
    """Guards against an organisation that exceeds its limit."""
    config = configuration()
    tight = config.organisations['barf'].model_copy(
        update={'requests_per_s': 2.0},
    )
    config = config.model_copy(
        update={'organisations': {**config.organisations, 'barf': tight}},
    )

    async def scenario() -> None:
        async with make_fleet(engines=1, config=config) as fleet:
            answers = [await fleet.ask('/v1/models') for _ in range(6)]
            refused = [one for one in answers if one.status == 429]
            assert len(refused) >= 3
            assert refused[0].error['ran'] == 'not_run'
            assert 'retry-after' in refused[0].headers
            other = await fleet.ask('/v1/models', organisation='kymata')
            assert other.json()['data'][0]['id'] == 'orders'

    anyio.run(scenario)


def test_ordinary_requests_make_no_store_call() -> None:
    """Guards against a store call for each request."""

    async def scenario() -> None:
        async with make_fleet(engines=1, services=1) as fleet:
            before = fleet.kv.counts.calls.total()
            for number in range(5):
                await fleet.complete(f'prompt {number}', 3)
            await fleet.ask('/services/dispatch/roster')
            assert fleet.kv.counts.calls.total() == before

    anyio.run(scenario)


def test_lost_instance_list_keeps_serving() -> None:
    """Guards against an entry that drops its links with the instance list."""

    async def scenario() -> None:
        async with make_fleet(engines=1) as fleet:
            membership = fleet.entry().membership
            assert membership is not None
            fleet.instances.faults.down = True
            await until(lambda: membership.logged_failure != '')
            fleet.instances.pending.clear()
            fleet.instances.rows.clear()
            fleet.instances.faults.down = False
            await until(lambda: 'empty' in membership.logged_failure)
            answer = await fleet.complete('still here', 3)
            assert answer.text == answer_text('still here', 3)

    anyio.run(scenario)


def test_answer_too_large_to_hold(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an answer that fills the entry's memory."""
    monkeypatch.setattr(execute, 'MAX_ANSWER_BYTES', 100_000)

    async def scenario() -> None:
        async with make_fleet(services=1) as fleet:
            service = fleet.services['service-1']
            service.executions.update(f'{n:0>100}' for n in range(10_000))
            refused = await fleet.ask('/services/dispatch/roster')
            assert refused.status == 502
            assert refused.error['ran'] == 'ran'
            service.executions.clear()
            assert (await fleet.ask('/services/dispatch/roster')).status == 200

    anyio.run(scenario)


@pytest.mark.parametrize(
    ('head', 'status'),
    [
        ('Content-Length: 100\r\n\r\nx', '408'),
        ('Content-Length: 5000\r\n\r\n', '413'),
        ('Transfer-Encoding: chunked\r\n\r\n1388\r\n' + 'x' * 5000, '413'),
    ],
    ids=['slow', 'declared too large', 'chunks too large'],
)
def test_unfinished_upload_is_ended(
    head: str,
    status: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an upload that blocks a slot or fills the memory."""
    limit_s = 0.05 if status == '408' else 60.0
    monkeypatch.setattr(callers_middleware, 'BODY_TIMEOUT_S', limit_s)

    async def scenario() -> None:
        options = {'max_body_bytes': 4096}
        async with make_fleet(engines=1, entry=options) as fleet:
            host, port = fleet.entry().callers_address.split(':')
            stream = await anyio.connect_tcp(host, int(port))
            key = f'Authorization: Bearer {KEYS["barf"]}\r\n'
            start = 'POST /v1/completions HTTP/1.1\r\nHost: x\r\n'
            async with stream:
                await stream.send(f'{start}{key}{head}'.encode())
                assert status.encode() in await stream.receive()
            await until(lambda: fleet.entry().open_requests.count == 0)

    anyio.run(scenario)


def test_caller_that_does_not_read_is_ended(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a caller that holds its request past the deadline."""
    monkeypatch.setattr(answers_http, 'READING_GRACE_S', 0.01)

    async def scenario() -> None:
        async def receive() -> Message:
            await anyio.sleep_forever()
            return {}

        with anyio.fail_after(10):
            await answers_http.run_until_disconnect(
                receive,
                0.01,
                anyio.sleep_forever,
            )

    anyio.run(scenario)
