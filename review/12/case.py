"""A cancelling is answered 410 while the submission of the job is being stored; the job runs all the same."""

import asyncio
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin3"))
import site3  # noqa: E402

SLOWNESS, SLOW_S = 60, 2.5
# Half of the queue's objective, `targetLatencyMs` 600.
LEAVES_S = 0.3
CONTACT_S = site3.BOUNDS["contactMs"] / 1000
CANCEL_S = site3.BOUNDS["cancel_ms"] / 1000
FIRST_STEP_MS, SECOND_STEP_MS = 5_500, 500
JOBS, STAYING = 5, 15


class Case:
    async def site(self):
        return site3.Site(nodes=3, minions=6)

    async def client(self, site, post_to, cancel_at, answers):
        """Hands a job of two steps in, leaves if there is no answer after a while, and cancels the job."""
        job = site3.job_id()
        size = dict(cpu=500, memMb=100)
        steps = {"0": dict(ms=FIRST_STEP_MS, size=size), "1": dict(ms=SECOND_STEP_MS, size=size)}
        body = dict(
            spec=json.dumps(dict(steps=steps)),
            phases=[dict(replicas=1, estimateMs=FIRST_STEP_MS, **size),
                    dict(replicas=1, estimateMs=SECOND_STEP_MS, after=[0], **size)],
        )
        await site.call(post_to, "POST", "closeboard", job, body, leaves_s=LEAVES_S)
        for _ in range(8):
            answers[job] = await site.call(cancel_at, "DELETE", "closeboard", job)
            if answers[job]["status"] in (200, 410):
                return
            await asyncio.sleep(0.3)

    async def staying_client(self, site):
        """Hands in a job and waits for the answer, again if it isn't accepted."""
        job, size = site3.job_id(), dict(cpu=200, memMb=50)
        body = dict(spec=json.dumps(dict(ms=300, size=size)), phases=[dict(replicas=1, estimateMs=300, **size)])
        for _ in range(4):
            answer = await site.call(site.random.choice(site.nodes), "POST", "closeboard", job, body)
            if answer["status"] == 200:
                return
            await asyncio.sleep(1.0)

    def end_slowness(self, site):
        site.store.slowness = 1.0
        site.record.add("trouble", what="over")

    async def run(self, site, trouble):
        holder = site.holder()
        post_to, cancel_at = site.others(holder)
        record, answers = site.record, {}
        slow_until = record.now()
        if trouble:
            record.add("trouble", what="the store is slow", x=SLOWNESS, for_s=SLOW_S)
            site.store.slowness = SLOWNESS
            slow_until += SLOW_S
            asyncio.get_running_loop().call_later(SLOW_S, self.end_slowness, site)
        await asyncio.sleep(1.0)
        clients = []
        for _ in range(JOBS):
            clients.append(asyncio.ensure_future(self.client(site, post_to, cancel_at, answers)))
            clients += [asyncio.ensure_future(self.staying_client(site)) for _ in range(STAYING // JOBS)]
            await asyncio.sleep(0.1)
        await asyncio.gather(*clients)
        await asyncio.sleep(SLOW_S + FIRST_STEP_MS / 1000 + 4)
        for job in answers:
            await site.call(site.nodes[0], "GET", "closeboard", job)
        return self.judge(record, answers, slow_until)

    def judge(self, record, answers, slow_until):
        """UNASKED: a machine in touch starts a task later than `cancel_ms` after the job's cancelling was
        acknowledged."""
        if any(answer["status"] not in (200, 410) for answer in answers.values()):
            print("a cancelling wasn't acknowledged")
            return 2
        broken = 0
        for run in record.of("run"):
            answer = answers.get(run["task"].split(".")[0])
            if answer is None:
                continue
            in_touch = run["t"] > slow_until + CONTACT_S
            if in_touch and run["t"] > answer["answered"] + CANCEL_S:
                broken += 1
                print(f"{run['task']} started at {run['t']:.2f} s; its cancelling was answered {answer['status']} "
                      f"at {answer['answered']:.2f} s")
        return 1 if broken else 0


site3.play(Case(), FOLDER)
