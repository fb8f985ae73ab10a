"""Stand-in for the platform's list of instances, which lags.

Changes come by `PUT` and `DELETE` or from a JSON file of the same shape as
the answer, and show after the lag.
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
    """Options of the stand-in."""

    address: str = '127.0.0.1:0'
    lag_s: float = 0.0
    file: str = ''


@dataclass(slots=True)
class InstancesFaults:
    """Switches; all off at the start."""

    down: bool = False
    # Answers with the list as it is; later changes don't show.
    frozen: bool = False


@dataclass(slots=True)
class InstancesStandin:
    """A running stand-in."""

    options: InstancesOptions
    faults: InstancesFaults
    server: InterruptibleServer
    rows: dict[str, Row] = field(default_factory=dict)
    # Changes that don't show yet: time, name, and the row or None.
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
        """Return the event that stops the stand-in."""
        return self.server.stopping

    def change(self, name: str, row: Row | None) -> None:
        """Set or remove (None) a row; it shows after the lag."""
        due_s = time.monotonic() + self.options.lag_s
        self.pending.append((due_s, name, row))

    def visible_rows(self) -> list[Row]:
        """Return the rows that show now, ordered by name."""
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
        """Adopt the contents of the file when they have changed."""
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
    """Return a row with all fields; the state is live by default."""
    row = {name: str(given.get(name, '')) for name in FIELDS}
    row['state'] = row['state'] or 'live'
    return row


async def poll_file(standin: InstancesStandin) -> None:
    """Follow the file; one that is being written is read again later."""
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
