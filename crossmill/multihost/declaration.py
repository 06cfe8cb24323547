"""Checks an operator's declaration of a replica set."""

import re
from collections.abc import Iterable
from typing import Any

from ..wire import checks
from .model import PoolMachine, ReplicaSetSpec, Resources

NAME = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")
MAX_MEMBERS = 4096
MAX_REPLICAS = 4096


class InvalidDeclarationError(ValueError):
    """A field of a declaration is wrong."""

    def __init__(self, field: str, problem: str) -> None:
        super().__init__(f"{field}: {problem}")
        self.field = field


class UnplaceableError(ValueError):
    """No zone of the pool can ever hold a replica of the set."""


def _number(data: dict[str, Any], name: str, low: float, default: float | None = None) -> float:
    if name not in data and default is not None:
        return default
    try:
        value = checks.amount(data, name)
    except checks.MalformedMessageError as exc:
        raise InvalidDeclarationError(name, f"a number of at least {low:g} is needed") from exc
    if value < low:
        raise InvalidDeclarationError(name, f"a number of at least {low:g} is needed")
    return value


def _count(data: dict[str, Any], name: str, low: int, high: int, default: int | None = None) -> int:
    if name not in data and default is not None:
        return default
    try:
        return checks.count(data, name, low, high)
    except checks.MalformedMessageError as exc:
        raise InvalidDeclarationError(
            name, f"a whole number from {low} to {high} is needed"
        ) from exc


def _flag(data: dict[str, Any], name: str, default: bool) -> bool:
    value = data.get(name, default)
    if type(value) is not bool:
        raise InvalidDeclarationError(name, "true or false is needed")
    return value


def _zones(data: dict[str, Any], known: Iterable[str]) -> tuple[str, ...]:
    value = data.get("zones", [])
    if type(value) is not list or not all(type(z) is str for z in value):
        raise InvalidDeclarationError("zones", "a list of zones is needed")
    unknown = sorted(set(value) - set(known))
    if unknown:
        raise InvalidDeclarationError("zones", f"no such zone: {', '.join(unknown)}")
    return tuple(value)


def parse_declaration(name: str, data: dict[str, Any], zones: Iterable[str]) -> ReplicaSetSpec:
    """The declaration, checked; raises InvalidDeclarationError with the field's name."""
    if not NAME.fullmatch(name):
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
        priority=_count(data, "priority", 0, 1000, 0),
        zones=_zones(data, zones),
        one_zone=_flag(data, "one_zone", True),
        spread=_flag(data, "spread", False),
        min_ready=_count(data, "min_ready", 0, MAX_REPLICAS, 0),
        restart_budget=_count(data, "restart_budget", 0, 1000, 5),
        restart_window_s=_number(data, "restart_window_s", 1, 600.0),
        hold_s=_number(data, "hold_s", 0, 30.0),
    )
    if spec.min_ready > spec.replicas:
        raise InvalidDeclarationError("min_ready", "no more than the replicas are needed")
    return spec


def check_placeable(spec: ReplicaSetSpec, machines: Iterable[PoolMachine]) -> None:
    """Raises UnplaceableError if the empty pool could not hold one replica."""
    fitting: dict[str, int] = {}
    for machine in machines:
        if spec.allows_zone(machine.zone) and machine.capacity.can_fit(spec.resources):
            fitting[machine.zone] = fitting.get(machine.zone, 0) + 1
    most = max(fitting.values(), default=0) if spec.one_zone else sum(fitting.values())
    if most < spec.members:
        where = "one zone" if spec.one_zone else "all zones together"
        raise UnplaceableError(
            f"a replica needs {spec.members} machines in {where}, the pool has {most} that fit"
        )
