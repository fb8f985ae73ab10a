"""Tests of odd records among those of members, jobs and states."""

from __future__ import annotations

from typing import Any, Final

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from quetzaldyke.gateway.job_records import (
    JOB_PREFIX,
    MEMBER_PREFIX,
    STATE_PREFIX,
    JobRecord,
    JobState,
    Member,
)
from quetzaldyke.gateway.job_table import JobTable
from quetzaldyke.parts.kv import Record
from quetzaldyke.parts.transactions import Snapshot, WatchedChange

SOUND = Member('sound', 'entry-1', '127.0.0.1', 7_000)

# Guards against a member to which no datagram can be sent: on asyncio the
# error closes the socket to all members, on uvloop it ends the round before
# the rest got theirs.
ODD_MEMBERS: Final[tuple[Any, ...]] = (
    ['odd', 'i', '127.0.0.1', 99_999],
    ['odd', 'i', '127.0.0.1', -5],
    ['odd', 'i', '127.0.0.1', 0],
    ['odd', 'i', '127.0.0.1', '7000'],
    ['odd', 'i', '127.0.0.1', True],
    ['odd', 'i', '127.0.0.1', 7e3],
    ['odd', 'i', '', 7_000],
    ['odd', 'i', 'a b', 7_000],
    ['odd', 'i', 7, 7_000],
    ['odd', None, '127.0.0.1', 7_000],
    [['odd'], 'i', '127.0.0.1', 7_000],
    ['other', 'i', '127.0.0.1', 7_000],
    ['odd', 'i', '127.0.0.1'],
    {},
    7,
    None,
)


@pytest.mark.parametrize('row', ODD_MEMBERS)
def test_member_without_a_usable_address_is_no_peer(row: object) -> None:
    """Guards against one odd member that cuts an entry off from its peers."""
    table = JobTable()
    odd = Record(f'{MEMBER_PREFIX}odd', msgpack.packb(row), 1)
    sound = Record(f'{MEMBER_PREFIX}sound', SOUND.pack(), 1)
    table.apply_snapshot(Snapshot([odd, sound], 2))
    assert table.members == {'sound': SOUND}
    change = WatchedChange(f'{MEMBER_PREFIX}odd', 3, msgpack.packb(row))
    table.apply_changes([change], 3)
    assert table.members == {'sound': SOUND}
    assert table.revision == 3


ITEM = ['i', '/p', [['Model', 'm']], 5, 0, 0, 3]
ODD_RECORDS: Final[tuple[tuple[str, Any], ...]] = (
    (JOB_PREFIX, ['odd', 'r', 'h', 1, [['i', '/p', [], 'many', 0, 0, 3]]]),
    (JOB_PREFIX, ['odd', 'r', 'h', 1, [['i', '/p', [], 5, 0, 0]]]),
    (JOB_PREFIX, ['odd', 'r', 'h', 1, [[7, '/p', [], 5, 0, 0, 3]]]),
    (JOB_PREFIX, ['odd', 'r', 'h', 1, [['i', '/p', [[1, 2]], 5, 0, 0, 3]]]),
    (JOB_PREFIX, ['odd', 'r', 'h', 'now', [ITEM]]),
    (JOB_PREFIX, ['odd', [], 'h', 1, [ITEM]]),
    (JOB_PREFIX, ['odd', 'r', 'h', 1, 7]),
    (STATE_PREFIX, [['o'], 'i', 0, [], {}]),
    (STATE_PREFIX, ['o', 'i', 0, [[None, True, 0]], {}]),
    (STATE_PREFIX, ['o', 'i', 0, [['0', True, 0]], {}]),
    (STATE_PREFIX, ['o', 'i', 0, [], {'0': 'x'}]),
    (STATE_PREFIX, ['o', 'i', 0, [], 5]),
    (STATE_PREFIX, ['o', 'i', None, [], {}]),
)


@pytest.mark.parametrize(('prefix', 'row'), ODD_RECORDS)
def test_odd_job_record_is_not_applied(prefix: str, row: object) -> None:
    """Guards against a job whose numbers fail each later sum over all jobs."""
    table = JobTable()
    sound_job = JobRecord.unpack(msgpack.packb(['s', 'r', 'h', 1, [ITEM]]))
    sound = {
        f'{kind}{job_id}': raw
        for job_id in ('odd', 's')
        for kind, raw in (
            (JOB_PREFIX, sound_job.pack()),
            (STATE_PREFIX, JobState('o', 'i').pack()),
        )
    }
    contents = {**sound, f'{prefix}odd': msgpack.packb(row)}
    records = [Record(key, raw, 1) for key, raw in contents.items()]
    table.apply_snapshot(Snapshot(records, 2))
    assert not table.jobs['odd'].known
    assert table.jobs['s'].known
    assert table.waiting_tokens('r') == 5


VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-9, 2**63) | st.text(max_size=3),
    lambda inner: (
        st.lists(inner, max_size=5)
        | st.dictionaries(st.text(max_size=2), inner, max_size=2)
    ),
    max_leaves=12,
)


@given(
    st.sampled_from([MEMBER_PREFIX, JOB_PREFIX, STATE_PREFIX]),
    VALUES.map(msgpack.packb) | st.binary(max_size=40),
)
def test_any_record_leaves_the_others(prefix: str, raw: bytes) -> None:
    """Guards against content that hides the records behind it."""
    table = JobTable()
    sound = Record(f'{MEMBER_PREFIX}sound', SOUND.pack(), 1)
    table.apply_snapshot(Snapshot([Record(f'{prefix}x', raw, 1), sound], 2))
    assert table.members['sound'] == SOUND
    assert table.revision == 2


@pytest.mark.parametrize('prefix', [MEMBER_PREFIX, JOB_PREFIX, STATE_PREFIX])
def test_deep_record_leaves_the_others(prefix: str) -> None:
    """Guards against nesting that exceeds the stack of the decoder."""
    table = JobTable()
    deep = Record(f'{prefix}x', b'\x91' * 200_000, 1)
    sound = Record(f'{MEMBER_PREFIX}sound', SOUND.pack(), 1)
    table.apply_snapshot(Snapshot([deep, sound], 2))
    assert table.members == {'sound': SOUND}


def test_member_without_domain_is_read_by_earlier_releases() -> None:
    """Guards against entries that miss each other in a rolling replacement."""
    assert len(msgpack.unpackb(SOUND.pack())) == 4
    named = Member('m', 'i', '127.0.0.1', 7_000, 'a')
    assert Member.unpack(named.pack()) == named
