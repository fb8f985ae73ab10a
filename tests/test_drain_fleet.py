"""Simulations of entries that tell each other which endpoints drain."""

from __future__ import annotations

import random
from dataclasses import replace

import msgpack
import pytest

from drain_fleet import DrainFleet
from gateway_kit import make_endpoint
from quetzaldyke.gateway.drain_exchange import (
    MAX_LIFETIMES,
    SENDS,
    SOURCES,
    DrainUpdate,
)
from quetzaldyke.gateway.gossip_messages import decode, encode

# Requests that entries have already sent when the first answer arrives, for
# each request a second.
IN_FLIGHT_S = 0.3


# Guards against entries that each have to hear from an endpoint that it
# drains: in a large fleet each would send it one request more.
@pytest.mark.parametrize('entries', [5, 58, 300])
def test_all_entries_learn_of_a_drain_from_one_answer(entries: int) -> None:
    """Guards against requests to a leaving endpoint from the other entries."""
    fleet = DrainFleet.of(entries)
    fleet.add_demand(100.0, 6.0)
    fleet.run(2.0)
    endpoint = fleet.drain('e1')
    before = fleet.served[endpoint.lifetime]
    fleet.run(6.0)
    assert all(one.knows(endpoint) for one in fleet.entries.values())
    assert not fleet.late_s
    # A quarter of the requests would have gone there.
    assert fleet.served[endpoint.lifetime] - before <= 25 * IN_FLIGHT_S * 2
    assert not fleet.refused


# Guards against messages that grow with the requests or with the square of the
# entries: all of them hear of it from answers within the same moment.
@pytest.mark.parametrize('entries', [30, 300])
def test_statement_heard_by_all_at_once_costs_few_messages(
    entries: int,
) -> None:
    """Guards against every entry notifying every other."""
    fleet = DrainFleet.of(entries)
    fleet.add_demand(entries * 20.0, 1.5, 0.5)
    fleet.drain('e1')
    fleet.run(4.0)
    senders = [one for one in fleet.entries.values() if one.messages]
    assert max(one.messages for one in senders) <= SENDS * (entries - 1)
    assert sum(one.messages for one in senders) <= 5 * SENDS * entries
    # A load report goes to each peer 3 times a second or more.
    assert all(one.bytes <= 64 * one.messages for one in senders)


@pytest.mark.parametrize('seed', range(5))
@pytest.mark.parametrize('entries', [5, 58])
def test_drain_holds_while_messages_are_lost_and_late(
    entries: int, seed: int
) -> None:
    """Guards against an entry that missed a message and sends for ever."""
    fleet = DrainFleet.of(entries, seed=seed, loss=0.3, delay_s=1.0)
    fleet.add_demand(60.0, 12.0)
    fleet.run(2.0)
    for name in ('e0', 'e1', 'e2'):
        fleet.drain(name)
    fleet.run(12.0)
    assert not fleet.late_s
    known = [one.knows(fleet.endpoints['e0']) for one in fleet.entries.values()]
    assert sum(known) >= 0.95 * entries
    assert not fleet.refused


def test_drain_holds_without_peers() -> None:
    """Guards against an entry that needs its peers to obey an answer."""
    fleet = DrainFleet.of(5)
    fleet.connected = False
    fleet.drain('e1')
    fleet.add_demand(100.0, 5.0)
    fleet.run(5.0)
    assert not fleet.late_s
    assert (
        fleet.served[fleet.endpoints['e1'].lifetime] <= 2 * 5 * IN_FLIGHT_S * 9
    )
    assert sum(one.messages for one in fleet.entries.values()) == 0


# Guards against an entry that starts while an endpoint drains and first sends
# it requests, although its peers know.
@pytest.mark.parametrize('entries', [5, 58, 300])
def test_entry_that_starts_later_hears_of_a_drain(entries: int) -> None:
    """Guards against statements that only reach those present."""
    fleet = DrainFleet.of(entries)
    endpoint = fleet.drain('e1')
    fleet.add_demand(100.0, 1.0)
    fleet.run(3.0)
    sent = sum(one.messages for one in fleet.entries.values())
    started = [fleet.add_entry(f'later-{number}') for number in range(3)]
    fleet.run(3.3)
    assert all(one.knows(endpoint) for one in started)
    fleet.run(5.0)
    later = sum(one.messages for one in fleet.entries.values()) - sent
    assert later <= len(started) * SOURCES


# Guards against an endpoint that gets nothing after its restart, because of
# messages about its old lifetime that arrive late or from new peers.
def test_restarted_endpoint_gets_requests_while_old_messages_arrive() -> None:
    """Guards against draining a later lifetime under the same id."""
    fleet = DrainFleet.of(20, delay_s=3.0)
    old = fleet.drain('e1')
    fleet.add_demand(100.0, 8.0)
    fleet.run(1.0)
    new = replace(old, started_ms=2)
    fleet.endpoints['e1'] = new
    for entry in fleet.entries.values():
        entry.dispatcher.endpoints.put(new)
    fleet.run(8.0)
    assert fleet.served[new.lifetime] >= 0.8 * 7.0 * 100.0 / 4


def test_requests_are_refused_where_all_endpoints_drain() -> None:
    """Guards against use of the last endpoint although it drains."""
    fleet = DrainFleet.of(5, endpoints=2)
    for name in ('e0', 'e1'):
        fleet.drain(name)
    fleet.add_demand(100.0, 5.0)
    fleet.run(5.0)
    assert not fleet.late_s
    assert fleet.refused >= 400


@pytest.mark.parametrize(
    'content',
    [
        7,
        'e1@1',
        None,
        {'e1@1': 1},
        [1],
        [['e1@1']],
        ['x' * 300],
        ['e1@1'] * (MAX_LIFETIMES + 1),
    ],
)
def test_malformed_update_is_dropped(content: object) -> None:
    """Guards against a message that ends an entry or fills its memory."""
    assert decode(msgpack.packb(['draining', 'a', content])) is None


def test_update_of_any_text_is_applied_or_dropped() -> None:
    """Guards against a datagram with damaged bytes that ends an entry."""
    datagram = encode(DrainUpdate('a', (make_endpoint('e1').lifetime,)))
    fleet = DrainFleet.of(1)
    exchange = fleet.entries['entry-000'].exchange
    generator = random.Random(1)
    for _ in range(2_000):
        damaged = bytearray(datagram)
        damaged[generator.randrange(len(damaged))] = generator.randrange(256)
        message = decode(bytes(damaged))
        if isinstance(message, DrainUpdate):
            exchange.apply(message)


def test_many_statements_fit_into_datagrams() -> None:
    """Guards against a datagram larger than the network carries."""
    fleet = DrainFleet.of(2, endpoints=0)
    sender, receiver = fleet.entries.values()
    for number in range(3 * MAX_LIFETIMES):
        sender.exchange.note_stated(f'{"i" * 100}-{number}@1700000000000')
    fleet.run(1.0)
    assert sender.bytes / sender.messages < 32_768
    seen_s = receiver.dispatcher.endpoints.drains.seen_s
    assert len(seen_s) == 3 * MAX_LIFETIMES
