"""Tests that cached free capacity equals newly computed free capacity after every event."""

import random
from dataclasses import fields
from typing import Any

import pytest

from crossmill.cluster import keys
from crossmill.cluster.cluster_state import ClusterState
from crossmill.cluster.records import encode_job
from crossmill.fleet.capacity import SPARE_ENTRIES
from crossmill.fleet.cloud import stored_catalog
from crossmill.fleet.forecast import DemandForecast
from crossmill.planning.free_capacity import FreeCapacity, ZoneAllowance, assign_tasks
from crossmill.state.mirror import Mirror
from crossmill.wire.cloud import MachineType, parse_catalog
from crossmill.wire.state import Event

from .builders import make_settings, make_spec
from .fake_clock import FakeClock
from .fake_cloud import CATALOG

MACHINES, JOBS = 6, 5


def _comparable_fields(capacity: FreeCapacity) -> dict[str, Any]:
    skipped = {"slots_when_idle", "has_new_tasks"}
    return {f.name: getattr(capacity, f.name) for f in fields(capacity) if f.name not in skipped}


class _RandomCluster:
    """A cluster that is changed at random by watch events."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.mirror = Mirror()
        self.mirror.revision = 0
        self.cluster = ClusterState(self.mirror, make_settings())
        self.forecast = DemandForecast(make_settings(), FakeClock(), self.cluster)
        self.cache = self.forecast.capacity.new_cache()
        self.attempt = 0
        self.put(keys.CATALOG, stored_catalog(parse_catalog(CATALOG)))

    def put(self, key: str, value: Any) -> None:
        version = self.mirror.revision + 1
        self.mirror.apply_changes(version, [Event(key, value, version, value is None)])

    def _change_machine(self) -> None:
        name = f"n-{self.rng.randrange(MACHINES)}"
        value = {
            "type": self.rng.choice(["g4", "c16"]),
            "zone": "north",
            "spot": False,
            "shard": self.rng.randrange(2),
            "at": 0.0,
            "retiring": "",
            "up": True,
        }
        self.put(keys.machine(name), None if self.rng.random() < 0.2 else value)

    def _change_job(self) -> None:
        name = f"wk-{self.rng.randrange(JOBS):06d}"
        spec = make_spec(nameId=name, sacks=8, recipe=f"img-{self.rng.randrange(20)}", pullGb=30.0)
        self.put(keys.job(name), None if self.rng.random() < 0.2 else encode_job(spec, 0.0))

    def _change_plan(self) -> None:
        name = f"wk-{self.rng.randrange(JOBS):06d}"
        self.attempt += 1
        rows = [
            [task, self.attempt, f"n-{self.rng.randrange(MACHINES)}", 1]
            for task in range(8)
            if self.rng.random() < 0.4
        ]
        value = {"next": self.attempt + 1, "done": "0", "rows": rows}
        self.put(keys.plan(name, "0"), None if self.rng.random() < 0.2 else value)

    def _plan_tasks(self) -> None:
        """Assign tasks to the capacities, as a scheduling round does."""
        spec = make_spec(nameId="wk-999999", sacks=3)
        assign_tasks(spec, 2, self.capacities(), ZoneAllowance(spec, {}))

    def capacities(self) -> list[FreeCapacity]:
        return self.forecast.capacity.cached_capacities(self.cache, self._machines())

    def _machines(self) -> list[tuple[Any, MachineType]]:
        catalog = self.cluster.catalog
        return [(m, catalog[m.type]) for m in self.cluster.machines.values()]

    def step(self) -> None:
        changes = (self._change_machine, self._change_job, self._change_plan, self._plan_tasks)
        self.rng.choice(changes)()
        recomputed = [
            self.forecast.capacity.free_capacity(machine, machine_type)
            for machine, machine_type in self._machines()
        ]
        assert [_comparable_fields(capacity) for capacity in self.capacities()] == [
            _comparable_fields(c) for c in recomputed
        ]


@pytest.mark.parametrize("seed", range(8))
def test_cached_capacity_equals_newly_computed_capacity_after_every_event(seed: int) -> None:
    # stale entries would place tasks by the capacity from before an attempt or machine changed
    changing = _RandomCluster(seed)
    for _ in range(300):
        changing.step()


def test_an_unchanged_machine_keeps_its_entry_and_entries_of_deleted_machines_are_dropped() -> None:
    changing = _RandomCluster(0)
    value = {"type": "g4", "zone": "north", "spot": False, "shard": 0, "at": 0.0}
    value.update(retiring="", up=True)
    changing.put(keys.machine("n-kept"), value)
    kept = changing.capacities()[0]
    for number in range(2 * SPARE_ENTRIES):
        changing.put(keys.machine(f"n-{number}"), value)
        assert changing.capacities()[0] is kept
        changing.put(keys.machine(f"n-{number}"), None)
    assert len(changing.cache) <= SPARE_ENTRIES + 1
