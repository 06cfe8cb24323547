"""Cost of a controller's work for a large fleet, checked by counting calls, not by timing."""

from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import curio
import h11
import pytest

from crossmill.cluster import keys
from crossmill.cluster.job_index import JobIndex
from crossmill.cluster.machine_index import MachineIndex
from crossmill.cluster.model import Job, PlanChunk, PlannedAttempt
from crossmill.cluster.records import encode_chunk
from crossmill.fleet.capacity import FleetCapacity
from crossmill.jobs.outcomes import ChunkOutcomes, select_batches
from crossmill.net.request_heads import RequestHeadCache
from crossmill.planning.free_capacity import FreeCapacity
from crossmill.settings import Team
from crossmill.state.writer import WriteIntent, WriteRank, WriteResult
from crossmill.wire import checks
from crossmill.wire.checks import load_object
from crossmill.wire.state import Put, Txn
from crossmill.wire.workers import cached_task_status_reader, parse_heartbeat
from crossmill.workers.attempt_outcomes import AttemptOutcome, EndReason

from . import stepped_controller
from .builders import heartbeat_body, make_settings, reported_task
from .fake_clock import FakeClock
from .fake_state_service import StateService
from .full_fleet import GPUS_PER_MACHINE, full_fleet, report_all
from .stepped_controller import SteppedController, add_job, run_scenario

Nodes = dict[str, SteppedController]
MACHINES = 1000


