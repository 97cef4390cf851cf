"""A wave that stands still keeps a minion empty that it has drained, and a task that lasts waits beside it."""

import asyncio
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "..", "standin3"))
import site3  # noqa: E402

POOL = "closeboard"
MINIONS = 9
LASTING = dict(cpu=7_800, memMb=4_300)
# A patient job, one task a minion, which leaves a minion no room for a task that lasts.
PATIENT = dict(cpu=8_300, memMb=1_000)
PATIENT_MS = 70_000
WAVE_S = 28.0
CRASH_AFTER_S, WATCHED_S = 2.0, 30.0
# LOST: 3 s, from 6 s after the task's last run; these and the 4 s before them are calm.
AFTER_LAST_RUN_S, WITHOUT_RUN_S, CALM_S = 6.0, 3.0, 4.0


class Case:
    async def site(self):
        return site3.Site(nodes=3, minions=MINIONS, pools=(POOL,))

    async def hand_in(self, site, body):
        job = site3.job_id()
        for _ in range(8):
            answer = await site.call(site.random.choice(site.nodes), "POST", POOL, job, body)
            if answer["status"] == 200:
                return job
            await asyncio.sleep(0.5)
        raise RuntimeError("a job isn't accepted")

    async def run(self, site, trouble):
        record = site.record
        lasting = await self.hand_in(site, dict(
            spec=json.dumps(dict(lasts=True, size=LASTING)),
            phases=[dict(replicas=1, estimateMs=900, longRunning=True, missAllowed=1, **LASTING)]))
        await asyncio.sleep(1.5)
        await self.hand_in(site, dict(
            spec=json.dumps(dict(ms=PATIENT_MS, size=PATIENT)),
            phases=[dict(replicas=MINIONS - 1, estimateMs=PATIENT_MS, antiAffinity=1, **PATIENT)]))
        await asyncio.sleep(2)
        served = next(minion for minion in site.minions if any(task.startswith(lasting) for task in minion.active))
        other = next(minion for minion in reversed(site.minions) if minion is not served)
        wave = dict(rolloutWave=1, machines=[served.host, other.host], durationS=WAVE_S, cap=1)
        record.add("wave", **wave)
        await site.store.put("op", "wave/1", wave)
        await asyncio.sleep(CRASH_AFTER_S)
        if trouble:
            record.add("trouble", what="a minion is lost for good", minion=other.id, host=other.host)
            await other.crash()
        await asyncio.sleep(WATCHED_S)
        return self.judge(site, lasting, record.now())

    def judge(self, site, lasting, until):
        """LOST: for 3 s, from 6 s after its last run, a task that lasts has nothing running while there is capacity
        for it twice over and under half of the service's capacity is in use; here the 4 s before are calm too."""
        record = site.record
        own = sorted((run["t"], run["to"] if run["to"] is not None else until, run["host"])
                     for run in record.of("run") if run["task"].startswith(lasting))
        if not own:
            print("the task that lasts never ran")
            return 2
        troubles = [line["t"] for line in record.of("trouble")]
        broken = 0
        for (_, end, host), start in zip(own, [run[0] for run in own[1:]] + [until]):
            begin = end + AFTER_LAST_RUN_S
            calm = all(not begin - CALM_S <= at <= begin + WITHOUT_RUN_S for at in troubles)
            if not calm or start - begin < WITHOUT_RUN_S:
                continue
            room, used, total = self.capacity(site, begin, begin + WITHOUT_RUN_S)
            print(f"the task that lasts doesn't run from {end:.2f} s, when it was stopped on {host}, to {start:.2f} s; all the "
                  f"while there is room for {room} such tasks; at most {used:.1f} of {total:.1f} cores are in use")
            if room >= 2 and used < total / 2:
                broken += 1
        print("orders for machines:", [(line["t"], line["path"], line["body"]["hostMachine"]) for line in record.of("cloud")])
        print("state of the wave:", site.store.get("status", "wave/1"))
        return 1 if broken else 0

    def capacity(self, site, begin, end):
        """Returns for how many tasks that last there is room all the while, the most cores in use, and the cores of the
        service."""
        least, most, total = None, 0.0, 0.0
        steps = int((end - begin) * 10) + 1
        for moment in [begin + step / 10 for step in range(steps)]:
            room, used, total = 0, 0.0, 0.0
            for minion in site.minions:
                lives = [line for line in site.record.of("minion") if line["host"] == minion.host and line["t"] <= moment]
                if lives[-1]["what"] != "up":
                    continue
                here = [run for run in site.record.of("run") if run["host"] == minion.host and run["t"] <= moment
                        and (run["to"] is None or run["to"] > moment)]
                cpu = len(here) * PATIENT["cpu"]
                used += cpu / 1000
                total += minion.cpu / 1000
                room += (minion.cpu - cpu) // LASTING["cpu"]
            least = room if least is None else min(least, room)
            most = max(most, used)
        return least, most, total


site3.play(Case(), FOLDER)
