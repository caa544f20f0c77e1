"""Deployments that traces are generated for: fleet, teams and ordinary work.

The sizes of fleets, racks and failure domains are those of section 1 of the
design page. Templates, run times and guarantees are assumptions: the work of an
ordinary day keeps about two thirds of the accelerators busy, and guarantees
cover about 70% of them.
"""

from typing import Any
from typing import NamedTuple

HOUR_S = 3600.0


class Stream(NamedTuple):
    """Requests of one template that a team submits over the day.

    Attributes:
        team: Name of the team.
        template: Name of the template.
        requests: Number of requests.
        run_s: Median of the true run time in seconds.
        callers: Number of callers.
    """

    team: str
    template: str
    requests: int
    run_s: float
    callers: int


class Deployment(NamedTuple):
    """A fleet with its ordinary work.

    Attributes:
        name: Name of the deployment.
        day_s: Length of a recorded day in seconds.
        checkpoint_s: Time that an eviction takes, in seconds.
        racks: Racks, as rows of the trace header.
        templates: Templates, as rows of the trace header.
        teams: Teams, as rows of the trace header.
        streams: Ordinary work.
        initial_requests: Expected number of requests of the streams that
            arrive at the start of the trace.
        flood_team: Team that submits the floods.
        least_urgent_template: Template of the least urgent priority.
        urgent_template: Template of the most urgent priority.
        largest_template: Template with the largest gang.
    """

    name: str
    day_s: float
    checkpoint_s: float
    racks: list[dict[str, Any]]
    templates: list[dict[str, Any]]
    teams: list[dict[str, Any]]
    streams: list[Stream]
    initial_requests: int
    flood_team: str
    least_urgent_template: str
    urgent_template: str
    largest_template: str


def _build_racks(layout: list[tuple[str, str]], workers: int,
                 **capacity: int) -> list[dict[str, Any]]:
    return [{
        "rack": rack,
        "failure_domain": domain,
        "workers": workers,
        **capacity
    } for rack, domain in layout]


def _build_template(name: str, shape: list[Any], priority: int,
                    declared_s: float, **options: Any) -> dict[str, Any]:
    return {
        "name": name,
        "shape": shape,
        "idempotent": options.get("idempotent", True),
        "checkpoint": options.get("checkpoint", False),
        "priority": priority,
        "wait_s": options.get("wait_s", 4 * HOUR_S),
        "declared_s": declared_s
    }


def _build_team(name: str, weight: float, guarantees: list[tuple[list[Any],
                                                                 int]],
                templates: list[str]) -> dict[str, Any]:
    # The limits exceed any flood in the traces, so that a replay measures the
    # order of the queue and not only its limits.
    return {
        "name": name,
        "weight": weight,
        "guarantees": [{
            "shape": shape,
            "gangs": gangs
        } for shape, gangs in guarantees],
        "max_queued": 20000,
        "max_queued_per_caller": 20000,
        "max_accelerators": 0,
        "templates": templates
    }


def build_nkabom() -> Deployment:
    """Returns Nkabom Knits Collective: 24 workers, 4 failure domains."""
    photo = [1, 1, 4, 16, "none"]
    match = [4, 2, 8, 32, "rack"]
    route = [4, 8, 32, 128, "rack"]
    names = ["photo", "urgent_photo", "match", "route", "dispatch", "bulk"]
    return Deployment(
        name="nkabom",
        day_s=2 * HOUR_S,
        checkpoint_s=10.0,
        racks=_build_racks([(f"{domain}1", domain) for domain in "abcd"],
                           6,
                           accelerators=8,
                           cores=64,
                           memory_gb=256,
                           slots=8,
                           connections=64),
        templates=[
            _build_template("photo", photo, 3, 120.0),
            _build_template("urgent_photo", photo, 0, 20.0),
            _build_template("match", match, 4, 300.0, checkpoint=True),
            _build_template("route", route, 5, 600.0, checkpoint=True),
            _build_template("dispatch", [1, 4, 16, 64, "none"],
                            2,
                            240.0,
                            idempotent=False),
            _build_template("bulk", [1, 2, 4, 16, "none"], 9, 120.0)
        ],
        teams=[
            _build_team("matching", 3.0, [(match, 6), (photo, 8)], names),
            _build_team("routes", 3.0, [(route, 1),
                                        ([1, 4, 16, 64, "none"], 4)], names),
            _build_team("photos", 1.0, [(photo, 16)], names),
            _build_team("partners", 1.0, [(photo, 8)], names)
        ],
        streams=[
            Stream("matching", "match", 180, 250.0, 6),
            Stream("matching", "photo", 60, 100.0, 12),
            Stream("matching", "urgent_photo", 30, 20.0, 6),
            Stream("routes", "route", 24, 500.0, 3),
            Stream("routes", "dispatch", 80, 200.0, 4),
            Stream("photos", "photo", 260, 100.0, 24),
            Stream("photos", "urgent_photo", 40, 20.0, 12),
            Stream("partners", "photo", 60, 100.0, 12),
            Stream("partners", "bulk", 120, 110.0, 4)
        ],
        initial_requests=0,
        flood_team="partners",
        least_urgent_template="bulk",
        urgent_template="urgent_photo",
        largest_template="route")


