"""The bound on an organisation's requests while entries and links fail.

Load pattern: an organisation sends several times its limit at all entries or
at one, so that every permit that is granted twice is used twice.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial
from typing import Final

from hypothesis import given, settings
from hypothesis import strategies as st

from gateway_kit import FakeTime
from quetzaldyke.gateway.model import Organisation
from quetzaldyke.parts.rate_shares import ShareHeartbeat, ShareTable
from quetzaldyke.parts.rendezvous import score
from rate_fleet import RateFleet

BIG: Final = Organisation('big', rate=100.0, burst=150.0)
SMALL: Final = Organisation('small', rate=2.0, burst=4.0)
# Names of further organisations, so that all entries coordinate some.
KEYS: Final = ('big', 'small', *(f'key-{number}' for number in range(10)))
ENTRIES: Final = 7
CHECK_S: Final = 0.03
SETTLE_S: Final = 6.0

Fault = Callable[[RateFleet, random.Random], None]
# Faults, each with the time before it.
Script = list[tuple[Fault, float]]


def pick(fleet: RateFleet, generator: random.Random, number: int) -> list[str]:
    """Return the instances of some running processes."""
    running = [one.instance for one in fleet.entries.values() if one.alive]
    return generator.sample(running, min(number, len(running)))


def kill(fleet: RateFleet, generator: random.Random) -> None:
    """End some processes; most start again."""
    for instance in pick(fleet, generator, generator.choice((1, 1, 3))):
        restart_s = generator.choice((0.05, 1.0, 5.0))
        fleet.kill(instance, restart_s)


def remove(fleet: RateFleet, generator: random.Random) -> None:
    """End a process for good."""
    for instance in pick(fleet, generator, 1):
        fleet.kill(instance)


def stop(fleet: RateFleet, generator: random.Random) -> None:
    """Stop a process gracefully and start it again."""
    for instance in pick(fleet, generator, 1):
        if not fleet.running(instance).leaving:
            fleet.stop(instance, generator.uniform(0.3, 3.0))


def add(fleet: RateFleet, generator: random.Random) -> None:
    """Start a process on a new instance."""
    fleet.start(f'new-{fleet.time.now_s}')


def freeze(fleet: RateFleet, generator: random.Random) -> None:
    """Pause some processes; their messages wait for them."""
    for instance in pick(fleet, generator, generator.choice((1, 2))):
        until_s = fleet.time.now_s + generator.choice((0.3, 1.0, 4.0, 7.0))
        fleet.running(instance).frozen_until_s = until_s


def cut_off(fleet: RateFleet, generator: random.Random) -> None:
    """Cut some instances off from the others, some from the store too."""
    chosen = pick(fleet, generator, generator.choice((1, 2, 3)))
    store = generator.random() < 0.7
    fleet.cut(*chosen, seconds=generator.uniform(0.4, 8.0), store=store)


def cut_link(fleet: RateFleet, generator: random.Random) -> None:
    """Cut the link between two instances for a time."""
    pair = frozenset(pick(fleet, generator, 2))
    fleet.cuts.add(pair)
    fleet.after(generator.uniform(0.4, 8.0), partial(fleet.cuts.discard, pair))


FAULTS: Final[tuple[Fault, ...]] = (
    kill,
    remove,
    stop,
    add,
    freeze,
    cut_off,
    cut_link,
)


def make_fleet(seed: int, generator: random.Random) -> RateFleet:
    """Return a fleet with a network that is drawn at random."""
    return RateFleet.of(
        ENTRIES,
        BIG,
        SMALL,
        seed=seed,
        loss=generator.choice((0.0, 0.05)),
        doubling=generator.random() < 0.3,
        delay_s=generator.choice((0.003, 0.02, 0.15)),
        watch_s=generator.choice((0.1, 0.5)),
    )


def play(
    faults: Script, seed: int, check: Callable[[RateFleet], None]
) -> RateFleet:
    """Play faults, each some time after the one before.

    Check the fleet in short intervals.
    """
    generator = random.Random(seed)
    fleet = make_fleet(seed, generator)
    seconds = sum(pause_s for _, pause_s in faults) + SETTLE_S

    def check_again() -> None:
        check(fleet)
        fleet.after(CHECK_S, check_again)

    check_again()
    fleet.demand('big', 450.0, seconds)
    fleet.demand('small', 30.0, seconds)
    for fault, pause_s in faults:
        fleet.run(pause_s)
        fault(fleet, generator)
    fleet.run(SETTLE_S)
    return fleet


def no_share_twice(fleet: RateFleet) -> None:
    """Check that no share is held by two entries."""
    for key in KEYS:
        for holders in fleet.holders(key).values():
            assert len(holders) == 1, (key, fleet.time.now_s, holders)


def test_unregistered_member_counts_until_it_is_settled() -> None:
    """Guards against a share that its member uses while it is delegated.

    A coordinator whose registration had lapsed was no member any more from the
    moment at which it was not heard, and what it holds was forgotten. Found by
    seed 170 of (stop, 0.7), (cut_off, 2.0), (cut_link, 0.1), (kill, 0.1)
    without requests.
    """
    time = FakeTime(100.0)
    shares = ShareTable('m', 'im', time.read)
    shares.set_registered({'m': 'im'})
    time.now_s = 101.0
    key = next(key for key in KEYS if score('c', key) > score('m', key))
    shares.apply(ShareHeartbeat('c', 'ic', 1, 100_900_000, 0.6, 0, 2))
    shares.update()
    shares.heartbeat_to('c')
    assert not shares.held.senders(key)
    time.now_s = 101.55
    shares.update()
    assert 'c' not in shares.heard
    assert not shares.held.senders(key)
    time.now_s = 101.65
    shares.update()
    assert shares.held.senders(key) == ['m']


@settings(max_examples=30, deadline=None)
@given(
    st.lists(
        st.tuples(st.sampled_from(FAULTS), st.sampled_from((0.1, 0.7, 2.0))),
        min_size=1,
        max_size=6,
    ),
    st.integers(0, 1_000),
)
def test_no_window_exceeds_the_bound(faults: Script, seed: int) -> None:
    """Guards against a share that two entries grant, in any view of faults."""
    fleet = play(faults, seed, no_share_twice)
    assert fleet.keeps_bounds()
