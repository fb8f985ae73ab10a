"""Tests of the simulated engine, service and instance list."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

import anyio
import httpcore
import pytest
from anyio.abc import TaskGroup

from quetzaldyke.standins import engine_text
from quetzaldyke.standins.engine import run_engine
from quetzaldyke.standins.engine_options import EngineOptions
from quetzaldyke.standins.instances import InstancesOptions, run_instances
from quetzaldyke.standins.service import ServiceOptions, run_service

T = TypeVar('T')
LONG_PROMPT = 'word ' * 64
FAST = EngineOptions(
    step_ms=1,
    per_stream_ms=0,
    prefill_ms_per_token=0,
    cache_event_lag_s=0,
    cache_event_gap_every=0,
    load_report_lag_s=0.01,
    load_model_s=0,
    restart_s=0.2,
)


@dataclass
class Client:
    """HTTP client for stand-ins."""

    group: TaskGroup
    pool: httpcore.AsyncConnectionPool

    async def call(
        self,
        method: str,
        url: str,
        body: object = None,
        request_id: str = '',
    ) -> tuple[int, bytes]:
        """Return status and body; status 0 if the connection failed."""
        try:
            response = await self.pool.request(
                method,
                f'http://{url}',
                headers={'X-Request-Id': request_id} if request_id else {},
                content=content_of(body),
            )
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return 0, b''
        return response.status, response.content

    async def json(self, method: str, url: str, body: object = None) -> Any:
        """Return the decoded body of a response."""
        return json.loads((await self.call(method, url, body))[1])

    async def until(self, url: str, holds: Callable[[Any], bool]) -> Any:
        """Poll a URL and return the first body that meets a condition."""
        with anyio.fail_after(10):
            while True:
                status, raw = await self.call('GET', url)
                if status == 200 and holds(json.loads(raw)):
                    return json.loads(raw)
                await anyio.sleep(0.01)


def content_of(body: object) -> bytes:
    """Return a body as bytes, encoded as JSON if needed."""
    if isinstance(body, bytes):
        return body
    return b'' if body is None else json.dumps(body).encode()


def run(steps: Callable[[Client], Awaitable[T]]) -> T:
    """Run a test with a client."""

    async def main() -> T:
        async with (
            anyio.create_task_group() as group,
            httpcore.AsyncConnectionPool() as pool,
        ):
            answer = await steps(Client(group, pool))
            group.cancel_scope.cancel()
        return answer

    return anyio.run(main)


def chat(prompt: str, tokens: int, **more: object) -> dict[str, object]:
    """Return the body of a chat request."""
    message = {'role': 'user', 'content': prompt}
    return {'messages': [message], 'max_tokens': tokens, **more}


def streamed_text(raw: bytes) -> tuple[str, bool]:
    """Return the text of a stream and whether it ended with `[DONE]`."""
    lines = [line[6:] for line in raw.decode().split('\n\n') if line]
    complete = lines[-1:] == ['[DONE]']
    chunks = [json.loads(line) for line in lines if line != '[DONE]']
    texts = [one['choices'][0]['delta']['content'] for one in chunks]
    return ''.join(texts), complete


@pytest.mark.parametrize('stream', [True, False])
def test_engine_answer_is_whole(stream: bool) -> None:
    """Guards against responses that differ from the predicted text."""

    async def steps(client: Client) -> str:
        engine = await client.group.start(run_engine, FAST)
        url = f'{engine.address}/v1/chat/completions'
        body = chat('hello', 5, stream=stream)
        _, raw = await client.call('POST', url, body)
        if stream:
            return streamed_text(raw)[0]
        return str(json.loads(raw)['choices'][0]['message']['content'])

    assert run(steps) == engine_text.answer_text('hello', 5)


def test_engine_resumes_at_any_token() -> None:
    """Guards against resumed streams that repeat or skip tokens."""

    async def steps(client: Client) -> list[str]:
        engine = await client.group.start(run_engine, FAST)
        url = f'{engine.address}/v1/chat/completions'
        texts = []
        for first in range(5):
            before = engine_text.answer_text('hello', first)
            body = chat(
                'hello',
                4,
                stream=True,
                resume_tokens=first,
                resume_text=before,
            )
            _, raw = await client.call('POST', url, body)
            texts.append(before + streamed_text(raw)[0])
        return texts

    assert set(run(steps)) == {engine_text.answer_text('hello', 4)}


def test_engine_runs_no_more_than_its_slots() -> None:
    """Guards against running more than `max_streams` streams at once."""

    async def steps(client: Client) -> tuple[int, list[str]]:
        engine = await client.group.start(run_engine, FAST)
        url = f'{engine.address}/v1/chat/completions'
        most = 0
        ended: list[str] = []

        async def one(name: str) -> None:
            await client.call('POST', url, chat(name, 5), name)
            ended.append(name)

        async with anyio.create_task_group() as group:
            for number in range(9):
                group.start_soon(one, f'r{number}')
                await anyio.sleep(0)
            while len(ended) < 9:
                most = max(most, len(engine.batch.running))
                await anyio.sleep(0.0005)
        return most, ended

    most, ended = run(steps)
    assert most == FAST.max_streams
    assert len(set(ended)) == 9


@pytest.mark.parametrize('by', ['cancel', 'disconnect', 'crash'])
def test_engine_breaks_streams_off(by: str) -> None:
    """Guards against aborted streams that look complete or keep running."""

    async def steps(client: Client) -> tuple[bool, int]:
        engine = await client.group.start(run_engine, FAST)
        address = engine.address
        complete = False
        async with client.pool.stream(
            'POST',
            f'http://{address}/v1/chat/completions',
            headers={'X-Request-Id': 'r1'},
            content=content_of(chat('hello', 100_000, stream=True)),
        ) as response:
            await client.until(f'{address}/load', lambda load: load['running'])
            if by == 'cancel':
                url = f'{address}/v1/requests/r1/cancel'
                assert (await client.call('POST', url))[0] == 200
            if by == 'crash':
                url = f'{address}/v1/chat/completions'
                assert (await client.call('POST', url, chat('CRASH', 1)))[
                    0
                ] == 0
                assert (await client.call('GET', f'{address}/health'))[0] == 0
            if by != 'disconnect':
                try:
                    complete = streamed_text(await response.aread())[1]
                except (httpcore.NetworkError, httpcore.ProtocolError):
                    complete = False
        url = f'{address}/v1/requests'
        await client.until(url, lambda body: not body['running'])
        return complete, engine.counts.crashes

    assert run(steps) == (False, 1 if by == 'crash' else 0)


def test_engine_refuses_invalid_prompts() -> None:
    """Guards against invalid prompts that are reported like crashes."""

    async def steps(client: Client) -> int:
        engine = await client.group.start(run_engine, FAST)
        url = f'{engine.address}/v1/chat/completions'
        return (await client.call('POST', url, chat('an INVALID one', 1)))[0]

    assert run(steps) == 400


def test_engine_moves_cache() -> None:
    """Guards against imported caches that do not save the prefill."""

    async def steps(client: Client) -> list[int]:
        first = await client.group.start(run_engine, FAST)
        second = await client.group.start(run_engine, FAST)
        path = '/v1/chat/completions'
        body = chat(LONG_PROMPT, 1)
        await client.call('POST', f'{first.address}{path}', body, 'r1')
        url = f'{first.address}/v1/requests/r1/export'
        _, exported = await client.call('POST', url)
        url = f'{second.address}/v1/requests/r1/import'
        assert (await client.call('POST', url, exported))[0] == 200
        answers = [
            await client.json('POST', f'{second.address}{path}', body),
            await client.json('POST', f'{second.address}{path}', chat('x', 1)),
        ]
        return [
            one['usage']['prompt_tokens_details']['cached_tokens']
            for one in answers
        ]

    assert run(steps) == [64, 0]


def test_engine_cache_events_have_gaps_and_evictions() -> None:
    """Guards against cache events that are more complete than an engine's."""
    options = EngineOptions(
        step_ms=1,
        cache_blocks=4,
        cache_event_lag_s=0,
        cache_event_gap_every=3,
    )

    async def steps(client: Client) -> list[tuple[int, str]]:
        engine = await client.group.start(run_engine, options)
        url = f'{engine.address}/v1/chat/completions'
        await client.call('POST', url, chat(LONG_PROMPT, 1))
        await client.call('POST', url, chat(f'other {LONG_PROMPT}', 1))
        listed = f'{engine.address}/cache_events?after=1'
        events = (await client.json('GET', listed))['events']
        return [(one['number'], one['kind']) for one in events]

    events = run(steps)
    assert [number for number, _ in events] == [2, 4, 5, 7, 8, 10, 11]
    assert events[-1][1] == 'evicted'


