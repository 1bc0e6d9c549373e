"""Stand-ins for the users' platform, and helpers for the cases of the second review. Standard library only.

A case starts `plantainlever node` processes with the commands of the deploy file. The store and the executors run on an
event loop of the case's own process, each executor on a port of its own, and follow PROTOCOL.md. Times in the record are
seconds since the start of the case.
"""

import asyncio
import base64
import json
import os
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
BINARY = os.path.join(ROOT, "target", "release", "plantainlever")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "127.0.0.1"
CALLER_HOST = "nony24.example"
STATUS_TEXT = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Precondition Failed",
               421: "Misdirected Request", 503: "Service Unavailable", 400: "Bad Request"}


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for s in sockets:
        s.bind((HOST, 0))
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.began = time.monotonic()

    def seconds(self):
        return time.monotonic() - self.began

    def line(self, text):
        self.file.write(f"{self.seconds():8.3f}  {text}\n")
        self.file.flush()


class HttpServer:
    """HTTP/1.1 server on one port. `handler(method, path, query, headers, body)` returns (status, object)."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.port = None
        self.open = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, HOST, port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.open.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                length = int(headers.get("content-length", 0))
                body = await reader.readexactly(length) if length else b""
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                status, answer = await self.handler(method, url.path, query, headers, body)
                data = json.dumps(answer).encode() if answer is not None else b""
                writer.write(
                    (f"HTTP/1.1 {status} {STATUS_TEXT.get(status, 'Status')}\r\n"
                     f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n").encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()

    def abort(self):
        """Ends as a crashed machine does whose address then refuses connections."""
        if self.server:
            self.server.close()
        for writer in list(self.open):
            writer.transport.abort()
        self.open.clear()


class Store:
    """The platform's metadata store in its table form: linearizable, loses nothing."""

    def __init__(self, record):
        self.record = record
        self.rows = {}  # (table, part, key) -> (ver, value in base64 or None)
        self.ver = 0
        self.began = time.monotonic()
        self.changed = asyncio.Event()
        self.servers = []
        self.owner = None  # newest owner row, decoded; for the choice of the process to disrupt

    async def listen(self):
        """Opens an address of its own for one process, so that a case can tell processes apart."""
        server = HttpServer(self.handle)
        await server.start()
        self.servers.append(server)
        return server.port

    def now_ms(self):
        return int((time.monotonic() - self.began) * 1000) + 1000

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, table, key, value):
        """A write of the operator or of an executor."""
        self.ver += 1
        text = None if value is None else base64.b64encode(json.dumps(value).encode()).decode()
        self.rows[(table, "", key)] = (self.ver, text)
        self.notify()

    def row(self, key, entry):
        ver, value = entry
        row = {"table": key[0], "part": key[1], "key": key[2], "ver": ver}
        if value is None:
            row["tombstone"] = True
        else:
            row["value"] = value
        return row

    def answer(self, **fields):
        return {"ver": self.ver, "now-ms": self.now_ms(), **fields}

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(0.002)
        if path == "/rows-tx":
            return self.transact(json.loads(body))
        if path == "/rows-get":
            table, part = query.get("table", ""), query.get("part", "")
            low, high = query.get("from", ""), query.get("target", "")
            found = sorted(k for k, v in self.rows.items() if k[0] == table and k[1] == part and v[1] is not None
                           and k[2] >= low and (not high or k[2] < high))
            page = [self.row(k, self.rows[k]) for k in found[:500]]
            return 200, self.answer(rows=page, **{"has-more": len(found) > 500})
        if path == "/rows-feed":
            table, after = query["table"], int(query["after"])
            until = time.monotonic() + int(query.get("wait-ms", "0")) / 1000
            while True:
                found = [(v[0], k) for k, v in self.rows.items() if k[0] == table and v[0] > after]
                left = until - time.monotonic()
                if found or left <= 0:
                    return 200, self.answer(rows=[self.row(k, self.rows[k]) for _, k in sorted(found)])
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        return 404, None

    def transact(self, call):
        key = lambda e: (e["table"], e.get("part", ""), e["key"])
        current = lambda k: self.rows[k][0] if k in self.rows and self.rows[k][1] is not None else 0
        conditions = call.get("expected-rev", [])
        if any(current(key(e)) != e.get("ver", 0) for e in conditions):
            rows = [self.row(key(e), self.rows[key(e)]) for e in conditions if current(key(e))]
            return 412, self.answer(rows=rows)
        self.ver += 1
        for e in call.get("writes", []):
            self.rows[key(e)] = (self.ver, e["value"])
            if e["table"] == "owners" and e["key"] == "owner":
                self.owner = json.loads(base64.b64decode(e["value"]))
                self.record.line(f"store: owner row is {self.owner}")
        for e in call.get("remove", []):
            self.rows[key(e)] = (self.ver, None)
        self.notify()
        return 200, self.answer()


