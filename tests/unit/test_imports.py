"""A gateway loads only what its role needs, since gateways are restarted often and together."""

import subprocess
import sys

import pytest

PROGRAM = """
import sys
import finchway.daemon
import finchway.gateway
print(*sorted(name for name in sys.modules if name in {names!r}))
"""


@pytest.mark.parametrize("names", [{"hypercorn", "h2", "httpcore", "finchway.entry"}])
def test_a_gateway_does_not_load_what_only_entries_and_the_api_need(names):
    done = subprocess.run(
        [sys.executable, "-c", PROGRAM.format(names=names)],
        capture_output=True,
        text=True,
        check=True,
    )
    assert done.stdout.split() == []


def test_the_app_server_is_still_part_of_the_transport():
    from finchway import transport

    assert transport.AppServer.__name__ == "AppServer"
    with pytest.raises(AttributeError, match="no attribute 'Missing'"):
        _ = transport.Missing


IMPORTING = """
import gc
import signal
from finchwayd import importing
with importing():
    assert signal.getsignal(signal.SIGHUP) is signal.SIG_IGN
    import finchway.daemon
print(gc.isenabled(), any(one is finchway.daemon.__dict__ for one in gc.get_objects()))
"""


def test_modules_are_exempt_from_garbage_collection():
    done = subprocess.run(
        [sys.executable, "-c", IMPORTING], capture_output=True, text=True, check=True
    )
    assert done.stdout.split() == ["True", "False"]
