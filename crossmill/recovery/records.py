"""What is stored about recoveries: records, open circuit breakers, approvals.

`RecoveryService` writes the records and breakers, `RecoveryApi` the approvals; both read them.
"""

import logging
from collections.abc import Mapping
from typing import Any, NamedTuple, TypeVar, get_type_hints

from ..state.mirror import Mirror
from ..wire.recovery import BreakerReport
from . import keys
from .shard_recovery import ShardRecovery

log = logging.getLogger(__name__)

_Name = TypeVar("_Name", bound=str)


class StoredApproval(NamedTuple):
    """An operator's approval of one digest under one token, until a wall clock time in seconds."""

    token: int
    digest: str
    until: float


def encode_approval(approval: StoredApproval) -> dict[str, Any]:
    """Returns an approval as it is stored."""
    return approval._asdict()


def encode_breaker(recovery: ShardRecovery) -> dict[str, Any]:
    """Returns what the shard's open circuit breaker holds back, as it is stored."""
    breaker = recovery.breaker
    report = BreakerReport(recovery.shard, recovery.term, breaker.digest(), *breaker.impact())
    return report._asdict()


def encode_record(
    recovery: ShardRecovery, controller: str, wall: float, dry_run: bool
) -> dict[str, Any]:
    """Returns the record of a finished recovery, as it is stored.

    Args:
        recovery: the finished recovery
        controller: the label of the controller that carried it out
        wall: the wall clock time in seconds
        dry_run: whether nothing was withheld, and `let_through` counts what would have been
    """
    statistics = recovery.statistics
    return {
        "shard": recovery.shard,
        "token": recovery.term,
        "controller": controller,
        "at": wall,
        "machines": statistics.machines_known,
        "tasks": statistics.tasks_known,
        "phases_s": {
            str(phase): round(spent_s, 3) for phase, spent_s in recovery.phase_durations_s.items()
        },
        "machine_classes": _encode_counts(statistics.machine_classes),
        "classes": _encode_counts(statistics.task_classes),
        "orders": _encode_counts(statistics.orders),
        "dry_run": dry_run,
        "let_through": _encode_counts(statistics.withheld_in_dry_run),
    }


def _encode_counts(counts: Mapping[_Name, int]) -> dict[str, int]:
    # JSON needs plain strings as keys, not members of a StrEnum
    return {str(name): number for name, number in counts.items()}


_Stored = TypeVar("_Stored", StoredApproval, BreakerReport)


def _decode(kind: type[_Stored], value: Any) -> _Stored | None:
    """Returns the stored value; None unless its fields are exactly those of this version."""
    types = get_type_hints(kind)
    if not isinstance(value, dict) or value.keys() != types.keys():
        return None
    if not all(isinstance(value[name], _accepted_types(type_)) for name, type_ in types.items()):
        return None
    return kind(**value)


def _accepted_types(type_: type) -> tuple[type, ...]:
    # the state service returns whole floats as either type
    return (int, float) if type_ is float else (type_,)


class StoredNotes:
    """Reads approvals and open circuit breakers from the mirror of the state service.

    A value that a later version of the program wrote is ignored, with one warning per version of
    the key.
    """

    def __init__(self, mirror: Mirror) -> None:
        self._mirror = mirror
        # keys with the versions that this program can't read
        self._unreadable: set[tuple[str, int]] = set()

    def approval(self, shard: int) -> StoredApproval | None:
        """Returns the operator's approval for the shard; None if there is none."""
        return self._read(StoredApproval, keys.approval(shard))

    def breaker(self, shard: int) -> BreakerReport | None:
        """Returns what the shard's circuit breaker holds back; None if it is closed."""
        return self._read(BreakerReport, keys.breaker(shard))

    def is_unreadable(self, key: str) -> bool:
        """Whether a read found the key's present value in a form of another version."""
        return (key, self._mirror.version(key)) in self._unreadable

    def _read(self, kind: type[_Stored], key: str) -> _Stored | None:
        value = self._mirror.value(key)
        decoded = _decode(kind, value)
        if value is not None and decoded is None:
            self._warn_once(key)
        return decoded

    def _warn_once(self, key: str) -> None:
        if not self.is_unreadable(key):
            self._unreadable.add((key, self._mirror.version(key)))
            log.warning("recovery note of another version left alone key=%s", key)


class RecordIndex:
    """The tokens of the stored records by shard, updated with each change of the mirror."""

    def __init__(self, mirror: Mirror) -> None:
        self._mirror = mirror
        self._tokens: dict[int, set[int]] = {}
        mirror.add_listener(self._on_key)

    def _on_key(self, key: str, value: Any, version: int) -> None:  # noqa: ARG002 (listener)
        if not key.startswith(keys.RECORD):
            return
        parsed = keys.parse_record(key)
        if parsed is None:
            log.warning("recovery record of another version left alone key=%s", key)
            return
        tokens = self._tokens.setdefault(parsed.shard, set())
        if value is None:
            tokens.discard(parsed.token)
        else:
            tokens.add(parsed.token)

    def surplus(self, shard: int, kept: int) -> list[str]:
        """Returns the keys of a shard's records other than the newest `kept`."""
        tokens = sorted(self._tokens.get(shard, ()))
        surplus_count = max(0, len(tokens) - kept)
        return [keys.record(shard, token) for token in tokens[:surplus_count]]

    def all(self) -> list[dict[str, object]]:
        """Returns all records by shard, the oldest first."""
        return [
            self._mirror.value(keys.record(shard, token))
            for shard in sorted(self._tokens)
            for token in sorted(self._tokens[shard])
        ]
