"""LOST: a task that lasts and fills isn't started while the tails of the tasks that serve are near their targets."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "standin2"))
import fleet_site as fs  # noqa: E402

SERVING, FILLING = "00000000000000e1", "00000000000000f1"
TASKS, SERVING_CPU, CORES = 3, 2000, 4 * 16000
SERVING_MB, FILLING_MB, MINION_MB = 2000, 1000, 32768
TARGET_MS, QUIET_MS, BUSY_MS = 100, 45, 95
BUSY_AT_S = 8.0
# LOST: "for 3 s ... from 6 s after its last run". Nothing is disturbed, so that all the time is calm.
IDLE_S, AFTER_RUN_S = 3.0, 6.0


async def scenario(site):
    site.tail_ms = QUIET_MS
    site.configure([fs.route("r-l", "/l/", "p", attempts=2, public=True, aim_ms=2500, slack=2.2)],
                   [fs.service("p")], [fs.tenant("t", "k1")])
    await site.add_machines("p", 4)
    await site.add_vms(3)
    await site.wait_ready()
    vm = list(site.vms.values())[0]
    await site.submit(vm, "/l/", SERVING, {"serves": True},
                      [{"replicas": 4, "cpu": SERVING_CPU, "memMb": SERVING_MB, "estimateMs": 900,
                        "longRunning": True, "antiAffinity": 1, "image": "serve", "targetMs": TARGET_MS}])
    # The tasks that fill fail once each, after their first runs have worked for a while.
    await site.submit(vm, "/l/", FILLING, {"first_ms": [10000, 11000, 12000], "end": "failed"},
                      [{"replicas": TASKS, "cpu": 4000, "memMb": FILLING_MB, "estimateMs": 900, "longRunning": True,
                        "image": "fill", "fillLevels": True}])
    await asyncio.sleep(BUSY_AT_S)
    if site.trouble:
        # The users of the tasks that serve ask for more: their tails rise, to 95 % of the target, whatever fills.
        site.tail_ms = BUSY_MS
        site.rec("tails", ms=site.tail_ms)
    await asyncio.sleep(32.0)
    return judge(site)


def judge(site):
    """Returns the tasks that weren't started again as LOST asks."""
    broken = []
    for index in range(TASKS):
        task = f"{FILLING}.0.0.{index}"
        starts = [e["at"] for e in site.of("start", task=task)]
        for end in site.of("end", task=task):
            after = min((at for at in starts if at > end["at"]), default=site.now())
            if after > end["at"] + AFTER_RUN_S + IDLE_S:
                broken.append(f"{task} ended at {end['at']:.3f} and wasn't started until {after:.3f}; at most "
                              f"{4 * SERVING_CPU} of {CORES} in use, and each minion has over "
                              f"{MINION_MB - SERVING_MB - TASKS * FILLING_MB} MB left")
    return broken


fs.main(HERE, scenario)
