"""Tests of the choice of cells, by replaying loads through it."""

import collections
import dataclasses
import random
import unittest

from carobramp_core.cells.cell_choice import (
    Candidate,
    Demand,
    OfferKind,
    choose_cells,
)

DEMAND = Demand(tasks=4, run_s=0.1, left_s=0.22)


def cell(name, startable, **fields) -> Candidate:
    """Build an idle cell for 100 tasks; tilburg is the home cell."""
    home = name == "tilburg"
    return Candidate(name, startable, places=100, home=home, **fields)


def replay(candidates, jobs, demand=DEMAND, seed=1):
    """Choose cells for jobs in a row, each seeing the offers before it.

    Returns the number of tasks by cell and the kinds of the shares.
    """
    rng = random.Random(seed)
    tasks, kinds = collections.Counter(), collections.Counter()
    cells = {item.cell: item for item in candidates}
    for _ in range(jobs):
        for share in choose_cells(list(cells.values()), demand, rng):
            item = cells[share.cell]
            left = item.startable - share.tasks
            cells[share.cell] = dataclasses.replace(item, startable=left)
            tasks[share.cell] += share.tasks
            kinds[share.kind] += 1
    return tasks, kinds


class LoadTests(unittest.TestCase):
    """Loads that differ between cells."""

    def test_zone_with_twice_its_load(self):
        """Guards against jobs that wait at home while other cells are idle."""
        cells = [cell("tilburg", 20), cell("breda", 30), cell("delft", 30)]
        tasks, kinds = replay(cells, jobs=15)
        self.assertEqual(tasks["tilburg"], 20)
        self.assertEqual(kinds[OfferKind.WAIT], 0)
        self.assertGreater(min(tasks["breda"], tasks["delft"]), 8)

    def test_half_of_the_traffic_moves(self):
        """Guards against jobs offered away from a home cell that has room again."""
        before, _ = replay([cell("tilburg", 0), cell("breda", 40)], jobs=5)
        after, _ = replay([cell("tilburg", 40), cell("breda", 0)], jobs=5)
        self.assertEqual((before, after), ({"breda": 20}, {"tilburg": 20}))

    def test_slow_cell_beside_a_fast_one(self):
        """Guards against tasks on slow upstreams while fast ones are free.

        The slow home cell misses the objective although it can start all tasks.
        """
        slow = cell("tilburg", 100, speed=0.4)
        tasks, _ = replay([slow, cell("breda", 20, speed=1.2)], jobs=6)
        self.assertEqual(tasks, {"breda": 20, "tilburg": 4})

    def test_fast_cell_with_a_short_wait(self):
        """Guards against a wait that is compared without the run time behind it."""
        slow = cell("tilburg", 0, wait_s=0.01, speed=0.4)
        fast = cell("breda", 0, wait_s=0.06, speed=1.2)
        (share,) = choose_cells([slow, fast], DEMAND, random.Random(1))
        self.assertEqual((share.cell, share.kind), ("breda", OfferKind.WAIT))

    def test_slow_cell_with_much_room(self):
        """Guards against a choice among others that follows the room alone."""
        cells = [cell("breda", 90, speed=0.6), cell("delft", 30, speed=1.2)]
        for seed in range(20):
            (share,) = choose_cells(cells, DEMAND, random.Random(seed))
            self.assertEqual(share.cell, "delft")

    def test_forty_entries_with_the_same_report(self):
        """Guards against entries that all send their jobs to the same cell."""
        cells = [cell(name, 60) for name in ("breda", "delft", "gouda")]
        chosen = collections.Counter(
            choose_cells(cells, DEMAND, random.Random(seed))[0].cell
            for seed in range(40)
        )
        self.assertEqual(len(chosen), 3)
        self.assertLessEqual(max(chosen.values()), 20)

    def test_forty_entries_that_wait(self):
        """Guards against entries that all let their jobs wait at the same cell."""
        cells = [cell(name, 0, wait_s=0.05) for name in ("breda", "delft", "gouda")]
        chosen = collections.Counter(
            choose_cells(cells, DEMAND, random.Random(seed))[0].cell
            for seed in range(40)
        )
        self.assertEqual(len(chosen), 3)
        self.assertLessEqual(max(chosen.values()), 20)

    def test_home_cell_with_a_long_wait(self):
        """Guards against a wait at home while every other cell is much earlier."""
        cells = [cell("tilburg", 0, wait_s=0.5)]
        cells += [cell(name, 0, wait_s=0.05) for name in ("breda", "delft", "gouda")]
        chosen = collections.Counter(
            choose_cells(cells, DEMAND, random.Random(seed))[0].cell
            for seed in range(40)
        )
        self.assertEqual(set(chosen), {"breda", "delft", "gouda"})
        self.assertLessEqual(max(chosen.values()), 20)

    def test_home_cell_with_about_the_same_wait(self):
        """Guards against jobs that leave their zone for a difference within errors."""
        cells = [cell("breda", 0, wait_s=0.05), cell("tilburg", 0, wait_s=0.06)]
        (share,) = choose_cells(cells, DEMAND, random.Random(1))
        self.assertEqual(share.cell, "tilburg")


class SplitTests(unittest.TestCase):
    """Jobs that no cell can start alone."""

    def test_shares_contain_all_tasks(self):
        """Guards against a task that is offered twice or never."""
        cells = [cell("tilburg", 3), cell("breda", 5), cell("delft", -2)]
        shares = choose_cells(cells, Demand(8, 0.1, 0.22), random.Random(1))
        self.assertEqual(
            [(s.cell, s.tasks) for s in shares], [("tilburg", 3), ("breda", 5)]
        )

    def test_job_is_not_split_if_a_part_would_wait(self):
        """Guards against runs that wait for tasks which cannot start anywhere."""
        cells = [cell("tilburg", 3, wait_s=0.01), cell("breda", 4, wait_s=0.01)]
        (share,) = choose_cells(cells, Demand(8, 0.1, 0.22), random.Random(1))
        self.assertEqual((share.tasks, share.kind), (8, OfferKind.WAIT))

    def test_cells_that_were_tried(self):
        """Guards against a second vain offer by the same report."""
        tried = cell("breda", 50, tried=True)
        (share,) = choose_cells([tried, cell("delft", 4)], DEMAND, random.Random(1))
        self.assertEqual(share.cell, "delft")
        (share,) = choose_cells([tried, cell("delft", 3)], DEMAND, random.Random(1))
        self.assertEqual(share.kind, OfferKind.WAIT)
