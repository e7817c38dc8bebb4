"""Accepted jobs after their route was removed: can they still be read?

Exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run.
"""

import asyncio
import base64
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

HERE = Path(__file__).resolve().parent
ROOT = HERE.parent.parent
sys.path.insert(0, str(HERE))

import http1
from store import Store

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["poa-a", "poa-b", "poa-c"]
HOST = "ficu95.example"
ENGINES, REWARDS = "huvo11a", "wuno96b"
MODEL = "daka510000"
JOB = "7c41e09b52d6a3f8"
# Figures of the small deployment cesta-comum.
ENGINE_REPLICAS, REWARD_REPLICAS = 9, 3
GROUPS, GROUP_SIZE = 24, 4
START_S = 10.0
CONFIG_S = 2.0
SETTLE_S = 1.0
BOUNDS = {"grace_s": 8, "config_ms": 2000, "drain_ms": 2000, "status_s": 120, "lease_ms": 3000}
# How long the trainer and the monitors retry a call.
CALL_RETRY_S = 10.0
# How long monitors read the job after the change of the configuration is in force.
MONITOR_S = 8.0

# Replicas append to the record too.
(HERE / "record.txt").write_text("")
record = open(HERE / "record.txt", "a", buffering=1)
processes = []


def note(text):
    record.write(f"{time.time():.3f} {text}\n")


def free_port(ip):
    with socket.socket() as listener:
        listener.bind((ip, 0))
        return listener.getsockname()[1]


def lookup(values, path):
    """Returns the field of the platform's settings at a path such as `listen.front`."""
    for part in path.split("."):
        if isinstance(values, list):
            values = values[int(part)]
        else:
            values = values.get(part) if isinstance(values, dict) else None
        if values is None:
            return None
    return values


def fill(text, values):
    """Fills the gaps of a setting of the deploy file, as the platform does."""

    def gap(match):
        path, _, form = match.group(1).partition("|")
        value = lookup(values, path)
        if form == "json":
            return json.dumps(value)
        return "" if value is None else str(value)

    return re.sub(r"\{\{([^}]+)\}\}", gap, text)


