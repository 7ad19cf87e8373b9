"""Typed messages between finchway's processes."""

from finchway.transport._keys import Keys, load_keys, make_keys
from finchway.transport._link import Handler, Link
from finchway.transport._messages import *  # noqa: F403
from finchway.transport._messages import __all__ as _messages

__all__ = ["Handler", "Keys", "Link", "load_keys", "make_keys", *_messages]
