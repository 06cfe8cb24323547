"""The stored values of recoveries: records, reports of open circuit breakers, approvals.

`RecoveryService` writes the records and reports, and `RecoveryApi` the approvals; both read them.
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
    """An operator's approval of one digest under one fencing token.

    Attributes:
        token: The fencing token under which the shard's recovery began.
        digest: The identifier of the approved actions.
        until: The wall-clock time in seconds until which the approval is valid.
    """

    token: int
    digest: str
    until: float


def encode_approval(approval: StoredApproval) -> dict[str, Any]:
    """Encode an approval in the stored form."""
    return approval._asdict()


def encode_breaker(recovery: ShardRecovery) -> dict[str, Any]:
    """Encode the report of the shard's open circuit breaker in the stored form."""
    breaker = recovery.breaker
    report = BreakerReport(
        recovery.shard, recovery.term, breaker.digest(), *breaker.action_counts()
    )
    return report._asdict()


def encode_record(
    recovery: ShardRecovery, controller: str, finished_at: float, dry_run: bool
) -> dict[str, Any]:
    """Encode the record of a finished recovery in the stored form.

    Args:
        recovery: the finished recovery
        controller: the label of the controller that carried out the recovery
        finished_at: the wall-clock time of its end, in seconds
        dry_run: whether it was a dry run, whose `let_through` counts the orders that a regular
            recovery would have delayed
    """
    statistics = recovery.statistics
    return {
        "shard": recovery.shard,
        "token": recovery.term,
        "controller": controller,
        "at": finished_at,
        "machines": statistics.machines_known,
        "tasks": statistics.tasks_known,
        "phases_s": {
            str(phase): round(spent_s, 3) for phase, spent_s in recovery.phase_durations_s.items()
        },
        "machine_classes": _encode_counts(statistics.machine_classes),
        "classes": _encode_counts(statistics.task_classes),
        "orders": _encode_counts(statistics.orders),
        "dry_run": dry_run,
        "let_through": _encode_counts(statistics.admitted_by_dry_run),
    }


def _encode_counts(counts: Mapping[_Name, int]) -> dict[str, int]:
    # the JSON encoder accepts only plain strings as keys, not members of a StrEnum
    return {str(name): number for name, number in counts.items()}


_Stored = TypeVar("_Stored", StoredApproval, BreakerReport)


def _decode(kind: type[_Stored], value: Any) -> _Stored | None:
    """Return the decoded value; None unless its fields are exactly those of this version."""
    types = get_type_hints(kind)
    if not isinstance(value, dict) or value.keys() != types.keys():
        return None
    if not all(isinstance(value[name], _accepted_types(type_)) for name, type_ in types.items()):
        return None
    return kind(**value)


def _accepted_types(type_: type) -> tuple[type, ...]:
    # the state service may return a float without a fraction as an int
    return (int, float) if type_ is float else (type_,)


class BreakerStateReader:
    """Reads approvals and reports of open circuit breakers from the mirror of the state service.

    A value in the format of another version of the program is ignored, with one warning for each
    version of the key.
    """

    def __init__(self, mirror: Mirror) -> None:
        self._mirror = mirror
        # key versions whose value is in the format of another program version
        self._unreadable: set[tuple[str, int]] = set()

    def approval(self, shard: int) -> StoredApproval | None:
        """Return the operator's approval for the shard; None if there is none."""
        return self._read(StoredApproval, keys.approval(shard))

    def breaker_report(self, shard: int) -> BreakerReport | None:
        """Return the report of the shard's circuit breaker; None if the breaker is closed."""
        return self._read(BreakerReport, keys.breaker(shard))

    def is_unreadable(self, key: str) -> bool:
        """Return whether a read found the key's current value in the format of another version."""
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
            log.warning("recovery value written by another version ignored key=%s", key)


class RecordIndex:
    """An index of the stored records by shard and token, updated with each change of the mirror."""

    def __init__(self, mirror: Mirror) -> None:
        self._mirror = mirror
        self._tokens: dict[int, set[int]] = {}
        mirror.add_listener(self._on_key)

    def _on_key(self, key: str, value: Any, version: int) -> None:  # noqa: ARG002 (listener)
        if not key.startswith(keys.RECORD):
            return
        parsed = keys.parse_record(key)
        if parsed is None:
            log.warning("recovery record written by another version ignored key=%s", key)
            return
        tokens = self._tokens.setdefault(parsed.shard, set())
        if value is None:
            tokens.discard(parsed.token)
        else:
            tokens.add(parsed.token)

    def surplus_keys(self, shard: int, kept: int) -> list[str]:
        """Return the keys of a shard's records other than the newest `kept` ones."""
        tokens = sorted(self._tokens.get(shard, ()))
        surplus_count = max(0, len(tokens) - kept)
        return [keys.record(shard, token) for token in tokens[:surplus_count]]

    def all(self) -> list[dict[str, object]]:
        """Return all records, sorted by shard and then from oldest to newest."""
        return [
            self._mirror.value(keys.record(shard, token))
            for shard in sorted(self._tokens)
            for token in sorted(self._tokens[shard])
        ]
