"""Sockets that notice by themselves that the other side is out of reach."""

import socket

KEEPALIVE_IDLE_S = 1  # Silence after which a connection is probed.
KEEPALIVE_INTERVAL_S = 1  # Time between two probes of a silent connection.
KEEPALIVE_PROBES = 2  # Unanswered probes after which a connection is considered dead.
USER_TIMEOUT_MS = 2_500  # A connection is closed if sent data stays unacknowledged for this time.


def keepalive_socket(address: tuple) -> socket.socket:
    """Return a socket that detects dead connections by probes and a user timeout."""
    sock = socket.socket(address[0], address[1], address[2])
    sock.setblocking(False)
    detect_dead_peer(sock)
    return sock


def detect_dead_peer(sock: socket.socket) -> None:
    """Let a socket detect a dead connection by probes and a user timeout."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
