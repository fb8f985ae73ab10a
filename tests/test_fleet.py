"""Tests of the connections from an entry to sidecars."""

from __future__ import annotations

from typing import Any, cast

import anyio
import pytest

from entry_rig import make_fleet, until
from quetzaldyke.connection.links import dial
from quetzaldyke.connection.messages import PROTOCOL_VERSION, Hello
from quetzaldyke.connection.peer import PeerSession
from quetzaldyke.standins.engine_text import answer_text


def test_second_connection_to_a_sidecar() -> None:
    """Guards against requests that hang after a second connection.

    The second connection replaces the first one in the fleet's table while a
    request runs, and is closed again.
    """

    async def scenario() -> None:
        async with make_fleet(engines=1, engine={'step_ms': 5.0}) as fleet:
            entry = fleet.entry()
            first = entry.fleet.links['engine-1']
            engine = fleet.engines['engine-1']
            texts = []

            async def ask() -> None:
                texts.append((await fleet.complete('two links', 100)).text)

            async with anyio.create_task_group() as group:
                group.start_soon(ask)
                await until(lambda: bool(first.calls.calls))
                options = entry.link_options
                assert options is not None
                with anyio.CancelScope() as scope:
                    async with anyio.create_task_group() as dialling:
                        address = fleet.sidecar('engine-1').peer_address
                        dialling.start_soon(dial, address, options)
                        await until(
                            lambda: entry.fleet.links['engine-1'] is not first,
                        )
                        seen = engine.counts.tokens
                        await until(lambda: engine.counts.tokens > seen + 5)
                        scope.cancel()
                assert entry.fleet.links['engine-1'] is first
            assert texts == [answer_text('two links', 100)]
            names = [event.name for event in entry.timeline.events]
            assert 'attempt_failed' not in names

    anyio.run(scenario)


@pytest.mark.parametrize(('timeout_s', 'ended'), [(0.01, True), (600.0, False)])
def test_silent_peer_is_disconnected(timeout_s: float, ended: bool) -> None:
    """Guards against a dead peer that is still considered connected."""

    async def scenario() -> None:
        nothing = cast(Any, None)
        remote = Hello(PROTOCOL_VERSION, 'sidecar', 'engine-1', 'a', 'inc')
        session = PeerSession(nothing, nothing, remote)
        session.silence_timeout_s = timeout_s
        async with anyio.create_task_group() as group:
            group.start_soon(session.cancel_when_silent, group.cancel_scope)
            with anyio.move_on_after(5 if ended else 0.1):
                await anyio.sleep_forever()
            assert group.cancel_scope.cancel_called is ended
            group.cancel_scope.cancel()

    anyio.run(scenario)
