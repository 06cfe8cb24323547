"""Planning functions, checked on the paper's worked examples where there are any."""

from typing import NamedTuple

import pytest

from crossmill.fleet.cloud import stored_catalog
from crossmill.planning.demand import (
    CapacityPlan,
    MachineSource,
    TaskDemand,
    empty_capacity,
    plan_capacity,
)
from crossmill.planning.estimates import Estimates
from crossmill.planning.fill import MachineOffer, fill
from crossmill.planning.free_capacity import (
    FreeCapacity,
    TaskFootprint,
    ZoneAllowance,
    assign_tasks,
)
from crossmill.planning.gpu_footprints import gpu_footprints
from crossmill.planning.pipelines import QueuePlace, budget_end, place_in_queue
from crossmill.planning.split import MachineOption, Stage, split
from crossmill.wire.cloud import parse_catalog
from crossmill.wire.users import JobSpec

from .builders import make_settings, make_spec
from .fake_cloud import CATALOG

TYPES = parse_catalog(CATALOG)
TYPICAL_GPU_TASK = TaskFootprint(5.0, 1.0, 35.0)


# -- latency split -------------------------------------------------------------------


def _options(name: str, finishes: list[float], rates: list[float]) -> tuple[MachineOption, ...]:
    pairs = zip(finishes, rates, strict=True)
    return tuple(MachineOption(f"{name}/{i}", 1.0, t, f) for i, (f, t) in enumerate(pairs))


# module M_1 of the paper's Table I, with batches of 5, 20 and 100 requests
M1_OPTIONS = _options("m1", [0.15, 0.45, 2.0], [50, 80, 100])
# modules M_2 and M_3 of its Table II, in sequence
TABLE_2_STAGES = [
    Stage(50, _options("m2", [0.25, 0.40, 0.55], [16, 25, 30])),
    Stage(40, _options("m3", [0.35, 0.50, 0.65], [12, 20, 25]), after=(0,)),
]


def _gain(old: MachineOption, new: MachineOption) -> float:
    return (old.cost(100) - new.cost(100)) / (new.finish_s - old.finish_s)


def test_gains_per_second_are_those_of_the_papers_table_1() -> None:
    small, medium, large = M1_OPTIONS
    assert _gain(small, medium) == pytest.approx(2.5)
    assert _gain(small, large) == pytest.approx(0.54, abs=0.01)


@pytest.mark.parametrize(("deadline_s", "chosen"), [(1.0, 1), (2.0, 2), (0.1, 0)])
def test_split_prefers_efficiency_over_throughput(deadline_s: float, chosen: int) -> None:
    # with time for one switch the one with the higher gain per second is made
    assert split([Stage(100, M1_OPTIONS)], deadline_s)[0].option is M1_OPTIONS[chosen]


def test_split_of_two_modules_in_sequence_takes_the_cheapest_strategy() -> None:
    # Table II: of the three strategies for 0.9 s the second costs least, 4.00 machines
    budgets = split(TABLE_2_STAGES, 0.9)
    assert [budget.option.name for budget in budgets] == ["m2/1", "m3/1"]
    cost = sum(b.option.cost(s.tasks) for b, s in zip(budgets, TABLE_2_STAGES, strict=True))
    assert cost == pytest.approx(4.0)
    assert [budget.budget_s for budget in budgets] == pytest.approx([0.4, 0.5])


def test_split_budgets_grow_in_proportion_to_the_time_there_is() -> None:
    assert sum(b.budget_s for b in split(TABLE_2_STAGES, 3.0)) == pytest.approx(3.0)


# -- fill order ----------------------------------------------------------------------

# the paper's section II as tasks: machines of 100, 80 and 50 tasks per unit of time
OFFERS = [
    MachineOffer("big", 1.0, 100, 0.0, 1.0, 9),
    MachineOffer("mid", 0.85, 80, 0.0, 1.0, 9),
    MachineOffer("small", 0.6, 50, 0.0, 1.0, 9),
]
SLOW_OFFER = MachineOffer("slow", 0.1, 100, 5.0, 1.0, 9)


