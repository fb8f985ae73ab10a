"""Decides whose request it is, from its API key and the configuration.

Failure pattern: keys are added and withdrawn while connections, streams and
jobs live on, and an entry may know an older version than its callers. Each
request is therefore decided by itself. `key_check.py` decides whether one with
an unknown key is rejected or refused for now.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from result import Err, Ok, Result

from quetzaldyke.gateway.model import Organisation, Route
from quetzaldyke.gateway.online_request import Headers
from quetzaldyke.gateway.route_table import RouteTable
from quetzaldyke.parts.api_keys import bearer_key
from quetzaldyke.platform import names
from quetzaldyke.platform.jobs import SubmittedItem

# Never forwarded where requests need a key: an endpoint must not learn it, and
# takes the name of the organisation from the entry alone.
IDENTITY_HEADERS = frozenset((names.AUTHORIZATION, names.ORGANISATION))


@dataclass(frozen=True, slots=True)
class Identity:
    """Whose request it is.

    `organisation` is None where requests need no key: if none is configured,
    or on a public route.
    """

    organisation: Organisation | None = None
    # Whether any organisations are configured.
    enforced: bool = False

    @property
    def name(self) -> str:
        """Return the organisation's name; empty if there is none."""
        return self.organisation.name if self.organisation else ''

    def apply_to(self, headers: Headers) -> Headers:
        """Return the headers of a request, with what states its identity.

        Headers are left as they are where no organisations are configured.
        """
        if not self.enforced:
            return headers
        kept = [pair for pair in headers if pair[0] not in IDENTITY_HEADERS]
        if self.organisation is not None:
            kept.append((names.ORGANISATION, self.name.encode()))
        return kept

    def apply_to_items(
        self, items: Iterable[SubmittedItem]
    ) -> list[SubmittedItem]:
        """Return the items of a job without headers that state an identity.

        They are stored with the job, and a key must not be.
        """
        if not self.enforced:
            return list(items)
        return [
            replace(
                item,
                headers=tuple(
                    (name, text)
                    for name, text in item.headers
                    if name.lower().encode() not in IDENTITY_HEADERS
                ),
            )
            for item in items
        ]

    def may_access(self, owner: str) -> bool:
        """Return whether the jobs of an organisation exist for this one.

        `owner` is empty for jobs that were submitted without a key, which
        whoever knows their id may use. The same holds for all jobs where
        requests need no key.
        """
        return not self.enforced or not owner or owner == self.name


ANONYMOUS = Identity()


def identify(
    headers: Headers,
    route: Route | None,
    table: RouteTable,
    *,
    key_optional: bool = False,
) -> Result[Identity, str]:
    """Return whose request it is, or fail if its key is missing or unknown.

    A request may come without any credentials if `key_optional` is set. The
    failure is the reason for the log; it holds no part of the key.
    """
    directory = table.directory
    if directory is None:
        return Ok(ANONYMOUS)
    if route is not None and route.public:
        return Ok(Identity(enforced=True))
    credentials = [
        content for name, content in headers if name == names.AUTHORIZATION
    ]
    if key_optional and not credentials:
        return Ok(Identity(enforced=True))
    key = bearer_key(credentials)
    if key is None:
        return Err('no_key')
    organisation = directory.find(key)
    if organisation is None:
        return Err('unknown_key')
    return Ok(Identity(organisation, enforced=True))
