"""Users of a simulated region: they submit, read and cancel jobs at its controllers.

`Region` inherits these methods. Each response is passed to the region's invariant checker, which
keeps what the responses reported.
"""

from functools import partial
from typing import Any

import curio
import orjson

from .builders import submission
from .fake_clock import FakeClock
from .invariant_checker import InvariantChecker, JobFacts
from .message_copies import MessageCopies, RequestKind
from .stepped_controller import SteppedController

CANCELLATION_RETRY_S = 0.5
FROZEN_RETRY_S = 0.1
# each repetition of `query_job_everywhere` waits this much longer than the previous one
QUERY_INTERVAL_S = 0.003


class SimulatedUsers:
    """The users' requests to a region's controllers.

    The attributes and methods of the region that the requests use are declared here.
    """

    clock: FakeClock
    checker: InvariantChecker
    nodes: dict[str, SteppedController]
    message_copies: MessageCopies

    def is_frozen(self, label: str) -> bool:
        """Return whether the controller's process is frozen now."""
        raise NotImplementedError

    def register_job(self, job: str, run_s: float | None = None, **fields: Any) -> dict[str, Any]:
        """Register a job with the invariant checker and return its submission.

        A job without `run_s` is a service, which runs until it is cancelled.
        """
        fields = {"cut": "service" if run_s is None else "array", "dueS": None} | fields
        spec = submission(**{"nameId": job, **fields})
        self.checker.jobs.setdefault(job, JobFacts(spec, run_s, self.clock.now()))
        return spec

    async def submit(self, label: str, job: str, run_s: float | None = None, **fields: Any) -> int:
        """Submit a job at a controller and return the response's status."""
        spec = self.register_job(job, run_s, **fields)
        return await self._request(label, job, "POST", "/v1/jobs", orjson.dumps(spec))

    async def query_job(self, label: str, job: str) -> int:
        """Query the job's state at a controller and return the response's status."""
        return await self._request(label, job, "GET", f"/v1/jobs/{job}")

    async def cancel(self, label: str, job: str) -> int:
        """Cancel the job at a controller and return the response's status."""
        self.checker.jobs[job].is_cancellation_requested = True
        return await self._request(label, job, "POST", f"/v1/jobs/{job}/withdraw")

    async def cancel_until_confirmed(self, label: str, job: str, within_s: float) -> bool:
        """Repeat the cancellation until it is confirmed; return False after the timeout."""
        end = self.clock.now() + within_s
        while self.clock.now() < end:
            if await self.cancel(label, job) == 200:
                return True
            await curio.sleep(CANCELLATION_RETRY_S)
        return False

    async def query_job_everywhere(self, job: str, times: int = 3) -> None:
        """Query the job's state at all controllers concurrently, repeatedly within milliseconds."""
        async with curio.TaskGroup() as group:
            for n in range(times):
                for label in list(self.nodes):
                    await group.spawn(self.query_job, label, job)
                await curio.sleep(QUERY_INTERVAL_S * n)

    def is_accepted(self, job: str) -> bool:
        """Return whether a controller has confirmed the job's submission."""
        return self.checker.jobs[job].accepted is not None

    def has_finished(self, job: str, tasks: int) -> bool:
        """Return whether at least `tasks` tasks of the job are done."""
        return len(self.checker.jobs[job].finished) >= tasks

    async def _request(
        self, label: str, job: str, method: str, path: str, body: bytes = b""
    ) -> int:
        requested_at = self.clock.now()
        while self.is_frozen(label):
            await curio.sleep(FROZEN_RETRY_S)
        response = await self.nodes[label].send_user_request(method, path, body)
        self.checker.check_response(job, response, requested_at)
        await self.message_copies.deliver(
            RequestKind.USER, partial(self._deliver_copy, label, method, path, body)
        )
        return response.status

    async def _deliver_copy(self, label: str, method: str, path: str, body: bytes) -> None:
        """Deliver a copy of a request to whichever process runs under the label then."""
        if label in self.nodes and not self.is_frozen(label):
            await self.nodes[label].send_user_request(method, path, body)
