"""Tests of whose request it is, from its key and the configuration."""

from __future__ import annotations

from dataclasses import replace
from types import SimpleNamespace
from unittest import mock

import orjson
import pytest
from gateway_kit import make_route, make_table
from result import Err, Ok

from key_rig import encode_record
from quetzaldyke.gateway import configuration_feed
from quetzaldyke.gateway.authentication import ANONYMOUS, Identity, identify
from quetzaldyke.gateway.configuration_feed import ConfigurationFeed
from quetzaldyke.gateway.model import Configuration, Organisation
from quetzaldyke.gateway.online_request import Headers
from quetzaldyke.gateway.route_table import RouteTable
from quetzaldyke.parts.api_keys import KeyDirectory
from quetzaldyke.parts.transactions import WatchedChange
from quetzaldyke.platform.jobs import SubmittedItem
from quetzaldyke.platform.records import MAX_RATE, decode_configuration
from quetzaldyke.process.callers_middleware import KeyIndex
from quetzaldyke.version import configuration as version_configuration

DEPOT = Organisation('depot', priority=1, rate=10.0, burst=20.0)


def make_organisations_table() -> RouteTable:
    """Return routes of a configuration with one organisation."""
    directory = KeyDirectory.from_keys(
        {'depot': DEPOT}, [('depot', b'first'), ('depot', b'second')]
    ).unwrap()
    return replace(make_table(make_route()), directory=directory)


def decode(tenants: object) -> Configuration:
    """Return a configuration that was read from the operator's record."""
    record = {'version': 1, 'routes': [], 'services': [], 'tenants': tenants}
    return decode_configuration(orjson.dumps(record)).unwrap()


def test_each_key_of_an_organisation_is_accepted() -> None:
    """Guards against an organisation that can't change its key."""
    table = make_organisations_table()
    for key in (b'first', b'second'):
        headers = [(b'authorization', b'Bearer ' + key)]
        identity = identify(headers, make_route(), table).unwrap()
        assert identity.organisation == DEPOT


def test_missing_unknown_and_ambiguous_keys_are_told_apart() -> None:
    """Guards against service without a key or with one of two."""
    table = make_organisations_table()
    bearer = (b'authorization', b'Bearer first')
    refused: list[tuple[Headers, str]] = [
        ([], 'no_key'),
        ([bearer, bearer], 'no_key'),
        ([(b'authorization', b'Basic first')], 'no_key'),
        ([(b'authorization', b'Bearer ')], 'no_key'),
        ([(b'authorization', b'Bearer ' + b'x' * 1_000_000)], 'no_key'),
        ([(b'authorization', b'Bearer third')], 'unknown_key'),
    ]
    for headers, reason in refused:
        assert identify(headers, make_route(), table) == Err(reason)


def test_public_route_needs_no_key() -> None:
    """Guards against a public route that is closed to its callers."""
    table = make_organisations_table()
    public = replace(make_route(), public=True)
    identity = identify([], public, table).unwrap()
    assert identity.enforced
    assert identity.organisation is None


def test_endpoint_gets_the_name_and_never_the_key() -> None:
    """Guards against a caller that names an organisation or shows its key."""
    table = make_organisations_table()
    headers = [
        (b'authorization', b'Bearer first'),
        (b'tenant', b'somebody'),
        (b'model', b'm'),
    ]
    identity = identify(headers, make_route(), table).unwrap()
    assert identity.apply_to(headers) == [
        (b'model', b'm'),
        (b'tenant', b'depot'),
    ]
    public = replace(make_route(), public=True)
    anonymous = identify(headers, public, table).unwrap()
    assert anonymous.apply_to(headers) == [(b'model', b'm')]


def test_headers_are_left_alone_without_organisations() -> None:
    """Guards against changes where the operator configures no keys."""
    headers = [(b'authorization', b'Bearer first'), (b'tenant', b'somebody')]
    table = make_table(make_route())
    assert identify(headers, make_route(), table) == Ok(ANONYMOUS)
    assert ANONYMOUS.apply_to(headers) == headers


def test_configuration_without_organisations_needs_no_keys() -> None:
    """Guards against keys that are asked for where none can exist."""
    assert decode(None).directory is None
    empty = decode([])
    assert empty.directory is not None
    assert empty.directory.find(b'any') is None


