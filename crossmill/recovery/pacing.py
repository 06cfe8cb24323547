"""How fast differences are resolved: rate limits and batches of growing size."""

from collections.abc import Container, Sequence

from ..net.clock import Clock
from ..net.token_bucket import TokenBucket
from .settings import RecoverySettings


class OrderRateLimiter:
    """The rate limits on recovery's orders: one of the shard, and one of each worker."""

    def __init__(self, clock: Clock, settings: RecoverySettings) -> None:
        self._clock = clock
        self._settings = settings
        self._shard = TokenBucket(clock, settings.shard_orders_per_s, settings.shard_burst)
        # a new owner starts without a burst: see `RecoverySettings.shard_orders_per_s`
        self._shard.drain()
        self._workers: dict[str, TokenBucket] = {}

    def take_for_shard(self) -> bool:
        """Takes a token of the shard's limit; False if there is none."""
        return self._shard.try_take()

    def take_for_worker(self, machine_id: str) -> bool:
        """Takes a token of the shard's limit and of the worker's; False if either has none."""
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
    """Admits machines in batches, each twice as large as the one before.

    A batch that is not resolved in time is postponed until all other machines have had their turn,
    and the next batch has the initial size again. So a systematic mistake shows on few machines
    before many are affected.
    """

    def __init__(self, clock: Clock, initial_size: int, timeout_s: float) -> None:
        self._clock = clock
        self._initial_size = initial_size
        self._timeout_s = timeout_s
        self._size = initial_size
        self._begun_at = clock.now()
        self._postponed: set[str] = set()
        self._begun_count = 0
        # the machines of the present batch
        self.admitted: set[str] = set()

    def is_next_due(self, differing: Container[str]) -> bool:
        """Whether the next batch may begin: the present one is resolved or has timed out."""
        return self._has_timed_out() or not any(machine in differing for machine in self.admitted)

    def _has_timed_out(self) -> bool:
        return self._clock.now() - self._begun_at > self._timeout_s

    def begin_next(self, differing: Sequence[str]) -> None:
        """Begins the next batch with the machines that still differ, the most urgent first."""
        unresolved = self.admitted & set(differing)
        if unresolved:
            self._postponed |= unresolved
            self._size = self._initial_size
        elif self._begun_count:
            self._size *= 2
        waiting = [machine for machine in differing if machine not in self._postponed]
        if not waiting:
            # only postponed machines are left: they get another turn
            self._postponed.clear()
            waiting = list(differing)
        self.admitted = set(waiting[: self._size])
        if self.admitted:
            self._begun_count += 1
            self._begun_at = self._clock.now()


def count_batches(machine_count: int, initial_size: int) -> int:
    """The number of batches that the machines take if each batch is resolved in time."""
    batches, size = 0, initial_size
    while machine_count > 0:
        machine_count -= size
        batches, size = batches + 1, 2 * size
    return batches
