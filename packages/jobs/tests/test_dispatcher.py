"""Tests of when the leader plans its rounds."""

import pytest

from trefoilroad_jobs import dispatcher
from trefoilroad_jobs import rounds
from trefoilroad_jobs import units
from trefoilroad_standins.jobs import site as sites


@pytest.fixture
def site():
    new_site = sites.Site(node_count=1)
    new_site.run(2.0)
    return new_site


def _rewrite_registrations(site, interval_s):
    """Has the workers write their rows again and again without a change."""
    for worker_state in site.worker_states.values():
        site.register(worker_state)
    site.clock.schedule(interval_s,
                        lambda: _rewrite_registrations(site, interval_s))


def test_registration_without_a_change_plans_no_round(site, monkeypatch):
    """Guards against a round for each sign of life of each worker.

    Hundreds of workers write their rows every second or two; the leader of a
    large fleet planned a round after each of them.
    """
    planned_s = []

    def run(self, inputs):
        planned_s.append(inputs.now_s)
        return units.Plan([], [])

    monkeypatch.setattr(rounds.RoundScheduler, "run", run)
    _rewrite_registrations(site, 0.02)
    site.run(5.0)
    assert len(planned_s) <= 5.0 / dispatcher.ROUND_INTERVAL_S + 1


def test_registration_without_a_change_keeps_the_list_current(site):
    """Guards against workers that count as unknown although they are alive."""
    _rewrite_registrations(site, 0.02)
    site.run(5.0)
    tracker = site.find_leader().node._dispatcher._runs
    assert tracker.read_list_age_s() < 0.1


def test_removed_registration_is_noticed(site):
    """Guards against work for a worker whose registration is gone."""
    site.tables.put("workers", "w00", None)
    site.run(0.5)
    fleet = site.find_leader().node._dispatcher._fleet
    assert set(fleet.tracked_workers) == {"w01", "w02", "w03"}


def test_long_rounds_leave_time_for_replies(site, monkeypatch):
    """Guards against a leader that only plans while reports wait to be read.

    Events come all the time in a large fleet, so the next round was due as
    soon as the last one had ended.
    """
    spent_s = []
    round_s = 0.03

    def run(self, inputs):
        spent_s.append(round_s)
        site.clock.now_s += round_s
        return units.Plan([], [])

    monkeypatch.setattr(rounds.RoundScheduler, "run", run)
    leader = site.find_leader().node._dispatcher

    def request_round():
        leader._request_round()
        site.clock.schedule(0.002, request_round)

    request_round()
    site.run(5.0)
    # The round of the periodic check comes on top.
    extra_s = 5.0 / dispatcher.ROUND_INTERVAL_S * round_s
    assert sum(spent_s) <= 5.0 * dispatcher.MAX_ROUND_SHARE + extra_s
    assert sum(spent_s) > 5.0 * dispatcher.MAX_ROUND_SHARE / 2


def test_rounds_without_an_event_leave_time_for_other_work(site, monkeypatch):
    """Guards against long rounds that follow each other without a pause.

    A round is due after half a second at the latest. One that lasted longer was
    due again at its end, so that the leader read no request and no report.
    """
    dispatched = site.find_leader().node._dispatcher
    planned_s = []

    def run(self, inputs):
        planned_s.append(inputs.now_s)
        return units.Plan([], [])

    monkeypatch.setattr(rounds.RoundScheduler, "run", run)
    dispatched._request_round = lambda: None
    site.run(0.6)
    del planned_s[:]
    duration_s = 2.0
    for _ in range(50):
        dispatched._round_duration_s = duration_s
        site.run(0.1)
    assert len(planned_s) <= 5.0 * dispatcher.MAX_ROUND_SHARE / duration_s + 1


def test_names_of_ended_tasks_are_forgotten(site):
    """Guards against a leader that grows with each task that ever ran."""
    dispatcher = site.find_leader().node._dispatcher
    site.submit("0" * 16, demand=sites.SMALL_DEMAND, run_s=0.5, tasks=20)
    site.run(0.3)
    assert len(dispatcher._runs._keys_by_name) == 20
    site.run(5.0)
    assert not dispatcher._runs._keys_by_name
