"""Users on connections that stay open, behind the load balancer, in outages and cuts."""

from collections.abc import Awaitable, Callable
from itertools import combinations

import curio
import pytest

from crossmill.settings import timing

from .fault_injection import all_but_leases, cut_off, cut_off_with_refusals, every_request
from .recovery_region import recovery_settings, simulate_recovery
from .simulated_load_balancer import SLOW_START_S, LoadBalancer, PollingUser
from .simulated_region import Region, simulate

# "every poll for it fails for 90 s while most others are answered"
CUT_S = timing.MAX_UNANSWERED_POLLS_S + 5.0
# safety.md, "Where users are sent": a controller cut off alone, with one poll interval and timeout
# of the user, and the time in which a silent service is noticed
ALONE_WITHIN_S = 30.0
USERS = 6
OK, CREATED, UNAVAILABLE = 200, 201, 503

Cut = Callable[[Region, str], None]


CUTS = pytest.mark.parametrize("cut", [cut_off, cut_off_with_refusals])


class UsersBehindLoadBalancer:
    """A region with a load balancer and users, spread over all controllers."""

    def __init__(self, region: Region) -> None:
        self.region = region
        self.balancer = LoadBalancer(region)
        self.users = [PollingUser(region, self.balancer, f"wk-{n:06d}") for n in range(USERS)]

    async def begin(self) -> None:
        """Start the region, and let all users connect and submit their jobs."""
        await self.region.start_region()
        await self.balancer.start()
        await curio.sleep(SLOW_START_S * 1.5)
        for user in self.users:
            await user.submit()
        for label in self.region.LABELS:
            assert self.balancer.connections(label), "users on every controller"

    def longest_silence_s(self) -> float:
        """Return the longest time for which a user got no answer, including the present one."""
        now = self.region.clock.now()
        return max(max(u.longest_silence_s, now - u.answered_at) for u in self.users)

    def healthy(self) -> set[str]:
        """Return the controllers that the load balancer has marked as healthy."""
        return {label for label, marks in self.balancer.marks.items() if marks.is_healthy}


def _simulate_users(scenario: Callable[[UsersBehindLoadBalancer], Awaitable[None]]) -> None:
    async def run(region: Region) -> None:
        users = UsersBehindLoadBalancer(region)
        await users.begin()
        await scenario(users)

    simulate(run)


@CUTS
@pytest.mark.parametrize("label", Region.LABELS)
def test_users_of_a_controller_that_is_cut_off_alone_are_answered_elsewhere(
    cut: Cut, label: str
) -> None:
    """Guards against `forgotten` (review/8): a cut controller that says it is healthy."""

    async def scenario(users: UsersBehindLoadBalancer) -> None:
        cut(users.region, label)
        await curio.sleep(CUT_S)
        assert users.longest_silence_s() < ALONE_WITHIN_S
        assert users.healthy() == set(Region.LABELS) - {label}

    _simulate_users(scenario)


@CUTS
@pytest.mark.parametrize("pair", combinations(Region.LABELS, 2))
def test_users_of_two_controllers_that_are_each_cut_off_are_answered_by_the_third(
    cut: Cut, pair: tuple[str, str]
) -> None:
    """Guards against `forgotten` while most users are on controllers that are cut off."""

    async def scenario(users: UsersBehindLoadBalancer) -> None:
        for label in pair:
            cut(users.region, label)
        await curio.sleep(CUT_S)
        assert users.longest_silence_s() < ALONE_WITHIN_S
        assert users.healthy() == set(Region.LABELS) - set(pair)

    _simulate_users(scenario)


@pytest.mark.parametrize("pair", combinations(Region.LABELS, 2))
def test_users_of_two_controllers_that_are_cut_off_together_are_answered_by_the_third(
    pair: tuple[str, str],
) -> None:
    """Guards against `forgotten` where the cut controllers hear each other, as in an outage."""

    async def scenario(users: UsersBehindLoadBalancer) -> None:
        region = users.region
        third = next(label for label in Region.LABELS if label not in pair)
        region.cut_from_state.update(pair)
        region.cut_peer_pairs.update(frozenset((label, third)) for label in pair)
        await curio.sleep(CUT_S)
        assert users.longest_silence_s() < timing.MAX_UNANSWERED_POLLS_S
        assert users.healthy() == {third}

    _simulate_users(scenario)


@pytest.mark.parametrize("refused", [every_request, all_but_leases])
def test_users_of_a_controller_that_the_state_service_refuses_alone_are_answered_elsewhere(
    refused: Callable[[str, str], bool],
) -> None:
    """Guards against `forgotten` where the peers are reached; leases may still be renewed."""

    async def scenario(users: UsersBehindLoadBalancer) -> None:
        users.region.refused_requests["node-1"] = refused
        await curio.sleep(CUT_S)
        assert users.longest_silence_s() < ALONE_WITHIN_S
        assert users.healthy() == {"node-0", "node-2"}

    _simulate_users(scenario)


