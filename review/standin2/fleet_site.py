"""A small site on loopback addresses: stand-ins for the platform, and entry VMs as separate processes.

The stand-ins follow PROTOCOL.md and DEPLOY.md: the metadata store (`Store`), minions (`Minion`), the API of
machines (`Cloud`) and clients (`Site.call`). The entry VMs are the program of deploy/system.toml, one process each.
Everything that is sent, answered and run goes into record.txt of the case's folder (`Site.rec`).
"""
import asyncio
import base64
import contextlib
import ctypes
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "snipevane-fleet")
PORT_FRONTEND, PORT_READY, PORT_CONTROL, PORT_INTERNAL = 8340, 8343, 8345, 7000
PORT_METRICS = 7001
HEARTBEAT_S = 1.5
MIGRATION_S, MAINTENANCE_S = 1.5, 2.0
HOLD_MAX_MS = 6000
STOP_S = 0.1  # Below terminateMs.
HISTORY_S = 20.0
CONTACT_S = 3.0

BOUNDS = """[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxExtensionMs = 5000
strictRevocation = true
revokeMs = 5000
quotaWindowS = 5
quotaOvershoot = 0.1
quotaTolerance = 20
recoveryS = 12
holdMaxMs = 6000
terminateMs = 900
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remoteFactor = 3
checkpointS = 2
restoreMs = 100
noticeMs = 4500
migrationS = 1.5
maintenanceS = 2
fencingEnforced = false
leaseMs = 3000
thawMs = 300
throttleDelayMs = 100
interferenceMs = 4000
"""


PR_SET_PDEATHSIG = 1


def end_with_parent():
    """Lets the process end when the script does, however that ends."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Hang(Exception):
    """The request is not answered; the connection stays open."""


class Reset(Exception):
    """The connection is closed without an answer."""


class Server:
    """HTTP/1.1 server with keep-alive. `handler(method, path, query, headers, body)` returns (status, value)."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.writers = set()

    async def start(self, host, port=0):
        self.server = await asyncio.start_server(self._serve, host, port)
        return self.server.sockets[0].getsockname()[1]

    def stop(self):
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            with contextlib.suppress(Exception):
                writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                parts = urlsplit(target)
                query = {name: values[0] for name, values in parse_qs(parts.query, keep_blank_values=True).items()}
                value = json.loads(body) if body else None
                try:
                    status, answer = await self.handler(method, parts.path, query, headers, value)
                except Hang:
                    await asyncio.sleep(3600)
                    return
                except Reset:
                    writer.transport.abort()
                    return
                data = b"" if answer is None else json.dumps(answer, separators=(",", ":")).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(data)) + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, RuntimeError):
            pass  # The peer has closed the connection, or the server is stopping.
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()


def route(name, prefix, service, attempts=3, public=False, priority=0, aim_ms=600, slack=1.6):
    """A route of the configuration, with the fields that `fleetbench wire` shows."""
    return {"name": name, "host": "site.example", "pathPrefix": prefix, "type": "non_idempotent",
            "timeoutMs": 3000, "targetLatencyMs": aim_ms, "priority": priority, "service": service,
            "maxAttempts": attempts, "slackFactor": slack, "public": public}


def service(name, standby=False):
    """A service of the configuration."""
    return {"name": name, "healthPath": "/healthz", "maxConnections": 64, "protocol": "h1", "tls": False,
            "enforceCapacity": True, "standby": standby}


def tenant(name, key):
    """A tenant of the configuration, without a limit."""
    return {"name": name, "apiKeys": [key], "priority": 1, "weight": 61,
            "cap": {"cpu": 0, "memMb": 0, "gpu": 0}}


