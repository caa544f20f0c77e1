"""Recorded traces, replay, reports and the history checker."""
