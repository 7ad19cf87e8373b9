"""Storage: a torn tail is cut, damage elsewhere is never skipped, failures stop the replica."""

from __future__ import annotations

import errno

import pytest

from finchway.exceptions import NotBootstrappedError, StorageDamagedError, StorageError
from finchway.replication import (
    Entry,
    EntryKind,
    Files,
    Member,
    Members,
    Ready,
    Snapshot,
    Storage,
    create_identity,
    load_identity,
    quarantine,
    require_identity,
)
from finchway.replication._messages import HardState
from tests.raft import CrashError, FaultyFiles

MEMBERS = Members((Member("a", "1"),))


def ready(*indexes: int, term: int = 1, vote: str = "", truncate: int | None = None) -> Ready:
    entries = [Entry(term, i, EntryKind.COMMAND, b"x%d" % i) for i in indexes]
    return Ready(HardState(term, vote), None, truncate, entries, [], [], [])


def opened(folder, files: Files | None = None) -> Storage:
    storage = Storage(folder, files)
    storage.open()
    return storage


def indexes(folder) -> list[int]:
    return [entry.index for entry in Storage(folder).open().entries]


def log_file(folder):
    return next(folder.glob("log-*.wal"))


def test_what_was_saved_comes_back(tmp_path):
    storage = opened(tmp_path)
    storage.save(ready(1, 2, vote="a@1"))
    storage.save(ready(2, 3, term=2, truncate=2))
    restored = Storage(tmp_path).open()
    assert [(e.term, e.index) for e in restored.entries] == [(1, 1), (2, 2), (2, 3)]
    assert restored.hard_state == HardState(2, "")


@pytest.mark.parametrize("lost", [1, 5, 20])
def test_a_torn_tail_is_cut(tmp_path, lost):
    opened(tmp_path).save(ready(1, 2))
    storage = opened(tmp_path)
    storage.save(ready(3))
    path = log_file(tmp_path)
    path.write_bytes(path.read_bytes()[:-lost])
    assert indexes(tmp_path) == [1, 2]
    opened(tmp_path).save(ready(3, 4))
    assert indexes(tmp_path) == [1, 2, 3, 4]


def test_a_tail_of_zeros_is_cut(tmp_path):
    opened(tmp_path).save(ready(1))
    path = log_file(tmp_path)
    path.write_bytes(path.read_bytes() + bytes(100))
    assert indexes(tmp_path) == [1]


def test_damage_before_sound_records_is_never_skipped(tmp_path):
    storage = opened(tmp_path)
    storage.save(ready(1))
    size = log_file(tmp_path).stat().st_size
    storage.save(ready(2))
    storage.save(ready(3))
    path = log_file(tmp_path)
    data = bytearray(path.read_bytes())
    data[size + 30] ^= 0xFF
    path.write_bytes(bytes(data))
    with pytest.raises(StorageDamagedError, match="damaged at byte"):
        Storage(tmp_path).open()


def test_a_damaged_snapshot_is_never_used(tmp_path):
    storage = opened(tmp_path)
    storage.save(ready(1, 2))
    storage.snapshot(Snapshot(2, 1, MEMBERS, b"state"))
    path = next(tmp_path.glob("snapshot-*.snap"))
    data = bytearray(path.read_bytes())
    data[-1] ^= 1
    path.write_bytes(bytes(data))
    with pytest.raises(StorageDamagedError, match="snapshot is damaged"):
        Storage(tmp_path).open()


@pytest.mark.parametrize("step", range(1, 12))
@pytest.mark.parametrize("torn", [False, True])
def test_a_crash_at_any_step_of_a_snapshot_loses_nothing(tmp_path, step, torn):
    files = FaultyFiles()
    storage = opened(tmp_path, files)
    storage.save(ready(1, 2, 3))
    files.crash_at, files.torn = files.steps + step, torn
    try:
        storage.snapshot(Snapshot(2, 1, MEMBERS, b"state"))
        storage.save(ready(4))
        expected = 4
    except CrashError:
        expected = 3
    restored = Storage(tmp_path).open()
    last = restored.entries[-1].index if restored.entries else restored.snapshot.index
    assert last >= expected
    assert restored.entries[-1].index == restored.snapshot.index + len(restored.entries)


class FullDisk(Files):
    """A disk that is full from some write on."""

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
def test_a_failing_disk_stops_the_replica_for_good(tmp_path, fault):
    files = FullDisk()
    storage = opened(tmp_path, files)
    storage.save(ready(1))
    setattr(files, fault, True)
    with pytest.raises(StorageError, match=str(tmp_path)):
        storage.save(ready(2))
    setattr(files, fault, False)
    with pytest.raises(StorageError, match="must be restarted"):
        storage.save(ready(2))
    with pytest.raises(StorageError, match="must be restarted"):
        storage.snapshot(Snapshot(1, 1, MEMBERS, b""))


def test_an_empty_folder_never_starts_a_cluster_by_itself(tmp_path):
    with pytest.raises(NotBootstrappedError) as caught:
        require_identity(tmp_path / "none", "c1")
    assert "finchway bootstrap" in caught.value.hint


def test_an_identity_belongs_to_one_name_and_one_life(tmp_path):
    first = create_identity(tmp_path / "data", "c1", "cluster")
    assert load_identity(tmp_path / "data", "c1") == first
    with pytest.raises(StorageError, match="belongs to replica 'c1'"):
        load_identity(tmp_path / "data", "c2")
    aside = quarantine(tmp_path / "data")
    assert aside.exists()
    second = create_identity(tmp_path / "data", "c1", "cluster")
    assert second.incarnation != first.incarnation


def test_a_damaged_identity_is_reported(tmp_path):
    create_identity(tmp_path, "c1", "cluster")
    (tmp_path / "identity.json").write_text("{")
    with pytest.raises(StorageDamagedError):
        load_identity(tmp_path, "c1")
