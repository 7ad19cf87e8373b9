"""Compression of large answers of the feed.

All replicas answer a gateway at the same moment when many routes are accepted together, or when it
starts. Uncompressed, such answers occupy a gateway's link for longer than polls wait for them, and
callers' requests with it. All gateways are answered at that moment as well, with the same image of
the steering state, which is therefore compressed once for all of them.
"""

from __future__ import annotations

import zlib

import msgspec
from msgspec import Struct

from finchway.exceptions import TransportError
from finchway.feed._messages import Feed
from finchway.state import Steering, SteeringImage

# Encoded size from which an answer is compressed; smaller ones gain little.
PACK_FROM_BYTES = 2_000
# Compressed size from which an image is large: a tenth of a second on a link of 2 Mbit/s.
LARGE_IMAGE_BYTES = 25_000
# Bounds the memory that an answer can take.
MAX_UNPACKED_BYTES = 64 * 1024 * 1024
# Images that are kept; gateways ask for changes since a few revisions only.
MAX_IMAGES = 16
# The fastest level; records of the feed are similar to each other, so others gain little.
_LEVEL = 1
_ENCODER = msgspec.msgpack.Encoder()
_FEED_DECODER = msgspec.msgpack.Decoder(Feed)
_IMAGE_DECODER = msgspec.msgpack.Decoder(SteeringImage)


class PackedFeed(Struct, frozen=True, kw_only=True, tag=True):
    """A compressed `Feed`; a large image in it is compressed separately, in `image`."""

    data: bytes
    image: bytes = b""


class PreparedImage(Struct, frozen=True):
    """An image of the steering state; `packed` is empty if it is too small to be compressed."""

    image: SteeringImage
    packed: bytes = b""

    @property
    def is_large(self) -> bool:
        """Whether it occupies a gateway's link for long."""
        return len(self.packed) >= LARGE_IMAGE_BYTES


class ImageCache:
    """The images of one steering state that gateways have asked for.

    images = ImageCache()
    images.get(steering, since=6).image
    """

    def __init__(self) -> None:
        self._revision = -1
        self._images: dict[int, PreparedImage] = {}

    def get(self, steering: Steering, since: int) -> PreparedImage:
        """Return the image of the records newer than a revision."""
        if steering.revision != self._revision or len(self._images) >= MAX_IMAGES:
            self._revision = steering.revision
            self._images.clear()
        prepared = self._images.get(since)
        if prepared is None:
            prepared = self._images[since] = _prepare(steering.image(since))
        return prepared


def pack(feed: Feed, packed_image: bytes = b"") -> Feed | PackedFeed:
    """Return an answer, compressed if it is large; `packed_image` is its image if that is large."""
    if packed_image:
        without_image = msgspec.structs.replace(feed, image=SteeringImage(feed.image.revision))
        return PackedFeed(data=_compress(_ENCODER.encode(without_image)), image=packed_image)
    encoded = _ENCODER.encode(feed)
    if len(encoded) < PACK_FROM_BYTES:
        return feed
    return PackedFeed(data=_compress(encoded))


def unpack(packed: PackedFeed) -> Feed:
    """Return the original answer; raises `TransportError` if it is malformed or too large."""
    try:
        feed = _FEED_DECODER.decode(_decompress(packed.data))
        if not packed.image:
            return feed
        image = _IMAGE_DECODER.decode(_decompress(packed.image))
    except (zlib.error, msgspec.DecodeError) as error:
        raise TransportError(f"a packed feed cannot be read: {error}") from error
    return msgspec.structs.replace(feed, image=image)


def _prepare(image: SteeringImage) -> PreparedImage:
    encoded = _ENCODER.encode(image)
    if len(encoded) < PACK_FROM_BYTES:
        return PreparedImage(image)
    return PreparedImage(image, _compress(encoded))


def _compress(data: bytes) -> bytes:
    return zlib.compress(data, _LEVEL)


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    decompressed = decompressor.decompress(data, MAX_UNPACKED_BYTES)
    if not decompressor.eof:
        raise TransportError("a packed feed is cut off or too large")
    return decompressed