def test_fill_takes_whole_machines_of_the_best_value_first() -> None:
    # T = 285: the remaining 85 on a third big one cost 1.0, on two middle ones 1.7
    plan = fill(285, OFFERS, 1.0)
    assert sum(count.number for count in plan if count.offer.name == "big") == 3
    assert sum(count.offer.price * count.number for count in plan) == 3.0


def test_fill_puts_the_remaining_tasks_on_a_smaller_machine_if_that_is_cheaper() -> None:
    plan = fill(240, OFFERS, 1.0)
    assert [(count.offer.name, count.number) for count in plan] == [("big", 2), ("small", 1)]


def test_fill_leaves_out_an_offer_that_exceeds_the_budget() -> None:
    assert all(count.offer.name != "slow" for count in fill(100, [*OFFERS, SLOW_OFFER], 2.0))


def test_fill_takes_the_soonest_offer_if_none_meets_the_budget() -> None:
    assert [count.offer.name for count in fill(10, [SLOW_OFFER], 2.0)] == ["slow"]


# -- estimates and queue -------------------------------------------------------------


def test_margin_of_a_class_without_runs_is_the_default() -> None:
    assert Estimates().margin_s("chat", 100.0) == pytest.approx(30.0)


def test_expected_time_and_margin_follow_recent_runs() -> None:
    estimates = Estimates()
    for ratio in [1.0] * 6 + [1.5] * 4:
        estimates.record_run("chat", 100.0, 100.0 * ratio)
    assert estimates.task_s("chat", 10.0) == pytest.approx(10.0)
    assert estimates.margin_s("chat", 10.0) == pytest.approx(5.0)


@pytest.mark.parametrize(("due_s", "end"), [(50.0, 140.0), (500.0, 590.0), (None, 133.0)])
def test_budget_ends_a_margin_before_the_deadline_or_after_a_fixed_wait(
    due_s: float | None, end: float
) -> None:
    assert budget_end(make_spec(dueS=due_s), 100.0, 100.0, 10.0, 33.0) == end


def test_queue_goes_by_priority_before_budget_end() -> None:
    first = place_in_queue(make_spec(precedence="production"), 999.0)
    assert first < place_in_queue(make_spec(dueS=50.0), 0.0)


class _QueuedTasks(NamedTuple):
    """Tasks of a job in the simulated queue."""

    place: QueuePlace
    name: str
    tasks: int


@pytest.mark.parametrize("large", [{"dueS": 60.0}, {"dueS": None}])
def test_no_job_is_passed_over_indefinitely_by_newer_ones(large: dict[str, float | None]) -> None:
    """More work arrives than can be done, for minutes.

    The largest array, and the job without a deadline, still start once their budgets end, since
    later jobs have later ends.
    """
    slots, default_queue_wait_s, large_tasks = 8, 45.0, 90
    waiting: list[_QueuedTasks] = []
    large_done_at: list[int] = []
    for second in range(250):
        arrivals = [("small", make_spec(dueS=30.0), 5)] * 2
        if second == 10:
            arrivals.append(("large", make_spec(**large), large_tasks))
        for name, spec, tasks in arrivals:
            end = budget_end(spec, float(second), float(second), 0.0, default_queue_wait_s)
            waiting.append(_QueuedTasks(place_in_queue(spec, end), name, tasks))
        waiting.sort()
        free = slots
        while free and waiting:
            first = waiting.pop(0)
            done = min(free, first.tasks)
            free -= done
            if first.name == "large":
                large_done_at += [second] * done
            if first.tasks > done:
                waiting.insert(0, first._replace(tasks=first.tasks - done))
    assert len(large_done_at) == large_tasks
    # not before its turn, and soon after its budget's end
    end = 10 + (large["dueS"] or default_queue_wait_s)
    assert end - 30 < large_done_at[0] <= end + 30


