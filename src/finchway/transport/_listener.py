"""Accepts connections on one address until a planned stop, and loses none that came before it.

The kernel completes connections by itself: callers may have sent requests on those that nobody has
accepted yet, and closing the listener would reset them.
"""

from __future__ import annotations

import logging
import socket
from collections.abc import Callable

import trio

from finchway.exceptions import TransportError

_LOG = logging.getLogger(__name__)
BACKLOG = 512
# Milliseconds after which a connection ends whose other side takes nothing more.
USER_TIMEOUT_MS = 5_000
# Seconds after a connection came, or was answered on, in which its caller's next request may be
# under way already.
NEXT_REQUEST_S = 0.5
_RETRY_S = 0.05


class Listener:
    """Listens on an address and hands each connection to `begin`, which must not wait."""

    def __init__(self, address: str, begin: Callable[[trio.SocketStream], None]) -> None:
        self._address = address
        self._begin = begin
        self._socket: socket.socket | None = None
        self._accepting = trio.CancelScope()
        self._closed = trio.Event()

    @property
    def is_stopping(self) -> bool:
        """Whether no further connections are taken."""
        return self._accepting.cancel_called

    def bind(self) -> None:
        """Begin to listen; raises `TransportError` if the address cannot be used."""
        host, _, port = self._address.rpartition(":")
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        listener = socket.socket(family)
        listener.setblocking(False)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            listener.bind((host.strip("[]"), int(port)))
        except OSError as error:
            listener.close()
            raise TransportError(f"cannot bind {self._address}: {error}") from error
        listener.listen(BACKLOG)
        self._socket = listener

    async def run(self) -> None:
        """Accept until `stop` is called, or until cancelled."""
        with self._socket:
            with self._accepting:
                await self._accept()
            # The last look: more may have come since `stop` was called.
            self._accept_queued()
        self._closed.set()

    async def stop(self) -> None:
        """Take what has come already and nothing after it."""
        self._accepting.cancel()
        if self._socket is not None:
            await self._closed.wait()

    async def _accept(self) -> None:
        while True:
            await trio.lowlevel.wait_readable(self._socket)
            if not self._accept_queued():
                await trio.sleep(_RETRY_S)

    def _accept_queued(self) -> bool:
        """Accept the connections that the kernel has completed; False if that failed."""
        while True:
            try:
                accepted, _ = self._socket.accept()
                accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
            except BlockingIOError:
                return True
            except OSError as error:
                _LOG.warning("accept on %s failed: %s", self._address, error)
                return False
            self._begin(trio.SocketStream(trio.socket.from_stdlib_socket(accepted)))
