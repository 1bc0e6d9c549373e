"""Stand-ins for the users' platform: the store, the executors, the operator and a client.

One event loop simulates all of them. The project's own program runs as separate processes, with the command of
deploy/system.toml. Each process has its own addresses for the store and for each executor, so that the path between
one process and one peer can be cut: a path that is cut accepts connections and bytes, and answers nothing.
"""
import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "rota.example"
PREFIX = "/jobs/"
TX_S = 0.006
READ_S = 0.004


def now():
    return time.monotonic()


def free_ports(count):
    """Returns free ports below the range from which the system gives ports to the stand-ins.

    Scripts that run at the same time look in different places, so that they don't find the same ports.
    """
    ports, port = [], 12000 + os.getpid() % 1000 * 18
    while len(ports) < count:
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
                ports.append(port)
            except OSError:
                pass
        port += 1
    return ports


class Cut(Exception):
    """The path is cut: the request gets no answer, and was not processed."""


async def read_request(r):
    head = await r.readuntil(b"\r\n\r\n")
    lines = head.decode("latin1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            k, v = line.split(":", 1)
            headers[k.strip().lower()] = v.strip()
    n = int(headers.get("content-length", "0"))
    return method, target, headers, await r.readexactly(n) if n else b""


class Server:
    """HTTP server on a loopback port, with the connections that it has open."""

    def __init__(self, handler):
        self.handler = handler
        self.writers = set()
        self.port = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port or 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, r, w):
        self.writers.add(w)
        try:
            while True:
                req = await read_request(r)
                try:
                    status, body = await self.handler(*req)
                except Cut:
                    await asyncio.sleep(3600)
                except (ValueError, KeyError, AttributeError) as e:
                    status, body = 400, {"error": str(e)}
                data = json.dumps(body).encode()
                w.write(b"HTTP/1.1 %d X\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n%s"
                        % (status, len(data), data))
                await w.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(w)
            w.close()

    def reset(self):
        for w in list(self.writers):
            w.transport.abort()

    def forget(self):
        """Open connections go silent for good; new ones work."""
        for w in list(self.writers):
            w.transport.pause_reading()


