"""Tests of machines that boot late or never: which count as capacity and which have failed."""

import curio
import pytest

from crossmill.cluster import keys
from crossmill.cluster.cluster_state import ClusterState
from crossmill.fleet.boot_times import BootTimes
from crossmill.fleet.cloud import stored_catalog
from crossmill.state.mirror import Mirror
from crossmill.wire.cloud import parse_catalog

from .builders import make_settings
from .fake_cloud import CATALOG
from .simulated_region import Region, simulate

# the boot time of CATALOG's g4
BOOT_S = 30.0


class BootingFleet:
    """Machines of one type, rented at second 0 by default."""

    def __init__(self) -> None:
        self.mirror = Mirror()
        self.cluster = ClusterState(self.mirror, make_settings())
        self.times = BootTimes(make_settings(), self.mirror)
        self.mirror.apply_write(keys.CATALOG, stored_catalog(parse_catalog(CATALOG)), 1)
        self._revision = 1

    def write(self, machine: str, rented: float = 0.0, boot_s: float | None = None) -> None:
        """Write the machine's record."""
        self._revision += 1
        value = {"type": "g4", "zone": "north", "spot": False, "shard": 0, "at": rented}
        value |= {"retiring": "", "up": boot_s is not None, "boot_s": boot_s}
        self.mirror.apply_write(keys.machine(machine), value, self._revision)

    def is_expected(self, machine: str, age: float) -> bool:
        """Return whether the machine counts as capacity `age` boot times after second 0."""
        machine_type = self.cluster.catalog["g4"]
        return self.times.is_expected(self.cluster.machines[machine], machine_type, age * BOOT_S)

    def has_failed(self, machine: str, age: float) -> bool:
        """Return whether the machine counts as failed `age` boot times after second 0."""
        machine_type = self.cluster.catalog["g4"]
        return self.times.has_failed(self.cluster.machines[machine], machine_type, age * BOOT_S)


def test_a_machine_that_others_overtook_is_late_and_then_failed() -> None:
    fleet = BootingFleet()
    fleet.write("n-0")
    fleet.write("n-1")
    fleet.write("n-2", rented=10.0, boot_s=BOOT_S)
    assert [fleet.is_expected("n-0", age) for age in (1.5, 2.0)] == [True, False]
    assert [fleet.has_failed("n-0", age) for age in (3.0, 4.0)] == [False, True]


def test_machines_that_are_late_together_do_not_fail_and_half_of_them_are_expected() -> None:
    fleet = BootingFleet()
    for number in range(4):
        fleet.write(f"n-{number}")
    assert [fleet.is_expected(f"n-{number}", 3.0) for number in range(4)] == [True, False] * 2
    assert not any(fleet.has_failed(f"n-{number}", 6.0) for number in range(4))
    # after the longest timeout they fail, so that they are not paid for indefinitely
    assert all(fleet.has_failed(f"n-{number}", 9.0) for number in range(4))


def test_a_single_late_machine_fails_after_the_usual_time() -> None:
    fleet = BootingFleet()
    fleet.write("n-0")
    assert [fleet.has_failed("n-0", age) for age in (3.0, 4.0)] == [False, True]


def test_slow_boots_lengthen_the_timeouts_and_fast_boots_shorten_them() -> None:
    fleet = BootingFleet()
    fleet.write("n-0", boot_s=4 * BOOT_S)
    fleet.write("n-1", rented=-10.0)
    assert [fleet.is_expected("n-1", age) for age in (4.5, 6.0)] == [True, False]
    assert [fleet.has_failed("n-1", age) for age in (7.0, 9.0)] == [False, True]
    for number in range(2, 10):
        fleet.write(f"n-{number}", rented=5.0, boot_s=BOOT_S)
    assert not fleet.is_expected("n-1", 3.0)
    assert fleet.has_failed("n-1", 4.0)


def test_a_boot_counts_once_however_often_the_record_is_written() -> None:
    fleet = BootingFleet()
    fleet.write("n-0", boot_s=4 * BOOT_S)
    for number in range(2, 10):
        fleet.write(f"n-{number}", rented=5.0, boot_s=BOOT_S)
    # the record of the slow machine is written again later, as when it moves or is retired
    fleet.write("n-0", boot_s=4 * BOOT_S)
    fleet.write("n-1")
    assert not fleet.is_expected("n-1", 3.0)
    assert fleet.has_failed("n-1", 4.0)


def test_records_of_earlier_versions_count_as_no_boot() -> None:
    fleet = BootingFleet()
    value = {"type": "g4", "zone": "north", "spot": False, "shard": 0, "at": 0.0}
    fleet.mirror.apply_write(keys.machine("n-0"), value | {"retiring": "", "up": True}, 2)
    fleet.write("n-1")
    assert fleet.cluster.machines["n-0"].boot_s is None
    assert fleet.has_failed("n-1", 4.0)


@pytest.mark.parametrize("slow", [4.0, 6.0])
def test_machines_that_all_boot_slowly_join_and_are_not_replaced(slow: float) -> None:
    async def scenario(region: Region) -> None:
        await region.start_region(machines=0)
        await region.run_provisioners()
        rented_at: dict[str, float] = {}

        def boots(machine: str) -> bool:
            first_queried_at = rented_at.setdefault(machine, region.clock.now())
            return region.clock.now() - first_queried_at > slow * BOOT_S

        region.can_boot = boots
        assert await region.submit("node-0", "wk-000001", 10.0, crew="blue", sacks=16) == 201
        await region.wait_until(lambda: region.has_finished("wk-000001", 16), 600.0)
        # the machines that were rented first are not released
        assert not {"n-000000", "n-000001"} & set(region.cloud.released)
        assert len(region.cloud.machines) <= 12
        # every controller has the boot times of the machines
        await curio.sleep(5.0)
        for node in region.nodes.values():
            boot_durations = [m.boot_s for m in node.cluster.machines.values() if m.is_up]
            assert boot_durations
            assert all(s is not None and s > slow * BOOT_S for s in boot_durations)

    simulate(scenario)
