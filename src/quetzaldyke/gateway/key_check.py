"""Admits requests by their API keys while the configuration may be behind.

Failure pattern: a key was added a moment ago and its caller reaches an entry
before the new version does, or an entry is cut off from the store and can't
know of keys that were added or withdrawn. Load pattern: a caller goes on with
a withdrawn key and sends requests without end.

A request with an unknown key waits shortly for a newer version, without any
call to the store. It is rejected only by an entry whose configuration was
confirmed recently; any other refuses it for now. Where the installation asks
for strict revocation, known keys are refused too once nothing has confirmed
them for too long.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

import anyio
from result import Err, Ok, Result

from quetzaldyke.gateway.authentication import Identity, identify
from quetzaldyke.gateway.configuration_feed import ConfigurationFeed
from quetzaldyke.gateway.model import Bounds, Route
from quetzaldyke.gateway.received_request import ReceivedRequest
from quetzaldyke.gateway.route_table import RouteTable
from quetzaldyke.platform import names
from quetzaldyke.process.metrics import Metrics

MS_IN_S: Final = 1000
# A new version reaches all entries within this, unless links or the store fail.
VERSION_WAIT_S: Final = 0.3
# Requests with an unknown key that wait at one entry.
MAX_WAITING: Final = 256


@dataclass(frozen=True, slots=True)
class Admission:
    """The route of a request, if there is one, and whose request it is."""

    route: Route | None
    identity: Identity


@dataclass(frozen=True, slots=True)
class Denial:
    """Why a request is not admitted; no part of its key is kept."""

    reason: str
    # Whether the key is unknown to the current version: 401. Otherwise the
    # request is refused for now.
    unauthorized: bool = False
    # Name of the route, for the log.
    route: str = field(default='', compare=False)


Admitted = Result[Admission, Denial]


@dataclass(slots=True)
class KeyCheck:
    """Checks the key of each request against the configuration in force."""

    feed: ConfigurationFeed
    metrics: Metrics
    # After this long without a confirmation no key is accepted; None if keys
    # are accepted throughout an outage.
    revocation_s: float | None = None
    waiting: int = 0

    @classmethod
    def from_bounds(
        cls, bounds: Bounds, feed: ConfigurationFeed, metrics: Metrics
    ) -> KeyCheck:
        """Return a check that revokes keys as the installation asks."""
        strict_s = bounds.revocation_s if bounds.strict_revocation else None
        return cls(feed, metrics, strict_s)

    async def admit(
        self,
        request: ReceivedRequest,
        table: Callable[[], RouteTable | None],
    ) -> Admitted:
        """Admit a request, or tell why not.

        `table` returns the routes in force, which may change meanwhile.
        """
        admitted = self.decide(request, table())
        if may_be_new(admitted):
            admitted = await self.wait_for_version(request, table)
        if isinstance(admitted, Err) and admitted.err_value.unauthorized:
            reason = admitted.err_value.reason
            self.metrics.count('keys_rejected_total', reason=reason)
        return admitted

    def decide(
        self, request: ReceivedRequest, table: RouteTable | None
    ) -> Admitted:
        """Decide by the version in force and its last confirmation."""
        if table is None:
            return Err(Denial('no_configuration'))
        route = table.find(request.host, request.path)
        identified = identify_caller(request, route, table)
        if isinstance(identified, Err):
            if not self.feed.is_current():
                return Err(Denial('configuration_too_old'))
            name = route.name if route else ''
            return Err(Denial(identified.err_value, True, name))
        identity = identified.ok_value
        if identity.organisation is not None and self.is_unconfirmed():
            return Err(Denial('keys_unconfirmed'))
        return Ok(Admission(route, identity))

    def is_unconfirmed(self) -> bool:
        """Return whether known keys may have been withdrawn for too long."""
        if self.revocation_s is None:
            return False
        return self.feed.age_s() > self.revocation_s

    async def wait_for_version(
        self,
        request: ReceivedRequest,
        table: Callable[[], RouteTable | None],
    ) -> Admitted:
        """Decide again at each version that arrives soon, then at last."""
        if self.waiting >= MAX_WAITING:
            return Err(Denial('too_many_unknown_keys'))
        self.waiting += 1
        try:
            with anyio.move_on_after(version_wait_s(request)):
                while True:
                    await self.feed.changed.wait()
                    admitted = self.decide(request, table())
                    if isinstance(admitted, Ok):
                        self.metrics.count('late_keys_total')
                        return admitted
        finally:
            self.waiting -= 1
        return self.decide(request, table())


def identify_caller(
    request: ReceivedRequest, route: Route | None, table: RouteTable
) -> Result[Identity, str]:
    """Return whose request it is; see `authentication.identify`.

    A request about a job needs the key of the job's organisation whatever
    route its path is below. It needs none for jobs of a public route, of which
    the host may have some.
    """
    if not is_about_job(request):
        return identify(request.headers, route, table)
    public = table.has_public_jobs(request.host)
    return identify(request.headers, None, table, key_optional=public)


def may_be_new(admitted: Admitted) -> bool:
    """Return whether a request was denied for a key of a version to come."""
    return isinstance(admitted, Err) and (
        admitted.err_value.reason == 'unknown_key'
    )


def is_about_job(request: ReceivedRequest) -> bool:
    """Return whether a request is about a job that was accepted before."""
    return request.path.startswith((names.JOB_PATH, names.ITEM_PATH))


def version_wait_s(request: ReceivedRequest) -> float:
    """Return how long a request may wait for a newer version.

    At most half of its caller's time, so that it can still be served.
    """
    left_ms = request.number(names.DEADLINE)
    if left_ms is None:
        return VERSION_WAIT_S
    return min(VERSION_WAIT_S, left_ms / MS_IN_S / 2)
