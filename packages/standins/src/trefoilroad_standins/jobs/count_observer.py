"""Observer of node processes, which judges the numbers of waiting jobs."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence

from trefoilroad_jobs import leadership
from trefoilroad_jobs import tables
from trefoilroad_standins.jobs import fleet_server
from trefoilroad_standins.jobs import idleness
from trefoilroad_standins.jobs import node_process
from trefoilroad_standins.jobs import proxy as proxies
from trefoilroad_standins.jobs import waiting

_LOOK_INTERVAL_S = 0.05
_ASK_INTERVAL_S = 0.5
# If a look is late by more than this, so are the answers of the store.
_MAX_LAG_S = 0.3

# Asks the node at a port; returns the HTTP status, 0 without an answer, and the
# number or None.
Ask = Callable[[int], Awaitable[tuple[int, int | None]]]


class CountObserver:
    """Asks nodes for the number of waiting jobs, and notes disruptions."""

    def __init__(self, *, fleet: fleet_server.FleetServer,
                 nodes: Sequence[node_process.NodeProcess], queue: str,
                 ask: Ask):
        """Creates an observer; `run` observes.

        Args:
            fleet: The store and the workers.
            nodes: The nodes, also those that do not run.
            queue: Name of the queue.
            ask: Asks a node.
        """
        self._fleet = fleet
        self._nodes = nodes
        self._queue = queue
        self._ask = ask
        self._answers: list[waiting.Answer] = []
        self._disruptions: dict[str, list[idleness.Interval]] = {
            node.name: [] for node in nodes
        }
        self._leaderless: list[idleness.Interval] = []
        # Process that has answered, by the name of the node.
        self._answered_ids: dict[str, int] = {}
        self._leader: leadership.Leader | None = None
        self._looked_s = 0.0

    async def run(self) -> None:
        """Observes until the task is cancelled."""
        async with asyncio.TaskGroup() as group:
            for node in self._nodes:
                group.create_task(self._ask_repeatedly(node))
            while True:
                self._look()
                await asyncio.sleep(_LOOK_INTERVAL_S)

    async def _ask_repeatedly(self, node: node_process.NodeProcess) -> None:
        while True:
            process_id = node.process_id
            asked_s = self._fleet.clock.now_s
            status, pending = await self._ask(node.port)
            if status:
                self._answered_ids[node.name] = process_id
            self._answers.append(
                waiting.Answer(asked_s, self._fleet.clock.now_s, node.name,
                               self._queue, pending))
            await asyncio.sleep(_ASK_INTERVAL_S)

    def _look(self) -> None:
        """Notes which nodes are disturbed and whether there is a leader."""
        from_s, now_s = self._looked_s, self._fleet.clock.now_s
        self._looked_s = now_s
        interval = idleness.Interval(from_s, now_s)
        store_is_sound = (not self._fleet.refusing and
                          not self._fleet.store_delay_s and
                          now_s - from_s <= _MAX_LAG_S)
        sound = set()
        for node in self._nodes:
            if store_is_sound and self._is_sound(node):
                sound.add(node.name)
            else:
                self._disruptions[node.name].append(interval)
        row = self._fleet.tables.rows.get("leader|leader",
                                          {}).get(tables.LEADER_ROW[1])
        leader = leadership.decode_leader(row and row.value)
        if leader.node_id not in sound or leader != self._leader:
            self._leaderless.append(interval)
        self._leader = leader

    def _is_sound(self, node: node_process.NodeProcess) -> bool:
        """Returns whether a node runs, has answered and reaches the store."""
        return (node.running and
                self._answered_ids.get(node.name) == node.process_id and
                node.proxy.fault is proxies.Fault.NONE)

    def find_wrong_answers(self, jobs: Sequence[waiting.Job]) -> list[str]:
        """Returns a line for each node that gave a wrong number.

        Args:
            jobs: The jobs, without the times of their first starts.
        """
        begun_s = waiting.find_first_starts(self._fleet.history)
        record = waiting.Record(
            answers=self._answers,
            jobs=[
                job._replace(begun_s=begun_s.get(job.job_id)) for job in jobs
            ],
            disruptions=self._disruptions,
            leaderless=self._leaderless)
        unjudged = {node.name for node in self._nodes
                   } - waiting.list_judged_nodes(record)
        return waiting.describe(waiting.find_wrong_answers(record)) + [
            f"{name} gave no answer in touch while jobs waited"
            for name in sorted(unjudged)
        ]
