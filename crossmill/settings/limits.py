"""What the state service takes: rates, and the sizes of values and transactions."""

from dataclasses import dataclass

# the longest encoding of one planned task, as legacy chunks and as segments count it, and the
# part of a value that plans may fill
PLAN_ROW_BYTES = 48
SEGMENT_ROW_BYTES = 32
PLAN_VALUE_SHARE = 0.75
LEAST_CHUNK_TASKS = 16
# PROTOCOL: a transaction takes this many conditions for each of its changes
CONDITIONS_PER_CHANGE = 4
# conditions of a plan's write other than its machines: shard, plan, job, level, peers' keys
OTHER_CONDITIONS = 8


@dataclass(frozen=True, slots=True)
class StateLimits:
    """One set of the state service's limits."""

    rps: float
    write_rps: float
    value_bytes: int
    txn_ops: int

    def least(self, other: "StateLimits") -> "StateLimits":
        """Limits that hold under both sets."""
        return StateLimits(
            min(self.rps, other.rps),
            min(self.write_rps, other.write_rps),
            min(self.value_bytes, other.value_bytes),
            min(self.txn_ops, other.txn_ops),
        )

    @property
    def conditions(self) -> int:
        """How many conditions a transaction takes."""
        return CONDITIONS_PER_CHANGE * self.txn_ops

    @property
    def machines_per_txn(self) -> int:
        """How many machines' records one plan write may rest on."""
        return max(1, self.conditions - OTHER_CONDITIONS)

    @property
    def chunk_tasks(self) -> int:
        """How many tasks of a job's plan fit into one value."""
        return max(LEAST_CHUNK_TASKS, int(self.value_bytes * PLAN_VALUE_SHARE / PLAN_ROW_BYTES))

    @property
    def segment_tasks(self) -> int:
        """The size of a segment, once the feature level is raised."""
        tasks = int(self.value_bytes * PLAN_VALUE_SHARE / SEGMENT_ROW_BYTES)
        return max(LEAST_CHUNK_TASKS, tasks)

    @property
    def record_bytes(self) -> int:
        """The largest job record that is written: the state service may write JSON wider."""
        return int(self.value_bytes * PLAN_VALUE_SHARE)
