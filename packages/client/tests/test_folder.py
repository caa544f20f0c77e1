"""Tests of the folder module and of the example deployments."""

import hashlib
import pathlib
import re

import pytest

from trefoilroad_client import folder
from trefoilroad_client import settings
from trefoilroad_core import document
from trefoilroad_core import errors
from trefoilroad_core import fleet

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"
# Number of racks, workers per rack and memory of a worker in GB.
FLEET_SIZES = {"nkabom": (4, 6, 256), "kalahari": (3, 8, 128)}

for_each_deployment = pytest.mark.parametrize("name", FLEET_SIZES)


def read_example(name):
    documents = folder.read_documents(EXAMPLES / name / "contracts")
    return documents, document.parse_documents(documents, 1)


def build_workers(name):
    racks, size, memory_gb = FLEET_SIZES[name]
    return [
        fleet.Worker(f"w{rack}-{number}", "", f"d{rack}", f"r{rack}", 8, 64,
                     memory_gb, 8, 64)
        for rack in range(racks)
        for number in range(size)
    ]


def place_gang(shape, workers):
    """Places a gang first fit; returns the remaining capacity, or None."""
    racks = {worker.rack for worker in workers}
    for rack in sorted(racks) if shape.adjacent == "rack" else [None]:
        workers_left = list(workers)
        missing = shape.tasks
        for index, worker in enumerate(workers_left):
            while missing and rack in (None, worker.rack) and min(
                    worker.accelerators - shape.accelerators,
                    worker.cores - shape.cores,
                    worker.memory_gb - shape.memory_gb, worker.slots - 1) >= 0:
                worker = worker._replace(
                    accelerators=worker.accelerators - shape.accelerators,
                    cores=worker.cores - shape.cores,
                    memory_gb=worker.memory_gb - shape.memory_gb,
                    slots=worker.slots - 1)
                workers_left[index] = worker
                missing -= 1
        if not missing:
            return workers_left
    return None


@for_each_deployment
def test_guaranteed_shapes_of_examples_fit_the_fleet(name):
    """Guards against examples whose guarantees exceed the fleet.

    A node refuses to publish them.
    """
    _, configuration = read_example(name)
    assert len(configuration.teams) == 4
    guarantees = [
        guarantee for team in configuration.teams.values()
        for guarantee in team.guarantees
    ]
    guarantees.sort(key=lambda guarantee: -guarantee.shape.total_accelerators)
    workers = build_workers(name)
    for guarantee in guarantees:
        for _ in range(guarantee.gangs):
            workers = place_gang(guarantee.shape, workers)
            assert workers, guarantee


@for_each_deployment
def test_every_template_of_examples_can_run(name):
    """Guards against an example template that can never start.

    Tasks that cannot be evicted start only inside their team's guarantee.
    """
    _, configuration = read_example(name)
    for team in configuration.teams.values():
        for template in team.templates:
            template_contract = configuration.resolve_template(
                team.name, template)
            assert place_gang(template_contract.shape,
                              build_workers(name)), (team.name, template)
            shapes = [guarantee.shape for guarantee in team.guarantees]
            assert (template_contract.idempotent or
                    template_contract.checkpoint or
                    template_contract.shape in shapes), (team.name, template)


@for_each_deployment
def test_demo_tokens_match_their_digests(name):
    """Guards against documented demo tokens that the nodes reject."""
    documents, configuration = read_example(name)
    token_digests = re.findall(r'# Demo token: (\S+)\ntoken_sha256 = "(\w+)"',
                               "\n".join(documents.values()))
    digests = {team.token_sha256 for team in configuration.teams.values()}
    digests.update(configuration.operators.values())
    assert {digest for _, digest in token_digests} == digests
    for token, digest in token_digests:
        assert hashlib.sha256(token.encode()).hexdigest() == digest
    client = settings.read_file(EXAMPLES / name / "client.toml")
    assert client.token in dict(token_digests)


@for_each_deployment
def test_nodes_of_examples_are_consistent(name):
    """Guards against client examples with other addresses than the nodes."""
    text = (EXAMPLES / name / "node.toml").read_text()
    listen = re.search(r'listen = "(.+)"', text)[1]
    link_port = re.search(r'link = ".+:(\d+)"', text)[1]
    peers = re.findall(r'^    "(.+):(\d+)",$', text, re.MULTILINE)
    client = settings.read_file(EXAMPLES / name / "client.toml")
    assert {port for _, port in peers} == {link_port}
    port = listen.rpartition(":")[2]
    assert client.nodes == (listen, *(f"{host}:{port}" for host, _ in peers))


def test_unreadable_files_are_listed_together(tmp_path):
    """Guards against reading hidden files and stopping at the first fault."""
    for name in ["fleet.toml", "operators.toml"]:
        tmp_path.joinpath(name).write_bytes(b"\xff")
    tmp_path.joinpath(".git").mkdir()
    tmp_path.joinpath(".git", "hidden.toml").write_bytes(b"\xff")
    with pytest.raises(errors.InvalidDocuments) as caught:
        folder.read_documents(tmp_path)
    places = [finding.place for finding in caught.value.findings]
    assert places == ["fleet.toml", "operators.toml"]
