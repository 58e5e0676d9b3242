"""Base class of events and effects, and the codec that stores them in recorded traces."""

import enum
import typing

import msgspec

from . import _wire
from ._errors import Failure, Reason
from ._verdict import Verdict


class Record:
    """A plain value with named slots, compared and printed field by field.

    Subclasses list their fields in ``__slots__`` and take them as keyword-only arguments. Each
    subclass is registered under its class name, which is also its name in recorded traces.
    """

    __slots__ = ()
    _registry: typing.ClassVar[dict[str, type["Record"]]] = {}

    def __init_subclass__(cls, **kwargs: object) -> None:
        super().__init_subclass__(**kwargs)
        fields: list[str] = []
        for base in reversed(cls.__mro__):
            fields.extend(base.__dict__.get("__slots__", ()))
        cls._fields = tuple(fields)
        Record._registry[cls.__name__] = cls

    def __eq__(self, other: object) -> bool:
        if type(self) is not type(other):
            return NotImplemented
        return all(getattr(self, name) == getattr(other, name) for name in self._fields)

    __hash__ = None

    def __repr__(self) -> str:
        body = ", ".join(f"{name}={getattr(self, name)!r}" for name in self._fields)
        return f"{type(self).__name__}({body})"


def to_builtins(value: object) -> object:
    """Convert a record, or a value inside one, to JSON-compatible builtins.

    Args:
        value: A record, failure, verdict, wire message, sequence, mapping or plain scalar.

    Returns:
        A structure of dicts, lists and scalars that `from_builtins` restores.
    """
    if isinstance(value, Record):
        fields = {name: to_builtins(getattr(value, name)) for name in value._fields}
        return {"record": type(value).__name__, **fields}
    if isinstance(value, Failure):
        return {
            "failure": value.reason.code,
            "verdict": value.verdict.value,
            "detail": value.detail,
            "retry_after": value.retry_after,
        }
    if isinstance(value, msgspec.Struct):
        return {"struct": type(value).__name__, "body": msgspec.to_builtins(value)}
    if isinstance(value, enum.Enum):
        return {"enum": type(value).__name__, "value": value.value}
    if isinstance(value, tuple | list):
        return [to_builtins(item) for item in value]
    if isinstance(value, dict):
        return {"map": [[to_builtins(key), to_builtins(item)] for key, item in value.items()]}
    return value


def from_builtins(value: object) -> object:
    """Restore a value that `to_builtins` converted.

    Args:
        value: A structure of dicts, lists and scalars.

    Returns:
        The record or value. Sequences come back as tuples.

    Raises:
        ValueError: If the structure names an unknown record, reason or enum.
    """
    if isinstance(value, list):
        return tuple(from_builtins(item) for item in value)
    if not isinstance(value, dict):
        return value
    if "record" in value:
        return _restore_record(value)
    if "failure" in value:
        return Failure(
            reason=Reason.by_code(value["failure"]),
            verdict=Verdict(value["verdict"]),
            detail=value["detail"],
            retry_after=value["retry_after"],
        )
    if "struct" in value:
        return msgspec.convert(value["body"], getattr(_wire, value["struct"]))
    if "map" in value:
        return {from_builtins(key): from_builtins(item) for key, item in value["map"]}
    if value.get("enum") == "Verdict":
        return Verdict(value["value"])
    raise ValueError(f"recorded value is of no known kind, with keys {sorted(value)}")


def _restore_record(value: dict) -> Record:
    name = value["record"]
    cls = Record._registry.get(name)
    if cls is None:
        raise ValueError(f"record class {name!r} is not registered")
    fields = {key: from_builtins(item) for key, item in value.items() if key != "record"}
    return cls(**fields)