class Task:
    def __init__(self, name, run, spec, checkpoint, began):
        self.name, self.run, self.checkpoint, self.began = name, run, checkpoint, began
        # The client's text is opaque to the system: "work-ms [fails-after-ms]".
        words = spec.split()
        self.work_s = int(words[0]) / 1000
        self.fails_s = int(words[1]) / 1000 if len(words) > 1 else None
        self.stopping = False


class Executor:
    """One machine's executors in turn: a restart under the same id begins a new life."""

    def __init__(self, rig, name, rack, cpu=32000, mem=128000, hold_max_s=6.0, stop_s=0.2):
        self.rig, self.name, self.rack, self.cpu, self.mem = rig, name, rack, cpu, mem
        self.hold_max_s, self.stop_s = hold_max_s, stop_s
        self.grey_since = None  # fails all that it starts from then on
        self.server = HttpServer(self.handle)
        # Keeps the port for the next life while nothing listens there, so that connections are refused meanwhile.
        self.reservation = socket.socket()
        self.reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.reservation.bind((HOST, 0))
        self.port = self.reservation.getsockname()[1]
        self.up = False
        self.lives = 0
        self.dark = False  # without power or cut off from the nodes: nothing answers, and connections hang

    async def boot(self):
        self.lives += 1
        self.began = time.monotonic()
        self.born = int(time.time() * 1000)
        self.fence, self.lease = 0, 0.0
        self.active, self.finished, self.ended, self.number = {}, [], {}, 0
        self.event = asyncio.Event()
        self.server = HttpServer(self.handle)
        await self.server.start(self.port)
        self.up = True
        self.rig.record.line(f"{self.name}: up, life {self.lives}, born {self.born}")
        self.list_entry()

    def list_entry(self):
        self.rig.store.put("servers", self.name, {
            "service": self.rig.service, "address": f"{HOST}:{self.port}", "zone": "zone-a", "version": "1",
            "slots": 8, "state": "ready", "cold-remaining-ms": 0, "seq": int((time.monotonic() - self.began) * 10),
            "capacity": {"cpu": self.cpu, "mem-mb": self.mem, "gpu": 0}, "labels": ["a", self.rack], "born": self.born})

    def leave(self):
        """Is lost for good: nothing answers any more, and the entry goes after three heartbeat intervals."""
        self.crash()
        asyncio.get_running_loop().call_later(3.3, self.rig.store.put, "servers", self.name, None)

    def lose_power(self):
        """Is lost for good without a sign: calls hang, and the entry goes after three heartbeat intervals."""
        self.rig.record.line(f"{self.name}: loses power for good; on it: {[f'{t.name} run {t.run}' for t in self.active.values()]}")
        for t in self.active.values():
            self.rig.runs.append((t.name, t.run, self.name, t.began, self.rig.record.seconds(), "lost"))
        self.up, self.active, self.dark = False, {}, True
        asyncio.get_running_loop().call_later(3.3, self.rig.store.put, "servers", self.name, None)

    def crash(self):
        lost = [f"{t.name} run {t.run}" for t in self.active.values()]
        self.rig.record.line(f"{self.name}: crashes; lost with it: {lost}")
        for t in self.active.values():
            self.rig.runs.append((t.name, t.run, self.name, t.began, self.rig.record.seconds(), "crashed"))
        self.up, self.active = False, {}
        self.server.abort()

    def clock_ms(self):
        return int((time.monotonic() - self.began) * 1000) + 5

    def end(self, task, how):
        self.active.pop(task.name, None)
        self.number += 1
        self.ended[task.name] = max(self.ended.get(task.name, 0), task.run)
        self.finished.append([self.number, task.name, task.run, how, task.checkpoint])
        self.rig.record.line(f"{self.name}: {task.name} run {task.run} ended {how}")
        self.rig.runs.append((task.name, task.run, self.name, task.began, self.rig.record.seconds(), how))
        self.event.set()
        self.event = asyncio.Event()
        self.rig.on_end(self, task, how)

    async def tick(self):
        """Advances the runs of this life until it is over."""
        life = self.lives
        while self.up and self.lives == life:
            now = self.rig.record.seconds()
            for task in list(self.active.values()):
                if self.active.get(task.name) is not task:
                    continue
                age = now - task.began
                gang = self.rig.gang_of(task.name)
                if self.clock_ms() > self.lease:
                    self.end(task, "lapsed")
                elif self.grey_since is not None and task.began >= self.grey_since and age >= 0.02:
                    self.end(task, "failed")
                elif task.stopping:
                    self.end(task, "stopped")
                elif gang and not self.rig.is_whole(gang, task.run):
                    if age >= 3.0:
                        self.end(task, "alone")
                elif task.fails_s is not None and age >= task.fails_s:
                    self.end(task, "failed")
                elif age >= task.work_s:
                    self.end(task, "done")
            await asyncio.sleep(0.01)

    async def handle(self, method, path, query, headers, body):
        """Handles a call, unless the call or its answer meets a cut: then it is lost, and its connection hangs."""
        while self.dark:
            await asyncio.sleep(3600)
        answer = await self.carry_out(path, headers, body)
        while self.dark:
            await asyncio.sleep(3600)
        return answer

    async def carry_out(self, path, headers, body):
        if headers.get("x-expect-instance", self.name) != self.name:
            return 421, {"clock-ms": self.clock_ms()}
        call = json.loads(body)
        clock = lambda **f: {"clock-ms": self.clock_ms(), **f}
        fence = call.get("fencing-token", 0)
        if fence < self.fence:
            return 409, clock(reason="fence")
        self.fence = fence
        deadline = call.get("deadline-ms")
        if deadline is not None:
            self.lease = max(self.lease, min(deadline, self.clock_ms() + self.hold_max_s * 1000))
        if path == "/run-start":
            name, run = call["task"], call["run"]
            there = self.active.get(name)
            if there and there.run == run:
                return 200, clock()
            if deadline <= self.clock_ms():
                return 409, clock(reason="late")
            if run <= self.ended.get(name, 0) or there:
                return 409, clock(reason="old")
            self.active[name] = Task(name, run, call["spec"], call.get("checkpoint", ""), self.rig.record.seconds())
            self.rig.record.line(f"{self.name}: {name} run {run} started, token {fence}")
            self.rig.on_start(self, self.active[name])
            return 200, clock()
        if path == "/run-stop":
            name, run = call["task"], call["run"]
            there = self.active.get(name)
            self.rig.record.line(f"{self.name}: told to stop {name} run {run}")
            if there and there.run <= run:
                there.stopping = True
            else:
                self.ended[name] = max(self.ended.get(name, 0), run)
            return 200, clock()
        if path == "/hold":
            self.finished = [e for e in self.finished if e[0] > call.get("ack-cursor", 0)]
            if not self.finished and call.get("wait-ms"):
                try:
                    await asyncio.wait_for(self.event.wait(), min(call["wait-ms"], 2000) / 1000)
                except asyncio.TimeoutError:
                    pass
            now = self.rig.record.seconds()
            active = [[t.name, t.run, t.checkpoint, min(99.0, 100 * (now - t.began) / t.work_s), 0]
                      for t in self.active.values()]
            return 200, clock(born=self.born, active=active, finished=self.finished[:500])
        if path == "/pace":
            return 200, clock()
        return 404, None


