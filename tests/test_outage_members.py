"""Tests of whom an entry follows while members lapse in an outage."""

from __future__ import annotations

from pathlib import Path

import pytest

from quetzaldyke.gateway.entry import Entry
from quetzaldyke.gateway.job_records import MEMBER_PREFIX, Member
from quetzaldyke.gateway.logs import LineRateLimiter, LineWriter
from quetzaldyke.gateway.model import Bounds, Installation
from quetzaldyke.parts.kv import Record
from quetzaldyke.parts.transactions import Snapshot, WatchedChange

MEMBERS = 4


def make_entry(log: Path) -> Entry:
    """Return an entry that is not started."""
    with log.open('wb') as file:
        writer = LineWriter(file.fileno(), 'p', LineRateLimiter())
    installation = Installation(
        'i',
        'entry',
        '127.0.0.1',
        'd',
        1,
        2,
        '127.0.0.1:9',
        1.0,
        Bounds(2.0, 8.0, 3.0, 120.0),
    )
    return Entry.from_installation(installation, writer)


def list_members(entry: Entry) -> list[str]:
    """Let an entry read the member list with itself in it; return the ids."""
    others = [Member(f'm{one}', f'i{one}', '127.0.0.1', 9) for one in range(3)]
    members = [entry.member, *others]
    entry.on_fleet_snapshot(
        Snapshot(
            [
                Record(f'{MEMBER_PREFIX}{one.owner_id}', one.pack(), 1)
                for one in members
            ],
            1,
        )
    )
    return [one.owner_id for one in members]


def lose_store(entry: Entry) -> None:
    """Let the store count as down at an entry."""
    for _ in range(2):
        entry.health.note(answered=False, now_s=entry.clock.now())
    assert not entry.health.up


def lapse(entry: Entry, members: list[str]) -> None:
    """Tell an entry that registrations have lapsed."""
    changes = [
        WatchedChange(f'{MEMBER_PREFIX}{member}', 2, None) for member in members
    ]
    entry.on_fleet_changes(changes, 2)


def test_lapsed_sources_are_left_while_the_store_counts_as_down(
    tmp_path: Path,
) -> None:
    """Guards against an entry that waits for sources that publish to nobody.

    A source whose own registration has lapsed finds no followers. An entry
    that hears of it before its own first successful call must not go on to
    rely on it.
    """
    entry = make_entry(tmp_path / 'log')
    members = list_members(entry)
    assert entry.sharing.watchers
    lose_store(entry)
    lapse(entry, members)
    assert not entry.sharing.watchers
    assert not entry.sharing.sources


def test_peers_are_kept_while_the_store_counts_as_down(tmp_path: Path) -> None:
    """Guards against entries that stop telling each other their load."""
    entry = make_entry(tmp_path / 'log')
    members = list_members(entry)
    lose_store(entry)
    lapse(entry, members)
    assert entry.gossip.peers.keys() == set(members) - {entry.member.owner_id}


def test_member_of_an_outage_becomes_a_peer_when_the_store_is_back(
    tmp_path: Path,
) -> None:
    """Guards against an entry that never tells a new peer its load."""
    entry = make_entry(tmp_path / 'log')
    lose_store(entry)
    members = list_members(entry)
    assert not entry.gossip.peers
    entry.health.note(answered=True, now_s=entry.clock.now())
    assert entry.gossip.peers.keys() == set(members) - {entry.member.owner_id}


@pytest.mark.parametrize('lost', [False, True])
def test_members_that_come_back_are_followed_at_once(
    lost: bool, tmp_path: Path
) -> None:
    """Guards against entries that watch the store alone after an outage."""
    entry = make_entry(tmp_path / 'log')
    if lost:
        lose_store(entry)
    list_members(entry)
    assert entry.sharing.watchers
