"""The controllers, as their keys in the state service describe them."""

from typing import Any

from .model import ControllerRecord
from .records import decode_controller


class ControllerIndex(dict[str, ControllerRecord]):
    """The record of every controller whose lease has not expired, by label.

    Only `ClusterState` changes it, as keys of the state service change.
    """

    def __init__(self) -> None:
        super().__init__()
        self.leader: str | None = None
        # how often each controller's key was written or deleted
        self.key_changes: dict[str, int] = {}
        # the controllers that run a version of the next feature level, with their notes' versions
        self.at_next_level: dict[str, int] = {}

    def apply(self, label: str, value: Any) -> None:
        """Applies a change of a controller's record; a value of None means deleted or expired."""
        self.key_changes[label] = self.key_changes.get(label, 0) + 1
        if value is None:
            self.pop(label, None)
        else:
            self[label] = decode_controller(value)

    def apply_level_note(self, label: str, value: Any, version: int) -> None:
        """Applies a change of the note that a controller runs a version of the next level."""
        if value is None:
            self.at_next_level.pop(label, None)
        else:
            self.at_next_level[label] = version
