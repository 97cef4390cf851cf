"""Trial, LOST. Waves that have long been completed, and then a kill of the scheduler."""
import asyncio
import base64
import json
import os
import signal
import sys
import tempfile

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import fleetsim as sim  # noqa: E402

POOLS = (("closeboard", 9), ("packwright", 9), ("tallybook", 11), ("auditrail", 12), ("misc-ops", 8))
QUEUE = sim.queue("/tick/")
BETWEEN_JOBS_S = 0.15
WAVES_AT_S = 6
DURATION_S = 26
BETWEEN_WAVES_S = 0.45
KILL_AT_S = 48
TRAFFIC_S = 65


async def hand_in_waves(site, record, one_each):
    names = [machine.name for machine in site.machines] + [f"gone-{number}" for number in range(6)]
    waves = ([[name] for name in names] if one_each else [names])
    for number, machines in enumerate(waves, start=1):
        wave = {"rolloutWave": number, "machines": machines, "durationS": DURATION_S,
                "cap": max(1, len(machines) // 5)}
        await site.store.put("op", f"wave/{number}", wave)
        await asyncio.sleep(BETWEEN_WAVES_S)
    record.say(f"the operator has handed in {len(waves)} waves of {len(waves[0])} machines each")


async def kill(site, record):
    await asyncio.sleep(KILL_AT_S - WAVES_AT_S)
    states = [json.loads(base64.b64decode(row[1]))["state"] for name, row in site.store.rows.items()
              if name[0] == "status"]
    record.say(f"waves completed: {states.count('completed')} of {len(states)}")
    holder = site.holder()
    record.say(f"kill of {holder.name}, which schedules")
    holder.signal(signal.SIGKILL)


async def play(site, record, trouble):
    accepted = {}

    async def submit():
        name = sim.new_id()
        answers = await site.ask("POST", QUEUE, name, sim.roll_up())
        if 200 <= answers[-1][0] < 300:
            accepted[name] = record.now()

    start = record.now()
    clients = []
    handed_in = False
    while record.now() < start + TRAFFIC_S:
        if not handed_in and record.now() >= start + WAVES_AT_S:
            handed_in = True
            site.spawn(hand_in_waves(site, record, one_each=trouble))
            site.spawn(kill(site, record))
        clients.append(asyncio.ensure_future(submit()))
        await asyncio.sleep(BETWEEN_JOBS_S)
    await asyncio.gather(*clients)
    record.say(f"end of the traffic: {len(accepted)} of {len(clients)} jobs accepted")
    await asyncio.sleep(sim.BOUNDS["finish_s"])
    waves = [value for name, value in site.store.rows.items() if name[0] == "status"]
    record.say(f"waves with a status: {len(waves)}")
    return await sim.lost_jobs(site, record, QUEUE, accepted)


if __name__ == "__main__":
    routes = [sim.route("tick-rollup", "/tick/", "closeboard")]
    sys.exit(sim.main(tempfile.mkdtemp(), play, pools=POOLS,
                      config=sim.configuration(routes=routes, services=[name for name, _ in POOLS])))
