"""Names of the platform's headers, paths, and topics (logs of keyed records in its store)."""

PREFIX = b"x-wasabiwick-"
ATTEMPT_ID = PREFIX + b"attempt-id"
DEADLINE_MS = PREFIX + b"deadline-ms"
EXPECT_INSTANCE = PREFIX + b"expect-instance"
INSTANCE_LOAD = PREFIX + b"instance-load"
KV_HOLD = PREFIX + b"kv-hold"
KV_SOURCE = PREFIX + b"kv-source"
LENGTH_HINT = PREFIX + b"length-hint"
NOT_EXECUTED = PREFIX + b"not-executed"
PREFIX_HASH = PREFIX + b"prefix-hash"
PRIORITY = PREFIX + b"request-priority"
SEAL = PREFIX + b"response-seal"
RETRY_AFTER = b"retry-after"
STORE_ERA = "Store-Era"  # Rises by one each time that the store was restored from a copy.
SERVER_LEAVING = b"server-leaving"
SERVER_LIMIT = b"server-limit"
STAGE = PREFIX + b"stage"
TOKEN_COUNT = PREFIX + b"token-count"
LAST_EVENT_ID = b"last-event-id"
RESUMES = b"resumes"

# Headers that only this system may set; if a caller sends them, they are removed.
SYSTEM_HEADERS = frozenset(
    (
        DEADLINE_MS,
        EXPECT_INSTANCE,
        KV_HOLD,
        KV_SOURCE,
        PRIORITY,
        STAGE,
        PREFIX + b"pin-ms",
        PREFIX + b"kv-backup",
        PREFIX + b"expect-version",
        PREFIX + b"not-executed",
        b"kv-fetch",
    )
)

CALLER_KEY = b"authorization"
CALLER_KEY_SCHEME = b"token"  # Word before a caller's key, in any case.
ORGANISATION = PREFIX + b"tenant"
# Headers that say who sends a request. Where the operator names organisations, no endpoint gets
# them as the caller wrote them.
CALLER_HEADERS = frozenset((CALLER_KEY, ORGANISATION))

IS_LEAVING = "1"  # Value of the header by which an endpoint says that it leaves.

READY_PATH = "/v1/readyz"
HOLD_TAKE = "/v1/hold-take"
HOLD_DROP = "/v1/hold-drop/"
ORDER = "/v1/order"
REPORT = "/v1/report"
KV_HANDLE = "/v1/kv-handle/"

LOG_APPEND = "/v1/log-append"
LOG_NEWEST = "/v1/log-newest"
LOG_READ = "/v1/log-read"

OPERATOR_TOPIC = "keyed.op"
SERVERS_TOPIC = "keyed.servers"
# Claims to the right to order engines to change their stage; written by entry hosts only.
CLAIMS_TOPIC = "keyed.orders"
CLAIM_KEY = "claim"
# Addresses of entry hosts, through which they find each other; written by entry hosts only.
HOSTS_TOPIC = "keyed.hosts"
# Streams of each entry host, with the build that began them; written by entry hosts only.
STREAMS_TOPIC = "keyed.streams"
SPARE_STREAMS_TOPIC = "keyed.streams-spare"  # The same, while the partition of the other is down.
# What each entry host has found out about endpoints and prompts; written by entry hosts only.
FINDINGS_TOPIC = "keyed.findings"
CONFIG_KEY = "config"
