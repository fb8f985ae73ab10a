"""Builds configurations with organisations, and requests with their keys."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace

import anyio
import orjson

from gateway_kit import make_route
from quetzaldyke.gateway.configuration_feed import ConfigurationFeed
from quetzaldyke.gateway.key_check import Admitted, KeyCheck
from quetzaldyke.gateway.model import CallerLimits, Configuration, Organisation
from quetzaldyke.gateway.received_request import ReceivedRequest
from quetzaldyke.gateway.route_table import RouteTable
from quetzaldyke.gateway.watch import OWN_CALL
from quetzaldyke.parts.api_keys import KeyDirectory
from quetzaldyke.process.metrics import Metrics

HOST = 'h.example'


def bearer(key: str) -> tuple[bytes, bytes]:
    """Return the header that shows a key."""
    return (b'authorization', b'Bearer %b' % key.encode())


def make_request(
    *headers: tuple[bytes, bytes], path: str = '/p/x'
) -> ReceivedRequest:
    """Return a request on the route `r`."""
    return ReceivedRequest(
        b'POST', path.encode(), path, b'', HOST, list(headers), b''
    )


def make_directory(keys: dict[str, str]) -> KeyDirectory[Organisation]:
    """Return the organisations that hold some keys."""
    owners = {name: Organisation(name) for name in keys.values()}
    pairs = ((name, key.encode()) for key, name in keys.items())
    return KeyDirectory.from_keys(owners, pairs).unwrap()


def make_configuration(
    keys: dict[str, str] | None, *, version: int = 1, public: bool = False
) -> Configuration:
    """Return a version with a stream route, and a batch route below it."""
    batch = make_route('batch', cap=100)
    routes = (
        replace(make_route(), public=public),
        replace(batch, name='b', prefix='/p/batch/', public=public),
    )
    directory = None if keys is None else make_directory(keys)
    return Configuration(version, routes, {}, CallerLimits(), directory)


def encode_record(version: int, tenants: object) -> bytes:
    """Return a version as the operator writes it, with one route."""
    route = {
        'name': 'r',
        'host': HOST,
        'prefix': '/p/',
        'kind': 'stream',
        'timeout-ms': 1000,
        'service': 'lm',
        'max-attempts': 1,
    }
    return orjson.dumps(
        {
            'version': version,
            'routes': [route],
            'services': [],
            'tenants': tenants,
        }
    )


def confirm(feed: ConfigurationFeed) -> None:
    """Tell an entry that the store has no newer version."""
    feed.confirmation.note(feed.now(), OWN_CALL)


@dataclass(slots=True)
class KeyRig:
    """The key check of one entry, whose configuration tests change."""

    revocation_s: float | None = None
    now: Callable[[], float] = anyio.current_time
    table: RouteTable | None = None
    metrics: Metrics = field(default_factory=Metrics)
    feed: ConfigurationFeed = field(init=False)
    check: KeyCheck = field(init=False)

    def __post_init__(self) -> None:
        """Create the feed, which knows no version yet."""
        self.feed = ConfigurationFeed(self.now, self.configure)
        self.check = KeyCheck(self.feed, self.metrics, self.revocation_s)

    def configure(self, configuration: Configuration) -> None:
        """Put a version into force."""
        self.table = RouteTable.from_configuration(configuration)

    def write(self, version: int, tenants: object) -> None:
        """Receive a version from the store, which confirms it."""
        self.feed.apply(encode_record(version, tenants))
        confirm(self.feed)

    async def admit(self, *keys: str, path: str = '/p/x') -> Admitted:
        """Admit a request with some keys."""
        request = make_request(*map(bearer, keys), path=path)
        return await self.check.admit(request, lambda: self.table)
