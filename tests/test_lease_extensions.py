"""Lease extensions that peers grant while the state service is unavailable."""

from .builders import reported_task
from .fake_clock import FakeClock
from .fake_state_service import StateService
from .placed_jobs import start_placed_task
from .stepped_controller import Nodes, SteppedController, run_scenario


async def _boot_peers(
    state: StateService, clock: FakeClock, nodes: Nodes
) -> list[SteppedController]:
    """Start the two peers of node-0, which can grant it lease extensions."""
    peers = [SteppedController(state, clock, nodes, label) for label in ("node-1", "node-2")]
    for peer in peers:
        await peer.boot()
    return peers


async def _request_extensions(node: SteppedController) -> None:
    await node.lease_extensions.request_grants(sorted(node.membership.ownerships))


async def _fail_to_renew(
    clock: FakeClock, node: SteppedController, peers: list[SteppedController]
) -> None:
    """Let all controllers try to renew their leases, and `node` request extensions."""
    clock.time += node.settings.lease_renewal_interval_s
    for controller in (node, *peers):
        await controller.controller_lease.step()
    await _request_extensions(node)


def test_workers_are_kept_alive_only_while_all_peers_extend_the_lease() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await start_placed_task(state, clock, nodes)
        await _boot_peers(state, clock, nodes)
        running = reported_task("wk-000001", 0, 1, "running")
        await node.renew_and_sync()
        state.is_down = True
        seq = 4
        until = clock.now() + node.settings.max_lease_extension_s - 1
        while clock.now() < until:
            clock.time += node.settings.lease_renewal_interval_s
            seq += 1
            await node.controller_lease.step()
            await _request_extensions(node)
            response = node.report("n-0", 1, seq, node.token(), running)
            assert response.status == 200
        # peers that granted extensions don't acquire the shard, even if its owner's key is deleted
        assert nodes["node-1"].lease_extensions.is_granted_to_peer(0)
        nodes["node-2"].is_unreachable = True
        clock.time += node.settings.lease_extension_grant_s
        await _request_extensions(node)
        assert node.report("n-0", 1, seq + 1, node.token(), running).status in (421, 503)

    run_scenario(scenario)


def test_a_controller_that_is_refused_alone_lets_its_extensions_expire() -> None:
    """Guards against an isolated controller that continues to request extensions.

    The extensions then prevent all peers from acquiring its shards, and worker leases expire.
    """

    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await start_placed_task(state, clock, nodes)
        peers = await _boot_peers(state, clock, nodes)
        for _ in range(8):
            clock.time += node.settings.lease_renewal_interval_s / 2
            for peer in peers:
                await peer.controller_lease.step()
            state.is_down = True
            await node.controller_lease.step()
            state.is_down = False
            await _request_extensions(node)
        assert node.isolation.is_isolated
        clock.time += node.settings.lease_extension_grant_s * 1.1
        await _request_extensions(node)
        assert not peers[0].lease_extensions.is_granted_to_peer(0)
        assert not node.lease_extensions.is_extended()

    run_scenario(scenario)


def test_no_controller_mistakes_a_general_outage_for_its_own_isolation() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await start_placed_task(state, clock, nodes)
        peers = await _boot_peers(state, clock, nodes)
        state.is_down = True
        while not node.isolation.is_isolated and clock.now() < 2000:
            await _fail_to_renew(clock, node, peers)
            failing_since = node.lease_extensions._failing_since
            assert failing_since is not None
            if (
                clock.now() - failing_since
                > node.settings.max_lease_extension_s + node.settings.lease_extension_grant_s * 1.1
            ):
                break
        assert not node.isolation.is_isolated
        # once node no longer responds to workers, its extensions don't block acquisitions
        assert not peers[0].lease_extensions.is_granted_to_peer(0)

    run_scenario(scenario)


def test_the_first_controller_served_after_an_outage_does_not_make_others_isolated() -> None:
    """Guards against mistaking the end of an outage for isolation, as two of three controllers did.

    A peer that is served first after an outage looks like a peer that was served all along.
    """

    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await start_placed_task(state, clock, nodes)
        peers = await _boot_peers(state, clock, nodes)
        state.is_down = True
        for _ in range(3):
            await _fail_to_renew(clock, node, peers)
        state.is_down = False
        await peers[0].controller_lease.step()
        clock.time += 0.1
        await _request_extensions(node)
        await _request_extensions(node)
        assert not node.isolation.is_isolated

    run_scenario(scenario)


def test_a_restarted_controller_waits_for_extensions_that_it_may_have_granted() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        first = SteppedController(state, clock, nodes, "node-0")
        await first.boot()
        lease = first.controller_lease.lease_id
        assert lease is not None
        state.end_lease(lease)
        # node-0 relies on lease extensions while its key is deleted; node-1 has just restarted
        other = SteppedController(state, clock, nodes, "node-1")
        first.is_unreachable = True
        await other.boot(wait_for_grants=False)
        assert 0 not in other.membership.ownerships
        assert not other.lease_extensions.is_free_of_prior_grants(0)
        clock.time += other.settings.lease_extension_grant_s * 1.1
        assert other.lease_extensions.is_free_of_prior_grants(0)

    run_scenario(scenario)
