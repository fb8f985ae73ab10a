"""Tests of keys that are checked while the configuration may be behind."""

from __future__ import annotations

from typing import Final
from unittest import mock

import anyio
import pytest
from result import Err, Ok

from batch_bed import run_virtual
from key_rig import (
    KeyRig,
    bearer,
    confirm,
    encode_record,
    make_configuration,
    make_request,
)
from quetzaldyke.gateway.configuration_feed import MAX_AGE_SHARE
from quetzaldyke.gateway.key_check import (
    MAX_WAITING,
    Admitted,
    Denial,
    KeyCheck,
    version_wait_s,
)
from quetzaldyke.gateway.model import Bounds
from quetzaldyke.gateway.watch import PrefixWatcher
from quetzaldyke.parts.kv import KvError, Record
from quetzaldyke.parts.transactions import Snapshot
from quetzaldyke.platform import names

DEPOT: Final = [{'name': 'depot', 'api-keys': ['old']}]
RENEWED: Final = [{'name': 'depot', 'api-keys': ['old', 'new']}]
REVOKED: Final = [{'name': 'depot', 'api-keys': ['new']}]
UNKNOWN: Final = Err(Denial('unknown_key', True))
TOO_OLD: Final = Err(Denial('configuration_too_old'))


def owner_of(admitted: Admitted) -> str:
    """Return the organisation of an admitted request."""
    assert isinstance(admitted, Ok), admitted
    return admitted.ok_value.identity.name


def test_entry_without_a_configuration_refuses_for_now() -> None:
    """Guards against a 401 of an entry that has just started."""

    async def scenario() -> None:
        rig = KeyRig()
        assert await rig.admit('old') == Err(Denial('no_configuration'))

    run_virtual(scenario)


def test_key_that_overtook_its_version_is_admitted() -> None:
    """Guards against a 401 for a key that was added a moment ago."""

    async def scenario() -> None:
        rig = KeyRig()
        rig.write(1, DEPOT)
        answers: list[Admitted] = []

        async def ask() -> None:
            answers.append(await rig.admit('new'))

        async with anyio.create_task_group() as group:
            group.start_soon(ask)
            await anyio.sleep(0.1)
            # A version that does not know the key either ends no wait.
            rig.write(2, DEPOT)
            await anyio.sleep(0.1)
            rig.write(3, RENEWED)
        assert owner_of(answers[0]) == 'depot'

    run_virtual(scenario)


def test_unknown_key_is_rejected_by_a_current_entry_alone() -> None:
    """Guards against a 401 that a newer version would not give.

    An entry that is cut off from the store refuses for now; known keys are
    still served.
    """

    async def scenario() -> None:
        rig = KeyRig()
        rig.write(1, DEPOT)
        assert await rig.admit('new') == UNKNOWN
        await anyio.sleep(MAX_AGE_SHARE * rig.feed.apply_s)
        assert await rig.admit('new') == TOO_OLD
        assert await rig.admit() == TOO_OLD
        assert owner_of(await rig.admit('old')) == 'depot'
        confirm(rig.feed)
        assert await rig.admit('new') == UNKNOWN

    run_virtual(scenario)


def test_withdrawn_key_is_rejected_from_its_version_on() -> None:
    """Guards against service for a key that was withdrawn.

    An older version that arrives late does not bring it back.
    """

    async def scenario() -> None:
        rig = KeyRig()
        rig.write(1, RENEWED)
        assert owner_of(await rig.admit('old')) == 'depot'
        rig.write(2, REVOKED)
        rig.write(1, RENEWED)
        assert await rig.admit('old') == UNKNOWN
        assert owner_of(await rig.admit('new')) == 'depot'

    run_virtual(scenario)


def test_strict_revocation_refuses_keys_that_nothing_confirms() -> None:
    """Guards against service for a key that was withdrawn in an outage."""

    async def scenario() -> None:
        bounds = Bounds(1, 1, 1, 1, strict_revocation=True, revocation_s=5.0)
        rig = KeyRig()
        rig.check = KeyCheck.from_bounds(bounds, rig.feed, rig.metrics)
        rig.write(1, DEPOT)
        await anyio.sleep(5.0)
        assert owner_of(await rig.admit('old')) == 'depot'
        await anyio.sleep(0.1)
        assert await rig.admit('old') == Err(Denial('keys_unconfirmed'))
        confirm(rig.feed)
        assert owner_of(await rig.admit('old')) == 'depot'
        assert (
            KeyCheck.from_bounds(
                Bounds(1, 1, 1, 1), rig.feed, rig.metrics
            ).revocation_s
            is None
        )

    run_virtual(scenario)


