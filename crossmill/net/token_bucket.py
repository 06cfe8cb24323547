"""A token bucket that limits the rate of requests to a service."""

from .clock import Clock


class TokenBucket:
    """A bucket that is refilled at a constant rate, up to the burst size.

    An amount above the burst size may be taken when the bucket is full, and leaves a debt: the
    number of tokens becomes negative.

    Attributes:
        rate: The refill rate in tokens per second.
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
        """Set the rate and the burst size; keep the tokens up to the new burst size."""
        self._refill()
        self.rate = rate
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def available(self) -> float:
        """Return the number of tokens, which is negative while there is a debt."""
        self._refill()
        return self._tokens

    def try_take(self, amount: float = 1.0) -> bool:
        """Take the amount if it is available; return whether it was taken."""
        self._refill()
        if self._tokens < min(amount, self._burst):
            return False
        self._tokens -= amount
        return True

    def force_take(self, amount: float) -> None:
        """Take the amount even if it is not available; the missing tokens become a debt."""
        self._refill()
        self._tokens -= amount

    def delay_s(self, amount: float = 1.0, overdraft: float = 0.0) -> float:
        """Return the seconds until the amount may be taken with a debt of up to `overdraft`."""
        self._refill()
        missing = min(amount, self._burst) - overdraft - self._tokens
        return max(0.0, missing / self.rate)

    def drain(self) -> None:
        """Empty the bucket after the service has rejected a request because of its rate limit."""
        self._refill()
        self._tokens = min(self._tokens, 0.0)
