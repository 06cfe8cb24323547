"""What is stored of recoveries: records, what a brake holds back, approvals."""

import logging
from typing import Any, NamedTuple, TypeVar, get_type_hints

from ..state.mirror import Mirror
from ..wire.recovery import BrakedReport
from . import keys
from .shard_recovery import ShardRecovery

log = logging.getLogger(__name__)


class StoredApproval(NamedTuple):
    """An operator's approval: for one digest, under one token, until a time of day."""

    token: int
    digest: str
    until: float


def encode_approval(approval: StoredApproval) -> dict[str, Any]:
    """An approval as it is stored."""
    return approval._asdict()


def encode_braked(recovery: ShardRecovery) -> dict[str, Any]:
    """What the shard's brake holds back."""
    impact = recovery.impact()
    report = BrakedReport(recovery.shard, recovery.term, recovery.digest(), *impact)
    return report._asdict()


def encode_record(
    recovery: ShardRecovery, controller: str, wall: float, dry_run: bool
) -> dict[str, Any]:
    """The record of a recovery that has come to its end; of a dry run also what was let through
    that would have been held back.
    """
    return {
        "shard": recovery.shard,
        "token": recovery.term,
        "controller": controller,
        "at": wall,
        "machines": recovery.machines_known,
        "tasks": recovery.tasks_known,
        "phases_s": {str(phase): round(s, 3) for phase, s in recovery.spent_s.items()},
        "machine_classes": {str(name): n for name, n in recovery.machine_classes.items()},
        "classes": {str(name): number for name, number in recovery.classes.items()},
        "orders": dict(recovery.orders),
        "dry_run": dry_run,
        "let_through": dict(recovery.let_through),
    }


_Stored = TypeVar("_Stored", StoredApproval, BrakedReport)


def _decode(kind: type[_Stored], value: Any) -> _Stored | None:
    """The stored value; None if its fields are not exactly those that this version writes."""
    types = get_type_hints(kind)
    if not isinstance(value, dict) or value.keys() != types.keys():
        return None
    if not all(isinstance(value[name], _accepted(type_)) for name, type_ in types.items()):
        return None
    return kind(**value)


def _accepted(type_: type) -> tuple[type, ...]:
    # numbers come back from the state service in either form
    return (int, float) if type_ is float else (type_,)


class StoredNotes:
    """Approvals, and what brakes hold back, as they are stored. What a later version of the program
    wrote is left alone, and said so once.
    """

    def __init__(self, mirror: Mirror) -> None:
        self._mirror = mirror
        self._noted: set[tuple[str, int]] = set()

    def approval(self, shard: int) -> StoredApproval | None:
        """The operator's approval for the shard, if there is one."""
        return self._read(StoredApproval, keys.approval(shard))

    def braked(self, shard: int) -> BrakedReport | None:
        """What the shard's brake holds back; None if it is off."""
        return self._read(BrakedReport, keys.braked(shard))

    def is_foreign(self, key: str) -> bool:
        """Whether the key stands, in a form that this version does not write."""
        return (key, self._mirror.version(key)) in self._noted

    def _read(self, kind: type[_Stored], key: str) -> _Stored | None:
        value = self._mirror.value(key)
        decoded = _decode(kind, value)
        noted = key, self._mirror.version(key)
        if value is not None and decoded is None and noted not in self._noted:
            self._noted.add(noted)
            log.warning("recovery note of another version left alone key=%s", key)
        return decoded


class RecordIndex:
    """The keys of the stored records, by shard, kept as they change."""

    def __init__(self, mirror: Mirror) -> None:
        self._mirror = mirror
        self._tokens: dict[int, set[int]] = {}
        mirror.listen(self._on_key)

    def _on_key(self, key: str, value: Any, version: int) -> None:
        if not key.startswith(keys.RECORD):
            return
        parsed = keys.parse_record(key)
        if parsed is None:
            log.warning("recovery record of another version left alone key=%s", key)
            return
        shard, token = parsed
        tokens = self._tokens.setdefault(shard, set())
        if value is None:
            tokens.discard(token)
        else:
            tokens.add(token)

    def surplus(self, shard: int, kept: int) -> list[str]:
        """The keys of records beyond the newest `kept` of a shard."""
        tokens = sorted(self._tokens.get(shard, ()))
        return [keys.record(shard, token) for token in tokens[: max(0, len(tokens) - kept)]]

    def all(self) -> list[dict[str, object]]:
        """All records, by shard, the oldest first."""
        return [
            self._mirror.value(keys.record(shard, token))
            for shard in sorted(self._tokens)
            for token in sorted(self._tokens[shard])
        ]
