"""Fixtures that run the stand-ins as processes."""

import json
import subprocess
import sys

import httpx
import pytest
import structlog

STOP_TIMEOUT_S = 10


@pytest.fixture(autouse=True)
def _mute_logs():
    """The nodes of virtual worlds log thousands of lines."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    yield
    structlog.reset_defaults()


@pytest.fixture
def launch():
    """Starts a stand-in and reads its ready line."""
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
    """A client of a new platform process."""
    port = launch("platform", "--port", 0)["port"]
    with httpx.Client(base_url=f"http://127.0.0.1:{port}") as client:
        yield client
