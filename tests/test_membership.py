"""Tests of the instance list that entries read."""

from __future__ import annotations

import json
from typing import Any

import anyio
import pytest

from entry_rig import make_fleet, until
from quetzaldyke.process.membership import parse_list

DEEP = 150


def nested(depth: int) -> object:
    """Return a list nested so deeply."""
    found: object = []
    for _ in range(depth):
        found = [found]
    return found


ODD_ROWS: dict[str, object] = {
    'port-too-large': {'peer_address': '127.0.0.1:99999'},
    'port-negative': {'peer_address': '127.0.0.1:-5'},
    'port-of-many-digits': {'peer_address': f'127.0.0.1:{"9" * 5000}'},
    'address-without-host': {'peer_address': ':80'},
    'nested': {'pool': nested(DEEP)},
    'number': {'failure_domain': 10**400},
    'no-fields': {'peer_address': None},
}


def row(name: str, **more: Any) -> dict[str, Any]:
    """Return a row of the list."""
    return {
        'instance': name,
        'role': 'sidecar',
        'failure_domain': 'a',
        'peer_address': '127.0.0.1:80',
        **more,
    }


@pytest.mark.parametrize('odd', ODD_ROWS.values(), ids=ODD_ROWS)
def test_odd_row_leaves_the_others_readable(odd: dict[str, Any]) -> None:
    """Guards against entries that stop following the list for one row."""
    rows = [row('first'), row('odd', **odd), row('last'), 5, None]
    parsed = parse_list(json.dumps({'instances': rows}).encode()).unwrap()
    assert [one.instance for one in parsed.instances] == ['first', 'last']
    assert parsed.invalid_names == ['odd', '', '']
    assert parsed.fault


@pytest.mark.parametrize(
    'body',
    [b'', b'[' * 200_000, b'5', b'{"instances": {}}', b'\xff'],
    ids=['empty', 'deep', 'number', 'no-list', 'bytes'],
)
def test_body_that_is_no_list_is_an_error(body: bytes) -> None:
    """Guards against a process that ends over a malformed list."""
    assert parse_list(body).is_err()


def test_entry_follows_the_list_beside_an_odd_row() -> None:
    """Guards against requests to no new endpoint while one row is odd."""

    async def scenario() -> None:
        async with make_fleet(engines=1) as fleet:
            fleet.list_instance('odd', 'sidecar', peer_address='1.2.3.4:99999')
            await fleet.add_engine('engine-2')
            links = fleet.entry().fleet.links_of
            await until(lambda: len(links('orders')) == 2)

    anyio.run(scenario)
