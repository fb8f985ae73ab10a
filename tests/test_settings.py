"""Tests of the settings' checks and of their page."""

from __future__ import annotations

from pathlib import Path

import pytest
from result import Err

from quetzaldyke.commands.settings_page import render
from quetzaldyke.parts.errors import Errors
from quetzaldyke.process.settings import (
    EntrySettings,
    SidecarSettings,
    load_settings,
)

PAGE = Path(__file__).parent.parent / 'docs' / 'operations' / 'settings.md'

GOOD = {
    'instance': 's1',
    'failure_domain': 'a',
    'peer_address': '127.0.0.1:0',
    'fleet_secret': 'a-secret-of-the-fleet',
    'endpoint_address': '127.0.0.1:9000',
    'pool': 'orders',
}


def test_settings_page_is_current() -> None:
    """Guards against a page that names other flags than the program."""
    assert PAGE.read_text() == render()


@pytest.mark.parametrize(
    ('changes', 'places'),
    [
        ({}, []),
        ({'peer_address': 'host:80'}, ['--peer-address']),
        ({'peer_address': '127.0.0.1:99999'}, ['--peer-address']),
        ({'fleet_secret': 'short'}, ['--fleet-secret']),
        ({'nonsense': '1'}, ['--nonsense']),
        (
            {'max_streams': '0', 'endpoint_kind': 'other', 'pool': ''},
            ['--endpoint-kind', '--max-streams', '--pool'],
        ),
    ],
)
def test_every_finding_is_reported(
    changes: dict[str, str],
    places: list[str],
) -> None:
    """Guards against a restart for each single mistake."""
    loaded = load_settings(SidecarSettings, GOOD | changes, {})
    errors = loaded.err_value if isinstance(loaded, Err) else Errors()
    findings = sorted(errors.findings)
    assert [one.place.split(' ')[0] for one in findings] == places


def test_findings_hold_no_secret() -> None:
    """Guards against a secret in the output of a failed start."""
    flags = {'fleet_secret': 'sekrit', 'operator_key': 'sekrit-too'}
    loaded = load_settings(EntrySettings, flags, {})
    assert 'sekrit' not in loaded.unwrap_err().render()


def test_flags_win_over_variables() -> None:
    """Guards against a variable that silently overrides a flag."""
    environ = {'QUETZALDYKE_POOL': 'other', 'QUETZALDYKE_MAX_STREAMS': '3'}
    settings = load_settings(SidecarSettings, GOOD, environ).unwrap()
    assert (settings.pool, settings.max_streams) == ('orders', 3)
