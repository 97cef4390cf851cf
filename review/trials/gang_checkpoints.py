"""Trial, UNASKED. A gang that checkpoints: what does it resume from after the crash of a member's minion?"""
import asyncio
import os
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import fleetsim as sim  # noqa: E402

QUEUE = sim.queue("/pack/")
MEMBERS = 4
WORK_MS = 16000
CRASH_AFTER_S = 4.1    # of work of all members, shortly after their second checkpoint
DOWN_S = 4.5
WATCH_S = 40


async def play(site, record, trouble):
    name = sim.new_id()
    spec = {"ms": WORK_MS, "cpu": 1900, "mem": 2000, "gang": MEMBERS, "saves": True}
    body = sim.job(MEMBERS, spec, gang=True, checkpointing=True, antiAffinity=1)
    answers = await site.ask("POST", QUEUE, name, body)
    record.say(f"the job {name}, a gang of {MEMBERS}: {answers[-1][0]}")
    if answers[-1][0] != 200:
        raise sim.CannotRun("the job was not accepted")
    end = record.now() + WATCH_S
    crashed = not trouble
    while record.now() < end:
        await asyncio.sleep(0.005)
        running = dict(site.running(name))
        since = site.gangs.get((f"{name}.0.0", 1))
        if crashed or len(running) < MEMBERS or since is None or time.monotonic() - since < CRASH_AFTER_S:
            continue
        crashed = True
        saved = {task: machine.minion.active[task]["saved"] for task, machine in running.items()}
        record.say(f"the members' checkpoints before the crash: {saved}")
        machine = running[f"{name}.0.0.{MEMBERS - 1}"]
        record.say(f"machine {machine.name} loses power for {DOWN_S} s, under member {MEMBERS - 1}")
        site.spawn(machine.crash(DOWN_S))
    status, value = (await site.ask("GET", QUEUE, name))[-1]
    record.say(f"the job is shown as {value or status}")
    return check(site, record)


def check(site, record):
    """UNASKED: all members of one run of a gang are told to start with the same checkpoint."""
    runs = {}
    for _, task, attempt, _, checkpoint in site.starts:
        runs.setdefault(attempt, {})[task] = checkpoint
    broken = []
    for attempt, checkpoints in sorted(runs.items()):
        record.say(f"run {attempt} of the gang was told to start from {checkpoints}")
        if len(set(checkpoints.values())) > 1:
            broken.append(f"UNASKED: the members of run {attempt} carry {len(set(checkpoints.values()))} different "
                          "checkpoints")
    return broken


if __name__ == "__main__":
    routes = [sim.route("signoff-pack", "/pack/", "packwright", attempts=3)]
    sys.exit(sim.main(tempfile.mkdtemp(), play, pools=(("packwright", 9),),
                      config=sim.configuration(routes=routes, services=("packwright",))))