async def http(host, port, method, path, value=None, headers=None, timeout=3.0):
    """Sends a request on a new connection; returns (status, value), with status 0 if there is no answer."""
    body = b"" if value is None else json.dumps(value).encode()
    head = f"{method} {path} HTTP/1.1\r\nContent-Length: {len(body)}\r\nConnection: close\r\n"
    for name, text in (headers or {}).items():
        head += f"{name}: {text}\r\n"
    if not any(name.lower() == "host" for name in headers or {}):
        head += f"Host: {host}:{port}\r\n"

    async def exchange():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(head.encode() + b"\r\n" + body)
            await writer.drain()
            answer = await reader.readuntil(b"\r\n\r\n")
            status = int(answer.split(b" ", 2)[1])
            length = 0
            for line in answer.decode("latin-1").split("\r\n"):
                if line.lower().startswith("content-length:"):
                    length = int(line.split(":", 1)[1])
            data = await reader.readexactly(length)
            try:
                return status, json.loads(data) if data else None
            except ValueError:
                return status, None
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, None


class Store:
    """The platform's metadata store. Each entry VM has an address of its own, so that faults can be per machine."""

    def __init__(self, site):
        self.site = site
        self.rows = {}      # (table, part, key) -> (version, base64 text)
        self.log = []       # (version, time, (table, part, key))
        self.version = 0
        self.forgotten = 0  # Changes up to this version are no longer known.
        self.turn = asyncio.Lock()
        self.changed = asyncio.Event()
        self.start = time.monotonic()
        self.tx_s = 0.005
        self.endpoints = {}
        self.on_tx = None   # async (name, body, commit) -> answer, or None to serve it as usual

    async def listen(self, name):
        async def handler(method, path, query, headers, body):
            return await self.handle(name, method, path, query, body)
        server = Server(handler)
        self.endpoints[name] = {"server": server, "mode": "ok", "delay": 0.0}
        return await server.start(self.site.platform_ip)

    def now_ms(self):
        return int((time.monotonic() - self.start) * 1000)

    def put(self, table, key, value):
        """Writes a row as the operator or a minion does."""
        self.apply([((table, "", key), base64.b64encode(json.dumps(value).encode()).decode())])

    def get(self, table, key):
        row = self.rows.get((table, "", key))
        return json.loads(base64.b64decode(row[1])) if row else None

    def remove(self, table, key):
        if (table, "", key) in self.rows:
            self.apply([((table, "", key), None)])

    def apply(self, changes):
        self.version += 1
        now = time.monotonic()
        for row, value in changes:
            if value is None:
                self.rows.pop(row, None)
            else:
                self.rows[row] = (self.version, value)
            self.log.append((self.version, now, row))
        while self.log and self.log[0][1] < now - HISTORY_S:
            self.forgotten = max(self.forgotten, self.log.pop(0)[0])
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def handle(self, name, method, path, query, body):
        endpoint = self.endpoints[name]
        mode = endpoint["mode"]
        if mode == "silent":
            raise Hang()
        if mode == "reset":
            raise Reset()
        if mode == "busy":
            return 503, {}
        if endpoint["delay"]:
            await asyncio.sleep(endpoint["delay"])
        if path == "/rows-tx":
            if self.on_tx:
                answer = await self.on_tx(name, body, self.commit)
                if answer is not None:
                    return answer
            return await self.commit(body)
        if path == "/rows-get":
            return self.read(query)
        if path == "/rows-feed":
            return await self.feed(query)
        return 404, {}

    def row_json(self, row):
        version, value = self.rows.get(row, (0, None))
        shown = {"tableName": row[0], "part": row[1], "key": row[2], "schemaVersion": version}
        if value is not None:
            shown["value"] = value
        return shown

    async def commit(self, body):
        async with self.turn:
            await asyncio.sleep(self.tx_s)
            named = [(e["tableName"], e["part"], e["key"]) for e in body.get("expected", [])]
            expected = [e["schemaVersion"] for e in body.get("expected", [])]
            writes = [((e["tableName"], e["part"], e["key"]), e["value"]) for e in body.get("write", [])]
            removes = [((e["tableName"], e["part"], e["key"]), None) for e in body.get("remove", [])]
            if len(named) + len(writes) + len(removes) > 100:
                return 400, {}
            if any(row[0] in ("op", "servers") for row, _ in writes + removes):
                return 403, {}
            if any(self.rows.get(row, (0, None))[0] != version for row, version in zip(named, expected)):
                return 412, {"rows": [self.row_json(row) for row in named], "schemaVersion": self.version,
                             "nowMs": self.now_ms()}
            self.apply(writes + removes)
            return 200, {"schemaVersion": self.version, "nowMs": self.now_ms()}

    def read(self, query):
        table, part = query.get("tableName", ""), query.get("part", "")
        first, end = query.get("from", ""), query.get("target", "")
        size = min(int(query.get("pageSize", 500)), 500)
        keys = [row for row in self.rows if row[0] == table and row[1] == part
                and row[2] >= first and (not end or row[2] < end)]
        keys.sort(key=lambda row: row[2].encode())
        return 200, {"rows": [self.row_json(row) for row in keys[:size]], "hasMore": len(keys) > size,
                     "schemaVersion": self.version, "nowMs": self.now_ms()}

    async def feed(self, query):
        table, after = query.get("tableName", ""), int(query.get("after", 0))
        end = time.monotonic() + min(int(query.get("waitMs", 0)), 30000) / 1000
        while True:
            if after < self.forgotten:
                return 410, {}
            latest = {}
            for version, _, row in self.log:
                if version > after and row[0] == table:
                    latest[row] = version
            if latest or time.monotonic() >= end:
                shown = []
                for row, version in sorted(latest.items(), key=lambda item: item[1]):
                    value = self.row_json(row)
                    if "value" not in value:
                        value["deleted"] = True
                        value["schemaVersion"] = version
                    shown.append(value)
                return 200, {"rows": shown, "schemaVersion": self.version, "nowMs": self.now_ms()}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.changed.wait(), max(0.0, end - time.monotonic()))


