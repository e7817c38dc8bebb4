"""Requests that must not be repeated, while one replica of a busy service sends second answers."""

import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-2"))
from harness import TROUBLE, CannotRun, request, response_bytes, run_case

HOST = "order.example"
SLOTS, QUEUE = 6, 2
# As on the small sites: 25 ms in the mean.
WORK_S = 0.025
CYCLES = 30
CYCLE_S = 2.5
# Requests of one client application at once: two more than the replica takes.
BURST = 12
DEADLINE_MS = 2_000
# Largest dose that the pages name: `garble`, `extra late`, share 0.6, x 0.03. Here one replica of
# two is faulty, and at most 0.03 of its answers are spoiled.
SPOILED_SHARE = 0.03
CONFIG = {
    "version": 1,
    "routes": [{"name": "order", "host": HOST, "path_prefix": "/order/", "kind": "unsafe",
                "service": "desk", "timeout_ms": 2000, "goal_ms": 500, "attempts": 2, "priority": 2},
               {"name": "other", "host": HOST, "path_prefix": "/other/", "kind": "unsafe",
                "service": "other", "timeout_ms": 2000, "goal_ms": 500, "attempts": 2, "priority": 2}],
    "services": [{"name": "desk", "max_conns": 96}, {"name": "other", "max_conns": 96}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout_ms": 5000,
               "idle_timeout_ms": 20000},
}
runs = {}
answers = {}
spoiled = {}


async def serve(replica, conn, writer, method, target, headers, body):
    """Runs a request in one of its slots or refuses it. The faulty replica follows a few of its
    refusals by a second, equal answer, which arrives where the next answer on the connection is due."""
    name = headers["x-request-id"]
    conn.setdefault("first", name)
    for late in conn["late"]:
        replica.record(f"{replica.id}: second answer to {late[0]} goes out as {name} arrives")
        writer.write(late[1])
    conn["late"].clear()
    answers[replica.id] = answers.get(replica.id, 0) + 1
    load = f"{min(replica.running, SLOTS)},{max(replica.running - SLOTS, 0)},{SLOTS}"
    common = {"X-Request-Id": name, "X-Response-Stamp": replica.stamp(headers), "X-Server-Load": load,
              "Keep-Alive": "timeout=8"}
    if replica.running >= SLOTS + QUEUE:
        answer = response_bytes(503, b"", common | {"X-Not-Run": "full"})
        faulty = TROUBLE and replica is replica.faulty
        # The fault shows on the connections of one entry box.
        faulty &= conn["first"].startswith("single")
        if faulty and spoiled.get(replica.id, 0) + 1 <= SPOILED_SHARE * answers[replica.id]:
            spoiled[replica.id] = spoiled.get(replica.id, 0) + 1
            conn["late"].append((name, answer))
            replica.record(f"{replica.id} refuses {name} as full (a second answer follows)")
        writer.write(answer)
        await writer.drain()
        return
    replica.running += 1
    try:
        async with replica.slot:
            runs.setdefault(name, []).append(replica.id)
            replica.record(f"{replica.id} runs {name}")
            await asyncio.sleep(random.uniform(0.2, 1.8) * WORK_S)
    finally:
        replica.running -= 1
    writer.write(response_bytes(200, b"done " + name.encode(), common))
    await writer.drain()


async def play(deployment):
    await deployment.start(CONFIG)
    for service, zone in (("desk", deployment.zones[0]), ("other", deployment.zones[1])):
        replica = await deployment.add_replica(service, zone, f"i-{service}", serve, slots=SLOTS)
        replica.slot = asyncio.Semaphore(SLOTS)
        replica.faulty = deployment.replicas[0]
    deployment.start_boxes()
    await deployment.wait_ready()
    await asyncio.sleep(3)
    box_a, box_b, box_c = deployment.of_role("entry")
    seen = {}
    burst = asyncio.Event()

    async def call(box, name, path="/order/new"):
        headers = {"Host": HOST, "X-Request-Id": name, "X-Deadline-Ms": str(DEADLINE_MS)}
        answer = await request(box.front, "POST", path, headers, b"{}", timeout=DEADLINE_MS / 1000)
        seen[name] = answer
        deployment.record(f"client {name}: {answer.status}, stamp {answer.headers.get('x-response-stamp')}")

    async def application_a():
        """Sends one request after the other; one of them shortly after each burst of the others."""
        for number in range(CYCLES):
            calm_until = time.monotonic() + CYCLE_S
            count = 0
            while time.monotonic() < calm_until:
                count += 1
                await call(box_a, f"single-{number}-{count}")
            burst.set()
            await asyncio.sleep(0.012)
            await call(box_a, f"single-{number}-burst")

    async def later(box, name):
        await asyncio.sleep(random.uniform(0, 0.01))
        await call(box, name)

    async def application(box, label):
        """Sends several requests at once, now and then."""
        for number in range(CYCLES):
            await burst.wait()
            await asyncio.gather(*(later(box, f"{label}-{number}-{n}") for n in range(BURST // 2)))
            burst.clear()

    await asyncio.gather(application_a(), application(box_b, "b"), application(box_c, "c"))
    await asyncio.sleep(1)
    by_status = {}
    for answer in seen.values():
        by_status[answer.status] = by_status.get(answer.status, 0) + 1
    twice = {name: at for name, at in runs.items() if len(at) > 1}
    refused = [name for name, answer in seen.items() if answer.status in (429, 503, 408, 421) and name in runs]
    deployment.record(f"answers by status {by_status}; answers of replicas {answers}, spoiled {spoiled}")
    for name, at in twice.items():
        deployment.record(f"TWICE: {name} was run {len(at)} times, at {at}; the client got {seen[name].status}")
    for name in refused:
        deployment.record(f"REFUSED: the client of {name} got {seen[name].status}, but it ran at {runs[name]}")
    if by_status.get(200, 0) < 200:
        raise CannotRun("too few requests were served")
    return not twice and not refused


run_case(__file__, play)
