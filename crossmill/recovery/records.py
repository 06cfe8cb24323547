"""What is stored of recoveries: records, what a brake holds back, approvals."""

from typing import Any, NamedTuple

from ..state.mirror import Mirror
from ..wire.recovery import BrakedReport
from . import keys
from .shard_recovery import ShardRecovery


class StoredApproval(NamedTuple):
    """An operator's approval: for one digest, under one token, until a time of day."""

    token: int
    digest: str
    until: float


def encode_approval(approval: StoredApproval) -> dict[str, Any]:
    """An approval as it is stored."""
    return approval._asdict()


def decode_approval(value: Any) -> StoredApproval | None:
    """A stored approval; None if there is none."""
    return None if value is None else StoredApproval(**value)


def encode_braked(recovery: ShardRecovery) -> dict[str, Any]:
    """What the shard's brake holds back."""
    impact = recovery.impact()
    report = BrakedReport(recovery.shard, recovery.term, recovery.digest(), *impact)
    return report._asdict()


def decode_braked(value: Any) -> BrakedReport | None:
    """What a brake holds back; None if it is off."""
    return None if value is None else BrakedReport(**value)


def encode_record(
    recovery: ShardRecovery, controller: str, wall: float, dry_run: bool
) -> dict[str, Any]:
    """The record of a recovery that has come to its end; of a dry run also what was let through
    that would have been held back."""
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


class RecordIndex:
    """The keys of the stored records, by shard, kept as they change."""

    def __init__(self, mirror: Mirror) -> None:
        self._mirror = mirror
        self._tokens: dict[int, set[int]] = {}
        mirror.listen(self._on_key)

    def _on_key(self, key: str, value: Any, version: int) -> None:
        if not key.startswith(keys.RECORD):
            return
        shard, token = keys.parse_record(key)
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
