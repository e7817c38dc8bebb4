"""Stand-in of a replica: keeps its entry in the store and answers requests.

The kind `engine` answers items with a stream of events under weight version 1, the kind `plain`
answers reward calls with a signed body.
"""

import asyncio
import json
import os
import sys
import time

import http1

EVENTS = 8
EVENT_S = 0.02
PLAIN_S = 0.03
HEARTBEAT_S = 1.2
VERSION = 1


class Replica:
    def __init__(self, kind, name, address, zone, service, model, store, record):
        self.kind, self.name, self.address, self.zone = kind, name, address, zone
        self.service, self.model, self.store, self.record = service, model, store, record
        self.seq = 0
        self.running = 0

    def note(self, request_id, text):
        self.record.write(f"{time.time():.3f} replica {self.name} request {request_id}: {text}\n")

    def models(self):
        return [{"name": self.model, "version": VERSION, "adapters": []}] if self.kind == "engine" else []

    async def keep_entry(self):
        host, port = self.store.split(":")
        while True:
            self.seq += 1
            spec = {
                "service": self.service, "addr": self.address, "zone": self.zone, "version": "v1",
                "slots": 12, "state": "ready", "cold_left_ms": 0, "seq": self.seq,
            }
            if self.kind == "engine":
                spec |= {"stage": "both", "models": self.models()}
            for method, path in (("PUT", f"/{self.name}"), ("POST", "")):
                body = json.dumps({"metadata": {"name": self.name}, "spec": spec}).encode()
                head = (f"{method} /v1/objects/servers{path} HTTP/1.1\r\nHost: {self.store}\r\n"
                        f"Connection: close\r\nContent-Length: {len(body)}\r\n\r\n")
                try:
                    reader, writer = await asyncio.open_connection(host, int(port))
                    writer.write(head.encode() + body)
                    status = (await reader.readline()).split()[1]
                    writer.close()
                    if status == b"200":
                        break
                except (OSError, IndexError):
                    pass
            await asyncio.sleep(HEARTBEAT_S)

    async def handle(self, request, writer):
        common = {"X-Instance-Id": self.name, "X-Server-Load": f"{self.running},0,12"}
        if request.target == "/healthz":
            writer.write(http1.encode_response(200, common, b""))
            return
        expected = request.headers.get("x-expect-instance")
        if expected is not None and expected != self.name:
            writer.write(http1.encode_response(421, common, b""))
            return
        if request.target == "/v1/report":
            report = {"stage": "both", "models": self.models(), "busy": False, "seq": 0, "waiting": 0,
                      "running": self.running, "kv_used": 0, "kv_total": 36982, "handles": 0}
            writer.write(http1.encode_response(200, common, json.dumps(report).encode()))
            return
        request_id = request.headers.get("x-request-id")
        if request_id is None:
            writer.write(http1.encode_response(400, {**common, "X-Not-Run": "1"}, b""))
            return
        common |= {"X-Request-Id": request_id, "X-Response-Stamp": f"{self.name}.{request_id}"}
        self.running += 1
        try:
            if self.kind == "engine":
                await self.stream(request, request_id, common, writer)
            else:
                self.note(request_id, "reward call runs")
                await asyncio.sleep(PLAIN_S)
                writer.write(http1.encode_response(200, common, b"scored"))
        finally:
            self.running -= 1

    async def stream(self, request, request_id, common, writer):
        done = int(request.headers.get("last-event-id", "0"))
        self.note(request_id, f"item runs after event {done}")
        headers = {**common, "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked",
                   "X-Weight-Versions": str(VERSION)}
        head = ["HTTP/1.1 200 OK"] + [f"{name}: {value}" for name, value in headers.items()]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        for number in range(done + 1, EVENTS + 1):
            await asyncio.sleep(EVENT_S)
            event = f"id: {number}\ndata: event {number} of {request_id}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        self.note(request_id, "item answered completely")


async def main():
    kind, name, ip, port, zone, service, model, store, record = sys.argv[1:]
    with open(record, "a", buffering=1) as log:
        replica = Replica(kind, name, f"{ip}:{port}", zone, service, model, store, log)
        server = await http1.serve(ip, int(port), replica.handle)
        asyncio.get_running_loop().create_task(replica.keep_entry())
        # Ends with the test, whatever becomes of it.
        parent = os.getppid()
        async with server:
            while os.getppid() == parent:
                await asyncio.sleep(0.5)


asyncio.run(main())