def test_strict_revocation_leaves_requests_without_keys_alone() -> None:
    """Guards against refusals in outages where keys decide nothing."""

    async def scenario() -> None:
        rig = KeyRig(revocation_s=1.0)
        await anyio.sleep(9.0)
        rig.configure(make_configuration(None))
        assert owner_of(await rig.admit()) == ''
        rig.configure(make_configuration({}, public=True))
        assert owner_of(await rig.admit()) == ''

    run_virtual(scenario)


def test_flood_with_a_withdrawn_key_is_bounded() -> None:
    """Guards against requests without number that wait for a version."""

    async def scenario() -> None:
        rig = KeyRig()
        rig.write(1, DEPOT)
        answers: list[Admitted] = []

        async def ask() -> None:
            answers.append(await rig.admit('gone'))

        async with anyio.create_task_group() as group:
            for _ in range(MAX_WAITING + 5):
                group.start_soon(ask)
            await anyio.sleep(0.01)
            assert answers == [Err(Denial('too_many_unknown_keys'))] * 5
            assert owner_of(await rig.admit('old')) == 'depot'
        assert answers[5:] == [UNKNOWN] * MAX_WAITING
        assert rig.check.waiting == 0

    run_virtual(scenario)


def test_caller_that_leaves_gives_its_place_back() -> None:
    """Guards against places that callers who left use for ever."""

    async def scenario() -> None:
        rig = KeyRig()
        rig.write(1, DEPOT)
        with anyio.move_on_after(0.01):
            await rig.admit('gone')
        assert rig.check.waiting == 0

    run_virtual(scenario)


@pytest.mark.parametrize(
    ('deadline', 'wait_s'),
    [(b'200', 0.1), (b'0', 0.0), (b'5000', 0.3), (b'-5', 0.3), (b'x', 0.3)],
)
def test_wait_leaves_time_to_serve(deadline: bytes, wait_s: float) -> None:
    """Guards against a wait that takes all of its caller's time."""
    request = make_request((names.DEADLINE, deadline), bearer('k'))
    assert version_wait_s(request) == wait_s


def test_first_organisations_and_their_end_apply_at_once() -> None:
    """Guards against keys that are asked for where they mean nothing."""

    async def scenario() -> None:
        rig = KeyRig()
        rig.write(1, None)
        assert owner_of(await rig.admit()) == ''
        rig.write(2, DEPOT)
        assert await rig.admit() == Err(Denial('no_key', True))
        assert owner_of(await rig.admit('old')) == 'depot'
        rig.write(3, [])
        assert await rig.admit('old') == UNKNOWN
        rig.write(4, None)
        assert owner_of(await rig.admit('old')) == ''

    run_virtual(scenario)


def test_job_paths_need_a_key_below_a_public_route() -> None:
    """Guards against a public route that hides whose job is asked for."""

    async def scenario() -> None:
        rig = KeyRig()
        rig.write(1, DEPOT)
        path = f'{names.JOB_PATH}j'
        assert owner_of(await rig.admit('old', path=path)) == 'depot'
        assert await rig.admit(path=path) == Err(Denial('no_key', True))
        # Its jobs belong to nobody, and those of others stay theirs.
        rig.configure(make_configuration({'old': 'depot'}, public=True))
        assert owner_of(await rig.admit('old', path=path)) == 'depot'
        assert owner_of(await rig.admit(path=path)) == ''
        assert await rig.admit('gone', path=path) == UNKNOWN

    run_virtual(scenario)


def test_lost_history_confirms_nothing() -> None:
    """Guards against a 401 by a version that may have been replaced."""

    async def scenario() -> None:
        store = mock.AsyncMock()
        store.list_prefix.side_effect = [
            Ok(Snapshot([Record('op/config', encode_record(1, DEPOT), 1)], 1)),
            *[Err(KvError('unavailable'))] * 99,
        ]
        store.watch.return_value = Err(KvError('compacted'))
        rig = KeyRig()
        watcher = PrefixWatcher(
            store,
            'op/',
            rig.feed.on_snapshot,
            rig.feed.on_changes,
            now=rig.now,
            confirmation=rig.feed.confirmation,
        )
        began_s = rig.now()
        with anyio.move_on_after(1.0):
            await watcher.run()
        assert store.list_prefix.await_count > 1
        assert rig.feed.confirmation.as_of_s == began_s
        assert rig.feed.age_s() == pytest.approx(1.0)

    run_virtual(scenario)