class Minion:
    """A minion.

    A task's `spec` is JSON: `ms` (its run time; none for a task that lasts), `end` (`done` or `failed`), and
    `first_ms` (run times of the first runs of the tasks of a step, by index, in place of `ms`), and `serves`
    (whether it serves users, with the tail of `Site.tail_ms`).
    """

    def __init__(self, site, minion_id, service, machine, zone, rack, cpu=16000, mem=32768):
        self.site, self.id, self.service, self.machine = site, minion_id, service, machine
        self.zone, self.rack, self.cpu, self.mem = zone, rack, cpu, mem
        self.state, self.sequence = "ready", 0
        self.up = self.registered = True
        self.cut = False           # Cut off: nothing is answered, the runs go on.
        self.on_order = None       # async (path, body, serve) -> answer, or None to serve it as usual
        self.server, self.port = None, 0
        self.proxy = None          # What its callers reach in its place, if there is one.
        self.tasks = []
        self.begin()

    def begin(self):
        """Begins an incarnation, which holds and knows nothing of before."""
        self.born = int(time.time() * 1000)
        self.start = time.monotonic()
        self.fence, self.lease_end, self.number = 0, 0, 0
        self.lease_over = True
        self.active, self.finished, self.highest = {}, [], {}
        self.something_ended = asyncio.Event()

    def clock(self):
        return int((time.monotonic() - self.start) * 1000)

    async def run(self):
        await self.listen()
        self.register()
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.tick())]

    async def listen(self):
        self.server = Server(self.handle)
        self.port = await self.server.start(self.site.platform_ip, self.port)

    def entry(self):
        port = self.proxy.port if self.proxy else self.port
        return {"service": self.service, "address": f"{self.site.platform_ip}:{port}", "zone": self.zone,
                "version": "v1", "capacity": 8, "state": self.state, "warmupLeftMs": 0, "born": self.born,
                "freeCapacity": {"cpu": self.cpu, "memMb": self.mem, "gpu": 0},
                "labels": ["a", self.rack], "clockMs": self.clock(), "sequence": self.sequence}

    def register(self):
        self.sequence += 1
        self.registered = True
        self.site.store.put("servers", self.id, self.entry())

    async def beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.up and not self.cut:
                self.register()

    async def tick(self):
        while True:
            await asyncio.sleep(0.01)
            if not self.up:
                continue
            now = time.monotonic()
            if not self.lease_over and self.clock() >= self.lease_end:
                self.lease_over = True
                self.site.rec("lease over", minion=self.id)
                for task in list(self.active):
                    self.end(task, "lapsed")
            for task, run in list(self.active.items()):
                if run["stops_at"] is not None and now >= run["stops_at"]:
                    self.end(task, "stopped")
                elif run["ends_at"] is not None and now >= run["ends_at"]:
                    self.end(task, run["how"])

    def end(self, task, how):
        run = self.active.pop(task)
        self.number += 1
        self.finished.append([self.number, task, run["attempt"], how, ""])
        self.highest[task] = max(self.highest.get(task, 0), run["attempt"])
        self.site.rec("end", minion=self.id, task=task, attempt=run["attempt"], how=how, number=self.number)
        ended, self.something_ended = self.something_ended, asyncio.Event()
        ended.set()

    def crash(self):
        """Ends everything; the minion is down until `restart`."""
        self.site.rec("crash", minion=self.id, runs=sorted(self.active))
        self.up = False
        self.active = {}
        self.server.stop()

    async def restart(self, register_after_s=0.0):
        """Begins a new incarnation under the same identifier and address."""
        self.begin()
        await self.listen()
        self.up = True
        self.site.rec("restart", minion=self.id)
        if register_after_s:
            await asyncio.sleep(register_after_s)
        self.register()

    def unregister(self):
        if self.registered:
            self.registered = False
            self.site.store.remove("servers", self.id)

    def leave(self):
        self.up = False
        for task in self.tasks:
            task.cancel()
        if self.active:
            self.site.rec("gone", minion=self.id, runs=sorted(self.active))
        self.active = {}
        self.server.stop()
        self.unregister()

    async def handle(self, method, path, query, headers, body):
        if self.cut or not self.up:
            raise Hang()
        if headers.get("x-snipevane-expect-instance", self.id) != self.id:
            return 421, {"clockMs": self.clock()}
        if self.on_order:
            answer = await self.on_order(path, body, self.serve)
            if answer is not None:
                return answer
        return await self.serve(path, body)

    async def serve(self, path, body):
        """Carries out an order."""
        fence = body.get("fencingToken", 0)
        if fence < self.fence:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.fence = fence
        if body.get("deadlineMs") is not None:
            self.lease_end = max(self.lease_end, min(body["deadlineMs"], self.clock() + HOLD_MAX_MS))
            self.lease_over = self.clock() >= self.lease_end
        if path == "/run-start":
            return self.start_run(body)
        if path == "/run-stop":
            return self.stop_run(body)
        if path == "/hold":
            return await self.hold(body)
        if path == "/pace":
            run = self.active.get(body["task"])
            if run and run["attempt"] == body["attempt"]:
                run["share"] = body["percentage"]
            self.site.rec("pace", minion=self.id, task=body["task"], attempt=body["attempt"],
                          percentage=body["percentage"])
            return 200, {"clockMs": self.clock()}
        return 404, {}

    def start_run(self, body):
        task, attempt = body["task"], body["attempt"]
        run = self.active.get(task)
        if run and run["attempt"] == attempt:
            return 200, {"clockMs": self.clock()}
        reason = None
        if attempt <= self.highest.get(task, 0) or (run and attempt < run["attempt"]):
            reason = "old"
        elif self.clock() >= min(self.lease_end, body["deadlineMs"]):
            reason = "late"
        else:
            size = self.site.size_of(task)
            used_cpu = sum(r["size"][0] for r in self.active.values())
            used_mem = sum(r["size"][1] for r in self.active.values())
            if used_cpu + size[0] > self.cpu or used_mem + size[1] > self.mem:
                reason = "room"
        if reason:
            self.site.rec("refused", minion=self.id, task=task, attempt=attempt, reason=reason)
            return 409, {"clockMs": self.clock(), "reason": reason}
        now = time.monotonic()
        spec = json.loads(body["spec"])
        ms = spec.get("ms")
        if spec.get("first_ms") and not self.site.of("end", task=task):
            ms = spec["first_ms"][int(task.split(".")[3])]
        ends_at = now + ms / 1000 if ms else None
        self.active[task] = {"attempt": attempt, "since": now, "ends_at": ends_at, "stops_at": None,
                             "how": spec.get("end", "done"), "size": self.site.size_of(task), "spec": spec,
                             "share": 100}
        self.site.rec("start", minion=self.id, task=task, attempt=attempt, fence=body["fencingToken"],
                      born=self.born)
        return 200, {"clockMs": self.clock()}

    def stop_run(self, body):
        task, attempt = body["task"], body["attempt"]
        self.highest[task] = max(self.highest.get(task, 0), attempt)
        run = self.active.get(task)
        if run and run["attempt"] <= attempt and run["stops_at"] is None:
            run["stops_at"] = time.monotonic() + STOP_S
        self.site.rec("stop", minion=self.id, task=task, attempt=attempt)
        return 200, {"clockMs": self.clock()}

    def percent(self, run):
        if run["ends_at"] is None:
            return 100 if time.monotonic() > run["since"] + 0.3 else 0
        done = (time.monotonic() - run["since"]) / max(0.001, run["ends_at"] - run["since"])
        return int(min(99, 100 * done))

    def load(self, run):
        """Returns the fifth entry of a row of `active`."""
        if run["spec"].get("serves"):
            return self.site.tail_ms if time.monotonic() > run["since"] + 0.5 else 0
        return run["size"][0] * run["share"] // 100

    def lists(self):
        return {"clockMs": self.clock(), "born": self.born,
                "active": [[task, run["attempt"], "", self.percent(run), self.load(run)]
                           for task, run in self.active.items()],
                "finished": self.finished[:500]}

    async def hold(self, body):
        ack = body.get("ackCursor", 0)
        for end in self.finished:
            if end[0] <= ack:
                self.site.rec("noted", minion=self.id, task=end[1], attempt=end[2], how=end[3], number=end[0])
        self.finished = [end for end in self.finished if end[0] > ack]
        until = time.monotonic() + min(body.get("waitMs", 0), 2000) / 1000
        born = self.born
        while not self.finished and time.monotonic() < until and self.up and not self.cut:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.something_ended.wait(), max(0.0, until - time.monotonic()))
        if not self.up or self.cut or born != self.born:
            raise Hang()
        return 200, self.lists()


