"""Trial. Jobs within maxBodyBytes and over rowBytes: what do other callers get meanwhile?"""
import asyncio
import os
import sys
import tempfile

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import fleetsim as sim  # noqa: E402

QUEUE = sim.queue("/tick/")
BIG_PER_S = 16
TRAFFIC_S = 25
CANCEL_AT_S = 5


async def play(site, record, trouble):
    lasting = sim.new_id()
    body = sim.job(5, {"lasts": True, "cpu": 1300, "mem": 4300}, longRunning=True, antiAffinity=1, missAllowed=1)
    record.say(f"a lasting job: {(await site.ask('POST', QUEUE, lasting, body))[-1]}")
    await asyncio.sleep(3)
    step = {"replicas": 1, "cpu": 100, "memMb": 10, "estimateMs": 100}
    big = {"spec": "{}", "phases": [{**step, "image": f"img-{number:04}"} for number in range(1000)]}
    answers = {}

    async def small():
        got = await site.ask("POST", QUEUE, sim.new_id(), sim.job(2, {"ms": 300, "cpu": 500, "mem": 100}))
        key = tuple(status for status, _ in got)
        answers[key] = answers.get(key, 0) + 1

    async def cancel():
        since = record.now()
        while record.now() < since + 40:
            got = await site.ask("DELETE", QUEUE, lasting)
            record.say(f"cancel after {record.now() - since:.1f} s: {[status for status, _ in got]}")
            if got[-1][0] in (200, 410):
                return

    start = record.now()
    clients = []
    cancelled = False
    while record.now() < start + TRAFFIC_S:
        if trouble:
            clients += [asyncio.ensure_future(site.ask("POST", QUEUE, sim.new_id(), big)) for _ in range(BIG_PER_S // 2)]
        clients.append(asyncio.ensure_future(small()))
        if not cancelled and record.now() > start + CANCEL_AT_S:
            cancelled = True
            clients.append(asyncio.ensure_future(cancel()))
        await asyncio.sleep(0.5)
    await asyncio.gather(*clients)
    record.say(f"answers to the other callers: {answers}")
    return []


if __name__ == "__main__":
    sys.exit(sim.main(tempfile.mkdtemp(), play, config=sim.configuration()))
