"""Decodes records of the platform's store into this product's types."""

import itertools
import typing

import msgspec

from .._caller_keys import digest
from .._decoding import MAX_WHOLE, Whole, check_address, decode
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
from .._logging import log_event

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
    public: object = False  # Callers need a key unless this is clearly true.


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


# Names that can be sent as a header's value: no control characters, and no blanks around them.
_NAME = r"^[^\x00-\x20\x7f]([^\x00-\x1f\x7f]*[^\x00-\x20\x7f])?\Z"
_Name = typing.Annotated[str, msgspec.Meta(pattern=_NAME)]
_Amount = typing.Annotated[float, msgspec.Meta(ge=0.0, le=MAX_WHOLE)]


class _Tenant(msgspec.Struct, rename="kebab"):
    name: _Name
    api_keys: list[str] = []
    priority: Whole | None = None
    unit: str | None = None
    plain_tokens: typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_WHOLE)] | None = None
    rate_per_s: _Amount | None = None
    burst: _Amount | None = None


class _TenantKeys(msgspec.Struct, rename="kebab"):
    api_keys: list[str]


class _Config(msgspec.Struct, rename="kebab"):
    version: int
    routes: list[_Route]
    services: list[_Service]
    # Each is decoded apart: one that can't be read costs its own callers.
    tenants: msgspec.Raw = msgspec.Raw(b"null")
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
_TENANTS = msgspec.json.Decoder(list[msgspec.Raw] | None)
_TENANT = msgspec.json.Decoder(_Tenant)
_TENANT_KEYS = msgspec.json.Decoder(_TenantKeys)
_SERVER = msgspec.json.Decoder(_Server)


def decode_route_table(value: bytes) -> RouteTable:
    """Decode the operator's configuration.

    Raises:
        msgspec.MsgspecError: If the value is not a valid record.
    """
    config = decode(_CONFIG, value)
    organisations, unread_keys = _to_organisations(config.tenants)
    return RouteTable(
        version=config.version,
        routes=tuple(map(_to_route, config.routes)),
        services=tuple(map(_to_service, config.services)),
        max_header_bytes=_max_header_bytes(config.limits),
        organisations=organisations,
        unread_keys=unread_keys,
    )


def _max_header_bytes(limits: object) -> int:
    named = limits.get("max-header-bytes") if isinstance(limits, dict) else None
    is_bound = isinstance(named, int) and not isinstance(named, bool) and named > 0
    return named if is_bound else DEFAULT_MAX_HEADER_BYTES


def _to_organisations(
    data: msgspec.Raw,
) -> tuple[tuple[Organisation, ...] | None, tuple[str, ...] | None]:
    """Return the organisations of a configuration, and the digests of the keys of unreadable ones.

    The former is None if the configuration has none, the latter if not all those keys are known.
    """
    try:
        records = decode(_TENANTS, data)
    except msgspec.MsgspecError:
        log_event("organisations_unreadable", level="WARNING")
        return (), None
    if records is None:
        return None, ()
    found: list[Organisation] = []
    unread: list[tuple[str, ...] | None] = []
    for number, record in enumerate(records):
        try:
            found.append(_to_organisation(decode(_TENANT, record)))
        except msgspec.MsgspecError as exc:
            # The message may quote what was read, which may be a key.
            field = str(exc).rpartition("`$")[2].strip(".`") or "-"
            log_event("organisation_unreadable", level="WARNING", number=number, field=field)
            unread.append(_keys_of_unreadable(record))
    if None in unread:
        return tuple(found), None
    return tuple(found), tuple(itertools.chain.from_iterable(unread))


def _keys_of_unreadable(record: msgspec.Raw) -> tuple[str, ...] | None:
    try:
        return tuple(map(_key_digest, decode(_TENANT_KEYS, record).api_keys))
    except msgspec.MsgspecError:
        return None


def _key_digest(key: str) -> str:
    return digest(key.encode())


def _to_organisation(record: _Tenant) -> Organisation:
    rate = record.rate_per_s or 0.0
    limit = OrganisationLimit(
        rate=rate,
        burst=record.burst or 0.0,
        counts_tokens=record.unit == _TOKENS_UNIT,
        plain_tokens=record.plain_tokens or 0,
    )
    return Organisation(
        name=record.name,
        keys=tuple(map(_key_digest, record.api_keys)),
        priority=record.priority,
        limit=limit if rate > 0 else None,
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
        public=record.public is True,
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


# What a configuration lists: the field of `RouteTable`, and how an entry is decoded and converted.
ENTRIES = {
    "routes": ("routes", _Route, _to_route),
    "services": ("services", _Service, _to_service),
    "tenants": ("organisations", _Tenant, _to_organisation),
}
