"""Decides by which terms the items of an accepted job run.

Failure pattern: an operator removes the route of jobs whose items still wait,
and the owners of the jobs are stopped, killed or know another version of the
configuration than the entry that accepted the jobs.

A job is kept from its acceptance on, whatever becomes of its route, so its
record holds the terms of that moment. A route that exists goes before them.
Once a route has ended, its items run on while a service of the terms is
configured; if none is, they can never run and are failed at once.
"""

from __future__ import annotations

import math
from typing import Final

from quetzaldyke.gateway.job_records import JobRecord, JobTerms
from quetzaldyke.gateway.model import Route
from quetzaldyke.gateway.route_table import RouteTable

# Of a job without any record of its terms: nothing can run its items.
NO_TERMS: Final = JobTerms(
    version=0, services=(), max_attempts=1, max_wait_s=math.inf
)


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


def current_terms(record: JobRecord, table: RouteTable) -> JobTerms:
    """Return the terms by which a job runs now."""
    route = batch_route(record, table)
    if route is not None:
        return terms_of_route(route, table.version)
    return record.terms or NO_TERMS


def can_never_run(record: JobRecord, table: RouteTable) -> bool:
    """Return whether the route of a job has ended, and its services too.

    A configuration older than the one of the job's acceptance proves nothing.
    """
    terms = record.terms or NO_TERMS
    if table.version < terms.version or batch_route(record, table) is not None:
        return False
    return not any(share.service in table.services for share in terms.services)
