"""Tests of early ends at the endpoint of a sidecar, on real sockets.

The cases are those of test_early_ends.py: an answer without length that ends,
or is reset, before its endpoint has received the whole request.
"""

from __future__ import annotations

import anyio
import pytest
from result import Ok, Result

from early_endpoint import EarlyEndpoint, early_endpoint
from quetzaldyke.connection.http_endpoint import (
    Answer,
    ConnectionPool,
    EndpointFailure,
)
from quetzaldyke.connection.service_client import ServiceClient
from sidecar_rig import make_submit

pytestmark = pytest.mark.anyio

PART = b'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart'
# The operating system takes this much of a request that nobody reads, so that
# the request counts as sent.
UPLOAD = 1_000_000


@pytest.fixture(params=[False, True], ids=['asyncio', 'uvloop'])
def anyio_backend(
    request: pytest.FixtureRequest,
) -> tuple[str, dict[str, object]]:
    """Run on both event loops: the programs use uvloop, most tests don't."""
    return 'asyncio', {'use_uvloop': request.param}


async def upload(
    endpoint: EarlyEndpoint, size: int
) -> Result[Answer, EndpointFailure]:
    """Return the outcome of a request with a body of some bytes."""
    pool = ConnectionPool(f'127.0.0.1:{endpoint.port}')
    submit = make_submit(path='/', body=bytes(size), idempotent=False)

    async def ignore_chunk(_chunk: bytes) -> None:
        """Drop a part of the body."""

    outcome = await ServiceClient(pool).run(submit, ignore_chunk)
    assert not any(connection.reusable for connection in pool.idle)
    await pool.aclose()
    return outcome


# Guards against a part of an answer that counts as whole because its endpoint
# reset the connection, whether or not the end of the stream came before.
@pytest.mark.parametrize('ending', [False, True], ids=['reset', 'end, reset'])
@pytest.mark.parametrize('size', [10, UPLOAD, 12 * UPLOAD])
async def test_answer_that_is_reset_is_not_complete(
    size: int, ending: bool
) -> None:
    """It is unknown whether a request ran whose answer was reset."""
    with anyio.fail_after(20):
        async with early_endpoint(
            PART, ending=ending, resetting=True
        ) as endpoint:
            outcome = await upload(endpoint, size)
    assert outcome.unwrap_err().ran == 'unknown'


# Guards against a part of an answer that counts as whole because its endpoint
# closed the connection, which resets it, before the upload was received.
async def test_reset_behind_the_end_breaks_the_answer() -> None:
    """An end before the whole request was received is no end yet."""
    with anyio.fail_after(20):
        async with early_endpoint(PART, ending=True) as endpoint:
            outcomes: list[Result[Answer, EndpointFailure]] = []

            async def run() -> None:
                outcomes.append(await upload(endpoint, UPLOAD))

            async with anyio.create_task_group() as group:
                group.start_soon(run)
                await endpoint.answered.wait()
                await anyio.sleep(0.05)
                assert not outcomes
                endpoint.reset()
    assert outcomes[0].unwrap_err().ran == 'unknown'


# Guards against refusing a whole answer of an endpoint that ends it early and
# then reads the rest of the request.
async def test_early_answer_is_whole_if_the_upload_is_received() -> None:
    """An answer counts from the receipt of the request on."""
    with anyio.fail_after(20):
        async with early_endpoint(PART, ending=True) as endpoint:
            outcomes: list[Result[Answer, EndpointFailure]] = []

            async def run() -> None:
                outcomes.append(await upload(endpoint, UPLOAD))

            async with anyio.create_task_group() as group:
                group.start_soon(run)
                await endpoint.answered.wait()
                await endpoint.read_on(UPLOAD)
    assert isinstance(outcomes[0], Ok)
    assert outcomes[0].ok_value.body == b'part'
