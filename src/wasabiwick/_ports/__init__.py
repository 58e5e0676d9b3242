"""Ports: the interfaces through which the runner reaches other systems."""

from .clock import Clock
from .dialect import Dialect
from .endpoints import Answer, EndpointListener, Endpoints, Exchange
from .engine import Engine
from .hops import HopAnswer, Hops
from .host_list import HostList
from .log_service import LogService
from .neighbours import Datagrams, HostRegister, SavedStreams
from .peer import Peer
from .service import Service, ServiceAnswer
from .weight_store import WeightStore

__all__ = [
    "Answer",
    "Clock",
    "Datagrams",
    "Dialect",
    "EndpointListener",
    "Endpoints",
    "Engine",
    "Exchange",
    "HopAnswer",
    "Hops",
    "HostList",
    "HostRegister",
    "LogService",
    "Peer",
    "SavedStreams",
    "Service",
    "ServiceAnswer",
    "WeightStore",
]
