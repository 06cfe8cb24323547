"""Which machines waiting and expected tasks need beyond those there are."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial
from math import isinf
from typing import NamedTuple

from ..wire.cloud import MachineType
from ..wire.users import JobSpec
from .fill import Offer, fill
from .rooms import Room, Zones, allowed, assign, tasks_fitting
from .split import Option, Stage, split


@dataclass(slots=True, eq=False)
class Want:
    """Tasks that need room: how long until their budget ends, and how many of them running
    tasks will make room for in time."""

    spec: JobSpec
    tasks: int
    zones: Zones
    budget_s: float
    task_s: float
    covered: int = 0
    spot_only: bool = False


class Source(NamedTuple):
    """A kind of machine that can be asked for."""

    type: MachineType
    zone: str
    spot: bool

    def price(self) -> float:
        """Spot takes its steady type's weight in the split; money decides among sources."""
        return self.type.spot_price if self.spot else self.type.price


@dataclass(slots=True, eq=False)
class Need:
    """How many machines of a source are asked for."""

    source: Source
    number: int = 0


@dataclass(slots=True, eq=False)
class Outcome:
    """What the tasks need beyond the machines there are, and what they leave unused."""

    needs: dict[tuple[str, str, bool], Need] = field(default_factory=dict)
    spare: set[str] = field(default_factory=set)
    short: int = 0


def room_of(machine: str, kind: MachineType, zone: str, spot: bool) -> Room:
    """An empty machine's room."""
    return Room(
        machine,
        kind.name,
        zone,
        spot,
        kind.cpus,
        kind.gpus,
        kind.memory_gb,
        kind.price,
        max(kind.gpus, kind.cpus / 8),
        kind.gpus > 0,
        kind.fetch_gb_per_s,
        slots=partial(slots_on, kind=kind),
    )


def slots_on(spec: JobSpec, kind: MachineType) -> int:
    """How many tasks like this fit on an empty machine of the type."""
    return tasks_fitting(spec, kind.cpus, kind.gpus, kind.memory_gb)


def demand(
    wants: Sequence[Want],
    rooms: list[Room],
    sources: Sequence[Source],
    limit: Callable[[Source], int],
) -> Outcome:
    """Wants in queue order are fitted into the rooms there are (those still booting included);
    what does not fit asks for whole machines in the design's fill order."""
    outcome = Outcome()
    for room in rooms:
        room.used = False
    real = {room.machine for room in rooms}
    asked: dict[tuple[str, str, bool], int] = {}
    plain = [source for source in sources if source.type.gpus == 0]
    for want in wants:
        left = want.tasks - want.covered
        if want.spec.gpus == 0 and plain:
            # these are started wherever there is room; a machine without GPUs must be asked
            # for as soon as they would take GPU tasks' places, or it never is
            left -= _fit(want, left, rooms, harmless_only=True)
            left = _ask(want, left, rooms, plain, asked, limit, outcome)
        left -= _fit(want, left, rooms)
        outcome.short += max(0, _ask(want, left, rooms, sources, asked, limit, outcome))
    outcome.spare = {r.machine for r in rooms if r.machine in real and not r.used}
    return outcome


def _fit(want: Want, tasks: int, rooms: list[Room], harmless_only: bool = False) -> int:
    if tasks <= 0:
        return 0
    taken = assign(want.spec, tasks, rooms, want.zones, harmless_only=harmless_only)
    return sum(number for _, number in taken)


def _ask(
    want: Want,
    left: int,
    rooms: list[Room],
    sources: Sequence[Source],
    asked: dict[tuple[str, str, bool], int],
    limit: Callable[[Source], int],
    outcome: Outcome,
) -> int:
    """Adds to the needs what these tasks take; how many of them find no source."""
    turns = 0
    while left > 0 and turns < 64:
        turns += 1
        picked = _pick(want, left, sources, asked, limit)
        if picked is None:
            break
        source, number = picked
        key = (source.type.name, source.zone, source.spot)
        need = outcome.needs.setdefault(key, Need(source))
        before = left
        for _ in range(number):
            need.number += 1
            asked[key] = asked.get(key, 0) + 1
            room = room_of(f"new/{len(rooms)}", source.type, source.zone, source.spot)
            rooms.append(room)
            placed = _fit(want, left, [room])
            left -= placed * _rounds(want, source)
            if left <= 0:
                break
        if left == before:
            break
    return left


def _setup_s(want: Want, source: Source) -> float:
    return source.type.boot_s + want.spec.image_gb / source.type.fetch_gb_per_s


def _rounds(want: Want, source: Source) -> int:
    if isinf(want.budget_s):
        return 1
    if want.spec.kind == "service" or want.task_s <= 0:
        return 1
    return max(1, int((want.budget_s - _setup_s(want, source)) / want.task_s))


def _pick(
    want: Want,
    left: int,
    sources: Sequence[Source],
    asked: dict[tuple[str, str, bool], int],
    limit: Callable[[Source], int],
) -> tuple[Source, int] | None:
    """The split names the option a stage aims at; the fill order takes it from there."""
    spec = want.spec
    options: dict[str, Option] = {}
    offers: dict[str, tuple[Offer, Source]] = {}
    for source in sources:
        open_tasks = want.zones.open(source.zone)
        if want.spot_only and not source.spot:
            continue
        if open_tasks <= 0 or not allowed(spec, source.type.name, source.zone, source.spot):
            continue
        key = (source.type.name, source.zone, source.spot)
        room = limit(source) - asked.get(key, 0)
        slots = slots_on(spec, source.type)
        if room <= 0 or slots <= 0:
            continue
        task_s = want.task_s if spec.kind == "array" else 1.0
        setup_s = _setup_s(want, source)
        name = "/".join(map(str, key))
        # "its fill's rounds": one whole machine's worth at a time is the shortest fill
        finish_s = setup_s + (want.task_s if spec.kind == "array" else 0.0)
        options[name] = Option(name, source.type.price, slots / max(task_s, 1e-3), finish_s)
        offers[name] = (
            Offer(name, source.price(), slots, setup_s, task_s, min(room, open_tasks)),
            source,
        )
    if not options:
        return None
    share = split([Stage(left, tuple(options.values()))], want.budget_s)[0]
    aimed = share.option
    meeting = [
        offer
        for name, (offer, _) in offers.items()
        if options[name].finish_s <= max(share.budget_s, aimed.finish_s)
    ]
    plan = fill(left, meeting, max(want.budget_s, aimed.finish_s + 1e-6))
    if not plan:
        return None
    offer, number = plan[0]
    return offers[offer.name][1], number
