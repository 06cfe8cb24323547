"""Copies of transactions that were carried out and answered arrive once more, at the end of a day.

Jobs of all kinds have ended by then, some are archived, shards have changed owner, and machines
were rented and returned.
"""

import random
from collections.abc import Iterator
from typing import Any

import curio
import orjson
import pytest

from crossmill.cluster import keys
from crossmill.settings import Settings

from .failing_traffic import DENSE, FailingTraffic
from .fault_injection import wait_until_all_ended
from .simulated_region import Region, simulate

SEED = 3
MAX_ENDED_JOBS = 5
TROUBLES = 8
END_WITHIN_S = 300.0
# what a controller writes without a condition on the key itself: a copy is refused once its lease
# has ended, and until then its process writes the record anew
UNCONDITIONAL = keys.CONTROLLER


class _RecordedTransactions:
    """The transactions that a region's state service carried out, and their later copies."""

    def __init__(self, region: Region) -> None:
        self._region = region
        self._request = region.state.request
        self.bodies: list[bytes] = []
        region.state.request = self._record  # type: ignore[method-assign]

    async def _record(
        self, method: str, path: str, body: bytes = b"", timeout_s: float = 2.0
    ) -> tuple[int, bytes]:
        status, data = await self._request(method, path, body, timeout_s)
        if path == "/txn" and status == 200 and orjson.loads(body)["apply"]:
            self.bodies.append(body)
        return status, data

    async def changes_by_copies(self) -> list[str]:
        """Deliver all transactions again, in both orders; return the keys that they change."""
        changed: list[str] = []
        recorded = list(self.bodies)
        for body in recorded + recorded[::-1]:
            before = self._values(body)
            await self._request("POST", "/txn", body)
            after = self._values(body)
            changed += [key for key, value in after if (key, value) not in before]
        return changed

    def _values(self, body: bytes) -> list[tuple[str, Any]]:
        stored = self._region.state.keys
        return [(key, stored[key][0] if key in stored else None) for key in _written_keys(body)]


def _written_keys(body: bytes) -> Iterator[str]:
    for operation in orjson.loads(body)["apply"]:
        yield operation.get("write") or operation["delete"]


async def _run_day(region: Region) -> None:
    """Run failing and sound jobs of all kinds until they have ended and machines were returned."""
    traffic = FailingTraffic(region, random.Random(SEED), DENSE)
    await region.start_region(machines=2)
    await region.run_provisioners()
    await traffic.run(TROUBLES)
    for job, facts in list(region.checker.jobs.items()):
        if facts.run_s is None:
            assert await region.cancel_until_confirmed("node-1", job, END_WITHIN_S)
    await wait_until_all_ended(region, END_WITHIN_S)
    await curio.sleep(2 * region.settings.idle_machine_timeout_s + region.settings.worker_lease_s)
    assert region.cloud.released
    assert any(key.startswith(keys.archived("")) for key in region.state.keys)


def _changes_by_copies(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    monkeypatch.setattr(Settings, "max_ended_jobs", MAX_ENDED_JOBS)
    changed: list[str] = []

    async def scenario(region: Region) -> None:
        recorded = _RecordedTransactions(region)
        await _run_day(region)
        changed.extend(await recorded.changes_by_copies())

    simulate(scenario)
    return changed


def test_late_copies_of_transactions_change_no_job_plan_owner_or_token(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    changed = _changes_by_copies(monkeypatch)
    assert [key for key in changed if not key.startswith((keys.MACHINE, UNCONDITIONAL))] == []


def test_late_copies_of_transactions_bring_no_returned_machine_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    changed = _changes_by_copies(monkeypatch)
    assert [key for key in changed if key.startswith(keys.MACHINE)] == []
