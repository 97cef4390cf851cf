"""A small site for the cases of the third review: a store, minions, an advisor, a VM API and the daemons.

The stand-ins follow the users' pages (PROTOCOL, DEPLOY) and answer as a sound platform does, unless a case
sets one of their knobs. Everything runs on loopback addresses and the real clock.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "snipevane-fleet")

FRONTEND, READY, CONTROL, STORE, MINION = 8340, 8343, 8345, 8344, 8783
TRANSACTION_S, ANSWER_S = 0.005, 0.004
# Bounds of `sites/klh-close.toml`.
BOUNDS = dict(
    seedLagS=3, reuseAfterS=2, contactMs=3000, ackMs=4000, catchUpS=4, drainMs=2000, graceS=6,
    lossSlackMs=200, configApplyMs=2000, rollbackSlackMs=250, maxExtensionMs=5000,
    strictRevocation=True, revokeMs=5000, quotaWindowS=5, quotaOvershoot=0.1, quotaTolerance=20,
    recoveryS=12, holdMaxMs=6000, terminateMs=900, gangTimeoutMs=3000, cancel_ms=3000,
    visible_ms=3000, early_ms=250, finish_s=14, status_s=120, remoteFactor=3, checkpointS=2,
    restoreMs=100, noticeMs=4500, migrationS=1.5, maintenanceS=2, fencingEnforced=False,
    leaseMs=3000, thawMs=300, throttleDelayMs=100, interferenceMs=4000,
)
REASONS = {
    200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found", 409: "Conflict", 410: "Gone",
    412: "Precondition Failed", 421: "Misdirected Request", 429: "Too Many Requests",
    503: "Service Unavailable",
}


class Dropped(Exception):
    """The connection is closed without an answer."""


class Marker:
    """An open connection of a stand-in, which can be made silent for good."""

    def __init__(self, state):
        self.state = state

    def silence(self):
        self.state["silent"] = True


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self):
        self.started = time.monotonic()
        self.lines = []

    def now(self):
        return time.monotonic() - self.started

    def add(self, kind, **fields):
        line = dict(t=round(self.now(), 4), kind=kind, **fields)
        self.lines.append(line)
        return line

    def of(self, *kinds):
        return [line for line in self.lines if line["kind"] in kinds]

    def write(self, path):
        with open(path, "w") as file:
            for line in self.lines:
                file.write(json.dumps(line) + "\n")


async def read_message(reader):
    """Reads the head and body of an HTTP/1.1 message; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding") == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                break
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


