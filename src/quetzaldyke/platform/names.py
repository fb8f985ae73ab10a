"""Header names, paths, store keys and variables that the platform defines."""

from __future__ import annotations

from typing import Final

# Identifies one attempt of a caller; endpoints return it in the response.
ATTEMPT_ID: Final = b'attempt-id'
# Milliseconds for which the sender will wait for the response.
DEADLINE: Final = b'deadline-ms'
# Id of the endpoint that the request is for; any other endpoint rejects it.
EXPECTED_ENDPOINT: Final = b'expect-instance'
# Number of the last event of a stream that was received.
LAST_EVENT: Final = b'last-event-id'
# Parts of the prompt in order; requests may share all but the last.
PROMPT_PARTS: Final = b'prompt-prefix'
# Present only on responses to requests that were not executed.
NOT_RUN: Final = b'not-executed'
# Signature that proves that an endpoint produced the response.
SIGNATURE: Final = b'response-signature'
# Running requests, waiting requests and slots of the endpoint.
LOAD: Final = b'server-load'
# Requests per second that the endpoint takes from all entries together.
LIMIT: Final = b'server-limit'
# Present, with the value 1, on all responses of an endpoint that is draining.
DRAINING: Final = b'server-leaving'
# API key of a caller, in the form of a bearer token.
AUTHORIZATION: Final = b'authorization'
# Name of the organisation whose request it is, set for the endpoint.
ORGANISATION: Final = b'tenant'
# Milliseconds that a read of a job may wait for new results.
WAIT: Final = b'wait-ms'
RETRY_AFTER: Final = b'retry-after'

JOB_PATH: Final = '/quetzaldyke/lots/'
ITEM_PATH: Final = '/quetzaldyke/items/'

# Challenge of a response that asks for a key.
AUTHENTICATE: Final = (b'www-authenticate', b'Bearer')

CONFIG_KEY: Final = 'op/config'
OPERATOR_PREFIX: Final = 'op/'
RETIRE_PREFIX: Final = 'op/retire/'
RETIRE_STATUS_PREFIX: Final = 'status/retire/'
ENDPOINT_PREFIX: Final = 'servers/'
SETTINGS_VARIABLE: Final = 'QUETZALDYKE_CONFIG'
