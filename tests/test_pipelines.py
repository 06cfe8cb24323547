"""Tests of the budgets and priorities of pipelines."""

import pytest

from crossmill.cluster import keys
from crossmill.cluster.model import CANCELLED, DONE
from crossmill.cluster.records import encode_end, encode_job
from crossmill.planning.pipelines import PipelineStage, plan_pipeline, topological_order
from crossmill.planning.split import MachineOption, Stage, _path_ends, split

from .builders import make_spec
from .fake_clock import FakeClock
from .fake_state_service import StateService
from .stepped_controller import MAX_RECORD_BYTES, SteppedController, run_scenario, seed

Nodes = dict[str, SteppedController]
FAST, SLOW = MachineOption("fast", 2.0, 1.0, 10.0), MachineOption("slow", 1.0, 1.0, 20.0)


def _stage(
    name: str,
    *dependencies: str,
    priority: int = 3,
    deadline: float | None = None,
    margin_s: float = 0.0,
) -> PipelineStage:
    return PipelineStage(name, priority, 4, (FAST, SLOW), margin_s, dependencies, deadline)


def _diamond() -> dict[str, PipelineStage]:
    stages = [
        _stage("last", "left", "right", priority=1, deadline=100.0),
        _stage("left", "first"),
        _stage("right", "first", priority=2),
        _stage("first"),
    ]
    return {stage.id: stage for stage in stages}


def test_topological_order_puts_each_stage_after_its_dependencies() -> None:
    order = topological_order(_diamond())
    assert order[0] == "first"
    assert order[-1] == "last"


def test_stages_inherit_the_highest_priority_of_their_dependents() -> None:
    plans = plan_pipeline(_diamond(), 10.0)
    assert {plan.priority for plan in plans.values()} == {1}


def test_the_time_to_the_deadline_is_divided_among_the_stages() -> None:
    # ninety seconds for three stages in sequence, all of which switch to the slow option
    ends = {name: plan.budget_end for name, plan in plan_pipeline(_diamond(), 10.0).items()}
    assert ends == pytest.approx({"first": 40.0, "left": 70.0, "right": 70.0, "last": 100.0})


def test_the_margin_of_the_longest_path_is_subtracted() -> None:
    late = {**_diamond(), "left": _stage("left", "first", margin_s=30.0)}
    assert plan_pipeline(late, 10.0)["last"].budget_end == pytest.approx(70.0)


@pytest.mark.parametrize("wall_time", [130.0, 160.0])
def test_a_pipeline_past_its_deadline_still_has_budgets(wall_time: float) -> None:
    assert plan_pipeline(_diamond(), wall_time)["first"].budget_end is not None


def test_the_budget_of_a_pipeline_past_its_deadline_ends_after_its_planned_end() -> None:
    end = plan_pipeline(_diamond(), 130.0)["first"].budget_end
    assert end is not None
    assert end > 100.0 - 30.0


def test_without_any_deadline_there_is_no_budget() -> None:
    stages = {"a": _stage("a"), "b": _stage("b", "a")}
    assert plan_pipeline(stages, 0.0)["a"].budget_end is None


def _split_by_trying_all_paths(stages: list[Stage], deadline_s: float) -> list[MachineOption]:
    """Split by brute force: check each candidate switch against all paths."""
    chosen = [min(s.options, key=lambda o: (o.finish_s, -o.price)) for s in stages]
    while True:
        best: tuple[float, int, MachineOption] | None = None
        for index, stage in enumerate(stages):
            for new in stage.options:
                old = chosen[index]
                saved = old.cost(stage.tasks) - new.cost(stage.tasks)
                tried = [*chosen[:index], new, *chosen[index + 1 :]]
                if saved <= 0 or max(_path_ends(stages, tried)) > deadline_s:
                    continue
                added = new.finish_s - old.finish_s
                gain = saved / added if added > 0 else float("inf")
                if best is None or gain > best[0]:
                    best = (gain, index, new)
        if best is None:
            return chosen
        chosen[best[1]] = best[2]


