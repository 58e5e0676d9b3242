"""Adapters that implement the ports: over HTTP, over UDP, and with the system's clocks."""

from ._clock import SystemClock
from ._engine import HttpEngine
from ._host_list import HttpHostList
from ._log_service import HttpLogService
from ._peer import HttpPeer
from ._service import HttpService
from ._weight_store import HttpWeightStore

__all__ = [
    "HttpEngine",
    "HttpHostList",
    "HttpLogService",
    "HttpPeer",
    "HttpService",
    "HttpWeightStore",
    "SystemClock",
]
