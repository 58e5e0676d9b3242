"""Ports: the narrow interfaces at which outside systems meet the runner."""

from .clock import Clock
from .engine import Engine
from .host_list import HostList
from .log_service import LogService
from .peer import Peer
from .service import Service, ServiceAnswer
from .weight_store import WeightStore

__all__ = [
    "Clock",
    "Engine",
    "HostList",
    "LogService",
    "Peer",
    "Service",
    "ServiceAnswer",
    "WeightStore",
]
