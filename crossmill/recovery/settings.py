"""The settings of recovery, read from the recovery file (see deploy/recovery.toml)."""

from dataclasses import dataclass
from typing import Any

from ..settings import Settings, SettingsError
from ..settings.loader import read_toml
from ..settings.table import Table

# the fields of the file's `recovery` table
FIELDS = (
    "orders_per_s",
    "orders_per_worker",
    "observe_reports",
    "brake_share",
    "brake_least",
    "first_batch",
    "approval_s",
    "kept_records",
    "dry_run",
)


@dataclass(frozen=True, slots=True)
class RecoverySettings:
    """The validated settings of recovery, and the limits of one shard derived from them."""

    # the rate limit of the whole region, in orders per second
    orders_per_s: float
    # the maximum number of orders to one worker within the duration of a worker lease
    orders_per_worker: float
    # the time for which a shard waits for its machines to report, in heartbeat intervals
    observe_reports: float
    # the share of the known tasks or machines that may be affected without an approval
    brake_share: float
    # the number of tasks or machines up to which an action is never a mass action
    brake_least: int
    # the number of machines in the first batch; each further batch is twice as large
    first_batch: int
    # the validity of an operator's approval, in seconds
    approval_s: float
    # the number of recovery records kept for each shard
    kept_records: int
    # whether recovery delays nothing, and only counts the orders that it would have delayed
    dry_run: bool
    controller_count: int
    heartbeat_interval_s: float
    worker_lease_s: float

    @property
    def shard_orders_per_s(self) -> float:
        """A shard's share of the region's rate limit, in orders per second.

        There are as many shards as controllers, and a shard has one owner at a time. So the shares
        never add up to more than the region's limit, however many controllers stop or restart.
        """
        return self.orders_per_s / self.controller_count

    @property
    def shard_burst(self) -> float:
        """The maximum burst of a shard's orders: its share of one heartbeat interval."""
        return max(1.0, self.shard_orders_per_s * self.heartbeat_interval_s)

    @property
    def worker_orders_per_s(self) -> float:
        """A worker's rate limit, in orders per second."""
        return self.orders_per_worker / self.worker_lease_s

    @property
    def observe_s(self) -> float:
        """The time in seconds for which a shard waits for its machines to report."""
        return self.observe_reports * self.heartbeat_interval_s

    @property
    def batch_timeout_s(self) -> float:
        """The time in seconds after which an unresolved batch is postponed."""
        return self.worker_lease_s

    @property
    def step_interval_s(self) -> float:
        """The time in seconds between a recovery's steps, and so between its reads of the state."""
        return self.heartbeat_interval_s / 2


def parse(data: dict[str, Any], settings: Settings) -> RecoverySettings:
    """Check the parsed file; raise SettingsError with the name of the invalid field."""
    Table(data, "").expect_only("recovery")
    table = Table(data, "").table("recovery")
    table.expect_only(*FIELDS)
    share = table.number("brake_share", 0, 0.2)
    if share > 1:
        raise SettingsError("recovery.brake_share: a number from 0 to 1 is needed")
    return RecoverySettings(
        # each order leads to a write, so a rate above the write limit has no effect
        orders_per_s=table.number("orders_per_s", 0.1, settings.lowest_state_limits.write_rps),
        orders_per_worker=table.number("orders_per_worker", 1, 8.0),
        observe_reports=table.number("observe_reports", 1, 2.0),
        brake_share=share,
        brake_least=int(table.number("brake_least", 1, 5.0)),
        first_batch=int(table.number("first_batch", 1, 1.0)),
        approval_s=table.number("approval_s", 1, 60 * settings.worker_lease_s),
        kept_records=int(table.number("kept_records", 1, 8.0)),
        dry_run=table.flag("dry_run", False),
        controller_count=settings.controller_count,
        heartbeat_interval_s=settings.heartbeat_interval_s,
        worker_lease_s=settings.worker_lease_s,
    )


def load(path: str, settings: Settings) -> RecoverySettings:
    """Read and check the recovery file; raise SettingsError if it is invalid."""
    return parse(read_toml(path), settings)
