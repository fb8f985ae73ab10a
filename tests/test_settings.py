"""Tests of the validation of settings and of their documentation page."""

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

VALID_SETTINGS = {
    'instance': 's1',
    'failure_domain': 'a',
    'peer_address': '127.0.0.1:0',
    'fleet_secret': 'a-secret-of-the-fleet',
    'endpoint_address': '127.0.0.1:9000',
    'pool': 'orders',
}


def test_settings_page_is_current() -> None:
    """Guards against documented flags that differ from the program's."""
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
    """Guards against reporting only the first of several errors."""
    loaded = load_settings(SidecarSettings, VALID_SETTINGS | changes, {})
    errors = loaded.err_value if isinstance(loaded, Err) else Errors()
    findings = sorted(errors.findings)
    assert [one.place.split(' ')[0] for one in findings] == places


def test_findings_hold_no_secret() -> None:
    """Guards against secrets in the error output of a failed start."""
    flags = {'fleet_secret': 'sekrit', 'operator_key': 'sekrit-too'}
    loaded = load_settings(EntrySettings, flags, {})
    assert 'sekrit' not in loaded.unwrap_err().render()


def test_flags_take_precedence_over_variables() -> None:
    """Guards against an environment variable that overrides a flag."""
    environ = {'QUETZALDYKE_POOL': 'other', 'QUETZALDYKE_MAX_STREAMS': '3'}
    settings = load_settings(SidecarSettings, VALID_SETTINGS, environ).unwrap()
    assert (settings.pool, settings.max_streams) == ('orders', 3)
