"""Pure decisions, on the paper's own worked examples where there are any."""

import pytest

from crossmill.fleet.cloud import stored_catalog
from crossmill.planning.demand import MachineSource, TaskDemand, empty_capacity, plan_capacity
from crossmill.planning.estimates import Estimates
from crossmill.planning.fill import MachineOffer, fill
from crossmill.planning.free_capacity import (
    FreeCapacity,
    TaskFootprint,
    ZoneAllowance,
    assign_tasks,
)
from crossmill.planning.gpu_footprints import gpu_footprints
from crossmill.planning.queue import budget_end, place_in_queue
from crossmill.planning.split import MachineOption, Stage, split
from crossmill.wire.cloud import MachineType, parse_catalog

from .builders import make_settings, make_spec
from .fake_cloud import CATALOG

KINDS = parse_catalog(CATALOG)


def _options(name: str, finishes: list[float], rates: list[float]) -> tuple[MachineOption, ...]:
    pairs = zip(finishes, rates, strict=True)
    return tuple(MachineOption(f"{name}/{i}", 1.0, t, f) for i, (f, t) in enumerate(pairs))


def test_split_prefers_efficiency_over_throughput() -> None:
    # module M_1 of Table I at 100 requests a second: batch 20 gains 2.50 a second, batch 100
    # only 0.54; with room for one switch the first is taken
    options = _options("m1", [0.15, 0.45, 2.0], [50, 80, 100])
    old, mid, big = options
    gain = (old.cost(100) - mid.cost(100)) / (mid.finish_s - old.finish_s)
    assert gain == pytest.approx(2.5)
    assert (old.cost(100) - big.cost(100)) / (2.0 - 0.15) == pytest.approx(0.54, abs=0.01)
    assert split([Stage(100, options)], 1.0)[0].option is mid
    assert split([Stage(100, options)], 2.0)[0].option is big
    assert split([Stage(100, options)], 0.1)[0].option is old


def test_split_of_two_modules_in_sequence() -> None:
    # Table II: of the three strategies for 0.9 s the second costs least, 4.00 machines
    stages = [
        Stage(50, _options("m2", [0.25, 0.40, 0.55], [16, 25, 30])),
        Stage(40, _options("m3", [0.35, 0.50, 0.65], [12, 20, 25]), after=(0,)),
    ]
    shares = split(stages, 0.9)
    assert [s.option.name for s in shares] == ["m2/1", "m3/1"]
    cost = sum(s.option.cost(st.tasks) for s, st in zip(shares, stages, strict=True))
    assert cost == pytest.approx(4.0)
    assert [s.budget_s for s in shares] == pytest.approx([0.4, 0.5])
    # with more time, budgets are resized in proportion to the finish times
    assert sum(s.budget_s for s in split(stages, 3.0)) == pytest.approx(3.0)


def test_fill_takes_whole_machines_of_the_best_value_first() -> None:
    # T = 285 of section II as tasks: machines of 100, 80 and 50 a unit of time at one price
    offers = [
        MachineOffer("big", 1.0, 100, 0.0, 1.0, 9),
        MachineOffer("mid", 0.85, 80, 0.0, 1.0, 9),
        MachineOffer("small", 0.6, 50, 0.0, 1.0, 9),
    ]
    plan = fill(285, offers, 1.0)
    # the rest of 85 on a third big one costs 1.0; two middle ones would cost 1.7
    assert sum(number for offer, number in plan if offer.name == "big") == 3
    assert sum(offer.price * number for offer, number in plan) == 3.0
    # a rest that a smaller one takes goes there
    assert [(o.name, n) for o, n in fill(240, offers, 1.0)] == [("big", 2), ("small", 1)]
    # one that can't meet the budget is left out; if none can, the soonest takes all
    slow = MachineOffer("slow", 0.1, 100, 5.0, 1.0, 9)
    assert all(o.name != "slow" for o, _ in fill(100, [*offers, slow], 2.0))
    assert [o.name for o, _ in fill(10, [slow], 2.0)] == ["slow"]


def test_margin_follows_recent_errors() -> None:
    estimates = Estimates()
    before = estimates.margin_s("chat", 100.0)
    for ratio in [1.0] * 6 + [1.5] * 4:
        estimates.saw("chat", 100.0, 100.0 * ratio)
    assert before == pytest.approx(30.0)
    assert estimates.task_s("chat", 10.0) == pytest.approx(10.0)
    assert estimates.margin_s("chat", 10.0) == pytest.approx(5.0)


