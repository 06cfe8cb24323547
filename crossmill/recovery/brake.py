"""The brake: no mass action without an operator's approval."""

from collections.abc import Iterable
from typing import NamedTuple

from .differences import Difference
from .settings import RecoverySettings

DIGEST_BYTES = 8


class Impact(NamedTuple):
    """What recovery would do, and has done since the shard was taken, to how many known."""

    stops: int
    restarts: int
    releases: int
    tasks_known: int
    machines_known: int


def is_mass_action(impact: Impact, settings: RecoverySettings) -> bool:
    """Whether more than the permitted share of the tasks or of the machines is touched."""
    tasks = impact.stops + impact.restarts
    return _exceeds(tasks, impact.tasks_known, settings) or _exceeds(
        impact.releases, impact.machines_known, settings
    )


def _exceeds(touched: int, known: int, settings: RecoverySettings) -> bool:
    return touched > max(settings.brake_least, settings.brake_share * known)


def digest_of(differences: Iterable[Difference], machines: Iterable[str]) -> str:
    """Names what would be done: an approval is for exactly that."""
    # loaded only once something is held back: a start is not to wait for it
    from hashlib import blake2b

    lines = sorted(f"{d.machine} {d.job}/{d.index} {d.attempt} {d.task_class}" for d in differences)
    lines += sorted(machines)
    return blake2b("\n".join(lines).encode(), digest_size=DIGEST_BYTES).hexdigest()
