"""Real node processes under clients that submit costly jobs.

The limits are those of `confined_site`. The bounds are these limits, and not
what a version of the code reaches. Nothing here depends on the speed of the
machine: a crowd sends a fixed number of bodies.
"""

import asyncio

import pytest

from trefoilroad_jobs import workload
from trefoilroad_standins.jobs import confined_site
from trefoilroad_standins.jobs import hostile_jobs


@pytest.mark.parametrize("crowd",
                         hostile_jobs.CROWDS,
                         ids=lambda crowd: crowd.name)
def test_process_stays_within_its_limits(tmp_path, crowd):
    """Guards against jobs that take the memory or the time of the leader."""

    async def run():
        async with confined_site.ConfinedSite(folder=tmp_path,
                                              worker_count=1) as site:

            def prepare(job_id):
                if crowd.needs_nothing:
                    site.fleet.demands[job_id] = workload.Demand(0, 0, 0)

            with site.sampling():
                attack = asyncio.create_task(
                    hostile_jobs.run_crowd(site.node.port, crowd, prepare))
                during = await site.submit_ordinary_job()
                answers = await attack
                afterwards = await site.submit_ordinary_job()
            print(f"{crowd.name}: {site.describe()}, "
                  f"accepted {answers.count(200)}, "
                  f"unanswered {answers.count(0)}, "
                  f"ordinary jobs {during}, {afterwards}")
            site.check_limits()
            assert (during, afterwards) == (200, 200)
            started = {
                event.name.partition(".")[0]
                for event in site.fleet.history
                if event.kind == "start"
            }
            assert not started & answers.list_refused()

    asyncio.run(run())
