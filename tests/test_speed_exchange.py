"""Tests of the exchange of endpoints' speeds between entries."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgpack
import pytest

from gateway_kit import FakeTime, make_endpoint
from quetzaldyke.gateway.endpoint_speeds import EndpointSpeeds
from quetzaldyke.gateway.endpoints import EndpointTable
from quetzaldyke.gateway.gossip_messages import decode, encode
from quetzaldyke.gateway.speed_exchange import (
    MAX_ROWS,
    RECEIVERS,
    SpeedExchange,
    SpeedUpdate,
)
from quetzaldyke.process.metrics import Metrics

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    """Run on the backend that the processes use."""
    return 'asyncio'


@dataclass(slots=True)
class Site:
    """Entries that share endpoints, without a network."""

    endpoints: int = 4
    time: FakeTime = field(default_factory=FakeTime)
    entries: dict[str, SpeedExchange] = field(default_factory=dict)
    sent: list[tuple[list[str], SpeedUpdate]] = field(default_factory=list)
    lines: list[tuple[str, str]] = field(default_factory=list)

    def add(self, name: str) -> SpeedExchange:
        """Add an entry."""
        table = EndpointTable()
        table.replace_all(
            [make_endpoint(f'e{n}') for n in range(self.endpoints)],
            self.time.now_s,
        )
        entry = self.entries[name] = SpeedExchange(
            name,
            EndpointSpeeds(self.time.read),
            table,
            lambda: self.entries.keys() - {name},
            self.send,
            random.Random(name),
        )
        entry.connect(
            Metrics(),
            lambda event, **row: self.lines.append((event, row['state'])),
        )
        return entry

    def send(self, receivers: Iterable[str], update: SpeedUpdate) -> None:
        """Deliver a message at once, as a datagram."""
        received = decode(encode(update))
        assert received == update
        self.sent.append((list(receivers), update))
        for receiver in self.sent[-1][0]:
            self.entries[receiver].apply(update)

    def measure(self, name: str, slow: str, factor: float) -> None:
        """Let an entry get answers, slower ones from one endpoint."""
        speeds = self.entries[name].speeds
        for _ in range(30):
            for n in range(self.endpoints):
                pause_s = 0.02 * (factor if f'e{n}' == slow else 1.0)
                speeds.record(make_endpoint(f'e{n}'), 'pause', pause_s)

    async def pass_time(self, seconds: float) -> None:
        """Let the timers of all entries run."""
        for _ in range(int(seconds * 2)):
            self.time.now_s += 0.5
            for entry in list(self.entries.values()):
                await entry.tick()


async def test_peers_avoid_what_one_entry_has_met() -> None:
    """Guards against each entry losing requests to the same endpoint."""
    site = Site()
    for name in 'abc':
        site.add(name)
    site.measure('a', 'e1', 8.0)
    await site.pass_time(0.5)
    heard = site.entries['b'].speeds
    assert heard.pace(make_endpoint('e1')) > 1.8
    assert heard.pace(make_endpoint('e0')) == 1.0
    assert {update.sender for _, update in site.sent} == {'a'}
    rows = site.sent[0][1].paces
    assert [lifetime for lifetime, _ in rows] == ['e1@0']


async def test_heard_figures_end_with_their_cause() -> None:
    """Guards against entries that confirm each other's outdated figures."""
    site = Site()
    for name in 'abc':
        site.add(name)
    site.measure('a', 'e1', 8.0)
    await site.pass_time(40.0)
    assert len(site.sent) == 1
    for entry in site.entries.values():
        assert entry.speeds.pace(make_endpoint('e1')) < 1.2
    assert ('endpoint_speed', 'slow') in site.lines
    assert ('endpoint_speed', 'usual') in site.lines
    assert len(site.lines) < 10


async def test_own_answers_count_more_than_a_wrong_peer() -> None:
    """Guards against a peer whose figures turn requests away or draw them."""
    site = Site()
    entry = site.add('a')
    site.measure('a', '', 1.0)
    entry.apply(SpeedUpdate('x', (('e1@0', 20.0), ('e1@7', 0.1), ('?', 2.0))))
    assert entry.speeds.pace(make_endpoint('e1')) == pytest.approx(1.0)
    assert entry.speeds.by_id.keys() == {'e0', 'e1', 'e2', 'e3'}


async def test_message_is_bounded_on_a_large_site() -> None:
    """Guards against messages that grow with endpoints and entries."""
    site = Site(endpoints=3 * MAX_ROWS)
    for n in range(3 * RECEIVERS):
        site.add(f'a{n}')
    speeds = site.entries['a0'].speeds
    for n in range(3 * MAX_ROWS):
        for _ in range(30):
            speeds.record(make_endpoint(f'e{n}'), 'pause', 0.01 * (1 + n % 9))
    await site.pass_time(0.5)
    receivers, update = site.sent[0]
    assert len(set(receivers)) == RECEIVERS
    assert len(update.paces) == MAX_ROWS


@pytest.mark.parametrize(
    'content',
    [
        None,
        {'e@0': 2.0},
        [['e@0']],
        [['e@0', 2.0, 1]],
        [['e@0', 2]],
        [['e@0', '2.0']],
        [['e@0', float('nan')]],
        [['e@0', float('inf')]],
        [['e@0', 0.0]],
        [['e@0', -1.0]],
        [[7, 2.0]],
        [['e' * 257, 2.0]],
        [['e@0', 2.0]] * (MAX_ROWS + 1),
    ],
)
async def test_malformed_update_is_dropped(content: object) -> None:
    """Guards against figures that no entry of this build sends."""
    assert decode(msgpack.packb(['speeds', 'x', content])) is None