class Proxy:
    """A proxy on the way to a minion, which outlives the minion's crashes.

    `hold_s(path, body)` returns for how long a request is held up; the caller of one that is gets no answer.
    """

    def __init__(self, site, minion, hold_s):
        self.site, self.minion, self.hold_s = site, minion, hold_s

    async def start(self):
        self.port = await Server(self.handle).start(self.site.platform_ip)

    async def handle(self, method, path, query, headers, body):
        held_s = self.hold_s(path, body)
        if held_s:
            self.site.rec("held up", minion=self.minion.id, path=path, task=body.get("task"))
            asyncio.create_task(self.deliver_late(held_s, path, headers, body))
            raise Hang()
        status, answer = await self.forward(path, headers, body)
        if not status:
            raise Reset()
        return status, answer

    async def forward(self, path, headers, body):
        passed = {name: text for name, text in headers.items() if name.startswith("x-")}
        return await http(self.site.platform_ip, self.minion.port, "POST", path, body, passed, timeout=10.0)

    async def deliver_late(self, held_s, path, headers, body):
        await asyncio.sleep(held_s)
        self.site.rec("delivered", minion=self.minion.id, path=path, task=body.get("task"))
        status, _ = await self.forward(path, headers, body)
        self.site.rec("answer to nobody", minion=self.minion.id, status=status)


