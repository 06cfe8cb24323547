"""Two troubles at once, played over the simulated region: no rule may break."""

import random
from functools import partial
from typing import Any

import curio
import pytest

from crossmill.cluster import keys

from .fault_injection import (
    all_but_leases,
    all_over,
    all_over_but_services,
    every_request,
    heal,
    inject_random_fault,
    lose_answers,
    single_task_jobs,
)
from .simulated_region import Region, simulate


def test_a_quiet_spell_keeps_every_rule() -> None:
    """What all other stories here begin with; it also shows that the judge sees tasks run."""

    async def scenario(region: Region) -> None:
        await region.begin(machines=2)
        assert await region.submit("node-1", "wk-000001", sacks=3) == 201
        assert await region.submit("node-2", "wk-000002", run_s=5.0, sacks=2) == 201
        await region.until(lambda: len(region.running("wk-000001")) > 0)
        await region.until(lambda: len(region.checker.jobs["wk-000002"].finished) == 2)
        await curio.sleep(3.0)
        assert await region.show("node-0", "wk-000002") == 200
        assert region.checker.jobs["wk-000002"].done is not None
        assert await region.cancel("node-2", "wk-000001") == 200
        await curio.sleep(3.0)
        assert not region.running("wk-000001")

    simulate(scenario)


async def _gap(region: Region, refused: str, refuses: object, alone_s: float) -> None:
    """node-0 is refused alone; another controller confirms a cancellation; then all are refused
    for longer than cancel_s, while the worker goes on reporting to node-0.
    """
    await region.until(lambda: len(region.running("wk-000001")) > 0)
    before = region.clock.now()
    if refuses == "flapping":
        region.refused[refused] = lambda m, p: (region.clock.now() - before) % 1.0 < 0.8
    else:
        region.refused[refused] = refuses  # type: ignore[assignment]
    await curio.sleep(0.3)
    told = await region.cancel_until_told("node-1", "wk-000001", max(0.1, alone_s - 0.3))
    await curio.sleep(max(0.0, before + alone_s - region.clock.now()))
    region.state.down = True
    await curio.sleep(4.0)
    region.refused.clear()
    await curio.sleep(region.cancellation_deadline_s * 1.4)
    region.state.down = False
    await curio.sleep(10.0)
    assert told, "the story is about a cancellation that was confirmed"
    assert not region.running("wk-000001")


@pytest.mark.parametrize("refuses", [every_request, all_but_leases, "flapping"])
@pytest.mark.parametrize("alone_s", [1.5, 8.0, 14.0, 36.0])
@pytest.mark.parametrize("peers", ["together", "apart"])
def test_gap(refuses: object, alone_s: float, peers: str) -> None:
    """A controller that is refused alone knows of no cancellation that others confirm, and what
    it keeps alive must end in time all the same. On its lease alone it went on for ever where
    renewals succeeded and reads did not.
    """

    async def scenario(region: Region) -> None:
        # apart from the others it could not be told as its zone's deputy, and the user would wait
        await region.begin(machines=2, zone="south" if peers == "apart" else "north")
        await region.submit("node-1", "wk-000001", sacks=2)
        await region.until(lambda: len(region.running("wk-000001")) > 0)
        if peers == "apart":
            region.apart.add("node-0")
        await _gap(region, "node-0", refuses, alone_s)

    simulate(scenario)


def test_a_deputy_ends_what_it_was_itself_about_to_cancel() -> None:
    """The only controller of a zone asks that a job be cancelled and never hears that it was;
    cut off with its zone it would have kept the job's tasks for three leases.
    """

    async def scenario(region: Region) -> None:
        await region.begin(machines=2)
        await region.submit("node-1", "wk-000001", sacks=2)
        await region.until(lambda: len(region.running("wk-000001")) > 0)
        await curio.sleep(4.0)
        region.reaches = lambda worker, label: label == "node-0"

        def fate(label: str, method: str, path: str) -> tuple[float, bool] | None:
            if (label, path) != ("node-0", "/txn"):
                return None
            region.cut("node-0")
            return 0.0, True

        region.fate = fate
        asking = await curio.spawn(region.cancel, "node-0", "wk-000001")
        await curio.sleep(2.0)
        await region.show("node-1", "wk-000001")
        assert region.checker.jobs["wk-000001"].cancelled is not None
        await curio.sleep(region.cancellation_deadline_s * 1.5)
        await asking.cancel()
        assert not region.running("wk-000001")

    simulate(scenario)


