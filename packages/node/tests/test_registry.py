"""Metrics that are read as text."""

from trefoilroad_node import registry


def test_counters_and_histograms():
    """Guards against figures that monitoring cannot read."""
    metrics = registry.Registry()
    metrics.count("jobs.completed", 2)
    metrics.set_level("owner.epoch", 3)
    metrics.time("jobs.wait", 0.02)
    metrics.time("jobs.wait", 60.0)
    lines = metrics.render().splitlines()
    assert "trefoilroad_jobs_completed_total 2" in lines
    assert "trefoilroad_owner_epoch 3" in lines
    assert 'trefoilroad_jobs_wait_seconds_bucket{le="0.025"} 1' in lines
    assert 'trefoilroad_jobs_wait_seconds_bucket{le="+Inf"} 2' in lines
    assert "trefoilroad_jobs_wait_seconds_count 2" in lines
