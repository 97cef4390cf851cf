"""TWICE: a lease on the clock of a minion's former incarnation outlasts what the scheduler takes for its end."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "standin2"))
import fleet_site as fs  # noqa: E402

JOB = "00000000000000c1"
TASK = f"{JOB}.0.0.0"
DOWN_S, REGISTERS_AFTER_S, CUT_AFTER_S = 0.07, 0.6, 0.02


async def scenario(site):
    site.configure([fs.route("r-q", "/q/", "p", attempts=4)], [fs.service("p")], [fs.tenant("t", "k1")])
    await site.add_machines("p", 8)
    await site.add_vms(3)
    await site.wait_ready()
    vm = list(site.vms.values())[0]
    starts = []

    def trouble(minion):
        """Kills the minion as the first start of the task arrives; it is back at once, starts the task and is cut off."""
        async def on_order(path, body, serve):
            if not site.trouble or path != "/run-start" or body["task"] != TASK or len(starts) == 2:
                return None
            starts.append(body["deadlineMs"])
            if len(starts) == 1:
                site.rec("killed", minion=minion.id, clock=minion.clock())
                minion.crash()
                asyncio.create_task(back(minion))
                raise fs.Reset()
            answer = await serve(path, body)
            site.rec("lease", minion=minion.id, clock=minion.clock(), asked=body["deadlineMs"], given=minion.lease_end)
            asyncio.create_task(cut(minion))
            return answer
        minion.on_order = on_order

    async def back(minion):
        await asyncio.sleep(DOWN_S)
        await minion.restart(REGISTERS_AFTER_S)

    async def cut(minion):
        await asyncio.sleep(CUT_AFTER_S)
        minion.cut = True
        site.rec("cut", minion=minion.id)

    for minion in site.minions.values():
        trouble(minion)

    async def other_jobs():
        for number in range(60):
            phases = [{"replicas": 2, "cpu": 880, "memMb": 300, "estimateMs": 30}]
            await site.submit(vm, "/q/", f"{0xa000 + number:016x}", {"ms": 30}, phases, "k1")
            await asyncio.sleep(0.2)

    others = asyncio.create_task(other_jobs())
    await asyncio.sleep(8.0)
    await site.submit(vm, "/q/", JOB, {"ms": 7000},
                      [{"replicas": 1, "cpu": 880, "memMb": 300, "estimateMs": 7000}], "k1")
    await asyncio.sleep(9.0)
    await others
    return judge(site)


def judge(site):
    """Returns the runs of the task that began while another one went on."""
    broken = []
    for run in site.of("start", task=TASK):
        ends = [e["at"] for e in site.of("end", task=TASK, attempt=run["attempt"], minion=run["minion"])]
        ended = min(ends, default=site.now())
        for other in site.of("start", task=TASK):
            if run["at"] < other["at"] < ended:
                broken.append(f"{TASK} ran on {run['minion']} from {run['at']:.3f} to {ended:.3f}, and on "
                              f"{other['minion']} from {other['at']:.3f}")
    return broken


fs.main(HERE, scenario)
