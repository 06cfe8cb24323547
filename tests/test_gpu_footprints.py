"""Tests of the footprints of GPU tasks and of the contention cost derived from them."""

import pytest

from crossmill.planning.free_capacity import TaskFootprint
from crossmill.planning.gpu_footprints import gpu_footprints

from .builders import make_spec
from .planning_builders import TYPES, idle_machine

MANY_SMALL_TASKS = make_spec(grist="train", sacks=50, cpus=4.0, cards=1.0, ramGb=16.0)
FEW_LARGE_TASKS = make_spec(grist="chat", sacks=2, cpus=8.0, cards=4.0, ramGb=200.0)
SMALL_TYPE = TYPES["g4"]._replace(name="g2", memory_gb=64.0)


def test_the_typical_footprint_is_that_of_the_class_with_the_most_tasks() -> None:
    footprints = gpu_footprints(
        [MANY_SMALL_TASKS, FEW_LARGE_TASKS, FEW_LARGE_TASKS], [TYPES["g4"], SMALL_TYPE]
    )
    assert footprints.typical == TaskFootprint(4.0, 1.0, 16.0)


@pytest.mark.parametrize(
    ("spot", "expected"), [(False, TaskFootprint(8.0, 4.0, 200.0)), (True, None)]
)
def test_a_type_except_its_spot_machines_is_exclusive_to_the_class_that_fits_on_no_other(
    spot: bool, expected: TaskFootprint | None
) -> None:
    footprints = gpu_footprints(
        [MANY_SMALL_TASKS, FEW_LARGE_TASKS, FEW_LARGE_TASKS], [TYPES["g4"], SMALL_TYPE]
    )
    assert footprints.exclusive_footprint(idle_machine("a", spot=spot)) == expected


def test_no_type_is_exclusive_if_all_classes_fit_on_one_type_only() -> None:
    assert gpu_footprints([MANY_SMALL_TASKS, FEW_LARGE_TASKS], [TYPES["g4"]]).exclusive == {}


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
    capacity = idle_machine("n", type_name=type_name)
    capacity.exclusive_gpu_task = exclusive
    assert capacity.contention_cost(make_spec(cards=gpus)) == cost
