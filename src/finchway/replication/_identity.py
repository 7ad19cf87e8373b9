"""Who a replica is: its cluster, its name, and the incarnation of its data folder."""

from __future__ import annotations

import os
import uuid
from pathlib import Path

import msgspec
from msgspec import Struct

from finchway.exceptions import NotBootstrappedError, StorageDamagedError, StorageError
from finchway.replication._messages import Member

_FILE = "identity.json"


class Identity(Struct, frozen=True):
    """The identity kept in the data folder; an empty folder gets a new incarnation."""

    cluster: str
    name: str
    incarnation: str

    def member(self, address: str) -> Member:
        """Return this replica as a member of the replica set."""
        return Member(self.name, self.incarnation, address)


def load_identity(folder: Path, name: str) -> Identity | None:
    """Read the identity; None if the folder has none.

    Raises `StorageError` if the folder belongs to a replica with another name.
    """
    path = folder / _FILE
    if not path.exists():
        return None
    try:
        identity = msgspec.json.decode(path.read_bytes(), type=Identity)
    except msgspec.MsgspecError as error:
        raise StorageDamagedError(f"{path}: {error}") from error
    if identity.name != name:
        raise StorageError(f"{path} belongs to replica {identity.name!r}, not {name!r}")
    return identity


def create_identity(folder: Path, name: str, cluster: str, incarnation: str = "") -> Identity:
    """Write and sync a new identity, by default with a fresh incarnation."""
    folder.mkdir(parents=True, exist_ok=True)
    identity = Identity(cluster, name, incarnation or uuid.uuid4().hex[:12])
    temporary = folder / f"{_FILE}.tmp"
    with temporary.open("wb") as file:
        file.write(msgspec.json.encode(identity))
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary, folder / _FILE)
    fd = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)
    return identity


def require_identity(folder: Path, name: str) -> Identity:
    """Read the identity, or say how an empty folder may start a cluster."""
    identity = load_identity(folder, name)
    if identity is None:
        raise NotBootstrappedError(
            f"{folder} holds no replica",
            "run `finchway bootstrap` once for a new cluster, or set --control_peers to join one",
        )
    return identity


def quarantine(folder: Path) -> Path:
    """Move a damaged data folder aside, so that the replica can come back as a new one."""
    aside = folder.with_name(f"{folder.name}.damaged-{uuid.uuid4().hex[:8]}")
    os.replace(folder, aside)
    return aside
