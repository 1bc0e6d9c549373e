"""Stand-ins of the platform, the executors and the clients for the scripts of the third review.

One event loop serves the metadata store and all executors on loopback addresses and starts the project's own program as
separate processes, with the command of the deploy file. Only the standard library is used.

The stand-ins follow PROTOCOL.md of the users' pages. Where a page is silent, they do what a sound server does.
"""
import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
from urllib.parse import parse_qsl, urlsplit

HOLD_MAX_MS = 6000
STOP_MS = 400
HEARTBEAT_S = 1.1
ZONES = ["windhoek-depot", "okahandja-yard", "gamsberg-post"]
HOST = "nony24.example"
PREFIX = "/lohu930/"
SERVICE = "huvo11a"

BOUNDS = {
    "seed-lag-s": 3, "addr-reuse-s": 2, "stable-window-ms": 3000, "ack-ms": 4000, "catch-up-s": 4, "drain-ms": 2000,
    "grace-s": 6, "loss-slack-ms": 200, "config-apply-ms": 2000, "rollback-slack-ms": 250, "max-skew-ms": 5000,
    "cold-overage": 1.5, "cold-slack": 5, "evac-ms": 5000, "recover-s": 12, "hold-max-ms": HOLD_MAX_MS,
    "stop-ms": STOP_MS, "gang-timeout-ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250,
    "finish_s": 14, "status_s": 120, "far-factor": 3, "checkpoint-s": 1, "restore-ms": 600, "notice-ms": 4500,
    "move-s": 1.5, "upkeep-s": 2, "fencing-enforced": True, "lease-ms": 3000, "thaw-slack-ms": 300, "pace-ms": 100,
    "harm-ms": 4000,
}


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} s  {text}\n")
        self.file.flush()


async def read_request(reader):
    """Returns method, target, headers and body of the next request; None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *rest = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in rest:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return method, target, headers, body


class Server:
    """HTTP/1.1 server on one loopback address. `handle` returns (status, body), or None to leave a request unanswered."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.address = None
        self.writers = set()

    async def start(self, address=None):
        host, port = address or ("127.0.0.1", 0)
        self.server = await asyncio.start_server(self.serve, host, port)
        self.address = self.server.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                answer = await self.handle(*request)
                if answer is None:
                    await asyncio.sleep(60)
                    return
                status, body = answer
                data = json.dumps(body).encode()
                head = f"HTTP/1.1 {status} S\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        """Closes the port and all connections, as the end of a process does."""
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store:
    """The platform's metadata store, `table` form."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.version = 100
        # Its answers take this many times as long.
        self.slow = 1.0
        # When each partition has applied the transactions that wait for it.
        self.busy_until = {}
        self.changed = asyncio.Event()
        self.began = time.monotonic()
        self.server = Server(self.handle)

    def now_ms(self):
        return int((time.monotonic() - self.began) * 1000) + 5000

    def put(self, table, key, value, part=""):
        self.version += 1
        data = base64.b64encode(json.dumps(value).encode()).decode()
        self.rows[(table, part, key)] = (self.version, data)
        self.notify()

    def remove(self, table, key, part=""):
        if (table, part, key) in self.rows:
            self.version += 1
            self.rows[(table, part, key)] = (self.version, None)
            self.notify()

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def entry(self, row):
        version, data = self.rows[row]
        entry = {"table": row[0], "part": row[1], "key": row[2], "ver": version}
        return {**entry, "tombstone": True} if data is None else {**entry, "value": data}

    def value(self, table, key, part=""):
        data = self.rows.get((table, part, key), (0, None))[1]
        return None if data is None else json.loads(base64.b64decode(data))

    async def handle(self, method, target, headers, body):
        url = urlsplit(target)
        query = dict(parse_qsl(url.query, keep_blank_values=True))
        if url.path == "/rows-tx":
            await self.take_turn(json.loads(body), 0.006 * self.slow)
            return self.transact(json.loads(body))
        await asyncio.sleep(0.004 * self.slow)
        if url.path == "/rows-get":
            return self.read(query)
        if url.path == "/rows-feed":
            return await self.feed(query)
        return 404, {}

    async def take_turn(self, call, seconds):
        """A partition applies one transaction after the other."""
        entries = [entry for kind in ("expected-rev", "writes", "remove") for entry in call.get(kind, [])]
        part = entries[0].get("part", "") if entries else ""
        now = time.monotonic()
        self.busy_until[part] = max(now, self.busy_until.get(part, 0.0)) + seconds
        await asyncio.sleep(self.busy_until[part] - now)

    def transact(self, call):
        def row(entry):
            return entry["table"], entry.get("part", ""), entry["key"]

        def current(entry):
            version, data = self.rows.get(row(entry), (0, None))
            return version if data is not None else 0

        expected = call.get("expected-rev", [])
        if any(current(entry) != entry["ver"] for entry in expected):
            rows = [self.entry(row(entry)) for entry in expected if current(entry)]
            return 412, {"ver": self.version, "now-ms": self.now_ms(), "rows": rows}
        if any(row(entry)[0] in ("op", "servers") for entry in call.get("writes", []) + call.get("remove", [])):
            return 403, {}
        self.version += 1
        for entry in call.get("writes", []):
            self.rows[row(entry)] = (self.version, entry["value"])
        for entry in call.get("remove", []):
            if row(entry) in self.rows:
                self.rows[row(entry)] = (self.version, None)
        self.notify()
        return 200, {"ver": self.version, "now-ms": self.now_ms()}

    def read(self, query):
        table, part = query["table"], query.get("part", "")
        start, end, limit = query.get("from", ""), query.get("target", ""), int(query.get("limit", 500))
        keys = sorted(
            row for row in self.rows
            if row[0] == table and row[1] == part and row[2] >= start and (not end or row[2] < end)
            and self.rows[row][1] is not None
        )
        rows = [self.entry(row) for row in keys[:limit]]
        return 200, {"rows": rows, "has-more": len(keys) > limit, "ver": self.version, "now-ms": self.now_ms()}

    async def feed(self, query):
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + int(query.get("wait-ms", 0)) / 1000
        while True:
            changed = [row for row in self.rows if row[0] == table and self.rows[row][0] > after]
            left = until - time.monotonic()
            if changed or left <= 0:
                changed.sort(key=lambda row: self.rows[row][0])
                rows = [self.entry(row) for row in changed]
                return 200, {"rows": rows, "ver": self.version, "now-ms": self.now_ms()}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Run:
    """One start of a task on an executor. `spec` is JSON: ms (work), how (done or failed), lasts."""

    def __init__(self, task, number, spec, checkpoint, began):
        self.task, self.number, self.spec, self.checkpoint, self.began = task, number, spec, checkpoint, began
        self.work = json.loads(spec)
        self.ends_at = began + self.work.get("ms", 1000) / 1000
        self.stops_at = None

    def percent(self, now):
        return min(99, int(100 * (now - self.began) / max(0.001, self.ends_at - self.began)))


