"""Aborts the connection of a caller whose answer can't be completed."""

import socket
import struct

from aiohttp import HttpVersion11, web

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER, switched on, with a time of 0.


def abort_answer(req: web.BaseRequest) -> None:
    """Abort a caller's connection so that an answer that has begun looks incomplete.

    From HTTP/1.1 on, the missing last chunk shows that. An older answer ends with its connection,
    which therefore has to be reset.

    Args:
        req: The caller's request.
    """
    transport = req.transport
    if transport is None:
        return
    sock = transport.get_extra_info("socket")
    try:
        if req.version < HttpVersion11 and sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    finally:
        transport.abort()
