"""Actors: tasks that own their state and are spoken to by messages."""

from typing import Any

import curio


class Promise:
    """A reply that is waited for."""

    __slots__ = ("_event", "value")

    def __init__(self) -> None:
        self._event = curio.Event()
        self.value: Any = None

    @property
    def settled(self) -> bool:
        return bool(self._event.is_set())

    async def settle(self, value: Any) -> None:
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


class Actor:
    """One inbox, one task; a message is handled to its end before the next."""

    def __init__(self, inbox: int = 4096) -> None:
        self._inbox = curio.Queue(maxsize=inbox)

    async def tell(self, message: Any) -> None:
        await self._inbox.put((message, None))

    async def ask(self, message: Any, timeout_s: float | None = None) -> Any:
        promise = Promise()
        await self._inbox.put((message, promise))
        return await promise.wait(timeout_s)

    async def handle(self, message: Any, reply: Promise | None) -> None:
        raise NotImplementedError

    async def run(self) -> None:
        while True:
            message, reply = await self._inbox.get()
            await self.handle(message, reply)
