"""Header names, paths and key prefixes of the platform."""

from __future__ import annotations

from typing import Final

# Identifies one attempt of a caller; endpoints echo it.
ATTEMPT_ID: Final = b'attempt-id'
# Milliseconds that the sender will wait.
DEADLINE: Final = b'deadline-ms'
# Any endpoint with another id rejects the request.
EXPECTED_ENDPOINT: Final = b'expect-instance'
# Number of the last event that was received.
LAST_EVENT: Final = b'last-event-id'
# Present only on answers of requests that did not run.
NOT_RUN: Final = b'not-executed'
# Proof that an endpoint made the answer.
SIGNATURE: Final = b'response-signature'
# Running, waiting, slots of the endpoint.
LOAD: Final = b'server-load'
# Milliseconds that a read may wait for a result.
WAIT: Final = b'wait-ms'
RETRY_AFTER: Final = b'retry-after'

JOB_PATH: Final = '/quetzaldyke/lots/'
ITEM_PATH: Final = '/quetzaldyke/items/'

CONFIG_KEY: Final = 'op/config'
OPERATOR_PREFIX: Final = 'op/'
RETIRE_PREFIX: Final = 'op/retire/'
RETIRE_STATUS_PREFIX: Final = 'status/retire/'
ENDPOINT_PREFIX: Final = 'servers/'
SETTINGS_VARIABLE: Final = 'QUETZALDYKE_CONFIG'
