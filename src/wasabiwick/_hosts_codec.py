"""Record of an entry host in the register of hosts."""

import msgspec

from ._decoding import check_address, decode


class HostRecord(msgspec.Struct):
    """An entry host; ``address`` is where it receives datagrams.

    ``hops`` is where it takes requests that other hosts pass to it. They have to name ``key``,
    which only those know that can read the register. Both hold for one ``incarnation`` of its
    process.
    """

    address: str
    zone: str
    hops: str = ""
    incarnation: str = ""
    key: str = ""


_DECODER = msgspec.json.Decoder(HostRecord)


def decode_host(value: bytes) -> HostRecord:
    """Decode an entry host's entry in the register of hosts.

    Raises:
        msgspec.MsgspecError: If the value is not a valid record.
    """
    record = decode(_DECODER, value)
    check_address(record.address)
    return record
