"""Reads the results of a job page by page, as far as an entry knows them."""

from __future__ import annotations

from typing import Final

import anyio
from result import Err, Ok, Result

from quetzaldyke.gateway.job_store import JobStore
from quetzaldyke.gateway.job_table import JobView
from quetzaldyke.parts.kv import KvError
from quetzaldyke.platform.jobs import ItemResult, encode_results

MAX_PAGE_BYTES: Final = 900_000


async def read_page(
    store: JobStore, view: JobView, after: int
) -> Result[bytes, KvError]:
    """Return an encoded page of results, bounded by its output size."""
    assert view.record is not None
    assert view.state is not None
    results: list[ItemResult] = []
    size = 0
    for result in view.state.results[after:]:
        outputs = await store.read_outputs(
            view.record.job_id,
            result.part,
        )
        if isinstance(outputs, Err):
            return outputs
        output = outputs.ok_value[result.item]
        size += len(output)
        if results and size > MAX_PAGE_BYTES:
            break
        item = view.record.items[result.item]
        results.append(ItemResult(item.item_id, result.completed, output))
    total = len(view.record.items)
    return Ok(encode_results(total, after, results))


async def wait_for_result(view: JobView, after: int, wait_s: float) -> None:
    """Wait until a position has a result, the job is over or time is up."""
    with anyio.move_on_after(wait_s):
        while view.open and view.state and len(view.state.results) <= after:
            await view.changed.wait()
