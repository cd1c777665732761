"""An established session survives any planned change."""

from collections import Counter
from functools import partial
from random import Random
from typing import Final

import attrs
import trio

from burdocksill.entry.components import Components
from burdocksill.ownership.succession import NoSuccessorPolicy
from burdocksill_lab.fakes.deterministic import run_seeded
from burdocksill_lab.fakes.world import open_world
from burdocksill_lab.proofs.accounts import Books, check_once, runs
from burdocksill_lab.proofs.base import Figure, ProofResult
from burdocksill_lab.proofs.planned_change import (
    Fleet,
    check_all_done,
    open_sessions,
)

BUSY: Final = 12
IDLE: Final = 6
# Longer than a cookie's life, so that idle flows hold an old one.
LONG_SILENCE_SECONDS: Final = 700.0


async def story(
    seed: int, components: Components, books: Books
) -> Counter[bytes]:
    """Change everything that operators may change under open sessions."""
    async with open_world(seed, components=components) as world:
        fleet = Fleet(world=world, books=books, rng=Random(seed))
        await fleet.start()
        over = trio.Event()
        async with trio.open_nursery() as nursery:
            await open_sessions(fleet, nursery, over, busy=BUSY, idle=IDLE)
            changes = [
                fleet.replace_every_vm,
                fleet.edit_document,
                fleet.rotate_keys,
            ]
            fleet.rng.shuffle(changes)
            for change in changes:
                await change()
            fleet.busy_over.set()
            if seed % 2:
                await trio.sleep(LONG_SILENCE_SECONDS)
            over.set()
        return runs(
            [entry.payload for entry in stand_in.ledger]
            for stand_in in world.upstreams.values()
        )


@attrs.define(kw_only=True)
class FlowSurvivesProof:
    """Replace every VM, edit the document, rotate keys under sessions."""

    promise: str = (
        'An established session survives any planned change, unless '
        'operators take its failure domain out.'
    )

    def run(self, *, seed: int, control: bool) -> ProofResult:
        """Run the story; the control hands over to nobody."""
        components = (
            Components(successor_policy=NoSuccessorPolicy)
            if control
            else Components()
        )
        books = Books()
        ran = run_seeded(seed, partial(story, seed, components, books))
        return ProofResult(
            violation=check_all_done(books) or check_once(books, ran),
            trace=tuple(books.trace),
            figures=(
                Figure(name='sessions', value=BUSY + IDLE),
                Figure(name='requests', value=len(books.accounts)),
                Figure(name='runs', value=ran.total()),
            ),
        )


PROOF: Final = FlowSurvivesProof()
