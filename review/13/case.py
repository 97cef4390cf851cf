"""One accepted job whose occurrences are all due ends each process that schedules, one after the other."""

import asyncio
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin3"))
import site3  # noqa: E402

POOL = "closeboard"
SIZE = dict(cpu=500, memMb=100)
RUN_MS = 500
JOBS_BEFORE, JOBS_AFTER, JOBS_PER_S = 24, 24, 8.0
# A job that can never be done: no minion has as many cores. It is to run each second a million times, from 1970.
POISON = dict(cpu=64_000, memMb=100)
OCCURRENCES, INTERVAL_MS = 1_000_000, 1_000
# DEPLOY: a process that exceeds `memoryMb` is killed; one that is killed is started again after a short delay.
MEMORY_MB, RESTART_S = 260, 1.0
FINISH_S = site3.BOUNDS["finish_s"]
# Beyond the bound of the rule, so that a site that is only slow isn't blamed.
PATIENCE_S = 10.0
# LOST: for 3 s, a job has nothing running.
WITHOUT_RUN_S = 3.0


def resident_mb(pid):
    try:
        with open(f"/proc/{pid}/statm") as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6
    except (OSError, IndexError):
        return 0.0


class Case:
    async def site(self):
        return site3.Site(nodes=3, minions=6)

    async def limit_memory(self, site, kills):
        """Does what the platform does with a process that exceeds its memory."""

        async def restart(node):
            await asyncio.sleep(RESTART_S)
            node.start()

        while True:
            for node in site.nodes:
                running = node.process is not None and node.process.poll() is None
                used = resident_mb(node.process.pid) if running else 0.0
                if used > MEMORY_MB:
                    site.record.add("memory", node=node.name, mb=round(used))
                    kills.append(node.name)
                    node.kill()
                    asyncio.ensure_future(restart(node))
            await asyncio.sleep(0.02)

    async def submit(self, site, body, accepted):
        """Hands a job in, up to five times, as the clients of the site do."""
        job = site3.job_id()
        for _ in range(5):
            answer = await site.call(site.random.choice(site.nodes), "POST", POOL, job, body)
            if answer["status"] == 200:
                accepted.append(job)
                return
            await asyncio.sleep(0.7)

    async def traffic(self, site, count, accepted):
        body = dict(spec=json.dumps(dict(ms=RUN_MS, size=SIZE)),
                    phases=[dict(replicas=2, estimateMs=RUN_MS, **SIZE)])
        calls = []
        for _ in range(count):
            calls.append(asyncio.ensure_future(self.submit(site, body, accepted)))
            await asyncio.sleep(1 / JOBS_PER_S)
        await asyncio.gather(*calls)

    async def run(self, site, trouble):
        record, kills, accepted, poison = site.record, [], [], []
        watch = asyncio.ensure_future(self.limit_memory(site, kills))
        await self.traffic(site, JOBS_BEFORE, accepted)
        if trouble:
            record.add("trouble", what="a job that can never be done", occurrences=OCCURRENCES)
            body = dict(spec="{}", phases=[dict(replicas=1, estimateMs=RUN_MS, **POISON)],
                        repeatCount=OCCURRENCES, intervalMs=INTERVAL_MS)
            await self.submit(site, body, poison)
        await self.traffic(site, JOBS_AFTER, accepted)
        await asyncio.sleep(FINISH_S + PATIENCE_S)
        states = await asyncio.gather(*[self.state(site, job) for job in accepted])
        watch.cancel()
        lost = [job for job, state in zip(accepted, states) if state != "completed" and self.is_lost(site, job, state)]
        print(f"{len(accepted)} of {JOBS_BEFORE + JOBS_AFTER} jobs accepted; {len(lost)} of them lost {FINISH_S + PATIENCE_S:.0f} s after "
              f"the traffic; processes over {MEMORY_MB} MB: {len(kills)}")
        if trouble and not poison:
            print("the job that can never be done wasn't accepted")
        return 1 if lost else 0

    async def state(self, site, job):
        """Asks for a job's state, up to four times; None if it isn't known or gets no answer."""
        for _ in range(4):
            answer = await site.call(site.random.choice(site.nodes), "GET", POOL, job)
            if answer["status"] == 200:
                return answer["state"]
        return None

    def is_lost(self, site, job, state):
        """LOST: it isn't known or gets no answer; or, for the last 3 s, it has nothing running although its first step may
        run, there is room for it twice over, and under half of the service's capacity is in use. The tenant has no cap."""
        if state is None:
            return True
        now, runs = site.record.now(), site.record.of("run")
        recent = [run for run in runs if run["to"] is None or run["to"] > now - WITHOUT_RUN_S]
        if any(run["task"].startswith(job) for run in recent):
            return False
        up = [minion for minion in site.minions if minion.up]
        used, total = len(recent) * SIZE["cpu"], sum(minion.cpu for minion in up)
        return total - used >= 2 * 2 * SIZE["cpu"] and used < total / 2


site3.play(Case(), FOLDER)
