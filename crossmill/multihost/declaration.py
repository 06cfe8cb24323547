"""Validates operators' declarations of replica sets.

Pure functions, called by the operators' API. The scheduler also uses them to check whether the
machines now in the pool could hold a replica at all.
"""

import re
from collections.abc import Iterable
from typing import Any

from ..cluster.model import Resources
from ..wire import checks
from .errors import MultihostError
from .model import PoolMachine, ReplicaSetSpec

SET_NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")
MAX_MEMBERS = 4096
MAX_REPLICAS = 4096
MAX_PRIORITY = 1000
MAX_RESTART_BUDGET = 1000
MIN_RESTART_WINDOW_S = 1


class InvalidDeclarationError(MultihostError):
    """A field of a declaration is invalid."""

    def __init__(self, field: str, problem: str) -> None:
        super().__init__(f"{field}: {problem}")
        self.field = field


class UnplaceableError(MultihostError):
    """The pool could not hold a replica of the set even with all machines idle."""

    def __init__(self, spec: ReplicaSetSpec, fitting: int) -> None:
        where = "one zone" if spec.one_zone else "all zones together"
        super().__init__(
            f"a replica needs {spec.members} machines in {where}, the pool has {fitting} that fit"
        )
        self.needed = spec.members
        self.fitting = fitting


def _number(data: dict[str, Any], name: str, minimum: float, default: float | None = None) -> float:
    if name not in data and default is not None:
        return default
    try:
        value = checks.amount(data, name)
    except checks.MalformedMessageError as exc:
        raise InvalidDeclarationError(name, f"a number of at least {minimum:g} is needed") from exc
    if value < minimum:
        raise InvalidDeclarationError(name, f"a number of at least {minimum:g} is needed")
    return value


def _count(
    data: dict[str, Any], name: str, minimum: int, maximum: int, default: int | None = None
) -> int:
    if name not in data and default is not None:
        return default
    try:
        return checks.count(data, name, minimum, maximum)
    except checks.MalformedMessageError as exc:
        raise InvalidDeclarationError(
            name, f"a whole number from {minimum} to {maximum} is needed"
        ) from exc


def _flag(data: dict[str, Any], name: str, default: bool) -> bool:
    value = data.get(name, default)
    if type(value) is not bool:
        raise InvalidDeclarationError(name, "true or false is needed")
    return value


def _zones(data: dict[str, Any], known_zones: Iterable[str]) -> tuple[str, ...]:
    value = data.get("zones", [])
    if type(value) is not list or not all(type(z) is str for z in value):
        raise InvalidDeclarationError("zones", "a list of zones is needed")
    unknown = sorted(set(value) - set(known_zones))
    if unknown:
        raise InvalidDeclarationError("zones", f"no such zone: {', '.join(unknown)}")
    return tuple(value)


def parse_declaration(name: str, data: dict[str, Any], zones: Iterable[str]) -> ReplicaSetSpec:
    """Validate an operator's declaration and return it as a specification.

    Args:
        name: The name of the set.
        data: The fields of the operator's request.
        zones: The zones that the controller's settings list.

    Raises:
        InvalidDeclarationError: A field is invalid; the error names it.
    """
    if not SET_NAME_PATTERN.fullmatch(name):
        raise InvalidDeclarationError("name", "up to 63 of a-z, 0-9 and - are needed")
    image = data.get("image")
    if type(image) is not str or not image or " " in image:
        raise InvalidDeclarationError("image", "a name without spaces is needed")
    spec = ReplicaSetSpec(
        name=name,
        members=_count(data, "members", 1, MAX_MEMBERS),
        replicas=_count(data, "replicas", 0, MAX_REPLICAS),
        resources=Resources(
            _number(data, "cpus", 0),
            _number(data, "gpus", 0, 0.0),
            _number(data, "memory_gb", 0),
        ),
        image=image,
        image_gb=_number(data, "image_gb", 0),
        priority=_count(data, "priority", 0, MAX_PRIORITY, 0),
        zones=_zones(data, zones),
        one_zone=_flag(data, "one_zone", True),
        spread=_flag(data, "spread", False),
        min_ready=_count(data, "min_ready", 0, MAX_REPLICAS, 0),
        restart_budget=_count(data, "restart_budget", 0, MAX_RESTART_BUDGET, 5),
        restart_window_s=_number(data, "restart_window_s", MIN_RESTART_WINDOW_S, 600.0),
        hold_s=_number(data, "hold_s", 0, 30.0),
    )
    if spec.min_ready > spec.replicas:
        raise InvalidDeclarationError("min_ready", "no more than the replicas are needed")
    return spec


def check_placeable(spec: ReplicaSetSpec, machines: Iterable[PoolMachine]) -> None:
    """Check that the machines could hold one replica if all of them were idle.

    Raises:
        UnplaceableError: Too few machines have the capacity for a member.
    """
    fitting: dict[str, int] = {}
    for machine in machines:
        if spec.allows_zone(machine.zone) and machine.capacity.can_fit(spec.resources):
            fitting[machine.zone] = fitting.get(machine.zone, 0) + 1
    available = max(fitting.values(), default=0) if spec.one_zone else sum(fitting.values())
    if available < spec.members:
        raise UnplaceableError(spec, available)
