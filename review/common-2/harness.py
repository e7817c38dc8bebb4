"""A small deployment on loopback for the cases of this review.

Starts the roles of `deploy/system.toml` as separate processes, with the settings that `DEPLOY.md`
describes, and stand-ins for the platform's store and for replicas that follow `PROTOCOL.md`. Only
the standard library is used. Every address is a loopback address.
"""

import asyncio
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, NOT_RUN = 1, 0, 2


class CannotRun(Exception):
    """The deployment did not start, or the case lost its preconditions."""


# --- HTTP -----------------------------------------------------------------------------------


async def read_head(reader):
    """Reads a head; returns the first line and the headers (names in lower case), or None."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunked(reader, on_chunk=None):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        chunk = await reader.readexactly(size)
        await reader.readexactly(2)
        if size == 0:
            return body
        body += chunk
        if on_chunk:
            on_chunk(chunk)


async def read_body(reader, headers, on_chunk=None):
    if "chunked" in headers.get("transfer-encoding", ""):
        return await read_chunked(reader, on_chunk)
    return await reader.readexactly(int(headers.get("content-length", "0")))


def response_bytes(status, body=b"", headers=None):
    head = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    head += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return ("\r\n".join(head) + "\r\n\r\n").encode() + body


class Answer:
    """What a client saw of one request."""

    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        self.complete = False
        self.head_at = None
        self.ended_at = None
        self.chunks = []


async def request(address, method, path, headers, body=b"", timeout=10.0, answer=None):
    """Sends one request on a new connection and reads its answer, as far as it comes."""
    answer = answer or Answer()
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            head = [f"{method} {path} HTTP/1.1"] + [f"{k}: {v}" for k, v in headers.items()]
            if body or method == "POST":
                head.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(head) + "\r\n\r\n").encode() + body)
            await writer.drain()
            got = await read_head(reader)
            if got is None:
                answer.ended_at = time.monotonic()
                return answer
            answer.status = int(got[0].split()[1])
            answer.headers = got[1]
            answer.head_at = time.monotonic()
            note = lambda chunk: answer.chunks.append((time.monotonic(), chunk))
            answer.body = await read_body(reader, got[1], note)
            answer.complete = True
            answer.ended_at = time.monotonic()
    except (TimeoutError, ConnectionError, asyncio.IncompleteReadError, OSError) as error:
        if not isinstance(error, TimeoutError):
            answer.ended_at = time.monotonic()
    finally:
        if writer:
            writer.close()
    return answer


# --- The platform's store --------------------------------------------------------------------


class Store:
    """Objects by kind and name, conditional writes and watches, as PROTOCOL.md says."""

    def __init__(self):
        self.rev = 0
        self.objects = {}
        self.history = []
        self.changed = asyncio.Event()
        self.down_for = lambda peer_ip: False

    async def start(self, ip, port):
        self.server = await asyncio.start_server(self.serve, ip, port)
        self.address = f"{ip}:{port}"

    def put(self, kind, name, spec, status=None):
        self.rev += 1
        old = self.objects.get((kind, name))
        created = old["metadata"]["created"] if old else self.rev
        meta = {"name": name, "rev": self.rev, "created": created, "finalizers": [], "deleting": False}
        self.objects[kind, name] = {"metadata": meta, "spec": spec, "status": status}
        self.note(kind, name, False)
        return self.objects[kind, name]

    def remove(self, kind, name):
        if (kind, name) in self.objects:
            self.rev += 1
            self.note(kind, name, True)
            del self.objects[kind, name]

    def note(self, kind, name, removed):
        event = {"object": json.loads(json.dumps(self.objects[kind, name])), "removed": removed}
        event["object"]["metadata"]["rev"] = self.rev
        self.history.append((self.rev, kind, event))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        ip = writer.get_extra_info("peername")[0]
        try:
            while True:
                got = await read_head(reader)
                if got is None:
                    return
                method, target, _ = got[0].split(" ")
                body = await read_body(reader, got[1])
                if self.down_for(ip):
                    await asyncio.sleep(3600)
                status, answer = await self.handle(method, target, body)
                data = b"" if answer is None else json.dumps(answer).encode()
                writer.write(response_bytes(status, data, {"Content-Type": "application/json"}))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle(self, method, target, body):
        path, _, query = target.partition("?")
        params = dict(p.split("=", 1) for p in query.split("&") if "=" in p)
        parts = path.split("/")[3:]
        kind, name = parts[0], (parts[1] if len(parts) > 1 else None)
        sent = json.loads(body) if body else {}
        meta = sent.get("metadata", {})
        if method == "GET" and name is None and "watch" in params:
            return await self.watch(kind, int(params["watch"]), int(params.get("wait_ms", 0)))
        if method == "GET" and name is None:
            after = params.get("since_rev", "")
            items = [o for (k, n), o in sorted(self.objects.items()) if k == kind and n > after]
            return 200, {"items": items[:500], "more_pages": len(items) > 500, "time": self.rev}
        if method == "POST":
            name = meta["name"]
            if (kind, name) in self.objects:
                return 409, self.objects[kind, name]
            return 200, self.put(kind, name, sent.get("spec"))
        old = self.objects.get((kind, name))
        if old is None:
            return 404, {}
        expected = meta.get("rev", params.get("rev"))
        if method != "GET" and expected is not None and int(expected) != old["metadata"]["rev"]:
            return 409, old
        if method == "PUT" and len(parts) > 2:
            return 200, self.put(kind, name, old["spec"], sent.get("status"))
        if method == "PUT":
            if sent.get("spec") == old["spec"]:
                return 200, old
            return 200, self.put(kind, name, sent.get("spec"), old["status"])
        if method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        return 200, old

    async def watch(self, kind, after, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        while True:
            changed = self.changed
            events = [event for rev, of, event in self.history if of == kind and rev > after]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "time": self.rev}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                pass


# --- Replicas --------------------------------------------------------------------------------


class Replica:
    """One replica. `handle(conn, head)` is called for each request on a connection; it writes the
    answer. A request's connection and headers are in `conn`."""

    def __init__(self, record, store, service, zone, name, handle, slots=6, models=()):
        self.record, self.store, self.service, self.zone = record, store, service, zone
        self.id, self.handle, self.slots, self.models = name, handle, slots, list(models)
        self.running = 0
        self.writers = set()

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0, limit=1 << 26)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.publish()

    def publish(self, state="ready"):
        self.store.put("servers", self.id, {
            "service": self.service, "addr": self.address, "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": state, "cold_left_ms": 0, "seq": 1,
            "stage": "both", "models": self.models,
        })

    async def serve(self, reader, writer):
        conn = {"late": []}
        self.writers.add(writer)
        try:
            while True:
                got = await read_head(reader)
                if got is None:
                    return
                method, target, _ = got[0].split(" ")
                body = await read_body(reader, got[1])
                headers = got[1]
                expected = headers.get("x-expect-instance")
                common = {"X-Request-Id": headers.get("x-request-id", "")}
                if expected is not None and expected != self.id:
                    writer.write(response_bytes(421, b"", common | {"X-Not-Run": "1"}))
                    await writer.drain()
                    continue
                if target == "/healthz":
                    writer.write(response_bytes(200, b"", {"X-Instance-Id": self.id}))
                    await writer.drain()
                    continue
                await self.handle(self, conn, writer, method, target, headers, body)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stamp(self, headers):
        return f"{self.id}.{headers.get('x-request-id', '')}"


