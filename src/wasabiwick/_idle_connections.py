"""Closes idle connections of a server that stops, and counts those that are in use.

The library's own preparation for a stop also makes connections in use ignore what they receive,
such as the rest of a request's body, and leaves idle ones open without reading from them.
"""

import asyncio

from aiohttp import web


def close_idle(server: web.Server) -> int:
    """Close a server's idle connections, and return how many are in use.

    A connection is in use from the first head that was read until its answer has left this process.
    A request of which less was read has not run, and its caller sends it again.
    """
    in_use = 0
    for conn in list(server.connections):
        waiter = conn._waiter  # noqa: SLF001 - pending exactly while no request was read
        is_idle = waiter is not None and not waiter.done()
        if conn.transport is not None and not (is_idle and _has_sent_all(conn.transport)):
            in_use += 1
        elif is_idle:
            conn.force_close()
    return in_use


def _has_sent_all(transport: asyncio.Transport) -> bool:
    """Return whether no bytes wait in this process, which would be lost when it ends."""
    return not transport.get_write_buffer_size()


def has_request_waiting(req: web.BaseRequest) -> bool:
    """Return whether another request was read behind this one on the same connection."""
    return bool(req.protocol._messages)  # noqa: SLF001 - nothing public tells of them