def start(command, env, log):
    process = subprocess.Popen(
        command, cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
    processes.append(process)
    return process


def start_box(role, node, zone, ip, ports, store, folder):
    """Starts a box with the command and the settings of the deploy file."""
    values = {
        "node": node, "zone": zone, "ip": ip, "zones": {name: "poa" for name in ZONES},
        "listen": {"front": f"{ip}:{ports[0]}", "ready": f"{ip}:{ports[1]}"},
        "port_range": [ports[2]], "provider": {"addr": store}, "bounds": BOUNDS,
        "limits": {"max_fds": 4100 if role["on"] == "edge" else 8200,
                   "memory_mb": 110 if role["on"] == "edge" else 130},
        "tolerate": {"machines": 1}, "data_dir": str(folder / f"{node}-data"),
    }
    env = {name: fill(text, values) for name, text in role["env"].items()}
    settings = folder / f"{node}-settings"
    settings.write_text(fill((ROOT / role["template"]).read_text(), values))
    env["GANNETWAY_SETTINGS_FILE"] = str(settings)
    env["PATH"] = os.environ.get("PATH", "")
    log = open(folder / f"{node}.log", "w")
    return start(role["run"].split(), env, log)


async def is_ready(address):
    try:
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        line = await asyncio.wait_for(reader.readline(), 1)
        writer.close()
        return b" 200 " in line
    except (OSError, asyncio.TimeoutError):
        return False


async def call(front, method, target, headers, body=b""):
    """Makes one call on a new connection. Returns status and body; the status is 0 without an answer."""
    host, port = front.split(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}", "Connection: close",
                 f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        response = await asyncio.wait_for(reader.read(), 5)
        writer.close()
        head, _, answer = response.partition(b"\r\n\r\n")
        status = int(head.split(b" ", 2)[1])
    except (OSError, asyncio.TimeoutError, IndexError, ValueError):
        status, answer = 0, b""
    note(f"client {method} {target} at {front}: {status or 'no answer'}")
    return status, answer


def job_body():
    items = []
    for number in range(GROUPS * GROUP_SIZE):
        items.append({
            "id": f"e5b2907c{number:08x}", "path": f"/pule252/3/{number:x}", "tokens": 400,
            "headers": {"X-Model": MODEL, "X-Token-Count": "271,100",
                        "X-Prompt-Prefix": f"9c2e{number // GROUP_SIZE:x}:255,5d07{number:x}:16"},
            "body": base64.b64encode(b"prompt %d" % number).decode(),
            "group": f"g{number // GROUP_SIZE}",
            "scorer": {"id": f"40c8f1a7{number:08x}", "host": HOST, "path": f"/pufi791/{number:x}",
                       "body": base64.b64encode(b"score").decode()},
        })
    return json.dumps({"step": 0, "model": MODEL, "min_version": 1, "desired": GROUPS, "items": items}).encode()


def configuration(version, routes):
    engine = {"slots": 12, "kv_capacity": 36982, "kv_token_bytes": 327680, "link_mbps": 1400000.0,
              "moves": True, "backups": True, "stride": 54, "most": 12, "pin_ms": 4000.0,
              "hold_ms": 2000.0, "handle_s": 5.0, "models": [{"name": MODEL}]}
    service = {"health_path": "/healthz", "protocol": "h1", "tls": False}
    return {
        "version": version, "routes": routes,
        "services": [{"name": ENGINES, "max_conns": 150, "engine": engine, **service},
                     {"name": REWARDS, "max_conns": 96, **service}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 33554432,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    }


REWARD_ROUTE = {
    "name": "r-i9n73hh", "host": HOST, "path_prefix": "/pufi791/", "kind": "safe", "timeout_ms": 1500,
    "goal_ms": 150, "priority": 2, "service": REWARDS, "attempts": 4,
}
JOB_ROUTE = {
    "name": "r-x73d3zj", "host": HOST, "path_prefix": "/pule252/", "kind": "rollout", "timeout_ms": 10000,
    "goal_ms": 400, "due_ms": 7500, "max_wait_s": 40.0, "priority": 0, "service": ENGINES, "attempts": 3,
}


async def read_page(front, start):
    status, answer = await call(front, "GET", f"/v1/lots/{JOB}?since_rev={start}", {"X-Wait-Ms": "1000"})
    return status, (json.loads(answer) if status == 200 else None)


async def submit(fronts):
    """Submits the job as a trainer does, at other nodes after failures."""
    body = job_body()
    until = time.monotonic() + CALL_RETRY_S
    number = 0
    while time.monotonic() < until:
        headers = {"X-Request-Id": JOB, "Content-Type": "application/json"}
        status, _ = await call(fronts[number % len(fronts)], "POST", f"/pule252/{JOB}", headers, body)
        if status == 202:
            return True
        number += 1
        await asyncio.sleep(0.3)
    return False


async def read_all(fronts):
    """Reads all results, as a trainer does. Returns None if they aren't complete in time."""
    results = []
    until = time.monotonic() + 2 * CALL_RETRY_S
    number = 0
    while time.monotonic() < until:
        status, page = await read_page(fronts[number % len(fronts)], len(results))
        if status == 200:
            results += page["results"]
            if len(results) == page["total"]:
                return results
        number += 1
        await asyncio.sleep(0.3)
    return None


async def monitor(front, results):
    """Reads the job from the start until the end of the test. Returns the faults seen."""
    faults = []
    until = time.monotonic() + MONITOR_S
    while time.monotonic() < until:
        status, page = await read_page(front, 0)
        if status in (404, 410):
            faults.append(f"{status} for an accepted job")
        elif status == 200 and page["results"] != results[:len(page["results"])]:
            faults.append("a result differs from the one read before")
        await asyncio.sleep(0.5)
    return faults


async def run(folder):
    store = Store()
    store_port = free_port("127.0.0.1")
    store_address = f"127.0.0.1:{store_port}"
    await http1.serve("127.0.0.1", store_port, store.handle)
    asyncio.get_running_loop().create_task(store.expire())
    await store.write("config", "main", configuration(3, [REWARD_ROUTE, JOB_ROUTE]))
    kinds = ["engine"] * ENGINE_REPLICAS + ["plain"] * REWARD_REPLICAS
    for number, kind in enumerate(kinds):
        ip = f"127.78.2.{number + 1}"
        service = ENGINES if kind == "engine" else REWARDS
        arguments = [kind, f"i-{number:08x}", ip, str(free_port(ip)), ZONES[number % 3], service, MODEL,
                     store_address, str(HERE / "record.txt")]
        log = open(folder / f"replica-{number}.log", "w")
        start([sys.executable, "-B", str(HERE / "replica.py"), *arguments],
              {"PATH": os.environ.get("PATH", "")}, log)
    roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
    fronts, ready = [], []
    ports = [free_port("127.0.0.1") for _ in range(3)]
    for number, zone in enumerate(ZONES):
        start_box(roles["keep"], f"storage-{zone}-1", zone, f"127.78.1.{number + 1}", ports, store_address, folder)
    for number in range(6):
        zone, ip = ZONES[number % 3], f"127.78.0.{number + 1}"
        start_box(roles["entry"], f"edge-{zone}-{number // 3 + 1}", zone, ip, ports, store_address, folder)
        fronts.append(f"{ip}:{ports[0]}")
        ready.append(f"{ip}:{ports[1]}")
    started = time.monotonic()
    while not all([await is_ready(address) for address in ready]):
        if time.monotonic() - started > 40 or any(process.poll() is not None for process in processes):
            note("the deployment did not start")
            return 2
        await asyncio.sleep(0.2)
    await asyncio.sleep(max(0.0, START_S - (time.monotonic() - started)))

    note(f"the job is submitted, trouble {TROUBLE}")
    if not await submit(fronts):
        note("the job was not accepted")
        return 2
    results = await read_all(fronts)
    if results is None or any(result["state"] != "done" for result in results):
        note("the job was not completed")
        return 2
    note(f"all {len(results)} results are done and read")
    if TROUBLE:
        await store.write("config", "main", configuration(5, [REWARD_ROUTE]))
        note("configuration 5 is acknowledged: the job's route is removed")
    await asyncio.sleep(CONFIG_S + SETTLE_S)
    note("monitors read the job")
    seen = await asyncio.gather(*(monitor(front, results) for front in fronts))
    faults = [fault for of_front in seen for fault in of_front]
    last = await read_all(fronts)
    if last is None:
        faults.append("at the end the job can't be read")
    elif last != results:
        faults.append("at the end the results differ")
    # Recorded, not judged.
    await call(fronts[0], "DELETE", f"/v1/lots/{JOB}", {})
    if any(process.poll() is not None for process in processes):
        note("a process ended by itself")
    for fault in sorted(set(faults)):
        note(f"seen {faults.count(fault)} times: {fault}")
    note("LOST broken" if faults else "LOST held")
    return 1 if faults else 0


def stop_all():
    """Ends the processes that this test started."""
    for process in processes:
        if process.poll() is None:
            process.kill()
    for process in processes:
        process.wait()


def main():
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    if not (ROOT / "target/release/gannetwayd").exists():
        note("target/release/gannetwayd is missing: build it first")
        return 2
    with tempfile.TemporaryDirectory() as folder:
        loop = asyncio.new_event_loop()
        try:
            return loop.run_until_complete(run(Path(folder)))
        except (OSError, asyncio.TimeoutError) as error:
            note(f"could not run: {error}")
            return 2
        finally:
            stop_all()


code = main()
record.close()
sys.stdout.flush()
# The connections of the ended processes need no orderly end.
os._exit(code)
