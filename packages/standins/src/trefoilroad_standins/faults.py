"""Fault rules of the stand-ins, without sockets or clock."""

from collections.abc import Callable
import enum
import random
from typing import Any
from typing import NamedTuple

from trefoilroad_core import errors
from trefoilroad_standins import fields
from trefoilroad_standins import http_service


class Mode(enum.StrEnum):
    """How a request fails that a rule applies to."""

    DOWN = "down"  # Answered with 503, without effect.
    DROP = "drop"  # Connection closed without answer or effect.
    HANG = "hang"  # Never answered, without effect.
    SLOW = "slow"  # Takes effect and is answered after the delay.
    LOSE_ANSWERS = "lose_answers"  # Takes effect, connection closed.
    REFUSE = "refuse"  # Only workers: reservations and starts are refused.


class Rule(NamedTuple):
    """A fault and the operations that it applies to.

    Attributes:
        mode: The fault.
        kinds: Kinds of operation that it applies to; empty for all.
        nodes: Values of the X-Node header that it applies to; empty for all.
        workers: Ids of the workers that it applies to; empty for all.
        delay_s: Delay before the fault or the effect, in seconds.
        probability: Probability that it applies to a matching operation.
        next: Number of operations that it still applies to, None for no limit.
    """

    mode: Mode
    kinds: frozenset[str] = frozenset()
    nodes: frozenset[str] = frozenset()
    workers: frozenset[str] = frozenset()
    delay_s: float = 0.0
    probability: float = 1.0
    next: int | None = None

    def matches(self, kind: str, node: str, worker: str) -> bool:
        """Tells whether an operation passes all filters.

        Args:
            kind: Kind of the operation.
            node: Id of the requesting node, empty if unknown.
            worker: Id of the requested worker, empty on the platform.
        """
        return ((not self.kinds or kind in self.kinds) and
                (not self.nodes or node in self.nodes) and
                (not self.workers or worker in self.workers))


class FaultRules:
    """The fault rules that are in force."""

    def __init__(self, *, seed: int):
        """Creates an empty set of rules.

        Args:
            seed: Seed of the random choices.
        """
        self._rng = random.Random(seed)
        self._rules: list[Rule] = []

    def replace_rules(self, rules: list[Rule]) -> None:
        """Replaces all rules.

        Args:
            rules: The rules; of several that match, the first applies.
        """
        self._rules = list(rules)

    def select_rule(self,
                    kind: str,
                    node: str = "",
                    worker: str = "") -> Rule | None:
        """Selects the rule for one operation and counts down its limit.

        Args:
            kind: Kind of the operation.
            node: Id of the requesting node, empty if unknown.
            worker: Id of the requested worker, empty on the platform.

        Returns:
            The rule that applies, or None.
        """
        for index, rule in enumerate(self._rules):
            if rule.next == 0 or not rule.matches(kind, node, worker):
                continue
            if self._rng.random() >= rule.probability:
                continue
            if rule.next is not None:
                self._rules[index] = rule._replace(next=rule.next - 1)
            return rule
        return None


def inject(rule: Rule | None,
           serve: Callable[[], http_service.Action]) -> http_service.Action:
    """Carries out an operation and injects a fault.

    Args:
        rule: The rule that applies, or None.
        serve: Carries out the operation; not called if the fault prevents it.

    Returns:
        How to answer the request.
    """
    if rule is None:
        return serve()
    if rule.delay_s:
        without_delay = rule._replace(delay_s=0.0)
        return http_service.DelayedAction(rule.delay_s,
                                          lambda: inject(without_delay, serve))
    if rule.mode == Mode.DOWN:
        return http_service.build_error(503, "unavailable")
    if rule.mode == Mode.DROP:
        return http_service.DropConnection()
    if rule.mode == Mode.HANG:
        return http_service.HoldConnection()
    reply = serve()
    return http_service.DropConnection(
    ) if rule.mode == Mode.LOSE_ANSWERS else reply


def parse_rules(body: bytes, kinds: frozenset[str]) -> list[Rule]:
    """Parses the body `{"faults": [rule, ...]}` of the control interface.

    Args:
        body: Body of the request.
        kinds: Valid kinds of operation.

    Returns:
        The rules.

    Raises:
        ProtocolError: If a field is unknown or invalid.
    """
    document = fields.parse_object(body)
    return [
        parse_rule(rule, kinds)
        for rule in fields.read_objects(document, "faults")
    ]


def parse_rule(document: dict[str, Any], kinds: frozenset[str]) -> Rule:
    """Parses one rule.

    Args:
        document: Decoded object with Rule's fields.
        kinds: Valid kinds of operation.

    Returns:
        The rule.

    Raises:
        ProtocolError: If a field is unknown or invalid.
    """
    unknown = document.keys() - set(Rule._fields)
    if unknown:
        raise errors.ProtocolError(f"unknown fields {sorted(unknown)}")
    mode = fields.read_field(document, "mode", str)
    if mode not in list(Mode):
        raise errors.ProtocolError(f"mode is not one of {[*map(str, Mode)]}")
    rule = Rule(
        mode=Mode(mode),
        kinds=frozenset(fields.read_strings(document, "kinds", default=[])),
        nodes=frozenset(fields.read_strings(document, "nodes", default=[])),
        workers=frozenset(fields.read_strings(document, "workers", default=[])),
        delay_s=fields.read_nonnegative(document, "delay_s", default=0.0),
        probability=fields.read_nonnegative(document,
                                            "probability",
                                            default=1.0),
        next=fields.read_field(document,
                               "next", (int, type(None)),
                               default=None))
    if not rule.kinds <= kinds:
        raise errors.ProtocolError(f"kinds are not among {sorted(kinds)}")
    if rule.probability > 1 or (rule.next is not None and rule.next < 0):
        raise errors.ProtocolError("probability or next is out of range")
    if rule.mode == Mode.SLOW and not rule.delay_s:
        raise errors.ProtocolError("slow needs delay_s")
    return rule
