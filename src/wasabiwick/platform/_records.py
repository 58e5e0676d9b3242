"""Decodes records of the platform's store into this product's types."""

import typing

import msgspec

from .._caller_keys import digest
from .._decoding import MAX_WHOLE, check_address, decode
from .._forwarding import (
    DEFAULT_MAX_HEADER_BYTES,
    KINDS,
    Endpoint,
    EngineTraits,
    Organisation,
    OrganisationLimit,
    Route,
    RouteTable,
    ServiceTraits,
)

MS_PER_S = 1000.0
_TOKENS_UNIT = "token_stream"  # Unit of limits that count tokens instead of requests.
MAX_SLOTS = 100_000  # Most slots that an entry is believed to have; real ones have some tens.


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
    public: bool = False


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


class _Tenant(msgspec.Struct, rename="kebab"):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    unit: str = ""
    plain_tokens: int = 0
    rate_per_s: float = 0.0
    burst: float = 0.0


class _Config(msgspec.Struct, rename="kebab"):
    version: int
    routes: list[_Route]
    services: list[_Service]
    tenants: list[_Tenant] | None = None
    limits: object = None  # One that can't be read leaves the routes in force.


class _Server(msgspec.Struct, rename="kebab"):
    service: str
    address: str
    zone: str
    version: str
    slots: typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    state: typing.Literal["ready", "draining"]
    cold_remaining_ms: typing.Annotated[float, msgspec.Meta(ge=0.0, le=MAX_WHOLE)] = 0.0
    stage: str = ""
    born: typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_WHOLE)] = 0


_CONFIG = msgspec.json.Decoder(_Config)
_SERVER = msgspec.json.Decoder(_Server)


def decode_route_table(value: bytes) -> RouteTable:
    """Decode the operator's configuration.

    Raises:
        msgspec.MsgspecError: If the value is not a valid record.
    """
    config = decode(_CONFIG, value)
    return RouteTable(
        version=config.version,
        routes=tuple(map(_to_route, config.routes)),
        services=tuple(map(_to_service, config.services)),
        max_header_bytes=_max_header_bytes(config.limits),
        organisations=(
            None if config.tenants is None else tuple(map(_to_organisation, config.tenants))
        ),
    )


def _max_header_bytes(limits: object) -> int:
    named = limits.get("max-header-bytes") if isinstance(limits, dict) else None
    is_bound = isinstance(named, int) and not isinstance(named, bool) and named > 0
    return named if is_bound else DEFAULT_MAX_HEADER_BYTES


def _to_organisation(record: _Tenant) -> Organisation:
    limit = OrganisationLimit(
        rate=record.rate_per_s,
        burst=record.burst,
        counts_tokens=record.unit == _TOKENS_UNIT,
        plain_tokens=record.plain_tokens,
    )
    return Organisation(
        name=record.name,
        keys=tuple(digest(key.encode()) for key in record.api_keys),
        priority=record.priority,
        limit=limit if record.rate_per_s > 0 else None,
    )


def _to_route(record: _Route) -> Route:
    split = tuple((part.service, part.weight) for part in record.split if part.weight > 0)
    return Route(
        name=record.name,
        host=record.host,
        path_prefix=record.path_prefix,
        kind=record.type,
        resumable=record.resumable,
        max_attempts=record.max_attempts,
        timeout=record.timeout_ms / MS_PER_S,
        target_latency=record.target_latency_ms / MS_PER_S,
        target_gap=record.target_itl_ms / MS_PER_S,
        priority=record.priority,
        services=split or ((record.service, 1.0),),
        public=record.public,
    )


def _to_service(record: _Service) -> ServiceTraits:
    engine = record.engine
    traits = engine and EngineTraits(
        slots=engine.slots,
        memory_tokens=engine.kv_capacity_tokens,
        hold_time=engine.hold_ms / MS_PER_S,
        handle_time=engine.kv_hold_s,
        switch_time=engine.switch_s,
        stride=engine.stride,
    )
    return ServiceTraits(name=record.name, max_connections=record.max_connections, engine=traits)


def decode_endpoint(name: str, value: bytes) -> Endpoint:
    """Decode an endpoint's entry in the platform's list of servers.

    Raises:
        msgspec.MsgspecError: If the value is not a valid record, or names no address or no slots.
    """
    server = decode(_SERVER, value)
    check_address(server.address)
    return Endpoint(
        name=name,
        born=server.born,
        service=server.service,
        address=server.address,
        zone=server.zone,
        leaving=server.state == "draining",
        slots=server.slots,
        stage=server.stage,
        cold=round(server.cold_remaining_ms / MS_PER_S),
        build=server.version,
    )
