"""Agents' reports that contradict the plan or one another."""

import curio
import pytest

from crossmill.wire.multihost import (
    MemberReport,
    MemberState,
)

from .multihost_region import MultihostRegion, simulate_multihost
from .multihost_scenarios import LOAD_S


@pytest.mark.parametrize(
    "forged",
    [
        pytest.param(MemberReport("chat/0", 3, 1, MemberState.LOADED), id="wrong rank"),
        pytest.param(MemberReport("chat/0", 1, 9, MemberState.LOADED), id="unknown generation"),
        pytest.param(MemberReport("chat/7", 1, 1, MemberState.LOADED), id="unknown replica"),
    ],
)
def test_a_report_that_contradicts_the_plan_is_rejected_and_counted(forged: MemberReport) -> None:
    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(5)
        await region.declare("chat", image_gb=LOAD_S)
        await region.wait_until(lambda: region.phase("chat/0") == "starting")
        agent = region.agents_of("chat/0")[1]
        agent.forged_reports = [forged]
        await curio.sleep(LOAD_S + 5.0)
        assert region.phase("chat/0") == "starting"
        assert not region.serving("chat/0")
        assert region.services[region.owner()].heartbeats.rejected_reports > 0
        agent.forged_reports = []
        await region.until_serving("chat/0")

    simulate_multihost(scenario)


def test_the_same_rank_reported_twice_confirms_nothing() -> None:
    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(5)
        await region.declare("chat", image_gb=LOAD_S)
        await region.wait_until(lambda: region.phase("chat/0") == "starting")
        confirmation = MemberReport("chat/0", 1, 1, MemberState.LOADED)
        outsider = next(a for a in region.agents.values() if a not in region.agents_of("chat/0"))
        outsider.forged_reports = [confirmation]
        region.agents_of("chat/0")[1].forged_reports = [confirmation, confirmation]
        await curio.sleep(LOAD_S + 5.0)
        assert region.phase("chat/0") == "starting"
        assert region.services[region.owner()].heartbeats.rejected_reports >= 2

    simulate_multihost(scenario)
