"""The start of a new cluster: an operator's explicit act, once."""

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
# A joining replica holds nothing, which is index 0; at index 1 the first state reaches it as a
# snapshot.
_FIRST_INDEX = 1
_FIRST_TERM = 1


class Bootstrapped(Struct, frozen=True):
    """What a new cluster starts with; the credential is shown once and kept as a digest."""

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
    storage.snapshot(Snapshot(_FIRST_INDEX, _FIRST_TERM, members, machine.snapshot()))
    storage.close()
    return Bootstrapped(identity.cluster, name, FIRST_OPERATOR, credential)


def found_cluster(folder: Path, name: str, founders: dict[str, str]) -> Identity:
    """Start a cluster together with other founders, each in its own empty data folder.

    `founders` are peer addresses by replica name, the same at each of them. All derive the same
    first state from these, so they need not talk before, and may start in any order. It must be
    called only when the whole deployment starts for the first time: a founder that lost its data
    later has to join under a new incarnation.
    """
    names = "\n".join(f"{founder}={founders[founder]}" for founder in sorted(founders))
    cluster = hashlib.sha256(names.encode()).hexdigest()[:12]
    members = Members(tuple(Member(f, FOUNDER_INCARNATION, founders[f]) for f in sorted(founders)))
    identity = create_identity(folder, name, cluster, FOUNDER_INCARNATION)
    storage = Storage(folder / "log")
    storage.open()
    storage.snapshot(Snapshot(_FIRST_INDEX, _FIRST_TERM, members, StateMachine().snapshot()))
    storage.close()
    return identity
