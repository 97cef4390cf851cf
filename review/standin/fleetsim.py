"""Stand-ins for the review's scripts: the platform's store, its machines, minions and clients.

Everything runs in one asyncio process on loopback addresses; the entry VMs are separate processes of the
project's own program, started with the command of deploy/system.toml. The stand-ins follow PROTOCOL.md.
"""
import asyncio
import base64
import ctypes
import json
import os
import random
import secrets
import shutil
import signal
import subprocess
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = ["target/release/snipevane-fleet", "--metrics-port", "7001"]

# Bounds of klh-close.
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000,
    "graceS": 6, "lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250,
    "maxExtensionMs": 5000, "strictRevocation": True, "revokeMs": 5000, "quotaWindowS": 5,
    "quotaOvershoot": 0.1, "quotaTolerance": 20, "recoveryS": 12, "holdMaxMs": 6000,
    "terminateMs": 900, "gangTimeoutMs": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250,
    "finish_s": 14, "status_s": 120, "remoteFactor": 3, "checkpointS": 2, "restoreMs": 100,
    "noticeMs": 4500, "migrationS": 1.5, "maintenanceS": 2, "fencingEnforced": False, "leaseMs": 3000,
    "thawMs": 300, "throttleDelayMs": 100, "interferenceMs": 4000,
}
STORE = {
    "writesPerS": 600, "readsPerS": 2000, "transactionMs": 5.0, "partitionWritesS": 200,
    "rowBytes": 65536, "historyS": 20,
}
ENTRY_LIMIT = 100
CALL_BYTES = 1 << 20
PAGE_ROWS = 500
ENDS_PER_LIST = 500
LIMIT_S = 115  # of a whole script
HEARTBEAT_S = 1.5


class CannotRun(Exception):
    """The case can't run on this machine."""


class Record:
    """What was sent, answered and run, with seconds since the start of the script."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.zero = time.monotonic()

    def now(self):
        return time.monotonic() - self.zero

    def __call__(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()

    def say(self, text):
        self(text)
        print(f"{self.now():8.2f} s  {text}", flush=True)


# ---------------------------------------------------------------- HTTP

async def read_message(reader):
    """Reads a request or response: first line, headers, body."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        field = await reader.readline()
        if field in (b"\r\n", b"\n"):
            break
        if not field:
            return None
        name, _, value = field.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
            body += chunk
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return line.decode("latin-1").split(), headers, body


