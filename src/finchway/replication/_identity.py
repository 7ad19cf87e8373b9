"""The persistent identity of a replica: cluster, name and incarnation of its data folder."""

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
    """The identity stored in the data folder; each new data folder has its own incarnation."""

    cluster: str
    name: str
    incarnation: str

    def member(self, address: str) -> Member:
        """Return the `Member` for this replica at `address`."""
        return Member(self.name, self.incarnation, address)


def load_identity(folder: Path, name: str) -> Identity | None:
    """Read the identity, or return None if the folder has none.

    Raises `StorageError` if the folder belongs to a replica with a different name, and
    `StorageDamagedError` if the file cannot be decoded.
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
    """Write and sync a new identity; a new incarnation is generated if none is given."""
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
    """Read the identity; raises `NotBootstrappedError` if the folder has none."""
    identity = load_identity(folder, name)
    if identity is None:
        raise NotBootstrappedError(
            f"{folder} contains no replica",
            "run `finchway bootstrap` once for a new cluster, or set --control_peers to join one",
        )
    return identity


def set_aside_damaged_folder(folder: Path) -> Path:
    """Rename a damaged data folder, so that the replica can rejoin with an empty one."""
    renamed = folder.with_name(f"{folder.name}.damaged-{uuid.uuid4().hex[:8]}")
    os.replace(folder, renamed)
    return renamed
