"""Tests of odd content in the lists and values that an entry follows."""

from __future__ import annotations

import json
from typing import Final
from unittest import mock

import pytest
from result import Err, Ok

from quetzaldyke.connection.links import dial
from quetzaldyke.process.membership import parse_list

pytestmark = pytest.mark.anyio

# A fault names the field and the rule, not the content.
MAX_FAULT_CHARS: Final = 200
ROW: Final = {
    'instance': 'e1',
    'role': 'entry',
    'failure_domain': 'a',
    'peer_address': '127.0.0.1:7000',
}


@pytest.fixture
def anyio_backend() -> str:
    """Run on asyncio only."""
    return 'asyncio'


@pytest.mark.parametrize(
    'odd',
    [
        {**ROW, 'peer_address': '127.0.0.1:99999'},
        {**ROW, 'peer_address': '127.0.0.1:-5'},
        {**ROW, 'peer_address': '127.0.0.1:' + '9' * 5_000},
        {**ROW, 'peer_address': 'x' * 1_000_000},
        {**ROW, 'role': 'other'},
        {**ROW, 'instance': None},
        {},
        7,
        None,
        [[[]]],
    ],
)
def test_odd_instance_hides_no_other(odd: object) -> None:
    """Guards against entries that stop following the list at an odd row."""
    body = json.dumps({'instances': [odd, ROW]}).encode()
    parsed = parse_list(body)
    assert isinstance(parsed, Ok)
    assert [one.instance for one in parsed.ok_value.instances] == ['e1']
    assert 0 < len(parsed.ok_value.fault) <= MAX_FAULT_CHARS


@pytest.mark.parametrize(
    'body', [b'', b'7', b'[]', b'[' * 200_000, b'{"instances": {}}', b'\xff']
)
def test_content_that_is_no_list_is_refused(body: bytes) -> None:
    """Guards against content that raises an error of another type."""
    assert isinstance(parse_list(body), Err)


@pytest.mark.parametrize(
    'address', ['', 'x', '127.0.0.1:', '127.0.0.1:99999', '..:80', 'a\0:80']
)
async def test_peer_with_an_odd_address_is_not_dialled(address: str) -> None:
    """Guards against an error of a dial that ends the whole process."""
    assert not await dial(address, mock.Mock())
