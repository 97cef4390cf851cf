"""BUDGET: a task that crashes minions before they answer its start is started without end."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin2"))
import fleet_site as fs  # noqa: E402

DEADLY = "000000000000dead"
TASK = f"{DEADLY}.0.0.0"
BACK_S = 3.0  # "the minion is back after some seconds"
# BUDGET: "is started three times more ... after three minions have crashed under it"
CRASHES, MORE_STARTS = 3, 3


def crash_on(minion, payload):
    """Lets a minion crash as soon as it has started a task with this payload; its answer is lost with it."""
    async def on_order(path, body, serve):
        if path != "/run-start" or payload not in body["spec"]:
            return None
        status, answer = await serve(path, body)
        if status != 200:
            return status, answer
        minion.crash()
        asyncio.create_task(back(minion))
        raise fs.Reset()
    minion.on_order = on_order


async def back(minion):
    await asyncio.sleep(BACK_S)
    await minion.restart()


async def scenario(site):
    site.configure([fs.route("r-q", "/q/", "p", attempts=4)], [fs.service("p")], [fs.tenant("t", "k1")])
    await site.add_machines("p", 6)
    await site.add_vms(3)
    await site.wait_ready()
    vm = list(site.vms.values())[0]
    for minion in site.minions.values():
        crash_on(minion, "deadly")

    def sound_job(number):
        phases = [{"replicas": 4, "cpu": 880, "memMb": 300, "estimateMs": 2000}]
        return site.submit(vm, "/q/", f"{0xa00 + number:016x}", {"ms": 2000}, phases, "k1")

    # One job of eleven within 10 s is the deadly one; without the trouble it is sound too.
    for number in range(5):
        await sound_job(number)
        await asyncio.sleep(0.5)
    await site.submit(vm, "/q/", DEADLY, {"ms": 1000, "what": "deadly" if site.trouble else "sound"},
                      [{"replicas": 1, "cpu": 880, "memMb": 300, "estimateMs": 1000}], "k1")
    for number in range(5, 10):
        await asyncio.sleep(0.8)
        await sound_job(number)
    for _ in range(25):
        await asyncio.sleep(1.0)
        _, answer = await site.call(vm, "GET", "/q/" + DEADLY, key="k1")
        if answer and answer.get("state") in ("completed", "failed"):
            break
    for number in range(10):  # Not judged; the record shows what became of them.
        await site.call(vm, "GET", f"/q/{0xa00 + number:016x}", key="k1")
    return judge(site)


def judge(site):
    crashes = [e for e in site.of("crash") if TASK in e["runs"]]
    first = {}  # The first crash of each minion.
    for crash in crashes:
        first.setdefault(crash["minion"], crash["at"])
    if len(first) < CRASHES:
        return []
    third = sorted(first.values())[CRASHES - 1]
    after = [e for e in site.of("start", task=TASK) if e["at"] > third + 0.0005 and site.in_touch(e["at"])]
    if len(after) < MORE_STARTS:
        return []
    return [f"{len(after)} starts of {TASK} after {CRASHES} minions had crashed under it; {len(crashes)} minions "
            f"crashed under it within {site.now() - crashes[0]['at']:.1f} s"]


fs.main(HERE, scenario)
