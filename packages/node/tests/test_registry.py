"""Tests of the registry module."""

from trefoilroad_node import registry


def test_counters_and_histograms():
    """Guards against output that Prometheus cannot parse."""
    metrics = registry.Registry()
    metrics.count("jobs.completed", 2)
    metrics.set_gauge("owner.epoch", 3)
    metrics.time("jobs.wait", 0.02)
    metrics.time("jobs.wait", 60.0)
    lines = metrics.render().splitlines()
    assert "trefoilroad_jobs_completed_total 2" in lines
    assert "trefoilroad_owner_epoch 3" in lines
    assert 'trefoilroad_jobs_wait_seconds_bucket{le="0.025"} 1' in lines
    assert 'trefoilroad_jobs_wait_seconds_bucket{le="+Inf"} 2' in lines
    assert "trefoilroad_jobs_wait_seconds_count 2" in lines
