"""Append-only history files with one JSON object a line."""

from collections.abc import Mapping
import json
import time
from typing import Any
from typing import TextIO


class History:
    """Appends entries to a history file."""

    def __init__(self, file: TextIO | None):
        """Creates a history.

        Args:
            file: Open file to append to; with None, entries are discarded.
        """
        self._file = file

    def append(self, entry: Mapping[str, Any]) -> None:
        """Adds the wall time `wall_s` to an entry, writes and flushes it.

        Args:
            entry: The entry, with the monotonic time `at_s` in seconds.
        """
        if self._file is None:
            return
        age_s = time.monotonic() - entry["at_s"]
        line = {**entry, "wall_s": time.time() - age_s}
        self._file.write(json.dumps(line) + "\n")
        self._file.flush()
