"""Scheduling decisions of trefoilroad, without sockets, clocks or I/O."""
