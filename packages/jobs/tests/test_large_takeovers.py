"""Tests of takeovers when the tables of the jobs are large."""

from trefoilroad_jobs import tables
from trefoilroad_standins.jobs import site as sites


def _count_reads(site_node, table):
    """Returns a list that grows with each reading of a whole table."""
    reads = []
    read_all = site_node.store.read_all

    def record(**options):
        if options["table"] == table:
            reads.append(options)
        read_all(**options)

    site_node.store.read_all = record
    return reads


def test_takeover_reads_the_jobs_once():
    """Guards against a second reading beside the first transactions.

    Over a slow link it held up the transactions of the new leader until the
    next node replaced it, which did the same.
    """
    site = sites.Site()
    site.run(1.0)
    site.submit("0" * 16, run_s=8.0)
    site.run(0.5)
    reads = {
        name: _count_reads(node, tables.INTAKE)
        for name, node in site.nodes.items()
    }
    site.kill(site.find_leader().name)
    site.run(5.0)
    assert len(reads[site.find_leader().name]) == 1


def test_jobs_accepted_while_a_new_leader_reads_are_seen():
    """Guards against a gap between the reading of the jobs and the watch."""
    site = sites.Site()
    site.run(1.0)
    leader = site.find_leader().name
    name = min(site.nodes.keys() - {leader})
    site.kill(leader)
    for number in range(40):
        site.submit(f"{number:016x}", run_s=0.2, through=name)
        site.run(0.1)
    site.run(10.0)
    for number in range(40):
        assert site.ask_state(f"{number:016x}", through=name) == "completed"
    assert site.find_violations() == []