def build_kalahari() -> Deployment:
    """Returns Kalahari Punchlist Software: 24 workers, 3 failure domains."""
    defect = [2, 2, 8, 16, "rack"]
    render = [1, 1, 4, 8, "none"]
    index = [6, 8, 48, 96, "rack"]
    names = ["defect", "render", "urgent_render", "index", "export", "bulk"]
    return Deployment(
        name="kalahari",
        day_s=2 * HOUR_S,
        checkpoint_s=10.0,
        racks=_build_racks([(f"{domain}1", domain) for domain in "abc"],
                           8,
                           accelerators=8,
                           cores=64,
                           memory_gb=128,
                           slots=8,
                           connections=64),
        templates=[
            _build_template("defect", defect, 3, 180.0, checkpoint=True),
            _build_template("render", render, 2, 40.0),
            _build_template("urgent_render", render, 0, 15.0),
            _build_template("index", index, 6, 900.0, checkpoint=True),
            _build_template("export", [1, 2, 8, 16, "none"],
                            4,
                            120.0,
                            idempotent=False),
            _build_template("bulk", [1, 1, 4, 8, "none"], 9, 120.0)
        ],
        teams=[
            _build_team("snagging", 3.0, [(defect, 12), (render, 4)], names),
            _build_team("archive", 2.0, [(index, 1)], names),
            _build_team("reports", 2.0, [(render, 24),
                                         ([1, 2, 8, 16, "none"], 4)], names),
            _build_team("tenants", 1.0, [(render, 8)], names)
        ],
        streams=[
            Stream("snagging", "defect", 300, 170.0, 10),
            Stream("snagging", "urgent_render", 30, 15.0, 10),
            Stream("archive", "index", 12, 700.0, 2),
            Stream("reports", "render", 300, 40.0, 30),
            Stream("reports", "export", 60, 110.0, 5),
            Stream("reports", "urgent_render", 40, 15.0, 10),
            Stream("tenants", "render", 60, 40.0, 15),
            Stream("tenants", "bulk", 150, 110.0, 4)
        ],
        initial_requests=0,
        flood_team="tenants",
        least_urgent_template="bulk",
        urgent_template="urgent_render",
        largest_template="index")


DESIGN_TEAMS = 52
DESIGN_LARGE_TEAMS = 4


def _build_design_racks() -> list[dict[str, Any]]:
    # 10 racks of 10 workers with 8 accelerators, 15 with 2 and 26 without:
    # 510 workers and 1,100 accelerators.
    kinds = [8] * 10 + [2] * 15 + [0] * 26
    racks = []
    for index, accelerators in enumerate(kinds):
        domain = "abcdef"[index % 6]
        racks += _build_racks([(f"{domain}{index // 6 + 1}", domain)],
                              10,
                              accelerators=accelerators,
                              cores=64,
                              memory_gb=256,
                              slots=16,
                              connections=64)
    return racks


def build_design() -> Deployment:
    """Returns the design size: 510 workers, 1,100 accelerators, 52 teams."""
    train = [8, 2, 8, 32, "rack"]
    large = [8, 8, 32, 128, "rack"]
    prepare = [44, 0, 2, 4, "none"]
    probe = [1, 1, 4, 16, "none"]
    names = ["prepare", "train", "large", "probe", "bulk"]
    teams, streams = [], []
    for index in range(DESIGN_TEAMS):
        name = f"team{index + 1:02}"
        is_large = index < DESIGN_LARGE_TEAMS
        guarantees = [(train, 1)] if index % 2 else [(probe, 4)]
        if is_large:
            guarantees = [(large, 1), (probe, 4)]
            streams.append(Stream(name, "large", 6, 7 * HOUR_S, 2))
        teams.append(
            _build_team(name, 6.0 if is_large else 1.0, guarantees, names))
        streams.append(Stream(name, "prepare", 5, 7 * HOUR_S, 2))
        if index % 2 or is_large:
            streams.append(Stream(name, "train", 2, 7 * HOUR_S, 2))
        streams.append(Stream(name, "probe", 1, 0.4 * HOUR_S, 1))
    return Deployment(name="design",
                      day_s=24 * HOUR_S,
                      checkpoint_s=60.0,
                      racks=_build_design_racks(),
                      templates=[
                          _build_template("prepare",
                                          prepare,
                                          5,
                                          8 * HOUR_S,
                                          wait_s=48 * HOUR_S,
                                          checkpoint=True),
                          _build_template("train",
                                          train,
                                          4,
                                          8 * HOUR_S,
                                          wait_s=48 * HOUR_S,
                                          checkpoint=True),
                          _build_template("large",
                                          large,
                                          4,
                                          8 * HOUR_S,
                                          wait_s=48 * HOUR_S,
                                          checkpoint=True),
                          _build_template("probe", probe, 0, 0.5 * HOUR_S),
                          _build_template("bulk", [8, 1, 4, 16, "none"],
                                          9,
                                          1 * HOUR_S,
                                          wait_s=96 * HOUR_S,
                                          checkpoint=True)
                      ],
                      teams=teams,
                      streams=streams,
                      initial_requests=110,
                      flood_team="team52",
                      least_urgent_template="bulk",
                      urgent_template="probe",
                      largest_template="large")
