"""Messages over a stream without a parser of HTTP, for scripted upstreams and callers."""

from __future__ import annotations

from finchway.gateway import HeaderNames

NAMES = HeaderNames()


async def read_message(stream) -> bytes | None:
    """Return one message with a sized body; None at the end."""
    data = b""
    while b"\r\n\r\n" not in data:
        part = await stream.receive_some(65536)
        if not part:
            return None
        data += part
    head, _, body = data.partition(b"\r\n\r\n")
    size = int(header_of(head, b"content-length") or 0)
    while len(body) < size:
        part = await stream.receive_some(65536)
        if not part:
            return None
        body += part
    return head + b"\r\n\r\n" + body


def header_of(message: bytes, name: bytes) -> bytes | None:
    """Return a header of a raw message."""
    for line in message.partition(b"\r\n\r\n")[0].split(b"\r\n")[1:]:
        key, _, value = line.partition(b":")
        if key.strip().lower() == name:
            return value.strip()
    return None


def answer(
    request: bytes, body: bytes = b"hello", status: bytes = b"200 OK", extra: bytes = b""
) -> bytes:
    """Return a whole answer that repeats the request's id and is signed."""
    identity = header_of(request, NAMES.request_id) or b""
    return (
        b"HTTP/1.1 "
        + status
        + b"\r\n"
        + NAMES.request_id
        + b": "
        + identity
        + b"\r\n"
        + NAMES.signature
        + b": signed\r\nContent-Length: "
        + str(len(body)).encode()
        + b"\r\n"
        + extra
        + b"\r\n"
        + body
    )
