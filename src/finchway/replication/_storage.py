"""Durable storage of one replica: a write-ahead log of checksummed records, and snapshots.

Each call of `save` writes one numbered record and syncs it, so a crash can tear only the last
record. An invalid record is truncated if no valid record follows it. Otherwise synced data is
corrupt, and `StorageDamagedError` keeps the replica from voting with it.
"""

from __future__ import annotations

import os
import struct
import zlib
from enum import IntEnum
from pathlib import Path

import msgspec

from finchway.exceptions import StorageDamagedError, StorageError
from finchway.replication import _messages as m
from finchway.replication._ready import Ready, Restored

_HEADER = struct.Struct("<4sIIQB")
_MAGIC = b"fwr1"
_LOG_NAME = "log-{:020d}.wal"
_SNAPSHOT_NAME = "snapshot-{:020d}.snap"


class _Kind(IntEnum):
    BATCH = 1
    SNAPSHOT = 2


class _Batch(msgspec.Struct, frozen=True, array_like=True):
    """The content of one log record, replayed in the order of the fields."""

    hard_state: m.HardState | None
    truncate_from: int | None
    entries: list[m.Entry]


class FileOperations:
    """The file operations of storage; tests replace them to inject faults."""

    def write(self, fd: int, data: bytes) -> None:
        """Write all of `data`; raises `OSError` on failure."""
        view = memoryview(data)
        while view:
            view = view[os.write(fd, view) :]

    def sync(self, fd: int) -> None:
        """Flush the file to disk."""
        os.fsync(fd)

    def rename(self, old: Path, new: Path) -> None:
        """Rename a file atomically, replacing the target."""
        os.replace(old, new)

    def remove(self, path: Path) -> None:
        """Delete a file if it exists."""
        path.unlink(missing_ok=True)


def encode_record(kind: int, batch: int, payload: bytes) -> bytes:
    """Prepend a header with magic number, length, checksum, batch number and kind."""
    checksum = zlib.crc32(struct.pack("<QB", batch, kind) + payload)
    return _HEADER.pack(_MAGIC, len(payload), checksum, batch, kind) + payload


def decode_record(data: bytes, offset: int) -> tuple[int, int, bytes, int] | None:
    """Return (kind, batch, payload, end) of the record at `offset`, or None if it is invalid."""
    if offset + _HEADER.size > len(data):
        return None
    magic, length, checksum, batch, kind = _HEADER.unpack_from(data, offset)
    end = offset + _HEADER.size + length
    if magic != _MAGIC or end > len(data):
        return None
    payload = data[offset + _HEADER.size : end]
    if zlib.crc32(struct.pack("<QB", batch, kind) + payload) != checksum:
        return None
    return kind, batch, payload, end


