"""Machines that are given up in a recovery, as the brake counts them."""


class Releases:
    """The machines that were to be given up, were given up, and were approved to be."""

    def __init__(self) -> None:
        self._wanted: set[str] = set()
        self._done: set[str] = set()
        self._approved: set[str] = set()

    def demand(self, machine_id: str) -> bool:
        """The machine is to be given up; whether that was let through before."""
        self._wanted.add(machine_id)
        return machine_id in self._done

    def do(self, machine_id: str) -> None:
        """It is given up."""
        self._done.add(machine_id)

    def approve(self) -> None:
        """All that are wanted now are approved."""
        self._approved |= self._wanted

    @property
    def counted(self) -> int:
        """How many the brake counts."""
        return len(self._wanted - self._approved)

    def held_back(self) -> set[str]:
        """Those that wait."""
        return self._wanted - self._done - self._approved
