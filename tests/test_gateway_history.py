"""Tests that `explain` describes a request from the logs of several entries."""

from __future__ import annotations

from pathlib import Path

import pytest

from quetzaldyke.commands.explain import explain
from quetzaldyke.commands.timeline import parse_line

ENTRY_1_LOG = (
    't=1790382709.490 process=entry-1 event=request_not_placed request=ab12 '
    'service=lm reason=no_slot_in_time retry_after_s=0.85 '
    'expected_wait_ms=579 waiting=24 waiting_elsewhere=17 slots=40\n'
    't=1790382709.490 process=entry-1 event=request_failed request=ab12 '
    'route=r kind=stream status=503 reason=no_slot_in_time elapsed_ms=0 '
    'sends=0 attempts=0\n'
    't=1790382709.495 process=entry-1 event=request_unauthorized request=ef56 '
    'route=r reason=unknown_key config=7\n'
    't=1790382709.500 process=entry-1 event=request_served request=other '
    'endpoint=i-1 elapsed_ms=3 reason=served\n'
)
ENTRY_2_LOG = (
    't=1790382712.120 process=entry-2 event=attempt_failed request=cd34 '
    'endpoint=i-9 failure="broken reset" attempts=1 last_event=4 '
    'waited_ms=70 running=8 ejected_s=0.5\n'
    't=1790382712.121 process=entry-2 event=request_failed request=cd34 '
    'route=r kind=stream status=broken reason=broken elapsed_ms=80 sends=1 '
    'attempts=1\n'
    't=1790382712.400 process=entry-2 event=item_preempted item=cd34 '
    'endpoint=i-9 events=7\n'
)


def explain_lines(
    subject: str,
    folder: Path,
    capsys: pytest.CaptureFixture[str],
) -> list[str]:
    """Return the lines that `explain` prints."""
    paths = []
    for name, text in (
        ('entry-2.log', ENTRY_2_LOG),
        ('entry-1.log', ENTRY_1_LOG),
    ):
        path = folder / name
        path.write_text(text)
        paths.append(str(path))
    explain(subject, *paths)
    return capsys.readouterr().out.splitlines()


def test_refusal_under_load_is_explained(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against a refusal that `explain` does not explain."""
    lines = explain_lines('ab12', tmp_path, capsys)
    assert len(lines) == 4
    assert '40 slots, 24 waiting here, 17 at other entries' in lines[1]
    assert 'return after 0.85 s' in lines[1]
    assert 'no endpoint got the request' in lines[2]
    assert lines[3] == (
        'The caller was told that it has not run and when to return.'
    )


def test_events_within_a_millisecond_keep_their_order(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against losing events with nearly the same timestamp."""
    lines = explain_lines('cd34', tmp_path, capsys)
    assert 'broken reset; event 4 was the last one passed on whole' in lines[1]
    assert 'no work from here for 0.5 s' in lines[1]
    assert 'cut the answer short' in lines[2]
    assert 'make room for an online request' in lines[3]
    assert lines[-1].startswith('The caller saw a failure')


@pytest.mark.parametrize(
    'line',
    [
        '',
        'event=x',
        't=1 process=a event=x',
        't=1.0 event=x',
        't=1.0 process=a',
    ],
)
def test_foreign_lines_are_ignored(line: str) -> None:
    """Guards against a crash on lines that no gateway process wrote."""
    assert parse_line(line) is None


def test_rejected_key_is_explained(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a 401 without a word on which version decided it."""
    lines = explain_lines('ef56', tmp_path, capsys)
    assert any(
        'entry-1 rejected it with 401: no organisation holds its API key by '
        'version 7 of the configuration' in line
        for line in lines
    )
