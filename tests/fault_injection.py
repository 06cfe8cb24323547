"""Faults and users' requests that several test files inject into a simulated region."""

import random
from collections.abc import Awaitable, Callable

import curio

from .simulated_links import TransactionFault, no_transaction_fault
from .simulated_region import Region

RANDOM_FAULTS = (
    "restart",
    "isolate",
    "refuse",
    "outage",
    "late transactions",
    "lost responses",
    "worker",
    "reconnect",
    "repeated heartbeats",
    "slow state",
)
WORKER_FAULTS = ("inbound_lost", "heartbeats_lost", "is_frozen")


def every_request(method: str, path: str) -> bool:
    """Return True: every request is refused."""
    return True


def cut_off(region: Region, label: str) -> None:
    """Cut a controller from the state service, which stays silent, and from its peers."""
    region.isolate(label)


def cut_off_with_refusals(region: Region, label: str) -> None:
    """Cut a controller from its peers while the state service refuses all its requests."""
    region.refused_requests[label] = every_request
    region.cut_from_peers.add(label)


def all_but_leases(method: str, path: str) -> bool:
    """Return whether the request is not for a lease: no key can be read or written."""
    return not path.startswith("/holds")


def lose_responses(
    number: int, region: Region, delay_s: float, executes_immediately: bool, for_s: float
) -> None:
    """Drop the response to every `number`th transaction for the given time.

    The transaction is executed without delay, or `delay_s` and up to four seconds later.
    """
    end, count = region.clock.now() + for_s, 0

    def transaction_fault(label: str, method: str, path: str) -> TransactionFault | None:
        nonlocal count
        if path != "/txn" or region.clock.now() > end:
            return None
        count += 1
        if count % number:
            return None
        return TransactionFault(delay_s + count % 5, executes_immediately)

    region.transaction_fault = transaction_fault


async def submit_single_task_jobs(
    region: Region, jobs: int, every_s: float, cancel_every: int = 4
) -> None:
    """Submit one-task jobs at one controller after the other.

    One of every `cancel_every` jobs is cancelled while it runs or waits.
    """
    async with curio.TaskGroup() as group:
        for n in range(jobs):
            job, label = f"wk-{100000 + n}", list(region.nodes or region.LABELS)[n % 3 - 1]
            await group.spawn(_submit_single_task_job, region, label, job, n % cancel_every == 1)
            await curio.sleep(every_s)


async def _submit_single_task_job(region: Region, label: str, job: str, cancel: bool) -> None:
    async def retry_anywhere(call: Callable[[str], Awaitable[int]]) -> None:
        for n in range(60):
            labels = list(region.nodes)
            if labels and await call(labels[n % len(labels)]) in (200, 201):
                return
            await curio.sleep(1.0)

    await retry_anywhere(lambda at: region.submit(at, job, run_s=3.0, sacks=1, cards=1.0))
    if cancel:
        await curio.sleep(1.5)
        await retry_anywhere(lambda at: region.cancel(at, job))


async def wait_until_all_ended(region: Region, within_s: float = 90.0) -> None:
    """Wait until all controllers report the end of every submitted job; fail after the timeout."""
    end = region.clock.now() + within_s
    # a controller that has just started has not loaded the state yet
    await curio.sleep(3.0)
    for job, facts in region.checker.jobs.items():
        while facts.done is None and facts.cancelled is None:
            if await region.query_job(next(iter(region.nodes)), job) != 200 or not (
                facts.done or facts.cancelled
            ):
                assert region.clock.now() < end, f"{job} has not ended"
                await curio.sleep(0.5)
        for label in region.nodes:
            assert await region.query_job(label, job) == 200


async def cancel_services_and_wait(region: Region) -> None:
    """Cancel the jobs that do not end by themselves and wait until all jobs have ended."""
    for job, facts in list(region.checker.jobs.items()):
        if facts.run_s is None:
            assert await region.cancel_until_confirmed("node-1", job, 60.0)
    await wait_until_all_ended(region)


async def inject_random_fault(region: Region, rng: random.Random) -> None:
    """Inject a random fault, or end some of the present faults."""
    label, worker = rng.choice(region.LABELS), rng.choice(list(region.workers.values()))
    kind = rng.choice(RANDOM_FAULTS)
    if kind == "restart":
        await region.restart(label, rng.choice([0.1, 1.0, 4.0]))
    elif kind == "isolate":
        region.isolate(label)
    elif kind == "refuse":
        region.refused_requests[label] = every_request
    elif kind == "outage":
        region.state.is_down = not region.state.is_down
    elif kind in ("late transactions", "lost responses"):
        lose_responses(rng.choice([2, 3, 5]), region, 2.0, kind == "lost responses", 10.0)
    elif kind == "worker":
        fault = rng.choice(WORKER_FAULTS)
        setattr(worker, fault, not getattr(worker, fault))
    elif kind == "reconnect":
        region.reconnect()
        region.state.is_down = False
    elif kind == "slow state":
        region.state_delay_s = rng.choice([0.0, 0.3])
    else:
        for body in worker.sent_heartbeats:
            region.deliver_worker_heartbeat(body, label)


def clear_faults(region: Region) -> None:
    """End the faults of the state service, of the controllers' links and of the workers.

    Killed, frozen and powered off controllers, `Region.transaction_delay_s` and faults of the cloud
    do not end.
    """
    region.state.is_down = False
    region.state_delay_s = 0.0
    region.reconnect()
    region.transaction_fault = no_transaction_fault
    region.can_reach = lambda worker, label: label in region.nodes
    for worker in region.workers.values():
        worker.inbound_lost = worker.heartbeats_lost = worker.is_frozen = False
