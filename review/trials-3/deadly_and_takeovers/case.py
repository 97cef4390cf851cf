"""A trial: a task that crashes its minions goes on doing so while the scheduler is killed soon after each crash."""

import asyncio
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "..", "standin3"))
import site3  # noqa: E402

POOL = "closeboard"
SIZE = dict(cpu=880, memMb=300)
# The minion crashes 1 s after it has started the task, and is back 3 s later under a new id.
CRASH_AFTER_S, BACK_S = 1.0, 3.0
# `node_kill` of the process that gave the last order: dark for 3.5 s, as in `sites/klh-close.toml`.
KILL_AFTER_S, DARK_S = 0.1, 3.5
CONTACT_S = site3.BOUNDS["contactMs"] / 1000
ALLOWED_STARTS, WATCHED_S = 2, 45.0
JOBS_PER_S, RUN_MS = 2.5, 300


class Case:
    async def site(self):
        return site3.Site(nodes=7, minions=8, pools=(POOL,))

    async def crash(self, site, minion, trouble):
        await asyncio.sleep(CRASH_AFTER_S)
        if not minion.up:
            return
        await minion.crash()
        await asyncio.sleep(KILL_AFTER_S)
        holder = site.holder()
        if trouble and holder.process.poll() is None:
            holder.kill()
            asyncio.get_running_loop().call_later(DARK_S, holder.start)
        await asyncio.sleep(BACK_S - KILL_AFTER_S)
        await minion.begin()

    async def load(self, site):
        while True:
            body = dict(spec=json.dumps(dict(ms=RUN_MS, size=SIZE)),
                        phases=[dict(replicas=2, estimateMs=RUN_MS, **SIZE)])
            node = site.random.choice(site.nodes)
            asyncio.ensure_future(site.call(node, "POST", POOL, site3.job_id(), body))
            await asyncio.sleep(1 / JOBS_PER_S)

    async def run(self, site, trouble):
        load = asyncio.ensure_future(self.load(site))
        record, job = site.record, site3.job_id()
        body = dict(spec=json.dumps(dict(ms=60_000, size=SIZE)), phases=[dict(replicas=1, estimateMs=400, **SIZE)])
        await site.call(site.nodes[0], "POST", POOL, job, body)
        seen, starts, end = 0, [], record.now() + WATCHED_S
        while record.now() < end:
            runs = [run for run in record.of("run") if run["task"].startswith(job)]
            for run in runs[seen:]:
                minion = next(minion for minion in site.minions if minion.id == run["minion"])
                starts.append((run, site.holder().name))
                asyncio.ensure_future(self.crash(site, minion, trouble))
            seen = len(runs)
            await asyncio.sleep(0.02)
        load.cancel()
        return self.judge(record, starts)

    def judge(self, record, starts):
        """BUDGET: a task that crashes the minions that start it is started three times more, by machines in touch, after
        three minions have crashed under it."""
        crashes = sorted(run["to"] for run, _ in starts if run["how"] == "crash")
        if len(crashes) < 3:
            return 0
        late = 0
        for run, holder in starts:
            changes = [line["t"] for line in record.of("node") if line["node"] == holder and line["t"] <= run["t"]]
            in_touch = run["t"] - max(changes) >= CONTACT_S
            late += in_touch and run["t"] > crashes[2]
        print(f"{len(starts)} starts, {len(crashes)} crashes; {late} starts by machines in touch after the third crash")
        return 1 if late > ALLOWED_STARTS else 0


site3.play(Case(), FOLDER)