@pytest.mark.parametrize("at_once", [True, False])
@pytest.mark.parametrize("ends", [False, True])
def test_answers_lost_while_others_write_on(at_once: bool, ends: bool) -> None:
    """Every third transaction gets no answer, is carried out at once or seconds late, while
    users cancel and, in one variant, the owner's process is replaced.
    """

    async def scenario(region: Region) -> None:
        await region.begin(machines=3)
        lose_answers(3, region, 2.0, at_once, 30.0)
        traffic = await curio.spawn(single_task_jobs, region, 24, 0.7)
        if ends:
            await curio.sleep(8.0)
            await region.restart("node-0", 0.3)
        await traffic.join()
        await all_over(region)

    simulate(scenario)


def test_close_looks_after_a_submission_an_end_and_a_cancellation() -> None:
    """Right after something was told, no controller says anything older."""

    async def scenario(region: Region) -> None:
        await region.begin(machines=3)
        lose_answers(4, region, 2.0, True, 60.0)
        for n in range(9):
            job, label = f"wk-{200000 + n}", region.LABELS[n % 3]
            other = region.LABELS[(n + 1) % 3]
            async with curio.TaskGroup() as group:
                # a slow answer, a repeat elsewhere, and a cancellation in between
                await group.spawn(region.submit, label, job, 1.0)
                await curio.sleep(0.004 * (n % 4))
                await group.spawn(region.submit, other, job, 1.0)
                await region.until(partial(region.accepted, job))
                if n % 2:
                    await group.spawn(region.cancel, other, job)
                await region.look_everywhere(job, 6)
                await region.submit(other, job, 1.0)
        await curio.sleep(6.0)
        for job in region.checker.jobs:
            await region.look_everywhere(job)
            for label in region.LABELS:
                await region.submit(label, job, 1.0)
                await region.cancel(label, job)
        assert all(f.done or f.cancelled for f in region.checker.jobs.values())

    simulate(scenario)


def test_a_slow_answer_to_a_submission_says_what_others_told_meanwhile() -> None:
    """The job was durable, seen and cancelled elsewhere while the answer was held up: `queued`
    after `withdrawn`.
    """

    async def scenario(region: Region) -> None:
        await region.begin(machines=1)
        region.answer_s["node-1"] = 0.6
        async with curio.TaskGroup() as group:
            await group.spawn(region.submit, "node-1", "wk-000001")
            await curio.sleep(0.1)
            assert await region.show("node-2", "wk-000001") == 200
            assert await region.cancel("node-2", "wk-000001") == 200

    simulate(scenario)


@pytest.mark.parametrize("offset_s", [-0.3, -0.1, -0.02, 0.0, 0.02, 0.1, 0.4])
def test_a_cancellation_meets_the_end_of_the_last_task(offset_s: float) -> None:
    async def scenario(region: Region) -> None:
        await region.begin(machines=1)
        await region.submit("node-2", "wk-000001", run_s=5.0, sacks=1)
        await region.until(lambda: bool(region.running("wk-000001")))
        await curio.sleep(5.0 + offset_s)
        async with curio.TaskGroup() as group:
            await group.spawn(region.cancel, "node-1", "wk-000001")
            await group.spawn(region.look_everywhere, "wk-000001", 8)
            await group.spawn(region.submit, "node-2", "wk-000001", 5.0)
        await curio.sleep(4.0)
        await region.look_everywhere("wk-000001")
        facts = region.checker.jobs["wk-000001"]
        assert (facts.done is None) != (facts.cancelled is None)

    simulate(scenario)


