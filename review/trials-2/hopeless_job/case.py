"""LOST: one hopeless job keeps the tasks that last, and all else, from a pool of sound minions for 12 s."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "standin2"))
import fleet_site as fs  # noqa: E402

LASTING, HOPELESS = "00000000000000b1", "0000000000000bad"
LASTING_CPU, CORES = 1300, 3 * 16000
# LOST: "for 3 s ... from 6 s after its last run ... if the 3 s and the 4 s before them are calm".
IDLE_S, AFTER_RUN_S, CALM_S = 3.0, 6.0, 4.0


async def scenario(site):
    site.configure([fs.route("r-q", "/q/", "p", attempts=4),
                    fs.route("r-l", "/l/", "p", attempts=2, public=True, aim_ms=2500, slack=2.2)],
                   [fs.service("p")], [fs.tenant("t", "k1")])
    await site.add_machines("p", 3)
    await site.add_vms(3)
    await site.wait_ready()
    vm = list(site.vms.values())[0]

    async def sound_job(number):
        phases = [{"replicas": 4, "cpu": 880, "memMb": 300, "estimateMs": 400}]
        await site.submit(vm, "/q/", f"{0xa00 + number:016x}", {"ms": 400}, phases, "k1")

    # A long-running job of two tasks, each of which works for 5 s and then fails: "The tasks are at work after a
    # short startup, and may fail at any time."
    await site.submit(vm, "/l/", LASTING, {"ms": 5000, "end": "failed"},
                      [{"replicas": 2, "cpu": LASTING_CPU, "memMb": 4300, "estimateMs": 900, "longRunning": True,
                        "antiAffinity": 1}])
    for number in range(10):
        await sound_job(number)
        await asyncio.sleep(0.28)
    await asyncio.sleep(1.2)
    if site.trouble:
        # The disruption: one job of eleven can never be done.
        await site.submit(vm, "/q/", HOPELESS, {"ms": 500, "end": "failed"},
                          [{"replicas": 24, "cpu": 1800, "memMb": 300, "estimateMs": 800}], "k1")
    await asyncio.sleep(2.0)
    await sound_job(10)  # Not judged; the record shows when it starts.
    await asyncio.sleep(17.0)
    return judge(site)


def judge(site):
    """Returns the tasks that last and weren't started again as LOST asks."""
    broken = []
    runs = spans(site)
    for index in range(2):
        task = f"{LASTING}.0.0.{index}"
        own = sorted(run for run in runs if run[2] == task)
        for (_, ended, _, _), after in zip(own, own[1:] + [(site.now(), 0, "", 0)]):
            first, last = ended + AFTER_RUN_S, ended + AFTER_RUN_S + IDLE_S
            if after[0] <= last or last > site.now():
                continue
            calm_from = first - CALM_S
            hopeless = [run for run in runs if run[2].startswith(HOPELESS) and run[0] < last and run[1] > calm_from]
            sent = [e for e in site.of("client", method="POST") if HOPELESS in e["path"] and e["at"] > calm_from]
            used = max(sum(run[3] for run in runs if run[0] <= at < run[1]) for at in times(first, last))
            if hopeless or sent or used + 2 * LASTING_CPU > CORES or used * 2 >= CORES:
                continue
            broken.append(f"{task} ended at {ended:.3f} and wasn't started until {after[0]:.3f}; at most {used} of "
                          f"{CORES} in use from {first:.3f} to {last:.3f}, and nothing disturbed since "
                          f"{calm_from:.3f}")
    return broken


def times(first, last):
    return [first + step * 0.05 for step in range(int((last - first) / 0.05) + 1)]


def spans(site):
    """Returns the runs on minions as (start, end, task, cpu)."""
    runs = []
    for start in site.of("start"):
        ends = [e["at"] for e in site.of("end", task=start["task"], attempt=start["attempt"])]
        runs.append((start["at"], min(ends, default=site.now()), start["task"], site.size_of(start["task"])[0]))
    return runs


fs.main(HERE, scenario)