class Executor:
    """One executor; a restart makes a new incarnation, under the same ID or a new one."""

    def __init__(self, platform, zone, rack, cpu=8000, mem=32000):
        self.platform, self.zone, self.rack = platform, zone, rack
        self.capacity = {"cpu": cpu, "mem-mb": mem, "gpu": 0}
        self.address = None
        self.server = None
        self.id = None
        self.is_up = False
        self.seq = 0
        # Runs whose outcome the scenario decides, by a function of (executor, run) that returns (seconds, how) or None.
        self.outcome = None

    async def start(self, keep_id=False):
        if not keep_id or self.id is None:
            self.id = "i-" + os.urandom(5).hex()
        self.born_ms = int(time.time() * 1000)
        self.born = time.monotonic()
        self.fence, self.lease_ms, self.acked, self.next_end = 0, 0, 0, 1
        self.active, self.finished, self.barred = {}, [], {}
        self.ended = asyncio.Event()
        if self.server:
            self.server.stop()
        self.server = Server(self.handle)
        await self.server.start(self.address)
        self.address = self.server.address
        self.is_up = True
        self.beat()
        self.platform.record(f"executor {self.id} is up at {self.address[0]}:{self.address[1]}, born {self.born_ms}")

    def crash(self, dark=False):
        """Ends the executor with all that it runs. Nothing is sent. A dark one doesn't even reset its connections."""
        lost = [f"{run.task}:{run.number}" for run in self.active.values()]
        for run in self.active.values():
            self.platform.on_end(self, run, "lost")
        self.platform.record(f"executor {self.id} crashes with {len(lost)} runs, the first of them {lost[:3]}")
        self.is_up = False
        self.active = {}
        if not dark:
            self.server.stop()
        self.down_since = time.monotonic()

    def clock_ms(self):
        return int((time.monotonic() - self.born) * 1000) + 1

    def beat(self):
        self.seq += 1
        self.platform.store.put("servers", self.id, {
            "service": SERVICE, "address": f"{self.address[0]}:{self.address[1]}", "zone": self.zone, "version": "v1",
            "slots": 8, "state": "ready", "cold-remaining-ms": 0, "capacity": self.capacity,
            "labels": ["a", self.rack], "clock-ms": self.clock_ms(), "seq": self.seq, "born": self.born_ms,
        })

    def end(self, run, how):
        del self.active[run.task]
        self.barred[run.task] = max(run.number, self.barred.get(run.task, 0))
        self.finished.append([self.next_end, run.task, run.number, how, run.checkpoint])
        self.next_end += 1
        self.platform.on_end(self, run, how)
        self.ended.set()
        self.ended = asyncio.Event()

    def advance(self):
        now = time.monotonic()
        if self.active and self.clock_ms() > self.lease_ms:
            for run in list(self.active.values()):
                self.end(run, "lapsed")
        for run in list(self.active.values()):
            if run.stops_at is not None and now >= run.stops_at:
                self.end(run, "stopped")
            elif run.stops_at is None and not run.work.get("lasts") and now >= run.ends_at:
                self.end(run, run.work.get("how", "done"))

    def take_lease(self, deadline):
        if deadline:
            self.lease_ms = max(self.lease_ms, min(deadline, self.clock_ms() + HOLD_MAX_MS))

    async def handle(self, method, target, headers, body):
        life = self.born
        answer = await self.carry_out(target, headers, body) if self.is_up else None
        # An executor that has crashed meanwhile does not answer.
        return answer if self.is_up and self.born == life else None

    async def carry_out(self, target, headers, body):
        if target == "/health":
            return 200, {}
        expected = headers.get("x-expect-instance")
        if expected and expected != self.id:
            return 421, {}
        call = json.loads(body or b"{}")
        self.advance()
        if call.get("fencing-token", 0) < self.fence:
            return 409, self.answer(reason="fence")
        self.fence = call.get("fencing-token", 0)
        if target == "/hold":
            return await self.hold(call)
        if target == "/run-start":
            return await self.platform.on_start_call(self, call)
        if target == "/run-stop":
            return self.stop_run(call)
        if target == "/pace":
            return 200, self.answer()
        return 404, {}

    def answer(self, **fields):
        return {"clock-ms": self.clock_ms(), **fields}

    async def hold(self, call):
        self.take_lease(call.get("deadline-ms"))
        self.finished = [end for end in self.finished if end[0] > call.get("ack-cursor", 0)]
        self.acked = max(self.acked, call.get("ack-cursor", 0))
        if call.get("wait-ms") and not self.finished:
            try:
                await asyncio.wait_for(self.ended.wait(), call["wait-ms"] / 1000)
            except asyncio.TimeoutError:
                pass
        now = time.monotonic()
        active = [
            [run.task, run.number, run.checkpoint, 100 if run.work.get("lasts") else run.percent(now), 0]
            for run in self.active.values()
        ]
        return 200, self.answer(active=active, finished=self.finished[:500], born=self.born_ms)

    def start_run(self, call):
        task, number = call["task"], call["run"]
        current = self.active.get(task)
        if current and current.number == number:
            return 200, self.answer()
        if call["deadline-ms"] <= self.clock_ms():
            return 409, self.answer(reason="late")
        self.take_lease(call["deadline-ms"])
        if current or number <= self.barred.get(task, 0):
            return 409, self.answer(reason="old")
        run = Run(task, number, call["spec"], call.get("checkpoint", ""), time.monotonic())
        self.active[task] = run
        self.platform.on_started(self, run)
        return 200, self.answer()

    def stop_run(self, call):
        task, number = call["task"], call["run"]
        self.barred[task] = max(number, self.barred.get(task, 0))
        run = self.active.get(task)
        if run and run.number <= number and run.stops_at is None:
            run.stops_at = time.monotonic() + STOP_MS / 2000
        return 200, self.answer()


