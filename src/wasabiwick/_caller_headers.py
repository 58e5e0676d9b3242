"""Headers of callers' requests: which of them are passed on, and the key that one of them names."""

import typing

from ._caller_keys import digest
from ._http1 import Header

_CONNECTION = b"connection"
_HOST = b"host"
# Headers that concern one connection only, and the body's length, which is set anew.
CONNECTION_HEADERS = frozenset(
    (
        _CONNECTION,
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    )
)


def without(headers: list[Header], *names: typing.Collection[bytes]) -> list[Header]:
    """Return headers except those of some names, which are in lower case."""
    dropped = frozenset().union(*names)
    return [(name, value) for name, value in headers if name.lower() not in dropped]


def connection_options(headers: list[Header]) -> set[bytes]:
    """Return the names of headers that a caller says concern its connection only."""
    options: set[bytes] = set()
    for name, value in headers:
        if name.lower() == _CONNECTION:
            options.update(part.strip().lower() for part in value.split(b","))
    return options


def without_connection_options(headers: list[Header]) -> list[Header]:
    """Return headers as if their caller had said nothing of its connection; the host stays."""
    return without(headers, (connection_options(headers) | {_CONNECTION}) - {_HOST})


def named_key(headers: list[Header], header: bytes, scheme: bytes) -> str:
    """Return the digest of the key that a caller names, or an empty string.

    A caller that names several keys, or one that can't be read, names none.

    Args:
        headers: The caller's headers.
        header: Name of the header that holds the key, in lower case.
        scheme: Word before the key, in lower case; callers may write it in any case.
    """
    values = [value for name, value in headers if name.lower() == header]
    words = values[0].split() if len(values) == 1 else []
    is_key = len(words) == 2 and words[0].lower() == scheme
    return digest(words[1]) if is_key else ""
