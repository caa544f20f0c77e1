"""Rows of the workers' table as other writers may leave them."""

import json
import random
from typing import Any

ENTRY: dict[str, Any] = {
    "service": "service",
    "address": "127.0.0.1:9",
    "zone": "zone",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "remainingMs": 0,
    "capacity": {
        "cpu": 64000,
        "memMb": 256000,
        "gpu": 8
    },
    "labels": ["a", "r0"],
    "born": 1700000000000
}
_ODD_VALUES: tuple[Any, ...] = (None, True, -1, 2**64, 10**400, float("nan"),
                                float("inf"), "", "\ud800", "a\r\nb", [], [[1]],
                                {}, {
                                    "kind": "a"
                                }, {
                                    "cpu": 10**400,
                                    "gpu": -1
                                })
_ODD_ADDRESSES = ("127.0.0.1:70000", "127.0.0.1:", "localhost:80", ":80",
                  "127.0.0.1:\u00b2", "::1:80", "127.0.0.1\r\nX: y:80")
_ODD_KEYS = ("i-other", "", "i other", "\u00e4", "\ud800", "a\r\nX: y")
MAX_DEPTH = 2_000


def draw_row(rng: random.Random) -> tuple[str, bytes]:
    """Draws the key and the value of a row.

    Args:
        rng: Source of the random choices.
    """
    key = rng.choice(_ODD_KEYS)
    kind = rng.randrange(5)
    if kind == 0:
        return key, rng.randbytes(rng.randrange(60))
    if kind == 1:
        depth = rng.randrange(1, MAX_DEPTH)
        text = json.dumps(ENTRY | {rng.choice(sorted(ENTRY)): "NESTED"})
        nested = "[" * depth + "]" * depth
        return key, text.replace('"NESTED"', nested).encode()
    if kind == 2:
        entry = ENTRY | {"address": rng.choice(_ODD_ADDRESSES)}
        return key, json.dumps(entry).encode()
    names = rng.sample(sorted(ENTRY), rng.randint(1, 3))
    if kind == 3:
        kept = {name: ENTRY[name] for name in ENTRY if name not in names}
        return key, json.dumps(kept).encode()
    changes = {name: rng.choice(_ODD_VALUES) for name in names}
    return key, json.dumps(ENTRY | changes).encode()