class Storage:
    """The files of one replica in its data folder."""

    def __init__(self, folder: Path, files: FileOperations | None = None) -> None:
        self._folder = folder
        self._files = files or FileOperations()
        self._fd: int | None = None
        self._batch = 0
        self._failed = False
        self._hard_state = m.HardState()
        self._entries: list[m.Entry] = []
        self._snapshot = Restored().snapshot

    @property
    def folder(self) -> Path:
        """The data folder."""
        return self._folder

    def open(self) -> Restored:
        """Read the stored state, truncate a torn tail and open the log for appending.

        Raises `StorageDamagedError` if synced data is corrupt.
        """
        self._folder.mkdir(parents=True, exist_ok=True)
        for temporary in self._folder.glob("*.tmp"):
            self._files.remove(temporary)
        self._snapshot = self._read_snapshot()
        path = self._newest_log()
        if path is None:
            self._rotate_log()
        else:
            valid_length = self._replay_log(path)
            self._fd = os.open(path, os.O_RDWR | os.O_APPEND)
            os.ftruncate(self._fd, valid_length)
            self._files.sync(self._fd)
        return Restored(self._hard_state, self._snapshot, tuple(self._entries))

    def close(self) -> None:
        """Close the log file; does nothing if it is closed."""
        if self._fd is not None:
            os.close(self._fd)
            self._fd = None

    def save(self, ready: Ready) -> None:
        """Write and sync the state and entries of `ready`.

        Raises `StorageError` if a write or sync fails, and on every call after that: the state of
        unsynced pages is unknown until the process restarts.
        """
        if self._failed or self._fd is None:
            raise StorageError("storage has failed; the replica must be restarted")
        try:
            if ready.snapshot is not None:
                self._install_snapshot(ready)
            self._append_batch(ready)
        except OSError as error:
            self._failed = True
            raise StorageError(f"{self._folder}: {error}", "free space or replace the disk") from (
                error
            )

    def save_snapshot(self, snapshot: m.Snapshot) -> None:
        """Save a snapshot and start a new log file with only the entries that follow it."""
        if self._failed:
            raise StorageError("storage has failed; the replica must be restarted")
        try:
            self._write_snapshot(snapshot)
            self._entries = [e for e in self._entries if e.index > snapshot.index]
            self._rotate_log()
        except OSError as error:
            self._failed = True
            raise StorageError(f"{self._folder}: {error}") from error

    def _install_snapshot(self, ready: Ready) -> None:
        self._write_snapshot(ready.snapshot)
        self._entries = []
        if ready.hard_state is not None:
            self._hard_state = ready.hard_state
        self._rotate_log()

    def _append_batch(self, ready: Ready) -> None:
        batch = _Batch(ready.hard_state, ready.truncate_from, ready.entries)
        self._apply_batch(batch)
        if ready.must_sync:
            self._files.write(self._fd, self._encode_next_record(_Kind.BATCH, batch))
            self._files.sync(self._fd)

    def _encode_next_record(self, kind: _Kind, value) -> bytes:
        self._batch += 1
        return encode_record(kind, self._batch, msgspec.msgpack.encode(value))

    def _write_snapshot(self, snapshot: m.Snapshot) -> None:
        path = self._folder / _SNAPSHOT_NAME.format(snapshot.index)
        self._write_atomically(path, self._encode_next_record(_Kind.SNAPSHOT, snapshot))
        self._snapshot = snapshot
        for old in self._folder.glob("snapshot-*.snap"):
            if old != path:
                self._files.remove(old)

    def _rotate_log(self) -> None:
        """Write a new log file with the current state, then remove the older ones."""
        record = self._encode_next_record(
            _Kind.BATCH, _Batch(self._hard_state, None, self._entries)
        )
        existing = self._newest_log()
        number = int(existing.stem.split("-")[1]) + 1 if existing else 1
        path = self._folder / _LOG_NAME.format(number)
        self._write_atomically(path, record)
        self.close()
        self._fd = os.open(path, os.O_RDWR | os.O_APPEND)
        for old in self._folder.glob("log-*.wal"):
            if old != path:
                self._files.remove(old)

    def _write_atomically(self, path: Path, data: bytes) -> None:
        temporary = path.with_suffix(".tmp")
        fd = os.open(temporary, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            self._files.write(fd, data)
            self._files.sync(fd)
        finally:
            os.close(fd)
        self._files.rename(temporary, path)
        self._sync_folder()

    def _sync_folder(self) -> None:
        fd = os.open(self._folder, os.O_RDONLY)
        try:
            self._files.sync(fd)
        finally:
            os.close(fd)

    def _newest_log(self) -> Path | None:
        return max(self._folder.glob("log-*.wal"), default=None)

    def _read_snapshot(self) -> m.Snapshot:
        path = max(self._folder.glob("snapshot-*.snap"), default=None)
        if path is None:
            return Restored().snapshot
        data = path.read_bytes()
        record = decode_record(data, 0)
        if record is None or record[0] != _Kind.SNAPSHOT or record[3] != len(data):
            raise StorageDamagedError(f"{path}: the snapshot is damaged")
        self._batch = max(self._batch, record[1])
        return msgspec.msgpack.decode(record[2], type=m.Snapshot)

    def _replay_log(self, path: Path) -> int:
        data = path.read_bytes()
        offset = 0
        while offset < len(data):
            record = decode_record(data, offset)
            if record is None:
                self._require_torn_tail(path, data, offset)
                break
            _, self._batch, payload, offset = record
            self._apply_batch(msgspec.msgpack.decode(payload, type=_Batch), path)
        if offset == 0:
            raise StorageDamagedError(f"{path}: the log has no valid first record")
        return offset

    def _require_torn_tail(self, path: Path, data: bytes, offset: int) -> None:
        position = data.find(_MAGIC, offset + 1)
        while position >= 0:
            record = decode_record(data, position)
            if record is not None and record[1] > self._batch:
                raise StorageDamagedError(f"{path}: damaged at byte {offset}, before synced data")
            position = data.find(_MAGIC, position + 1)

    def _apply_batch(self, batch: _Batch, path: Path | None = None) -> None:
        if batch.hard_state is not None:
            self._hard_state = batch.hard_state
        if batch.truncate_from is not None:
            self._entries = [e for e in self._entries if e.index < batch.truncate_from]
        for entry in batch.entries:
            if entry.index <= self._snapshot.index:
                continue
            expected = self._entries[-1].index + 1 if self._entries else self._snapshot.index + 1
            if entry.index != expected:
                source = path or self._folder
                raise StorageDamagedError(
                    f"{source}: found entry {entry.index}, expected {expected}"
                )
            self._entries.append(entry)
