"""Tests of the latency split, with the worked examples of the Piccolo paper."""

import pytest

from crossmill.planning.split import MachineOption, Stage, split


def _options(name: str, finishes: list[float], rates: list[float]) -> tuple[MachineOption, ...]:
    pairs = zip(finishes, rates, strict=True)
    return tuple(
        MachineOption(f"{name}/{i}", 1.0, rate, finish_s)
        for i, (finish_s, rate) in enumerate(pairs)
    )


# module M_1 of the paper's Table I, with batches of 5, 20 and 100 requests
M1_OPTIONS = _options("m1", [0.15, 0.45, 2.0], [50, 80, 100])
# modules M_2 and M_3 of its Table II, in sequence
TABLE_2_STAGES = [
    Stage(50, _options("m2", [0.25, 0.40, 0.55], [16, 25, 30])),
    Stage(40, _options("m3", [0.35, 0.50, 0.65], [12, 20, 25]), dependencies=(0,)),
]


def _gain(old: MachineOption, new: MachineOption) -> float:
    return (old.cost(100) - new.cost(100)) / (new.finish_s - old.finish_s)


def test_gains_per_second_are_those_of_the_papers_table_1() -> None:
    small, medium, large = M1_OPTIONS
    assert _gain(small, medium) == pytest.approx(2.5)
    assert _gain(small, large) == pytest.approx(0.54, abs=0.01)


@pytest.mark.parametrize(("deadline_s", "chosen"), [(1.0, 1), (2.0, 2), (0.1, 0)])
def test_split_prefers_efficiency_over_throughput(deadline_s: float, chosen: int) -> None:
    # if there is time for only one switch, it is the one with the higher gain per second
    assert split([Stage(100, M1_OPTIONS)], deadline_s)[0].option is M1_OPTIONS[chosen]


def test_split_of_two_modules_in_sequence_chooses_the_cheapest_strategy() -> None:
    # Table II: the second of the three strategies for 0.9 s costs the least, 4.00 machines
    budgets = split(TABLE_2_STAGES, 0.9)
    assert [budget.option.name for budget in budgets] == ["m2/1", "m3/1"]
    cost = sum(b.option.cost(s.tasks) for b, s in zip(budgets, TABLE_2_STAGES, strict=True))
    assert cost == pytest.approx(4.0)
    assert [budget.budget_s for budget in budgets] == pytest.approx([0.4, 0.5])


def test_split_budgets_grow_in_proportion_to_the_available_time() -> None:
    assert sum(b.budget_s for b in split(TABLE_2_STAGES, 3.0)) == pytest.approx(3.0)
