"""The pure parts of multi-machine replicas, their messages, records and settings."""

import itertools
import subprocess
import sys
from pathlib import Path
from typing import Any

import orjson
import pytest

from crossmill.multihost.agents import Agents, AgentView, Freshness
from crossmill.multihost.declaration import (
    InvalidDeclaration,
    Unplaceable,
    check_placeable,
    parse_declaration,
)
from crossmill.multihost.failure_scores import FailureScores
from crossmill.multihost.lifecycle import backoff_s
from crossmill.multihost.model import (
    Member,
    MemberChunk,
    PoolMachine,
    Replica,
    ReplicaId,
    ReplicaSet,
    ReplicaSetSpec,
    Resources,
)
from crossmill.multihost.phases import (
    RAISES_GENERATION,
    TRANSITIONS,
    IllegalTransition,
    Phase,
    next_generation,
)
from crossmill.multihost.placement import Candidate, Victim, choose, choose_victims, earmark
from crossmill.multihost.records import (
    decode_chunk,
    decode_machine,
    decode_replica,
    decode_set,
    encode_chunk,
    encode_machine,
    encode_replica,
    encode_set,
)
from crossmill.multihost.serving import ServingLeases, all_alive_at
from crossmill.multihost.sets import PREEMPTED, plan_set
from crossmill.multihost.settings import MultihostSettings, load, parse
from crossmill.settings import Endpoint, SettingsError
from crossmill.wire.checks import MalformedMessageError
from crossmill.wire.multihost import (
    AgentHeartbeat,
    AgentHeartbeatResponse,
    MemberReport,
    MemberState,
    Offer,
    Op,
    Order,
    PeerAddress,
    Proof,
    answer_body,
    heartbeat_body,
    parse_agent_heartbeat,
    parse_answer,
)

from .builders import make_settings

ROOT = Path(__file__).resolve().parent.parent
SETTINGS = MultihostSettings(Endpoint("127.0.0.1", 1), 0, 1.0, 0.25)
EACH = Resources(8.0, 4.0, 32.0)
SPEC = ReplicaSetSpec("chat", 3, 2, EACH, "weights", 10.0)


def _candidates(zone: str, number: int, **changes: Any) -> list[Candidate]:
    free = Resources(16.0, 4.0, 64.0)
    return [Candidate(f"{zone}-{n}", zone, 1, free, 1.0)._replace(**changes) for n in range(number)]


# -- phases --------------------------------------------------------------------------


@pytest.mark.parametrize(("old", "new"), itertools.product(Phase, Phase))
def test_every_transition_outside_the_table_raises(old: Phase, new: Phase) -> None:
    if new in TRANSITIONS[old]:
        raised = (old, new) in RAISES_GENERATION
        assert next_generation(3, old, new) == 3 + raised
    else:
        with pytest.raises(IllegalTransition):
            next_generation(3, old, new)


def test_whatever_ends_service_or_begins_a_start_raises_the_generation() -> None:
    ends = {(Phase.READY, new) for new in TRANSITIONS[Phase.READY]}
    begins = {(Phase.PENDING, Phase.STARTING), (Phase.PENDING, Phase.RESERVING)}
    assert ends | begins <= RAISES_GENERATION


# -- declarations --------------------------------------------------------------------

DECLARED = {"members": 2, "replicas": 1, "cpus": 1, "memory_gb": 2, "image": "w", "image_gb": 3}


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
def test_a_wrong_field_of_a_declaration_is_named(field: str, value: Any) -> None:
    assert parse_declaration("chat", DECLARED, ["north"]).members == 2
    with pytest.raises(InvalidDeclaration) as caught:
        parse_declaration("chat", DECLARED | {field: value}, ["north"])
    assert caught.value.field == field


@pytest.mark.parametrize("name", ["", "Chat", "a/b", "a b", "-a", "x" * 64])
def test_a_wrong_name_is_refused(name: str) -> None:
    with pytest.raises(InvalidDeclaration):
        parse_declaration(name, DECLARED, ["north"])


def test_what_no_zone_can_ever_hold_is_refused_at_once() -> None:
    machines = [
        PoolMachine(f"m-{n}", zone, Resources(16.0, 4.0, 64.0), 1.0)
        for n, zone in enumerate(("north", "north", "south", "south"))
    ]
    check_placeable(SPEC._replace(members=2), machines)
    check_placeable(SPEC._replace(members=4, one_zone=False), machines)
    for spec in (
        SPEC,
        SPEC._replace(members=5, one_zone=False),
        SPEC._replace(members=1, resources=Resources(17.0, 0.0, 0.0)),
        SPEC._replace(members=2, zones=("west",)),
    ):
        with pytest.raises(Unplaceable):
            check_placeable(spec, machines)


