"""Machines that recovery gives back to the cloud, as the circuit breaker counts them."""


class ReleaseTracker:
    """The machines whose release was requested, was permitted, or was approved by an operator."""

    def __init__(self) -> None:
        self._requested: set[str] = set()
        self._permitted: set[str] = set()
        self._approved: set[str] = set()

    def request(self, machine_id: str) -> None:
        """Notes that the machine is to be released."""
        self._requested.add(machine_id)

    def is_permitted(self, machine_id: str) -> bool:
        """Whether the machine's release was permitted before."""
        return machine_id in self._permitted

    def permit(self, machine_id: str) -> None:
        """Notes that the machine's release is permitted."""
        self._permitted.add(machine_id)

    def approve(self) -> None:
        """Notes an operator's approval of all releases requested so far."""
        self._approved |= self._requested

    @property
    def unapproved_count(self) -> int:
        """How many releases the circuit breaker counts."""
        return len(self._requested - self._approved)

    def held_back(self) -> set[str]:
        """The machines whose release waits for the circuit breaker."""
        return self._requested - self._permitted - self._approved