class World:
    def __init__(self, folder, bounds=None):
        self.folder = folder
        self.t0 = now()
        self.record_file = open(os.path.join(folder, "record.txt"), "w")
        self.rows = {}  # (table, part, key) -> (ver, value or None)
        self.ver = 0
        self.changed = asyncio.Event()
        self.workers = {}
        self.nodes = {}
        self.tmp = tempfile.mkdtemp(prefix="review-")
        self.problems = []
        self.part_locks = {}
        self.store_delay = lambda node, kind, body: 0.0
        self.bounds = {
            "seed-lag-s": 3, "addr-reuse-s": 2, "stable-window-ms": 3000, "ack-ms": 4000, "catch-up-s": 4,
            "drain-ms": 2000, "grace-s": 6, "loss-slack-ms": 200, "config-apply-ms": 2000,
            "rollback-slack-ms": 250, "max-skew-ms": 5000, "cold-overage": 1.5, "cold-slack": 5, "evac-ms": 5000,
            "recover-s": 12, "hold-max-ms": 6000, "stop-ms": 400, "gang-timeout-ms": 3000, "cancel_ms": 3000,
            "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "far-factor": 3,
            "checkpoint-s": 1, "restore-ms": 600, "notice-ms": 4500, "move-s": 1.5, "upkeep-s": 2,
            "fencing-enforced": True, "lease-ms": 3000, "thaw-slack-ms": 300, "pace-ms": 100, "harm-ms": 4000,
        }
        self.bounds.update(bounds or {})

    def log(self, text):
        self.record_file.write("%8.3f %s\n" % (now() - self.t0, text))
        self.record_file.flush()

    def problem(self, text):
        self.problems.append(text)
        self.log("BROKEN " + text)

    # The store.

    def put(self, table, part, key, value):
        self.ver += 1
        self.rows[(table, part, key)] = (self.ver, value)
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def row(self, node, k, with_value=True):
        ver, value = self.rows[k]
        row = {"table": k[0], "part": k[1], "key": k[2], "ver": ver}
        if value is None:
            row["tombstone"] = True
        elif with_value:
            if k[0] == "servers":
                entry = json.loads(value)
                worker = self.workers.get(k[2])
                if worker is not None:
                    entry["address"] = "127.0.0.1:%d" % worker.servers[node].port
                value = json.dumps(entry).encode()
            row["value"] = base64.b64encode(value).decode()
        return row

    def answer(self, rows=(), **more):
        return {"rows": list(rows), "ver": self.ver, "now-ms": int(now() * 1000), **more}

    async def store(self, node, method, target, headers, body):
        url = urlsplit(target)
        q = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
        if self.nodes[node].store_cut:
            raise Cut
        if url.path == "/rows-get":
            await asyncio.sleep(READ_S + self.store_delay(node, "read", None))
            lo, hi = q.get("from", ""), q.get("target", "")
            keys = sorted(k for k, (_, v) in self.rows.items()
                          if k[0] == q["table"] and k[1] == q.get("part", "") and v is not None
                          and k[2] >= lo and (not hi or k[2] < hi))
            limit = min(int(q.get("limit", 500)), 500)
            if self.nodes[node].store_cut:
                raise Cut
            return 200, self.answer([self.row(node, k) for k in keys[:limit]], **{"has-more": len(keys) > limit})
        if url.path == "/rows-feed":
            after, until = int(q["after"]), now() + int(q.get("wait-ms", 0)) / 1000
            while True:
                rows = sorted((v[0], k) for k, v in self.rows.items() if k[0] == q["table"] and v[0] > after)
                if rows or now() >= until:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), until - now())
                except asyncio.TimeoutError:
                    pass
            answer = self.answer([self.row(node, k) for _, k in rows])
            await asyncio.sleep(READ_S + self.store_delay(node, "read", None))
            if self.nodes[node].store_cut:
                raise Cut
            return 200, answer
        if url.path == "/rows-tx":
            tx = json.loads(body)
            delay = self.store_delay(node, "write", tx)
            if delay:
                await asyncio.sleep(delay)
            parts = {e.get("part", "") for kind in ("expected-rev", "writes", "remove") for e in tx.get(kind, [])}
            lock = self.part_locks.setdefault(min(parts, default=""), asyncio.Lock())
            async with lock:
                await asyncio.sleep(TX_S)
                status, answer = self.apply(node, tx)
            if self.nodes[node].store_cut:
                raise Cut
            return status, answer
        return 404, {}

    def apply(self, node, tx):
        def key(e):
            return e["table"], e.get("part", ""), e["key"]

        entries = [e for kind in ("expected-rev", "writes", "remove") for e in tx.get(kind, [])]
        row_bytes = 65536
        if len(entries) > 100 or any(len(base64.b64decode(e["value"])) > row_bytes for e in tx.get("writes", [])):
            self.log("store refuses a transaction that is over its limits")
            return 400, {}
        for e in tx.get("expected-rev", []):
            ver, value = self.rows.get(key(e), (0, None))
            if (0 if value is None else ver) != e["ver"]:
                current = [self.row(node, key(x)) for x in tx["expected-rev"]
                           if self.rows.get(key(x), (0, None))[1] is not None]
                return 412, self.answer(current)
        self.ver += 1
        for e in tx.get("writes", []):
            self.rows[key(e)] = (self.ver, base64.b64decode(e["value"]))
        for e in tx.get("remove", []):
            if key(e) in self.rows:
                self.rows[key(e)] = (self.ver, None)
        self.wake()
        return 200, self.answer()

    # Set-up.

    async def start(self, nodes=3, workers=12, zones=("za", "zb", "zc"), cpu=32000, rate=1.0):
        config = {"version": 3, "services": {"desk": {"enforces-capacity": False}}, "limits": {},
                  "routes": [{"name": "r-jobs", "host": HOST, "path-prefix": PREFIX, "service": "desk",
                              "priority": 0, "attempts": 4, "stretch": 1.5, "target-latency-ms": 250}]}
        self.put("op", "", "config", json.dumps(config).encode())
        for i in range(nodes):
            self.nodes["n%d" % i] = Node(self, "n%d" % i, zones[i % len(zones)])
        ports = free_ports(4 * nodes)
        for node in self.nodes.values():
            await node.prepare([ports.pop() for _ in range(4)])
        for i in range(workers):
            worker = Worker(self, "i-%04x" % (i + 1), zones[i % len(zones)], cpu, rate, "r%d" % (i // 11))
            await worker.listen()
            worker.born_now()
        for node in self.nodes.values():
            node.spawn()
        for node in self.nodes.values():
            await node.ready()

    def owner(self):
        """Returns the name of the process that owns the shard, as stored."""
        for (table, _, key), (_, value) in self.rows.items():
            if table == "owners" and key == "owner" and value:
                return json.loads(value)["vm"]
        return ""

    def heartbeat(self):
        """Returns the version of the owner's heartbeat row."""
        return next((ver for k, (ver, _) in self.rows.items() if k[0] == "owners" and k[2] == "heartbeat"), 0)

    def cut_zone(self, zone):
        """Cuts a zone off from the other zones and from the store. Clients still reach its processes."""
        self.log("zone %s is cut off" % zone)
        for node in self.nodes.values():
            node.store_cut = node.store_cut or node.zone == zone
            for worker in self.workers.values():
                if (worker.zone == zone) != (node.zone == zone):
                    worker.cut.add(node.name)

    async def wait_owner(self, limit=20):
        end = now() + limit
        while now() < end:
            if self.owner() and any(w.epoch for w in self.workers.values()):
                return self.owner()
            await asyncio.sleep(0.05)
        raise TimeoutError("no process owns the shard")

    async def close(self):
        for node in self.nodes.values():
            node.kill()
        for node in self.nodes.values():
            if node.process:
                await node.process.wait()
        shutil.rmtree(self.tmp, ignore_errors=True)

    # Clients.

    async def call(self, node, method, ident="", body=None, timeout=3.0):
        """Sends a client's request to a process; returns (status, body), with status 0 if there is no answer."""
        path, deadline = PREFIX + ident, int(timeout * 1000)
        data = json.dumps(body).encode() if body is not None else b""
        n = self.nodes[node]

        async def exchange():
            r, w = await asyncio.open_connection(n.ip, n.front)
            try:
                w.write(("%s %s HTTP/1.1\r\nHost: %s\r\nX-Deadline-Ms: %d\r\nContent-Type: application/json\r\n"
                         "Content-Length: %d\r\nConnection: close\r\n\r\n"
                         % (method, path, HOST, deadline, len(data))).encode() + data)
                await w.drain()
                raw = await r.read()
            finally:
                w.close()
            head, _, payload = raw.partition(b"\r\n\r\n")
            return int(head.split(b" ")[1]), json.loads(payload or b"{}")

        try:
            status, answer = await asyncio.wait_for(exchange(), timeout)
        except (OSError, asyncio.TimeoutError, IndexError, ValueError):
            status, answer = 0, {}
        self.log("client %s %s at %s: %s %s" % (method, ident, node, status or "no answer", json.dumps(answer)))
        return status, answer


class Node:
    """A process of the system under test."""

    def __init__(self, world, name, zone):
        self.world, self.name, self.zone = world, name, zone
        self.ip = "127.0.0.1"
        self.store_cut = False
        self.process = None

    async def prepare(self, ports):
        async def handle(*req):
            return await self.world.store(self.name, *req)
        self.store = await Server(handle).start()
        self.front, self.readiness, self.control, self.metrics = ports
        zones = {n.zone: "reg" for n in self.world.nodes.values()}
        settings = {
            "node-name": "edge-%s" % self.name, "role": "entry", "machine-class": "edge", "serves": ["edge"],
            "ip": self.ip, "zone": self.zone, "region": "reg", "zones": zones,
            "listen": {"front": "%s:%d" % (self.ip, self.front), "readiness": "%s:%d" % (self.ip, self.readiness),
                       "control": "%s:%d" % (self.ip, self.control)},
            "port-range": [7720, 7735], "seeds": [], "bootstrap": True, "failure-counted": False,
            "limits": {"cpu-share": 0.25, "cores": 1, "memory-mb": 260, "max-fds": 4100, "link-mbps": 1000.0,
                       "disk-mb": 0},
            "data-dir": None, "discovery": "platform", "entry": "vip", "heartbeat-ms": 1100,
            "contracts": ["base", "drain", "config", "cost", "recover", "sched", "places", "platform"],
            "fault-tolerance": {"machines": 1, "zones": 1, "regions": 0}, "bounds": self.world.bounds,
            "orders": "invocation",
            "platform": {"address": "127.0.0.1:%d" % self.store.port, "form": "table", "writes-per-s": 600,
                         "reads-per-s": 2000, "tx-ms": 6.0, "partition-writes-s": 200, "row-bytes": 65536,
                         "across": False, "history-s": 20, "blob-bytes": 8388608, "blob-ms": 25.0,
                         "blob-mb-s": 80.0},
        }
        self.path = os.path.join(self.world.tmp, self.name + ".json")
        with open(self.path, "w") as f:
            json.dump(settings, f)

    def spawn(self):
        async def start():
            out = open(os.path.join(self.world.tmp, self.name + ".log"), "ab")
            self.process = await asyncio.create_subprocess_exec(
                os.path.join(ROOT, "target/release/plantainlever"), "node", "--metrics", str(self.metrics),
                cwd=ROOT, stdout=out, stderr=out,
                env={"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"), "LANG": "C",
                     "PLANTAINLEVER_NODE_FILE": self.path})
            self.world.log("process %s started" % self.name)
        self.started = asyncio.ensure_future(start())

    async def ready(self, limit=30):
        await self.started
        end = now() + limit
        while now() < end:
            try:
                r, w = await asyncio.open_connection(self.ip, self.readiness)
                w.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                raw = await r.read()
                w.close()
                if b" 200 " in raw.split(b"\r\n")[0]:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.1)
        raise TimeoutError("process %s is not ready" % self.name)

    def kill(self, sig=signal.SIGKILL):
        if self.process and self.process.returncode is None:
            self.process.send_signal(sig)
            self.world.log("process %s gets %s" % (self.name, signal.Signals(sig).name))