# -- placement -----------------------------------------------------------------------


def test_all_members_get_machines_or_none_does() -> None:
    assert choose(SPEC, {}, _candidates("north", 2) + _candidates("south", 2), {}) is None
    placement = choose(SPEC, {}, _candidates("north", 3), {})
    assert placement is not None
    assert len(placement.machines) == 3
    assert [p.rank for p in placement.places] == [0, 1, 2]
    assert choose(SPEC._replace(one_zone=False), {}, _candidates("a", 2) + _candidates("b", 1), {})


def test_survivors_stay_and_the_whole_moves_only_where_it_is_back_sooner() -> None:
    warm = frozenset({"weights"})
    north = _candidates("north", 3)
    kept = {0: "north-0", 2: "north-2"}
    survivors = [c._replace(images=warm) for c in north if c.machine != "north-1"]
    cold_spare, warm_spare = north[1], north[1]._replace(images=warm)
    elsewhere = _candidates("south", 3, images=warm)
    stays = choose(SPEC, kept, [*survivors, warm_spare, *elsewhere], {})
    assert stays is not None
    assert stays.kept == 2
    assert stays.ready_s == 0
    moves = choose(SPEC, kept, [*survivors, cold_spare, *elsewhere], {})
    assert moves is not None
    assert moves.kept == 0
    assert moves.ready_s == 0
    alone = choose(SPEC, kept, [*survivors, cold_spare], {})
    assert alone is not None
    assert alone.kept == 2
    assert alone.ready_s == 10.0


def test_weights_at_hand_come_first_and_machines_that_failed_last() -> None:
    plain, warm = _candidates("north", 4), frozenset({"weights"})
    candidates = [plain[0]._replace(avoided=True, images=warm), *plain[1:]]
    placement = choose(SPEC, {}, candidates, {})
    assert placement is not None
    assert "north-0" not in placement.machines
    assert choose(SPEC, {}, candidates[:3], {}) is not None
    assert choose(SPEC, {}, candidates[:3], {}, {"north-0"}) is None


def test_replicas_of_a_spread_set_stand_in_different_zones() -> None:
    spec = SPEC._replace(spread=True)
    candidates = _candidates("north", 3, images=frozenset({"weights"})) + _candidates("south", 3)
    assert choose(spec, {}, candidates, {}).machines >= {"north-0"}  # type: ignore[union-attr]
    second = choose(spec, {}, candidates, {"north": 1})
    assert second is not None
    assert second.machines == {"south-0", "south-1", "south-2"}
    assert choose(spec, {}, candidates, {"north": 1, "south": 1}) is None


def test_the_first_that_waits_keeps_free_machines_up_to_a_bound() -> None:
    candidates = _candidates("north", 2) + _candidates("south", 1)
    assert earmark(SPEC, candidates, {}, most=5) == {"north-0", "north-1"}
    assert len(earmark(SPEC, candidates, {}, most=1)) == 1
    assert earmark(SPEC._replace(zones=("west",)), candidates, {}, most=5) == frozenset()


def test_victims_are_whole_replicas_the_least_lost_and_none_in_vain() -> None:
    full = Resources(8.0, 0.0, 32.0)
    candidates = _candidates("north", 6, free=full)

    def victim(name: str, priority: int, *machines: int) -> Victim:
        names = tuple(f"north-{m}" for m in machines)
        return Victim(name, priority, 0.0, names, EACH)

    lesser = [victim("a/0", 0, 0, 1), victim("b/0", 0, 2, 3, 4), victim("c/0", 1, 5)]
    chosen = choose_victims(SPEC._replace(priority=2), candidates, lesser, {})
    # the pair alone frees too little; with the three it is not needed any more
    assert [v.name for v in chosen] == ["b/0"]
    assert choose_victims(SPEC._replace(priority=0), candidates, lesser, {}) == ()
    assert choose_victims(SPEC._replace(priority=2, members=7), candidates, lesser, {}) == ()


def test_a_machines_failures_are_forgotten_with_time() -> None:
    scores = FailureScores(10.0)
    scores.note_failure("m", 0.0)
    scores.note_failure("m", 0.0)
    assert scores.score("m", 0.0) == 2.0
    assert scores.score("m", 10.0) == pytest.approx(1.0)
    assert scores.score("m", 1000.0) == 0.0


def test_the_back_off_doubles_and_is_bounded() -> None:
    waits = [backoff_s(n, SETTINGS) for n in range(40)]
    assert waits[:5] == [0.0, 0.0, 2.0, 4.0, 8.0]
    assert waits == sorted(waits)
    assert waits[-1] == SETTINGS.longest_backoff_s


# -- sets ----------------------------------------------------------------------------


