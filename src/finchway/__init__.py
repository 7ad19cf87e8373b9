"""finchway: global traffic steering, and the coordination components it is built from.

The classes exported here can be embedded; they do no I/O and read no clock:

    from finchway import Core, Gate, StateMachine
"""

from finchway.exceptions import FinchwayError
from finchway.membership import Coordinator, PlatformView
from finchway.policy import BlockTable, Directory, Gate, Holder, Lender, RetryBudget
from finchway.replication import Core, Storage
from finchway.resources import ResourceStore
from finchway.state import StateMachine

__version__ = "0.1.0"

__all__ = [
    "BlockTable",
    "Coordinator",
    "Core",
    "Directory",
    "FinchwayError",
    "Gate",
    "Holder",
    "Lender",
    "PlatformView",
    "ResourceStore",
    "RetryBudget",
    "StateMachine",
    "Storage",
]