class Server:
    """An HTTP/1.1 server with JSON bodies. `handle(method, path, query, headers, body)` returns status and value."""

    def __init__(self, handle):
        self.handle = handle
        self.writers = set()
        self.server = None
        self.address = None

    async def start(self, host, port=0):
        self.server = await asyncio.start_server(self.serve, host, port, limit=1 << 22, backlog=512)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        return self

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                (method, target, *_), headers, body = message
                parts = urlsplit(target)
                query = {name: values[0] for name, values in parse_qs(parts.query).items()}
                value = json.loads(body) if body else {}
                answer = await self.handle(method, parts.path, query, headers, value)
                if answer is None:
                    break
                status, value = answer
                data = json.dumps(value).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(data)) + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def kill(self):
        """Ends the listener and resets all connections, as the end of the process does."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


async def call(address, method, path, headers=None, body=None, limit=3.0):
    """Sends a request on a connection of its own; returns status and body, or (0, None) without an answer."""
    host, port = address.rsplit(":", 1)
    data = b"" if body is None else json.dumps(body).encode()

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [f"{method} {path} HTTP/1.1"]
            fields = {"Host": host, "Connection": "close", "Content-Length": str(len(data)),
                      "Content-Type": "application/json", **(headers or {})}
            lines += [f"{name}: {value}" for name, value in fields.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                return 0, None
            first, _, answer = message
            try:
                return int(first[1]), json.loads(answer) if answer else None
            except ValueError:
                return int(first[1]), None
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), limit)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0, None


# ---------------------------------------------------------------- the platform

class Store:
    """The platform's metadata store: rows, transactions and feeds."""

    def __init__(self, record):
        self.record = record
        self.rows = {}       # (table, part, key) -> (version, base64 value)
        self.changes = []    # (version, time, (table, part, key))
        self.dropped_up_to = 0
        self.version = 0
        self.zero = time.monotonic()
        self.changed = asyncio.Condition()
        self.turn = asyncio.Lock()
        self.calls = {"write": [], "read": []}
        self.refused_sizes = 0
        self.server = Server(self.handle)

    def now_ms(self):
        return int((time.monotonic() - self.zero) * 1000)

    def within_rate(self, kind, per_s):
        now = time.monotonic()
        calls = self.calls[kind] = [at for at in self.calls[kind] if at > now - 1]
        calls.append(now)
        return len(calls) <= per_s

    def get(self, table, key):
        found = self.rows.get((table, "", key))
        return json.loads(base64.b64decode(found[1])) if found else None

    async def put(self, table, key, value):
        """Writes a row as the operator or a minion."""
        data = base64.b64encode(json.dumps(value).encode()).decode()
        await self.apply([((table, "", key), data)], [])

    async def remove(self, table, key):
        if (table, "", key) in self.rows:
            await self.apply([], [(table, "", key)])

    async def apply(self, writes, removals):
        async with self.changed:
            self.version += 1
            now = time.monotonic()
            for name, data in writes:
                self.rows[name] = (self.version, data)
                self.changes.append((self.version, now, name))
            for name in removals:
                if self.rows.pop(name, None):
                    self.changes.append((self.version, now, name))
            while self.changes and self.changes[0][1] < now - STORE["historyS"]:
                self.dropped_up_to = self.changes.pop(0)[0]
            self.changed.notify_all()

    def row(self, name):
        version, data = self.rows.get(name, (0, None))
        row = {"tableName": name[0], "part": name[1], "key": name[2], "schemaVersion": version}
        if data is not None:
            row["value"] = data
        return row

    def page(self, **fields):
        return {**fields, "schemaVersion": self.version, "nowMs": self.now_ms()}

    async def handle(self, method, path, query, headers, body):
        kind, per_s = ("write", STORE["writesPerS"]) if path == "/rows-tx" else ("read", STORE["readsPerS"])
        if not self.within_rate(kind, per_s):
            return 429, {}
        if path == "/rows-tx":
            return await self.transact(body)
        await asyncio.sleep(0.004)
        if path == "/rows-get":
            return self.read(query)
        if path == "/rows-feed":
            return await self.feed(query)
        if path == "/rows-parts":
            parts = sorted({name[1] for name in self.rows if name[0] == query["tableName"]})
            return 200, self.page(parts=parts, hasMore=False)
        return 404, {}

    async def transact(self, body):
        name = lambda entry: (entry["tableName"], entry.get("part", ""), entry["key"])
        expected, write, remove = (body.get(field) or [] for field in ("expected", "write", "remove"))
        if any(entry["tableName"] in ("op", "servers") for entry in write + remove):
            return 403, {}
        sizes = [len(base64.b64decode(entry["value"])) for entry in write]
        if len(expected) + len(write) + len(remove) > ENTRY_LIMIT or len(json.dumps(body)) > CALL_BYTES \
                or any(size > STORE["rowBytes"] for size in sizes):
            if self.refused_sizes == 0:
                largest = max(zip(sizes, [name(entry) for entry in write]), default=None)
                entries = len(expected) + len(write) + len(remove)
                self.record.say(f"store: 400, a transaction is larger than the page allows: {entries} entries; largest "
                                f"row {largest}")
            self.refused_sizes += 1
            return 400, {}
        async with self.turn:
            await asyncio.sleep(STORE["transactionMs"] / 1000)
            if any(self.rows.get(name(entry), (0,))[0] != entry["schemaVersion"] for entry in expected):
                return 412, self.page(rows=[self.row(name(entry)) for entry in expected])
            await self.apply([(name(entry), entry["value"]) for entry in write], [name(entry) for entry in remove])
            return 200, self.page()

    def read(self, query):
        table, part = query["tableName"], query.get("part", "")
        first, last = query.get("from", ""), query.get("target")
        size = min(int(query.get("pageSize", PAGE_ROWS)), PAGE_ROWS)
        keys = sorted(name[2].encode() for name in self.rows if name[:2] == (table, part))
        keys = [key.decode() for key in keys if key >= first.encode() and (last is None or key < last.encode())]
        rows, total = [], 0
        for key in keys[:size]:
            row = self.row((table, part, key))
            total += len(row["value"])
            if rows and total > CALL_BYTES:
                break
            rows.append(row)
        return 200, self.page(rows=rows, hasMore=len(rows) < len(keys))

    async def feed(self, query):
        table, after = query["tableName"], int(query["after"])
        end = time.monotonic() + min(int(query.get("waitMs", 0)), 30000) / 1000
        while True:
            if after < self.dropped_up_to:
                return 410, {}
            changed = {}
            for version, _, name in reversed(self.changes):
                if version <= after:
                    break
                if name[0] == table:
                    changed.setdefault(name, version)
            if changed or time.monotonic() >= end:
                break
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), max(0.0, end - time.monotonic()))
                except asyncio.TimeoutError:
                    pass
        rows = []
        for name, version in sorted(changed.items(), key=lambda item: item[1]):
            row = self.row(name)
            if name not in self.rows:
                row.update(schemaVersion=version, deleted=True)
            rows.append(row)
        return 200, self.page(rows=rows)


