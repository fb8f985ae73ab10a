"""Simulates the platform's list of instances, including its delay.

Changes come from `PUT` and `DELETE` requests or from a JSON file in the
format of the response. They become visible after a configured delay.
"""

from __future__ import annotations

import json
import time
from collections import deque
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

import anyio
from anyio.abc import TaskStatus
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from quetzaldyke.standins.faults import InterruptibleServer, control_routes

FILE_POLL_S: Final = 0.2
FIELDS: Final = (
    'instance',
    'role',
    'failure_domain',
    'peer_address',
    'pool',
    'state',
)

Row = dict[str, str]


@dataclass(frozen=True, slots=True)
class InstancesOptions:
    """Options of the simulated instance list."""

    address: str = '127.0.0.1:0'
    lag_s: float = 0.0
    file: str = ''


@dataclass(slots=True)
class InstancesFaults:
    """Fault switches, all off initially."""

    down: bool = False
    # Serves the current list; pending changes do not become visible.
    frozen: bool = False


@dataclass(slots=True)
class InstancesStandin:
    """A simulated instance list: its options, faults, rows and server."""

    options: InstancesOptions
    faults: InstancesFaults
    server: InterruptibleServer
    rows: dict[str, Row] = field(default_factory=dict)
    # Changes not yet visible: due time, name, and the row or None to remove.
    pending: deque[tuple[float, str, Row | None]] = field(
        default_factory=deque,
    )
    reads: int = 0
    file_text: str = ''

    @property
    def address(self) -> str:
        """Return the bound address."""
        return self.server.address

    @property
    def stopping(self) -> anyio.Event:
        """Return the event that stops the stand-in once it is set."""
        return self.server.stopping

    def change(self, name: str, row: Row | None) -> None:
        """Set a row, or remove it if None; visible after the delay."""
        due_s = time.monotonic() + self.options.lag_s
        self.pending.append((due_s, name, row))

    def visible_rows(self) -> list[Row]:
        """Apply the changes that are due and return the rows by name."""
        now_s = time.monotonic()
        while not self.faults.frozen and self.pending:
            due_s, name, row = self.pending[0]
            if due_s > now_s:
                break
            self.pending.popleft()
            if row is None:
                self.rows.pop(name, None)
            else:
                self.rows[name] = row
        return [self.rows[name] for name in sorted(self.rows)]

    def apply_text(self, text: str) -> None:
        """Queue the changes of the file, if its text has changed.

        Raises `ValueError` or `KeyError` if the text is malformed.
        """
        if text == self.file_text:
            return
        rows = json.loads(text)['instances']
        self.file_text = text
        named = {row['instance']: row_with_defaults(row) for row in rows}
        for name in set(self.rows) - set(named):
            self.change(name, None)
        for name, row in named.items():
            self.change(name, row)


def row_with_defaults(given: dict[str, Any]) -> Row:
    """Return a row with all fields; the state defaults to `live`."""
    row = {name: str(given.get(name, '')) for name in FIELDS}
    row['state'] = row['state'] or 'live'
    return row


async def poll_file(standin: InstancesStandin) -> None:
    """Poll the file for changes; retry if it is missing or half-written."""
    path = anyio.Path(Path(standin.options.file))
    while True:
        try:
            standin.apply_text(await path.read_text())
        except (OSError, ValueError, KeyError):
            await anyio.sleep(0)
        await anyio.sleep(FILE_POLL_S)


def make_app(standin: InstancesStandin) -> Starlette:
    """Return the HTTP app of a stand-in."""

    async def get_list(_request: Request) -> Response:
        standin.reads += 1
        return JSONResponse({'instances': standin.visible_rows()})

    async def put_row(request: Request) -> Response:
        name = request.path_params['name']
        row = row_with_defaults({**(await request.json()), 'instance': name})
        standin.change(name, row)
        return JSONResponse(row)

    async def delete_row(request: Request) -> Response:
        standin.change(request.path_params['name'], None)
        return JSONResponse({})

    def counts() -> dict[str, Any]:
        return {'reads': standin.reads}

    routes = [
        Route('/instances', get_list),
        Route('/instances/{name}', put_row, methods=['PUT']),
        Route('/instances/{name}', delete_row, methods=['DELETE']),
        *control_routes(standin.faults, counts),
    ]
    return Starlette(routes=routes)


async def run_instances(
    options: InstancesOptions,
    *,
    task_status: TaskStatus[InstancesStandin] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Run the stand-in until it is stopped or cancelled."""
    faults = InstancesFaults()
    standin = InstancesStandin(
        options, faults, InterruptibleServer(lambda: faults.down)
    )
    async with anyio.create_task_group() as group:
        if options.file:
            group.start_soon(poll_file, standin)
        await group.start(
            standin.server.serve,
            make_app(standin),
            options.address,
        )
        task_status.started(standin)
        await standin.server.stopped.wait()
        group.cancel_scope.cancel()
