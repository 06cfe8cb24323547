"""Tracking of the machines that recovery releases to the cloud, for the circuit breaker."""


class ReleaseTracker:
    """The machines whose release is requested, permitted or approved by an operator."""

    def __init__(self) -> None:
        self._requested: set[str] = set()
        self._permitted: set[str] = set()
        self._approved: set[str] = set()

    def request(self, machine_id: str) -> None:
        """Record that the machine is to be released."""
        self._requested.add(machine_id)

    def is_permitted(self, machine_id: str) -> bool:
        """Return whether the machine's release has been permitted."""
        return machine_id in self._permitted

    def permit(self, machine_id: str) -> None:
        """Record that the machine's release is permitted."""
        self._permitted.add(machine_id)

    def approve(self) -> None:
        """Record an operator's approval of all releases requested so far."""
        self._approved |= self._requested

    @property
    def unapproved_count(self) -> int:
        """The number of releases that the circuit breaker counts."""
        return len(self._requested - self._approved)

    def blocked(self) -> set[str]:
        """Return the machines whose release the open circuit breaker blocks."""
        return self._requested - self._permitted - self._approved