class Machine:
    """A host machine; its minion is one life of it."""

    def __init__(self, site, name, pool, zone, rack):
        self.site, self.name, self.pool, self.zone, self.rack = site, name, pool, zone, rack
        self.state = "up"
        self.minion = None
        self.upkeeps = set()     # waves for which its upkeep has begun

    async def boot(self):
        if not self.site.closing:
            self.minion = await Minion(self).start()
            self.state = "up"

    async def crash(self, back_after_s=None):
        """The machine loses power; after `back_after_s` another minion is up on it."""
        minion, self.minion, self.state = self.minion, None, "down"
        self.site.record(f"machine {self.name}: minion {minion.id} crashes with {sorted(minion.active)}")
        minion.die()
        if back_after_s is not None:
            await asyncio.sleep(back_after_s)
            await self.boot()

    def leave(self, state, seconds, pool=None):
        """Everything on the machine ends at once; a new minion is there after `seconds`."""
        minion, self.minion, self.state = self.minion, None, state
        self.pool = pool or self.pool
        minion.die()
        self.site.spawn(self.come_back(minion, seconds))

    async def come_back(self, minion, seconds):
        await self.site.store.remove("servers", minion.id)
        await asyncio.sleep(seconds)
        await self.boot()


class CloudApi:
    """The list of machines, and orders for them."""

    def __init__(self, site):
        self.site = site
        self.server = Server(self.handle)

    async def handle(self, method, path, query, headers, body):
        if path == "/machines":
            return 200, {"machines": [self.entry(machine) for machine in self.site.machines], "nextToken": ""}
        found = [machine for machine in self.site.machines if machine.name == body.get("hostMachine")]
        self.site.record(f"order for a machine: {path} {body} by {headers.get('x-snipevane-duty-holder')}")
        if not found:
            return 400, {}
        machine = found[0]
        if path == "/machine-move" and machine.pool == body["pool"]:
            return 200, {}
        wave = body.get("rolloutWave")
        if path == "/machine-upkeep":
            requested = self.site.store.get("op", f"wave/{wave}")
            if not requested or machine.name not in requested["machines"]:
                return 409, {"reason": "wave"}
            if wave in machine.upkeeps:
                return 200, {}
        if machine.state != "up":
            return 409, {"reason": "busy"}
        if path == "/machine-move":
            machine.leave("moving", BOUNDS["migrationS"], body["pool"])
        else:
            machine.upkeeps.add(wave)
            machine.leave("upkeep", BOUNDS["maintenanceS"])
        return 200, {}

    def entry(self, machine):
        entry = {"hostMachine": machine.name, "pool": machine.pool, "state": machine.state, "zone": machine.zone,
                 "labels": ["a", machine.rack], "freeCapacity": self.site.capacity}
        if machine.minion:
            entry["id"] = machine.minion.id
        return entry