def test_old_reports_reach_every_controller_as_a_new_owner_begins() -> None:
    """Copies from before, from an earlier session too, with the highest token ever seen."""

    async def scenario(region: Region) -> None:
        await region.begin(machines=2)
        await region.submit("node-1", "wk-000001", sacks=2)
        await region.submit("node-1", "wk-000002", run_s=4.0, sacks=2)
        await region.until(lambda: len(region.checker.jobs["wk-000002"].finished) == 2)
        worker = region.workers["n-0"]
        worker.hung = True
        await curio.sleep(region.worker_lease_s * 1.2)
        worker.hung = False
        await curio.sleep(4.0)
        old = [body for w in region.workers.values() for body in w.copies]
        await region.kill("node-0")
        for _ in range(60):
            await curio.sleep(0.25)
            for label in list(region.nodes):
                for body in old[::3]:
                    region.deliver(body, label)
        await region.until(lambda: len(region.running("wk-000001")) > 0, 40.0)
        await all_over_but_services(region)

    simulate(scenario)


def test_a_team_at_its_limit_whose_cancelled_tasks_are_not_proved_over() -> None:
    """Every machine of the team hangs or can't be reached, its jobs are cancelled and the owner
    ends: what comes next waits until the old tasks are proved over.
    """

    async def scenario(region: Region) -> None:
        await region.begin(machines=6)
        for n in range(4):
            await region.submit("node-1", f"wk-30000{n}", sacks=4)
        await region.until(lambda: len(region.checker.starts) == 16, 30.0)
        full = [w for w in region.workers.values() if w.tasks]
        full[0].hung = True
        full[1].deaf = True
        full[2].mute = True
        for n in range(4):
            assert await region.cancel_until_told("node-2", f"wk-30000{n}", 20.0)
        for n in range(4):
            await region.submit("node-2", f"wk-40000{n}", sacks=4)
        await region.kill("node-0")
        await curio.sleep(region.worker_lease_s * 0.6)
        full[0].hung = full[1].deaf = full[2].mute = False
        await region.start("node-0")
        await region.until(lambda: len(region.checker.starts) == 32, 90.0)

    simulate(scenario)


def test_jobs_are_cancelled_while_shards_change_hands() -> None:
    """Taken over, handed back, given up: some job is cancelled every quarter of a second."""

    async def scenario(region: Region) -> None:
        await region.begin(machines=4)
        for n in range(12):
            await region.submit("node-1", f"wk-{500000 + n}", sacks=1)
        await region.until(lambda: len(region.checker.starts) >= 12)
        await curio.sleep(region.worker_lease_s)
        changes = await curio.spawn(_change_hands, region)
        for n in range(12):
            assert await region.cancel_until_told("node-1", f"wk-{500000 + n}", 60.0)
            await curio.sleep(0.25)
        await changes.join()
        await curio.sleep(region.worker_lease_s * 2)
        assert not any(region.running(job) for job in region.checker.jobs)

    simulate(scenario)


async def _change_hands(region: Region) -> None:
    await region.restart("node-0", 1.0)
    await curio.sleep(1.0)
    await region.restart("node-2", 0.1)
    await curio.sleep(4.0)
    await region.restart("node-0", 8.0)


@pytest.mark.parametrize("outage", [False, True])
def test_ten_changes_of_leader_in_two_minutes(outage: bool) -> None:
    async def scenario(region: Region) -> None:
        await region.begin(machines=4)
        await region.submit("node-1", "wk-000001", sacks=2)
        traffic = await curio.spawn(single_task_jobs, region, 40, 2.5)
        for n in range(10):
            await curio.sleep(7.0)
            if outage and n in (3, 7):
                region.state.down = True
            await region.restart(region.owners().get(0, "node-0"), 0.2 if n % 2 else 4.0)
            region.state.down = False
        await traffic.join()
        await all_over_but_services(region)

    simulate(scenario)


@pytest.mark.parametrize("away_s", [0.3, 3.0, 25.0])
def test_all_controllers_end_and_one_returns_first(away_s: float) -> None:
    async def scenario(region: Region) -> None:
        await region.begin(machines=3)
        await region.submit("node-1", "wk-000001", sacks=2)
        await single_task_jobs(region, 6, 0.5)
        for label in list(region.LABELS):
            await region.kill(label)
        await curio.sleep(away_s)
        await region.start("node-1")
        await curio.sleep(5.0)
        await region.start("node-0")
        await region.start("node-2")
        await all_over_but_services(region)

    simulate(scenario)


