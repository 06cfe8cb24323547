"""The limits of the state service: request rates, and sizes of values and transactions.

`StateLimits` is part of the settings; the writer and the plan encoding read it.
"""

from typing import NamedTuple

# the longest encoding of one planned task in a legacy chunk and in a segment, and the share of a
# value that a plan may fill
PLAN_ROW_BYTES = 48
SEGMENT_ROW_BYTES = 32
PLAN_VALUE_SHARE = 0.75
LEAST_CHUNK_TASKS = 16
# PROTOCOL: a transaction takes this many conditions for each of its changes
CONDITIONS_PER_CHANGE = 4
# conditions of a plan's write beside its machines: shard, plan, job, feature level, peers' keys
OTHER_CONDITIONS = 8


class StateLimits(NamedTuple):
    """The state service's limits at one time.

    Attributes:
        rps: Requests per second of all controllers together.
        write_rps: Changes per second of all controllers together.
        value_bytes: The size of a value.
        txn_ops: The puts and deletes of a transaction.
    """

    rps: float
    write_rps: float
    value_bytes: int
    txn_ops: int

    def least(self, other: "StateLimits") -> "StateLimits":
        """Return the lower of each limit, so that both sets hold."""
        return StateLimits(
            min(self.rps, other.rps),
            min(self.write_rps, other.write_rps),
            min(self.value_bytes, other.value_bytes),
            min(self.txn_ops, other.txn_ops),
        )

    @property
    def conditions(self) -> int:
        """How many conditions a transaction may have."""
        return CONDITIONS_PER_CHANGE * self.txn_ops

    @property
    def machines_per_txn(self) -> int:
        """How many machines' records the write of a plan may have as conditions."""
        return max(1, self.conditions - OTHER_CONDITIONS)

    @property
    def chunk_tasks(self) -> int:
        """How many tasks of a job's plan fit into one legacy chunk."""
        return max(LEAST_CHUNK_TASKS, int(self.value_bytes * PLAN_VALUE_SHARE / PLAN_ROW_BYTES))

    @property
    def segment_tasks(self) -> int:
        """How many tasks fit into a segment, which plans use from a raised feature level on."""
        tasks = int(self.value_bytes * PLAN_VALUE_SHARE / SEGMENT_ROW_BYTES)
        return max(LEAST_CHUNK_TASKS, tasks)

    @property
    def record_bytes(self) -> int:
        """The largest job record in bytes; the state service may encode JSON with more bytes."""
        return int(self.value_bytes * PLAN_VALUE_SHARE)
