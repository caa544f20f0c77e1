"""Tests of the age of the number of waiting jobs that a node gives."""

import cbor2
import pytest

from trefoilroad_jobs import tables
from trefoilroad_jobs import waiting_counts
from trefoilroad_standins.jobs import site as sites

WHOLE_WORKER = sites.SMALL_DEMAND._replace(
    accelerators=sites.WORKER_CAPACITY.accelerators)


@pytest.fixture
def site():
    """A site with three nodes, a full worker and two waiting jobs."""
    new_site = sites.Site(worker_count=1)
    new_site.run(2.0)
    _submit(new_site, 3)
    assert _ask(new_site, new_site.find_leader()) == [2]
    return new_site


def _submit(site, count):
    through = site.find_leader().name
    for _ in range(count):
        job_id = f"{len(site.workloads):016x}"
        site.submit(job_id, run_s=90.0, demand=WHOLE_WORKER, through=through)
        site.run(0.3)
    site.run(1.0)


def _ask(site, site_node, times=1):
    """Returns the answers that a node gives within 0.6 s."""
    answers = []
    for _ in range(times):
        site_node.host.deliver(
            lambda: site_node.node.count_pending("queue", answers.append))
    site.run(0.6)
    assert len(answers) == times
    return answers


def _find_follower(site):
    return next(site_node for site_node in site.nodes.values()
                if site_node.host.alive and not site_node.node.leading)


def _cut_link(site):
    """Cuts a follower off from the leader, not from the store."""
    follower = _find_follower(site)
    site.cut_links.add(frozenset({follower.name, site.find_leader().name}))
    return follower


def _count_reads(site_node):
    """Returns a list that gets the table of each read of one row."""
    reads = []
    original = site_node.store.read

    def read(*, table, key, on_done):
        reads.append(table)
        original(table=table, key=key, on_done=on_done)

    site_node.store.read = read
    return reads


def test_node_without_link_to_the_leader_gives_the_number(site):
    """Guards against answers from the last heartbeat, however old it is."""
    follower = _cut_link(site)
    _submit(site, 3)
    site.run(1.0)
    assert _ask(site, follower) == [5]


def test_fresh_heartbeat_is_used_without_a_read(site):
    """Guards against a call to the store for each call of a caller."""
    follower = _find_follower(site)
    follower.store.cut = True
    assert _ask(site, follower) == [2]


def test_callers_share_a_read(site):
    """Guards against a store that is read as often as callers ask."""
    follower = _cut_link(site)
    site.run(3.0)
    reads = _count_reads(follower)
    assert _ask(site, follower, times=20) == [2] * 20
    assert reads.count(tables.COUNTS_ROW[0]) == 1


def test_heartbeat_of_an_older_epoch_changes_nothing(site):
    """Guards against the counts and capacities of a replaced leader."""
    follower = _find_follower(site)
    site.kill(site.find_leader().name)
    site.run(5.0)
    follower = _find_follower(site)
    heartbeat = {
        "type": "beat",
        "epoch": follower.node.epoch - 1,
        "head": 1,
        "age_s": 0.1,
        "refused": False,
        "pending": {
            "queue": 77
        },
        "shapes": {
            "other": [[1, 1, 1]]
        }
    }
    control = follower.node._admission_control
    capacities = dict(control._worker_capacities)
    follower.node.handle_message(heartbeat)
    assert _ask(site, follower) == [2]
    assert control._worker_capacities == capacities


def test_replaced_leader_without_store_does_not_give_its_count(site):
    """Guards against the count of a leader that knows of no successor."""
    leader = site.find_leader()
    leader.store.cut = True
    leader.workers.cut.add("w00")
    site.run(5.0)
    assert site.find_leader() is not leader
    _submit(site, 3)
    assert leader.node.leading
    assert _ask(site, leader)[0] in (None, 5)


def test_thawed_leader_does_not_give_its_count(site):
    """Guards against the count of a leader that was suspended meanwhile."""
    leader = site.find_leader()
    answers = []
    leader.host.frozen = True
    leader.host.deliver(
        lambda: leader.node.count_pending("queue", answers.append))
    site.run(5.0)
    _submit(site, 3)
    leader.host.thaw()
    site.run(0.6)
    assert answers == [5]