async def serve(ip, port, handler, open_connections=None):
    """Serves HTTP/1.1 with keep-alive; `handler(method, path, query, headers, body)` returns status and body.

    The open connections are kept in `open_connections`. One that a case marks as silent stays open and says nothing
    any more.
    """
    connections = set() if open_connections is None else open_connections

    async def connection(reader, writer):
        state = dict(silent=False)
        marker = Marker(state)
        connections.add(marker)
        try:
            while True:
                message = await read_message(reader)
                if state["silent"]:
                    await asyncio.sleep(120)
                    break
                if message is None:
                    break
                line, headers, body = message
                method, target, _ = line.split(" ", 2)
                parts = urlsplit(target)
                query = {name: values[-1] for name, values in parse_qs(parts.query, keep_blank_values=True).items()}
                decoded = json.loads(body) if body else None
                status, answer = await handler(method, unquote(parts.path), query, headers, decoded)
                if state["silent"]:
                    await asyncio.sleep(120)
                    break
                data = json.dumps(answer).encode() if answer is not None else b""
                writer.write(
                    f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (Dropped, ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            connections.discard(marker)
            writer.close()

    return await asyncio.start_server(connection, ip, port, backlog=512)


async def request(ip, port, method, path, headers=None, body=None, timeout=3.0):
    """Sends one request on a connection of its own; returns status, body or None, and headers."""

    async def exchange():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            data = json.dumps(body).encode() if body is not None else b""
            lines = [f"{method} {path} HTTP/1.1"]
            fields = {"Host": ip, "Content-Length": str(len(data)), "Connection": "close"}
            if data:
                fields["Content-Type"] = "application/json"
            fields.update(headers or {})
            lines += [f"{name}: {value}" for name, value in fields.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                return None
            line, answer_headers, answer = message
            try:
                decoded = json.loads(answer) if answer else None
            except ValueError:
                decoded = answer.decode("latin-1")
            return int(line.split(" ")[1]), decoded, answer_headers
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (asyncio.TimeoutError, OSError, asyncio.IncompleteReadError):
        return None


class Store:
    """The platform's store in its table form, with an address for each node."""

    def __init__(self, record):
        self.record = record
        self.rows, self.log, self.version = {}, [], 0
        self.slowness = 1.0
        self.modes = {}
        self.judge = None
        self.connections = set()
        self.turn = asyncio.Lock()
        self.changed = asyncio.Condition()
        self.servers = []
        self.counts = dict(writes=0, lost=0, late=0)
        self.oldest = 0

    async def listen(self, ip, name):
        async def handler(*call):
            return await self.handle(name, *call)

        self.servers.append(await serve(ip, STORE, handler, self.connections))

    async def put(self, table, key, value):
        """Writes a row as the operator, a minion or another writer does; None removes it."""
        text = value if isinstance(value, bytes) or value is None else json.dumps(value).encode()
        encoded = None if text is None else base64.b64encode(text).decode()
        self.version += 1
        self.set(table, key, encoded)
        await self.notify()
        return self.version

    def get(self, table, key):
        row = self.rows.get((table, key))
        return None if row is None else json.loads(base64.b64decode(row[0]))

    def set(self, table, key, value):
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[(table, key)] = (value, self.version)
        self.log.append((self.version, table, key, value))

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    def forget_history(self):
        self.oldest = self.version
        self.log = []

    def row(self, table, key):
        value, version = self.rows.get((table, key), (None, 0))
        found = dict(tableName=table, part="", key=key, schemaVersion=version)
        if value is not None:
            found["value"] = value
        return found

    def head(self):
        return dict(schemaVersion=self.version, nowMs=int(self.record.now() * 1000) + 1_000_000)

    async def handle(self, name, method, path, query, headers, body):
        mode = self.modes.get(name) or self.modes.get("all")
        if mode == "busy":
            await asyncio.sleep(ANSWER_S)
            return 503, None
        if mode == "many":
            return 429, None
        if mode == "reset":
            raise Dropped
        if mode == "silent":
            await asyncio.sleep(30)
            raise Dropped
        if path == "/rows-tx":
            return await self.transaction(name, body)
        if path == "/rows-get":
            await asyncio.sleep(ANSWER_S * self.slowness)
            return 200, self.page(query)
        if path == "/rows-feed":
            return await self.feed(query)
        return 404, None

    def page(self, query):
        table, start, end = query["tableName"], query.get("from", ""), query.get("target")
        keys = sorted(key for name, key in self.rows if name == table and key >= start and (not end or key < end))
        size = min(int(query.get("pageSize", 500)), 500)
        rows = [self.row(table, key) for key in keys[:size]]
        return dict(rows=rows, hasMore=len(keys) > size, **self.head())

    async def feed(self, query):
        table, after = query["tableName"], int(query["after"])
        end = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        await asyncio.sleep(ANSWER_S * self.slowness)
        while True:
            if after < self.oldest:
                return 410, None
            last = {}
            for version, name, key, value in self.log:
                if version > after and name == table:
                    last[key] = (version, value)
            if last or time.monotonic() >= end:
                rows = []
                for key, (version, value) in sorted(last.items(), key=lambda item: item[1][0]):
                    row = dict(tableName=table, part="", key=key, schemaVersion=version)
                    row.update(dict(deleted=True) if value is None else dict(value=value))
                    rows.append(row)
                return 200, dict(rows=rows, **self.head())
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), max(0.001, end - time.monotonic()))
                except asyncio.TimeoutError:
                    pass

    async def transaction(self, name, body):
        """Carries out a transaction in its turn, also if its caller has gone."""
        if any(row["tableName"] in ("op", "servers") for row in body.get("write", []) + body.get("remove", [])):
            return 403, None
        self.counts["writes"] += 1
        verdict = self.judge(name, body) if self.judge else None
        if verdict and verdict[0] == "late":
            self.counts["late"] += 1
            asyncio.get_running_loop().create_task(self.later(verdict[1], name, body))
            await asyncio.sleep(30)
            raise Dropped
        outcome = await asyncio.shield(asyncio.get_running_loop().create_task(self.commit(name, body)))
        if verdict and verdict[0] == "lost":
            self.counts["lost"] += 1
            await asyncio.sleep(30)
            raise Dropped
        await asyncio.sleep(ANSWER_S * self.slowness)
        return outcome

    async def later(self, delay, name, body):
        await asyncio.sleep(delay)
        status, _ = await self.commit(name, body)
        self.record.add("late-write", node=name, status=status, keys=[row["key"] for row in body["write"]])

    async def commit(self, name, body):
        async with self.turn:
            await asyncio.sleep(TRANSACTION_S * self.slowness)
            expected = body.get("expected", [])
            current = [self.row(row["tableName"], row["key"]) for row in expected]
            if any(row["schemaVersion"] != wanted["schemaVersion"] for row, wanted in zip(current, expected)):
                return 412, dict(rows=current, **self.head())
            self.version += 1
            for row in body.get("write", []):
                self.set(row["tableName"], row["key"], row["value"])
            for row in body.get("remove", []):
                self.set(row["tableName"], row["key"], None)
            for row in body.get("write", []):
                if row["tableName"] == "progress":
                    self.record.add("stored", node=name, job=row["key"])
        await self.notify()
        return 200, self.head()


class Board:
    """What the minions share: which gangs are whole."""

    def __init__(self):
        self.members = {}

    def key(self, run):
        return run.task.rsplit(".", 1)[0], run.attempt


class Run:
    def __init__(self, task, attempt, spec, minion):
        self.task, self.attempt, self.spec, self.minion = task, attempt, spec, minion
        self.started = time.monotonic()
        self.worked_since = None if spec.get("gang") else self.started
        self.line = None


class Minion:
    """A minion: runs what it is told to under a lease, and lists it. A task's `spec` is JSON: `ms`, `gang` (its
    number of members), `how` (its end), `size` (cpu, memMb, gpu)."""

    def __init__(self, site, number, pool, ip, host, zone="col-a", rack="r1-1", cpu=16000, mem=32768, guards=True):
        self.site, self.record, self.store = site, site.record, site.store
        self.number, self.pool, self.ip, self.host, self.zone, self.rack = number, pool, ip, host, zone, rack
        self.cpu, self.mem, self.guards = cpu, mem, guards
        self.id, self.life = None, 0
        self.up, self.state, self.server = False, "ready", None
        self.judge = None
        self.beat_task = None
        self.connections = set()

    async def begin(self, keep_id=False, first_beat_s=0.0):
        """Starts a life of the minion; with a new id unless it keeps the one that it had. Its first entry is in the
        store after `first_beat_s`."""
        self.life += 1
        if not keep_id or self.id is None:
            self.id = f"i-{self.number:02d}-{self.life}-{random.randrange(16**6):06x}"
        self.born, self.clock_start = int(time.time() * 1000), time.monotonic()
        self.fence, self.active, self.ended, self.next_number, self.stopped = 0, {}, [], 1, {}
        self.lease_end, self.sequence, self.up, self.state = 0.0, 0, True, "ready"
        self.event = asyncio.Event()
        self.record.add("minion", id=self.id, host=self.host, what="up", pool=self.pool)
        if self.server is None:
            self.server = await serve(self.ip, MINION, self.handle, self.connections)
        loop = asyncio.get_running_loop()
        self.beat_task = loop.create_task(self.beat(self.life, first_beat_s))
        loop.create_task(self.tick(self.life))

    def clock(self):
        return int((time.monotonic() - self.clock_start) * 1000)

    def entry(self):
        self.sequence += 1
        return dict(
            service=self.pool, address=f"{self.ip}:{MINION}", zone=self.zone, version="1", capacity=8,
            state=self.state, warmupLeftMs=0, sequence=self.sequence, born=self.born,
            freeCapacity=dict(cpu=self.cpu, memMb=self.mem, gpu=0), labels=["a", self.rack],
        )

    async def beat(self, life, first_beat_s):
        await asyncio.sleep(first_beat_s)
        while self.up and self.life == life:
            await self.store.put("servers", self.id, self.entry())
            await asyncio.sleep(1.5)

    async def crash(self, entry_s=4.5):
        """Ends everything at once; the entry is removed after three heartbeats of silence."""
        self.up = False
        self.record.add("minion", id=self.id, host=self.host, what="crash")
        for run in list(self.active.values()):
            self.finish(run, "crash")
        self.active = {}
        old, life = self.id, self.life

        async def remove():
            await asyncio.sleep(entry_s)
            if self.id != old or self.life == life:
                await self.store.put("servers", old, None)

        asyncio.get_running_loop().create_task(remove())

    async def tick(self, life):
        while self.up and self.life == life:
            now = time.monotonic()
            if self.active and self.clock() >= self.lease_end:
                for run in list(self.active.values()):
                    self.end(run, "lapsed")
            for run in list(self.active.values()):
                if run.worked_since is None:
                    if now - run.started > BOUNDS["gangTimeoutMs"] / 1000:
                        self.end(run, "alone")
                elif run.spec.get("ms") is not None and now - run.worked_since >= run.spec["ms"] / 1000:
                    if run.spec.get("gang"):
                        for other in list(self.site.board.members.get(self.site.board.key(run), {}).values()):
                            other.minion.end(other, run.spec.get("how", "done"))
                    else:
                        self.end(run, run.spec.get("how", "done"))
            await asyncio.sleep(0.01)

    def finish(self, run, how):
        run.line["to"], run.line["how"] = round(self.record.now(), 4), how
        key = self.site.board.key(run)
        members = self.site.board.members.get(key, {})
        members.pop(run.task, None)
        if run.spec.get("gang") and how != "done" and run.worked_since is not None:
            # The others of a gang that works end with it.
            for other in list(members.values()):
                members.pop(other.task, None)
                other.minion.end(other, "broken")

    def end(self, run, how):
        if self.active.get(run.task) is not run:
            return
        del self.active[run.task]
        self.stopped[run.task] = max(self.stopped.get(run.task, 0), run.attempt)
        self.ended.append([self.next_number, run.task, run.attempt, how, ""])
        self.record.add("end", minion=self.id, task=run.task, attempt=run.attempt, how=how, number=self.next_number)
        self.next_number += 1
        self.finish(run, how)
        self.event.set()

    async def handle(self, method, path, query, headers, body):
        if not self.up:
            raise Dropped
        life = self.life
        verdict = self.judge(path, body) if self.judge else None
        if verdict:
            what, delay = verdict
            if what == "late":
                asyncio.get_running_loop().create_task(self.later(delay, life, path, headers, body))
                await asyncio.sleep(30)
                raise Dropped
            if what == "hang":
                await asyncio.sleep(delay)
                raise Dropped
        return await self.carry_out(path, headers, body, life)

    async def later(self, delay, life, path, headers, body):
        await asyncio.sleep(delay)
        if self.up:
            status, _ = await self.carry_out(path, headers, body, self.life)
            self.record.add("late-order", minion=self.id, path=path, status=status, task=body.get("task"),
                            attempt=body.get("attempt"))

    async def carry_out(self, path, headers, body, life):
        expected = headers.get("x-snipevane-expect-instance")
        if expected is not None and expected != self.id:
            return 421, None
        fence = body.get("fencingToken", 0)
        if fence < self.fence:
            return 409, dict(clockMs=self.clock(), reason="fence")
        self.fence = fence
        if path == "/hold":
            return await self.hold(body, life)
        if path == "/run-start":
            return self.start(body)
        if path == "/run-stop":
            run = self.active.get(body["task"])
            self.stopped[body["task"]] = max(self.stopped.get(body["task"], 0), body["attempt"])
            self.record.add("stop", minion=self.id, task=body["task"], attempt=body["attempt"], fence=fence)
            if run and run.attempt == body["attempt"]:
                asyncio.get_running_loop().call_later(0.02, self.end, run, "stopped")
            return 200, dict(clockMs=self.clock())
        if path == "/pace":
            return 200, dict(clockMs=self.clock())
        return 404, None

    def extend(self, deadline):
        if deadline is not None:
            self.lease_end = max(self.lease_end, min(deadline, self.clock() + BOUNDS["holdMaxMs"]))

    def used(self, what):
        return sum(run.spec.get("size", {}).get(what, 0) for run in self.active.values())

    def start(self, body):
        task, attempt, spec = body["task"], body["attempt"], json.loads(body["spec"])
        step = int(task.split(".")[2])
        spec = dict(spec, **spec.get("steps", {}).get(str(step), {}))
        refuse = lambda reason: (409, dict(clockMs=self.clock(), reason=reason))
        if body["deadlineMs"] <= self.clock():
            return refuse("late")
        present = self.active.get(task)
        if present and present.attempt == attempt:
            self.extend(body["deadlineMs"])
            return 200, dict(clockMs=self.clock())
        if present or attempt <= self.stopped.get(task, 0):
            self.extend(body["deadlineMs"])
            return refuse("old")
        size = spec.get("size", {})
        over = self.used("cpu") + size.get("cpu", 0) > self.cpu or self.used("memMb") + size.get("memMb", 0) > self.mem
        if over and self.guards:
            self.extend(body["deadlineMs"])
            return refuse("room")
        if self.site.tickets is not None:
            reason = self.site.tickets(self, task, body.get("grantToken"))
            if reason:
                return refuse(reason)
        self.extend(body["deadlineMs"])
        run = Run(task, attempt, spec, self)
        run.line = self.record.add("run", minion=self.id, host=self.host, task=task, attempt=attempt,
                                   fence=body["fencingToken"], over=over, to=None, how=None)
        self.active[task] = run
        if spec.get("gang"):
            members = self.site.board.members.setdefault(self.site.board.key(run), {})
            members[task] = run
            if len(members) == spec["gang"]:
                for member in members.values():
                    member.worked_since = time.monotonic()
        if spec.get("crash"):
            asyncio.get_running_loop().call_later(0.05, lambda: asyncio.ensure_future(self.crash()))
        return 200, dict(clockMs=self.clock())

    async def hold(self, body, life):
        self.extend(body.get("deadlineMs"))
        ack = body.get("ackCursor", 0)
        taken = [end for end in self.ended if end[0] <= ack]
        for end in taken:
            self.record.add("noted", minion=self.id, task=end[1], attempt=end[2], how=end[3])
        self.ended = [end for end in self.ended if end[0] > ack]
        until = time.monotonic() + min(body.get("waitMs", 0), 2000) / 1000
        while not self.ended and time.monotonic() < until and self.up and self.life == life:
            self.event.clear()
            try:
                await asyncio.wait_for(self.event.wait(), max(0.001, until - time.monotonic()))
            except asyncio.TimeoutError:
                break
        if not self.up or self.life != life:
            raise Dropped
        active = [[run.task, run.attempt, "", self.percent(run), 0] for run in self.active.values()]
        return 200, dict(clockMs=self.clock(), born=self.born, active=active, finished=self.ended[:500])

    def percent(self, run):
        if run.worked_since is None:
            return 0
        worked = (time.monotonic() - run.worked_since) * 1000
        if run.spec.get("ms") is None or run.spec.get("lasts"):
            return 100 if worked > 300 else 50
        return min(99, int(worked * 100 / max(1, run.spec["ms"])))


class Cloud:
    """The platform's VM API. It moves and takes down no VM by itself."""

    def __init__(self, site):
        self.site = site
        self.state = {}

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(0.004)
        if path == "/machines":
            machines = []
            for minion in self.site.minions:
                state = self.state.get(minion.host, "up" if minion.up else "down")
                machine = dict(hostMachine=minion.host, pool=minion.pool, state=state, zone=minion.zone,
                               labels=["a", minion.rack], freeCapacity=dict(cpu=minion.cpu, memMb=minion.mem, gpu=0))
                if minion.up and state == "up":
                    machine["id"] = minion.id
                machines.append(machine)
            return 200, dict(machines=machines)
        minion = next((m for m in self.site.minions if m.host == body["hostMachine"]), None)
        if minion is None:
            return 400, None
        self.site.record.add("cloud", path=path, body=body, holder=headers.get("x-snipevane-duty-holder"),
                             fence=headers.get("x-snipevane-fencing-token"))
        if not minion.up or self.state.get(minion.host, "up") != "up":
            return 409, dict(reason="busy")
        if path == "/machine-move" and minion.pool == body["pool"]:
            return 200, dict()
        upkeep = path == "/machine-upkeep"
        self.state[minion.host] = "upkeep" if upkeep else "moving"
        await minion.crash(0.0)

        async def back():
            await asyncio.sleep(BOUNDS["maintenanceS"] if upkeep else BOUNDS["migrationS"])
            if not upkeep:
                minion.pool = body["pool"]
            self.state.pop(minion.host, None)
            await minion.begin()

        asyncio.get_running_loop().create_task(back())
        return 200, dict()


class Node:
    """A daemon on an entry VM of its own address."""

    def __init__(self, site, number, ip, store_ip, zone):
        self.site, self.ip, self.store_ip, self.zone = site, ip, store_ip, zone
        self.name = f"edge-{zone}-{number}"
        self.process = None
        self.settings = os.path.join(site.folder, f"{self.name}.toml")
        self.log = open(os.path.join(site.folder, f"{self.name}.log"), "ab")

    def write_settings(self):
        bounds = "\n".join(f"{name} = {json.dumps(value)}" for name, value in BOUNDS.items())
        with open(self.settings, "w") as file:
            file.write(f'''nodeName = "{self.name}"
role = "entry"
machineClass = "edge"
serves = ["edge"]
ip = "{self.ip}"
zone = "{self.zone}"
region = "lk-west"
internalPortRange = [7000,7015]
seeds = []
bootstrap = true
inTolerance = true
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","quota","platform","advice","upkeep","sharing"]
controlMode = "invocation"
advisor = "{self.site.cloud_ip}:8345"
[zones]
col-a = "lk-west"
col-b = "lk-west"
kdy-a = "lk-west"
[bindAddresses]
frontend = "{self.ip}:{FRONTEND}"
ready = "{self.ip}:{READY}"
controlPlane = "{self.ip}:{CONTROL}"
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
[bounds]
{bounds}
[platform]
address = "{self.store_ip}:{STORE}"
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
address = "{self.site.cloud_ip}:{STORE}"
ratePerS = 64.0
duties = []
dutyPerS = 64.0
''')

    def start(self):
        self.write_settings()
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["SNIPEVANE_SETTINGS"] = self.settings
        self.process = subprocess.Popen(
            [PROGRAM, "--metrics-port", "7001"], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
            stdout=self.log, stderr=self.log)
        self.site.record.add("node", node=self.name, what="start", pid=self.process.pid)

    def signal(self, number):
        self.site.record.add("node", node=self.name, what=signal.Signals(number).name)
        self.process.send_signal(number)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()
            self.site.record.add("node", node=self.name, what="killed")


class Site:
    """Daemons with everything that they talk to."""

    def __init__(self, nodes=3, minions=6, pools=("closeboard",), tenants=("acme",), seed=None):
        self.record = Record()
        self.random = random.Random(seed)
        self.store = Store(self.record)
        self.board = Board()
        self.tickets = None
        self.advisor = None
        self.folder = tempfile.mkdtemp(prefix="snipevane-review-")
        net = f"127.{random.SystemRandom().randrange(20, 250)}.{random.SystemRandom().randrange(1, 250)}"
        self.cloud_ip = f"{net}.3"
        zones = ["col-a", "col-b", "kdy-a"]
        self.nodes = [Node(self, n // 3 + 1, f"{net}.{10 + n}", f"{net}.{40 + n}", zones[n % 3]) for n in range(nodes)]
        self.minions = [
            Minion(self, n, pools[n % len(pools)], f"{net}.{100 + n}", f"h-{n:02d}", zones[n % 3], f"r1-{n // 4}")
            for n in range(minions)
        ]
        self.pools, self.tenants = pools, tenants
        self.cloud = Cloud(self)
        self.version = 0
        self.caps = {}
        self.queue_terms = {}
        self.enforces = True

    def configuration(self):
        self.version += 1
        routes = [
            dict(dict(name=f"q-{pool}", host=f"{pool}.example", pathPrefix=f"/{pool}/", service=pool, priority=0,
                      maxAttempts=3, slackFactor=1.6, targetLatencyMs=600, public=False), **self.queue_terms)
            for pool in self.pools
        ]
        tenants = [
            dict(name=name, apiKeys=[f"key-{name}"], weight=0, cap=self.caps.get(name, dict(cpu=0, memMb=0, gpu=0)))
            for name in self.tenants
        ]
        return dict(version=self.version, routes=routes, tenants=tenants,
                    services=[dict(name=pool, enforceCapacity=self.enforces) for pool in self.pools],
                    limits=dict(maxBodyBytes=262144, maxHeaderBytes=16384))

    async def start(self):
        for node in self.nodes:
            await self.store.listen(node.store_ip, node.name)
        self.servers = [await serve(self.cloud_ip, STORE, self.cloud.handle)]
        if self.advisor:
            self.servers.append(await serve(self.cloud_ip, 8345, self.advisor))
        await self.store.put("op", "config", self.configuration())
        for minion in self.minions:
            await minion.begin()
        for node in self.nodes:
            node.start()
        end = time.monotonic() + 15
        while time.monotonic() < end:
            ready = [await request(node.ip, READY, "GET", "/readyz", timeout=1) for node in self.nodes]
            if all(answer and answer[0] == 200 for answer in ready) and self.holder():
                self.record.add("ready")
                # The seconds before the traffic: the daemons find each other, and each minion is known.
                await asyncio.sleep(3)
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the site doesn't become ready")

    def holder(self):
        """Returns the node that the scheduler's row names."""
        row = self.store.get("schedulers", "all")
        return next((node for node in self.nodes if row and node.name == row.get("holder")), None)

    def others(self, node):
        return [other for other in self.nodes if other is not node]

    async def call(self, node, method, pool, job, body=None, key="acme", timeout=3.0, leaves_s=None):
        """Sends a client's call and records it with its answer. The client waits for `timeout`, or leaves earlier."""
        line = self.record.add("call", node=node.name, method=method, job=job, status=None)
        headers = {"Host": f"{pool}.example", "X-Api-Key": f"key-{key}",
                   "X-Snipevane-Deadline-Ms": str(int(timeout * 1000))}
        answer = await request(node.ip, FRONTEND, method, f"/{pool}/{job}", headers, body, leaves_s or timeout)
        line["answered"] = round(self.record.now(), 4)
        line["status"] = answer[0] if answer else None
        line["state"] = answer[1].get("state") if answer and isinstance(answer[1], dict) else None
        return line

    def close(self):
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                try:
                    node.process.send_signal(signal.SIGCONT)
                except ProcessLookupError:
                    pass
                node.process.kill()
                node.process.wait()
            node.log.close()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


def job_id():
    return f"{random.SystemRandom().randrange(16**16):016x}"


def play(case, folder):
    """Runs a case; exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.

    The record goes to the file that the command line names, `record.txt` if it names none, also if the case is ended by
    SIGTERM or SIGINT. All processes that it started are ended.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record_path = os.path.join(folder, sys.argv[1] if len(sys.argv) > 1 else "record.txt")

    async def run():
        site = await case.site()
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            try:
                await site.start()
                verdict = await asyncio.wait_for(case.run(site, trouble), 100)
            finally:
                site.close()
                site.record.write(record_path)
            return verdict
        except asyncio.CancelledError:
            print("ended by a signal", file=sys.stderr)
            return 2
        except Exception as error:  # noqa: BLE001
            print(f"couldn't run: {error!r}", file=sys.stderr)
            return 2

    code = asyncio.run(run())
    print({0: "the rule held", 1: "the rule was broken", 2: "the case couldn't run"}[code])
    sys.exit(code)
