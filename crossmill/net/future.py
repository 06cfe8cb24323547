"""A future: the reply that a part of the process owes to another."""

from typing import Any

import curio


class Future:
    """A reply that is waited for."""

    __slots__ = ("_event", "value")

    def __init__(self) -> None:
        self._event = curio.Event()
        self.value: Any = None

    @property
    def settled(self) -> bool:
        """Whether the reply has come."""
        return bool(self._event.is_set())

    async def settle(self, value: Any) -> None:
        """Gives the reply; only the first counts."""
        if not self.settled:
            self.value = value
            await self._event.set()

    async def wait(self, timeout_s: float | None = None) -> Any:
        """The reply, or None when it does not come in time."""
        if timeout_s is None:
            await self._event.wait()
        else:
            await curio.ignore_after(timeout_s, self._event.wait)
        return self.value