class Cloud:
    """The API of machines."""

    def __init__(self, site):
        self.site = site
        self.machines = {}  # name -> dict(pool, state, minion, zone, rack)

    async def listen(self):
        self.server = Server(self.handle)
        return await self.server.start(self.site.platform_ip)

    async def handle(self, method, path, query, headers, body):
        if path == "/machines":
            shown = []
            for name, machine in sorted(self.machines.items()):
                minion = machine["minion"]
                row = {"hostMachine": name, "pool": machine["pool"], "state": machine["state"],
                       "zone": machine["zone"], "labels": ["a", machine["rack"]],
                       "freeCapacity": {"cpu": 16000, "memMb": 32768, "gpu": 0}}
                if machine["state"] == "up" and not (minion and minion.up):
                    row["state"] = "down"
                elif minion and minion.up:
                    row["id"] = minion.id
                shown.append(row)
            return 200, {"machines": shown, "nextToken": None}
        name = body["hostMachine"]
        machine = self.machines.get(name)
        holder = headers.get("x-snipevane-duty-holder")
        fence = int(headers.get("x-snipevane-fencing-token", 0))
        if not machine:
            return 400, {}
        if path == "/machine-move":
            if machine["pool"] == body["pool"]:
                return 200, {}
            status, state, seconds = "moving", "moving", MIGRATION_S
        else:
            wave = body["rolloutWave"]
            if wave in machine["waves"]:
                return 200, {}
            status, state, seconds = "upkeep", "upkeep", MAINTENANCE_S
        if machine["state"] != "up" or not (machine["minion"] and machine["minion"].up):
            return 409, {"reason": "busy"}
        if path == "/machine-move":
            machine["pool"] = body["pool"]
        else:
            machine["waves"].add(body["rolloutWave"])
        self.site.rec(status, machine=name, minion=machine["minion"].id, pool=machine["pool"], holder=holder,
                      fence=fence, wave=body.get("rolloutWave"))
        machine["minion"].leave()
        machine["state"], machine["minion"] = state, None
        asyncio.create_task(self.join(name, seconds))
        return 200, {}

    async def join(self, name, seconds):
        await asyncio.sleep(seconds)
        machine = self.machines[name]
        machine["state"] = "up"
        machine["minion"] = await self.site.new_minion(machine["pool"], name, machine["zone"], machine["rack"])


