"""A fault soak: real processes on loopback, faults from outside, promises checked from outside.

One run starts control replicas and gateways as processes, plays callers and back ends of its own,
and carries out a seeded plan of faults that come in series and overlap: signals, restarts, lost
disks, resets and cuts by loopback proxies, clocks that jump, storage that stalls or refuses,
readers of logs that stop. It then compares what callers and back ends saw with what finchway
promises.

    python -m bench.soak --seed 7 --seconds 40
"""

from bench.soak._checks import Violation, check
from bench.soak._ledger import Answer, FaultWindow, Ledger, Run, Sent
from bench.soak._plan import Fault, FaultKind, Shape, make_plan
from bench.soak._proxy import Mode, Proxy
from bench.soak._run import Report, soak

__all__ = [
    "Answer",
    "Fault",
    "FaultKind",
    "FaultWindow",
    "Ledger",
    "Mode",
    "Proxy",
    "Report",
    "Run",
    "Sent",
    "Shape",
    "Violation",
    "check",
    "make_plan",
    "soak",
]