# -- assignment ----------------------------------------------------------------------


def _empty(
    machine: str, zone: str = "north", type_name: str = "g4", spot: bool = False
) -> FreeCapacity:
    return empty_capacity(machine, TYPES[type_name], zone, spot)


def _assigned(
    spec: JobSpec, tasks: int, capacities: list[FreeCapacity], placed: dict[str, int] | None = None
) -> list[tuple[str, int]]:
    """The machines that get tasks, with their numbers."""
    assignments = assign_tasks(spec, tasks, capacities, ZoneAllowance(spec, placed or {}))
    return [(assignment.capacity.machine, assignment.tasks) for assignment in assignments]


def test_replicas_are_spread_over_the_zones() -> None:
    spec = make_spec(cut="service", sacks=5, spread=True, cards=1.0)
    capacities = [_empty("a", "north"), _empty("b", "south")]
    tasks = dict.fromkeys("ab", 0)
    for machine, number in _assigned(spec, 5, capacities):
        tasks[machine] += number
    assert sorted(tasks.values()) == [2, 3]


def test_a_machine_that_has_the_image_is_preferred() -> None:
    capacities = [_empty("a"), _empty("b")]
    capacities[1].images["img-1"] = 10.0
    assert [machine for machine, _ in _assigned(make_spec(sacks=1), 1, capacities)] == ["b"]


def test_spot_machines_get_no_task_of_a_job_that_may_not_use_them() -> None:
    assert _assigned(make_spec(sacks=1), 1, [_empty("s", spot=True)]) == []


def test_machines_of_another_zone_get_no_task_of_a_job_that_names_its_zone() -> None:
    assert _assigned(make_spec(yard="south"), 1, [_empty("a"), _empty("b")]) == []


@pytest.fixture
def one_zone_spec() -> JobSpec:
    return make_spec(sacks=6, oneZone=True)


@pytest.fixture
def two_zones() -> dict[str, FreeCapacity]:
    zones = enumerate(["north", "south"] * 2)
    return {f"m{i}": _empty(f"m{i}", zone) for i, zone in zones}


def test_a_job_for_one_zone_stays_in_one(
    one_zone_spec: JobSpec, two_zones: dict[str, FreeCapacity]
) -> None:
    assigned = _assigned(one_zone_spec, 6, list(two_zones.values()))
    assert len({two_zones[machine].zone for machine, _ in assigned}) == 1


def test_a_job_for_one_zone_goes_where_its_other_tasks_are(
    one_zone_spec: JobSpec, two_zones: dict[str, FreeCapacity]
) -> None:
    assigned = _assigned(one_zone_spec, 1, list(two_zones.values()), {"south": 1})
    assert two_zones[assigned[0][0]].zone == "south"


def test_tasks_without_gpus_first_leave_room_for_gpu_tasks_and_then_use_it() -> None:
    """They filled GPU machines up, whose GPUs were idle while more were rented."""
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
    # 32 CPUs less 20 of 4 GPU tasks leave room for three on each
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


def test_the_only_type_that_a_class_fits_on_is_filled_up_last_by_tasks_without_gpus() -> None:
    """Production replicas waited for capacity that equal ones without GPUs had taken.

    A type that these could have used as well had free capacity meanwhile.
    """
    small = make_spec(cut="service", sacks=40, cards=0.0, cpus=4.0, ramGb=2.0)
    capacities = [
        _large_capacity("large", "g8", TaskFootprint(22.0, 4.0, 150.0)),
        _large_capacity("other", "g4"),
    ]
    taken: dict[str, int] = {}
    for machine, number in _assigned(small, 20, capacities):
        taken[machine] = taken.get(machine, 0) + number
    # beside two tasks of the class on the one, and up to its capacity on the other
    assert taken == {"large": 5, "other": 15}


