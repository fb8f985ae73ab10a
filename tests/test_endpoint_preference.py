"""Tests of the order in which an entry prefers endpoints, and of reuse."""

from __future__ import annotations

import math
import random
from collections import Counter

from gateway_kit import (
    FakeTime,
    make_dispatcher,
    make_endpoint,
    make_route,
)
from hypothesis import given
from hypothesis import strategies as st

from quetzaldyke.gateway.connection_reuse import (
    IDEMPOTENT_MAX_IDLE_S,
    NON_IDEMPOTENT_MAX_IDLE_S,
    max_idle_s,
)
from quetzaldyke.gateway.crashes import CrashTracker
from quetzaldyke.gateway.endpoint_preference import (
    EndpointPreference,
    preferences,
)
from quetzaldyke.gateway.http_client import HttpClient
from quetzaldyke.gateway.loads import LoadTable, RequestCounts
from quetzaldyke.gateway.online_request import RelayContext
from quetzaldyke.gateway.placement import PlacementPolicy

ENTRIES = [f'entry-{number}' for number in range(6)]
ENDPOINTS = [f'e{number}' for number in range(12)]


def first_endpoints(entry: str, count: int) -> list[str]:
    """Return the endpoints that an entry prefers."""
    ranks = preferences(entry, ENTRIES, ENDPOINTS, 'lm/a')
    return sorted(ranks, key=ranks.__getitem__)[:count]


def test_entries_cover_all_endpoints_evenly() -> None:
    """Guards against endpoints that several entries prefer and none does."""
    preferred = Counter(
        endpoint for entry in ENTRIES for endpoint in first_endpoints(entry, 2)
    )
    assert preferred == dict.fromkeys(ENDPOINTS, 1)


@given(st.integers(1, 12), st.integers(1, 12))
def test_first_choices_differ_by_one_at_most(entries: int, count: int) -> None:
    """Guards against fleets of odd sizes that load some endpoints more."""
    names = ENTRIES[:entries]
    ids = ENDPOINTS[:count]
    first = Counter(
        min(ranks, key=ranks.__getitem__)
        for ranks in (preferences(one, names, ids, 'k') for one in names)
    )
    loads = [first[endpoint] for endpoint in ids]
    assert max(loads) - min(loads) <= 1


def make_policy(entry: str) -> PlacementPolicy:
    """Return the placement of an entry with an order of its own."""
    preference = EndpointPreference(entry, 'a')
    endpoints = [make_endpoint(name, slots=8) for name in ENDPOINTS]
    preference.update([('lm', endpoints)], ENTRIES)
    return PlacementPolicy(
        'a', random.Random(1), LoadTable(), preference=preference
    )


def test_entry_keeps_to_its_endpoints_and_goes_on_under_load() -> None:
    """Guards against connections to every endpoint for a few requests."""
    policy = make_policy('entry-3')
    candidates = [make_endpoint(name, slots=8) for name in ENDPOINTS]
    chosen = []
    for _ in range(24):
        placement = policy.choose(candidates, 1)
        assert placement is not None
        endpoint_id = placement.endpoint.endpoint_id
        chosen.append(endpoint_id)
        counts = policy.loads.own_counts(endpoint_id)
        counts.online += 1
    assert chosen[0] == first_endpoints('entry-3', 1)[0]
    assert set(chosen[:3]) <= set(first_endpoints('entry-3', 3))
    assert len(set(chosen)) >= len(ENDPOINTS) / 2
    assert max(Counter(chosen).values()) <= 4


def test_full_endpoint_is_left_for_a_free_one() -> None:
    """Guards against a preference that outweighs load."""
    policy = make_policy('entry-0')
    first = first_endpoints('entry-0', 1)[0]
    policy.loads.own[first] = RequestCounts(online=3)
    placement = policy.choose(
        [make_endpoint(name, slots=8) for name in ENDPOINTS], 1
    )
    assert placement is not None
    assert placement.endpoint.endpoint_id != first


def test_entries_differ_about_endpoints_elsewhere() -> None:
    """Guards against entries that all prefer one endpoint elsewhere."""
    far = [make_endpoint(name, failure_domain='b') for name in ENDPOINTS]
    first = Counter[str]()
    for number in range(24):
        preference = EndpointPreference(f'entry-{number}', 'a')
        preference.update([('lm', far)], ENTRIES)
        assert 0 <= preference.rank('unknown') < 1
        first[min(ENDPOINTS, key=preference.rank)] += 1
    assert len(first) > len(ENDPOINTS) / 2
    assert max(first.values()) <= 6


def idle_limit(*, idempotent: bool, alive: bool, keep: bool) -> float:
    """Return the idle limit at an endpoint that sent bytes or did not."""
    time = FakeTime()
    endpoint = make_endpoint('e1')
    dispatcher = make_dispatcher(time, endpoint)
    if keep:
        dispatcher.policy = make_policy('entry-0')
    if alive:
        dispatcher.endpoints.note_bytes('e1', time.now_s)
    context = RelayContext(
        dispatcher,
        HttpClient(),
        CrashTracker('a', time.read, lambda report: None),
        time.read,
        lambda event, **fields: None,
    )
    route = make_route(resumable=idempotent)
    return max_idle_s(context, route, endpoint)


def test_request_that_may_run_once_needs_a_sign_of_life() -> None:
    """Guards against a request that is lost with a machine without power."""
    silent = idle_limit(idempotent=False, alive=False, keep=True)
    assert silent == NON_IDEMPOTENT_MAX_IDLE_S
    assert idle_limit(idempotent=False, alive=True, keep=True) == math.inf


def test_reuse_is_as_before_unless_connections_are_kept() -> None:
    """Guards against a change where the settings ask for none."""
    for alive in (False, True):
        once = idle_limit(idempotent=False, alive=alive, keep=False)
        again = idle_limit(idempotent=True, alive=alive, keep=False)
        assert once == NON_IDEMPOTENT_MAX_IDLE_S
        assert again == IDEMPOTENT_MAX_IDLE_S
