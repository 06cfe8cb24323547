"""The format of stored job records, which the version in production reads and writes."""

import orjson

from crossmill.cluster import keys
from crossmill.cluster.model import ACTIVE, CANCELLED, DONE
from crossmill.cluster.records import decode_job, encode_end, encode_job

from .builders import make_spec, reported_task, submission
from .fake_clock import FakeClock
from .fake_state_service import StateService
from .production_records import JOB, PRODUCTION_JOB, PRODUCTION_SPEC, read_as_production
from .stepped_controller import MAX_RECORD_BYTES, Nodes, SteppedController, run_scenario, seed
from .stored_records import raise_feature_level


def test_a_job_record_is_written_and_read_in_the_format_of_production() -> None:
    spec = make_spec(nameId=JOB)
    assert encode_job(spec, 5.0) == PRODUCTION_JOB
    assert decode_job(PRODUCTION_JOB).spec == spec


def test_the_end_of_a_job_has_no_more_fields_than_production_reads() -> None:
    spec = make_spec(nameId=JOB)
    assert set(encode_end(DONE, spec, 7.0, MAX_RECORD_BYTES)) == {"end", "spec", "ended"}


def test_an_end_that_production_wrote_has_no_time() -> None:
    assert decode_job({"end": "done", "spec": PRODUCTION_SPEC}).ended_at == 0.0


def test_unknown_fields_of_a_later_version_are_ignored() -> None:
    later = {**PRODUCTION_JOB, "new": 1, "spec": {**PRODUCTION_SPEC, "new": 1}}
    assert decode_job(later).spec == make_spec(nameId=JOB)


def test_production_reads_everything_written_before_the_level_is_raised() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock, machines=2)
        state.put(keys.job(JOB), PRODUCTION_JOB)
        node = SteppedController(state, clock, nodes)
        await node.boot()
        await node.feature_level.step()
        for machine in ("n-0", "n-1"):
            node.report(machine, 1, 1, node.token())
        body = orjson.dumps(submission(nameId="wk-000002", sacks=600, cards=0.0, cpus=0.01))
        assert (await node.send_user_request("POST", "/v1/jobs", body)).status == 201
        await node.round()
        read_as_production(state)
        done = [reported_task(JOB, i, 1 + i, "exited", "done") for i in range(2)]
        node.report("n-0", 1, 2, node.token(), *done)
        node.report("n-1", 1, 2, node.token(), *done)
        await node.round()
        assert state.keys[keys.job(JOB)][0]["end"] == "done"
        read_as_production(state)

    run_scenario(scenario)


def test_dependents_accept_an_end_that_production_writes_after_the_raise() -> None:
    # that end has no time, so the dependents' waiting times count from their submission
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock)
        raise_feature_level(state)
        state.put(keys.job(JOB), PRODUCTION_JOB)
        dependent = make_spec(nameId="wk-000002")
        state.put(keys.job("wk-000002"), encode_job(dependent, clock.wall_time(), (JOB,)))
        node = SteppedController(state, clock, nodes)
        await node.boot()
        assert node.cluster.jobs["wk-000002"].is_blocked
        state.put(keys.job(JOB), {"end": "done", "spec": PRODUCTION_SPEC})
        await node.sync()
        job = node.cluster.jobs["wk-000002"]
        assert not job.is_blocked
        assert job.ready_at == job.submitted_at

    run_scenario(scenario)


def test_an_end_unknown_to_this_version_is_read_as_an_end() -> None:
    record = decode_job({**PRODUCTION_JOB, "end": "expired"})
    assert record.end == "expired"
    assert record.end not in (ACTIVE, DONE, CANCELLED)