@pytest.mark.parametrize(
    ('check_tokens', 'status', 'model'),
    [(True, 409, 'new'), (False, 200, 'old')],
)
def test_engine_fencing(check_tokens: bool, status: int, model: str) -> None:
    """Guards against ignoring whether an engine checks fencing tokens."""
    options = EngineOptions(check_tokens=check_tokens, load_model_s=0)

    async def steps(client: Client) -> tuple[int, str, int]:
        engine = await client.group.start(run_engine, options)
        url = f'{engine.address}/orders'
        order = {'action': 'load', 'model': 'new', 'fencing_token': 5}
        assert (await client.call('POST', url, order))[0] == 200
        await client.until(url, lambda body: body['model'] == 'new')
        order = {'action': 'load', 'model': 'old', 'fencing_token': 4}
        stale, _ = await client.call('POST', url, order)
        state = await client.until(url, lambda body: not body['loading'])
        return stale, state['model'], state['highest_token']

    assert run(steps) == (status, model, 5)


def test_service_counts_executions_with_lost_answers() -> None:
    """Guards against duplicate executions that are not counted."""

    async def steps(client: Client) -> tuple[list[int], Any]:
        service = await client.group.start(run_service, ServiceOptions())
        service.faults.lose_answers = 1
        url = f'{service.address}/bookings'
        body = {'id': 'b1'}
        statuses = [(await client.call('POST', url, body))[0] for _ in 'ab']
        counted = await client.json('GET', f'{service.address}/executions')
        return statuses, counted

    assert run(steps) == ([0, 201], {'b1': 2})


