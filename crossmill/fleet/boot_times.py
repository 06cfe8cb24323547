"""How long machines take to come up, learned from those that did.

The catalogue states a usual boot time. At times machines take several times as long, and a few
never come up. A bound of a fixed number of boot times gave up whole batches that were only late,
rented them anew, and gave those up as well, so that none ever joined while the trouble lasted.
Whether a machine is late by itself, or all are, shows in those of its type that were rented with it
or after it: if one of them is up, the machine has been overtaken.

All ages here are in parts of the type's boot time. What is learned rests on the machines' records,
so that every controller concludes the same.
"""

from collections import deque
from math import inf
from typing import Any, NamedTuple

from ..cluster import keys
from ..cluster.model import Machine
from ..settings import Settings
from ..state.mirror import Mirror
from ..wire.cloud import MachineType

# boots of a type that are remembered
KEPT_BOOTS = 8
# so many machines that are late with none of their type ahead of them: the cloud is slow
SLOW_TOGETHER = 2
# beyond the slowest boot remembered by this factor a machine is late, or has failed
LATE_MARGIN = 1.25
FAILED_MARGIN = 2.0


class _Boot(NamedTuple):
    """A machine that came up."""

    rented: float
    took_s: float


class BootTimes:
    """The boots seen of each type, and the machines that still boot."""

    def __init__(self, settings: Settings, mirror: Mirror) -> None:
        self._settings = settings
        self._boots: dict[str, deque[_Boot]] = {}
        # by type: when each machine that still boots was rented
        self._booting: dict[str, dict[str, float]] = {}
        self._type_of: dict[str, str] = {}
        # machines whose boot was noted: their records are written again when they move or retire
        self._noted: set[str] = set()
        mirror.listen(self._on_key)

    def _on_key(self, key: str, value: Any, version: int) -> None:
        if not key.startswith(keys.MACHINE):
            return
        machine = key[len(keys.MACHINE) :]
        if value is None or value["up"] or value["retiring"]:
            name = self._type_of.pop(machine, None)
            if name is not None:
                self._booting[name].pop(machine, None)
        else:
            self._type_of[machine] = value["type"]
            self._booting.setdefault(value["type"], {})[machine] = value["at"]
        if value is None:
            self._noted.discard(machine)
        elif value.get("boot_s") is not None and machine not in self._noted:
            self._noted.add(machine)
            self._note(value)

    def _note(self, value: dict[str, Any]) -> None:
        boots = self._boots.setdefault(value["type"], deque(maxlen=KEPT_BOOTS))
        boots.append(_Boot(value["at"], value["boot_s"]))

    def is_expected(self, machine: Machine, kind: MachineType, wall: float) -> bool:
        """Whether the machine, which is not up yet, counts as supply. Of those that are late
        together every other one does: the rest is replaced while it is missed.
        """
        age = self._age(machine, kind, wall)
        if age <= max(self._settings.boot_late_factor, LATE_MARGIN * self._slowest(kind)):
            return True
        late = self._late_together(machine, kind, wall)
        return len(late) >= SLOW_TOGETHER and late.index(machine.id) % 2 == 0

    def has_failed(self, machine: Machine, kind: MachineType, wall: float) -> bool:
        """Whether the machine will hardly come up any more, and is to be returned."""
        age = self._age(machine, kind, wall)
        if age <= max(self._settings.boot_failure_factor, FAILED_MARGIN * self._slowest(kind)):
            return False
        is_cloud_slow = len(self._late_together(machine, kind, wall)) >= SLOW_TOGETHER
        return not is_cloud_slow or age > self._settings.slow_boot_failure_factor

    @staticmethod
    def _age(machine: Machine, kind: MachineType, wall: float) -> float:
        return (wall - machine.rented) / kind.boot_s

    def _slowest(self, kind: MachineType) -> float:
        """The longest of the boots remembered, in parts of the type's boot time."""
        boots = self._boots.get(kind.name, ())
        return max((boot.took_s for boot in boots), default=0.0) / kind.boot_s

    def _late_together(self, machine: Machine, kind: MachineType, wall: float) -> list[str]:
        """The machines of the type that are late and were not overtaken, if this is one of them."""
        boots = self._boots.get(kind.name, ())
        newest = max((boot.rented for boot in boots), default=-inf)
        if machine.rented <= newest:
            return []
        latest = wall - self._settings.boot_late_factor * kind.boot_s
        booting = self._booting.get(kind.name, {})
        late = sorted(name for name, rented in booting.items() if newest < rented < latest)
        return late if machine.id in late else []
