"""Many routes accepted at once reach gateways on narrow links in time, and only once each."""

import msgspec
import pytest
import trio
import trio.testing

from finchway.feed._packing import LARGE_IMAGE_BYTES
from finchway.gateway._image_turn import MAX_WAIT_S
from finchway.state import ChangeItems
from tests.gateway.test_stale_configuration import MAX_APPLY_DELAY_S
from tests.gateway.test_startup_feed import REPLICAS, Replicas, StartingGateway
from tests.unit.test_packing import made_up_routes

ROUTES = 1_400
MANY_MORE_ROUTES = 11_200
# The replicas' answers take turns with callers' requests on the link.
LINK_BYTES_PER_S = 250_000
SHARES_OF_CALLERS = [0.0, 0.5]
# Seconds after which the link must be as idle as before.
SETTLED_AFTER_S = 6.0
CALM_BYTES_PER_S = 4_000


async def start_gateway(nursery: trio.Nursery) -> StartingGateway:
    """Return a gateway that knows all upstreams and has nothing on its way."""
    gateway = StartingGateway(Replicas(upstreams=50))
    nursery.start_soon(gateway.session.run)
    await gateway.wait_for(lambda view: view.is_ready)
    await trio.sleep(2.0)
    return gateway


@pytest.mark.parametrize("routes", [ROUTES, MANY_MORE_ROUTES])
@pytest.mark.parametrize("share_of_callers", SHARES_OF_CALLERS)
def test_many_routes_are_in_force_in_time_on_a_narrow_link(share_of_callers, routes, monkeypatch):
    """Guards against polls that give up large answers and ask for all of them again, for good."""
    free = LINK_BYTES_PER_S * (1 - share_of_callers)
    monkeypatch.setattr("tests.gateway.test_startup_feed.LINK_BYTES_PER_S", free)

    async def check():
        async with trio.open_nursery() as nursery:
            gateway = await start_gateway(nursery)
            gateway.link.answers.clear()
            gateway.change(ChangeItems(now_ms=0, items=made_up_routes(routes)))
            took = await gateway.wait_for(lambda view: view.steering.revision >= 2)
            assert took <= MAX_APPLY_DELAY_S
            await trio.sleep(SETTLED_AFTER_S - took)
            largest = max(size for _, size in gateway.link.answers)
            total = sum(size for _, size in gateway.link.answers)
            calm = CALM_BYTES_PER_S * SETTLED_AFTER_S
            # Another replica is asked only while the first has not delivered it for so long.
            copies = 1 + int(largest / free / MAX_WAIT_S)
            assert total <= copies * largest + calm
            assert gateway.link.idle_in <= 0.1
            nursery.cancel_scope.cancel()

    trio.run(check, clock=trio.testing.MockClock(autojump_threshold=0))


def test_many_routes_arrive_in_time_if_the_replica_that_sends_them_is_cut_off(monkeypatch):
    """Guards against a gateway that waits for a large image that never comes."""
    monkeypatch.setattr("tests.gateway.test_startup_feed.LINK_BYTES_PER_S", LINK_BYTES_PER_S)

    async def check():
        async with trio.open_nursery() as nursery:
            gateway = await start_gateway(nursery)
            for version, address in enumerate(REPLICAS, start=4):
                await trio.sleep(2.0)
                gateway.link.cut_off = {address}
                await trio.sleep(0.3)
                before = gateway.view.steering.revision
                routes = made_up_routes(MANY_MORE_ROUTES)
                routes = [msgspec.structs.replace(route, version=version) for route in routes]
                gateway.change(ChangeItems(now_ms=0, items=routes))
                took = await gateway.wait_for(
                    lambda view, known=before: view.steering.revision > known
                )
                assert took <= MAX_APPLY_DELAY_S
            nursery.cancel_scope.cancel()

    trio.run(check, clock=trio.testing.MockClock(autojump_threshold=0))


@pytest.mark.parametrize("count", [6, 65, 195])
def test_many_routes_are_in_force_at_all_gateways_in_time(count, monkeypatch):
    """The replicas answer all gateways at once; each has a narrow link of its own."""
    monkeypatch.setattr("tests.gateway.test_startup_feed.LINK_BYTES_PER_S", LINK_BYTES_PER_S)

    async def check():
        replicas = Replicas(upstreams=50)
        gateways = [StartingGateway(replicas, f"g{number}") for number in range(count)]
        async with trio.open_nursery() as nursery:
            for gateway in gateways:
                nursery.start_soon(gateway.session.run)
            await trio.sleep(4.0)
            assert all(gateway.view.is_ready for gateway in gateways)
            replicas.change(ChangeItems(now_ms=0, items=made_up_routes(ROUTES)))
            await trio.sleep(MAX_APPLY_DELAY_S)
            assert {gateway.view.steering.revision for gateway in gateways} == {2}
            assert max(gateway.link.idle_in for gateway in gateways) <= 0.1
            for gateway in gateways:
                sizes = [size for _, size in gateway.link.answers]
                assert sum(size >= LARGE_IMAGE_BYTES for size in sizes) == 1
            nursery.cancel_scope.cancel()

    trio.run(check, clock=trio.testing.MockClock(autojump_threshold=0))
