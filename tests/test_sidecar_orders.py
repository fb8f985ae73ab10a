"""Tests of orders at the sidecar and of the fencing gate."""

from __future__ import annotations

import itertools

import anyio
import pytest

from quetzaldyke.connection.messages import (
    Order,
    OrderNonce,
    OrderPrepare,
    OrderResult,
    Report,
)
from quetzaldyke.parts.fencing import NONCE_TTL_S, FencingGate
from quetzaldyke.parts.timers import Clock
from sidecar_rig import EntryClient, make_rig

numbers = itertools.count(1)


async def request_nonce(entry: EntryClient) -> OrderNonce:
    """Ask for a nonce for a new order."""
    order_id = f'order-{next(numbers)}'
    entry.send(OrderPrepare(order_id))
    return await entry.receive(
        OrderNonce,
        lambda answer: answer.order_id == order_id,
    )


async def send_order(
    entry: EntryClient,
    nonce: OrderNonce,
    token: int,
    model: str = 'new-model',
) -> OrderResult:
    """Send an order and wait for its outcome."""
    entry.send(
        Order(nonce.order_id, nonce.nonce, token, 'load', model, '2', '', ''),
    )
    return await entry.receive(
        OrderResult,
        lambda outcome: outcome.order_id == nonce.order_id,
    )


@pytest.mark.parametrize('engine_checks', [True, False])
@pytest.mark.parametrize('restarted', [False, True])
def test_orders_of_former_issuers_are_refused(
    engine_checks: bool, restarted: bool
) -> None:
    """Guards against a paused issuer that undoes its successor's order.

    Covers engines that ignore fencing tokens and a restarted sidecar.
    """

    async def scenario() -> None:
        options = {'check_tokens': engine_checks, 'load_model_s': 0.01}
        async with make_rig(engine=options) as rig:
            old = await rig.entry('entry-old')
            stale = await request_nonce(old)
            if restarted:
                await rig.crash_sidecar()
                await rig.restart_sidecar()
                old = await rig.entry('entry-old')
            new = await rig.entry('entry-new')
            done = await send_order(new, await request_nonce(new), token=7)
            assert done.accepted
            await new.receive(
                Report,
                lambda report: (
                    (report.model, report.fencing_token) == ('new-model', 7)
                ),
            )
            refused = await send_order(old, stale, token=6, model='old-model')
            assert not refused.accepted
            assert refused.reason == (
                'nonce not valid' if restarted else 'token is stale'
            )
            assert rig.engine.orders.applied == [(7, 'load')]
            assert rig.engine.orders.model == 'new-model'

    anyio.run(scenario)


def test_engine_refusal_is_reported() -> None:
    """Guards against reporting an order as done that the engine refused."""

    async def scenario() -> None:
        async with make_rig() as rig:
            entry = await rig.entry()
            rig.engine.orders.highest_token = 9
            refused = await send_order(
                entry, await request_nonce(entry), token=8
            )
            assert not refused.accepted
            assert rig.engine.orders.applied == []

    anyio.run(scenario)


def make_gate() -> tuple[FencingGate, list[float]]:
    """Return a gate and a list that holds its clock's time."""
    now = [0.0]
    return FencingGate(Clock(read=lambda: now[0])), now


@pytest.mark.parametrize(
    ('age_s', 'admitted'),
    [(0.0, True), (NONCE_TTL_S - 0.01, True), (NONCE_TTL_S, False)],
)
def test_nonces_expire(age_s: float, admitted: bool) -> None:
    """Guards against executing an order that was delayed for long."""
    gate, now = make_gate()
    nonce = gate.issue_nonce('order')
    now[0] = age_s
    assert gate.admit('order', nonce, 1).is_ok() is admitted


def test_nonce_serves_one_order_once() -> None:
    """Guards against replayed orders and nonces of another order."""
    gate, _ = make_gate()
    assert gate.admit('b', gate.issue_nonce('a'), 1).is_err()
    nonce = gate.issue_nonce('c')
    assert gate.admit('c', nonce, 1).is_ok()
    assert gate.admit('c', nonce, 2).is_err()


def test_refused_order_does_not_raise_the_token() -> None:
    """Guards against a forged order whose high token blocks real orders."""
    gate, _ = make_gate()
    assert gate.admit('a', 'guessed', 1_000_000).is_err()
    assert gate.admit('b', gate.issue_nonce('b'), 1).is_ok()
    assert gate.admit('c', gate.issue_nonce('c'), 1).is_ok()
    assert gate.admit('d', gate.issue_nonce('d'), 0).is_err()
