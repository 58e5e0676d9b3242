"""Decodes what other processes write; whatever is wrong with it, the error is one of `msgspec`."""

import functools
import ipaddress
import typing

import msgspec

MAX_PORT = 65_535
# Whole numbers from outside, as far as JSON programs agree on them. Larger ones overflow once they
# are divided, or sent on.
MAX_WHOLE = 2**53
CHECKED_ADDRESSES = 2_048  # Most addresses that are remembered as right; a fleet of 1,000 fits.
Whole = typing.Annotated[int, msgspec.Meta(ge=-MAX_WHOLE, le=MAX_WHOLE)]


class Decoder(typing.Protocol):
    """A decoder of `msgspec`, for JSON or MessagePack."""

    def decode(self, data: bytes | bytearray) -> typing.Any:
        """Decode one value."""


def decode(decoder: Decoder, data: bytes | bytearray) -> typing.Any:
    """Decode a value.

    Raises:
        msgspec.MsgspecError: If the data is malformed, of another type, or nested too deeply.
    """
    try:
        return decoder.decode(data)
    except RecursionError as exc:
        raise msgspec.DecodeError("nested too deeply") from exc


def decode_json(data: bytes | bytearray, form: type) -> typing.Any:
    """Decode JSON; raises as `decode` does."""
    return decode(msgspec.json.Decoder(form), data)


# Each datagram names its sender's address, so right ones are remembered; errors are not.
@functools.lru_cache(maxsize=CHECKED_ADDRESSES)
def check_address(address: str) -> None:
    """Check that an address is an IP address and a port that can be connected to.

    Raises:
        msgspec.ValidationError: If it is not.
    """
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError as exc:
        raise msgspec.ValidationError(f"address without an IP address: {address[:80]!r}") from exc
    if not (port.isascii() and port.isdigit()) or not 0 < int(port[:6]) <= MAX_PORT:
        raise msgspec.ValidationError(f"address without a valid port: {address[:80]!r}")
