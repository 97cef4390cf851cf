"""A job that repeats often enough: does the system go on working?"""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import fleetsim as sim  # noqa: E402

OCCURRENCES = 400        # with trouble
FEW_OCCURRENCES = 100    # without
INTERVAL_MS = 100
TRAFFIC_S = 50
QUEUE = sim.queue("/tick/")


async def play(site, record, trouble):
    repeated = sim.new_id()
    step = {"replicas": 1, "cpu": 200, "memMb": 50, "estimateMs": 100}
    body = {
        "spec": '{"ms": 100, "cpu": 200, "mem": 50}', "phases": [step] * 4,
        "repeatCount": OCCURRENCES if trouble else FEW_OCCURRENCES,
        "startAtMs": int(time.time() * 1000) + 1000, "intervalMs": INTERVAL_MS,
    }
    answers = await site.ask("POST", QUEUE, repeated, body)
    if answers[-1][0] != 200:
        raise sim.CannotRun("the repeated job was not accepted")
    record.say(f"the job {repeated} with {body['repeatCount']} occurrences: {answers[-1][0]}")
    accepted = {repeated: record.now()}

    async def submit():
        name = sim.new_id()
        answers = await site.ask("POST", QUEUE, name, sim.roll_up())
        if 200 <= answers[-1][0] < 300:
            accepted[name] = record.now()

    start = record.now()
    clients = []
    while record.now() < start + TRAFFIC_S:
        clients.append(asyncio.ensure_future(submit()))
        await asyncio.sleep(0.5)
    await asyncio.gather(*clients)
    record.say(f"end of the traffic: {len(accepted) - 1} of {len(clients)} ordinary jobs accepted")
    await asyncio.sleep(sim.BOUNDS["finish_s"])
    return await sim.lost_jobs(site, record, QUEUE, accepted)


if __name__ == "__main__":
    sys.exit(sim.main(os.path.dirname(os.path.abspath(__file__)), play, config=sim.configuration()))
