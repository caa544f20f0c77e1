"""The VMs of a deployment: workers, racks and failure domains."""

from collections.abc import Iterable
from typing import Any
from typing import NamedTuple

from trefoilroad_core import errors


class Worker(NamedTuple):
    """A worker VM as the platform's list describes it.

    Attributes:
        worker_id: Stable name of the VM.
        address: IP address and port of its task interface, "host:port".
        failure_domain: Failure domain that the VM is in.
        rack: Rack that the VM is in; racks do not span failure domains.
        accelerators: Number of accelerators.
        cores: Number of processor cores.
        memory_gb: Memory in GB.
        slots: Number of tasks that can run at once.
        connections: Number of task connections that can be open at once.
        leaving: Whether the platform has announced the removal of the VM.
    """

    worker_id: str
    address: str
    failure_domain: str
    rack: str
    accelerators: int
    cores: int
    memory_gb: int
    slots: int
    connections: int
    leaving: bool = False


class Fleet:
    """The workers of one region, indexed by rack and failure domain."""

    def __init__(self, *, workers: Iterable[Worker]):
        self.workers: dict[str, Worker] = {}
        self.racks: dict[str, list[str]] = {}
        self.failure_domains: dict[str, list[str]] = {}
        for worker in sorted(workers, key=lambda worker: worker.worker_id):
            self.workers[worker.worker_id] = worker
            self.racks.setdefault(worker.rack, []).append(worker.worker_id)
            self.failure_domains.setdefault(worker.failure_domain,
                                            []).append(worker.worker_id)

    @property
    def accelerators(self) -> int:
        """Number of accelerators of all workers."""
        return sum(worker.accelerators for worker in self.workers.values())


def parse_worker(row: dict[str, Any]) -> Worker:
    """Parses one entry of the platform's VM list.

    Args:
        row: Decoded JSON object of the entry.

    Returns:
        The worker.

    Raises:
        RecordError: If a field is absent or has the wrong type.
    """
    try:
        worker = Worker(worker_id=row["id"],
                        address=row["address"],
                        failure_domain=row["failure_domain"],
                        rack=row["rack"],
                        accelerators=row["accelerators"],
                        cores=row["cores"],
                        memory_gb=row["memory_gb"],
                        slots=row["slots"],
                        connections=row["connections"],
                        leaving=row["state"] == "leaving")
    except (KeyError, TypeError) as error:
        raise errors.RecordError(
            f"VM list entry {row!r}: missing {error}") from error
    for name, kind in Worker.__annotations__.items():
        if not isinstance(getattr(worker, name), kind):
            raise errors.RecordError(
                f"VM list entry {row.get('id')!r}: {name} is not {kind}")
    return worker
