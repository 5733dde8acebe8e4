"""Names on the platform's wire: headers, paths, kinds and fields.

Only this package knows them.  Where a name misleads, the comment says what
it holds.
"""

from typing import Final

# -- headers of requests and answers

# The caller's identifier of one attempt; echoed by upstreams.
REQUEST_ID: Final = 'Request-Id'
# Milliseconds for which the sender of the request waits.
DEADLINE: Final = 'Deadline-Ms'
# A cookie, not a header: the affinity key.
AFFINITY_COOKIE: Final = 'Affinity-Key'
# Proof that an upstream made the answer; never set here.
SIGNATURE: Final = 'Response-Signature'
# Identifier that an upstream must have to execute the request.
TARGET: Final = 'Target-Instance'
# Present if the upstream did not execute the request.
NOT_EXECUTED: Final = 'Not-Executed'
# Executing and waiting requests and slots, separated by commas.
LOAD: Final = 'Server-Load'
# Requests a second that the upstream takes from all entries together.
RATE_LIMIT: Final = 'Server-Limit'
# A caller's API key, and nothing else.
API_KEY: Final = 'Credential'
# Name of the customer that holds the key; for upstreams, set by entries only.
CUSTOMER: Final = 'Tenant'
RETRY_AFTER: Final = 'Retry-After'
CONTENT_ENCODING: Final = 'Content-Encoding'

# -- statuses

# Another upstream has the address; the request was not executed.
MISDIRECTED: Final = 421

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
