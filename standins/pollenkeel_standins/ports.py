"""Ports that stay reserved while the process that uses them is down."""

from __future__ import annotations

import contextlib
import socket


class PortReservations:
    """Ports of the loopback interface that the kernel gives to nobody else.

    Each port is bound without listening. A server that binds it with ``SO_REUSEADDR``,
    as they do here, can listen on it all the same; connections to it are refused until
    then. Without this, a port is free for others between two runs of a process.
    """

    def __init__(self) -> None:
        self._stack = contextlib.ExitStack()

    def reserve(self) -> int:
        """Return a port that is reserved until ``close``."""
        holder = self._stack.enter_context(socket.socket())
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind(("127.0.0.1", 0))
        port: int = holder.getsockname()[1]
        return port

    def close(self) -> None:
        """Free all ports."""
        self._stack.close()