class Minion:
    """One life of a machine. A task's `spec` is JSON and tells what the task does:

    ms: its work; lasts: it runs until it is stopped; cpu, mem: its size; runs: for single attempts, after
    how many ms and how they end by themselves (otherwise after ms, as done); gang: number of tasks that work
    only together; saves: it checkpoints its progress each checkpointS.
    """

    def __init__(self, machine):
        self.machine, self.site = machine, machine.site
        self.id = "i-" + secrets.token_hex(5)
        self.born = int(time.time() * 1000)
        self.zero = time.monotonic()
        self.fence = 0
        self.active = {}     # task -> run
        self.ends = []       # (number, task, attempt, how, checkpoint)
        self.next_end = 1
        self.highest = {}    # task -> highest attempt that was stopped or has ended here
        self.acked = 0
        self.lease_end = 0
        self.alive = True
        self.sequence = 0
        self.news = asyncio.Event()
        self.server = Server(self.handle)

    def clock(self):
        return int((time.monotonic() - self.zero) * 1000)

    async def start(self):
        await self.server.start(self.site.host(200 + secrets.randbelow(50)))
        await self.register()
        self.site.spawn(self.beat())
        self.site.spawn(self.work())
        return self

    async def register(self):
        self.sequence += 1
        await self.site.store.put("servers", self.id, {
            "service": self.machine.pool, "address": self.server.address, "zone": self.machine.zone,
            "version": "v1", "capacity": 8, "state": "ready", "warmupLeftMs": 0, "sequence": self.sequence,
            "freeCapacity": self.site.capacity, "labels": ["a", self.machine.rack], "born": self.born,
        })

    async def beat(self):
        while self.alive:
            await asyncio.sleep(HEARTBEAT_S)
            if self.alive:
                await self.register()

    def die(self):
        self.alive = False
        dead, self.active = self.active, {}
        for task, run in dead.items():
            self.site.ran(task, run["attempt"], self, "dies with its minion")
            self.site.gang_member_ended(task, run)
        self.server.kill()
        self.site.spawn(self.expire())

    async def expire(self):
        """The entry goes after three heartbeat intervals of silence."""
        await asyncio.sleep(3 * HEARTBEAT_S)
        await self.site.store.remove("servers", self.id)

    async def work(self):
        while self.alive:
            await asyncio.sleep(0.005)
            now = time.monotonic()
            if self.active and self.clock() >= self.lease_end:
                for task in list(self.active):
                    self.end(task, "lapsed")
            for task, run in list(self.active.items()):
                if task not in self.active:
                    continue
                if run["spec"].get("gang"):
                    self.site.work_in_gang(task, run, self, now)
                if run["stop_at"] is not None and now >= run["stop_at"]:
                    self.end(task, "stopped")
                elif run["ends_at"] is not None and now >= run["ends_at"]:
                    self.end(task, run["how"])

    def end(self, task, how):
        run = self.active.pop(task, None)
        if run is None:
            return
        self.ends.append((self.next_end, task, run["attempt"], how, run["saved"]))
        self.next_end += 1
        self.highest[task] = max(self.highest.get(task, 0), run["attempt"])
        self.site.ran(task, run["attempt"], self, how)
        self.news.set()
        self.site.gang_member_ended(task, run)

    def extend(self, deadline):
        if deadline:
            limit = self.clock() + BOUNDS["holdMaxMs"]
            self.lease_end = max(self.lease_end, min(deadline, limit))

    async def handle(self, method, path, query, headers, body):
        if headers.get("x-snipevane-expect-instance", self.id) != self.id:
            return 421, {}
        if path == "/healthz":
            return 200, {}
        fence = body.get("fencingToken", 0)
        if fence < self.fence:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.fence = fence
        if path == "/run-start":
            return self.run_start(body)
        if path == "/run-stop":
            return self.run_stop(body)
        if path == "/hold":
            return await self.hold(body)
        if path == "/pace":
            return 200, {"clockMs": self.clock()}
        return 404, {}

    def run_start(self, body):
        task, attempt = body["task"], body["attempt"]
        refuse = lambda reason: (409, {"clockMs": self.clock(), "reason": reason})
        if body["deadlineMs"] <= self.clock():
            return refuse("late")
        run = self.active.get(task)
        if run and run["attempt"] == attempt:
            return 200, {"clockMs": self.clock()}
        self.extend(body["deadlineMs"])
        if attempt <= self.highest.get(task, 0) or (run and attempt < run["attempt"]):
            return refuse("old")
        spec = json.loads(body["spec"])
        used = {field: sum(run["spec"].get(field, 0) for run in self.active.values()) for field in ("cpu", "mem")}
        if run or used["cpu"] + spec.get("cpu", 0) > self.site.capacity["cpu"] \
                or used["mem"] + spec.get("mem", 0) > self.site.capacity["memMb"]:
            return refuse("room")
        now = time.monotonic()
        ms = None if spec.get("lasts") else spec.get("ms", 100)
        ms, how = spec.get("runs", {}).get(str(attempt), (ms, "done"))
        checkpoint = body.get("checkpoint", "")
        self.active[task] = {
            "attempt": attempt, "spec": spec, "since": now, "stop_at": None, "how": how, "saved": checkpoint,
            "ends_at": None if ms is None or spec.get("gang") else now + ms / 1000,
            "base_ms": int(checkpoint[:8], 16) if checkpoint else 0,
        }
        self.site.started(task, attempt, self, checkpoint)
        return 200, {"clockMs": self.clock()}

    def run_stop(self, body):
        task, attempt = body["task"], body["attempt"]
        self.site.record(f"minion {self.id}: told to stop {task} run {attempt}")
        run = self.active.get(task)
        if run and run["attempt"] <= attempt:
            if run["stop_at"] is None:
                run["stop_at"] = time.monotonic() + 0.1
                self.site.stopped(task, run["attempt"], self)
        self.highest[task] = max(self.highest.get(task, 0), attempt if not run else 0)
        return 200, {"clockMs": self.clock()}

    async def hold(self, body):
        self.extend(body.get("deadlineMs"))
        self.acked = max(self.acked, body.get("ackCursor", 0))
        self.ends = [end for end in self.ends if end[0] > self.acked]
        wait = min(body.get("waitMs", 0), 2000) / 1000
        if wait and not self.ends:
            self.news.clear()
            try:
                await asyncio.wait_for(self.news.wait(), wait)
            except asyncio.TimeoutError:
                pass
        if not self.alive:
            return None
        now = time.monotonic()
        active = []
        for task, run in self.active.items():
            age = now - run["since"]
            if run["spec"].get("lasts"):
                percent = 100 if age >= 0.3 else 0
            else:
                percent = min(99, int(100 * age * 1000 / run["spec"].get("ms", 100)))
            active.append([task, run["attempt"], run["saved"], percent, run["spec"].get("cpu", 0)])
        finished = [list(end) for end in self.ends[:ENDS_PER_LIST]]
        return 200, {"clockMs": self.clock(), "born": self.born, "active": active, "finished": finished}