class Vm:
    """An entry VM: the program of deploy/system.toml as a process of its own."""

    def __init__(self, site, name, ip, zone, store_port):
        self.site, self.name, self.ip, self.zone, self.store_port = site, name, ip, zone, store_port
        self.process = None
        self.log = os.path.join(site.folder, f"{name}.log")

    def settings(self):
        site = self.site
        return f"""nodeName = "{self.name}"
role = "entry"
machineClass = "edge"
serves = ["edge"]
ip = "{self.ip}"
zone = "{self.zone}"
region = "lk-west"
internalPortRange = [{PORT_INTERNAL},{PORT_INTERNAL + 15}]
seeds = []
bootstrap = true
inTolerance = true
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","quota","platform","advice","upkeep","sharing"]
controlMode = "invocation"
[zones]
a = "lk-west"
[bindAddresses]
frontend = "{self.ip}:{PORT_FRONTEND}"
ready = "{self.ip}:{PORT_READY}"
controlPlane = "{self.ip}:{PORT_CONTROL}"
[limits]
cpuShare = 0.25
cpuCores = 1
memoryMb = 260
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 0
{BOUNDS}[platform]
address = "{site.platform_ip}:{self.store_port}"
form = "table"
writesPerS = 600
readsPerS = 2000
transactionMs = 5.0
partitionWritesS = 200
rowBytes = 65536
crossPartition = false
historyS = 20
blobBytes = 8388608
blobMs = 25.0
blobMbS = 80.0
[cloudApi]
address = "{site.platform_ip}:{site.cloud_port}"
ratePerS = 64.0
duties = []
dutyPerS = 64.0
"""

    def start(self):
        path = os.path.join(self.site.folder, f"{self.name}.toml")
        with open(path, "w") as f:
            f.write(self.settings())
        log = open(self.log, "ab")
        env = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", ""),
               "SNIPEVANE_SETTINGS": path}
        self.process = subprocess.Popen([PROGRAM, "--metrics-port", str(PORT_METRICS)], cwd=ROOT, env=env,
                                        stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                                        preexec_fn=end_with_parent)
        log.close()
        self.site.rec("process started", vm=self.name)

    def send(self, sig):
        self.site.rec("signal", vm=self.name, signal=signal.Signals(sig).name)
        self.process.send_signal(sig)

    def kill(self):
        self.send(signal.SIGKILL)
        self.process.wait()


