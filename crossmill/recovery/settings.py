"""Reads and checks the recovery file (see deploy/recovery.toml), and derives values from it."""

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
    """The checked settings of recovery, and the limits of one shard that follow from them."""

    # orders per second that recovery may send in the whole region
    orders_per_s: float
    # orders that recovery may send to one worker within the workers' lease
    orders_per_worker: float
    # heartbeat intervals for which a shard waits for its machines to report
    observe_reports: float
    # the share of the known tasks or machines that recovery may affect without an approval
    brake_share: float
    # so few tasks or machines are never a mass action
    brake_least: int
    # machines in the first batch; each further batch is twice as large
    first_batch: int
    # seconds for which an operator's approval is valid
    approval_s: float
    # records of recoveries that are kept for each shard
    kept_records: int
    # whether nothing is withheld, and what would have been is only counted
    dry_run: bool
    controller_count: int
    heartbeat_interval_s: float
    worker_lease_s: float

    @property
    def shard_orders_per_s(self) -> float:
        """A shard's share of the region's rate, in orders per second.

        The share belongs to the shard, which has one owner at a time. So the shares never add up to
        more than the region's rate, however many controllers end or return.
        """
        return self.orders_per_s / self.controller_count

    @property
    def shard_burst(self) -> float:
        """Orders that a shard may send at once: its share of one heartbeat interval."""
        return max(1.0, self.shard_orders_per_s * self.heartbeat_interval_s)

    @property
    def worker_orders_per_s(self) -> float:
        """A worker's rate limit, in orders per second."""
        return self.orders_per_worker / self.worker_lease_s

    @property
    def observe_s(self) -> float:
        """Seconds for which a shard waits for its machines to report."""
        return self.observe_reports * self.heartbeat_interval_s

    @property
    def batch_timeout_s(self) -> float:
        """Seconds after which a batch that is not resolved is postponed."""
        return self.worker_lease_s

    @property
    def step_interval_s(self) -> float:
        """Seconds between steps of a recovery, and so between reads of the state service."""
        return self.heartbeat_interval_s / 2


def parse(data: dict[str, Any], settings: Settings) -> RecoverySettings:
    """Checks the parsed file; raises SettingsError with the name of the invalid field."""
    Table(data, "").expect_only("recovery")
    table = Table(data, "").table("recovery")
    table.expect_only(*FIELDS)
    share = table.number("brake_share", 0, 0.2)
    if share > 1:
        raise SettingsError("recovery.brake_share: a number from 0 to 1 is needed")
    return RecoverySettings(
        # each order leads to a write, so a rate above the write limit gains nothing
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
    """Reads and checks the recovery file; raises SettingsError."""
    return parse(read_toml(path), settings)
