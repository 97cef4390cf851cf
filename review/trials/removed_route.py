"""Trial, LOST. A route is removed, then the scheduler is killed: what becomes of a job of that route?"""
import asyncio
import os
import signal
import sys
import tempfile

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import fleetsim as sim  # noqa: E402

QUEUE = sim.queue("/tick/")
ROUTES = [sim.route("tick-rollup", "/tick/", "closeboard", 4), sim.route("other", "/other/", "closeboard", 4)]
FIRST_RUN_MS = 9000     # of the job's only task; it ends failed, and each later one done


async def play(site, record, trouble):
    name = sim.new_id()
    spec = {"ms": 1000, "cpu": 880, "mem": 1600, "runs": {"1": [FIRST_RUN_MS, "failed"]}}
    answers = await site.ask("POST", QUEUE, name, sim.job(1, spec))
    record.say(f"the job {name}: {answers[-1][0]}")
    await asyncio.sleep(1)
    if trouble:
        await site.store.put("op", "config", sim.configuration(2, routes=ROUTES[1:]))
        record.say("a configuration without the job's route")
    await asyncio.sleep(2.5)
    holder = site.holder()
    record.say(f"kill of {holder.name}, which schedules")
    holder.signal(signal.SIGKILL)
    await asyncio.sleep(9)
    await site.store.put("op", "config", sim.configuration(3, routes=ROUTES))
    await asyncio.sleep(4)
    _, value = (await site.ask("GET", QUEUE, name))[-1]
    failed = [end for end in site.run_ends if end[4] == "failed"]
    record.say(f"the job is shown as {value}; runs that ended failed: {len(failed)}, maxAttempts 4")
    return ["LOST: shown as failed after one attempt"] if value and value.get("state") == "failed" else []


if __name__ == "__main__":
    sys.exit(sim.main(tempfile.mkdtemp(), play, config=sim.configuration(routes=ROUTES)))
