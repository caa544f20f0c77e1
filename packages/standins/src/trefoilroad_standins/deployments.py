"""The two example deployments that the stand-ins can run."""

from typing import NamedTuple

from trefoilroad_standins import tasks


class Deployment(NamedTuple):
    """Size of a fleet and number of its nodes.

    Attributes:
        name: Short name, also of the folder of its example documents.
        region: Region of its nodes.
        failure_domains: Number of failure domains.
        workers: Number of workers.
        per_rack: Number of workers in a rack.
        capacity: Resources of each worker.
        nodes: Number of nodes to run.
    """

    name: str
    region: str
    failure_domains: int
    workers: int
    per_rack: int
    capacity: tasks.Capacity
    nodes: int = 3


NKABOM = Deployment(name="nkabom",
                    region="kumasi",
                    failure_domains=4,
                    workers=24,
                    per_rack=6,
                    capacity=tasks.Capacity(accelerators=8,
                                            cores=64,
                                            memory_gb=256,
                                            slots=8,
                                            connections=64))
KALAHARI = Deployment(name="kalahari",
                      region="windhoek",
                      failure_domains=3,
                      workers=24,
                      per_rack=8,
                      capacity=tasks.Capacity(accelerators=8,
                                              cores=64,
                                              memory_gb=128,
                                              slots=8,
                                              connections=64))
