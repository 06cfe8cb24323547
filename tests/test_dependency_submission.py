"""Validation of the dependencies in a submission."""

import orjson
import pytest

from crossmill.client_subcommands import with_dependencies
from crossmill.cluster import keys
from crossmill.wire.checks import MalformedMessageError, load_object
from crossmill.wire.users import parse_submission

from .builders import submission
from .dependency_scenario import A, B, C, D, start_controller, submit_job
from .fake_clock import FakeClock
from .fake_state_service import StateService
from .stepped_controller import Nodes, add_job, run_scenario


@pytest.mark.parametrize(
    ("fields", "dependencies"),
    [({"awaits": None}, ()), ({}, ()), ({"awaits": [B, C, B]}, (B, C))],
)
def test_dependencies_may_be_missing_or_repeated(
    fields: dict[str, object], dependencies: tuple[str, ...]
) -> None:
    assert parse_submission(submission(**fields)).dependencies == dependencies


@pytest.mark.parametrize("awaits", ["wk-000002", ["x"], [1], {"a": 1}, [None], [[B]]])
def test_malformed_dependencies_are_refused(awaits: object) -> None:
    with pytest.raises(MalformedMessageError):
        parse_submission(submission(awaits=awaits))


def test_the_command_line_adds_dependencies_to_a_submission() -> None:
    body = with_dependencies(orjson.dumps(submission(awaits=[B])), [C])
    assert parse_submission(load_object(body)).dependencies == (B, C)
    assert with_dependencies(b"as it is", []) == b"as it is"
    with pytest.raises(MalformedMessageError):
        with_dependencies(b"[]", [C])


@pytest.mark.parametrize("location", ["in the mirror", "in the state service only", "archived"])
def test_a_dependency_is_found_wherever_its_record_is(location: str) -> None:
    # guards against a 422 for a dependency that another controller has just accepted, and for one
    # that was archived
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await start_controller(state, clock, nodes)
        if location == "archived":
            state.put(keys.archived(A), {"end": "done", "done": 1})
        else:
            add_job(state, clock, nameId=A, sacks=1)
        if location == "in the mirror":
            await node.sync()
        assert (await submit_job(node, B, A)).status == 201
        assert node.cluster.jobs[B].is_blocked is (location != "archived")

    run_scenario(scenario)


@pytest.mark.parametrize(
    "dependency",
    [pytest.param(A, id="unknown"), pytest.param(B, id="itself"), pytest.param(C, id="service")],
)
def test_impossible_dependencies_are_refused(dependency: str) -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await start_controller(state, clock, nodes)
        # a service never ends
        add_job(state, clock, nameId=C, cut="service")
        assert (await submit_job(node, B, dependency)).status == 422

    run_scenario(scenario)


@pytest.mark.parametrize(("key", "fault"), [(keys.job(A), "refuse"), (keys.archived(A), "drop")])
def test_no_dependency_is_refused_permanently_while_the_state_service_cannot_be_read(
    key: str, fault: str
) -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await start_controller(state, clock, nodes)
        state.scripted_faults["/keys/" + key] = [fault]
        assert (await submit_job(node, B, A)).status == 503

    run_scenario(scenario)


@pytest.mark.parametrize("dependency", [A, D, "nonsense"])
def test_a_repeated_submission_gets_the_jobs_state_whatever_it_depends_on(dependency: str) -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await start_controller(state, clock, nodes)
        add_job(state, clock, nameId=D, sacks=1)
        body = submission(nameId=D, awaits=[dependency])
        assert (await node.send_user_request("POST", "/v1/jobs", orjson.dumps(body))).status == 200

    run_scenario(scenario)


def test_too_many_dependencies_are_refused_with_the_limit() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await start_controller(state, clock, nodes)
        response = await submit_job(node, B, *(f"wk-{n:06d}" for n in range(100, 400)))
        assert response.status == 422
        assert b"256" in response.body

    run_scenario(scenario)


@pytest.mark.parametrize(("dependencies", "status"), [(200, 422), (60, 201)])
def test_dependencies_must_fit_into_a_record_under_the_next_limits(
    dependencies: int, status: int
) -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await start_controller(state, clock, nodes)
        names = [f"wk-{n:06d}" for n in range(100, 100 + dependencies)]
        for name in names:
            add_job(state, clock, nameId=name, sacks=1)
        await node.sync()
        assert (await submit_job(node, B, *names)).status == status
        assert state.oversized_transaction_count == 0

    run_scenario(scenario)
