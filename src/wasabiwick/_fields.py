"""Annotated types for constructor arguments, with rules on number ranges and text formats.

`_schema` reads these types from the constructors' signatures to check operators' files, and
`_reference` reads them to generate the settings reference. At run time the values are plain numbers
and strings.
"""

import math
import os
import re
import typing
import urllib.parse

MAX_PORT = 65_535
_HEX_64 = re.compile(r"[0-9a-f]{64}")
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")

Predicate = typing.Callable[[typing.Any], bool]


class Rule:
    """A condition on one value.

    Args:
        test: Returns whether a value of the right type is valid.
        text: Describes a valid value; follows "must be" in messages.
    """

    __slots__ = ("test", "text")

    def __init__(self, test: Predicate, text: str) -> None:
        self.test = test
        self.text = text


def at_least(low: float) -> Rule:
    """Return the rule that a number is finite and at least ``low``."""
    return Rule(lambda value: low <= value < math.inf, f"at least {low:g}")


def is_positive(value: float) -> bool:
    """Return whether a number is finite and above zero."""
    return 0 < value < math.inf


def is_address(value: str) -> bool:
    """Return whether a text is ``host:port``, with an IPv6 host in brackets."""
    host, colon, port = value.rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit():
        return False
    bracketed = host.startswith("[") and host.endswith("]")
    return int(port) <= MAX_PORT and (bracketed or ":" not in host)


def is_url(value: str) -> bool:
    """Return whether a text is an absolute HTTP URL without query or fragment."""
    try:
        parts = urllib.parse.urlsplit(value)
        port = parts.port
    except ValueError:
        return False
    extra = parts.query or parts.fragment
    return parts.scheme in ("http", "https") and bool(parts.hostname) and port != 0 and not extra


def is_url_or_empty(value: str) -> bool:
    """Return whether a text is empty or an absolute HTTP URL."""
    return not value or is_url(value)


def is_hex_64(value: str) -> bool:
    """Return whether a text is 32 bytes in lower-case hexadecimal."""
    return _HEX_64.fullmatch(value) is not None


def is_name(value: str) -> bool:
    """Return whether a text can name a host, zone, customer, plan, model or service."""
    return _NAME.fullmatch(value) is not None


Seconds = typing.Annotated[float, Rule(is_positive, "a number of seconds above 0")]
PositiveNumber = typing.Annotated[float, Rule(is_positive, "a number above 0")]
PositiveInt = typing.Annotated[int, at_least(1)]
NonNegative = typing.Annotated[float, at_least(0)]
NonNegativeInt = typing.Annotated[int, at_least(0)]
Name = typing.Annotated[str, Rule(is_name, "a name of letters, digits, dots, dashes, underscores")]
Address = typing.Annotated[str, Rule(is_address, "an address as host:port")]
Url = typing.Annotated[str, Rule(is_url, "a URL that starts with http:// or https://")]
UrlOrEmpty = typing.Annotated[str, Rule(is_url_or_empty, "empty or a URL of http or https")]
File = typing.Annotated[str, Rule(os.path.isfile, "a file that exists")]
Hex64 = typing.Annotated[str, Rule(is_hex_64, "64 lower-case hexadecimal digits")]
Fencing = typing.Literal["honoured", "ignored"]
