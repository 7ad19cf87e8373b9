"""`make bench`: every case of the policy table, several at a time, each in a process of its own."""

from __future__ import annotations

import multiprocessing
import os
import time

from bench.policy import cases, measure, print_table


def main() -> None:
    """Measure all cases and print the table."""
    started = time.perf_counter()
    wanted = sorted(cases(), key=lambda case: -case.load)
    workers = max(1, (os.cpu_count() or 2) - 1)
    with multiprocessing.get_context("spawn").Pool(workers, maxtasksperchild=1) as pool:
        results = pool.map(measure, wanted, chunksize=1)
    order = {case: index for index, case in enumerate(cases())}
    print_table(sorted(results, key=lambda figure: order[figure.case]))
    print(f"\n{len(results)} runs in {time.perf_counter() - started:.0f} s on {workers} workers")


if __name__ == "__main__":
    main()