# -- footprints of GPU tasks ---------------------------------------------------------

WIDE = make_spec(grist="train", sacks=50, cpus=4.0, cards=1.0, ramGb=16.0)
TALL = make_spec(grist="chat", sacks=2, cpus=8.0, cards=4.0, ramGb=200.0)
SMALL_TYPE = TYPES["g4"]._replace(name="g2", memory_gb=64.0)


def test_the_typical_footprint_is_that_of_the_class_with_the_most_tasks() -> None:
    footprints = gpu_footprints([WIDE, TALL, TALL], [TYPES["g4"], SMALL_TYPE])
    assert footprints.typical == TaskFootprint(4.0, 1.0, 16.0)


@pytest.mark.parametrize(
    ("spot", "expected"), [(False, TaskFootprint(8.0, 4.0, 200.0)), (True, None)]
)
def test_a_type_is_exclusive_to_the_class_that_fits_on_no_other_but_not_on_spot_machines(
    spot: bool, expected: TaskFootprint | None
) -> None:
    footprints = gpu_footprints([WIDE, TALL, TALL], [TYPES["g4"], SMALL_TYPE])
    assert footprints.exclusive_to(_empty("a", spot=spot)) == expected


def test_no_type_is_exclusive_if_all_classes_fit_on_one_type_only() -> None:
    assert gpu_footprints([WIDE, TALL], [TYPES["g4"]]).exclusive == {}


@pytest.mark.parametrize(
    ("gpus", "type_name", "exclusive", "cost"),
    [
        (0.0, "c16", None, 0),
        (0.0, "g4", None, 1),
        (1.0, "g4", None, 0),
        (0.0, "g4", TaskFootprint(8.0, 2.0, 40.0), 2),
        (1.0, "g4", TaskFootprint(8.0, 2.0, 40.0), 0),
    ],
)
def test_a_task_without_gpus_costs_more_on_a_gpu_machine_and_most_on_an_exclusive_type(
    gpus: float, type_name: str, exclusive: TaskFootprint | None, cost: int
) -> None:
    capacity = _empty("n", type_name=type_name)
    capacity.exclusive_gpu_task = exclusive
    assert capacity.contention_cost(make_spec(cards=gpus)) == cost


# -- capacity plans ------------------------------------------------------------------


def _plan_six_tasks(capacities: list[FreeCapacity], limit: int) -> CapacityPlan:
    """Plan six tasks of one GPU; four of them fit on a machine."""
    spec = make_spec(sacks=6, dueS=None)
    demand = TaskDemand(spec, 6, ZoneAllowance(spec, {}), float("inf"), 40.0)
    sources = [MachineSource(TYPES["g4"], "north", False)]
    return plan_capacity([demand], capacities, sources, lambda _: limit)


def test_machines_are_requested_for_tasks_that_find_no_capacity() -> None:
    plan = _plan_six_tasks([], limit=50)
    assert [request.number for request in plan.machine_requests.values()] == [2]


def test_no_machine_is_requested_if_the_tasks_fit_and_the_unused_one_is_spare() -> None:
    plan = _plan_six_tasks([_empty("a"), _empty("b"), _empty("c")], limit=50)
    assert plan.machine_requests == {}
    assert len(plan.spare_machines) == 1


def test_tasks_without_capacity_and_source_are_unplaced() -> None:
    assert _plan_six_tasks([], limit=0).unplaced_tasks == 6


# -- teams and catalog ---------------------------------------------------------------


def test_teams_are_assigned_to_shards_by_guarantee() -> None:
    settings = make_settings()
    shards = [settings.shard_of_team(team.name) for team in settings.teams]
    assert sorted(shards) == [0, 1, 2]
    assert shards[0] == 0


def test_the_stored_catalog_has_the_types_in_order() -> None:
    assert stored_catalog(TYPES)[0]["name"] == "g4"
