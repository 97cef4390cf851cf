"""Many machines are due for upkeep: one wave for each of them, or one wave for all?"""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import fleetsim as sim  # noqa: E402

POOLS = (("closeboard", 9), ("packwright", 9), ("tallybook", 11), ("auditrail", 12), ("misc-ops", 8))
QUEUE = sim.queue("/tick/")
BETWEEN_JOBS_S = 0.15
WAVES_AT_S = 6
DURATION_S = 26
UPKEEPS = 2       # of each machine
TRAFFIC_S = 40


async def hand_in_waves(site, record, one_each):
    names = [machine.name for machine in site.machines]
    waves = ([[name] for name in names] if one_each else [names]) * UPKEEPS
    for number, machines in enumerate(waves, start=1):
        wave = {"rolloutWave": number, "machines": machines, "durationS": DURATION_S,
                "cap": max(1, len(machines) // 5)}
        await site.store.put("op", f"wave/{number}", wave)
    record.say(f"the operator has handed in {len(waves)} waves of {len(waves[0])} machines each")


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
            await hand_in_waves(site, record, one_each=trouble)
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
    sys.exit(sim.main(os.path.dirname(os.path.abspath(__file__)), play, pools=POOLS,
                      config=sim.configuration(routes=routes, services=[name for name, _ in POOLS])))
