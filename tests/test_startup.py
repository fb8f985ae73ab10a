"""Tests of what an entry loads before it can answer its first request."""

from __future__ import annotations

import os
from typing import Final

import pytest

from quetzaldyke.commands.startup import load_entry
from quetzaldyke.gateway import logs
from quetzaldyke.gateway.logs import LineRateLimiter, LineWriter, log_event

# A new dependency brings tens of modules; the counts do not depend on the
# machine. The project's own modules are small, and loaded from bytecode.
MAX_LIBRARY_MODULES: Final = 380
MAX_OWN_MODULES: Final = 145
# Not needed before the first answer, or not at all.
LATER: Final = (
    'eliot',
    'fire',
    'hdrh',
    'pyrsistent',
    'quetzaldyke.gateway.batch_runner',
    'quetzaldyke.gateway.item_run',
    'quetzaldyke.gateway.job_owner',
    'starlette',
    'zope',
)


def test_entry_loads_few_modules_before_it_answers() -> None:
    """Guards against callers that wait while a restarted fleet imports."""
    modules = load_entry().modules
    assert not set(LATER) & set(modules)
    own = [name for name in modules if name.startswith('quetzaldyke')]
    assert len(own) <= MAX_OWN_MODULES
    assert len(modules) - len(own) <= MAX_LIBRARY_MODULES


def test_events_reach_the_destination(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against log lines lost or reordered on their way to the pipe."""
    reader, writer_end = os.pipe()
    writer = LineWriter(writer_end, 'p', LineRateLimiter())
    monkeypatch.setattr(logs, 'DESTINATIONS', [writer.write])
    log_event('config_applied', version=3, reason='a b')
    line = os.read(reader, 1000).decode()
    os.close(reader)
    os.close(writer_end)
    assert line.endswith(
        ' process=p event=config_applied version=3 reason="a b"\n'
    )


def test_lost_log_reader_stops_nothing() -> None:
    """Guards against requests that fail because a log reader has gone."""
    reader, writer_end = os.pipe()
    os.close(reader)
    writer = LineWriter(writer_end, 'p', LineRateLimiter())
    writer.write({'message_type': 'event'})
    os.close(writer_end)
    assert writer.dropped == 1
