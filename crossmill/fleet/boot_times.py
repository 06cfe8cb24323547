"""Boot timeouts that adapt to the boot times of recently booted machines.

The catalog states a usual boot time. At times machines take several times as long, and a few never
come up. With a timeout of a fixed number of boot times, whole batches that were only late were
returned, and so were their replacements, so that no machine joined while the cloud was slow.
Whether a single machine or all machines are late is determined by the machines of the same type
that were rented with it or later: if one of them is up, the machine was overtaken.

`BootTimes` keeps recent boots in memory. They are derived from the machine records, so that every
controller obtains the same result. Relative ages are in units of the type's boot time.
"""

from collections import deque
from math import inf
from typing import Any, NamedTuple

from ..cluster import keys
from ..cluster.model import Machine
from ..settings import Settings
from ..state.mirror import Mirror
from ..wire.cloud import MachineType

# the number of recent boots that are kept of a type
KEPT_BOOTS = 8
# the cloud is considered slow if this many machines of a type are late and not overtaken
MIN_LATE_TOGETHER = 2
# a machine is late, or has failed, after this many times the slowest recent boot
LATE_MARGIN = 1.25
FAILED_MARGIN = 2.0


class _Boot(NamedTuple):
    """A completed boot: the wall-clock time of the rental and the duration of the boot."""

    rented_at: float
    duration_s: float


class BootTimes:
    """The recent boots of each machine type, and the machines that are booting."""

    def __init__(self, settings: Settings, mirror: Mirror) -> None:
        self._settings = settings
        self._boots: dict[str, deque[_Boot]] = {}
        # rental wall-clock times of the booting machines, by type and machine ID
        self._booting: dict[str, dict[str, float]] = {}
        self._type_by_machine: dict[str, str] = {}
        # machines whose boot is recorded; it must count once, although the machine record is
        # written again when the machine moves to another shard or retires
        self._recorded: set[str] = set()
        mirror.add_listener(self._on_key)

    def _on_key(self, key: str, value: Any, _version: int) -> None:
        if not key.startswith(keys.MACHINE):
            return
        machine = key[len(keys.MACHINE) :]
        if value is None or value["up"] or value["retiring"]:
            self._remove_booting(machine)
        else:
            self._type_by_machine[machine] = value["type"]
            self._booting.setdefault(value["type"], {})[machine] = value["at"]
        if value is None:
            self._recorded.discard(machine)
        elif value.get("boot_s") is not None and machine not in self._recorded:
            self._recorded.add(machine)
            boots = self._boots.setdefault(value["type"], deque(maxlen=KEPT_BOOTS))
            boots.append(_Boot(value["at"], value["boot_s"]))

    def _remove_booting(self, machine: str) -> None:
        type_name = self._type_by_machine.pop(machine, None)
        if type_name is not None:
            self._booting[type_name].pop(machine, None)

    def is_expected(self, machine: Machine, machine_type: MachineType, wall_time: float) -> bool:
        """Return whether a booting machine counts as capacity at the given wall-clock time.

        If several machines are late together, every other one counts, so that half of them are
        replaced.
        """
        relative_age = self._relative_age(machine, machine_type, wall_time)
        if relative_age <= max(
            self._settings.boot_late_factor, LATE_MARGIN * self._longest_relative_boot(machine_type)
        ):
            return True
        late = self._late_together(machine, machine_type, wall_time)
        return len(late) >= MIN_LATE_TOGETHER and late.index(machine.id) % 2 == 0

    def has_failed(self, machine: Machine, machine_type: MachineType, wall_time: float) -> bool:
        """Return whether the machine is unlikely to come up and has to be returned."""
        relative_age = self._relative_age(machine, machine_type, wall_time)
        if relative_age <= max(
            self._settings.boot_failure_factor,
            FAILED_MARGIN * self._longest_relative_boot(machine_type),
        ):
            return False
        is_cloud_slow = (
            len(self._late_together(machine, machine_type, wall_time)) >= MIN_LATE_TOGETHER
        )
        return not is_cloud_slow or relative_age > self._settings.slow_boot_failure_factor

    @staticmethod
    def _relative_age(machine: Machine, machine_type: MachineType, wall_time: float) -> float:
        return (wall_time - machine.rented_at) / machine_type.boot_s

    def _longest_relative_boot(self, machine_type: MachineType) -> float:
        """Return the longest recent boot, in units of the type's boot time."""
        boots = self._boots.get(machine_type.name, ())
        return max((boot.duration_s for boot in boots), default=0.0) / machine_type.boot_s

    def _late_together(
        self, machine: Machine, machine_type: MachineType, wall_time: float
    ) -> list[str]:
        """Return the late, not overtaken machines of the type if this machine is one of them."""
        boots = self._boots.get(machine_type.name, ())
        newest = max((boot.rented_at for boot in boots), default=-inf)
        if machine.rented_at <= newest:
            return []
        latest = wall_time - self._settings.boot_late_factor * machine_type.boot_s
        booting = self._booting.get(machine_type.name, {})
        late = sorted(name for name, rented in booting.items() if newest < rented < latest)
        return late if machine.id in late else []
