"""Incremental updates of `ClusterState` agree with a state read from scratch.

Usage per machine, task counts, job indexes and dependencies are compared after random writes. Each
write reaches the mirror in a random way: through the watch, before the watch as an own write or a
single read, or through a full read after a compaction.
"""

import random
from typing import Any

import curio
import orjson
import pytest

from crossmill.cluster import keys
from crossmill.cluster.cluster_state import ClusterState
from crossmill.cluster.model import ACTIVE, CANCELLED, DONE, Job, Level
from crossmill.cluster.records import encode_archived, encode_end, encode_job, encode_level
from crossmill.state.client import StateClient
from crossmill.state.mirror import Mirror
from crossmill.state.watcher import StateWatcher
from crossmill.wire.state import KeyValue

from .builders import make_settings, make_spec
from .fake_clock import FakeClock
from .fake_state_service import StateService
from .stepped_controller import RECORD_BYTES

STEPS = 400
SEGMENT = 4
TASKS = 8


class RandomWriter:
    """Makes random writes that the transaction conditions of real controllers allow."""

    def __init__(self, state: StateService, rng: random.Random) -> None:
        self.state = state
        self.rng = rng
        self.numbers = iter(range(10_000))
        self.dependencies: dict[str, list[str]] = {}

    def _records(self) -> dict[str, Any]:
        return {
            name[len(keys.JOB) :]: value
            for name, (value, _, _) in self.state.keys.items()
            if name.startswith(keys.JOB)
        }

    def _unfinished(self) -> list[str]:
        return [job for job, record in self._records().items() if not record["end"]]

    def _plans(self, job: str) -> list[str]:
        return [name for name in self.state.keys if name.startswith(keys.PLAN + job + "/")]

    def _machines(self) -> list[str]:
        return [
            name[len(keys.MACHINE) :] for name in self.state.keys if name.startswith(keys.MACHINE)
        ]

    def step(self) -> None:
        """Make one randomly chosen write, if it is currently possible."""
        self.rng.choice(
            [
                self.accept,
                self.plan,
                self.plan,
                self.end,
                self.delete_plans,
                self.archive,
                self.machine,
            ]
        )()

    def accept(self) -> None:
        """Accept a job with up to two dependencies."""
        job, unfinished = f"wk-{next(self.numbers):06d}", self._unfinished()
        dependencies = self.rng.sample(
            unfinished, min(len(unfinished), self.rng.choice([0, 0, 1, 2]))
        )
        spec = make_spec(nameId=job, sacks=TASKS, crew=self.rng.choice(["red", "blue", "green"]))
        self.dependencies[job] = dependencies
        record = encode_job(spec, 1.0, tuple(dependencies))
        self.state.put(keys.job(job), orjson.loads(orjson.dumps(record)))

    def _is_ready(self, job: str) -> bool:
        records = self._records()
        return all(n not in records or records[n]["end"] == DONE for n in self.dependencies[job])

    def plan(self) -> None:
        """Rewrite one segment of a ready job's plan."""
        ready = [job for job in self._unfinished() if self._is_ready(job)]
        machines = self._machines()
        if not ready or not machines:
            return
        job, first = self.rng.choice(ready), self.rng.choice(range(0, TASKS, SEGMENT))
        name = keys.plan(job, f"{first}-{SEGMENT}")
        old = self.state.keys[name][0] if name in self.state.keys else {"next": 1, "done": "0"}
        done = int(old["done"], 16) | self.rng.getrandbits(SEGMENT) & self.rng.getrandbits(SEGMENT)
        rows = [
            [first + i, old["next"] + i, self.rng.choice(machines), 1]
            for i in range(SEGMENT)
            if not done >> i & 1 and self.rng.random() < 0.5
        ]
        self.state.put(name, {"next": old["next"] + SEGMENT, "done": f"{done:x}", "rows": rows})

    def end(self) -> None:
        """End a ready job as done or cancelled."""
        ready = [job for job in self._unfinished() if self._is_ready(job)]
        if not ready:
            return
        job, end = self.rng.choice(ready), self.rng.choice([DONE, CANCELLED])
        spec = make_spec(nameId=job, sacks=TASKS, crew=self._records()[job]["spec"]["team"])
        if end == DONE:
            for name in self._plans(job):
                self.state.put(name, {"next": 9, "done": "f", "rows": []})
        record = encode_end(end, spec, 2.0, RECORD_BYTES)
        self.state.put(keys.job(job), orjson.loads(orjson.dumps(record)))
        if end == CANCELLED:
            self._record_cancelled_dependents(job)

    def _record_cancelled_dependents(self, job: str) -> None:
        for other in self._unfinished():
            if job in self.dependencies[other]:
                spec = make_spec(nameId=other, sacks=TASKS)
                record = encode_end(CANCELLED, spec, 2.0, RECORD_BYTES)
                record["spec"]["team"] = self._records()[other]["spec"]["team"]
                self.state.put(keys.job(other), orjson.loads(orjson.dumps(record)))
                self._record_cancelled_dependents(other)

    def _ended(self) -> list[str]:
        return [job for job, record in self._records().items() if record["end"]]

    def delete_plans(self) -> None:
        """Delete some plans of ended jobs."""
        for job in self._ended():
            for name in self._plans(job):
                if self.rng.random() < 0.5:
                    self.state.delete(name)

    def archive(self) -> None:
        """Archive some ended jobs that have no plan and no unfinished dependents."""
        for job in self._ended():
            has_dependents = any(job in self.dependencies[other] for other in self._unfinished())
            if not self._plans(job) and not has_dependents and self.rng.random() < 0.5:
                self.state.put(keys.archived(job), encode_archived(Job(job, end=DONE)))
                self.state.delete(keys.job(job))

    def machine(self) -> None:
        """Delete an idle machine, or add or change a machine."""
        machines = self._machines()
        used = {
            row[2]
            for name, (value, _, _) in self.state.keys.items()
            if name.startswith(keys.PLAN)
            for row in value["rows"]
        }
        idle = [machine for machine in machines if machine not in used]
        if len(machines) > 4 and idle and self.rng.random() < 0.5:
            self.state.delete(keys.machine(self.rng.choice(idle)))
            return
        record = {"type": "g4", "zone": "north", "spot": False, "at": 1.0, "retiring": ""}
        shard = self.rng.randrange(3)
        name = self.rng.choice([*machines, f"n-{next(self.numbers):06d}"])
        self.state.put(keys.machine(name), {**record, "shard": shard, "up": True})


