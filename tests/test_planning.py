"""Tests of task assignment, capacity plans, the shards of teams and the stored catalog."""

import pytest

from crossmill.fleet.cloud import stored_catalog
from crossmill.planning.demand import CapacityPlan, MachineSource, TaskDemand, plan_capacity
from crossmill.planning.free_capacity import (
    FreeCapacity,
    TaskFootprint,
    ZoneAllowance,
    assign_tasks,
)
from crossmill.wire.users import JobSpec

from .builders import make_settings, make_spec
from .planning_builders import TYPES, TYPICAL_GPU_TASK, idle_machine


def _assigned(
    spec: JobSpec, tasks: int, capacities: list[FreeCapacity], placed: dict[str, int] | None = None
) -> list[tuple[str, int]]:
    """Return the machines that get tasks, each with its number of tasks."""
    assignments = assign_tasks(spec, tasks, capacities, ZoneAllowance(spec, placed or {}))
    return [(assignment.capacity.machine, assignment.tasks) for assignment in assignments]


def test_replicas_are_spread_over_the_zones() -> None:
    spec = make_spec(cut="service", sacks=5, spread=True, cards=1.0)
    capacities = [idle_machine("a", "north"), idle_machine("b", "south")]
    tasks = dict.fromkeys("ab", 0)
    for machine, number in _assigned(spec, 5, capacities):
        tasks[machine] += number
    assert sorted(tasks.values()) == [2, 3]


def test_a_machine_that_has_the_image_is_preferred() -> None:
    capacities = [idle_machine("a"), idle_machine("b")]
    capacities[1].images["img-1"] = 10.0
    assert [machine for machine, _ in _assigned(make_spec(sacks=1), 1, capacities)] == ["b"]


def test_spot_machines_get_no_task_of_a_job_that_may_not_use_them() -> None:
    assert _assigned(make_spec(sacks=1), 1, [idle_machine("s", spot=True)]) == []


def test_machines_of_another_zone_get_no_task_of_a_job_that_requires_its_zone() -> None:
    assert _assigned(make_spec(yard="south"), 1, [idle_machine("a"), idle_machine("b")]) == []


@pytest.fixture
def one_zone_spec() -> JobSpec:
    return make_spec(sacks=6, oneZone=True)


@pytest.fixture
def two_zones() -> dict[str, FreeCapacity]:
    zones = enumerate(["north", "south"] * 2)
    return {f"m{i}": idle_machine(f"m{i}", zone) for i, zone in zones}


def test_all_tasks_of_a_one_zone_job_go_to_one_zone(
    one_zone_spec: JobSpec, two_zones: dict[str, FreeCapacity]
) -> None:
    assigned = _assigned(one_zone_spec, 6, list(two_zones.values()))
    assert len({two_zones[machine].zone for machine, _ in assigned}) == 1


def test_further_tasks_of_a_one_zone_job_go_to_the_zone_of_its_other_tasks(
    one_zone_spec: JobSpec, two_zones: dict[str, FreeCapacity]
) -> None:
    assigned = _assigned(one_zone_spec, 1, list(two_zones.values()), {"south": 1})
    assert two_zones[assigned[0][0]].zone == "south"


def test_tasks_without_gpus_first_leave_capacity_for_gpu_tasks_and_then_use_it() -> None:
    """Otherwise such tasks fill GPU machines, whose GPUs are idle while more are rented."""
    small = make_spec(cut="service", sacks=12, cards=0.0, cpus=4.0, ramGb=2.0)
    capacities = [
        FreeCapacity(
            name,
            "g4",
            "north",
            False,
            32,
            4,
            256,
            12.0,
            4,
            has_gpus=True,
            typical_gpu_task=TYPICAL_GPU_TASK,
        )
        for name in ("a", "b")
    ]
    # 32 CPUs minus the 20 of 4 GPU tasks leave capacity for three tasks on each machine
    assert _assigned(small, 6, capacities) == [("a", 3), ("b", 3)]
    assert sum(number for _, number in _assigned(small, 6, capacities)) == 6


def _large_capacity(
    machine: str, type_name: str, exclusive: TaskFootprint | None = None
) -> FreeCapacity:
    return FreeCapacity(
        machine,
        type_name,
        "north",
        False,
        64,
        8,
        512,
        15.0,
        8,
        has_gpus=True,
        typical_gpu_task=TYPICAL_GPU_TASK,
        exclusive_gpu_task=exclusive,
    )


def test_tasks_without_gpus_fill_the_only_type_that_a_gpu_class_fits_on_last() -> None:
    """Otherwise GPU replicas wait for capacity that replicas without GPUs of equal priority use.

    The latter could also use another machine type, which has free capacity.
    """
    small = make_spec(cut="service", sacks=40, cards=0.0, cpus=4.0, ramGb=2.0)
    capacities = [
        _large_capacity("large", "g8", TaskFootprint(22.0, 4.0, 150.0)),
        _large_capacity("other", "g4"),
    ]
    taken: dict[str, int] = {}
    for machine, number in _assigned(small, 20, capacities):
        taken[machine] = taken.get(machine, 0) + number
    # "large" keeps capacity for two tasks of the class; the remaining tasks go to "other"
    assert taken == {"large": 5, "other": 15}


def _plan_six_tasks(capacities: list[FreeCapacity], limit: int) -> CapacityPlan:
    """Plan six tasks with one GPU each; four of them fit on a machine."""
    spec = make_spec(sacks=6, dueS=None)
    demand = TaskDemand(spec, 6, ZoneAllowance(spec, {}), float("inf"), 40.0)
    sources = [MachineSource(TYPES["g4"], "north", False)]
    return plan_capacity([demand], capacities, sources, lambda _: limit)


def test_machines_are_requested_for_tasks_without_capacity() -> None:
    plan = _plan_six_tasks([], limit=50)
    assert [request.number for request in plan.machine_requests.values()] == [2]


def test_no_machine_is_requested_if_the_tasks_fit_and_the_unused_machine_is_spare() -> None:
    plan = _plan_six_tasks([idle_machine("a"), idle_machine("b"), idle_machine("c")], limit=50)
    assert plan.machine_requests == {}
    assert len(plan.spare_machines) == 1


def test_tasks_without_capacity_and_source_are_unplaced() -> None:
    assert _plan_six_tasks([], limit=0).unplaced_tasks == 6


def test_teams_are_assigned_to_shards_by_guarantee() -> None:
    settings = make_settings()
    shards = [settings.shard_of_team(team.name) for team in settings.teams]
    assert sorted(shards) == [0, 1, 2]
    assert shards[0] == 0


def test_the_stored_catalog_has_the_types_in_order() -> None:
    assert stored_catalog(TYPES)[0]["name"] == "g4"


@pytest.mark.parametrize(("available", "requested", "spare"), [(5, 1, {"a"}), (0, 0, set())])
def test_a_machine_that_a_job_avoids_is_replaced_or_kept_if_there_is_no_other(
    available: int, requested: int, spare: set[str]
) -> None:
    spec = make_spec(sacks=1)
    demand = TaskDemand(spec, 1, ZoneAllowance(spec, {}))
    demand.excluded_machines = frozenset({"a"})
    source = MachineSource(TYPES["g4"], "north", False)
    plan = plan_capacity([demand], [idle_machine("a")], [source], lambda _: available)
    assert sum(request.number for request in plan.machine_requests.values()) == requested
    assert plan.spare_machines == spare
    assert plan.unplaced_tasks == 1 - requested