class Node:
    """A process of the system, started with the command of the deploy file."""

    def __init__(self, platform, index):
        self.platform, self.index = platform, index
        self.zone = ZONES[index % len(ZONES)]
        self.name = f"edge-{self.zone}-{index // len(ZONES) + 1}"
        self.folder = tempfile.mkdtemp(prefix="review3-")
        self.process = None
        # An address of its own, since the metrics port of the deploy file is fixed.
        self.ip = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}.{random.randint(2, 250)}"
        self.front, self.ready = (self.ip, free_port(self.ip)), (self.ip, free_port(self.ip))

    async def start(self):
        store = self.platform.store.server.address
        settings = {
            "node-name": self.name, "role": "entry", "machine-class": "edge", "serves": ["edge"], "ip": self.ip,
            "zone": self.zone, "region": "khomas", "zones": {zone: "khomas" for zone in ZONES},
            "listen": {"front": f"{self.ip}:{self.front[1]}", "readiness": f"{self.ip}:{self.ready[1]}"},
            "bootstrap": True, "failure-counted": False, "data-dir": None, "discovery": "platform", "entry": "vip",
            "limits": {"cpu-share": 0.25, "cores": 1, "memory-mb": 260, "max-fds": 4100, "link-mbps": 1000.0,
                       "disk-mb": 0},
            "heartbeat-ms": 1100, "fault-tolerance": {"machines": 1, "zones": 1, "regions": 0}, "bounds": BOUNDS,
            "orders": "invocation",
            "platform": {"address": f"{store[0]}:{store[1]}", "form": "table", "writes-per-s": 600,
                         "reads-per-s": 2000, "tx-ms": 6.0, "partition-writes-s": 200, "row-bytes": 65536,
                         "across": False, "history-s": 20, "blob-bytes": 8388608, "blob-ms": 25.0, "blob-mb-s": 80.0},
        }
        path = os.path.join(self.folder, "node.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        with open(os.path.join(self.platform.root, "deploy/system.toml"), encoding="utf-8") as file:
            command = re.search(r'^run = "(.*)"$', file.read(), re.MULTILINE).group(1).split()
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        log = open(os.path.join(self.folder, "log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=self.platform.root, env={**env, "PLANTAINLEVER_NODE_FILE": path}, stdout=log, stderr=log)
        log.close()
        self.platform.record(f"process {self.name} starts, pid {self.process.pid}")

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.platform.record(f"process {self.name} gets {signal.Signals(number).name}")
            self.process.send_signal(number)

    def log(self):
        try:
            with open(os.path.join(self.folder, "log"), encoding="utf-8", errors="replace") as file:
                return file.read()
        except OSError:
            return ""

    async def close(self):
        if self.process and self.process.returncode is None:
            try:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            except ProcessLookupError:
                pass
            await self.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


async def call(address, method, path, body=None, deadline_ms=3000, host=HOST):
    """Sends a client's request. Returns (status, body), or (None, cause) without an answer."""
    data = json.dumps(body).encode() if body is not None else b""

    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write((f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Deadline-Ms: {deadline_ms}\r\n"
                          f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\nConnection: close\r\n\r\n"
                          ).encode() + data)
            head = await reader.readuntil(b"\r\n\r\n")
            length = [line for line in head.decode().lower().split("\r\n") if line.startswith("content-length:")]
            text = await reader.readexactly(int(length[0].split(":")[1]) if length else 0)
            return int(head.split(b" ")[1]), json.loads(text or b"null")
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), deadline_ms / 1000)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError) as error:
        return None, type(error).__name__


