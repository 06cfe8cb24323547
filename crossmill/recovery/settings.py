"""The recovery file (see deploy/recovery.toml), checked, and what is derived from it."""

from dataclasses import dataclass
from typing import Any

from ..settings import Settings, SettingsError
from ..settings.loader import read_toml
from ..settings.table import Table

# the fields of the file's table
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
    """The checked settings of recovery, with what follows from them for one shard."""

    # orders a second that recovery may give in the whole region
    orders_per_s: float
    # orders that recovery may give one worker within the workers' lease
    orders_per_worker: float
    # report intervals that a shard waits for its machines
    observe_reports: float
    # the part of the tasks or machines known that recovery may touch without an approval
    brake_share: float
    # so few are never a mass action
    brake_least: int
    # machines settled in the first batch; each further one is twice as large
    first_batch: int
    # how long an operator's approval holds
    approval_s: float
    # how many records of recoveries are kept for each shard
    kept_records: int
    # whether all is let through, and only noted what would have been held back
    dry_run: bool
    nodes: int
    heartbeat_interval_s: float
    worker_lease_s: float

    @property
    def shard_orders_per_s(self) -> float:
        """A shard's part of the region's rate. It goes with the shard, which has one owner at a
        time: however many controllers end or return, the parts never add up to more.
        """
        return self.orders_per_s / self.nodes

    @property
    def shard_burst(self) -> float:
        """Orders that a shard may give at once: what it may give in a report interval."""
        return max(1.0, self.shard_orders_per_s * self.heartbeat_interval_s)

    @property
    def worker_orders_per_s(self) -> float:
        """How fast a worker's part is filled again."""
        return self.orders_per_worker / self.worker_lease_s

    @property
    def observe_s(self) -> float:
        """A shard is observed for at most this long."""
        return self.observe_reports * self.heartbeat_interval_s

    @property
    def batch_s(self) -> float:
        """A batch that is not settled by then is given up, and the next is small again."""
        return self.worker_lease_s

    @property
    def read_s(self) -> float:
        """How often the state service is read for attempts that it has not shown."""
        return self.heartbeat_interval_s / 2


def parse(data: dict[str, Any], settings: Settings) -> RecoverySettings:
    """Reads the table; raises SettingsError with the name of the field that is wrong."""
    Table(data, "").expect_only("recovery")
    table = Table(data, "").table("recovery")
    table.expect_only(*FIELDS)
    share = table.number("brake_share", 0, 0.2)
    if share > 1:
        raise SettingsError("recovery.brake_share: a number from 0 to 1 is needed")
    return RecoverySettings(
        # what an order leads to is written: faster than that nothing is gained
        orders_per_s=table.number("orders_per_s", 0.1, settings.lowest_state_limits.write_rps),
        orders_per_worker=table.number("orders_per_worker", 1, 8.0),
        observe_reports=table.number("observe_reports", 1, 2.0),
        brake_share=share,
        brake_least=int(table.number("brake_least", 1, 5.0)),
        first_batch=int(table.number("first_batch", 1, 1.0)),
        approval_s=table.number("approval_s", 1, 60 * settings.worker_lease_s),
        kept_records=int(table.number("kept_records", 1, 8.0)),
        dry_run=table.flag("dry_run", False),
        nodes=settings.controller_count,
        heartbeat_interval_s=settings.heartbeat_interval_s,
        worker_lease_s=settings.worker_lease_s,
    )


def load(path: str, settings: Settings) -> RecoverySettings:
    """Reads and checks the file; raises SettingsError."""
    return parse(read_toml(path), settings)