class Node:
    """One process of the system, started with the command of the deploy file."""

    def __init__(self, rig, name, store_port):
        self.rig, self.name, self.store_port = rig, name, store_port
        self.front, self.ready, self.metrics = free_ports(3)
        self.process = None
        self.settings = os.path.join(rig.temp, f"{name}.json")
        with open(self.settings, "w") as f:
            json.dump(self.fields(), f)

    def fields(self):
        return {
            "node-name": self.name, "role": "entry", "machine-class": "edge", "serves": ["edge"], "ip": HOST,
            "zone": "zone-a", "region": "region", "zones": {"zone-a": "region"},
            "listen": {"front": f"{HOST}:{self.front}", "readiness": f"{HOST}:{self.ready}"},
            "port-range": [1, 1], "seeds": [], "bootstrap": True, "failure-counted": False,
            "limits": {"cpu-share": 0.25, "cores": 1, "memory-mb": 260, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0},
            "data-dir": None, "discovery": "platform", "entry": "vip", "heartbeat-ms": 1100,
            "bounds": {"stable-window-ms": 3000, "ack-ms": 4000, "drain-ms": 2000, "grace-s": 6, "config-apply-ms": 2000,
                       "evac-ms": 5000, "hold-max-ms": 6000, "stop-ms": 400, "gang-timeout-ms": 3000, "cancel_ms": 3000,
                       "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "checkpoint-s": 1,
                       "restore-ms": 600, "pace-ms": 100, "harm-ms": 4000},
            "orders": "invocation",
            "platform": {"address": f"{HOST}:{self.store_port}", "form": "table", "writes-per-s": 600,
                         "reads-per-s": 2000, "tx-ms": 6.0, "partition-writes-s": 200, "row-bytes": 65536,
                         "across": False, "history-s": 20}}

    async def start(self):
        log = open(os.path.join(self.rig.temp, f"{self.name}.log"), "ab")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["PLANTAINLEVER_NODE_FILE"] = self.settings
        self.process = await asyncio.create_subprocess_exec(
            BINARY, "node", "--metrics", str(self.metrics), cwd=ROOT, env=env, stdout=log, stderr=log)
        self.rig.record.line(f"{self.name}: process {self.process.pid} started")

    def signal(self, number):
        self.rig.record.line(f"{self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def call(self, method, path, body=None, deadline_ms=3000, host=CALLER_HOST):
        """Sends a caller's request; returns (status, object), or (None, why) without a whole answer."""
        try:
            return await asyncio.wait_for(self.exchange(method, path, body, deadline_ms, host), deadline_ms / 1000)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as e:
            return None, type(e).__name__

    async def exchange(self, method, path, body, deadline_ms, host):
        reader, writer = await asyncio.open_connection(HOST, self.front)
        try:
            data = json.dumps(body).encode() if body is not None else b""
            writer.write((f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Deadline-Ms: {deadline_ms}\r\n"
                          f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n"
                          f"Connection: close\r\n\r\n").encode() + data)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            status = int(head.split(" ", 2)[1])
            length = next((int(l.split(":")[1]) for l in head.lower().split("\r\n") if l.startswith("content-length:")), 0)
            text = await reader.readexactly(length) if length else b""
            return status, json.loads(text) if text else None
        finally:
            writer.close()


class Rig:
    """A small deployment: nodes, store, executors of one service, one client."""

    service = "rota-desk"

    def __init__(self, folder):
        self.record = Record(folder)
        self.temp = tempfile.mkdtemp(prefix="review-")
        self.store = Store(self.record)
        self.executors, self.nodes = [], []
        self.runs = []  # (task, run, executor, began, ended, how)
        self.gangs = {}  # (job, step) -> number of tasks
        self.sizes = {}  # job -> (cpu, mem) of each of its tasks
        self.present = {}  # (job, step, run) -> set of (executor, task)
        self.version = 0
        self.route_entries = {}

    async def start(self, nodes, executors, routes, racks=1):
        for i in range(executors):
            executor = Executor(self, f"i-{i:04x}", f"r{i % racks + 1}")
            self.executors.append(executor)
            await executor.boot()
            asyncio.create_task(executor.tick())
        asyncio.create_task(self.heartbeats())
        self.configure(routes)
        for i in range(nodes):
            node = Node(self, f"edge-{i + 1}", await self.store.listen())
            self.nodes.append(node)
            await node.start()
        until = time.monotonic() + 25
        while time.monotonic() < until:
            answers = [await n.call("GET", r["path-prefix"], host=r["host"]) for n in self.nodes for r in routes[:1]]
            if all(a[0] == 200 for a in answers) and self.store.owner:
                break
            await asyncio.sleep(0.2)
        else:
            raise CannotRun(f"the system does not serve: {answers}")
        # The owner has reached all executors.
        await asyncio.sleep(1.5)

    async def heartbeats(self):
        while True:
            await asyncio.sleep(1.1)
            for executor in self.executors:
                if executor.up:
                    executor.list_entry()

    def configure(self, routes):
        self.version += 7
        self.store.put("op", "config", {
            "version": self.version, "routes": routes,
            "services": [{"name": self.service, "enforces-capacity": False}], "limits": {}})
        self.record.line(f"operator: configuration {self.version} acknowledged, routes {[r['name'] for r in routes]}")

    def owner_node(self):
        return next(n for n in self.nodes if n.name == self.store.owner["vm"])

    # Gangs: executors learn of the other members' presence and ends at once.
    def gang_of(self, name):
        job, k, step, _ = name.split(".")
        key = (job, step)
        return key if key in self.gangs else None

    def on_start(self, executor, task):
        gang = self.gang_of(task.name)
        if gang:
            self.present.setdefault((gang, task.run), set()).add(task.name)

    def is_whole(self, gang, run):
        return len(self.present.get((gang, run), ())) >= self.gangs[gang]

    def on_end(self, executor, task, how):
        gang = self.gang_of(task.name)
        if gang:
            # A gang ends `done` as one; of another end, the other executors hear a moment later.
            delay = 0 if how == "done" else 0.03
            asyncio.get_running_loop().call_later(delay, self.end_gang, gang, task.run, how)

    def end_gang(self, gang, run, how):
        for executor in self.executors:
            for other in list(executor.active.values()):
                if self.gang_of(other.name) == gang and other.run == run and executor.up:
                    executor.end(other, "done" if how == "done" else "broken")

    async def submit(self, node, route, job, spec, steps, **more):
        self.sizes[job] = (steps[0]["cpu"], steps[0]["mem-mb"])
        status, answer = await node.call("POST", route["path-prefix"] + job, {"spec": spec, "steps": steps, **more},
                                         host=route["host"])
        self.record.line(f"client: POST {job} to {node.name}: {status} {answer}")
        return status

    async def state(self, node, route, job):
        status, answer = await node.call("GET", route["path-prefix"] + job, host=route["host"])
        state = answer.get("state") if status == 200 else None
        self.record.line(f"client: GET {job} from {node.name}: {status} {answer}")
        return status, state

    def close(self):
        for node in self.nodes:
            if node.process and node.process.returncode is None:
                try:
                    node.process.send_signal(signal.SIGCONT)
                    node.process.kill()
                except ProcessLookupError:
                    pass


class CannotRun(Exception):
    """The case could not be played."""


def route(name, prefix, priority=0, attempts=3):
    return {"name": name, "host": CALLER_HOST, "path-prefix": prefix, "service": Rig.service, "priority": priority,
            "attempts": attempts, "stretch": 2.0, "target-latency-ms": 1000}


def main(folder, play, limit_s=110):
    """Runs a case. `play(rig)` returns a list of breaches. Exits with 1, 0, or 2 if the case could not run."""

    async def run():
        rig = Rig(folder)
        playing = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, playing.cancel)
        try:
            breaches = await asyncio.wait_for(play(rig), limit_s)
        except (CannotRun, asyncio.TimeoutError, StopIteration) as e:
            rig.record.line(f"the case could not run: {e!r}")
            return 2
        finally:
            rig.close()
            for node in rig.nodes:
                if node.process:
                    await node.process.wait()
        for breach in breaches:
            rig.record.line(f"BROKEN: {breach}")
            print(f"BROKEN: {breach}")
        rig.record.line(f"result: {'broken' if breaches else 'held'}, trouble {'on' if TROUBLE else 'off'}")
        if os.environ.get("KEEP"):
            print(rig.temp)
        return 1 if breaches else 0

    sys.exit(asyncio.run(run()))
