"""Reads an operator's configuration entry by entry, so that each fault in it is found."""

import typing

import msgspec

from ._decoding import decode_json
from ._forwarding import RouteTable
from ._routes_check import Finding

# By the name of a list in the configuration: the field of `RouteTable`, the form of an entry, and
# its conversion.
Entries = dict[str, tuple[str, type, typing.Callable[[typing.Any], typing.Any]]]
REQUIRED_FIELDS = ("routes", "services")


def read_configuration(data: bytes, entries: Entries) -> tuple[RouteTable, list[Finding]]:
    """Return what can be read of a configuration, and what is wrong with the rest.

    Raises:
        msgspec.MsgspecError: If the data is no JSON object.
    """
    parts = decode_json(data, dict[str, object])
    faults: list[Finding] = []
    version = parts.get("version")
    if not isinstance(version, int) or isinstance(version, bool):
        faults.append(Finding(place="version", text="is no whole number"))
        version = 0
    fields: dict[str, tuple[typing.Any, ...]] = {}
    for name, (field, form, convert) in entries.items():
        listed = parts.get(name)
        if listed is not None:
            fields[field] = tuple(_read(listed, name, form, convert, faults))
        elif field in REQUIRED_FIELDS:
            faults.append(Finding(place=name, text="is missing"))
            fields[field] = ()
    return RouteTable(version=version, **fields), faults


def _read(
    listed: object,
    name: str,
    form: type,
    convert: typing.Callable[[typing.Any], typing.Any],
    faults: list[Finding],
) -> typing.Iterator[typing.Any]:
    if not isinstance(listed, list):
        faults.append(Finding(place=name, text="is no list"))
        return
    for number, entry in enumerate(listed):
        try:
            yield convert(msgspec.convert(entry, form))
        except msgspec.MsgspecError as exc:
            faults.append(Finding(place=_place(name, number, entry), text=str(exc)))


def _place(name: str, number: int, entry: object) -> str:
    named = entry.get("name") if isinstance(entry, dict) else None
    return f"{name}[{number}]" + (f" {named}" if isinstance(named, str) else "")
