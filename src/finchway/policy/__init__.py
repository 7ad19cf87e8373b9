"""Traffic policy: routing, capacity shares, admission, shifts, drains, retries, upstream choice.

All classes are free of I/O and take the current time as an argument.
"""

from finchway.policy._admission import (
    DEMOTED_RANK,
    PaidRate,
    RateWindow,
    Refusal,
    ServiceRate,
    Ticket,
    WaitingQueue,
    retry_after,
)
from finchway.policy._attempt_budget import AttemptBudget, BudgetState, KnownGateways
from finchway.policy._blocks import BlockTable
from finchway.policy._choice import Directory, LoadReport, UpstreamState
from finchway.policy._drains import (
    DrainReport,
    DrainView,
    drained_instances,
    drained_upstreams,
    next_drain_status,
    upstreams_of,
)
from finchway.policy._gate import Decision, Gate, Grant
from finchway.policy._hashing import position, rank, rank_weighted
from finchway.policy._holder import Demand, Holder, Loan, LoanTiming
from finchway.policy._key_map import KeyMap
from finchway.policy._lender import Lender
from finchway.policy._limit_parts import part_of_limit
from finchway.policy._local_fraction import LocalFractionLimit
from finchway.policy._outliers import RecentOutcomes, find_outliers
from finchway.policy._placement import UPSTREAMS_PER_KEY, Candidate, UpstreamOrders, choose_for_key
from finchway.policy._planned_stop import PlannedStop
from finchway.policy._reach import UpstreamReach
from finchway.policy._region_health import RegionChoice, RegionHealth, RegionTrial
from finchway.policy._retries import MAX_ATTEMPTS, Attempt, Outcome, RetryBudget, may_retry
from finchway.policy._returns import return_after, return_elsewhere
from finchway.policy._routing import Caller, EntryPoint, Routes, caller_position, client_block
from finchway.policy._shares import (
    ShareKey,
    Slots,
    floor_of,
    floors_in_force,
    lendable,
    next_division,
    owned_by,
    owned_in_force,
    share_name,
    usable_slots,
)
from finchway.policy._shifts import (
    FailoverRamp,
    ShiftView,
    inbound_part,
    next_move_status,
    recent_percent,
)
from finchway.policy._spread import (
    RegionLoad,
    Spread,
    assume_even_demand,
    fraction_of_traffic,
    plan_spread,
)
from finchway.policy._windows import GrowthDetector, Pacer, RateMeter, WindowCount

__all__ = [
    "DEMOTED_RANK",
    "UPSTREAMS_PER_KEY",
    "MAX_ATTEMPTS",
    "Attempt",
    "BlockTable",
    "Caller",
    "Decision",
    "Demand",
    "Directory",
    "DrainReport",
    "DrainView",
    "EntryPoint",
    "FailoverRamp",
    "Gate",
    "Grant",
    "Holder",
    "LocalFractionLimit",
    "KeyMap",
    "Lender",
    "LoadReport",
    "Loan",
    "LoanTiming",
    "Outcome",
    "PaidRate",
    "RateWindow",
    "Refusal",
    "RetryBudget",
    "Routes",
    "ServiceRate",
    "GrowthDetector",
    "ShareKey",
    "ShiftView",
    "Slots",
    "Ticket",
    "UpstreamOrders",
    "UpstreamReach",
    "UpstreamState",
    "WaitingQueue",
    "caller_position",
    "choose_for_key",
    "client_block",
    "drained_instances",
    "drained_upstreams",
    "find_outliers",
    "floor_of",
    "floors_in_force",
    "inbound_part",
    "lendable",
    "may_retry",
    "next_division",
    "next_drain_status",
    "next_move_status",
    "owned_by",
    "owned_in_force",
    "part_of_limit",
    "position",
    "rank",
    "rank_weighted",
    "recent_percent",
    "retry_after",
    "return_after",
    "return_elsewhere",
    "share_name",
    "upstreams_of",
    "usable_slots",
    "AttemptBudget",
    "BudgetState",
    "KnownGateways",
    "Candidate",
    "Pacer",
    "PlannedStop",
    "RateMeter",
    "RegionChoice",
    "RegionHealth",
    "RegionLoad",
    "RegionTrial",
    "Spread",
    "RecentOutcomes",
    "WindowCount",
    "assume_even_demand",
    "plan_spread",
    "fraction_of_traffic",
]
