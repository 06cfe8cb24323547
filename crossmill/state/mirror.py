"""An in-memory copy of the state service's keys, each with its newest known value and version.

The watcher and the writer update the mirror; the indexes of the cluster state subscribe to it. Each
controller has one mirror.
"""

from collections.abc import Callable
from typing import Any

from ..wire.state import Event, KeyValue


class Entry:
    """The newest known value and version of a key."""

    __slots__ = ("value", "version")

    def __init__(self, value: Any, version: int) -> None:
        self.value = value
        self.version = version


# called with a key, its value and its version; a value of None means that the key was deleted
Listener = Callable[[str, Any, int], None]


class Mirror:
    """The newest known value and version of every key.

    Changes, full reads and this controller's own writes may arrive in any order. The version of a
    key only increases, and a deletion is recorded until all changes up to its revision are known,
    so that an older response can't restore a deleted key.

    Attributes:
        revision: All changes up to this revision of the state service are known; -1 before the
            first full read.
        full_read_count: The number of full reads applied. A key that was created and deleted
            between two full reads is never observed.
    """

    def __init__(self) -> None:
        self.revision = -1
        self.full_read_count = 0
        self._entries: dict[str, Entry] = {}
        # revisions of deletions by key, for deletions after `revision`
        self._deleted_at: dict[str, int] = {}
        self._listeners: list[Listener] = []

    def add_listener(self, listener: Listener) -> None:
        """Add a listener and call it for every key known now, and then for every change."""
        for key, entry in self._entries.items():
            listener(key, entry.value, entry.version)
        self._listeners.append(listener)

    def version(self, key: str) -> int:
        """Return the newest known version of a key; 0 if the key does not exist."""
        entry = self._entries.get(key)
        return entry.version if entry else 0

    def value(self, key: str) -> Any:
        """Return the newest known value of a key; None if the key does not exist."""
        entry = self._entries.get(key)
        return entry.value if entry else None

    def _notify(self, key: str, value: Any, version: int) -> None:
        for listener in self._listeners:
            listener(key, value, version)

    def apply_write(self, key: str, value: Any, version: int) -> None:
        """Apply a write of a key, unless a newer change of the key is known."""
        if version <= self.version(key) or version <= self._deleted_at.get(key, 0):
            return
        self._deleted_at.pop(key, None)
        self._entries[key] = Entry(value, version)
        self._notify(key, value, version)

    def apply_deletion(self, key: str, version: int) -> None:
        """Apply the deletion of a key at a revision, unless a newer write of the key is known."""
        if version > self.revision:
            self._deleted_at[key] = max(version, self._deleted_at.get(key, 0))
        if key in self._entries and self._entries[key].version < version:
            del self._entries[key]
            self._notify(key, None, version)

    def merge_read(self, read: KeyValue) -> None:
        """Apply the result of reading a single key.

        The result may be older than the mirror. If its version is not newer than the mirror's
        revision and the mirror lacks the key, the key has been deleted since and is not restored.
        """
        if read.version > self.revision:
            self.apply_write(read.key, read.value, read.version)

    def apply_changes(self, revision: int, events: list[Event]) -> None:
        """Apply all changes from the mirror's revision, or an earlier one, up to `revision`."""
        for event in events:
            if event.version <= self.revision:
                continue
            if event.deleted:
                self.apply_deletion(event.key, event.version)
            else:
                self.apply_write(event.key, event.value, event.version)
        if revision > self.revision:
            self.revision = revision
            self._deleted_at = {
                key: deleted_at
                for key, deleted_at in self._deleted_at.items()
                if deleted_at > revision
            }

    def apply_full_read(self, revision: int, rows: list[KeyValue]) -> None:
        """Apply a full read as of a revision; some of its keys may be newer."""
        self.full_read_count += 1
        present = {row.key for row in rows}
        for key in [key for key in self._entries if key not in present]:
            if self._entries[key].version <= revision:
                self.apply_deletion(key, revision)
        for row in rows:
            self.apply_write(row.key, row.value, row.version)
        self.revision = max(self.revision, revision)
