"""What one check of machine lending decides: the grants, and the loans of each machine afterwards.

Machine lending creates these objects in each check and drops them with it.
"""

from ..cluster.model import NO_RESOURCES, CapacityLoan, Machine
from ..wire.users import JobSpec


class LoanGrant:
    """The resources that a check lends to one shard on one machine, and the first job for it."""

    __slots__ = ("job_id", "resources")

    def __init__(self, job_id: str) -> None:
        self.job_id = job_id
        self.resources = NO_RESOURCES


# grants by machine ID and borrowing shard
LoanGrants = dict[tuple[str, int], LoanGrant]


class LoanAssignment:
    """What the overdue tasks of other shards get: new grants, and loans that they still need."""

    def __init__(self) -> None:
        self.grants: LoanGrants = {}
        # machine IDs and borrowing shards
        self.needed_loans: set[tuple[str, int]] = set()
        # jobs with overdue tasks that their teams' limits allow and that some idle machines can run
        self.overdue_specs: list[JobSpec] = []


class LoanChanges:
    """The loans of machines with a round's changes, by machine ID and borrowing shard."""

    def __init__(self) -> None:
        self._loans: dict[str, dict[int, CapacityLoan]] = {}

    def set(self, machine: Machine, loan: CapacityLoan) -> None:
        """Add or replace the machine's loan to one shard."""
        self._loans_of(machine)[loan.shard] = loan

    def remove(self, machine: Machine, shard: int) -> None:
        """Remove the machine's loan to the shard."""
        del self._loans_of(machine)[shard]

    def _loans_of(self, machine: Machine) -> dict[int, CapacityLoan]:
        return self._loans.setdefault(machine.id, {loan.shard: loan for loan in machine.loans})

    def by_machine(self) -> dict[str, list[CapacityLoan]]:
        """Return all loans of each machine with a change."""
        return {machine_id: list(loans.values()) for machine_id, loans in self._loans.items()}