class Site:
    """The site of one case."""

    def __init__(self, case):
        self.case = case
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.began = time.monotonic()
        self.events = []
        # The file that run.sh names, in the case's folder.
        self.record = open(os.path.join(case, sys.argv[1] if len(sys.argv) > 1 else "record.txt"), "w")
        self.folder = tempfile.mkdtemp(prefix="review-")
        # An own part of 127.0.0.0/8 for each run, so that its ports are free.
        self.net = f"127.{random.randint(64, 250)}.{random.randint(1, 250)}"
        self.platform_ip = f"{self.net}.1"
        self.store = Store(self)
        self.cloud = Cloud(self)
        self.minions, self.vms, self.sizes = {}, {}, {}
        self.version = 0
        self.minion_count = 0
        self.tail_ms = 40
        self.hold_s = None  # Set before minions are added: each has a proxy that holds requests up by it.

    def now(self):
        return time.monotonic() - self.began

    def rec(self, kind, **fields):
        if self.record.closed:
            return
        at = self.now()
        self.events.append({"at": at, "kind": kind, **fields})
        shown = " ".join(f"{name}={value}" for name, value in fields.items())
        self.record.write(f"{at:8.3f} {kind} {shown}\n")
        self.record.flush()

    def of(self, kind, **wanted):
        return [e for e in self.events if e["kind"] == kind
                and all(e.get(name) == value for name, value in wanted.items())]

    def in_touch(self, at):
        """Returns whether all entry VMs were in touch at a time: their processes ran for the whole `contactMs`
        before, and nothing else of the site's machines, links or store is disturbed by a case that asks."""
        disturbed = self.of("process started") + self.of("signal")
        return all(e["at"] + CONTACT_S <= at for e in disturbed if e["at"] <= at)

    def size_of(self, task):
        return self.sizes.get((task.split(".")[0], int(task.split(".")[2])), (1000, 100))

    def configure(self, routes, services, tenants):
        """Writes a configuration, as the operator does."""
        self.version += 3
        self.store.put("op", "config", {
            "version": self.version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144}, "tenants": tenants})
        self.rec("configuration", version=self.version)

    async def new_minion(self, service, machine, zone, rack):
        self.minion_count += 1
        minion = Minion(self, f"i-{self.minion_count:03}", service, machine, zone, rack)
        self.minions[minion.id] = minion
        if self.hold_s:
            minion.proxy = Proxy(self, minion, self.hold_s)
            await minion.proxy.start()
        await minion.run()
        return minion

    async def add_machines(self, service, count, racks=3):
        for _ in range(count):
            number = len(self.cloud.machines) + 1
            name, rack = f"m-{number:03}", f"r1-{number % racks + 1}"
            minion = await self.new_minion(service, name, "a", rack)
            self.cloud.machines[name] = {"pool": service, "state": "up", "minion": minion, "zone": "a",
                                         "rack": rack, "waves": set()}

    async def add_vms(self, count):
        self.cloud_port = self.cloud_port if hasattr(self, "cloud_port") else await self.cloud.listen()
        for _ in range(count):
            number = len(self.vms) + 1
            name = f"edge-a-{number}"
            port = await self.store.listen(name)
            vm = Vm(self, name, f"{self.net}.{10 + number}", "a", port)
            self.vms[name] = vm
            vm.start()

    async def wait_ready(self, limit=20.0):
        """Waits until all entry VMs are ready and one of them schedules."""
        end = time.monotonic() + limit
        while time.monotonic() < end:
            ready = [(await http(vm.ip, PORT_READY, "GET", "/readyz"))[0] == 200 for vm in self.vms.values()]
            if all(ready) and self.store.get("schedulers", "all"):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the entry VMs aren't ready")

    def leader(self):
        """Returns the entry VM that wrote last to the store under a condition on its term."""
        row = self.store.get("schedulers", "all")
        return self.vms.get(row["holder"]) if row else None

    async def call(self, vm, method, path, value=None, key=None, host="site.example", timeout=3.0, quiet=False):
        """Sends a client's request to an entry VM and records it with the answer."""
        headers = {"Host": host, "X-Snipevane-Deadline-Ms": str(int(timeout * 1000))}
        if value is not None:
            headers["Content-Type"] = "application/json"
        if key:
            headers["X-Api-Key"] = key
        sent = self.now()
        status, answer = await http(vm.ip, PORT_FRONTEND, method, path, value, headers, timeout)
        if not quiet:
            self.rec("client", method=method, path=path, vm=vm.name, sent=f"{sent:.3f}", status=status,
                     answer=json.dumps(answer))
        return status, answer

    async def submit(self, vm, path, job_id, spec, phases, key=None, **more):
        """Hands a job in, with the same identifier until it is accepted."""
        for number, phase in enumerate(phases):
            self.sizes[(job_id, number)] = (phase.get("cpu", 0), phase.get("memMb", 0))
        body = {"spec": json.dumps(spec), "phases": phases, **more}
        for _ in range(20):
            status, _ = await self.call(vm, "POST", path + job_id, body, key)
            if status == 200:
                return True
            await asyncio.sleep(0.3)
        return False

    async def close(self):
        for vm in self.vms.values():
            if vm.process and vm.process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    vm.process.send_signal(signal.SIGCONT)
                    vm.process.kill()
                vm.process.wait()
        if os.environ.get("KEEP"):
            print("logs in", self.folder)
        else:
            for name in os.listdir(self.folder):
                os.remove(os.path.join(self.folder, name))
            os.rmdir(self.folder)
        self.record.close()


