"""Full reads and syncs of the state watcher while the state changes."""

from collections.abc import Callable

import curio
import pytest

from crossmill.cluster import keys
from crossmill.state.client import StateClient
from crossmill.state.mirror import Mirror
from crossmill.state.watcher import StateWatcher

from .builders import make_settings
from .fake_clock import FakeClock
from .fake_state_service import StateService
from .stepped_controller import SteppedController, run_scenario, seed

Nodes = dict[str, SteppedController]


class _PagedStateHttp:
    """A delayed connection to the state service that calls a function after each page read."""

    def __init__(
        self, state: StateService, after_page: Callable[[int], None] = lambda pages_read: None
    ) -> None:
        self._state = state
        self._after_page = after_page
        self._pages = 0

    async def request(
        self, method: str, path: str, body: bytes = b"", timeout_s: float = 2.0
    ) -> tuple[int, bytes]:
        await curio.sleep(0)
        response = await self._state.request(method, path, body, timeout_s)
        await curio.sleep(0)
        if path.startswith("/keys?"):
            self._pages += 1
            self._after_page(self._pages)
        return response


@pytest.mark.parametrize("is_first", [True, False])
def test_a_full_read_is_a_state_that_existed_at_one_revision(is_first: bool) -> None:
    # guards against publishing pages read at different times as one state: it can show a plan
    # without its machine, or a job without the records written in the same transaction
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        state.page_items = 2
        for name in ("b", "c", "d", "e"):
            state.put(keys.ROOT + name, 0)

        def change_keys(pages_read: int) -> None:
            if pages_read == 1:
                # a key on the page already read, and two keys on later pages
                state.put(keys.ROOT + "a", 1)
                state.put(keys.ROOT + "e", 1)
                state.delete(keys.ROOT + "d")

        settings = make_settings()
        client = StateClient(settings, clock, _PagedStateHttp(state, change_keys))
        mirror = Mirror()
        watcher = StateWatcher(client, mirror, clock, keys.ROOT, settings)
        if not is_first:
            mirror.revision = 0
            watcher.current_at = clock.now()
        await watcher.load()
        at_revision = {name: value for name, (value, _, _) in state.keys.items()}
        assert mirror.revision == state.revision
        assert {name: mirror.value(name) for name in at_revision} == at_revision
        assert mirror.version(keys.ROOT + "d") == 0

    run_scenario(scenario)


def test_two_loops_that_detect_a_compaction_make_one_full_read() -> None:
    # guards against the watch and a sync each reading all keys: the load delays all other requests
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock, machines=1)
        node = SteppedController(_PagedStateHttp(state), clock, nodes)
        await node.boot()
        state.put(keys.ROOT + "x", 1)
        state.put(keys.ROOT + "y", 1)
        state.compact()
        before = node.mirror.full_read_count
        watch = await curio.spawn(node.watcher.step, 0.0)
        await node.sync()
        await watch.join()
        assert node.mirror.value(keys.ROOT + "y") == 1
        assert node.mirror.full_read_count == before + 1

    run_scenario(scenario)


def test_a_sync_includes_changes_made_after_a_concurrent_full_read_began() -> None:
    # regression test for the invariant went_back (tests/invariant_checker.py): a full read begun
    # earlier misses changes that were durable when sync was called
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock, machines=1)
        node = SteppedController(_PagedStateHttp(state), clock, nodes)
        await node.boot()
        state.put(keys.ROOT + "x", 1)
        state.compact()
        for turns in range(30):
            watch = await curio.spawn(node.watcher.step, 0.0)
            for _ in range(turns):
                await curio.sleep(0)
            state.put(keys.ROOT + "x", 2 + turns)
            await node.sync()
            assert node.mirror.value(keys.ROOT + "x") == 2 + turns
            await watch.join()
            state.put(keys.ROOT + "y", turns)
            state.compact()

    run_scenario(scenario)
