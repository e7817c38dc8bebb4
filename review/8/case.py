"""Streams whose replica falls silent in the middle of the answer."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-2"))
from harness import TROUBLE, Answer, CannotRun, request, run_case

HOST = "stream.example"
TIMEOUT_MS = 3_000
# `goal_ms`: the objective to the first event. A client gives a stream up after a gap of four times
# this, 6 s, if that is longer than two seconds.
GOAL_MS = 1_500
GAP_LIMIT_S = 4 * GOAL_MS / 1000
DEADLINE_MS = 20_000
LATE_S = 0.5
EVENTS = 30
EVENT_GAP_S = 0.08
STREAMS = 36
CONFIG = {
    "version": 1,
    "routes": [{"name": "chat", "host": HOST, "path_prefix": "/chat/", "kind": "streaming",
                "service": "lm", "timeout_ms": TIMEOUT_MS, "goal_ms": GOAL_MS, "attempts": 2, "priority": 2}],
    "services": [{"name": "lm", "max_conns": 150}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout_ms": 5000,
               "idle_timeout_ms": 20000},
}


async def stream(replica, conn, writer, method, target, headers, body):
    """A sound replica: an event each 80 ms. While it is dark, nothing of it reaches anybody."""
    name = headers["x-request-id"]
    replica.record(f"{replica.id} runs {name}, X-Deadline-Ms {headers.get('x-deadline-ms')}")
    writer.write((f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: {name}\r\n"
                  f"X-Response-Stamp: {replica.stamp(headers)}\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
    for number in range(1, EVENTS + 1):
        await asyncio.sleep(EVENT_GAP_S)
        if replica.dark:
            replica.record(f"{replica.id} is dark: nothing more of {name} after event {number - 1}")
            await asyncio.sleep(3600)
        event = f"id: {number}\ndata: e{number}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
    writer.write(b"0\r\n\r\n")
    await writer.drain()


async def play(deployment):
    await deployment.start(CONFIG)
    # Nine replicas, one of which goes dark: a share of 0.11, where the sheet names up to 0.17.
    for number in range(9):
        zone = deployment.zones[number % 3]
        replica = await deployment.add_replica("lm", zone, f"i-lm{number}", stream, slots=12)
        replica.dark = False
    deployment.start_boxes()
    await deployment.wait_ready()
    await asyncio.sleep(3)
    victim = deployment.replicas[0]
    results = []

    async def call(box, number):
        name = f"stream-{number}"
        headers = {"Host": HOST, "X-Request-Id": name, "X-Deadline-Ms": str(DEADLINE_MS)}
        answer = Answer()
        sent = time.monotonic()
        call = asyncio.create_task(request(box.front, "POST", "/chat/x", headers, b"{}", 60, answer))
        given_up = False
        while not call.done():
            await asyncio.sleep(0.05)
            last = answer.chunks[-1][0] if answer.chunks else sent
            # The client leaves after a gap of six seconds, or at its deadline.
            if time.monotonic() - last > GAP_LIMIT_S or time.monotonic() - sent > DEADLINE_MS / 1000:
                given_up = True
                call.cancel()
                break
        await asyncio.gather(call, return_exceptions=True)
        ended = (answer.ended_at or time.monotonic()) - sent
        results.append((name, ended, given_up))
        how = "gave up without an end of the answer" if given_up else \
            ("complete" if answer.complete else "the connection ended before the end of the answer")
        deployment.record(f"client {name} at {box.name}: status {answer.status}, {len(answer.chunks)} events, "
                          f"{how}, {ended:.2f} s after it was sent")

    calls = []
    boxes = deployment.of_role("entry")
    for number in range(STREAMS * 4):
        calls.append(asyncio.create_task(call(boxes[number % 3], number)))
        await asyncio.sleep(0.02)
        if number == STREAMS * 2 and TROUBLE:
            # A replica goes dark (`srv_crash`, `dark`): it is silent, its connections stay open, and
            # its entry in the store goes after three heartbeats.
            victim.dark = True
            deployment.record(f"{victim.id} goes dark")
            asyncio.get_running_loop().call_later(3.6, deployment.store.remove, "servers", victim.id)
    await asyncio.gather(*calls)
    timeout = TIMEOUT_MS / 1000
    past = [(name, ended) for name, ended, _ in results if ended > timeout]
    late = [(name, ended) for name, ended in past if ended > timeout + LATE_S]
    deployment.record(f"{len(results)} streams, {len(past)} past their route's timeout_ms of {TIMEOUT_MS}, "
                      f"{len(late)} without a final answer 0.5 s later")
    if len(results) < STREAMS:
        raise CannotRun("too few streams")
    return not (len(late) >= 8 and len(late) > len(past) / 4)


run_case(__file__, play)
