"""Passes over the tests that are known to fail, and names them at the end of each run."""

from __future__ import annotations

import pytest

from tests.known_red import read_known_red, without_group, without_known_red


def pytest_addoption(parser):
    parser.addoption("--known-red", action="store_true", help="run the tests of KNOWN-RED.txt too")


def pytest_collection_modifyitems(config, items):
    if config.getoption("--known-red"):
        return
    # A single test named on the command line is collected without its neighbours.
    if any("::" in argument for argument in config.args):
        return
    try:
        kept = without_known_red([_test_id(item) for item in items], read_known_red())
    except ValueError as error:
        raise pytest.UsageError(str(error)) from error
    left_out = [item for item in items if _test_id(item) not in kept]
    config.hook.pytest_deselected(items=left_out)
    items[:] = [item for item in items if _test_id(item) in kept]


def _test_id(item) -> str:
    """Return a test's id without the name of its group, which xdist's workers append."""
    group = item.get_closest_marker("xdist_group")
    return without_group(item.nodeid, group.args[0] if group is not None else "")


def pytest_terminal_summary(terminalreporter, config):
    listed = read_known_red()
    if not listed:
        return
    terminalreporter.section("known to fail (KNOWN-RED.txt)")
    for entry in listed:
        terminalreporter.line(f"{entry.test}: {entry.seen} ({entry.command}; issue {entry.issue})")
