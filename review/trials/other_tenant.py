"""Trial. A caller with another tenant's key reads and cancels a job, and an id with upper-case digits."""
import asyncio
import os
import sys
import tempfile

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import fleetsim as sim  # noqa: E402

OWN = sim.queue("/tick/", "key-a")
OTHER = sim.queue("/other/", "key-b")
ROUTES = [sim.route("tick-rollup", "/tick/", "closeboard", 4), sim.route("other", "/other/", "closeboard", 4)]
TENANTS = [{"name": name, "apiKeys": [key], "weight": 50, "cap": {"cpu": 0, "memMb": 0, "gpu": 0}}
           for name, key in (("a", "key-a"), ("b", "key-b"))]


async def play(site, record, trouble):
    name = sim.new_id()
    job = sim.job(1, {"ms": 20000, "cpu": 880, "mem": 100})
    record.say(f"a hands in a job: {(await site.ask('POST', OWN, name, job))[-1]}")
    record.say(f"b asks for it on its own queue: {(await site.ask('GET', OTHER, name))[-1]}")
    record.say(f"b cancels it there: {(await site.ask('DELETE', OTHER, name))[-1]}")
    await asyncio.sleep(2)
    _, value = (await site.ask("GET", OWN, name))[-1]
    record.say(f"a asks for it: {value}")
    record.say(f"an id with upper-case digits: {(await site.ask('POST', OWN, '5C0E7A21D94B36F8', job))[-1]}")
    return ["another tenant's call cancelled the job"] if value and value.get("state") == "cancelled" else []


if __name__ == "__main__":
    sys.exit(sim.main(tempfile.mkdtemp(), play, config=sim.configuration(routes=ROUTES, tenants=TENANTS)))
