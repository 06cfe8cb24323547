"""Rising batches: a few machines are settled and looked at before more are touched."""

from collections.abc import Container, Sequence

from ..net.clock import Clock


class Batches:
    """Admits machines in batches, each twice as large as the one before. A batch that is not
    settled in time is put back, and the next one is small again.
    """

    def __init__(self, clock: Clock, first: int, batch_s: float) -> None:
        self._clock = clock
        self._first = first
        self._batch_s = batch_s
        self._size = first
        self._begun_at = clock.now()
        self._put_back: set[str] = set()
        self.admitted: set[str] = set()
        self.begun = 0

    def is_due(self, differing: Container[str]) -> bool:
        """Whether the next batch may begin: the last one is settled, or has taken too long."""
        return self._is_late() or not any(machine in differing for machine in self.admitted)

    def _is_late(self) -> bool:
        return self._clock.now() - self._begun_at > self._batch_s

    def begin(self, differing: Sequence[str]) -> None:
        """Begins the next batch with the machines that still differ, the most urgent first."""
        unsettled = self.admitted & set(differing)
        if unsettled:
            self._put_back |= unsettled
            self._size = self._first
        elif self.begun:
            self._size *= 2
        waiting = [machine for machine in differing if machine not in self._put_back]
        if not waiting:
            # only those are left that did not settle: they have their turn again
            self._put_back.clear()
            waiting = list(differing)
        self.admitted = set(waiting[: self._size])
        if self.admitted:
            self.begun += 1
            self._begun_at = self._clock.now()


def batches_of(machines: int, first: int) -> int:
    """How many batches so many machines take if each settles."""
    batches, size = 0, first
    while machines > 0:
        machines -= size
        batches, size = batches + 1, 2 * size
    return batches
