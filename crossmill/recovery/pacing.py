"""Limits on the speed of recovery: rate limits, and batches of growing size."""

from collections.abc import Container, Sequence

from ..net.clock import Clock
from ..net.token_bucket import TokenBucket
from .settings import RecoverySettings


class OrderRateLimiter:
    """The rate limits on recovery's orders: one for the shard, and one for each worker."""

    def __init__(self, clock: Clock, settings: RecoverySettings) -> None:
        self._clock = clock
        self._settings = settings
        self._shard = TokenBucket(clock, settings.shard_orders_per_s, settings.shard_burst)
        # a new owner starts without a burst: see `RecoverySettings.shard_orders_per_s`
        self._shard.drain()
        self._workers: dict[str, TokenBucket] = {}

    def try_take_for_shard(self) -> bool:
        """Charge an order to the shard's limit; return False if it exceeds the limit."""
        return self._shard.try_take()

    def try_take_for_worker(self, machine_id: str) -> bool:
        """Charge an order to the shard's and the worker's limit; return False if it exceeds one."""
        worker = self._worker(machine_id)
        return worker.available() >= 1 and self._shard.try_take() and worker.try_take()

    def _worker(self, machine_id: str) -> TokenBucket:
        bucket = self._workers.get(machine_id)
        if bucket is None:
            settings = self._settings
            bucket = TokenBucket(
                self._clock, settings.worker_orders_per_s, settings.orders_per_worker
            )
            self._workers[machine_id] = bucket
        return bucket


class MachineBatches:
    """Divides the machines with differences into batches, each twice as large as the one before.

    The machines of a batch that are not resolved before the timeout are postponed until all other
    machines have been in a batch, and the next batch has the initial size again. So a systematic
    fault shows on few machines before it affects many.
    """

    def __init__(self, clock: Clock, initial_size: int, timeout_s: float) -> None:
        self._clock = clock
        self._initial_size = initial_size
        self._timeout_s = timeout_s
        self._size = initial_size
        self._started_at = clock.now()
        self._postponed: set[str] = set()
        self._started_count = 0
        # the machines of the current batch
        self.current_batch: set[str] = set()

    def is_next_due(self, unresolved_machines: Container[str]) -> bool:
        """Return whether the next batch may start: the current one is resolved or timed out."""
        return self._has_timed_out() or not any(
            machine in unresolved_machines for machine in self.current_batch
        )

    def _has_timed_out(self) -> bool:
        return self._clock.now() - self._started_at > self._timeout_s

    def start_next(self, unresolved_machines: Sequence[str]) -> None:
        """Start the next batch from the machines with differences, the most urgent first."""
        timed_out = self.current_batch & set(unresolved_machines)
        if timed_out:
            self._postponed |= timed_out
            self._size = self._initial_size
        elif self._started_count:
            self._size *= 2
        candidates = [machine for machine in unresolved_machines if machine not in self._postponed]
        if not candidates:
            # only postponed machines are left: they may be in a batch again
            self._postponed.clear()
            candidates = list(unresolved_machines)
        self.current_batch = set(candidates[: self._size])
        if self.current_batch:
            self._started_count += 1
            self._started_at = self._clock.now()


def count_batches(machine_count: int, initial_size: int) -> int:
    """Return the number of batches for the machines if no batch times out."""
    batches, size = 0, initial_size
    while machine_count > 0:
        machine_count -= size
        batches, size = batches + 1, 2 * size
    return batches