# ---------------------------------------------------------------- the project's program

def end_with_parent():
    """Lets the kernel end the new process when this one ends, however that comes about."""
    pr_set_pdeathsig = 1
    ctypes.CDLL(None).prctl(pr_set_pdeathsig, signal.SIGKILL)


class EntryVm:
    """A process of the project's program, with a loopback address of its own."""

    def __init__(self, site, number, zone):
        self.site, self.zone = site, zone
        self.name = f"edge-{zone}-{number}"
        self.ip = site.host(10 + number)
        self.process = None
        self.settings = os.path.join(site.folder, self.name + ".toml")
        self.log = open(os.path.join(site.folder, self.name + ".log"), "ab")

    def write_settings(self):
        values = {
            "nodeName": self.name, "role": "entry", "machineClass": "edge", "serves": ["edge"], "ip": self.ip,
            "zone": self.zone, "region": "lk-west", "internalPortRange": [7000, 7015], "seeds": [],
            "bootstrap": True, "inTolerance": True, "discovery": "platform", "entry": "virtual_ip",
            "heartbeatMs": int(HEARTBEAT_S * 1000), "controlMode": "invocation",
            "contracts": ["base", "drain", "config", "cost", "recover", "sched", "tenants", "quota", "platform",
                          "upkeep", "sharing"],
        }
        tables = {
            "zones": {zone: "lk-west" for zone in self.site.zones},
            "bindAddresses": {"frontend": f"{self.ip}:8340", "ready": f"{self.ip}:8343"},
            "limits": {"cpuShare": 0.25, "cpuCores": 1, "memoryMb": 260, "maxFds": 4100, "linkMbps": 1000.0,
                       "diskMb": 0},
            "faultTolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "platform": {"address": self.site.store.server.address, "form": "table", "crossPartition": False,
                         **STORE},
            "cloudApi": {"address": self.site.cloud.server.address, "ratePerS": 64.0, "duties": [],
                         "dutyPerS": 64.0},
        }
        text = "".join(f"{name} = {json.dumps(value)}\n" for name, value in values.items())
        for table, fields in tables.items():
            text += f"[{table}]\n" + "".join(f"{name} = {json.dumps(value)}\n" for name, value in fields.items())
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)

    def start(self):
        self.write_settings()
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["SNIPEVANE_SETTINGS"] = self.settings
        self.process = subprocess.Popen(PROGRAM, cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=self.log,
                                        stderr=self.log, preexec_fn=end_with_parent)
        self.site.record(f"entry VM {self.name}: started")

    def signal(self, number):
        self.site.record(f"entry VM {self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def ready(self):
        status, _ = await call(f"{self.ip}:8343", "GET", "/readyz", limit=1.0)
        return status == 200

    def logged(self, text):
        self.log.flush()
        with open(self.log.name, encoding="utf-8", errors="replace") as file:
            return [line.strip() for line in file if text in line]


# ---------------------------------------------------------------- a site

class Site:
    """A small deployment: store, machines, minions, entry VMs and clients."""

    capacity = {"cpu": 16000, "memMb": 32768, "gpu": 0}
    zones = ["col-a", "col-b", "kdy-a"]

    def __init__(self, record, entry_vms=7, pools=(("closeboard", 9),), config=None):
        if not os.access(os.path.join(ROOT, PROGRAM[0]), os.X_OK):
            raise CannotRun("the deploy file's build has not been run")
        self.record = record
        self.tasks = set()
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.net = f"127.{random.randint(1, 254)}.{random.randint(0, 254)}."
        self.store = Store(record)
        self.cloud = CloudApi(self)
        self.config = config
        self.machines = []
        for pool, count in pools:
            for number in range(count):
                zone = self.zones[number % len(self.zones)]
                rack = f"r{self.zones.index(zone) + 1}-{pool.encode()[0] % 9}{number // 12}"
                self.machines.append(Machine(self, f"host-{pool}-{number}", pool, zone, rack))
        self.entry_vms = [EntryVm(self, number, self.zones[number % 3]) for number in range(entry_vms)]
        self.starts = []     # (time, task, attempt, minion id, checkpoint)
        self.gangs = {}      # (step, attempt) -> time since which all members are present
        self.run_ends = []   # (time, task, attempt, minion id, how)
        self.stops = []      # (time, task, attempt, minion)
        self.closing = False

    def host(self, last):
        return self.net + str(last)

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def started(self, task, attempt, minion, checkpoint):
        self.starts.append((self.record.now(), task, attempt, minion.id, checkpoint))
        self.record(f"minion {minion.id}: starts {task} run {attempt} checkpoint {checkpoint or 'none'}")

    def members(self, task, attempt):
        """Returns the members of a task's gang that are present, with their minions."""
        step = task.rsplit(".", 1)[0] + "."
        return [(name, run, machine.minion) for machine in self.machines if machine.minion
                for name, run in list(machine.minion.active.items())
                if name.startswith(step) and run["attempt"] == attempt]

    def work_in_gang(self, task, run, minion, now):
        """The members work from the moment when all are present, save together and end together."""
        gang = (task.rsplit(".", 1)[0], run["attempt"])
        members = self.members(task, run["attempt"])
        if gang not in self.gangs:
            if len(members) == run["spec"]["gang"]:
                self.gangs[gang] = now + (BOUNDS["restoreMs"] / 1000 if run["saved"] else 0)
            elif now - run["since"] > BOUNDS["gangTimeoutMs"] / 1000:
                minion.end(task, "alone")
            return
        worked_ms = max(0, int((now - self.gangs[gang]) * 1000))
        done_ms = run["base_ms"] + worked_ms
        steps = worked_ms // (BOUNDS["checkpointS"] * 1000)
        if run["spec"].get("saves") and steps:
            saved_ms = run["base_ms"] + steps * BOUNDS["checkpointS"] * 1000
            run["saved"] = f"{saved_ms:08x}{task.split('.')[0][:8]}"
        if done_ms >= run["spec"]["ms"]:
            for name, _, other in members:
                other.end(name, "done")

    def gang_member_ended(self, task, run):
        gang = (task.rsplit(".", 1)[0], run["attempt"])
        if run["spec"].get("gang") and self.gangs.get(gang) is not None and not run.get("over"):
            for name, other_run, minion in self.members(task, run["attempt"]):
                other_run["over"] = True
                if self.done_ms(gang, run) < run["spec"]["ms"]:
                    minion.end(name, "broken")

    def done_ms(self, gang, run):
        return run["base_ms"] + int((time.monotonic() - self.gangs[gang]) * 1000)

    def ran(self, task, attempt, minion, how):
        self.run_ends.append((self.record.now(), task, attempt, minion.id, how))
        self.record(f"minion {minion.id}: {task} run {attempt} ends: {how}")

    def stopped(self, task, attempt, minion):
        self.stops.append((self.record.now(), task, attempt, minion))

    def running(self, job):
        """Returns the tasks of a job that run now, with their minions."""
        found = []
        for machine in self.machines:
            for task in machine.minion.active if machine.minion else ():
                if task.startswith(job + "."):
                    found.append((task, machine))
        return found

    def used_cpu(self):
        minions = [machine.minion for machine in self.machines if machine.minion]
        return sum(run["spec"].get("cpu", 0) for minion in minions for run in minion.active.values())

    async def start(self):
        await self.store.server.start(self.host(2))
        await self.cloud.server.start(self.host(3))
        await self.store.put("op", "config", self.config)
        for machine in self.machines:
            await machine.boot()
        for entry_vm in self.entry_vms:
            entry_vm.start()
            self.spawn(self.keep_running(entry_vm))
        end = time.monotonic() + 15
        while time.monotonic() < end:
            ready = [await entry_vm.ready() for entry_vm in self.entry_vms]
            row = self.store.get("schedulers", "all")
            if all(ready) and row and row.get("waiting") is not None:
                self.record.say(f"{len(ready)} entry VMs are ready, {row['holder']} schedules")
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the entry VMs did not become ready within 15 s")

    async def keep_running(self, entry_vm):
        """Starts a process again a short time after its end, as the platform does."""
        while not self.closing:
            await asyncio.sleep(0.05)
            if entry_vm.process.poll() is not None and not self.closing:
                self.record.say(f"entry VM {entry_vm.name}: its process has ended ({entry_vm.process.returncode})")
                await asyncio.sleep(1.0)
                if not self.closing:
                    entry_vm.start()

    def holder(self):
        row = self.store.get("schedulers", "all") or {}
        return next((vm for vm in self.entry_vms if vm.name == row.get("holder")), None)

    async def ask(self, method, queue, job, body=None, wait_ms=3000, attempts=4, retry_on=(0, 502, 504, 503, 429)):
        """A client's call with its retries, each at another entry VM; returns all answers."""
        answers = []
        order = random.sample(self.entry_vms, len(self.entry_vms))
        for attempt in range(attempts):
            entry_vm = order[attempt % len(order)]
            headers = {"Host": queue["host"], "X-Api-Key": queue["key"], "X-Snipevane-Deadline-Ms": str(wait_ms)}
            self.record(f"client: {method} {queue['prefix']}{job} to {entry_vm.name}")
            status, value = await call(f"{entry_vm.ip}:8340", method, queue["prefix"] + job, headers, body,
                                       wait_ms / 1000)
            self.record(f"client: {method} {queue['prefix']}{job} answered {status or 'not at all'} {value or ''}")
            answers.append((status, value))
            if status not in retry_on:
                break
            await asyncio.sleep(0.3)
        return answers

    async def stop(self):
        self.closing = True
        for task in list(self.tasks):
            task.cancel()
        for entry_vm in self.entry_vms:
            if entry_vm.process and entry_vm.process.poll() is None:
                entry_vm.process.kill()
                entry_vm.process.wait()
            entry_vm.log.close()
        for machine in self.machines:
            if machine.minion:
                machine.minion.alive = False
                machine.minion.server.kill()
        self.store.server.kill()
        self.cloud.server.kill()
        if os.environ.get("KEEP_LOGS"):
            print("logs of the entry VMs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def lost_jobs(site, record, queue, accepted):
    """LOST: finish_s after the end of the traffic a job isn't known or gets no answer in time; or, for 3 s, it has
    nothing running while a task's turn has come, with under half of the capacity in use. `accepted` maps the jobs that
    were acknowledged, and not cancelled, to the times of that; none of them has a task that can't be done."""
    broken = []
    states = {}

    async def ask(name):
        status, value = (await site.ask("GET", queue, name))[-1]
        states[name] = value.get("state") if status == 200 and value else status

    await asyncio.gather(*[ask(name) for name in accepted])
    open_jobs = {name for name, state in states.items() if state != "completed"}
    idle = {name: 0 for name in open_jobs}
    rounds = 30
    for _ in range(rounds):
        await asyncio.sleep(0.1)
        room = sum(1 for machine in site.machines if machine.minion) * site.capacity["cpu"]
        for name in open_jobs:
            if not site.running(name) and site.used_cpu() < room / 2:
                idle[name] += 1
    for name in sorted(open_jobs, key=lambda name: accepted[name]):
        if idle[name] == rounds:
            broken.append(f"LOST: job {name}, accepted at {accepted[name]:.1f} s, is shown as {states[name]}, and for "
                          f"3 s nothing of it ran, with {site.used_cpu()} of {room} thousandths of a core in use")
    counts = {state: list(states.values()).count(state) for state in set(states.values())}
    record.say(f"states at the end: {counts}")
    record.say(f"transactions that the store turned away for their size: {site.store.refused_sizes}")
    return broken


def roll_up():
    """An ordinary job: two steps of six tasks, one after the other."""
    body = job(6, {"ms": 800, "cpu": 880, "mem": 1600})
    body["phases"].append({**body["phases"][0], "after": [0]})
    return body


def configuration(version=1, routes=None, services=("closeboard",), tenants=None):
    return {
        "version": version,
        "routes": routes if routes is not None else [route("tick-rollup", "/tick/", "closeboard")],
        "services": [{"name": name, "enforceCapacity": True, "standby": False} for name in services],
        "limits": {"maxBodyBytes": 262144},
        "tenants": tenants or [{"name": "t-1", "apiKeys": ["key-1"], "weight": 50,
                                "cap": {"cpu": 0, "memMb": 0, "gpu": 0}}],
    }


def route(name, prefix, service, attempts=4):
    return {"name": name, "host": "close.example", "pathPrefix": prefix, "service": service, "priority": 0,
            "maxAttempts": attempts, "slackFactor": 1.6, "targetLatencyMs": 600, "timeoutMs": 3000, "public": False}


def queue(prefix, key="key-1"):
    return {"host": "close.example", "prefix": prefix, "key": key}


def new_id():
    return secrets.token_hex(8)


def job(tasks, spec, **fields):
    """A job of one step."""
    step = {"replicas": tasks, "cpu": spec.get("cpu", 1000), "memMb": spec.get("mem", 100),
            "estimateMs": spec.get("ms", 1000), **fields}
    return {"spec": json.dumps(spec), "phases": [step]}


def main(folder, play, **options):
    """Plays a case: 1 if the rule is broken, 0 if it held, 2 if the case couldn't run."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.say(f"TROUBLE={int(trouble)}")

    async def run():
        site = Site(record, **options)
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            await site.start()
            return await play(site, record, trouble)
        finally:
            await site.stop()

    try:
        broken = asyncio.run(asyncio.wait_for(run(), LIMIT_S))
    except (CannotRun, asyncio.TimeoutError, asyncio.CancelledError, OSError) as error:
        record.say(f"could not run: {error!r}")
        return 2
    for line in broken:
        record.say("BROKEN: " + line)
    record.say(f"{len(broken)} breaks" if broken else "the rule held")
    return 1 if broken else 0
