"""Records of the platform's store, decoded once into this product's types."""

import typing

import msgspec

from .._forwarding import (
    KINDS,
    Endpoint,
    EngineTraits,
    Route,
    RouteTable,
    ServiceTraits,
)

MS = 1000.0


class _Split(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct, rename="kebab"):
    name: str
    host: str
    path_prefix: str
    type: typing.Literal[KINDS]
    timeout_ms: float
    target_latency_ms: float
    max_attempts: int
    service: str = ""
    split: list[_Split] = []
    priority: int = 0
    resumable: bool = False
    target_itl_ms: float = 0.0


class _Engine(msgspec.Struct, rename="kebab"):
    slots: int
    kv_capacity_tokens: int
    kv_hold_s: float = 0.5
    hold_ms: float = 0.0
    switch_s: float = 0.0
    stride: int = 1


class _Service(msgspec.Struct, rename="kebab"):
    name: str
    max_connections: int = 100
    engine: _Engine | None = None


class _Config(msgspec.Struct, rename="kebab"):
    version: int
    routes: list[_Route]
    services: list[_Service]


class _Server(msgspec.Struct, rename="kebab"):
    service: str
    address: str
    zone: str
    slots: int
    state: typing.Literal["ready", "draining"]
    cold_remaining_ms: float = 0.0
    stage: str = ""
    born: int = 0


class ClaimRecord(msgspec.Struct):
    """A host's claim to give orders."""

    holder: str


class HostRecord(msgspec.Struct):
    """What an entry host writes of itself; ``address`` takes datagrams."""

    address: str
    zone: str


_CONFIG = msgspec.json.Decoder(_Config)
_SERVER = msgspec.json.Decoder(_Server)
_CLAIM = msgspec.json.Decoder(ClaimRecord)
_HOST = msgspec.json.Decoder(HostRecord)


def route_table(value: bytes) -> RouteTable:
    """Decode the operator's configuration.

    Raises:
        msgspec.MsgspecError: If it is none.
    """
    config = _CONFIG.decode(value)
    return RouteTable(
        version=config.version,
        routes=tuple(map(_route, config.routes)),
        services=tuple(map(_service, config.services)),
    )


def _route(one: _Route) -> Route:
    split = tuple((part.service, part.weight) for part in one.split if part.weight > 0)
    return Route(
        name=one.name,
        host=one.host,
        path_prefix=one.path_prefix,
        kind=one.type,
        resumable=one.resumable,
        max_attempts=one.max_attempts,
        timeout=one.timeout_ms / MS,
        target_latency=one.target_latency_ms / MS,
        target_gap=one.target_itl_ms / MS,
        priority=one.priority,
        services=split or ((one.service, 1.0),),
    )


def _service(one: _Service) -> ServiceTraits:
    engine = one.engine
    traits = engine and EngineTraits(
        slots=engine.slots,
        memory_tokens=engine.kv_capacity_tokens,
        hold_time=engine.hold_ms / MS,
        handle_time=engine.kv_hold_s,
        switch_time=engine.switch_s,
        stride=engine.stride,
    )
    return ServiceTraits(name=one.name, max_connections=one.max_connections, engine=traits)


def endpoint(name: str, value: bytes) -> Endpoint:
    """Decode what an engine or another endpoint says of itself.

    Raises:
        msgspec.MsgspecError: If it is no such entry.
    """
    server = _SERVER.decode(value)
    host, _, port = server.address.rpartition(":")
    if not host or not port.isdigit() or server.slots < 1:
        raise msgspec.ValidationError("names no endpoint that can be used")
    return Endpoint(
        name=name,
        born=server.born,
        service=server.service,
        address=server.address,
        zone=server.zone,
        leaving=server.state == "draining",
        slots=server.slots,
        stage=server.stage,
        cold=round(server.cold_remaining_ms / MS),
    )


def host(value: bytes) -> HostRecord:
    """Decode what an entry host wrote of itself.

    Raises:
        msgspec.MsgspecError: If it is no such record.
    """
    return _HOST.decode(value)


def claim(value: bytes) -> ClaimRecord:
    """Decode a claim to give orders.

    Raises:
        msgspec.MsgspecError: If it is none.
    """
    return _CLAIM.decode(value)
