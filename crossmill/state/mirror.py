"""What the state service is known to hold: the newest version of every key."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ..wire.state import Event, KeyValue


@dataclass(slots=True, eq=False)
class Entry:
    """The newest known value of a key."""

    value: Any
    version: int


Listener = Callable[[str, Any, int], None]


class Mirror:
    """Fed by the follower, by syncs and by this controller's own settled writes, in any
    order: a key's version only grows, and a deletion is remembered until every change up to
    it has been seen, so that an older answer can't bring a key back.
    """

    def __init__(self) -> None:
        self.revision = -1
        # full readings: what came and went between two of them was not seen
        self.readings = 0
        self._entries: dict[str, Entry] = {}
        self._gone: dict[str, int] = {}
        self._listeners: list[Listener] = []

    def listen(self, listener: Listener) -> None:
        """Called with (key, value, version), at first for all that is known; a value of None means
        deleted.
        """
        for key, entry in self._entries.items():
            listener(key, entry.value, entry.version)
        self._listeners.append(listener)

    def version(self, key: str) -> int:
        """The newest known version of a key; 0 if it does not exist."""
        entry = self._entries.get(key)
        return entry.version if entry else 0

    def value(self, key: str) -> Any:
        """The newest known value of a key; None if it does not exist."""
        entry = self._entries.get(key)
        return entry.value if entry else None

    def _tell(self, key: str, value: Any, version: int) -> None:
        for listener in self._listeners:
            listener(key, value, version)

    def written(self, key: str, value: Any, version: int) -> None:
        """A key was written with this version, if that is news."""
        if version <= self.version(key) or version <= self._gone.get(key, 0):
            return
        self._gone.pop(key, None)
        self._entries[key] = Entry(value, version)
        self._tell(key, value, version)

    def merge_read(self, row: KeyValue) -> None:
        """A key read by itself. The answer may be older than what has been seen since: a key of
        a revision already seen that is not here was deleted, and must not come back.
        """
        if row.version > self.revision:
            self.written(row.key, row.value, row.version)

    def deleted(self, key: str, version: int) -> None:
        """A key was deleted at this revision, if that is news."""
        if version > self.revision:
            self._gone[key] = max(version, self._gone.get(key, 0))
        if key in self._entries and self._entries[key].version < version:
            del self._entries[key]
            self._tell(key, None, version)

    def apply(self, revision: int, events: list[Event]) -> None:
        """Every change after a revision that was known, up to this one."""
        for event in events:
            if event.version <= self.revision:
                continue
            if event.deleted:
                self.deleted(event.key, event.version)
            else:
                self.written(event.key, event.value, event.version)
        if revision > self.revision:
            self.revision = revision
            self._gone = {k: v for k, v in self._gone.items() if v > revision}

    def replace(self, revision: int, rows: list[KeyValue]) -> None:
        """A full reading as of this revision (rows may be newer)."""
        self.readings += 1
        present = {row.key for row in rows}
        for key in [k for k, e in self._entries.items() if k not in present]:
            if self._entries[key].version <= revision:
                self.deleted(key, revision)
        for row in rows:
            self.written(row.key, row.value, row.version)
        self.revision = max(self.revision, revision)
