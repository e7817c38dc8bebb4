"""Streams that run while their entry box is asked to stop (SIGTERM)."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-2"))
from harness import TROUBLE, CannotRun, read_head, request, run_case

HOST = "stream.example"
EVENTS = 56
EVENT_GAP_S = 0.08
STREAMS = 6
GRACE_S = 8
DEADLINE_MS = 20_000
CONFIG = {
    "version": 1,
    "routes": [{"name": "chat", "host": HOST, "path_prefix": "/chat/", "kind": "streaming",
                "service": "lm", "timeout_ms": 15_000, "goal_ms": 400, "attempts": 2, "priority": 2}],
    "services": [{"name": "lm", "max_conns": 150}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout_ms": 5000,
               "idle_timeout_ms": 20000},
}


async def stream(replica, conn, writer, method, target, headers, body):
    """A sound replica: one event each 80 ms, 4.5 s in all."""
    name = headers["x-request-id"]
    replica.record(f"{replica.id} runs {name}")
    writer.write((f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: {name}\r\n"
                  f"X-Response-Stamp: {replica.stamp(headers)}\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
    for number in range(1, EVENTS + 1):
        await asyncio.sleep(EVENT_GAP_S)
        event = f"id: {number}\ndata: e{number}\n\n".encode()
        try:
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        except ConnectionError:
            replica.record(f"{replica.id}: the connection of {name} was closed after event {number - 1}")
            raise
        if writer.is_closing():
            replica.record(f"{replica.id}: the connection of {name} was closed after event {number}")
            return
    writer.write(b"0\r\n\r\n")
    await writer.drain()
    replica.record(f"{replica.id} has sent the whole answer to {name}")


async def play(deployment):
    await deployment.start(CONFIG)
    for number, zone in enumerate(deployment.zones):
        await deployment.add_replica("lm", zone, f"i-lm{number}", stream, slots=12)
    deployment.start_boxes()
    await deployment.wait_ready()
    await asyncio.sleep(3)
    box = deployment.of_role("entry")[0]

    async def call(number):
        name = f"stream-{number}"
        deployment.record(f"client sends {name} to {box.name}")
        headers = {"Host": HOST, "X-Request-Id": name, "X-Deadline-Ms": str(DEADLINE_MS)}
        answer = await request(box.front, "POST", "/chat/x", headers, b"{}", timeout=DEADLINE_MS / 1000)
        events = b"".join(chunk for _, chunk in answer.chunks).count(b"\n\n")
        deployment.record(f"{name}: status {answer.status}, {events} of {EVENTS} events, "
                          f"{'complete' if answer.complete else 'the connection ended before the end of the answer'}")
        return answer, events

    calls = [asyncio.create_task(call(number)) for number in range(STREAMS)]
    await asyncio.sleep(0.5)
    terminated = time.monotonic()
    if TROUBLE:
        deployment.record(f"SIGTERM to {box.name}")
        box.signal(signal.SIGTERM)
    answers = await asyncio.gather(*calls)
    if any(answer.status != 200 for answer, _ in answers):
        raise CannotRun("a stream was not begun")
    cut = 0
    for answer, events in answers:
        if answer.complete and events == EVENTS:
            continue
        after = answer.ended_at - terminated
        deployment.record(f"cut {after:.2f} s after SIGTERM, with {events} events of {EVENTS}")
        # Work that ends in the last sixth of the grace period is excused; this would have ended
        # long before.
        cut += EVENTS * EVENT_GAP_S < GRACE_S * 5 / 6
    return cut == 0


run_case(__file__, play)
