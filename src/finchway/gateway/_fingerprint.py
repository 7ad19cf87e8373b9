"""What makes two requests the same: who asks, for what, and with which body."""

from __future__ import annotations

import hashlib

from finchway.gateway._http import CallerRequest

# The header that names the caller. Its address does not: callers on the road change networks, and
# counted by address a request ended 20 upstreams in ten tries, where it now ends three.
CREDENTIAL = b"authorization"
_DIGEST_BYTES = 8
_LENGTH_BYTES = 4


def fingerprint(request: CallerRequest) -> str:
    """Return a digest that is the same each time a caller sends a request again.

    The caller is named by its credential, if it sends one. Other headers do not count, since ids
    and deadlines change from one time to the next. Of a body that is passed on while it is read,
    what was read before the first attempt stands for all of it, with the length if it is declared.

        fingerprint(request)  # '9f2c41d07be2a35f'
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    caller = request.header(CREDENTIAL) or ""
    length = (request.header(b"content-length") or "") if request.more else ""
    for text in (caller, request.method, request.host, request.target, length):
        data = text.encode()
        digest.update(len(data).to_bytes(_LENGTH_BYTES, "big"))
        digest.update(data)
    digest.update(request.body)
    return digest.hexdigest()
