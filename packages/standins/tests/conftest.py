"""Fixtures that run the stand-ins as processes."""

import json
import subprocess
import sys

import httpx
import pytest
import structlog

STOP_TIMEOUT_S = 10


@pytest.fixture(autouse=True)
def _suppress_logs():
    """Suppresses logs: the nodes of virtual clusters log thousands of lines."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    yield
    structlog.reset_defaults()


@pytest.fixture
def launch():
    """Returns a function that starts a stand-in and returns its ready line."""
    processes = []

    def start(module, *options):
        command = [sys.executable, "-m", f"trefoilroad_standins.{module}"]
        process = subprocess.Popen([*command, *map(str, options)],
                                   stdout=subprocess.PIPE,
                                   text=True)
        processes.append(process)
        return json.loads(process.stdout.readline())

    yield start
    for process in processes:
        process.terminate()
    for process in processes:
        assert process.wait(STOP_TIMEOUT_S) == 0
        process.stdout.close()


@pytest.fixture
def platform(launch):
    """HTTP client of a new platform process."""
    port = launch("platform", "--port", 0)["port"]
    with httpx.Client(base_url=f"http://127.0.0.1:{port}") as client:
        yield client
