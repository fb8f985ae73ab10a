"""Tests the operators' and callers' commands against a running fleet."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from entry_rig import Fleet, configuration, make_fleet, until
from quetzaldyke.commands import config, job
from quetzaldyke.commands.check_settings import check, check_settings
from quetzaldyke.commands.explain import explain as explain_command
from quetzaldyke.commands.http_client import Response
from quetzaldyke.commands.timeline import (
    merge_matching,
    parse_line,
    read_log,
    timeline,
)
from quetzaldyke.parts.hlc import Stamp
from quetzaldyke.parts.timeline import Event
from quetzaldyke.process.entry_table import ENTRY_PARTS
from quetzaldyke.process.explain import SENTENCES, explain
from quetzaldyke.process.logs import render_line

KEY = 'operator-key-0001'
SET_TRIES = [{'op': 'replace', 'path': '/max_item_tries', 'value': 7}]


async def run(command: Callable[..., None], *args: Any, **flags: Any) -> int:
    """Run a command in a thread and return its exit status."""

    def call() -> int:
        try:
            command(*args, **flags)
        except SystemExit as exc:
            return int(exc.code or 0)
        return 0

    return await anyio.to_thread.run_sync(call)


def with_fleet(
    scenario: Callable[[Fleet, dict[str, str]], Awaitable[None]],
) -> None:
    """Run a scenario on two entries with a stored configuration."""

    async def main() -> None:
        async with make_fleet(
            engines=1, entries=2, entry={'parts': ENTRY_PARTS}
        ) as fleet:
            flags = {
                'operators_address': fleet.entry().operators_address,
                'operator_key': KEY,
            }
            whole = configuration().model_dump(mode='json')
            stored = [{'op': 'replace', 'path': '', 'value': whole}]
            assert await run(config.patch, stored, base_version=0, **flags) == 0
            await scenario(fleet, flags)

    anyio.run(main)


def test_config_commands(capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against commands that misreport the outcome in the fleet."""

    def printed() -> Any:
        return json.loads(capsys.readouterr().out)

    async def scenario(fleet: Fleet, flags: dict[str, str]) -> None:
        capsys.readouterr()
        patched = await run(config.patch, SET_TRIES, patch_id='p1', **flags)
        assert (patched, printed()) == (0, {'version': 2, 'repeated': False})
        again = await run(
            config.patch, SET_TRIES, base_version=1, patch_id='p1', **flags
        )
        assert (again, printed()) == (0, {'version': 2, 'repeated': True})
        stale = await run(config.patch, SET_TRIES, base_version=1, **flags)
        refusal = printed()['error']
        assert (stale, refusal['code'], refusal['version']) == (1, 'stale', 2)
        assert refusal['accepted'] == 'no'
        invalid = [{'op': 'replace', 'path': '/max_item_tries', 'value': 0}]
        assert await run(config.patch, invalid, **flags) == 1
        assert '/max_item_tries' in str(printed()['error']['findings'])
        assert await run(config.wait, 2, **flags) == 0
        assert printed()['behind'] == []
        assert fleet.entry('entry-2').config.current.max_item_tries == 7
        assert await run(config.wait, 3, timeout_s=0.2, **flags) == 1
        assert printed()['behind'] == ['engine-1', 'entry-1', 'entry-2']
        assert await run(config.get, **flags) == 0
        assert printed()['document']['max_item_tries'] == 7
        assert await run(config.history, **flags) == 0
        assert [one['patch_id'] for one in printed()['patches']][1:] == ['p1']

    with_fleet(scenario)


