"""Runs soaks from the command line; exits with 1 if a promise did not hold."""

from __future__ import annotations

import argparse
import shutil
import sys

import trio

from bench.soak import Report, Shape, soak


def main() -> int:
    """Play the runs that were asked for, and print what each showed."""
    parser = argparse.ArgumentParser(prog="python -m bench.soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="seed of the first run")
    parser.add_argument("--runs", type=int, default=1, help="how many runs, each with its own seed")
    for field in ("replicas", "gateways", "upstreams", "callers", "faults", "cuts", "freezes"):
        parser.add_argument(f"--{field}", type=int, default=getattr(Shape(), field))
    parser.add_argument("--seconds", type=float, default=Shape().seconds)
    chosen = vars(parser.parse_args())
    first, runs = chosen.pop("seed"), chosen.pop("runs")
    failed = 0
    for seed in range(first, first + runs):
        report = trio.run(soak, seed, Shape(**chosen))
        show(report)
        failed += bool(report.violations)
        if not report.violations:
            shutil.rmtree(report.folder)
    print(f"{runs} runs, {failed} with a promise broken")
    return 1 if failed else 0


def show(report: Report) -> None:
    """Print one run; the plan as well if a promise did not hold."""
    answers = " ".join(f"{status}:{count}" for status, count in report.statuses.items())
    print(
        f"seed {report.seed}: {answers}; {report.runs} runs at back ends, "
        f"{report.changes} changes, {report.added_asked} answers on added routes, "
        f"{report.left} back ends left, {report.ended} ended under requests, "
        f"{report.asked} refusals asked for rest, {report.limited} answers named a limit",
        flush=True,
    )
    if not report.violations:
        return
    for violation in report.violations[:20]:
        print(f"  BROKEN {violation.promise}: {violation.evidence}")
    for fault in report.plan:
        print(f"  {fault.at:6.2f} s {fault.kind.value} {fault.target} for {fault.for_s:g} s")
    print(f"  logs: {report.folder}", flush=True)


if __name__ == "__main__":
    sys.exit(main())
