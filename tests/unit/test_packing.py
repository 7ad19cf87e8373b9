"""Large answers of the feed are compressed, so that they fit the links of gateways."""

import random

import msgspec
import pytest

from finchway.catalog import Backend, CatalogEntry, Item, ItemKind, Route, RouteType, ServiceSpec
from finchway.exceptions import TransportError
from finchway.feed import Feed, ImageCache, PackedFeed, pack, unpack
from finchway.feed._packing import PACK_FROM_BYTES
from finchway.state import ChangeItems, Steering, SteeringImage

ROUTES = 1_400
REPLICAS = 5
# A gateway's link, and the time within which a change must be in force.
LINK_BYTES_PER_S = 2_000_000 / 8
IN_FORCE_WITHIN_S = 3.0


def made_up_routes(count: int) -> list[Item]:
    """Return routes with random names, hosts and paths, which compress no better than real ones."""
    rng = random.Random(1)
    return [
        Item(
            kind=ItemKind.ROUTE,
            name=f"{rng.getrandbits(40):x}",
            version=3,
            spec=Route(
                host=f"{rng.getrandbits(24):x}.example",
                path_prefix=f"/{rng.getrandbits(24):x}/",
                type=RouteType.SAFE,
                target_latency=1.2,
                affinity=True,
                backends=(Backend("s", 1.0),),
                timeout=2.5,
                max_attempts=2,
            ),
        )
        for _ in range(count)
    ]


def add_routes(steering: Steering, routes: list[Item]) -> None:
    """Accept routes, and the service that they lead to."""
    service = Item(kind=ItemKind.SERVICE, name="s", version=1, spec=ServiceSpec())
    steering.change_items(ChangeItems(now_ms=0, items=[service, *routes]))


def feed_with_routes(count: int) -> Feed:
    entries = [CatalogEntry(7, route) for route in made_up_routes(count)]
    return Feed(life="1", order=1, image=SteeringImage(7, entries), age=0.1)


def test_many_new_routes_from_all_replicas_fit_a_gateways_link():
    """Guards against answers that are given up before they have arrived, and asked for anew."""
    packed = pack(feed_with_routes(ROUTES))
    size = len(msgspec.msgpack.encode(packed))
    assert REPLICAS * size / LINK_BYTES_PER_S <= IN_FORCE_WITHIN_S / 2


def test_an_answer_is_the_same_after_packing():
    feed = feed_with_routes(100)
    packed = pack(feed)
    assert isinstance(packed, PackedFeed)
    assert unpack(packed) == feed


def test_small_answers_are_not_packed():
    feed = feed_with_routes(1)
    assert len(msgspec.msgpack.encode(feed)) < PACK_FROM_BYTES
    assert pack(feed) is feed


@pytest.mark.parametrize("data", [b"", b"nonsense", pack(feed_with_routes(100)).data[:-20]])
def test_malformed_packed_answers_are_errors(data):
    with pytest.raises(TransportError):
        unpack(PackedFeed(data=data))


def test_an_answer_that_would_fill_the_memory_is_refused(monkeypatch):
    monkeypatch.setattr("finchway.feed._packing.MAX_UNPACKED_BYTES", 10_000)
    with pytest.raises(TransportError):
        unpack(pack(feed_with_routes(100)))


class CountingSteering(Steering):
    """A steering state that counts the images made of it."""

    def __init__(self) -> None:
        super().__init__()
        self.images = 0

    def image(self, since: int = -1) -> SteeringImage:
        self.images += 1
        return super().image(since)


@pytest.mark.parametrize("gateways", [6, 65, 195])
def test_many_routes_are_packed_once_for_all_gateways(gateways):
    """Guards against a replica that is busy for a second with one answer for each gateway."""
    steering = CountingSteering()
    add_routes(steering, made_up_routes(ROUTES))
    cache = ImageCache()
    prepared = {id(cache.get(steering, since)) for since in (0, -1) for _ in range(gateways)}
    assert len(prepared) == steering.images == 2
    feed = Feed(life="1", order=1, image=steering.image(0), age=0.1)
    packed = pack(feed, cache.get(steering, 0).packed)
    assert len(packed.data) < 200
    assert unpack(packed) == feed


def test_a_cached_image_is_not_given_out_after_a_change():
    steering = Steering()
    cache = ImageCache()
    first = made_up_routes(2)
    add_routes(steering, first[:1])
    assert len(cache.get(steering, 0).image.items) == 2
    add_routes(steering, first[1:])
    assert len(cache.get(steering, 0).image.items) == 3
    assert len(cache.get(steering, 1).image.items) == 1


@pytest.mark.parametrize("image", [b"nonsense", pack(feed_with_routes(100)).data[:-20]])
def test_a_malformed_packed_image_is_an_error(image):
    feed = Feed(life="1", order=1, image=SteeringImage(7), age=0.1)
    with pytest.raises(TransportError):
        unpack(msgspec.structs.replace(pack(feed, b"x"), image=image))
