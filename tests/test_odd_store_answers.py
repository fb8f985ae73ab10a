"""Tests of odd answers of the key-value service."""

from __future__ import annotations

import json
from typing import Any, Final
from unittest import mock

import httpcore
import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from quetzaldyke.connection.kv_http import HttpKeyValueStore

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    """Run on asyncio only."""
    return 'asyncio'


JSON_VALUES: Final = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(['kvs', 'key', 'header', 'revision', 'ID']),
            inner,
            max_size=3,
        )
    ),
    max_leaves=8,
)


@given(JSON_VALUES.map(json.dumps))
async def test_any_answer_of_the_service_is_an_answer_or_an_error(
    text: str,
) -> None:
    """Guards against an answer in another form that ends a task."""
    store = HttpKeyValueStore.from_address('127.0.0.1:1')
    response = httpcore.Response(200, content=text.encode())
    await response.aread()
    answer: Any = mock.AsyncMock(return_value=response)
    with mock.patch.object(type(store.calls), 'request', answer):
        results = [
            await store.get('k'),
            await store.list_prefix('p'),
            await store.put_if('k', b'', 0),
            await store.grant_lease(1),
            await store.keep_alive(1),
        ]
    assert all(isinstance(one, (Ok, Err)) for one in results)
