"""Append-only records of what happened, one JSON object a line."""

from collections.abc import Mapping
import json
import time
from typing import Any
from typing import TextIO


class History:
    """Appends records to a file."""

    def __init__(self, file: TextIO | None):
        """Uses an open file.

        Args:
            file: Where to append, None to keep nothing.
        """
        self._file = file

    def append(self, record: Mapping[str, Any]) -> None:
        """Writes and flushes one record and adds its wall time.

        Args:
            record: What happened, with the monotonic time `at_s`.
        """
        if self._file is None:
            return
        age_s = time.monotonic() - record["at_s"]
        line = {**record, "wall_s": time.time() - age_s}
        self._file.write(json.dumps(line) + "\n")
        self._file.flush()