@pytest.mark.parametrize("fault", ["deaf", "mute", "hung"])
def test_workers_that_hear_nothing_or_are_not_heard(fault: str) -> None:
    """A machine in trouble keeps no job waiting that another could take, and what was cancelled
    on it meanwhile is over in time.
    """

    async def scenario(region: Region) -> None:
        await region.begin(machines=2)
        await region.submit("node-1", "wk-000001", sacks=4, cards=1.0)
        await region.until(lambda: len(region.checker.starts) == 4)
        odd = region.workers["n-0"]
        setattr(odd, fault, True)
        assert await region.cancel_until_told("node-2", "wk-000001", 10.0)
        await region.submit("node-2", "wk-000002", run_s=4.0, sacks=6)
        await region.kill("node-0")
        await region.until(
            lambda: len(region.checker.jobs["wk-000002"].finished) == 6, 4 * region.worker_lease_s
        )
        setattr(odd, fault, False)
        await region.start("node-0")
        await all_over(region)

    simulate(scenario)


@pytest.mark.parametrize("hang_s", [2.0, 6.0, 12.0])
@pytest.mark.parametrize("cancelled", [False, True])
def test_a_command_is_held_up_and_the_machine_then_goes_on(hang_s: float, cancelled: bool) -> None:
    """A direct start reaches a machine that hangs; it is carried out when the machine goes on,
    after the job was cancelled, or its owner replaced, or the task given up.
    """

    async def scenario(region: Region) -> None:
        await region.begin(machines=2)
        await curio.sleep(4.0)
        for worker in region.workers.values():
            worker.hung = True
        await region.submit("node-1", "wk-000001", run_s=4.0, sacks=2)
        await region.until(lambda: any(w.held for w in region.workers.values()), 5.0)
        await curio.sleep(hang_s / 2)
        if cancelled:
            assert await region.cancel_until_told("node-2", "wk-000001", 5.0)
        else:
            await region.restart("node-0", 0.2)
        await curio.sleep(hang_s / 2)
        for worker in region.workers.values():
            worker.hung = False
        await all_over(region)
        await curio.sleep(5.0)
        assert not region.running("wk-000001")

    simulate(scenario)


def test_tasks_of_a_job_end_far_apart_across_changes_of_owner() -> None:
    """One after the other on one machine, an owner's end between each and the next."""

    async def scenario(region: Region) -> None:
        await region.begin(machines=1)
        await region.submit("node-1", "wk-000001", run_s=5.0, sacks=3, cards=4.0)
        for done in (1, 2, 3):
            await region.until(partial(region.finished, "wk-000001", done), 40.0)
            await region.look_everywhere("wk-000001")
            await region.restart(region.owners().get(0, "node-0"), 0.2 if done % 2 else 3.0)
        await all_over(region)
        assert len(region.checker.starts) == 3, "what is done is not done again"

    simulate(scenario)


def test_one_task_jobs_four_a_second() -> None:
    """Nothing grows with them for good, none starves, none is forgotten."""

    async def scenario(region: Region) -> None:
        await region.begin(machines=8)
        await single_task_jobs(region, 160, 0.25)
        await all_over(region, 60.0)
        await curio.sleep(20.0)
        owner = region.nodes[region.owners()[0]]
        assert not any(owner.cluster.jobs.ended[k] for k in range(3))
        assert not any(k.startswith(keys.PLAN) for k in region.state.keys)
        assert all(node.writer.backlog == 0 for node in region.nodes.values())

    simulate(scenario)


def test_a_leader_without_state_service_and_peers_while_others_cancel() -> None:
    """Workers and users still reach it: it answers nothing old, and keeps nothing too long."""

    async def scenario(region: Region) -> None:
        await region.begin(machines=2)
        await region.submit("node-1", "wk-000001", sacks=2)
        await region.until(lambda: len(region.running("wk-000001")) > 0)
        await curio.sleep(2.0)
        region.cut("node-0")
        region.reaches = lambda worker, label: label == "node-0"
        told = await region.cancel_until_told("node-1", "wk-000001", 60.0)
        assert told
        await region.look_everywhere("wk-000001")
        await curio.sleep(region.cancellation_deadline_s * 1.2)
        region.mend()
        await curio.sleep(5.0)
        await region.look_everywhere("wk-000001")

    simulate(scenario)