def _replica(number: int, phase: Phase = Phase.READY, leaving: str = "") -> Replica:
    return Replica(ReplicaId("chat", number), phase, 1, leaving=leaving, version=1)


def _plan(min_ready: int, *replicas: Replica, removed: bool = False, no_room: bool = False) -> Any:
    stored = ReplicaSet(SPEC._replace(min_ready=min_ready), removed)
    return plan_set(stored, {r.id.number: r for r in replicas}, {}, no_room)


def test_a_leaving_replica_is_replaced_before_it_may_stop() -> None:
    leaving = _replica(0, leaving="drained")
    before = _plan(2, leaving, _replica(1))
    assert before.create == 1
    assert not before.may_stop
    starting = _plan(2, leaving, _replica(1), _replica(2, Phase.STARTING))
    assert starting.create == 0
    assert not starting.may_stop
    after = _plan(2, leaving, _replica(1), _replica(2))
    assert after.may_stop == {leaving.id}


def test_the_minimum_holds_for_every_voluntary_stop() -> None:
    leaving = _replica(0, leaving="drained")
    preempted = _replica(0, leaving=f"{PREEMPTED} x/0")
    # an involuntary loss counts against the budget
    lost = _replica(1, Phase.REPAIRING)
    assert not _plan(1, leaving, lost, no_room=True).may_stop
    assert not _plan(1, preempted, lost).may_stop
    assert _plan(1, preempted, _replica(1)).may_stop == {preempted.id}
    assert _plan(1, leaving, _replica(1), no_room=True).may_stop == {leaving.id}
    two = _plan(1, leaving, _replica(1, leaving="drained"), no_room=True)
    assert len(two.may_stop) == 1


def test_surplus_replicas_leave_those_that_do_not_serve_first() -> None:
    plan = _plan(0, _replica(0), _replica(1, Phase.STARTING), _replica(2))
    assert set(plan.leaving) == {ReplicaId("chat", 1)}
    removed = _plan(2, _replica(0), _replica(1), removed=True)
    assert len(removed.leaving) == 2
    assert len(removed.may_stop) == 2
    assert removed.create == 0
    assert _plan(0, removed=True).is_over


# -- serving -------------------------------------------------------------------------


def _view(machine: str, alive_at: float | None, session: int = 1) -> AgentView:
    return AgentView(machine, 0.0, alive_at, session)


def _ready(generation: int = 2) -> Replica:
    members = tuple(Member(r, f"m-{r}", 1, 1) for r in range(3))
    replica = Replica(ReplicaId("chat", 0), Phase.READY, generation, version=1)
    replica.chunks = {0: MemberChunk(generation, members)}
    return replica


def test_all_were_alive_at_the_earliest_of_their_proofs() -> None:
    members = _ready().members()
    views = [_view(f"m-{r}", 10.0 + r) for r in range(3)]
    assert all_alive_at(members, views) == 10.0
    assert all_alive_at(members, [*views[:2], None]) is None
    assert all_alive_at(members, [*views[:2], _view("m-2", None)]) is None
    assert all_alive_at(members, [*views[:2], _view("m-2", 12.0, session=2)]) is None


def test_a_grant_ends_a_lease_after_the_proof_and_never_later() -> None:
    leases, replica = ServingLeases(SETTINGS), _ready()
    front = replica.members()[0]
    granted = leases.grant(replica, front, alive_at=10.0, now=11.5)
    assert 0 < granted <= SETTINGS.serving_lease_s - 1.5
    assert leases.grant(replica, front, 10.0, 10.0 + SETTINGS.serving_lease_s) == 0.0
    following = _ready(generation=3)
    fenced_at = leases.fenced_at(following, 0.0, None)
    assert fenced_at >= 10.0 + SETTINGS.serving_lease_s
    # the granted machine says that it runs the new generation, or has begun a new session
    moved_on = _view("m-0", 20.0)
    moved_on.members["chat/0"] = MemberReport("chat/0", 0, 3, MemberState.LOADING)
    assert leases.fenced_at(following, 0.0, moved_on) < fenced_at
    assert leases.fenced_at(following, 0.0, _view("m-0", 20.0, session=2)) < fenced_at
    assert leases.fenced_at(following, 0.0, _view("m-0", 20.0)) == fenced_at
    # a new owner knows of no grant, and waits out any
    assert ServingLeases(SETTINGS).fenced_at(following, 50.0, None) >= 55.0


# -- heartbeats ----------------------------------------------------------------------

BEAT = AgentHeartbeat(
    "m-1",
    "127.0.0.1:9",
    Offer("g4", "north", False, 32.0, 4.0, 256.0, 1.0),
    1,
    7,
    41,
    Proof("here", 100.0),
    None,
    ("weights",),
    (MemberReport("chat/0", 1, 3, MemberState.LOADED, (2,)),),
)