def test_queue_goes_by_priority_and_budget_end() -> None:
    urgent = make_spec(dueS=50.0)
    late = make_spec(dueS=500.0)
    free = make_spec(dueS=None)
    ends = [budget_end(s, 100.0, 100.0, 10.0, 33.0) for s in (urgent, late, free)]
    assert ends == [140.0, 590.0, 133.0]
    first = place_in_queue(make_spec(precedence="production"), 999.0)
    assert first < place_in_queue(urgent, 0.0)


def test_assign_keeps_spread_and_prefers_the_image() -> None:
    spec = make_spec(cut="service", sacks=5, spread=True, cards=1.0)
    capacities = [
        empty_capacity(m, KINDS["g4"], z, False) for m, z in (("a", "north"), ("b", "south"))
    ]
    taken = assign_tasks(spec, 5, capacities, ZoneAllowance(spec, {}))
    by_zone = {capacity.zone: 0 for capacity in capacities}
    for capacity, number in taken:
        by_zone[capacity.zone] += number
    assert sorted(by_zone.values()) == [2, 3]
    one = make_spec(sacks=1)
    capacities = [empty_capacity(m, KINDS["g4"], "north", False) for m in ("a", "b")]
    capacities[1].images["img-1"] = 10.0
    assert [r.machine for r, _ in assign_tasks(one, 1, capacities, ZoneAllowance(one, {}))] == ["b"]
    spot = [empty_capacity("s", KINDS["g4"], "north", True)]
    assert assign_tasks(one, 1, spot, ZoneAllowance(one, {})) == []
    bound = make_spec(yard="south")
    assert assign_tasks(bound, 1, capacities, ZoneAllowance(bound, {})) == []


def test_one_zone_is_kept() -> None:
    spec = make_spec(sacks=6, oneZone=True)
    capacities = [
        empty_capacity(f"m{i}", KINDS["g4"], z, False) for i, z in enumerate(["north", "south"] * 2)
    ]
    zones = {
        capacity.zone for capacity, _ in assign_tasks(spec, 6, capacities, ZoneAllowance(spec, {}))
    }
    assert len(zones) == 1
    assert (
        assign_tasks(spec, 1, capacities, ZoneAllowance(spec, {"south": 1}))[0][0].zone == "south"
    )


def test_demand_asks_for_machines_only_beyond_what_there_is() -> None:
    spec = make_spec(sacks=6, dueS=None)
    sources = [MachineSource(KINDS["g4"], "north", False)]

    def want() -> TaskDemand:
        return TaskDemand(spec, 6, ZoneAllowance(spec, {}), float("inf"), 40.0)

    outcome = plan_capacity([want()], [], sources, lambda s: 50)
    assert [need.number for need in outcome.machine_requests.values()] == [2]
    capacities = [
        empty_capacity("a", KINDS["g4"], "north", False),
        empty_capacity("b", KINDS["g4"], "north", False),
    ]
    spare = empty_capacity("c", KINDS["g4"], "north", False)
    outcome = plan_capacity([want()], [*capacities, spare], sources, lambda s: 50)
    assert outcome.machine_requests == {}
    assert len(outcome.spare_machines) == 1
    assert plan_capacity([want()], [], sources, lambda s: 0).unplaced_tasks == 6


def test_teams_are_parted_by_guarantee() -> None:
    settings = make_settings()
    shards = [settings.shard_of_team(t.name) for t in settings.teams]
    assert sorted(shards) == [0, 1, 2]
    assert shards[0] == 0
    assert stored_catalog(KINDS)[0]["name"] == "g4"


def test_tasks_without_gpus_leave_room_beside_gpus_for_tasks_that_use_them() -> None:
    """They filled GPU machines up, and the GPUs served nobody while more were rented."""
    small = make_spec(cut="service", sacks=12, cards=0.0, cpus=4.0, ramGb=2.0)
    capacities = [
        FreeCapacity(name, "g4", "north", False, 32, 4, 256, 12.0, 4, accelerated=True,
             typical=TaskFootprint(5.0, 1.0, 35.0))
        for name in ("a", "b")
    ]  # fmt: skip
    taken = assign_tasks(small, 6, capacities, ZoneAllowance(small, {}))
    # 32 CPUs less 4 GPU tasks' 20 leave room for three on each
    assert [(capacity.machine, number) for capacity, number in taken] == [("a", 3), ("b", 3)]
    more = assign_tasks(small, 6, capacities, ZoneAllowance(small, {}))
    assert sum(number for _, number in more) == 6


