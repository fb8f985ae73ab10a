"""Tests of configurations with odd numbers."""

from __future__ import annotations

import json
import random
from typing import Any, Final

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from quetzaldyke.gateway.configuration_feed import ConfigurationFeed
from quetzaldyke.gateway.model import Configuration
from quetzaldyke.gateway.route_table import choose_service
from quetzaldyke.parts.transactions import WatchedChange
from quetzaldyke.platform.records import decode_configuration

ROUTE: Final[dict[str, Any]] = {
    'name': 'r',
    'host': 'h',
    'prefix': '/p/',
    'kind': 'batch',
    'timeout-ms': 5_000,
}
# A year in seconds: no timer and no header needs more.
YEAR_S: Final = 31_536_000


def encode(version: object = 7, **changes: object) -> bytes:
    """Return a configuration whose only route has changed fields."""
    fields = {key.replace('_', '-'): value for key, value in changes.items()}
    route = {**ROUTE, **fields}
    return json.dumps(
        {'version': version, 'routes': [route], 'services': []}
    ).encode()


@pytest.mark.parametrize(
    'raw',
    [
        encode(timeout_ms='NaN'),
        encode(timeout_ms='Infinity'),
        encode(timeout_ms='1e999'),
        encode(goal_ms='-inf'),
        encode(max_wait_s='nan'),
        encode(backends=[{'service': 'a', 'weight': 'nan'}]),
        encode(backends=[{'service': 'a', 'weight': 1e308}] * 2),
        encode(max_attempts='9' * 5_000),
        encode(priority=str(2**70)),
        encode(cap=str(2**70)),
        encode(version='9' * 4_000),
        b'[' * 200_000,
        b'{"version":' + b'9' * 5_000 + b'}',
    ],
)
def test_number_that_nothing_can_use_is_refused(raw: bytes) -> None:
    """Guards against a configuration with which every request fails.

    A version beyond 64 bits would also keep all later versions out.
    """
    decoded = decode_configuration(raw)
    assert isinstance(decoded, Err)
    assert len(decoded.err_value) <= 220


@pytest.mark.parametrize('time', [1e308, 1e300, 2**63])
def test_long_time_is_cut(time: float) -> None:
    """Guards against timers and headers that overflow."""
    decoded = decode_configuration(
        encode(timeout_ms=time, goal_ms=time, max_wait_s=time)
    )
    assert isinstance(decoded, Ok)
    route = decoded.ok_value.routes[0]
    assert route.batch is not None
    assert 0 < route.timeout_s < YEAR_S
    assert 0 < route.target_s < YEAR_S
    assert 0 < route.batch.max_wait_s < 40 * YEAR_S


def test_odd_configuration_leaves_the_active_one() -> None:
    """Guards against a feed that stops at a configuration it can't read."""
    applied: list[Configuration] = []
    feed = ConfigurationFeed(lambda: 0.0, applied.append)
    changes = [
        WatchedChange('op/config', 1, encode(version=1)),
        WatchedChange('op/config', 2, encode(version='9' * 4_000)),
        WatchedChange('op/config', 3, encode(version=2)),
    ]
    feed.on_changes(changes, 3)
    assert [one.version for one in applied] == [1, 2]


NUMBERS: Final = (
    st.integers()
    | st.floats()
    | st.sampled_from([2**64, 10**400, 1e308, '9' * 5_000, 'nan', 'inf', '-1'])
    | st.none()
    | st.lists(st.integers(), max_size=2)
)
FIELDS: Final = ('timeout_ms', 'goal_ms', 'max_attempts', 'priority', 'cap')


@given(
    st.dictionaries(st.sampled_from(FIELDS), NUMBERS),
    st.lists(NUMBERS, max_size=3),
)
def test_any_configuration_is_refused_or_routes_requests(
    changes: dict[str, object], weights: list[object]
) -> None:
    """Guards against numbers that raise when a request is routed."""
    backends = [{'service': 'a', 'weight': weight} for weight in weights]
    decoded = decode_configuration(encode(**changes, backends=backends))
    if isinstance(decoded, Ok):
        route = decoded.ok_value.routes[0]
        choose_service(route, random.Random(1))
        assert b'%d' % int(route.timeout_s)
        assert route.timeout_s < YEAR_S
