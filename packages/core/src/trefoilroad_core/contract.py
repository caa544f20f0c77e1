"""Contracts that operators publish: templates, teams, guarantees."""

from typing import NamedTuple

from trefoilroad_core import request


class Template(NamedTuple):
    """Parameters that requests of one kind share.

    Attributes:
        name: Name that requests refer to.
        shape: Resources of one gang, unless a request asks for another.
        idempotent: Whether a request may run more than once.
        checkpoint: Whether tasks can be checkpointed and resumed.
        priority: 0 (most urgent) to 9.
        wait_s: Longest time from receipt to start, in seconds.
        declared_s: Expected run time in seconds.
    """

    name: str
    shape: request.Shape
    idempotent: bool
    checkpoint: bool
    priority: int
    wait_s: float
    declared_s: float


class Guarantee(NamedTuple):
    """Gangs of one shape that a team can run at any time.

    Attributes:
        shape: Shape of one gang.
        gangs: Number of such gangs at the same time.
    """

    shape: request.Shape
    gangs: int


class Team(NamedTuple):
    """A team and its contract.

    Attributes:
        name: Name of the team.
        weight: Weight in fair sharing, relative to other teams.
        guarantees: Guaranteed shapes, for which other gangs are evicted.
        max_queued: Most requests that wait at once, for the whole team.
        max_queued_per_caller: Most requests that one caller has waiting.
        max_accelerators: Most accelerators in use at once, inside and
            outside guarantees; 0 means no limit.
        templates: Names of the templates that the team may use.
        overrides: Template parameters that differ for this team, by template
            name and field name.
        token_sha256: Hexadecimal digest of the team's access token.
    """

    name: str
    weight: float
    guarantees: tuple[Guarantee, ...]
    max_queued: int
    max_queued_per_caller: int
    max_accelerators: int
    templates: tuple[str, ...]
    overrides: dict[str, dict[str, object]]
    token_sha256: str


class Configuration(NamedTuple):
    """One published version of all contracts.

    Attributes:
        version: Number of the version, from 1; 0 before the first.
        templates: Templates by name.
        teams: Teams by name.
        drained: Workers that operators have drained.
        operators: Hexadecimal digest of each operator's access token, by
            name.
    """

    version: int
    templates: dict[str, Template]
    teams: dict[str, Team]
    drained: frozenset[str] = frozenset()
    operators: dict[str, str] = {}  # noqa: RUF012

    def resolve_template(self, team: str, name: str) -> Template:
        """Returns a template with a team's overrides applied.

        Args:
            team: Name of the team.
            name: Name of the template.

        Returns:
            The template with the overrides.

        Raises:
            KeyError: If the team or the template does not exist, or the team
                may not use the template.
        """
        contract = self.teams[team]
        if name not in contract.templates:
            raise KeyError(name)
        template = self.templates[name]
        return template._replace(**contract.overrides.get(
            name, {}))  # type: ignore[arg-type]


EMPTY_CONFIGURATION = Configuration(version=0, templates={}, teams={})
