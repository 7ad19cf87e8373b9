"""The replicated log: an I/O-free Raft core and its durable storage.

The caller passes time and messages to a `Core`, saves what `take` returns in `Storage`, then sends
the messages and applies the committed entries.
"""

from finchway.replication._core import Core
from finchway.replication._identity import (
    Identity,
    create_identity,
    load_identity,
    require_identity,
    set_aside_damaged_folder,
)
from finchway.replication._messages import (
    AnyMessage,
    Append,
    Entry,
    EntryKind,
    InstallSnapshot,
    Member,
    Members,
    Message,
    Snapshot,
)
from finchway.replication._ready import RaftRole, Ready, Restored, Timing
from finchway.replication._storage import FileOperations, Storage, decode_record, encode_record

__all__ = [
    "AnyMessage",
    "Append",
    "Core",
    "Entry",
    "EntryKind",
    "FileOperations",
    "Identity",
    "InstallSnapshot",
    "Member",
    "Members",
    "Message",
    "Ready",
    "Restored",
    "RaftRole",
    "Snapshot",
    "Storage",
    "Timing",
    "create_identity",
    "decode_record",
    "encode_record",
    "load_identity",
    "set_aside_damaged_folder",
    "require_identity",
]
