"""Shapes of the deployments that the stand-ins can show."""

from typing import NamedTuple

from trefoilroad_standins import tasks


class Deployment(NamedTuple):
    """Fleet and nodes of one user.

    Attributes:
        name: Short name, also of its folder of example documents.
        region: Region of its nodes.
        failure_domains: Number of failure domains.
        workers: Number of workers.
        per_rack: Workers of one rack.
        capacity: Resources of each worker.
        nodes: Number of entry nodes to run.
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
