"""Tasks that last: are they started again however they end?"""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import fleetsim as sim  # noqa: E402

QUEUE = sim.queue("/watch/")
TASKS = 5
FIRST_RUN_MS = 5000
WATCH_S = 30
CALM_S = 6 + 3   # from 6 s after a task's last run, for 3 s


async def play(site, record, trouble):
    how = "done" if trouble else "failed"
    name = sim.new_id()
    spec = {"lasts": True, "cpu": 1300, "mem": 4300, "runs": {"1": [FIRST_RUN_MS, how]}}
    body = sim.job(TASKS, spec, longRunning=True, antiAffinity=1, missAllowed=1, estimateMs=900)
    answers = await site.ask("POST", QUEUE, name, body)
    record.say(f"the job {name} of {TASKS} tasks that last: {answers[-1][0]}; first runs end {how}")
    if answers[-1][0] != 200:
        raise sim.CannotRun("the job was not accepted")
    missing = {}
    broken = {}
    end = record.now() + WATCH_S
    while record.now() < end:
        await asyncio.sleep(0.1)
        running = {task for task, _ in site.running(name)}
        for index in range(TASKS):
            task = f"{name}.0.0.{index}"
            if task in running or not any(start[1] == task for start in site.starts):
                missing.pop(task, None)
                continue
            since = missing.setdefault(task, record.now())
            if record.now() - since >= CALM_S:
                broken.setdefault(task, since)
    states = [(await site.ask("GET", QUEUE, name))[-1]]
    record.say(f"the job is shown as {states[-1][1]}; starts: {len(site.starts)}")
    return [f"LOST: task {task}, which lasts and wasn't cancelled, has not run again since {since:.1f} s, with "
            f"{site.used_cpu()} of {9 * site.capacity['cpu']} thousandths of a core in use"
            for task, since in sorted(broken.items())]


if __name__ == "__main__":
    routes = [sim.route("evidence-watch", "/watch/", "closeboard", attempts=2)]
    sys.exit(sim.main(os.path.dirname(os.path.abspath(__file__)), play, config=sim.configuration(routes=routes)))
