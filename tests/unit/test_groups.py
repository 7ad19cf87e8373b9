"""Tests that share network addresses must run in one worker.

Guards against xdist_group marks without effect, which let such tests fail to bind an address.
"""

import subprocess
import sys

MARKED = """
import os, time
import pytest

pytestmark = pytest.mark.xdist_group("shared")

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
