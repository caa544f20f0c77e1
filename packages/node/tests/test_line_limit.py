"""Tests of the line_limit module."""

from trefoilroad_node import line_limit


def test_lines_over_the_limit_are_counted():
    """Guards against floods of lines, and against ones left out untold."""
    limit = line_limit.LineLimit(max_lines=2)
    assert [limit.admit(10.0 + number / 10) for number in range(6)
           ] == [0, 0, None, None, None, None]
    assert [limit.admit(11.0),
            limit.admit(11.5),
            limit.admit(11.9)] == [4, 0, None]
    assert limit.admit(20.0) == 1