# --- Processes -------------------------------------------------------------------------------


def free_port(ip):
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


def fill(text, fields):
    def value(match):
        name, _, form = match[1].partition("|")
        at = fields
        for part in name.split("."):
            if isinstance(at, list):
                at = at[int(part)] if int(part) < len(at) else None
            else:
                at = at.get(part) if isinstance(at, dict) else None
        if form == "json" or isinstance(at, (dict, list)):
            return json.dumps(at)
        return "" if at is None else str(at)

    return re.sub(r"\{\{([^}]*)\}\}", value, text)


class Box:
    """One machine with one process of a role of the deploy file."""

    def __init__(self, deployment, role, zone, number):
        self.deployment, self.role, self.zone = deployment, role, zone
        self.name = f"{role}-{zone}-{number}"
        self.ip = deployment.next_ip()
        self.process = None
        self.ports = {p: free_port(self.ip) for p in ("front", "ready", "control", "peer", "metrics")}

    @property
    def front(self):
        return (self.ip, self.ports["front"])

    def fields(self):
        site, folder = self.deployment, self.deployment.folder / self.name
        folder.mkdir(exist_ok=True)
        is_store = self.role == "keep"
        return {
            "node": self.name, "role": self.role, "ip": self.ip, "zone": self.zone,
            "machine_class": "storage" if is_store else "edge",
            "region": "region", "zones": {zone: "region" for zone in site.zones},
            "listen": {p: f"{self.ip}:{self.ports[p]}" for p in ("front", "ready", "control")},
            "port_range": [self.ports["peer"], self.ports["peer"]],
            "limits": {"cpu_share": 0.5 if is_store else 0.25, "cores": 1,
                       "memory_mb": 130 if is_store else 110, "max_fds": 8200 if is_store else 4100,
                       "link_mbps": 600.0 if is_store else 1000.0},
            "data_dir": str(folder) if is_store else None,
            "tolerate": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": site.bounds,
            "provider": {"addr": site.store.address},
        }

    def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"][self.role]
        fields = self.fields()
        settings = self.deployment.folder / f"{self.name}.env"
        settings.write_text(fill((ROOT / role["template"]).read_text(), fields))
        env = {name: fill(value, fields) for name, value in role["env"].items()}
        # The folder of the platform's settings file, and ports that are free on this machine.
        env["GANNETWAY_SETTINGS_FILE"] = str(settings)
        env["GANNETWAY_METRICS_PORT"] = str(self.ports["metrics"])
        for name in ("PATH", "HOME", "LANG"):
            if name in os.environ:
                env[name] = os.environ[name]
        command = [str(ROOT / role["run"].split()[0])] + role["run"].split()[1:]
        log = open(self.deployment.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(command, cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                                        stdout=log, stderr=log)

    def signal(self, number):
        self.process.send_signal(number)

    def log_text(self):
        return (self.deployment.folder / f"{self.name}.log").read_text(errors="replace")


class Deployment:
    """Three failure domains (zones) on loopback, with bounds as on the small sites."""

    bounds = {
        "grace_s": 8, "config_ms": 2000, "drain_ms": 2000, "status_s": 120, "catchup_s": 4.6,
        "lease_ms": 3000, "evacuate_ms": None, "report_window_s": None,
    }

    def __init__(self, case_folder):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="gannetway-review-"))
        self.record_file = open(pathlib.Path(case_folder) / "record.txt", "w")
        self.started = time.monotonic()
        self.zones = ["zone-a", "zone-b", "zone-c"]
        self.net = random.randrange(2, 250), random.randrange(2, 250)
        self.ip_count = 1
        self.boxes = []
        self.replicas = []

    def next_ip(self):
        self.ip_count += 1
        return "127.%d.%d.%d" % (*self.net, self.ip_count)

    def record(self, text):
        self.record_file.write(f"{time.monotonic() - self.started:9.3f} s  {text}\n")
        self.record_file.flush()

    async def start(self, config, entries=1, keeps=1):
        self.store = Store()
        ip = self.next_ip()
        await self.store.start(ip, free_port(ip))
        self.store.put("config", "main", config)
        for role, count in (("keep", keeps), ("entry", entries)):
            for zone in self.zones:
                self.boxes += [Box(self, role, zone, n) for n in range(count)]

    def start_boxes(self):
        for box in self.boxes:
            box.start()

    def of_role(self, role):
        return [box for box in self.boxes if box.role == role]

    async def add_replica(self, *args, **kwargs):
        replica = Replica(self.record, self.store, *args, **kwargs)
        await replica.start(self.next_ip())
        self.replicas.append(replica)
        return replica

    async def wait_ready(self, timeout=20.0):
        until = time.monotonic() + timeout
        for box in self.of_role("entry"):
            while True:
                answer = await request((box.ip, box.ports["ready"]), "GET", "/v1/readyz",
                                       {"Host": "ready"}, timeout=1.0)
                if answer.status == 200:
                    break
                if time.monotonic() > until:
                    raise CannotRun(f"{box.name} is not ready")
                await asyncio.sleep(0.1)
        self.record("all entry boxes are ready")

    def stop(self):
        for box in self.boxes:
            if box.process and box.process.poll() is None:
                box.process.send_signal(signal.SIGCONT)
                box.process.kill()
        for box in self.boxes:
            if box.process:
                box.process.wait()
        self.record_file.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(file, play, limit_s=110):
    """Runs `play(deployment)`, which returns whether the rule held; exits with the case's code."""
    folder = pathlib.Path(file).resolve().parent
    if not (ROOT / "target/release/gannetwayd").exists():
        print("target/release/gannetwayd is missing: build it first")
        sys.exit(NOT_RUN)

    async def guarded():
        deployment = Deployment(folder)
        deployment.record(f"disruption: {'on' if TROUBLE else 'off'}")
        code = NOT_RUN
        try:
            async with asyncio.timeout(limit_s):
                held = await play(deployment)
            code = HELD if held else BROKEN
        except (CannotRun, TimeoutError, OSError) as error:
            deployment.record(f"cannot run: {error!r}")
            print(f"cannot run: {error!r}")
        finally:
            deployment.record({0: "the rule held", 1: "THE RULE WAS BROKEN", 2: "not run"}[code])
            deployment.stop()
        return code

    code = asyncio.run(guarded())
    print({0: "rule held", 1: "rule broken", 2: "not run"}[code])
    sys.stdout.flush()
    os._exit(code)