def test_outage_is_reported_and_the_patch_can_be_retried(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against losing a patch or applying it twice in an outage."""

    async def scenario(fleet: Fleet, flags: dict[str, str]) -> None:
        fleet.kv.faults.lose_answers = 2
        sent = {'base_version': 1, 'patch_id': 'p1', **flags}
        assert await run(config.patch, SET_TRIES, **sent) == 0
        fleet.kv.faults.down = True
        capsys.readouterr()
        assert await run(config.history, **flags) == 1
        fleet.kv.faults.down = False
        await until(lambda: fleet.entry().config.version == 2)
        assert await run(config.patch, SET_TRIES, **sent) == 0
        assert '"repeated": true' in capsys.readouterr().out

    with_fleet(scenario)


@pytest.mark.parametrize('key', ['x', 'key-of-barf-0001', KEY[:-1]])
def test_operators_paths_need_the_operators_key(key: str) -> None:
    """Guards against callers that read or change the configuration."""

    async def scenario(fleet: Fleet, flags: dict[str, str]) -> None:
        address = fleet.entry().operators_address
        for method, path in (
            ('GET', '/config'),
            ('POST', '/config/patches'),
            ('GET', '/config/wait'),
            ('GET', '/config/history'),
            ('GET', '/fleet'),
            ('GET', '/events'),
            ('GET', '/metrics'),
            ('GET', '/explain/x'),
        ):
            answer = await fleet.http.request(
                method,
                f'http://{address}{path}',
                headers={'authorization': f'Bearer {key}'},
            )
            assert answer.status == 401, path
        for path in ('/healthz', '/readyz'):
            answer = await fleet.http.request('GET', f'http://{address}{path}')
            assert answer.status == 200

    with_fleet(scenario)


def test_patch_is_retried_unchanged_until_outcome_is_known() -> None:
    """Guards against a retry under another id, which could apply twice."""
    statuses = [0, 503, 200, 200]
    sent: list[bytes] = []

    class Lossy:
        def call(self, method: str, path: str, content: bytes) -> Response:
            """Return the prepared statuses; 0 is a lost response."""
            sent.append(content)
            return Response(statuses.pop(0), b'{}')

    answer = config.submit_with_retries(Lossy(), b'patch', 0)  # type: ignore[arg-type]
    assert answer.status == 200
    assert sent == [b'patch'] * 3


def test_job_commands(
    capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    """Guards against jobs that the command line can't submit or monitor."""
    items = [
        {
            'custom_id': f'item-{number}',
            'method': 'POST',
            'url': '/v1/completions',
            'body': {
                'model': 'orders',
                'prompt': f'p{number}',
                'max_tokens': 3,
            },
        }
        for number in range(3)
    ]
    path = tmp_path / 'items.jsonl'
    path.write_text(''.join(f'{json.dumps(item)}\n' for item in items))

    def printed() -> Any:
        return json.loads(capsys.readouterr().out)

    async def scenario(fleet: Fleet, flags: dict[str, str]) -> None:
        caller = {
            'callers_address': fleet.entry().callers_address,
            'caller_key': 'key-of-barf-0001',
        }
        capsys.readouterr()
        target = '/v1/completions'
        assert await run(job.submit, str(path), target, **caller) == 0
        job_id = printed()['id']
        assert await run(job.submit, str(path), target, **caller) == 0
        assert printed()['id'] == job_id
        finished = ''
        while finished != 'completed':
            assert await run(job.status, job_id, **caller) == 0
            finished = printed()['status']
            await anyio.sleep(0.05)
        assert await run(job.results, job_id, **caller) == 0
        lines = capsys.readouterr().out.splitlines()
        assert sorted(json.loads(one)['custom_id'] for one in lines) == [
            'item-0',
            'item-1',
            'item-2',
        ]
        assert await run(job.status, 'job-absent', **caller) == 1

    with_fleet(scenario)


def test_history_of_a_request_from_all_processes(
    capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    """Guards against a history without the events of the endpoint."""

    async def scenario(fleet: Fleet, flags: dict[str, str]) -> None:
        answer = await fleet.complete('hello')
        assert answer.whole
        events = fleet.entry().timeline.events
        name = next(
            event.fields['request_id']
            for event in events
            if event.name == 'request_ended'
        )
        capsys.readouterr()
        assert await run(explain_command, name, **flags) == 0
        text = capsys.readouterr().out
        parts = (
            'Endpoint engine-1 began to work on it as a live request.',
            'Endpoint engine-1 finished it with 20 tokens',
            'entry-1 gave the caller the whole answer of endpoint engine-1, '
            'try 1, with 20 tokens.',
            'The caller has the whole answer.',
        )
        positions = [text.find(part) for part in parts]
        assert -1 not in positions
        assert positions == sorted(positions)
        assert await run(timeline, contains=name, **flags) == 0
        lines = capsys.readouterr().out.splitlines()
        assert lines == sorted(lines)
        assert {line.split()[0].split('@')[1] for line in lines} == {
            'entry-1',
            'engine-1',
        }

    with_fleet(scenario)


@given(
    fields=st.dictionaries(
        st.from_regex('[a-z_]{1,8}', fullmatch=True).filter(
            lambda name: name not in {'event', 'stamp', 'process'}
        ),
        st.text(st.characters(codec='utf-8', exclude_categories=('C', 'Z')))
        | st.sampled_from(('a b', 'x="y"', '\\n', 'line\nline', '', '=')),
        max_size=4,
    )
)
def test_log_lines_are_read_back(fields: dict[str, str]) -> None:
    """Guards against truncated or split fields when logs are parsed."""
    stamp = Stamp(5, 2, 'e1')
    message = {'message_type': 'x', 'stamp': stamp, 'process': 'e1', **fields}
    assert parse_line(render_line(message)) == Event(stamp, 'x', fields)


def test_files_are_merged_in_stamp_order(tmp_path: Path) -> None:
    """Guards against lost, duplicated or misordered events."""
    stamps = [Stamp(number, 0, name) for number in (3, 1, 2) for name in 'ab']
    lines = [
        render_line({'message_type': 'x', 'stamp': stamp, 'id': 'r1'})
        for stamp in stamps
    ]
    first, second = tmp_path / 'a.log', tmp_path / 'b.log'
    first.write_text('\n'.join(['starting up', *lines[::2], 'event=cut sta']))
    second.write_text('\n'.join(lines))
    files = [read_log(str(first)), read_log(str(second))]
    assert [one.stamp for one in merge_matching(files, '')] == sorted(stamps)
    assert merge_matching(files, 'r2') == []


def test_every_event_has_a_sentence() -> None:
    """Guards against a failing explanation when a field is missing."""
    stamp = Stamp(1_700_000_000_000, 0, 'entry-1')
    events = [Event(stamp, name, {}) for name in (*SENTENCES, 'peer_lost')]
    lines = explain('r1', events).splitlines()
    assert len(lines) == len(events) + 2
    assert all(line.endswith('.') for line in lines)
    assert all('At 22:13:20: ' in line for line in lines[1:-1])
    assert 'Nothing is known of r1' in explain('r1', [])


@pytest.mark.parametrize(
    ('ran', 'expected'),
    [
        ('not_run', 'it was certainly not run'),
        ('ran', 'it had run'),
        ('unknown', 'it is not known whether it ran'),
        ('', 'it is not known whether it ran'),
    ],
)
def test_sentences_say_whether_work_ran(ran: str, expected: str) -> None:
    """Guards against stating that a booking did not run when it may have."""
    fields = {'ran': ran, 'endpoint': 'engine-1', 'attempt': '1'}
    event = Event(Stamp(1, 0, 'entry-1'), 'attempt_failed', fields)
    assert expected in explain('r1', [event])


SIDECAR_FLAGS = [
    *('--instance', 's1', '--failure-domain', 'a'),
    *('--peer-address', '127.0.0.1:7000'),
    *('--fleet-secret', '0123456789012345'),
    *('--endpoint-address', '127.0.0.1:8000', '--pool', 'orders'),
]


@pytest.mark.parametrize(
    ('arguments', 'environ', 'places'),
    [
        (['sidecar', *SIDECAR_FLAGS], {}, []),
        (['sidecar', *SIDECAR_FLAGS[2:]], {'QUETZALDYKE_INSTANCE': 's1'}, []),
        (
            ['sidecar', *SIDECAR_FLAGS[4:]],
            {},
            [
                '--failure-domain / QUETZALDYKE_FAILURE_DOMAIN',
                '--instance / QUETZALDYKE_INSTANCE',
            ],
        ),
        (
            ['sidecar', *SIDECAR_FLAGS, '--max-streams=0', '--colour', 'red'],
            {'QUETZALDYKE_POOLS': 'x', 'HOME': '/'},
            [
                '--colour / QUETZALDYKE_COLOUR',
                '--max-streams / QUETZALDYKE_MAX_STREAMS',
                'QUETZALDYKE_POOLS',
            ],
        ),
        ([], {}, ['ROLE']),
        (['daemon'], {}, ['ROLE']),
    ],
)
def test_check_settings_reports_every_finding(
    arguments: list[str], environ: dict[str, str], places: list[str]
) -> None:
    """Guards against reporting only the first of several errors."""
    findings = check(arguments, environ).findings
    assert sorted(one.place for one in findings) == places


def test_check_settings_exits_with_two(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a start script that continues with invalid settings."""
    monkeypatch.setattr('sys.argv', ['quetzaldyke', 'check-settings', 'entry'])
    with pytest.raises(SystemExit) as stopped:
        check_settings('entry')
    assert stopped.value.code == 2
    assert '--kv-address / QUETZALDYKE_KV_ADDRESS' in capsys.readouterr().err
