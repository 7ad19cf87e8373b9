"""Health probes of upstreams, and polling of the platform's instance list.

Each upstream is probed by a few entries, chosen by rendezvous hashing from those that share it;
the leader distributes their results to the others. An entry also probes upstreams whose slots it
holds if their last report is stale, and all of them while the leader does not respond.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Awaitable, Callable

import httpcore
import msgspec
import trio
from msgspec import Struct

from finchway.entry._call import UpstreamError
from finchway.entry._upstream import UpstreamClient
from finchway.entry._view import EntryView
from finchway.exceptions import FinchwayError, TransportError
from finchway.membership import PlatformList, PlatformView
from finchway.observe import EventKind, Timeline
from finchway.policy import LoadReport

_LOG = logging.getLogger(__name__)
_RANDOM = random.Random()
PROBE_INTERVAL_S = 0.5
REPORT_STALE_S = 1.0
MIN_PROBE_INTERVAL_S = 1.0
PROBERS_PER_UPSTREAM = 2
PROBE_TIMEOUT_S = 0.5
PLATFORM_INTERVAL_S = 1.0
# Upstreams of any region that are probed in each round while none seems to be in reach.
SAMPLED_UPSTREAMS = 3
HEALTH_PATH = "/finchway/health"
MAX_HEALTH_BYTES = 65_536


class Health(Struct, frozen=True, kw_only=True):
    """The response body of `GET /finchway/health`.

    `load` is the number of busy slots and queued requests divided by the number of slots.
    `leaving` requests no new work.
    """

    load: float | None = None
    leaving: bool = False
    incarnation: str = ""


class Prober:
    """Probes upstreams and polls the platform's instance list."""

    def __init__(
        self,
        view: EntryView,
        client: UpstreamClient,
        timeline: Timeline,
        platform: Callable[[], Awaitable[PlatformList]] | None,
        instance: str,
        is_leader_reachable: Callable[[], bool],
    ) -> None:
        self._view = view
        self._instance = instance
        self._is_leader_reachable = is_leader_reachable
        self._probed_at: dict[str, float] = {}
        self._client = client
        self._timeline = timeline
        self._platform = platform
        self._platform_view = PlatformView()

    async def run(self) -> None:
        """Probe until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._probe_forever)
            if self._platform is not None:
                nursery.start_soon(self._poll_platform, self._platform)

    async def _probe_forever(self) -> None:
        while True:
            async with trio.open_nursery() as nursery:
                for address in self._due():
                    self._probed_at[address] = trio.current_time()
                    nursery.start_soon(self._probe, address)
            await self._client.keep_only(self._accepting_upstreams())
            await trio.sleep(PROBE_INTERVAL_S)

    def _accepting_upstreams(self) -> set[str]:
        """Return the upstreams that may receive new requests."""
        return {s.address for s in self._view.directory if not (s.leaving or s.drained)}

    def _due(self) -> list[str]:
        """Return the upstreams that are due for a probe."""
        now = trio.current_time()
        targets = self._view.probe_targets(PROBERS_PER_UPSTREAM, self._instance)
        is_doubtful = self._is_reach_doubtful(now)
        own = self._view.own_upstreams(now)
        if is_doubtful:
            own |= self._sampled_upstreams()
        due = []
        for state in self._view.directory:
            address = state.address
            probed_at = self._probed_at.get(address, float("-inf"))
            if now - probed_at < MIN_PROBE_INTERVAL_S or address not in own | targets:
                continue
            if self._view.directory.backoff_left_s(address, now) > 0:
                continue
            is_stale = state.report is None or now - state.report.at > REPORT_STALE_S
            if is_stale or address in targets or not self._is_leader_reachable() or is_doubtful:
                due.append(address)
        return due

    def _sampled_upstreams(self) -> set[str]:
        """Return a few upstreams of any region.

        They tell a region that is down from a cut of this entry, and show the end of a cut to an
        entry that holds no slots any more.
        """
        known = [state.address for state in self._view.directory]
        return set(_RANDOM.sample(known, min(SAMPLED_UPSTREAMS, len(known))))

    def _is_reach_doubtful(self, now: float) -> bool:
        """Return whether this entry may be cut off, so that it has to see for itself."""
        reach = self._view.reach
        return reach.is_cut_off or reach.needs_check(now)

    async def _probe(self, address: str) -> None:
        health = await self._fetch_health(address)
        now = trio.current_time()
        if health is None:
            return
        self._view.record_connected(address, now)
        directory = self._view.directory
        directory.record_incarnation(address, health.incarnation, now)
        if health.load is not None:
            directory.record_report(address, LoadReport(health.load, now))
        if health.leaving and directory.mark_leaving(address):
            self._timeline.record(EventKind.UPSTREAM_LEAVING, address, "said by its health")
        self._reopen_region(address)

    def _reopen_region(self, address: str) -> None:
        """Reopen a region that is down after a successful probe of one of its upstreams."""
        key = self._view.pool_of(address)
        if key is not None and self._view.is_region_down(*key):
            basis = self._view.describe_region(key, trio.current_time())
            self._view.reopen(key)
            detail = f"{address}: its health answers; {basis}"
            self._timeline.record(EventKind.REGION_UP, "/".join(key), detail)

    async def _fetch_health(self, address: str) -> Health | None:
        with trio.move_on_after(PROBE_TIMEOUT_S):
            try:
                headers = [(b"host", b"health")]
                opened = self._client.open(
                    address, "GET", HEALTH_PATH, headers, b"", lambda: self._is_not_resting(address)
                )
                async with opened as reply:
                    body = b"".join([chunk async for chunk in reply.chunks()])
                    if reply.status != 200 or len(body) > MAX_HEALTH_BYTES:
                        return None
                    return msgspec.json.decode(body, type=Health)
            except UpstreamError as error:
                _LOG.debug("health of %s: %s", address, error)
                if not error.healthy:
                    self._view.reach.record_unreachable(address, trio.current_time())
                return None
            except msgspec.MsgspecError as error:
                _LOG.debug("health of %s: %s", address, error)
                return None
        self._view.reach.record_unreachable(address, trio.current_time())
        return None

    def _is_not_resting(self, address: str) -> bool:
        return self._view.directory.backoff_left_s(address, trio.current_time()) <= 0

    async def _poll_platform(self, source: Callable[[], Awaitable[PlatformList]]) -> None:
        while True:
            try:
                self._platform_view.record(await source())
                self._mark_leaving()
            except FinchwayError as error:
                _LOG.debug("fetching the platform's instance list failed: %s", error)
            await trio.sleep(PLATFORM_INTERVAL_S)

    def _mark_leaving(self) -> None:
        for name in self._platform_view.leaving:
            if self._view.directory.mark_leaving(name):
                self._timeline.record(EventKind.UPSTREAM_LEAVING, name, "said by the platform")


def platform_source(address: str) -> Callable[[], Awaitable[PlatformList]]:
    """Return a function that fetches the instance list from `http://address/instances`."""

    async def fetch() -> PlatformList:
        try:
            with trio.fail_after(1.0):
                async with httpcore.AsyncConnectionPool() as pool:
                    response = await pool.request("GET", f"http://{address}/instances")
            return msgspec.json.decode(response.content, type=PlatformList)
        except (trio.TooSlowError, httpcore.NetworkError, httpcore.ProtocolError) as error:
            raise TransportError(f"platform at {address}: {error}") from error
        except (httpcore.TimeoutException, msgspec.MsgspecError) as error:
            raise TransportError(f"platform at {address}: {error}") from error

    return fetch
