"""The choice of machines for replicas, and the avoidance of machines that failed."""

import pytest

from crossmill.multihost.failure_scores import FailureScores
from crossmill.multihost.lifecycle import backoff_s
from crossmill.multihost.model import (
    ReplicaSetSpec,
)
from crossmill.multihost.placement import Candidate, choose_placement, machines_to_keep_free
from crossmill.multihost.settings import MultihostSettings
from crossmill.settings import Endpoint

from .multihost_samples import SPEC, make_candidates

SETTINGS = MultihostSettings(Endpoint("127.0.0.1", 1), 0, 1.0, 0.25)


CACHED_IMAGES = frozenset({"weights"})


def test_a_replica_without_enough_machines_in_one_zone_gets_none() -> None:
    candidates = make_candidates("north", 2) + make_candidates("south", 2)
    assert choose_placement(SPEC, {}, candidates, {}) is None


def test_every_rank_gets_a_machine_of_its_own() -> None:
    placement = choose_placement(SPEC, {}, make_candidates("north", 3), {})
    assert placement is not None
    assert len(placement.machines) == 3
    assert [p.rank for p in placement.members] == [0, 1, 2]


def test_a_replica_that_may_span_zones_can_use_machines_of_several() -> None:
    candidates = make_candidates("a", 2) + make_candidates("b", 1)
    assert choose_placement(SPEC._replace(one_zone=False), {}, candidates, {})


NORTH = make_candidates("north", 3)
SURVIVORS = [c._replace(images=CACHED_IMAGES) for c in NORTH if c.machine != "north-1"]
KEPT = {0: "north-0", 2: "north-2"}
UNCACHED_SPARE, CACHED_SPARE = NORTH[1], NORTH[1]._replace(images=CACHED_IMAGES)
ELSEWHERE = make_candidates("south", 3, images=CACHED_IMAGES)


@pytest.mark.parametrize(
    ("candidates", "survivor_count", "load_s"),
    [
        pytest.param([*SURVIVORS, CACHED_SPARE, *ELSEWHERE], 2, 0.0, id="equally soon: stays"),
        pytest.param([*SURVIVORS, UNCACHED_SPARE, *ELSEWHERE], 0, 0.0, id="sooner: moves"),
        pytest.param([*SURVIVORS, UNCACHED_SPARE], 2, 10.0, id="no other zone: stays"),
    ],
)
def test_survivors_stay_unless_the_replica_is_ready_sooner_elsewhere(
    candidates: list[Candidate], survivor_count: int, load_s: float
) -> None:
    placement = choose_placement(SPEC, KEPT, candidates, {})
    assert placement is not None
    assert placement.survivor_count == survivor_count
    assert placement.load_s == load_s


FAILED_OFTEN = [
    make_candidates("north", 1)[0]._replace(is_avoided=True, images=CACHED_IMAGES),
    *make_candidates("north", 4)[1:],
]


def test_a_machine_that_failed_often_is_not_preferred_for_its_weights() -> None:
    placement = choose_placement(SPEC, {}, FAILED_OFTEN, {})
    assert placement is not None
    assert "north-0" not in placement.machines


def test_a_machine_that_failed_often_is_chosen_if_no_other_is_left() -> None:
    assert choose_placement(SPEC, {}, FAILED_OFTEN[:3], {}) is not None


def test_an_excluded_machine_is_never_chosen() -> None:
    assert choose_placement(SPEC, {}, FAILED_OFTEN[:3], {}, {"north-0"}) is None


SPREAD = SPEC._replace(spread=True)
TWO_ZONES = make_candidates("north", 3, images=CACHED_IMAGES) + make_candidates("south", 3)


def test_the_first_replica_of_a_spread_set_is_placed_where_the_weights_are() -> None:
    placement = choose_placement(SPREAD, {}, TWO_ZONES, {})
    assert placement is not None
    assert placement.machines >= {"north-0"}


def test_the_second_replica_of_a_spread_set_is_placed_in_another_zone() -> None:
    placement = choose_placement(SPREAD, {}, TWO_ZONES, {"north": 1})
    assert placement is not None
    assert placement.machines == {"south-0", "south-1", "south-2"}


def test_a_spread_set_has_no_more_replicas_in_a_zone_than_its_limit() -> None:
    assert choose_placement(SPREAD, {}, TWO_ZONES, {"north": 1, "south": 1}) is None


@pytest.mark.parametrize(
    ("spec", "max_machines", "count"),
    [
        pytest.param(SPEC, 5, 2, id="all of the zone with most"),
        pytest.param(SPEC, 1, 1, id="up to the maximum"),
        pytest.param(SPEC._replace(zones=("west",)), 5, 0, id="none outside the allowed zones"),
    ],
)
def test_machines_are_kept_free_for_the_first_unplaceable_replica(
    spec: ReplicaSetSpec, max_machines: int, count: int
) -> None:
    candidates = make_candidates("north", 2) + make_candidates("south", 1)
    kept_free = machines_to_keep_free(spec, candidates, {}, max_machines)
    assert len(kept_free) == count
    assert kept_free <= {"north-0", "north-1"}


def test_the_failure_score_of_a_machine_decays() -> None:
    scores = FailureScores(10.0)
    scores.record_failure("m", 0.0)
    scores.record_failure("m", 0.0)
    assert scores.score("m", 0.0) == 2.0
    assert scores.score("m", 10.0) == pytest.approx(1.0)
    assert scores.score("m", 1000.0) == 0.0


def test_the_backoff_doubles_up_to_its_maximum() -> None:
    delays = [backoff_s(n, SETTINGS) for n in range(40)]
    assert delays[:5] == [0.0, 0.0, 2.0, 4.0, 8.0]
    assert delays == sorted(delays)
    assert delays[-1] == SETTINGS.max_backoff_s
