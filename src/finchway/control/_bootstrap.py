"""Creation of a new cluster, which an operator requests explicitly and once."""

from __future__ import annotations

import hashlib
import secrets
import uuid
from pathlib import Path

import msgspec
from msgspec import Struct

from finchway.exceptions import StorageError
from finchway.replication import (
    Identity,
    Member,
    Members,
    Snapshot,
    Storage,
    create_identity,
    load_identity,
)
from finchway.resources import Operator, Role
from finchway.state import PutResource, StateMachine

FIRST_OPERATOR = "admin"
FOUNDER_INCARNATION = "founder"
# Joining replicas start at index 0, so they receive the initial state at index 1 as a snapshot.
_FIRST_INDEX = 1
_FIRST_TERM = 1


class Bootstrapped(Struct, frozen=True):
    """The result of a bootstrap. Only a digest of the credential is stored."""

    cluster: str
    replica: str
    operator: str
    credential: str


def bootstrap(
    folder: Path, name: str, address: str, expected: list[str], credential: str = ""
) -> Bootstrapped:
    """Create a cluster of one replica in an empty data folder.

    `expected` names the replicas that may join it. Raises `StorageError` if the folder already
    holds a replica.
    """
    if load_identity(folder, name) is not None:
        raise StorageError(f"{folder} already holds a replica", "a cluster is started only once")
    identity = create_identity(folder, name, uuid.uuid4().hex[:12])
    credential = credential or secrets.token_urlsafe(24)
    machine = StateMachine()
    digest = hashlib.sha256(credential.encode()).hexdigest()
    operator = Operator(role=Role.CHANGE, credential=digest)
    machine.apply(
        PutResource(
            now_ms=0,
            kind="operator",
            name=FIRST_OPERATOR,
            spec=msgspec.json.encode(operator),
            operator="bootstrap",
        )
    )
    others = tuple(other for other in expected if other != name)
    members = Members((identity.member(address),), (), others)
    storage = Storage(folder / "log")
    storage.open()
    storage.save_snapshot(Snapshot(_FIRST_INDEX, _FIRST_TERM, members, machine.snapshot()))
    storage.close()
    return Bootstrapped(identity.cluster, name, FIRST_OPERATOR, credential)


def found_cluster(folder: Path, name: str, founders: dict[str, str]) -> Identity:
    """Start a cluster together with other founders, each in its own empty data folder.

    `founders` maps replica names to peer addresses and must be the same on every founder. All
    derive an identical initial state from it, so they need no coordination and may start in any
    order. Call it only on the first start of the whole deployment: a founder that loses its data
    later must join under a new incarnation.
    """
    names = "\n".join(f"{founder}={founders[founder]}" for founder in sorted(founders))
    cluster = hashlib.sha256(names.encode()).hexdigest()[:12]
    members = Members(tuple(Member(f, FOUNDER_INCARNATION, founders[f]) for f in sorted(founders)))
    identity = create_identity(folder, name, cluster, FOUNDER_INCARNATION)
    storage = Storage(folder / "log")
    storage.open()
    storage.save_snapshot(Snapshot(_FIRST_INDEX, _FIRST_TERM, members, StateMachine().snapshot()))
    storage.close()
    return identity