def test_a_late_heartbeat_proves_only_when_it_was_sent() -> None:
    agents = Agents("here")
    assert agents.note(BEAT, 41, 101.0) is Freshness.NEW
    late = BEAT._replace(sequence=8, proof=Proof("here", 100.5))
    assert agents.note(late, 41, 500.0) is Freshness.NEW
    view = agents.get("m-1")
    assert view is not None
    assert view.alive_at == 100.5
    assert agents.note(BEAT, 41, 501.0) is Freshness.STALE


@pytest.mark.parametrize(
    "change", [{"proof": None}, {"proof": Proof("another", 100.0)}, {"token": 40}]
)
def test_what_was_not_made_under_this_owner_is_not_believed(change: dict[str, Any]) -> None:
    agents = Agents("here")
    assert agents.note(BEAT._replace(**change), 41, 101.0) is Freshness.GREETING
    view = agents.get("m-1")
    assert view is not None
    assert not view.is_trusted
    assert not view.members


def test_messages_come_through_as_they_were_sent_and_unknown_fields_are_ignored() -> None:
    assert parse_agent_heartbeat(heartbeat_body(BEAT)) == BEAT
    order = Order(
        Op.START, "chat/0", 1, 3, "weights", 2.0, (1.0, 2.0, 3.0), (PeerAddress(0, "a:1"),), 5.0
    )
    answer = AgentHeartbeatResponse(41, Proof("here", 1.5), (order,))
    assert parse_answer(answer_body(answer)) == answer
    wider = orjson.loads(heartbeat_body(BEAT)) | {"later": 1}
    assert parse_agent_heartbeat(orjson.dumps(wider)) == BEAT


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("version", 2),
        ("machine", ""),
        ("session", 0),
        ("sequence", -1),
        ("token", True),
        ("offer", []),
        ("proof", "x"),
        ("proof", {"process": "a"}),
        ("images", [1]),
        ("members", {}),
        ("members", [{"replica": "chat/0", "rank": 0, "generation": 1, "state": "odd"}]),
        ("members", [{}] * 257),
        ("notice_s", -1),
    ],
)
def test_a_malformed_heartbeat_is_refused(field: str, value: Any) -> None:
    data = orjson.loads(heartbeat_body(BEAT)) | {field: value}
    with pytest.raises(MalformedMessageError):
        parse_agent_heartbeat(orjson.dumps(data))


# -- records and settings ------------------------------------------------------------


def test_records_come_back_as_they_were_stored() -> None:
    stored = ReplicaSet(SPEC._replace(zones=("north",), spread=True), True, 4, 9)
    value = orjson.loads(orjson.dumps(encode_set(stored) | {"later": 1}))
    again = decode_set(value, 9)
    assert (again.spec, again.removed, again.next_index) == (stored.spec, True, 4)
    replica = _replica(3, Phase.REPAIRING, "drained")
    value = orjson.loads(orjson.dumps(encode_replica(replica) | {"later": 1}))
    assert encode_replica(decode_replica(replica.id, value, 1)) == encode_replica(replica)
    members = (Member(0, "m-0", 1, 1), Member(1, "m-1", 2, 3))
    value = orjson.loads(orjson.dumps(encode_chunk(5, members)))
    assert decode_chunk(value, 2).members == members
    machine = PoolMachine("m", "north", EACH, 2.0, "disks")
    value = orjson.loads(orjson.dumps(encode_machine(machine)))
    assert encode_machine(decode_machine("m", value, 1)) == encode_machine(machine)


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("port_offset", None),
        ("port_offset", 0),
        ("port_offset", 65536),
        ("pool_shard", 3),
        ("heartbeat_s", 0),
        ("idle_ratio", 1.5),
    ],
)
def test_a_wrong_setting_is_named(field: str, value: Any) -> None:
    table = {"port_offset": 10, field: value}
    with pytest.raises(SettingsError, match=field):
        parse({"multihost": {k: v for k, v in table.items() if v is not None}}, make_settings())


def test_the_deploy_file_is_good_and_time_spans_follow_from_the_heartbeat() -> None:
    settings = load(str(ROOT / "deploy" / "multihost.toml"), make_settings())
    assert settings.listen.port == 8091
    assert settings.heartbeat_s == make_settings().heartbeat_interval_s
    assert settings.detection_s < settings.serving_lease_s < settings.agent_lease_s


def test_without_the_flag_nothing_of_it_is_loaded() -> None:
    script = "import sys, crossmill.cli, crossmill.app; print(*sys.modules)"
    command = [sys.executable, "-E", "-c", script]
    result = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60)
    loaded = result.stdout.split()
    assert "crossmill.app" in loaded, result.stderr
    assert not [name for name in loaded if "multihost" in name]
