"""Two troubles at once, played over the simulated region: no rule may break."""

import curio
import pytest

from .simulation import Region, simulate


def test_a_quiet_spell_keeps_every_rule() -> None:
    """What all other stories here begin with; it also shows that the judge sees tasks run."""

    async def story(region: Region) -> None:
        await region.begin(machines=2)
        assert await region.submit("node-1", "wk-000001", sacks=3) == 201
        assert await region.submit("node-2", "wk-000002", run_s=5.0, sacks=2) == 201
        await region.until(lambda: len(region.running("wk-000001")) > 0)
        await region.until(lambda: len(region.judge.jobs["wk-000002"].finished) == 2)
        await curio.sleep(3.0)
        assert await region.show("node-0", "wk-000002") == 200
        assert region.judge.jobs["wk-000002"].done is not None
        assert await region.cancel("node-2", "wk-000001") == 200
        await curio.sleep(3.0)
        assert not region.running("wk-000001")

    simulate(story)


def _everything(method: str, path: str) -> bool:
    return True


def _reads(method: str, path: str) -> bool:
    """The lease is renewed, but nothing is read or written."""
    return not path.startswith("/holds")


async def _gap(region: Region, refused: str, refuses: object, alone_s: float) -> None:
    """node-0 is refused alone; another controller confirms a cancellation; then all are refused
    for longer than cancel_s, while the worker goes on reporting to node-0."""
    await region.until(lambda: len(region.running("wk-000001")) > 0)
    before = region.clock.now()
    if refuses == "flapping":
        region.refused[refused] = lambda m, p: (region.clock.now() - before) % 1.0 < 0.8
    else:
        region.refused[refused] = refuses  # type: ignore[assignment]
    await curio.sleep(0.3)
    told = await region.cancel_until_told("node-1", "wk-000001", max(0.1, alone_s - 0.3))
    await curio.sleep(max(0.0, before + alone_s - region.clock.now()))
    region.state.down = True
    await curio.sleep(4.0)
    region.refused.clear()
    await curio.sleep(region.cancel_s * 1.4)
    region.state.down = False
    await curio.sleep(10.0)
    assert told, "the story is about a cancellation that was confirmed"
    assert not region.running("wk-000001")


@pytest.mark.parametrize("refuses", [_everything, _reads, "flapping"])
@pytest.mark.parametrize("alone_s", [1.5, 8.0, 14.0, 36.0])
@pytest.mark.parametrize("peers", ["together", "apart"])
def test_gap(refuses: object, alone_s: float, peers: str) -> None:
    """A controller that is refused alone knows of no cancellation that others confirm, and what
    it keeps alive must end in time all the same. On its lease alone it went on for ever where
    renewals succeeded and reads did not."""

    async def story(region: Region) -> None:
        # apart from the others it could not be told as its zone's deputy, and the user would wait
        await region.begin(machines=2, zone="south" if peers == "apart" else "north")
        await region.submit("node-1", "wk-000001", sacks=2)
        await region.until(lambda: len(region.running("wk-000001")) > 0)
        if peers == "apart":
            region.apart.add("node-0")
        await _gap(region, "node-0", refuses, alone_s)

    simulate(story)
