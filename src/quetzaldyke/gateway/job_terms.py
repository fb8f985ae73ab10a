"""Decides by which terms the items of an accepted job run.

Failure pattern: an operator changes, moves, splits or removes the route of
jobs whose items wait or run, and adds it again with other figures. The owners
of the jobs are stopped or killed, or know another version than the entry that
accepted the jobs.

A job is kept from its acceptance on, whatever becomes of its route, so its
record holds the terms of that moment. `docs/decisions.md` has a table of what
follows the operator and what was promised to the caller. In short: services
and weights are those of the newest version that the owner knows, also that of
the acceptance; the due time is that of the acceptance; items are given up no
earlier than either allows. The items of a route that has ended run on while
an endpoint takes them, and are failed once none can.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import replace
from typing import Final

from quetzaldyke.gateway.job_records import JobRecord, JobTerms
from quetzaldyke.gateway.model import Route
from quetzaldyke.gateway.route_table import RouteTable

# Of a job without any record of its terms: nothing can run its items.
NO_TERMS: Final = JobTerms(
    version=0, services=(), max_attempts=1, max_wait_s=math.inf
)
# Items of an ended route that no endpoint takes are failed after this time. A
# route that is removed and added again, or endpoints that restart, are back
# within it.
UNSERVED_GRACE_S: Final = 5.0


def terms_of_route(route: Route, version: int) -> JobTerms:
    """Return the terms that a route of a configuration version gives."""
    options = route.batch
    assert options is not None
    return JobTerms(
        version,
        route.services,
        route.max_attempts,
        options.completion_target_s,
        options.max_wait_s,
    )


def batch_route(record: JobRecord, table: RouteTable) -> Route | None:
    """Return the route of a job; None if there is no such batch route."""
    route = table.by_name.get(record.route)
    return route if route is not None and route.batch is not None else None


def current_terms(
    record: JobRecord, table: RouteTable, held: JobTerms | None = None
) -> JobTerms:
    """Return the terms by which a job runs now.

    `held` are those by which its owner has run it so far. They go before the
    accepted ones if the route has ended, as the job may have moved since.
    """
    accepted = record.terms
    route = batch_route(record, table)
    if route is None:
        return ended_terms(accepted, held, table)
    if accepted is None:
        return terms_of_route(route, table.version)
    if table.version < accepted.version:
        return accepted
    return merge_terms(accepted, terms_of_route(route, table.version))


def ended_terms(
    accepted: JobTerms | None, held: JobTerms | None, table: RouteTable
) -> JobTerms:
    """Return the terms of a job whose route the table lacks.

    These are the latest with a service that is still configured.
    """
    known = [terms for terms in (held, accepted) if terms is not None]
    usable = [terms for terms in known if is_configured(terms, table)]
    return next(iter(usable or known), NO_TERMS)


def is_configured(terms: JobTerms, table: RouteTable) -> bool:
    """Return whether any service of the terms is configured."""
    return any(share.service in table.services for share in terms.services)


def merge_terms(accepted: JobTerms, current: JobTerms) -> JobTerms:
    """Return the current terms with what the acceptance promised."""
    return JobTerms(
        current.version,
        current.services,
        max(accepted.max_attempts, current.max_attempts),
        accepted.completion_target_s,
        max(accepted.max_wait_s, current.max_wait_s),
    )


def same_but_version(one: JobTerms, other: JobTerms) -> bool:
    """Return whether terms differ in nothing that items run by."""
    return replace(one, version=other.version) == other


def has_ended(record: JobRecord, table: RouteTable) -> bool:
    """Return whether the route of a job has ended.

    A configuration older than the one of the job's acceptance proves nothing.
    """
    accepted = record.terms or NO_TERMS
    if table.version < accepted.version:
        return False
    return batch_route(record, table) is None


def can_never_run(
    record: JobRecord, table: RouteTable, held: JobTerms | None = None
) -> bool:
    """Return whether the route of a job has ended, and its services too."""
    terms = ended_terms(record.terms, held, table)
    return has_ended(record, table) and not is_configured(terms, table)


def is_unserved(
    record: JobRecord,
    table: RouteTable,
    terms: JobTerms,
    is_open: Callable[[str], bool],
) -> bool:
    """Return whether only services without work for them could run a job.

    That is so if its route has ended, no route names its services and none of
    them has an endpoint that takes work, as `is_open` tells. An operator who
    empties them brings none back for the job.
    """
    if not has_ended(record, table):
        return False
    named = {
        share.service
        for route in table.by_name.values()
        for share in route.services
    }
    return not any(
        share.service in named or is_open(share.service)
        for share in terms.services
    )
