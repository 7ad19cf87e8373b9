"""Compression of large answers of the feed.

All replicas answer a gateway at the same moment when many routes are accepted together, or when it
starts. Uncompressed, such answers occupy a gateway's link for longer than polls wait for them, and
callers' requests with it.
"""

from __future__ import annotations

import zlib

import msgspec
from msgspec import Struct

from finchway.exceptions import TransportError
from finchway.feed._messages import Feed

# Encoded size from which an answer is compressed; smaller ones gain little.
PACK_FROM_BYTES = 2_000
# Bounds the memory that an answer can take.
MAX_UNPACKED_BYTES = 64 * 1024 * 1024
# The fastest level; records of the feed are similar to each other, so others gain little.
_LEVEL = 1
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Feed)


class PackedFeed(Struct, frozen=True, kw_only=True, tag=True):
    """A compressed `Feed`."""

    data: bytes


def pack(feed: Feed) -> Feed | PackedFeed:
    """Return an answer, compressed if it is large."""
    encoded = _ENCODER.encode(feed)
    if len(encoded) < PACK_FROM_BYTES:
        return feed
    return PackedFeed(data=zlib.compress(encoded, _LEVEL))


def unpack(packed: PackedFeed) -> Feed:
    """Return the original answer; raises `TransportError` if it is malformed or too large."""
    decompressor = zlib.decompressobj()
    try:
        encoded = decompressor.decompress(packed.data, MAX_UNPACKED_BYTES)
        if not decompressor.eof:
            raise TransportError("a packed feed is cut off or too large")
        return _DECODER.decode(encoded)
    except (zlib.error, msgspec.DecodeError) as error:
        raise TransportError(f"a packed feed cannot be read: {error}") from error
