"""A future for passing a result between Curio tasks of this process."""

from typing import Any

import curio


class Future:
    """A result that one task sets and other tasks wait for.

    Attributes:
        value: The result; None until the future is settled.
    """

    __slots__ = ("_event", "value")

    def __init__(self) -> None:
        self._event = curio.Event()
        self.value: Any = None

    @property
    def is_settled(self) -> bool:
        """Whether the result has been set."""
        return bool(self._event.is_set())

    async def settle(self, value: Any) -> None:
        """Set the result; ignore it if the future is already settled."""
        if not self.is_settled:
            self.value = value
            await self._event.set()

    async def wait(self, timeout_s: float | None = None) -> Any:
        """Wait for the result and return it, or return None after the timeout."""
        if timeout_s is None:
            await self._event.wait()
        else:
            await curio.ignore_after(timeout_s, self._event.wait)
        return self.value