def _derived(cluster: ClusterState) -> dict[str, Any]:
    """Return all derived state in a comparable form."""
    jobs = {
        job.id: (
            job.end,
            job.recorded_end,
            sorted(job.unmet_dependencies) if job.end == ACTIVE else [],
            job.done_tasks,
            job.planned_tasks,
            job.shard,
            job.waiting_task_count(),
            sorted((attempt.index, attempt.number, attempt.machine) for attempt in job.attempts()),
        )
        for job in cluster.jobs.values()
    }
    machines = {
        m.id: (m.shard, round(m.used_cpus, 6), round(m.used_gpus, 6), sorted(m.attempts))
        for m in cluster.machines.values()
    }
    indexes = {
        name: {shard: sorted(found) for shard, found in index.items()}
        for name, index in (
            ("active", cluster.jobs.active),
            ("ended", cluster.jobs.ended),
            ("archivable", cluster.jobs.archivable),
            ("unrecorded_cancellations", cluster.jobs.unrecorded_cancellations),
            ("all_tasks_done", cluster.jobs.all_tasks_done),
            ("by_shard", cluster.machines.by_shard),
        )
    }
    orphans = sorted(
        (attempt.job, attempt.index) for attempt in cluster.machines.orphaned_attempts()
    )
    return {"jobs": jobs, "machines": machines, "orphans": orphans, **indexes}


@pytest.mark.parametrize("seed", range(12))
def test_incremental_updates_agree_with_a_state_read_from_scratch(seed: int) -> None:
    async def scenario() -> None:
        rng = random.Random(seed)
        state, clock, settings = StateService(), FakeClock(), make_settings()
        state.page_items = 7
        state.put(keys.LEVEL, encode_level(Level(1, 512, SEGMENT)))
        client = StateClient(settings, clock, state)

        async def load_mirror() -> tuple[Mirror, ClusterState, StateWatcher]:
            mirror = Mirror()
            cluster = ClusterState(mirror, settings)
            watcher = StateWatcher(client, mirror, clock, keys.ROOT, settings)
            await watcher.load()
            return mirror, cluster, watcher

        mirror, cluster, watcher = await load_mirror()
        writer = RandomWriter(state, rng)
        for _ in range(STEPS):
            before = state.revision
            writer.step()
            kind = rng.random()
            if kind < 0.3:
                _apply_some_changes_early(state, mirror, rng, before)
            elif kind < 0.34:
                state.compact()
            if kind < 0.6:
                continue
            await watcher.step(0.0)
            _, reloaded, _ = await load_mirror()
            assert _derived(cluster) == _derived(reloaded)

    curio.run(scenario)


def _apply_some_changes_early(
    state: StateService, mirror: Mirror, rng: random.Random, after: int
) -> None:
    """Apply some changes before the watch does, as own writes or as single reads."""
    for name, (value, version, _) in list(state.keys.items()):
        if version > after and name.startswith(keys.ROOT) and rng.random() < 0.5:
            if rng.random() < 0.5:
                mirror.apply_write(name, value, version)
            else:
                mirror.merge_read(KeyValue(name, value, version))