def test_heartbeat_that_waited_for_a_thawed_node_is_old(site):
    """Guards against ages without the time in which the node was suspended."""
    follower = _find_follower(site)
    follower.host.frozen = True
    site.run(3.0)
    site.kill(site.find_leader().name)
    site.run(5.0)
    _submit(site, 3)
    follower.host.thaw()
    assert _ask(site, follower) == [5]


def test_number_is_not_known_without_leader_and_fresh_row(site):
    """Guards against old copies of any kind: of a heartbeat or of the row."""
    for site_node in site.nodes.values():
        if not site_node.node.leading:
            site_node.store.commit = lambda **_: None
    follower = _find_follower(site)
    site.kill(site.find_leader().name)
    site.run(1.0)
    assert _ask(site, follower) == [2]
    site.run(1.5)
    assert site.find_leader() is None
    assert _ask(site, follower) == [None]


def test_read_that_the_store_does_not_answer_is_short(site):
    """Guards against callers that wait for the timeout of the store."""
    follower = _cut_link(site)
    site.run(3.0)
    follower.store.cut = True
    answers = _ask(site, follower, times=2)
    assert answers == [None, None]
    reads = _count_reads(follower)
    answers = []
    follower.node.count_pending("queue", answers.append)
    assert answers == [None]
    assert tables.COUNTS_ROW[0] not in reads


def test_row_causes_no_transaction(site):
    """Guards against transactions that only write counts; they are priced."""
    commits = []
    commit = site.tables.commit

    def record_commit(conditions, puts, removals):
        commits.append(puts)
        return commit(conditions, puts, removals)

    site.tables.commit = record_commit
    site.run(10.0)
    rows = [puts for puts in commits if tables.COUNTS_ROW in puts]
    assert len(commits) <= 10.0 / 0.4
    assert 9 <= len(rows) <= 21


def test_refused_row_does_not_stop_other_writes(site):
    """Guards against a leader that stops at a row that the store refuses."""
    site.tables.refused_key = tables.COUNTS_ROW[1]
    follower = _cut_link(site)
    _submit(site, 3)
    site.run(2.0)
    assert _ask(site, follower) == [None]
    assert _ask(site, site.find_leader()) == [5]
    site.tables.refused_key = None
    site.run(20.0)
    assert _ask(site, follower) == [5]


MALFORMED_ROWS = [
    b"", b"\xff", b"\x9b" + b"\xff" * 8, b"\x81" * 100_000,
    *map(cbor2.dumps,
         (7, [1, 1000.0], [True, 1000.0, {}], [-1, 1000.0, {}],
          [2**70, 1000.0, {}], [1, "1", {}], [1, float("nan"), {}],
          [1, float("inf"), {}], [1, 10**400, {}], [1, 1000.0, [1]],
          [1, 1000.0, {3: 3}], [1, 1000.0, {"queue": -1}],
          [1, 1000.0, {"queue": 0.5}], [1, 1000.0, {"queue": 2**70}]))
]  # yapf: disable


@pytest.mark.parametrize("value",
                         MALFORMED_ROWS,
                         ids=range(len(MALFORMED_ROWS)))
def test_malformed_row_counts_as_absent(site, value):
    """Guards against a foreign row that raises or that callers are shown."""
    assert waiting_counts.decode_row(value) is None
    assert _ask_beside_row(site, value) == [None]


def test_row_from_the_future_counts_as_absent(site):
    """Guards against a row that would never become too old."""
    row = waiting_counts.CountRow(1, site.tables.now_ms + 60_000.0, {})
    assert _ask_beside_row(site, waiting_counts.encode_row(row)) == [None]


def _ask_beside_row(site, value):
    """Returns the answer of a node that depends on a foreign row."""
    follower = _cut_link(site)
    site.run(3.0)
    site.find_leader().store.cut = True
    site.run(0.1)
    site.tables.put(*tables.COUNTS_ROW, value)
    return _ask(site, follower)
