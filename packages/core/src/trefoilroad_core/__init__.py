"""Scheduling decisions of trefoilroad: no sockets, no clock, no I/O."""