class Run:
    def __init__(self, task, number, work_s):
        self.task, self.number, self.began, self.work_s = task, number, now(), work_s
        self.worked_s = 0.0
        self.percent = 100  # the share at which it works
        self.tail_ms = None  # tail that a serving task reports; None for another task
        self.stop_at = None


class Worker:
    """An executor that doesn't guard its capacity."""

    def __init__(self, world, ident, zone, cpu, rate, rack):
        self.world, self.id, self.zone, self.cpu, self.rate, self.rack = world, ident, zone, cpu, rate, rack
        self.servers = {}
        self.is_up = True
        self.cut = set()  # processes whose path to this executor is cut
        self.life = 0
        self.epoch = 0
        self.last_start = 0.0
        world.workers[ident] = self

    async def listen(self):
        for node in self.world.nodes:
            async def handle(*req, node=node):
                return await self.handle(node, *req)
            self.servers[node] = await Server(handle).start()

    def born_now(self):
        self.life += 1
        self.born = int(time.time() * 1000)
        self.t0 = now()
        self.epoch, self.lease, self.numbers = 0, 0, 0
        self.runs, self.ended, self.floor = {}, [], {}
        self.is_up = True
        self.state = "ready"
        self.changed = asyncio.Event()
        self.register()
        asyncio.ensure_future(self.live(self.life))

    def register(self):
        entry = {"service": "desk", "address": "127.0.0.1:1", "zone": self.zone, "version": "v1", "slots": 8,
                 "state": self.state, "cold-remaining-ms": 0, "seq": self.life, "born": self.born,
                 "capacity": {"cpu": self.cpu, "mem-mb": 128000, "gpu": 0}, "labels": ["a", self.rack]}
        self.world.put("servers", "", self.id, json.dumps(entry).encode())

    def clock(self):
        return int((now() - self.t0) * 1000 * self.rate)

    def crash(self, silent=False):
        """The process ends: its runs are gone. Its connections are reset, or go silent if the machine lost power."""
        self.world.log("executor %s crashes%s with %s" % (self.id, " silently" if silent else "", sorted(self.runs)))
        self.is_up = False
        self.life += 1
        self.runs = {}
        self.changed.set()
        for server in self.servers.values():
            server.forget() if silent else server.reset()

    async def live(self, life):
        last = now()
        while self.life == life:
            t = now()
            if self.runs and self.clock() >= self.lease:
                for run in list(self.runs.values()):
                    self.end(run, "lapsed")
            for run in list(self.runs.values()):
                if run.stop_at is not None and t >= run.stop_at:
                    self.end(run, "stopped")
                    continue
                run.worked_s += (t - last) * run.percent / 100
                if run.stop_at is None and run.worked_s >= run.work_s:
                    self.end(run, "done")
            last = t
            await asyncio.sleep(0.01)

    def end(self, run, how):
        del self.runs[run.task]
        self.numbers += 1
        self.floor[run.task] = max(self.floor.get(run.task, 0), run.number)
        self.ended.append([self.numbers, run.task, run.number, how, ""])
        self.world.log("run %s/%d on %s ends %s" % (run.task, run.number, self.id, how))
        self.changed.set()
        self.changed = asyncio.Event()

    def reply(self, status, **body):
        return status, {"clock-ms": self.clock(), "born": self.born, **body}

    async def handle(self, node, method, target, headers, body):
        if not self.is_up or node in self.cut:
            raise Cut
        if headers.get("x-expect-instance", self.id) != self.id:
            return self.reply(421)
        life, req = self.life, json.loads(body)
        token = req.get("fencing-token", 0)
        if token < self.epoch:
            return self.reply(409, reason="fence")
        if token > self.epoch:
            self.world.log("executor %s sees fencing token %d from %s" % (self.id, token, node))
        self.epoch = token
        answer = await getattr(self, target.strip("/").replace("-", "_"))(node, req)
        if self.life != life or node in self.cut:
            raise Cut
        return answer

    async def run_start(self, node, req):
        task, number, clock = req["task"], req["run"], self.clock()
        current = self.runs.get(task)
        if current and current.number == number:
            return self.reply(200)
        if number <= self.floor.get(task, 0) or current:
            return self.reply(409, reason="old")
        if req["deadline-ms"] <= clock:
            return self.reply(409, reason="late")
        self.lease = max(self.lease, min(req["deadline-ms"], clock + self.world.bounds["hold-max-ms"]))
        self.world.log("run %s/%d on %s starts, ordered by %s with token %d"
                       % (task, number, self.id, node, req["fencing-token"]))
        spec = json.loads(req["spec"])
        self.runs[task] = Run(task, number, spec["work_s"])
        self.runs[task].tail_ms = spec.get("tail_ms")
        self.last_start = now()
        for other in self.world.workers.values():
            if other is not self and other.is_up and task in other.runs:
                self.world.problem("TWICE: task %s runs on %s (run %d, for %.2f s) and on %s (run %d)" % (
                    task, other.id, other.runs[task].number, now() - other.runs[task].began, self.id, number))
        return self.reply(200)

    async def run_stop(self, node, req):
        task, number = req["task"], req["run"]
        self.floor[task] = max(self.floor.get(task, 0), number)
        run = self.runs.get(task)
        if run and run.number <= number and run.stop_at is None:
            run.stop_at = now() + 0.1
            self.world.log("run %s/%d on %s is stopped by %s" % (task, run.number, self.id, node))
        return self.reply(200)

    async def pace(self, node, req):
        run = self.runs.get(req["task"])
        if run and run.number == req["run"]:
            run.percent = req["percent"]
            self.world.log("run %s/%d on %s works at %d%%, ordered by %s"
                           % (run.task, run.number, self.id, run.percent, node))
        return self.reply(200)

    def row(self, run):
        is_ready = run.tail_ms is not None and now() - run.began > 0.5
        percent = 100 if is_ready else min(100, int(100 * run.worked_s / run.work_s))
        load = run.tail_ms if run.tail_ms is not None else 500 * run.percent // 100
        return [run.task, run.number, "", percent, load]

    async def hold(self, node, req):
        clock = self.clock()
        if "deadline-ms" in req:
            self.lease = max(self.lease, min(req["deadline-ms"], clock + self.world.bounds["hold-max-ms"]))
        self.ended = [e for e in self.ended if e[0] > req.get("ack-cursor", 0)]
        until = now() + req.get("wait-ms", 0) / 1000
        while not self.ended and now() < until and self.is_up:
            try:
                await asyncio.wait_for(self.changed.wait(), until - now())
            except asyncio.TimeoutError:
                pass
        active = [self.row(run) for run in self.runs.values()]
        return self.reply(200, active=active, finished=self.ended[:500])


def job(work_s, count=1, cpu=1000, tail_ms=None, **step):
    """Returns a job of one step. The stand-in reads from `spec` how long a task works and which tail it reports."""
    return {"spec": json.dumps({"work_s": work_s, "tail_ms": tail_ms}),
            "steps": [{"count": count, "cpu": cpu, "mem-mb": 256, "estimate-ms": int(work_s * 1000), **step}]}


def main(folder, case, **world_args):
    """Runs a case: 0 if the rule held, 1 if it was broken, 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def go():
        world = World(folder, **world_args)
        try:
            await asyncio.wait_for(case(world, trouble), 110)
        finally:
            keep = os.environ.get("KEEP_LOGS")
            await_close = world.close()
            if keep:
                for name in os.listdir(world.tmp):
                    shutil.copy(os.path.join(world.tmp, name), keep)
            await await_close
        return world

    try:
        world = asyncio.run(go())
    except Exception as e:
        print("the case could not run: %s: %s" % (type(e).__name__, e))
        sys.exit(2)
    print("\n".join(world.problems) or "the rule held")
    sys.exit(1 if world.problems else 0)
