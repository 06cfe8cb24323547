"""Validation of operators' declarations of replica sets."""

from typing import Any

import pytest

from crossmill.cluster.model import Resources
from crossmill.multihost.declaration import (
    InvalidDeclarationError,
    UnplaceableError,
    check_placeable,
    parse_declaration,
)
from crossmill.multihost.model import PoolMachine, ReplicaSetSpec

from .multihost_samples import SPEC

DECLARED = {"members": 2, "replicas": 1, "cpus": 1, "memory_gb": 2, "image": "w", "image_gb": 3}


def test_a_valid_declaration_is_accepted() -> None:
    assert parse_declaration("chat", DECLARED, ["north"]).members == 2


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("members", 0),
        ("members", True),
        ("members", "2"),
        ("replicas", -1),
        ("cpus", -1),
        ("cpus", None),
        ("memory_gb", "much"),
        ("image", ""),
        ("image", "a b"),
        ("image_gb", -0.5),
        ("zones", "north"),
        ("zones", ["nowhere"]),
        ("one_zone", 1),
        ("spread", "yes"),
        ("min_ready", 2),
        ("restart_budget", -1),
        ("restart_window_s", 0),
        ("hold_s", -1),
        ("priority", 1.5),
    ],
)
def test_an_error_names_the_invalid_field_of_a_declaration(field: str, value: Any) -> None:
    with pytest.raises(InvalidDeclarationError) as caught:
        parse_declaration("chat", DECLARED | {field: value}, ["north"])
    assert caught.value.field == field


@pytest.mark.parametrize("name", ["", "Chat", "a/b", "a b", "-a", "x" * 64])
def test_an_invalid_set_name_is_rejected(name: str) -> None:
    with pytest.raises(InvalidDeclarationError):
        parse_declaration(name, DECLARED, ["north"])


MACHINES = [
    PoolMachine(f"m-{n}", zone, Resources(16.0, 4.0, 64.0), 1.0)
    for n, zone in enumerate(("north", "north", "south", "south"))
]


@pytest.mark.parametrize(
    "spec",
    [
        pytest.param(SPEC._replace(members=2), id="one zone"),
        pytest.param(SPEC._replace(members=4, one_zone=False), id="all zones"),
    ],
)
def test_a_set_that_fits_into_the_idle_pool_is_placeable(spec: ReplicaSetSpec) -> None:
    check_placeable(spec, MACHINES)


@pytest.mark.parametrize(
    "spec",
    [
        pytest.param(SPEC, id="too many members for one zone"),
        pytest.param(SPEC._replace(members=5, one_zone=False), id="too many members"),
        pytest.param(
            SPEC._replace(members=1, resources=Resources(17.0, 0.0, 0.0)), id="members too large"
        ),
        pytest.param(SPEC._replace(members=2, zones=("west",)), id="no machine in the zone"),
    ],
)
def test_a_set_that_does_not_fit_into_the_idle_pool_is_rejected(spec: ReplicaSetSpec) -> None:
    with pytest.raises(UnplaceableError):
        check_placeable(spec, MACHINES)
