"""Tests that share addresses run in one worker.

Tests with real processes ran side by side although they are marked as one group, and a process of
one could not bind an address that another had: "Address already in use" in the logs of five
processes of a deployment, and a test that ran out of its time. The runner had renamed what the
plugin for workers sets to group tests, so the marks had no effect, and nothing said so.
"""

import subprocess
import sys

MARKED = """
import os, time
import pytest

pytestmark = pytest.mark.xdist_group("together")

@pytest.mark.parametrize("number", range(6))
def test_marked(number):
    time.sleep(0.1)
    with open("workers", "a") as file:
        file.write(os.environ["PYTEST_XDIST_WORKER"] + "\\n")
"""


def test_tests_of_one_group_run_in_one_worker(tmp_path):
    (tmp_path / "test_marked.py").write_text(MARKED)
    command = [sys.executable, "-m", "pytest", "-n", "3", "--dist", "loadgroup", "test_marked.py"]
    subprocess.run(command, cwd=tmp_path, check=True, capture_output=True)
    workers = (tmp_path / "workers").read_text().split()
    assert len(workers) == 6
    assert len(set(workers)) == 1
