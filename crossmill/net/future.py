"""A future for replies between tasks of this process."""

from typing import Any

import curio


class Future:
    """A reply that one task settles and others wait for.

    Attributes:
        value: The reply; None until it is settled.
    """

    __slots__ = ("_event", "value")

    def __init__(self) -> None:
        self._event = curio.Event()
        self.value: Any = None

    @property
    def is_settled(self) -> bool:
        """Whether the reply was given."""
        return bool(self._event.is_set())

    async def settle(self, value: Any) -> None:
        """Gives the reply; any later one is ignored."""
        if not self.is_settled:
            self.value = value
            await self._event.set()

    async def wait(self, timeout_s: float | None = None) -> Any:
        """Waits for the reply; returns None if it does not come within the timeout."""
        if timeout_s is None:
            await self._event.wait()
        else:
            await curio.ignore_after(timeout_s, self._event.wait)
        return self.value