@pytest.fixture(autouse=True)
def _large_team(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guarantee all GPUs to the only team, which may use more."""
    teams = (Team("red", 0.0, 0.0, 1.0 * MACHINES * GPUS_PER_MACHINE, 0.0),)
    monkeypatch.setattr(
        stepped_controller,
        "make_settings",
        lambda label: replace(make_settings(label), teams=teams),
    )


def _refuse_iteration(index: object) -> Any:
    raise AssertionError("the index was iterated")


def _count_calls(
    monkeypatch: pytest.MonkeyPatch, counts: Counter[str], owner: Any, name: str
) -> None:
    real: Callable[..., Any] = getattr(owner, name)

    def counted(*args: Any, **kwargs: Any) -> Any:
        counts[name] += 1
        return real(*args, **kwargs)

    monkeypatch.setattr(owner, name, counted)


def test_a_round_checks_each_machines_free_capacity_once_for_similar_jobs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Free capacity is compared once for similar waiting jobs, not once for each of them.

    Comparing it with each job took a fifth of a controller's time, and going through the team's
    earlier jobs took two fifths.
    """

    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        full_fleet(state, clock, MACHINES)
        for job in range(300):
            add_job(state, clock, nameId=f"wk-{job + 500:06d}", grist="batch")
        node = SteppedController(state, clock, nodes)
        await node.boot()
        report_all(node, MACHINES)
        counts: Counter[str] = Counter()
        _count_calls(monkeypatch, counts, FreeCapacity, "count_fitting")
        _count_calls(monkeypatch, counts, Job, "done_task_count")
        await node.round()
        jobs = MACHINES * GPUS_PER_MACHINE // 16 + 300
        assert MACHINES <= counts["count_fitting"] <= 2 * MACHINES
        assert counts["done_task_count"] <= 20 * jobs

    run_scenario(scenario)


def test_a_heartbeat_reads_only_its_own_machine() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        full_fleet(state, clock, MACHINES)
        node = SteppedController(state, clock, nodes)
        await node.boot()
        report_all(node, MACHINES)

        class MachinesByKeyOnly(MachineIndex):
            __iter__ = values = items = keys = _refuse_iteration

        class JobsByKeyOnly(JobIndex):
            __iter__ = values = items = keys = _refuse_iteration

        node.cluster.machines.__class__ = MachinesByKeyOnly
        node.cluster.jobs.__class__ = JobsByKeyOnly
        tasks = [reported_task("wk-000000", i, i + 1, "running") for i in range(GPUS_PER_MACHINE)]
        assert node.report("n-0", 1, 2, node.token(), *tasks).status == 200

    run_scenario(scenario)


def test_a_failover_reads_by_pages_and_writes_only_the_shards_key() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        full_fleet(state, clock, MACHINES)
        stored = len(state.keys)
        node = SteppedController(state, clock, nodes)
        await node.boot()
        pages = [path for _, path in state.received_requests if path == "/keys"]
        assert len(pages) <= stored // 1000 + 1
        # each shard's key and the token counter, this controller's own key and the leader key
        assert state.applied_change_count <= 2 * node.settings.controller_count + 2
        assert (
            sum(j.planned_task_count() for j in node.cluster.jobs.values())
            == MACHINES * GPUS_PER_MACHINE
        )
        before = state.applied_change_count
        report_all(node, MACHINES)
        await node.round()
        assert state.applied_change_count == before

    run_scenario(scenario)


def test_attestations_for_a_silent_zone_are_requested_in_one_message() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        full_fleet(state, clock, MACHINES)
        node = SteppedController(state, clock, nodes, "node-1")
        await node.boot()
        for _ in range(12):
            clock.time += node.settings.controller_lease_ttl_s / 3
            await node.controller_lease.step()
            await node.membership.step()
        report_all(node, MACHINES)
        request_sizes: list[int] = []

        class RecordingLink:
            async def request(
                self, method: str, path: str, body: bytes = b"", timeout_s: float = 2.0
            ) -> tuple[int, bytes]:
                request_sizes.append(len(body))
                return 503, b""

        node.partition_protocol.peers._http["node-0"] = RecordingLink()
        clock.time += node.settings.heartbeat_timeout_s + 0.1
        await node.controller_lease.step()
        await node.round()
        await node.partition_protocol.step()
        assert len(request_sizes) == 1
        assert request_sizes[0] < 64 * 1024

    run_scenario(scenario)


def test_a_burst_of_submissions_may_exceed_the_controllers_write_rate() -> None:
    # guards against a delay of a second for each of a pipeline's stages, which are submitted one
    # after the other
    async def scenario(
        state: StateService, clock: FakeClock, nodes: dict[str, SteppedController]
    ) -> None:
        node = SteppedController(state, clock, nodes)
        await node.boot()
        clock.time += 2
        node.writer.set_rate(1.0)
        intents = [WriteIntent(Txn({}, [Put(f"cm/x/{n}", n)]), WriteRank.URGENT) for n in range(5)]
        for intent in intents:
            await node.writer.submit(intent)
        assert [await i.future.wait(1.0) for i in intents] == [WriteResult.OK] * 5
        # writes of lower rank wait until the token bucket is no longer overdrawn
        late = WriteIntent(Txn({}, [Put("cm/x/late", 0)]))
        await node.writer.submit(late)
        assert await late.future.wait(0.05) is None

    run_scenario(scenario)


def test_a_round_writes_urgent_chunks_first_and_keeps_to_the_write_rate() -> None:
    # guards against rounds of many seconds: the next stage of a pipeline starts only after a round
    def outcomes(number: int, attempts: int, reason: str = "done") -> ChunkOutcomes:
        attempt = PlannedAttempt(f"wk-{number:06d}", 0, 1, "n-0", 1)
        chunk = PlanChunk(2, 0, {i: attempt for i in range(attempts)})
        return ChunkOutcomes(
            Job(attempt.job), "0", chunk, [AttemptOutcome(attempt, EndReason(reason), term=1)]
        )

    many = [outcomes(number, 9) for number in range(20)]
    last, failed = outcomes(90, 1), outcomes(91, 9, "error")
    assert select_batches(many[:3], 4) == many[:3]
    assert select_batches([*many, last, failed], 4) == [last, failed, *many[:2]]
    # even if urgent outcomes take the whole limit, one batch of the others is written
    assert select_batches([*many, last, failed], 1) == [last, failed, many[0]]


def test_a_shard_release_is_written_before_queued_submissions() -> None:
    # guards against a shard without an acting controller while queued cancellations are written
    # before the shard's key
    async def scenario(
        state: StateService, clock: FakeClock, nodes: dict[str, SteppedController]
    ) -> None:
        node = SteppedController(state, clock, nodes)
        await node.boot()
        node.writer.set_rate(1.0)
        node.writer._token_bucket.force_take(100.0)
        for number in range(3):
            await node.writer.submit(
                WriteIntent(Txn({}, [Put(f"cm/x/{number}", 0)]), WriteRank.URGENT)
            )
        ownership = node.membership.ownerships[0]
        key = keys.shard(0)
        task = await curio.spawn(
            node.membership.ownership_writer.commit, Txn({key: ownership.version}, [], [key])
        )
        await curio.sleep(0)
        assert next(iter(node.writer._queue)).txn.deletes == [key]
        await task.cancel()

    run_scenario(scenario)


@pytest.mark.parametrize("machines", [200, MACHINES])
def test_a_round_recomputes_free_capacity_only_for_changed_machines(
    machines: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # guards against recomputing the whole fleet's free capacity in each round, which took a quarter
    # of the round's time
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        full_fleet(state, clock, machines)
        add_job(state, clock, nameId="wk-900000", grist="batch")
        counts: Counter[str] = Counter()
        _count_calls(monkeypatch, counts, FleetCapacity, "free_capacity")
        node = SteppedController(state, clock, nodes)
        await node.boot()
        report_all(node, machines)
        await node.round()
        assert counts["free_capacity"] == machines
        counts.clear()
        await node.round()
        assert counts["free_capacity"] == 0
        # one task of one job ends: only the free capacity of its machine is recomputed
        rows = {
            i: PlannedAttempt("wk-000000", i, i + 1, f"n-{i // GPUS_PER_MACHINE}", 1)
            for i in range(1, 16)
        }
        state.put(keys.plan("wk-000000", "0"), encode_chunk(PlanChunk(17, 1, rows)))
        await node.sync()
        await node.round()
        # the next round takes account of the attempts that this round plans on the machine
        assert counts["free_capacity"] == 1

    run_scenario(scenario)


def test_repeated_heartbeats_of_four_thousand_machines_are_served_from_caches(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # guards against caches of request heads and task statuses that are smaller than the largest
    # fleet: each pass over the machines would evict the entries that the next pass needs
    machines, tasks = 4000, 10_000
    settings = make_settings()
    heads = RequestHeadCache(settings.max_cached_request_heads)
    read = cached_task_status_reader(settings.max_cached_task_statuses)
    counts: Counter[str] = Counter()
    _count_calls(monkeypatch, counts, checks, "one_of")

    def report(machine: int) -> None:
        body = heartbeat_body(
            f"n-{machine}",
            1,
            1,
            1,
            *(reported_task("wk-1", i, 1, "running") for i in task_range(machine)),
        )
        # each worker's request head differs: its target names the machine
        target = f"/agent/beat?machine={machine}"
        request = h11.Request(
            method="POST",
            target=target,
            headers=[("host", "a"), ("content-length", str(len(body)))],
        )
        data = (h11.Connection(h11.CLIENT).send(request) or b"") + body
        if heads.find(data) is None:
            counts["parsed"] += 1
            heads.add(data, request)
        parse_heartbeat(load_object(body), read)

    def task_range(machine: int) -> range:
        return range(machine * tasks // machines, (machine + 1) * tasks // machines)

    for machine in range(machines):
        report(machine)
    assert counts == {"parsed": machines, "one_of": tasks}
    for machine in range(machines):
        report(machine)
    assert counts == {"parsed": machines, "one_of": tasks}


def test_an_unchanged_heartbeat_parses_no_task_again(monkeypatch: pytest.MonkeyPatch) -> None:
    # guards against parsing every task of every machine in each report interval
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        full_fleet(state, clock, 40)
        node = SteppedController(state, clock, nodes)
        await node.boot()
        report_all(node, 40, 1)
        counts: Counter[str] = Counter()
        _count_calls(monkeypatch, counts, checks, "one_of")
        report_all(node, 40, 2)
        assert counts["one_of"] == 0

    run_scenario(scenario)
