"""Tests of the command that runs a stand-in."""

from __future__ import annotations

import os
import signal
from typing import Any

import anyio
import pytest

from quetzaldyke.commands.standin import (
    KINDS,
    parse_options,
    run_standin,
    serve_standin,
)


@pytest.mark.parametrize('kind', KINDS)
@pytest.mark.parametrize('number', [signal.SIGTERM, signal.SIGINT])
def test_signal_stops_it(
    kind: str,
    number: int,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against stand-ins that keep running after a stop signal."""

    async def main() -> None:
        options = parse_options(kind, {}).unwrap()
        async with anyio.create_task_group() as group:
            group.start_soon(serve_standin, kind, options)
            while 'standin_started' not in capsys.readouterr().out:
                await anyio.sleep(0.01)
            os.kill(os.getpid(), number)

    anyio.run(main)


@pytest.mark.parametrize(
    ('kind', 'flags', 'places'),
    [
        ('engine', {'check_tokens': 1}, ['--check-tokens']),
        ('engine', {'max_streams': True}, ['--max-streams']),
        ('service', {'address': 'localhost:1'}, ['--address']),
        ('kv', {'seed': 'x', 'no_such': 1}, ['--no-such', '--seed']),
        ('unknown', {}, ['kind']),
    ],
)
def test_wrong_flags_are_reported_together(
    kind: str,
    flags: dict[str, Any],
    places: list[str],
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against invalid flags that are silently ignored."""
    with pytest.raises(SystemExit) as exit_info:
        run_standin(kind, **flags)
    assert exit_info.value.code == 2
    lines = capsys.readouterr().err.splitlines()
    assert [line.partition(':')[0] for line in lines] == places
