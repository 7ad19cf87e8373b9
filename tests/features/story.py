"""The script of a scenario: what is prepared, what happens, and what came of it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from bench.history import History
from bench.shapes import LANKASPARK, PRIORITIES
from bench.virtual import run_virtual
from bench.world import Options, World

Action = Callable[[World], Awaitable[None]]
SERVICE = "bays"
ONCE = "reservations"


class Story:
    """The script of one scenario, and what came of it."""

    def __init__(self) -> None:
        self.options = Options()
        self.before: list[Callable[[World], None]] = []
        self.actions: list[Action] = []
        self.seconds = 10.0
        self.after: Action | None = None
        self.world: World | None = None
        self.history: History | None = None
        self.notes: dict[str, object] = {}

    def run(self) -> World:
        """Run the script, once."""
        if self.world is None:
            run_virtual(self._run)
        return self.world

    async def _run(self) -> None:
        self.world = world = World(LANKASPARK, self.options)
        async with world.running():
            for prepare in self.before:
                prepare(world)
            async with trio.open_nursery() as nursery:
                for action in self.actions:
                    nursery.start_soon(action, world)
                await trio.sleep(self.seconds)
                nursery.cancel_scope.cancel()
            await trio.sleep(5.0)
            if self.after is not None:
                await self.after(world)
        self.history = world.history()


def add_load(story: Story, rate: float, regions: dict[str, float] | None = None) -> None:
    """Let callers of the three priorities look up bays, so many times a second together."""
    spread = regions or dict.fromkeys(LANKASPARK.regions, 1.0)
    rates = {priority: rate / len(PRIORITIES) for priority in PRIORITIES}

    async def send(world: World) -> None:
        await world.load(SERVICE, rates, 1_000.0, spread)

    story.actions.append(send)
