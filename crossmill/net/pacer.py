"""A token bucket."""

from .clock import Clock


class Pacer:
    """Tokens come at a rate and are saved up to a burst."""

    def __init__(self, clock: Clock, rate: float, burst: float) -> None:
        self._clock = clock
        self.rate = rate
        self._burst = burst
        self._tokens = burst
        self._at = clock.now()

    def _refill(self) -> None:
        now = self._clock.now()
        self._tokens = min(self._burst, self._tokens + (now - self._at) * self.rate)
        self._at = now

    def reset(self, rate: float, burst: float) -> None:
        """Another rate from now on; what was saved up stays, within the new burst."""
        self._refill()
        self.rate, self._burst = rate, burst
        self._tokens = min(self._tokens, burst)

    def available(self) -> float:
        """How many tokens there are; negative while a debt is paid off."""
        self._refill()
        return self._tokens

    def take(self, amount: float = 1.0) -> bool:
        """Takes the amount if it is there; whether it was."""
        self._refill()
        # an amount over the whole burst passes once the bucket is full, and leaves a debt
        if self._tokens < min(amount, self._burst):
            return False
        self._tokens -= amount
        return True

    def spend(self, amount: float) -> None:
        """Takes the amount whatever is there, and leaves a debt if need be."""
        self._refill()
        self._tokens -= amount

    def wait_s(self, amount: float = 1.0, overdraft: float = 0.0) -> float:
        """How long until the amount may be taken, with a debt of up to `overdraft` after it."""
        self._refill()
        return max(0.0, (min(amount, self._burst) - overdraft - self._tokens) / self.rate)

    def drain(self) -> None:
        """After a refusal the far side's bucket is known to be empty."""
        self._refill()
        self._tokens = min(self._tokens, 0.0)
