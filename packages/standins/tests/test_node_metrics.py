"""Tests of the metrics and log lines of a process of the platform program."""

import asyncio
import json
import signal

from trefoilroad_standins.jobs import node_process

TIMEOUT_S = 20.0
CLOSED_PORT = 1
STOPPED_S = 2.5
MEASURED = {
    "trefoilroad_links_accepted_open", "trefoilroad_links_dialled",
    "trefoilroad_loop_delay_seconds_count",
    "trefoilroad_store_unanswered_read_total"
}


async def _read_metrics(node):
    """Returns the metrics of a node, empty while it does not answer."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1",
                                                       node.ports[3])
    except OSError:
        return {}
    try:
        writer.write(b"GET /metrics HTTP/1.1\r\nHost: h\r\n"
                     b"Connection: close\r\n\r\n")
        text = (await asyncio.wait_for(reader.read(), 5.0)).decode()
    finally:
        writer.close()
    _, _, body = text.partition("\r\n\r\n")
    return {
        name: float(value)
        for name, _, value in (
            line.partition(" ") for line in body.splitlines())
        if name.startswith("trefoilroad_")
    }


async def _wait_for(is_met):
    deadline_s = asyncio.get_running_loop().time() + TIMEOUT_S
    while not await is_met():
        assert asyncio.get_running_loop().time() < deadline_s
        await asyncio.sleep(0.2)


def _list_delays(folder):
    """Returns the lines for delays that can be due to the stop."""
    log = (folder / "n0.log").read_text()
    lines = [json.loads(line) for line in log.splitlines()]
    return [
        line for line in lines
        if line["event"] == "loop delayed" and line["delay_s"] > STOPPED_S / 2
    ]


async def _stop_and_continue(folder):
    """Stops a node without a store for a while; returns metrics and delays."""
    node = node_process.NodeProcess(name="n0",
                                    folder=folder,
                                    store_port=CLOSED_PORT)
    await node.prepare()
    await node.start()
    metrics = {}

    async def is_measured():
        metrics.update(await _read_metrics(node))
        return metrics.keys() >= MEASURED

    async def is_told():
        return bool(_list_delays(folder))

    try:
        await _wait_for(is_measured)
        node.send_signal(signal.SIGSTOP)
        await asyncio.sleep(STOPPED_S)
        node.send_signal(signal.SIGCONT)
        await _wait_for(is_told)
    finally:
        await node.stop(signal.SIGKILL)
        node.proxy.stop()
    return metrics, _list_delays(folder)


def test_program_measures_loop_links_and_store(tmp_path):
    """Guards against parts that are measured but not part of the program."""
    metrics, delays = asyncio.run(_stop_and_continue(tmp_path))
    assert metrics["trefoilroad_links_dialled"] == 0
    assert metrics["trefoilroad_store_unanswered_read_total"] > 0
    assert delays[-1]["processor_s"] < delays[-1]["delay_s"]