def say(*words):
    with contextlib.suppress(OSError):  # Nobody may be reading.
        print(*words)


def main(case, scenario, limit=110.0):
    """Runs a scenario, an async function of the site that returns what broke the rule; exits with 1 if it did, 0 if
    it held, 2 if the case couldn't run."""
    async def run():
        site = Site(case)

        def stop():
            for vm in site.vms.values():
                if vm.process and vm.process.poll() is None:
                    vm.process.kill()
            os._exit(2)

        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop)
        try:
            broken = await asyncio.wait_for(scenario(site), limit)
            for line in broken:
                site.rec("BROKEN", what=line)
                say("broken:", line)
            if not broken:
                site.rec("HELD")
                say("held")
            return 1 if broken else 0
        except Exception as error:  # The case couldn't run.
            site.rec("COULDN'T RUN", error=repr(error))
            say("couldn't run:", repr(error))
            if os.environ.get("KEEP"):
                raise
            return 2
        finally:
            await site.close()

    async def run_and_exit():
        code = await run()
        with contextlib.suppress(OSError):
            sys.stdout.flush()
        # What is left are tasks of stand-ins, which need no orderly end.
        os._exit(code)
    if not os.path.exists(PROGRAM):
        say("couldn't run: the program isn't built")
        sys.exit(2)
    asyncio.run(run_and_exit())
