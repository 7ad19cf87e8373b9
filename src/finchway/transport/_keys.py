"""CURVE keys that encrypt and authenticate the links between processes.

All processes of a deployment share one key pair, read from a file with two lines: the public key
and the secret key, in ZeroMQ's Z85 encoding. Clients without the pair are rejected.
"""

from __future__ import annotations

from pathlib import Path

import trio
import zmq
import zmq.utils.z85
from msgspec import Struct

from finchway.exceptions import Finding, SettingsError

_ZAP_ENDPOINT = "inproc://zeromq.zap.01"
_ZAP_VERSION = b"1.0"
_KEY_LENGTH = 40
_ZAP_CREDENTIAL_FRAME = 6


class Keys(Struct, frozen=True):
    """The key pair of a deployment."""

    public: bytes
    secret: bytes

    def protect_server(self, socket: zmq.Socket) -> None:
        """Configure a bound socket to accept encrypted connections only."""
        socket.curve_server = True
        socket.curve_secretkey = self.secret
        socket.setsockopt(zmq.ZAP_DOMAIN, b"finchway")

    def protect_client(self, socket: zmq.Socket) -> None:
        """Configure a connecting socket to use the key pair."""
        socket.curve_serverkey = self.public
        socket.curve_publickey = self.public
        socket.curve_secretkey = self.secret


def load_keys(path: Path) -> Keys:
    """Read a key file; raises `SettingsError` with the file and the invalid line."""
    try:
        lines = path.read_text().split()
    except OSError as error:
        raise SettingsError([Finding(str(path), str(error))], "key file") from error
    findings = [
        Finding(f"{path}:{number}", f"expected a key of {_KEY_LENGTH} characters")
        for number, line in enumerate(lines[:2], 1)
        if len(line) != _KEY_LENGTH
    ]
    if len(lines) != 2:
        findings.append(Finding(str(path), "expected two lines: public key, secret key"))
    if findings:
        raise SettingsError(findings, "key file")
    return Keys(lines[0].encode(), lines[1].encode())


def make_keys(path: Path) -> Keys:
    """Write a new key pair to a file that only the owner can read."""
    public, secret = zmq.curve_keypair()
    path.touch(mode=0o600, exist_ok=False)
    path.write_text(f"{public.decode()}\n{secret.decode()}\n")
    return Keys(public, secret)


def start_authenticator(context: zmq.Context, keys: Keys, nursery: trio.Nursery) -> None:
    """Start the ZAP handler, which admits only clients with the shared public key."""
    socket = context.socket(zmq.REP)
    socket.linger = 0
    socket.bind(_ZAP_ENDPOINT)
    nursery.start_soon(_authenticate, socket, keys)


async def _authenticate(socket: zmq.Socket, keys: Keys) -> None:
    expected = zmq.utils.z85.decode(keys.public)
    try:
        while True:
            while socket.get(zmq.EVENTS) & zmq.POLLIN:
                frames = socket.recv_multipart(zmq.NOBLOCK)
                allowed = frames[_ZAP_CREDENTIAL_FRAME:] == [expected]
                status = (
                    [b"200", b"OK", b"", b""] if allowed else [b"400", b"unknown key", b"", b""]
                )
                socket.send_multipart([_ZAP_VERSION, frames[1], *status])
            await trio.lowlevel.wait_readable(socket.get(zmq.FD))
    finally:
        socket.close(linger=0)
