"""Tests of takeovers when the tables of the jobs are large."""

import pytest

from trefoilroad_jobs import ports
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


@pytest.mark.parametrize("table", [tables.LEASES, tables.PROGRESS])
def test_jobs_accepted_while_a_new_leader_reads_are_seen(table):
    """Guards against a gap between the reading of the jobs and the watch."""
    site = sites.Site()
    site.run(1.0)
    leader = site.find_leader().name
    names = sorted(site.nodes.keys() - {leader})

    def accept_job_before_reading(site_node):
        read_all = site_node.store.read_all

        def accept_and_read(**options):
            if options["table"] == table:
                site.submit("1" * 16, run_s=0.2, through=names[0])
                site.clock.schedule(0.05, lambda: read_all(**options))
            else:
                read_all(**options)

        site_node.store.read_all = accept_and_read

    for name in names:
        accept_job_before_reading(site.nodes[name])
    # The new leader must not learn of the job from the node that accepts it.
    site.cut_links.add(frozenset(names))
    site.kill(leader)
    site.run(10.0)
    assert site.ask_state("1" * 16, through=names[0]) == "completed"
    assert site.find_violations() == []


@pytest.mark.parametrize("failing", [tables.LEASES, tables.PROGRESS])
def test_failure_of_a_later_table_repeats_that_table_alone(failing):
    """Guards against jobs that are read again for each failure."""
    site = sites.Site()
    site.run(1.0)
    failures = {
        name: _fail_reads(node, failing, 3) for name, node in site.nodes.items()
    }
    reads = {
        name: _count_reads(node, tables.INTAKE)
        for name, node in site.nodes.items()
    }
    site.kill(site.find_leader().name)
    site.run(5.0)
    name = site.find_leader().name
    assert site.find_leader().node._dispatcher.ready
    assert len(failures[name]) == 3
    assert len(reads[name]) == 1


def _fail_reads(site_node, table, count):
    """Lets the first readings of a table fail; returns a list of them."""
    failed = []
    read_all = site_node.store.read_all

    def fail_or_read(**options):
        if options["table"] == table and len(failed) < count:
            failed.append(table)
            failure = ports.StoreFailed("timeout", maybe_written=False)
            site_node.host.clock.schedule(0.01, lambda: options["on_done"]
                                          (failure))
        else:
            read_all(**options)

    site_node.store.read_all = fail_or_read
    return failed
