"""Profile a controller's processor time and memory: `python -m tests.profile_controller`.

Runs one whole controller against the fake services, with the given number of machines, in phases:
startup, reports, scheduling rounds without changes, a burst of jobs, a demand forecast, and HTTP
over loopback. Prints the processor time of each phase by module, the most expensive functions of
each phase, and the memory in use after startup by file. The test command does not run it, because
times differ between machines.
"""

import argparse
import cProfile
import pstats
import time
import tracemalloc
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path

import curio
from curio import socket

from crossmill.net.server import Request, Response, Server
from crossmill.settings import Endpoint

from .fake_clock import FakeClock
from .fake_state_service import StateService
from .full_fleet import full_fleet, report_all
from .stepped_controller import SteppedController, add_job, run_scenario

ROOT = Path(__file__).resolve().parent.parent
REPEATS = 20
MAX_ROWS = 12
HTTP_REQUESTS = 2000
BODY = b'{"stone":"n-000231","sacks":[' + b" " * 400 + b"]}"
REQUEST = b"POST /agent/beat HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n" % len(BODY) + BODY


def _component(filename: str) -> str:
    """Return the package or module to which a profiled function's time is attributed."""
    path = Path(filename)
    if path.is_relative_to(ROOT / "crossmill") or path.is_relative_to(ROOT / "tests"):
        return "/".join(path.relative_to(ROOT).with_suffix("").parts[:3])
    return next((name for name in ("h11", "curio") if name in path.parts), "python")


def _print_profile(phase: str, profile: cProfile.Profile, elapsed_s: float, number: int) -> None:
    stats = pstats.Stats(profile).stats  # type: ignore[attr-defined]
    by_component: Counter[str] = Counter()
    for (filename, _, _), (_, _, own_s, _, _) in stats.items():
        by_component[_component(filename)] += own_s
    print(f"\n{phase}: {1000 * elapsed_s / number:.3f} ms per run, runs: {number}")
    for component, own_s in by_component.most_common(MAX_ROWS):
        print(f"  {1000 * own_s / number:9.3f} ms  {component}")
    costliest = sorted(stats.items(), key=lambda entry: -entry[1][3])
    for (filename, line, name), (_, calls, _, total_s, _) in costliest[: 2 * MAX_ROWS]:
        if _component(filename).startswith("crossmill"):
            location = f"{_component(filename)}:{line}:{name}"
            print(f"    {1000 * total_s / number:9.3f} ms cumulative, {calls:7d} calls  {location}")


async def _profile_phase(phase: str, run: Callable[[], Awaitable[object]], number: int = 1) -> None:
    profile = cProfile.Profile(time.process_time)
    started_at = time.process_time()
    profile.enable()
    for _ in range(number):
        await run()
    profile.disable()
    _print_profile(phase, profile, time.process_time() - started_at, number)


def _print_memory() -> None:
    statistics = tracemalloc.take_snapshot().statistics("filename")
    print(f"\nmemory in use: {sum(entry.size for entry in statistics) / 1e6:.1f} MB")
    for entry in statistics[:MAX_ROWS]:
        component = _component(entry.traceback[0].filename)
        print(f"  {entry.size / 1e6:9.2f} MB in {entry.count:8d} objects  {component}")


async def _profile_http() -> None:
    async def handler(request: Request) -> Response:
        return Response(200)

    async with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as port_probe:
        port_probe.bind(("127.0.0.1", 0))
        port = int(port_probe.getsockname()[1])
    server = Server(Endpoint("127.0.0.1", port), handler, 8, 60.0, max_cached_heads=8)
    await curio.spawn(server.run, daemon=True)
    await curio.sleep(0.05)
    async with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
        await sock.connect(("127.0.0.1", port))

        async def exchange() -> None:
            await sock.sendall(REQUEST)
            await sock.recv(4096)

        await _profile_phase("HTTP exchange, client and server", exchange, HTTP_REQUESTS)


async def _profile_controller(
    state: StateService,
    clock: FakeClock,
    nodes: dict[str, SteppedController],
    machines: int,
    jobs: int,
) -> None:
    full_fleet(state, clock, machines)
    node = SteppedController(state, clock, nodes)
    await _profile_phase("startup (read state, acquire shards)", node.boot)
    seq = 0

    async def reports() -> None:
        nonlocal seq
        seq += 1
        report_all(node, machines, seq)

    await _profile_phase("reports of all machines", reports, REPEATS)
    await _profile_phase("round without changes", node.round, REPEATS)
    for job in range(jobs):
        add_job(state, clock, nameId=f"wk-{job + 100000:06d}", grist="batch")
    await _profile_phase("watch (jobs of a burst)", node.sync)
    await _profile_phase("round with a burst of pending jobs", node.round, REPEATS)

    async def plan_forecast() -> None:
        node.forecast.plan(0)

    await _profile_phase("forecast of a shard", plan_forecast, REPEATS)


def main() -> None:
    """Profile a controller with the numbers of machines and jobs from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--machines", type=int, default=304, help="default %(default)s")
    parser.add_argument(
        "--jobs", type=int, default=200, help="jobs in the burst, default %(default)s"
    )
    args = parser.parse_args()

    async def memory(
        state: StateService, clock: FakeClock, nodes: dict[str, SteppedController]
    ) -> None:
        full_fleet(state, clock, args.machines)
        node = SteppedController(state, clock, nodes)
        # memory is measured in a separate run, because tracing makes it several times slower
        tracemalloc.start()
        await node.boot()
        _print_memory()
        tracemalloc.stop()

    async def scenario(
        state: StateService, clock: FakeClock, nodes: dict[str, SteppedController]
    ) -> None:
        await _profile_controller(state, clock, nodes, args.machines, args.jobs)

    run_scenario(memory)
    run_scenario(scenario)
    curio.run(_profile_http)


if __name__ == "__main__":
    main()
