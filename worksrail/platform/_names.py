"""Names of the platform's protocol: headers, paths, kinds and fields.

Only this package uses them.  Comments explain names that are misleading.
"""

from typing import Final

# -- headers of requests and answers

# The caller's identifier of one attempt; echoed by upstreams.
REQUEST_ID: Final = 'Request-Id'
# Milliseconds that the sender of the request waits for the answer.
DEADLINE: Final = 'Deadline-Ms'
# A cookie, not a header: the affinity key.
AFFINITY_COOKIE: Final = 'Affinity-Key'
# Signature of the upstream that made the answer; entries never set it.
SIGNATURE: Final = 'Response-Signature'
# Identifier of the only upstream that may execute the request.
TARGET: Final = 'Target-Instance'
# Present if the upstream did not execute the request.
NOT_EXECUTED: Final = 'Not-Executed'
# Executing requests, waiting requests and slots, separated by commas.
LOAD: Final = 'Server-Load'
# Requests per second that the upstream accepts from all entries together.
RATE_LIMIT: Final = 'Server-Limit'
# Present, with the value 1, if the upstream is shutting down.
LEAVING: Final = 'Server-Leaving'
# In answers to health checks: the identifier of the upstream.
IDENTIFIER: Final = 'Instance-Id'
# A caller's API key and nothing else.
API_KEY: Final = 'Credential'
# Name of the customer that owns the key; only entries set it, for upstreams.
CUSTOMER: Final = 'Tenant'
RETRY_AFTER: Final = 'Retry-After'
CONTENT_ENCODING: Final = 'Content-Encoding'

# Headers that callers, upstreams or entries rely on for each message.
PROTECTED: Final = frozenset(
    (
        REQUEST_ID,
        DEADLINE,
        SIGNATURE,
        TARGET,
        NOT_EXECUTED,
        LOAD,
        RATE_LIMIT,
        LEAVING,
        IDENTIFIER,
        API_KEY,
        CUSTOMER,
    )
)

# -- statuses

# Another upstream has this address now; the request was not executed.
MISDIRECTED: Final = 421
# Callers send a request again after one of these, since it promises that the
# request was not executed and will not be.
PROMISES: Final = frozenset((408, MISDIRECTED, 429, 503))

# -- paths

READINESS: Final = '/-/readiness'
RESOLVE: Final = '/-/resolve'
OBJECTS: Final = '/-/objects/'

# -- environment

SETTINGS_PATH: Final = 'WORKSRAIL_CONFIG'
FINGERPRINT_SECRET: Final = 'WORKSRAIL_FINGERPRINT_SECRET'

# -- kinds of objects in the store

CONFIGURATION_KIND: Final = 'config'
CONFIGURATION_NAME: Final = 'main'
UPSTREAM_KIND: Final = 'servers'
EVACUATION_KIND: Final = 'evacuations'
# The entries' own kind: one object for each zone.
ENTRY_KIND: Final = 'entries'
