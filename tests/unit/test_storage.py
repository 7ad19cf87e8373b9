"""Storage: torn tails are truncated, other corruption and failed writes raise an error."""

from __future__ import annotations

import errno

import pytest

from finchway.exceptions import NotBootstrappedError, StorageDamagedError, StorageError
from finchway.replication import (
    Entry,
    EntryKind,
    FileOperations,
    Member,
    Members,
    Ready,
    Snapshot,
    Storage,
    create_identity,
    load_identity,
    require_identity,
    set_aside_damaged_folder,
)
from finchway.replication._messages import HardState
from tests.raft import CrashError, FaultyFiles

MEMBERS = Members((Member("a", "1"),))


def make_ready(*indexes: int, term: int = 1, vote: str = "", truncate: int | None = None) -> Ready:
    entries = [Entry(term, i, EntryKind.COMMAND, b"x%d" % i) for i in indexes]
    return Ready(HardState(term, vote), None, truncate, entries, [], [], [])


def open_storage(folder, files: FileOperations | None = None) -> Storage:
    storage = Storage(folder, files)
    storage.open()
    return storage


def stored_indexes(folder) -> list[int]:
    return [entry.index for entry in Storage(folder).open().entries]


def log_file(folder):
    return next(folder.glob("log-*.wal"))


def test_saved_state_is_restored(tmp_path):
    storage = open_storage(tmp_path)
    storage.save(make_ready(1, 2, vote="a@1"))
    storage.save(make_ready(2, 3, term=2, truncate=2))
    restored = Storage(tmp_path).open()
    assert [(e.term, e.index) for e in restored.entries] == [(1, 1), (2, 2), (2, 3)]
    assert restored.hard_state == HardState(2, "")


@pytest.mark.parametrize("lost", [1, 5, 20])
def test_torn_tail_is_truncated(tmp_path, lost):
    open_storage(tmp_path).save(make_ready(1, 2))
    storage = open_storage(tmp_path)
    storage.save(make_ready(3))
    path = log_file(tmp_path)
    path.write_bytes(path.read_bytes()[:-lost])
    assert stored_indexes(tmp_path) == [1, 2]
    open_storage(tmp_path).save(make_ready(3, 4))
    assert stored_indexes(tmp_path) == [1, 2, 3, 4]


def test_tail_of_zeros_is_truncated(tmp_path):
    open_storage(tmp_path).save(make_ready(1))
    path = log_file(tmp_path)
    path.write_bytes(path.read_bytes() + bytes(100))
    assert stored_indexes(tmp_path) == [1]


def test_corruption_before_valid_records_raises(tmp_path):
    storage = open_storage(tmp_path)
    storage.save(make_ready(1))
    size = log_file(tmp_path).stat().st_size
    storage.save(make_ready(2))
    storage.save(make_ready(3))
    path = log_file(tmp_path)
    data = bytearray(path.read_bytes())
    data[size + 30] ^= 0xFF
    path.write_bytes(bytes(data))
    with pytest.raises(StorageDamagedError, match="damaged at byte"):
        Storage(tmp_path).open()


def test_corrupt_snapshot_raises(tmp_path):
    storage = open_storage(tmp_path)
    storage.save(make_ready(1, 2))
    storage.save_snapshot(Snapshot(2, 1, MEMBERS, b"state"))
    path = next(tmp_path.glob("snapshot-*.snap"))
    data = bytearray(path.read_bytes())
    data[-1] ^= 1
    path.write_bytes(bytes(data))
    with pytest.raises(StorageDamagedError, match="snapshot is damaged"):
        Storage(tmp_path).open()


@pytest.mark.parametrize("step", range(1, 12))
@pytest.mark.parametrize("torn", [False, True])
def test_crash_during_a_snapshot_loses_nothing(tmp_path, step, torn):
    files = FaultyFiles()
    storage = open_storage(tmp_path, files)
    storage.save(make_ready(1, 2, 3))
    files.crash_at, files.torn = files.steps + step, torn
    try:
        storage.save_snapshot(Snapshot(2, 1, MEMBERS, b"state"))
        storage.save(make_ready(4))
        expected = 4
    except CrashError:
        expected = 3
    restored = Storage(tmp_path).open()
    last = restored.entries[-1].index if restored.entries else restored.snapshot.index
    assert last >= expected
    assert restored.entries[-1].index == restored.snapshot.index + len(restored.entries)


class FullDisk(FileOperations):
    """File operations that fail while `full` or `sync_fails` is set."""

    def __init__(self) -> None:
        self.full = False
        self.sync_fails = False

    def write(self, fd, data):
        if self.full:
            raise OSError(errno.ENOSPC, "No space left on device")
        super().write(fd, data)

    def sync(self, fd):
        if self.sync_fails:
            raise OSError(errno.EIO, "Input/output error")
        super().sync(fd)


@pytest.mark.parametrize("fault", ["full", "sync_fails"])
def test_storage_stays_failed_after_a_disk_error(tmp_path, fault):
    files = FullDisk()
    storage = open_storage(tmp_path, files)
    storage.save(make_ready(1))
    setattr(files, fault, True)
    with pytest.raises(StorageError, match=str(tmp_path)):
        storage.save(make_ready(2))
    setattr(files, fault, False)
    with pytest.raises(StorageError, match="must be restarted"):
        storage.save(make_ready(2))
    with pytest.raises(StorageError, match="must be restarted"):
        storage.save_snapshot(Snapshot(1, 1, MEMBERS, b""))


def test_empty_folder_does_not_bootstrap_a_cluster(tmp_path):
    with pytest.raises(NotBootstrappedError) as caught:
        require_identity(tmp_path / "none", "c1")
    assert "finchway bootstrap" in caught.value.hint


def test_identity_belongs_to_one_name_and_one_incarnation(tmp_path):
    first = create_identity(tmp_path / "data", "c1", "cluster")
    assert load_identity(tmp_path / "data", "c1") == first
    with pytest.raises(StorageError, match="belongs to replica 'c1'"):
        load_identity(tmp_path / "data", "c2")
    aside = set_aside_damaged_folder(tmp_path / "data")
    assert aside.exists()
    second = create_identity(tmp_path / "data", "c1", "cluster")
    assert second.incarnation != first.incarnation


def test_corrupt_identity_raises(tmp_path):
    create_identity(tmp_path, "c1", "cluster")
    (tmp_path / "identity.json").write_text("{")
    with pytest.raises(StorageDamagedError):
        load_identity(tmp_path, "c1")