@pytest.mark.parametrize("large", [{"dueS": 60.0}, {"dueS": None}])
def test_no_job_is_passed_over_for_ever_by_newer_ones(large: dict[str, float | None]) -> None:
    """More comes than can be done, for minutes: the largest array and the job without a deadline
    still begin once their budgets end, since what comes later has a later end.
    """
    slots, default_queue_wait_s, number = 8, 45.0, 90
    waiting: list[tuple[tuple[int, float], str, int]] = []
    done_at: list[int] = []
    for second in range(250):
        arrivals = [("small", make_spec(dueS=30.0), 5)] * 2
        if second == 10:
            arrivals.append(("large", make_spec(**large), number))
        for name, spec, tasks in arrivals:
            end = budget_end(spec, float(second), float(second), 0.0, default_queue_wait_s)
            waiting.append((place_in_queue(spec, end), name, tasks))
        waiting.sort()
        free = slots
        while free and waiting:
            place, name, tasks = waiting.pop(0)
            done = min(free, tasks)
            free -= done
            if name == "large":
                done_at += [second] * done
            if tasks > done:
                waiting.insert(0, (place, name, tasks - done))
    assert len(done_at) == number
    # not before its turn either, and soon after its budget's end for all that was due before it
    end = 10 + (large["dueS"] or default_queue_wait_s)
    assert end - 30 < done_at[0] <= end + 30


def _room(machine: str, kind: str, bound: TaskFootprint | None = None) -> FreeCapacity:
    share = TaskFootprint(5.0, 1.0, 35.0)
    return FreeCapacity(
        machine, kind, "north", False, 64, 8, 512, 15.0, 8, accelerated=True, typical=share,
        bound=bound,
    )  # fmt: skip


def test_the_only_type_that_a_class_fits_on_is_filled_up_last_by_tasks_without_gpus() -> None:
    """Production replicas waited for room that equal ones without GPUs had taken, while the type
    that these could have used as well had room.
    """
    small = make_spec(cut="service", sacks=40, cards=0.0, cpus=4.0, ramGb=2.0)
    capacities = [_room("large", "g8", TaskFootprint(22.0, 4.0, 150.0)), _room("other", "g4")]
    taken: dict[str, int] = {}
    for capacity, number in assign_tasks(small, 20, capacities, ZoneAllowance(small, {})):
        taken[capacity.machine] = taken.get(capacity.machine, 0) + number
    # beside two of the bound class on the one, and filled up on the other
    assert taken == {"large": 5, "other": 15}


def test_a_class_is_bound_to_the_only_type_that_it_fits_on() -> None:
    wide = make_spec(grist="train", sacks=50, cpus=4.0, cards=1.0, ramGb=16.0)
    tall = make_spec(grist="chat", sacks=2, cpus=8.0, cards=4.0, ramGb=200.0)
    lesser = KINDS["g4"]._replace(name="g2", memory_gb=64.0)
    shares = gpu_footprints([wide, tall, tall], [KINDS["g4"], lesser])
    assert shares.typical == TaskFootprint(4.0, 1.0, 16.0)
    assert shares.bound_to(empty_capacity("a", KINDS["g4"], "north", False)) == TaskFootprint(
        8.0, 4.0, 200.0
    )
    # neither on spot machines, which the class may not use, nor on another type
    assert shares.bound_to(empty_capacity("a", KINDS["g4"], "north", True)) is None
    # where a class fits on one type, as all others do, nothing is bound
    assert gpu_footprints([wide, tall], [KINDS["g4"]]).bound == {}


def test_a_task_without_gpus_pins_a_gpu_machine_and_more_so_the_only_type_of_a_class() -> None:
    small, large = make_spec(cards=0.0), make_spec(cards=1.0)
    plain, gpus = (empty_capacity("n", kind, "north", False) for kind in _kinds("c16", "g4"))
    assert (
        plain.contention_cost(small),
        gpus.contention_cost(small),
        gpus.contention_cost(large),
    ) == (0, 1, 0)
    gpus.bound = TaskFootprint(8.0, 2.0, 40.0)
    assert (gpus.contention_cost(small), gpus.contention_cost(large)) == (2, 0)


def _kinds(*names: str) -> list[MachineType]:
    catalog = parse_catalog(CATALOG)
    return [catalog[name] for name in names]