def test_instance_list_lags() -> None:
    """Guards against a list that shows changes while it is frozen."""

    async def steps(client: Client) -> tuple[Any, Any]:
        standin = await client.group.start(run_instances, InstancesOptions())
        standin.faults.frozen = True
        url = f'{standin.address}/instances'
        await client.call('PUT', f'{url}/s1', {'role': 'sidecar'})
        before = await client.json('GET', url)
        standin.faults.frozen = False
        after = await client.json('GET', url)
        await client.call('DELETE', f'{url}/s1')
        assert await client.json('GET', url) == before
        return before, [one['state'] for one in after['instances']]

    assert run(steps) == ({'instances': []}, ['live'])


def test_instance_list_follows_its_file(tmp_path: Path) -> None:
    """Guards against a list that misses changes to its file."""
    path = tmp_path / 'instances.json'
    options = InstancesOptions(file=str(path))

    def write(*names: str) -> None:
        rows = [{'instance': name, 'role': 'entry'} for name in names]
        path.write_text(json.dumps({'instances': rows}))

    async def steps(client: Client) -> list[str]:
        write('e1', 'e2')
        standin = await client.group.start(run_instances, options)
        url = f'{standin.address}/instances'
        await client.until(url, lambda body: len(body['instances']) == 2)
        write('e2')
        body = await client.until(url, lambda one: len(one['instances']) == 1)
        return [one['instance'] for one in body['instances']]

    assert run(steps) == ['e2']


def test_faults_by_http() -> None:
    """Guards against fault switches that cannot be set over HTTP."""

    async def steps(client: Client) -> tuple[int, int, float]:
        engine = await client.group.start(run_engine, FAST)
        url = f'{engine.address}/faults'
        good, _ = await client.call('PUT', url, {'slow_factor': 2.5})
        bad, _ = await client.call('PUT', url, {'no_such_fault': 1})
        return good, bad, engine.faults.slow_factor

    assert run(steps) == (200, 400, 2.5)