def test_a_refusal_of_one_meets_slow_answers_and_an_outage() -> None:
    """Users cancel and ask while the state service is slow, refuses the owner, and is out."""

    async def scenario(region: Region) -> None:
        await region.begin(machines=3)
        for n in range(6):
            await region.submit("node-1", f"wk-{600000 + n}", sacks=1)
        await region.until(lambda: len(region.checker.starts) >= 6)
        region.slow_s = 0.4
        cancels = await curio.spawn(_cancel_some, region)
        await curio.sleep(4.0)
        region.refused[region.owners()[0]] = every_request
        await curio.sleep(1.0)
        region.state.down = True
        await curio.sleep(region.cancellation_deadline_s * 1.2)
        region.state.down = False
        region.slow_s = 0.0
        region.mend()
        await cancels.join()
        await curio.sleep(region.worker_lease_s * 2)
        for job in region.checker.jobs:
            await region.look_everywhere(job, 2)

    simulate(scenario)


async def _cancel_some(region: Region) -> None:
    for n in range(6):
        await region.cancel_until_told(f"node-{n % 3}", f"wk-{600000 + n}", 70.0)
        await region.look_everywhere(f"wk-{600000 + n}", 3)


def test_jobs_that_can_not_run_or_lack_a_field_are_never_accepted() -> None:
    """Under trouble too; and a repeat of an accepted job gets neither 400 nor 422."""

    async def scenario(region: Region) -> None:
        await region.begin(machines=1)
        odd: list[dict[str, Any]] = [
            {"cpus": 500.0},
            {"crew": "nobody"},
            {"frames": ["no-such"]},
            {"cards": 4.0, "sacks": 5},
            {"frames": ["c16"], "cards": 0.0, "yard": "south"},
            {"yard": "nowhere"},
            {"cpus": None},
            {"sacks": 0},
        ]
        await region.submit("node-1", "wk-000001", run_s=2.0)
        for down in (False, True):
            region.state.down = down
            for n, fields in enumerate(odd):
                status = await region.submit("node-2", f"wk-70000{n}", **fields)
                assert status in ((503,) if down else (400, 422)), fields
                assert await region.submit("node-2", "wk-000001", run_s=2.0, **fields) in (
                    (200, 503) if down else (200,)
                )
        region.state.down = False

    simulate(scenario)


def test_new_machines_up_at_once_while_writes_lag_and_the_leader_ends() -> None:
    """Rented and up within two seconds, before their records: workers without a record, records
    written late, and the next leader renting again.
    """

    async def scenario(region: Region) -> None:
        await region.begin(machines=0)
        await region.lead_everywhere()
        lose_answers(2, region, 2.0, False, 25.0)
        for n in range(4):
            await region.submit("node-1", f"wk-{800000 + n}", run_s=6.0, sacks=4)
        await region.until(lambda: len(region.workers) > 0, 40.0)
        await curio.sleep(0.7)
        await region.restart(region.leader() or "node-0", 0.4)
        await curio.sleep(6.0)
        await region.restart(region.leader() or "node-0", 3.0)
        await all_over(region, 150.0)

    simulate(scenario)


@pytest.mark.parametrize("mode", ["cancel", "answer lost"])
def test_a_zone_with_workers_and_a_controller_is_cut_off_for_longer_than_a_lease(mode: str) -> None:
    """Jobs bound to the zone, arrays too, lose machines at the same time."""

    async def scenario(region: Region) -> None:
        await region.begin(machines=3)
        for n in range(2):
            await region.add_worker(f"s-{n}", "south")
        await region.submit("node-1", "wk-000001", sacks=2, yard="north")
        await region.submit("node-1", "wk-000002", run_s=20.0, sacks=4, yard="north")
        await region.submit("node-1", "wk-000003", run_s=20.0, sacks=2, yard="south")
        await region.until(lambda: len(region.checker.starts) == 8)
        await curio.sleep(4.0)
        south = ("node-1", "node-2")
        region.reaches = lambda worker, label: (
            label in region.nodes and (label in south) == (worker.zone == "south")
        )
        if mode == "answer lost":
            region.fate = lambda label, method, path: (0.5, True) if path == "/txn" else None
        region.cut("node-0")
        region.workers["n-2"].hung = True
        asks = await curio.spawn(region.cancel_until_told, "node-1", "wk-000001", 120.0)
        await curio.sleep(3.0)
        region.fate = lambda *_: None
        await curio.sleep(region.worker_lease_s * 2.2)
        region.mend()
        region.reaches = lambda worker, label: label in region.nodes
        region.workers["n-2"].hung = False
        assert await asks.join()
        await all_over(region, 120.0)

    simulate(scenario)


