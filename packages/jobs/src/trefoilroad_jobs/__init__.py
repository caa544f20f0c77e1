"""Scheduler of jobs with dependent steps: planning, storage and recovery."""