def route(name="r-3hwrr6x", prefix=PREFIX, attempts=4, priority=0):
    return {"name": name, "host": HOST, "path-prefix": prefix, "kind": "non_idempotent", "timeout-ms": 3000,
            "target-latency-ms": 250, "priority": priority, "service": SERVICE, "attempts": attempts, "stretch": 1.5}


class Platform:
    """A small deployment: the store, executors on three racks, and processes of the system."""

    def __init__(self, folder, nodes=3, executors=12, cpu=8000, mem=32000):
        self.root = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "../.."))
        self.record = Record(os.path.join(folder, "record.txt"))
        self.store = Store(self.record)
        self.nodes = [Node(self, index) for index in range(nodes)]
        self.executors = [Executor(self, ZONES[i % 3], f"r{i % 3 + 1}-1", cpu, mem) for i in range(executors)]
        self.version = 0
        self.starts, self.ends = [], []
        self.last_answers = {}
        self.on_start_call = self.default_start

    async def default_start(self, executor, call):
        return executor.start_run(call)

    def on_started(self, executor, run):
        self.starts.append((time.monotonic(), executor, run))
        self.record(f"start of {run.task} run {run.number} on {executor.id}")

    def on_end(self, executor, run, how):
        self.ends.append((time.monotonic(), executor, run, how))
        self.record(f"end of {run.task} run {run.number} on {executor.id}: {how}")

    def config(self, routes):
        self.version += 1
        self.record(f"the operator writes configuration {self.version} with routes {[r['name'] for r in routes]}")
        self.store.put("op", "config", {
            "version": self.version, "routes": routes,
            "services": [{"name": SERVICE, "health-path": "/health", "max-conns": 64, "protocol": "h1", "tls": False,
                          "cold-start-s": 0.0, "cold-per-s": 0.0, "enforces-capacity": False, "spare": False}],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000,
                       "idle-timeout-ms": 15000}})

    async def start(self, routes):
        await self.store.server.start()
        self.config(routes)
        for executor in self.executors:
            await executor.start()
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.advance())]
        for node in self.nodes:
            await node.start()

    async def beat(self):
        """Heartbeats of the executors; an entry goes after three intervals of silence."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for executor in self.executors:
                if executor.is_up:
                    executor.beat()
                elif time.monotonic() - executor.down_since >= 3 * HEARTBEAT_S:
                    self.store.remove("servers", executor.id)

    async def advance(self):
        while True:
            await asyncio.sleep(0.01)
            for executor in self.executors:
                if executor.is_up:
                    executor.advance()

    async def until(self, condition, seconds, what):
        """Waits for a condition. Raises CannotRun if it does not hold in time."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            value = condition()
            if asyncio.iscoroutine(value):
                value = await value
            if value:
                return value
            await asyncio.sleep(0.02)
        raise CannotRun(f"no {what} within {seconds} s")

    async def ready(self):
        async def are_ready():
            answers = [await call(node.ready, "GET", "/ready", deadline_ms=500) for node in self.nodes]
            return all(status == 200 for status, _ in answers)

        await self.until(are_ready, 20, "ready processes")
        owner = lambda: self.owner() is not None
        await self.until(owner, 20, "owner")
        # All executors are in the owner's copy of the list, and have answered it.
        await asyncio.sleep(3)

    def owner(self):
        """Name of the process that last wrote to the store under a condition; as the platform sees it."""
        for (table, _, key), (_, data) in self.rows_of("owners"):
            if key == "owner" and data:
                name = json.loads(base64.b64decode(data)).get("vm")
                return next((node for node in self.nodes if node.name == name), None)
        return None

    def rows_of(self, table):
        return [(row, value) for row, value in self.store.rows.items() if row[0] == table]

    async def request(self, method, job, body=None, node=None, prefix=PREFIX):
        node = node or self.nodes[0]
        status, answer = await call(node.front, method, prefix + job, body)
        line = f"client: {method} {prefix}{job} at {node.name} -> {status} {json.dumps(answer)}"
        # Clients ask for a state many times; a repeated answer is written once.
        if method != "GET" or self.last_answers.get(job) != line:
            self.record(line)
        if method == "GET":
            self.last_answers[job] = line
        return status, answer

    async def submit(self, job, steps, spec, prefix=PREFIX):
        body = {"spec": json.dumps(spec), "steps": steps}
        for node in self.nodes + self.nodes:
            status, _ = await self.request("POST", job, body, node, prefix)
            if status == 200:
                return
        raise CannotRun("the job was not accepted")

    async def state(self, job, node=None, prefix=PREFIX):
        """The job's state as a client sees it; None without an answer that names one."""
        status, answer = await self.request("GET", job, node=node, prefix=prefix)
        return answer.get("state") if status == 200 else None

    async def close(self):
        for task in getattr(self, "tasks", []):
            task.cancel()
        for node in self.nodes:
            await node.close()
        for executor in self.executors:
            if executor.server:
                executor.server.stop()
        self.store.server.stop()