def test_limits_of_an_organisation_are_read() -> None:
    """Guards against a limit or priority that is lost on the way."""
    row = {
        'name': 'depot',
        'api-keys': ['k1', 'k2'],
        'priority': 1,
        'rate-per-s': 10,
        'burst': 20,
    }
    directory = decode([row]).directory
    assert directory is not None
    assert directory.find(b'k2') == DEPOT


@pytest.mark.parametrize(
    'rows',
    [
        [{'name': 'depot'}, {'name': 'depot'}],
        [{'name': 'depot', 'rate-per-s': -1}],
        [{'name': 'depot', 'burst': 'secret-key'}],
        [{'name': 'depot', 'api-keys': 'secret-key'}],
        [{'name': 'depot', 'api-keys': ['secret-key\n']}],
        [{'name': 'depot', 'api-keys': ['sécret-key', '']}],
        [{'name': 'depot', 'api-keys': ['secret-key' * 200]}],
        [{'name': 'depot\r\nx: y', 'api-keys': ['secret-key']}],
        [{'api-keys': ['secret-key']}, None],
        {'depot': ['secret-key']},
    ],
)
def test_odd_organisations_leave_the_version_before(rows: object) -> None:
    """Guards against odd organisations in force, and a key in the log line."""
    good = [{'name': 'depot', 'api-keys': ['first']}]
    changes = [
        WatchedChange('op/config', 1, encode_record(1, good)),
        WatchedChange('op/config', 2, encode_record(2, rows)),
    ]
    feed = ConfigurationFeed(lambda: 0.0, lambda _: None)
    with mock.patch.object(configuration_feed, 'log_event') as log_event:
        feed.on_changes(changes, 2)
    assert feed.version == 1
    (applied, unreadable) = log_event.call_args_list
    assert unreadable.args == ('config_unreadable',)
    assert 'secret' not in str(unreadable.kwargs)


def test_huge_limits_of_an_organisation_stay_usable() -> None:
    """Guards against rates that overflow what counts them."""
    row = {'name': 'depot', 'api-keys': ['k'], 'rate-per-s': 1e300}
    directory = decode([row | {'burst': 1e60}]).directory
    assert directory is not None
    depot = directory.find(b'k')
    assert depot is not None
    assert depot.rate == depot.burst == MAX_RATE


def test_key_listed_twice_by_its_organisation_is_one_key() -> None:
    """Guards against a version that is refused for a harmless repetition."""
    directory = decode([{'name': 'depot', 'api-keys': ['k', 'k']}]).directory
    assert directory is not None
    assert directory.find(b'k') == Organisation('depot')


def test_items_of_a_job_state_no_identity() -> None:
    """Guards against a key in the store, or an item that names an owner."""
    headers = (('AUTHORIZATION', 'Bearer k'), ('Tenant', 'x'), ('Model', 'm'))
    item = SubmittedItem('i', '/p', headers, 1, b'')
    cleaned = Identity(DEPOT, enforced=True).apply_to_items([item])
    assert cleaned == [replace(item, headers=(('Model', 'm'),))]
    assert ANONYMOUS.apply_to_items([item]) == [item]


def test_key_of_two_organisations_is_refused() -> None:
    """Guards against one organisation that acts as another."""
    rows = [{'name': name, 'api-keys': ['k']} for name in ('depot', 'hotel')]
    record = {'version': 1, 'routes': [], 'services': [], 'tenants': rows}
    decoded = decode_configuration(orjson.dumps(record))
    assert decoded == Err('depot and hotel hold the same key')


def test_products_own_entry_tells_keys_apart_in_the_same_way() -> None:
    """Guards against two decisions on whose request it is.

    A new configuration counts from the next request on.
    """
    owners = {
        name: version_configuration.Organisation(
            key_sha256=version_configuration.hash_key(f'key-{name}')
        )
        for name in ('depot', 'hotel')
    }
    current = version_configuration.Configuration(organisations=owners)
    holder = SimpleNamespace(current=current)
    keys = KeyIndex(holder)
    first, second = b'bearer key-depot', b'Bearer  key-hotel '
    assert keys.find_organisation([first]) == 'depot'
    assert keys.find_organisation([second]) == 'hotel'
    for credentials in ([], [first, second], [b'Basic key-depot'], [b'Bearer']):
        assert keys.find_organisation(credentials) is None
    holder.current = version_configuration.EMPTY
    assert keys.find_organisation([first]) is None