@pytest.mark.parametrize("seed_n", [0, 1, 131, 148, 177, 2060])
def test_troubles_drawn_by_lot(seed_n: int) -> None:
    """Whatever meets whatever: the lots are drawn from a fixed seed, so each story is the same
    on every machine.
    """

    async def scenario(region: Region) -> None:
        rng = random.Random(seed_n)
        await region.begin(machines=4)
        await region.add_worker("s-0", "south")
        await region.submit("node-1", "wk-000001", sacks=2)
        traffic = await curio.spawn(single_task_jobs, region, 60, 1.2)
        for _ in range(9):
            await curio.sleep(rng.uniform(1.0, 8.0))
            await inject_random_fault(region, rng)
        heal(region)
        await traffic.join()
        await all_over_but_services(region)

    simulate(scenario)


@pytest.mark.parametrize("lot", range(4))
def test_replicas_at_the_limit_meet_troubles_drawn_by_lot(lot: int) -> None:
    """A team at its limit, work that makes room for other work, bursts of cancellations, zones
    cut off and all controllers ended: drawn from a fixed seed as above.
    """

    async def scenario(region: Region) -> None:
        rng = random.Random(1000 + lot)
        await region.begin(machines=5)
        for n in range(2):
            await region.add_worker(f"s-{n}", "south")
        users = await curio.spawn(_replicas, region, random.Random(lot))
        for _ in range(8):
            await curio.sleep(rng.uniform(2.0, 9.0))
            kind = rng.choice(["zone", "all", "other", "other", "heal"])
            if kind == "zone":
                north = rng.choice([True, False])
                for label in ("node-0",) if north else ("node-1", "node-2"):
                    region.cut(label)
                region.reaches = lambda worker, label: (
                    label in region.nodes and (label == "node-0") == (worker.zone == "north")
                )
            elif kind == "all":
                labels = list(region.nodes)
                for label in labels:
                    await region.kill(label)
                await curio.sleep(rng.choice([0.2, 2.0, 14.0]))
                for label in labels:
                    await region.start(label)
                    await curio.sleep(rng.choice([0.1, 1.5]))
            elif kind == "heal":
                heal(region)
            else:
                await inject_random_fault(region, rng)
        heal(region)
        await users.join()
        await all_over_but_services(region)

    simulate(scenario)


async def _replicas(region: Region, rng: random.Random) -> None:
    async def submit(job: str, at: str, fields: dict[str, Any]) -> None:
        for n in range(90):
            labels = list(region.nodes) or [at]
            label = labels[n % len(labels)]
            if label in region.nodes and await region.submit(label, job, **fields) in (200, 201):
                return
            await curio.sleep(1.0)

    async def cancel(job: str, at: str) -> None:
        for n in range(150):
            labels = list(region.nodes) or [at]
            label = labels[n % len(labels)]
            if label in region.nodes and await region.cancel(label, job) == 200:
                return
            await curio.sleep(0.7)

    async with curio.TaskGroup() as group:
        for n in range(26):
            job, at = f"wk-{900000 + n}", rng.choice(region.LABELS)
            fields: dict[str, Any] = {
                "sacks": rng.choice([1, 2, 3]),
                "cards": rng.choice([1.0, 2.0]),
                "crew": rng.choice(["red", "red", "blue"]),
                "precedence": rng.choice(["production", "standard", "idle"]),
                "run_s": rng.choice([None, 4.0, 12.0]),
                "yard": rng.choice([None, None, "north"]),
            }
            await submit(job, at, fields)
            if rng.random() < 0.6:
                await curio.sleep(rng.uniform(0.0, 3.0))
                gone = f"wk-{900000 + rng.randint(max(0, n - 4), n)}"
                await group.spawn(cancel, gone, at)
            await curio.sleep(rng.uniform(0.0, 2.5))