class CannotRun(Exception):
    """The case could not be brought about."""


def main(file, scenario, **deployment):
    """Runs `scenario(platform, with_trouble)`, which returns a text if the rule was broken, and exits as the issue asks."""
    folder = os.path.dirname(os.path.abspath(file))
    with_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play():
        platform = Platform(folder, **deployment)
        for number in (signal.SIGTERM, signal.SIGINT):
            # The processes are ended before the script is.
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        try:
            broken = await asyncio.wait_for(scenario(platform, with_trouble), 110)
            platform.record(f"RESULT: {'broken: ' + broken if broken else 'the rule held'}")
            print(broken or "the rule held")
            return 1 if broken else 0
        except (CannotRun, OSError, asyncio.TimeoutError) as error:
            platform.record(f"RESULT: the case could not run: {error!r}")
            print(f"the case could not run: {error!r}")
            if os.environ.get("KEEP_LOGS"):
                for node in platform.nodes:
                    print(node.log()[-6000:])
            return 2
        finally:
            if os.environ.get("SHOW"):
                for node in platform.nodes:
                    print("\n".join(l for l in node.log().splitlines() if os.environ["SHOW"] in l)[-6000:])
            await platform.close()

    try:
        code = asyncio.run(play())
    except (Exception, asyncio.CancelledError) as error:
        print(f"the case could not run: {error!r}")
        code = 2
    sys.exit(code)
