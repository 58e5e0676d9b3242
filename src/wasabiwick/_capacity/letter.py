"""The users' requirements (fleet size and limits), and the loads of one host derived from them.

Rates are per second unless a comment names another period. Control-plane work is all work of a
host except relaying output.
"""

HOSTS = 350
ENGINES = 1_000
ACCELERATORS = 8_100
REQUEST_RATE = 2_900.0  # Peak requests/s of all hosts together.
TOKEN_RATE = 1_300_000.0  # Output tokens/s of all hosts together.
FIRST_OUTPUT_S = 0.55  # 95th percentile of the time to the first output.
OUTPUT_INTERVAL_S = 0.054  # 95th percentile of the time between two outputs.
KV_BYTE_RATE = 2_000e9  # Bytes/s of KV cache transferred between engines.
CUSTOMERS = 2_700
MODELS = 16
REGIONS = 2
ZONES_PER_REGION = 4
CHANGES = 4_400  # Configuration changes per day.
MAX_CHANGE_DELAY_S = 12.0  # Longest time until a configuration change is in force at every host.
HOST_FAILURES_PER_DAY = 11
HOST_RESTARTS_PER_DAY = 460

MAX_CORE_SHARE = 0.019  # Share of one core that control-plane work may use at each host, 0 to 1.
MAX_MEMORY_BYTES = 256e6  # Bytes of memory that control-plane work may use at each host.
MAX_TRAFFIC_RATE = 23e3  # Bytes/s that control-plane work may send and receive at each host.

DAY_S = 86_400.0
ZONES = REGIONS * ZONES_PER_REGION
HOSTS_PER_ZONE = -(-HOSTS // ZONES)
ENGINES_PER_ZONE = ENGINES // ZONES
POOLS = MODELS * ZONES
ENGINES_PER_POOL = ENGINES / POOLS
HOST_REQUEST_RATE = REQUEST_RATE / HOSTS
POOL_REQUEST_RATE = REQUEST_RATE / POOLS
HOST_TOKEN_RATE = TOKEN_RATE / HOSTS
TOKENS_PER_REQUEST = TOKEN_RATE / REQUEST_RATE
REQUEST_DURATION_S = TOKENS_PER_REQUEST * OUTPUT_INTERVAL_S + FIRST_OUTPUT_S
IN_FLIGHT = REQUEST_RATE * REQUEST_DURATION_S
STREAMS_PER_ENGINE = IN_FLIGHT / ENGINES
IN_FLIGHT_PER_HOST = IN_FLIGHT / HOSTS
HOST_LIST_ENTRIES = HOSTS + ENGINES
