"""Tests of the observer of a virtual site and of the links of that site."""

import pytest

from trefoilroad_standins.jobs import observer as observers
from trefoilroad_standins.jobs import site as sites

_JOB_COUNT = 4


def _play(*, answer, disturb=lambda site: None):
    """Plays a site on which jobs wait; returns the findings.

    Args:
        answer: Turns the number of a node into the one that it gives.
        disturb: Called before the time in which the answers would be wrong.
    """
    site = sites.Site(worker_count=1)
    observer = observers.Observer(site=site)
    ask_pending = site.ask_pending

    def give(through, queue, on_count):
        ask_pending(through, queue, lambda count: on_count(answer(count)))

    site.run(4.0)
    for number in range(_JOB_COUNT):
        site.submit(f"{number:016x}", label="absent")
    site.run(5.5)
    disturb(site)
    site.ask_pending = give
    site.run(2.5)
    return observer.find_wrong_answers()


@pytest.mark.parametrize(
    ("answer", "text"),
    [(lambda count: count // 2 - 1, "gave 1 for queue"),
     (lambda count: count + 1, "gave 5 for queue"),
     (lambda count: None, "did not know the number of waiting jobs of queue")])
def test_wrong_answers_are_found(answer, text):
    """Guards against an observer that asks nothing or excuses every node."""
    findings = _play(answer=answer)
    assert [
        line.split("; ")[0].split(" at ")[0]
        for line in findings
        if text in line
    ] == [f"n{number} {text}" for number in range(3)]


def test_right_answers_are_not_found():
    """Guards against findings on a site without faults."""
    assert _play(answer=lambda count: count) == []


def test_nodes_out_of_touch_are_not_judged():
    """Guards against findings of nodes that cannot know the number."""

    def cut_link(site):
        site.cut_links.add(frozenset({"n0", "n1"}))

    findings = _play(answer=lambda count: 0, disturb=cut_link)
    assert [line.partition(" ")[0] for line in findings] == ["n2"]

    def stop_store(site):
        site.tables.down = True

    assert _play(answer=lambda count: 0, disturb=stop_store) == []


def test_link_to_a_replaced_node_is_down_until_it_is_dialled():
    """Guards against virtual links that outlive the process they lead to."""
    site = sites.Site()
    site.run(2.0)
    leader = site.find_leader().name
    follower = next(name for name in site.nodes if name != leader)
    links = site.nodes[follower].node._links
    message = {"type": "hello", "link": follower}
    assert links.send(leader, message)
    assert not links.send(follower, message)
    site.kill(leader)
    assert not links.send(leader, message)
    site.add_node(leader)
    assert not links.send(leader, message)
    site.run(1.1)
    assert links.send(leader, message)
    site.cut_links.add(frozenset({leader, follower}))
    assert not links.send(leader, message)
    site.cut_links.clear()
    assert links.send(leader, message)
