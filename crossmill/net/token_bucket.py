"""A token bucket, which limits the rate of requests to a service."""

from .clock import Clock


class TokenBucket:
    """A bucket that is refilled at a rate, up to a burst.

    An amount above the burst is allowed once the bucket is full, and leaves a debt.

    Attributes:
        rate: Tokens a second.
    """

    def __init__(self, clock: Clock, rate: float, burst: float) -> None:
        self._clock = clock
        self.rate = rate
        self._burst = burst
        self._tokens = burst
        self._refilled_at = clock.now()

    def _refill(self) -> None:
        now = self._clock.now()
        added = (now - self._refilled_at) * self.rate
        self._tokens = min(self._burst, self._tokens + added)
        self._refilled_at = now

    def reset(self, rate: float, burst: float) -> None:
        """Sets rate and burst from now on; tokens are kept up to the new burst."""
        self._refill()
        self.rate = rate
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def available(self) -> float:
        """Returns how many tokens there are; negative while there is a debt."""
        self._refill()
        return self._tokens

    def try_take(self, amount: float = 1.0) -> bool:
        """Takes the amount if it is available; returns whether it was."""
        self._refill()
        if self._tokens < min(amount, self._burst):
            return False
        self._tokens -= amount
        return True

    def force_take(self, amount: float) -> None:
        """Takes the amount whether it is available or not; the rest becomes a debt."""
        self._refill()
        self._tokens -= amount

    def delay_s(self, amount: float = 1.0, overdraft: float = 0.0) -> float:
        """Returns in how many seconds the amount may be taken, with a debt of up to `overdraft`."""
        self._refill()
        missing = min(amount, self._burst) - overdraft - self._tokens
        return max(0.0, missing / self.rate)

    def drain(self) -> None:
        """Empties the bucket, after the service refused a request for its rate."""
        self._refill()
        self._tokens = min(self._tokens, 0.0)