@pytest.mark.parametrize("deadline_s", range(10, 90, 3))
def test_split_makes_the_same_switches_as_the_brute_force_split(deadline_s: int) -> None:
    options = (
        MachineOption("a", 4.0, 1.0, 5.0),
        MachineOption("b", 2.0, 1.0, 9.0),
        MachineOption("c", 1.0, 1.0, 21.0),
        MachineOption("d", 3.0, 1.0, 6.0),
    )
    stages = [
        Stage(3, options),
        Stage(8, options[:3], (0,)),
        Stage(2, options, (0,)),
        Stage(5, options[1:], (1, 2)),
    ]
    expected = _split_by_trying_all_paths(stages, deadline_s)
    assert [budget.option for budget in split(stages, float(deadline_s))] == expected


def test_a_wide_pipeline_is_split_in_passes_over_its_edges(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # checking each candidate switch against all paths took 40,000 passes for two hundred stages
    passes = 0
    original = _path_ends

    def counted(*args: object) -> list[float]:
        nonlocal passes
        passes += 1
        return original(*args)  # type: ignore[arg-type]

    monkeypatch.setattr("crossmill.planning.split._path_ends", counted)
    wide = [Stage(4, (FAST, SLOW)) for _ in range(200)]
    wide.append(Stage(4, (FAST, SLOW), tuple(range(200))))
    split(wide, 100.0)
    assert passes <= 205


def test_a_pipelines_queue_position_follows_the_durable_records() -> None:
    # the priority of the last stage is inherited from its submission until its cancellation
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock)
        first, middle, last = (f"wk-00000{n}" for n in (1, 2, 3))
        low = {"precedence": "idle", "dueS": None, "sacks": 4}
        at = clock.wall_time()
        state.put(keys.job(first), encode_job(make_spec(nameId=first, **low), at))
        middle_spec = make_spec(nameId=middle, **low, crew="blue")
        state.put(keys.job(middle), encode_job(middle_spec, at, (first,)))
        node = SteppedController(state, clock, nodes)
        await node.boot()
        forecast, jobs = node.forecast, node.cluster.jobs
        priority, end, _ = forecast.queue_rank(jobs[first])
        assert priority == 3
        assert end == pytest.approx(at + node.settings.default_queue_time_s)
        final = make_spec(nameId=last, precedence="high", dueS=300.0, grindS=10.0)
        state.put(keys.job(last), encode_job(final, clock.wall_time(), (middle,)))
        await node.sync()
        priority, end, _ = forecast.queue_rank(jobs[first])
        assert priority == 1
        assert at < end < at + 300.0
        # another controller computes the same budget end
        other = SteppedController(state, clock, nodes, "node-1")
        await other.boot()
        assert other.forecast.queue_rank(jobs[first])[1] == pytest.approx(end)
        # cancel the stage from which the priority was inherited
        state.put(keys.job(last), encode_end(CANCELLED, final, clock.wall_time(), MAX_RECORD_BYTES))
        await node.sync()
        assert forecast.queue_rank(jobs[first])[0] == 3

    run_scenario(scenario)


def test_waiting_counts_from_the_last_dependencys_end_and_deadlines_from_submission() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock)
        at = clock.wall_time()
        deadlines = {"a": 0.0, "b": 300.0}
        spec = make_spec(nameId="wk-000001", dueS=None)
        state.put(keys.job("wk-000001"), encode_job(spec, at))
        for number, due in enumerate(deadlines.values(), 2):
            name = f"wk-00000{number}"
            after = make_spec(nameId=name, dueS=due or None, grindS=0.0)
            state.put(keys.job(name), encode_job(after, at, ("wk-000001",)))
        state.put(keys.job("wk-000001"), encode_end(DONE, spec, at + 50.0, MAX_RECORD_BYTES))
        node = SteppedController(state, clock, nodes)
        await node.boot()
        ends = [node.forecast.queue_rank(node.cluster.jobs[f"wk-00000{n}"])[1] for n in (2, 3)]
        assert ends == pytest.approx([at + 50.0 + node.settings.default_queue_time_s, at + 300.0])

    run_scenario(scenario)