@CUTS
def test_users_leave_a_controller_that_is_cut_off_before_it_owns_a_shard(cut: Cut) -> None:
    """Guards against a controller without shards that does not ask its peers."""

    async def scenario(users: UsersBehindLoadBalancer) -> None:
        region = users.region
        await region.restart("node-2", 1.5 * region.worker_lease_s)
        await region.wait_until(lambda: "node-2" in users.healthy())
        assert "node-2" not in region.owners().values()
        await users.users[0].move_to("node-2")
        cut(region, "node-2")
        await curio.sleep(CUT_S)
        assert users.longest_silence_s() < ALONE_WITHIN_S
        assert users.healthy() == {"node-0", "node-1"}

    _simulate_users(scenario)


@pytest.mark.parametrize("outage_s", [20.0, CUT_S])
@pytest.mark.parametrize("is_silent", [False, True])
@pytest.mark.parametrize("restarted", [None, "node-0"])
def test_an_outage_for_all_resets_no_user(
    outage_s: float, is_silent: bool, restarted: str | None
) -> None:
    """Guards against a load balancer without healthy controllers after an outage."""

    async def scenario(users: UsersBehindLoadBalancer) -> None:
        region = users.region
        if is_silent:
            region.cut_from_state.update(Region.LABELS)
        else:
            region.state.is_down = True
        await curio.sleep(8.0)
        if restarted is not None:
            # its users lose their connections with the process, which can't read the state
            await region.restart(restarted, 4.0)
        await curio.sleep(outage_s)
        assert users.balancer.resets == []
        assert users.healthy() == set(Region.LABELS) - {restarted}
        region.cut_from_state.clear()
        region.state.is_down = False
        ended_at = region.clock.now()
        await region.wait_until(lambda: all(u.answered_at > ended_at for u in users.users), 15.0)
        assert users.balancer.resets == []

    _simulate_users(scenario)


@CUTS
def test_a_controller_gets_users_again_once_it_is_connected(cut: Cut) -> None:
    """Guards against a controller that stays isolated, or that is marked unhealthy repeatedly."""

    async def scenario(users: UsersBehindLoadBalancer) -> None:
        cut(users.region, "node-0")
        await curio.sleep(40.0)
        users.region.reconnect()
        await users.region.wait_until(lambda: "node-0" in users.healthy(), 10.0)
        await curio.sleep(CUT_S)
        assert users.healthy() == set(Region.LABELS)
        assert len(users.balancer.marks["node-0"].removals) == 1
        user = PollingUser(users.region, users.balancer, "wk-000099")
        await user.submit()
        assert user.connection is not None
        assert user.connection.label == "node-0", "it has the fewest connections"

    _simulate_users(scenario)


@CUTS
def test_an_isolated_controller_refuses_users_and_others_serve_them(cut: Cut) -> None:
    """Guards against a 503 of users' requests that differs from what `/healthz` says."""

    async def scenario(users: UsersBehindLoadBalancer) -> None:
        region = users.region
        await region.submit("node-0", "wk-000050", run_s=1.0, sacks=1, cards=1.0)
        await region.wait_until(lambda: region.has_finished("wk-000050", 1))
        await region.wait_until(lambda: region.nodes["node-0"].cluster.jobs["wk-000050"].has_ended)
        cut(region, "node-0")
        await region.wait_until(lambda: "node-0" not in users.healthy())
        assert await region.submit("node-0", "wk-000051", sacks=1) == UNAVAILABLE
        assert await region.query_job("node-0", "wk-000000") == UNAVAILABLE
        assert await region.cancel("node-0", "wk-000000") == UNAVAILABLE
        assert await region.query_job("node-0", "wk-000050") == OK, "a final state"
        assert await region.submit("node-1", "wk-000051", sacks=1) == CREATED
        assert await region.cancel_until_confirmed("node-1", "wk-000000", 60.0)

    _simulate_users(scenario)


@CUTS
def test_users_leave_a_cut_controller_that_runs_with_recovery(cut: Cut) -> None:
    """Guards against `forgotten` in a fleet with `--recovery`."""

    async def scenario(region: Region) -> None:
        users = UsersBehindLoadBalancer(region)
        await users.begin()
        cut(region, "node-0")
        await curio.sleep(CUT_S)
        assert users.longest_silence_s() < ALONE_WITHIN_S

    simulate_recovery(scenario, recovery_settings())
