"""Copies of requests that were executed and answered, which arrive once more and late.

The network of a simulated region asks `MessageCopies` after each answered request when copies of it
arrive. Nobody waits for the answers to copies, but what they change counts.
"""

import random
from collections.abc import Awaitable, Callable, Collection
from enum import Enum

import curio

# share of requests of which copies arrive, and the bounds of the copies' delays: later than a
# worker's lease and than the deadline for a cancelled task
COPIED_SHARE = 0.3
COPY_DELAYS_S = (0.1, 40.0)


class RequestKind(Enum):
    """A kind of request of which copies may arrive."""

    DIRECT_COMMANDS = "direct commands"
    HEARTBEAT = "heartbeat"
    TRANSACTION = "transaction"
    LEASE = "lease renewal or deletion"
    PEER = "request to another controller"
    USER = "user's request"


class MessageCopies:
    """Draws copies of three in ten requests of the given kinds; each comes once or twice more.

    The draws do not change those of the scenario, since they have a generator of their own.
    """

    def __init__(self, seed: int = 0, kinds: Collection[RequestKind] = ()) -> None:
        self._rng = random.Random(seed)
        self._kinds = frozenset(kinds)

    async def deliver(self, kind: RequestKind, receive: Callable[[], Awaitable[None]]) -> None:
        """Let copies of a request arrive later, if any are drawn; `receive` delivers one."""
        if kind not in self._kinds or self._rng.random() >= COPIED_SHARE:
            return
        for _ in range(self._rng.choice([1, 2])):
            delay_s = self._rng.uniform(*COPY_DELAYS_S)
            await curio.spawn(self._deliver_late, delay_s, receive, daemon=True)

    @staticmethod
    async def _deliver_late(delay_s: float, receive: Callable[[], Awaitable[None]]) -> None:
        await curio.sleep(delay_s)
        await receive()
