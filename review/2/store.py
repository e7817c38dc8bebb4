"""Stand-in of the platform's metadata store: listings, watches and conditional writes of objects."""

import asyncio
import json
from urllib.parse import parse_qs, urlsplit

import http1

# Entries of replicas go after three heartbeats of silence.
HEARTBEAT_S = 1.2


class Store:
    def __init__(self):
        self.revision = 0
        self.objects = {}
        self.history = []
        self.changed = asyncio.Condition()
        self.heard = {}

    async def write(self, kind, name, spec, status=None):
        self.revision += 1
        rev = self.revision
        known = self.objects.get((kind, name))
        if spec is None:
            self.objects.pop((kind, name), None)
            event = {"removed": True, "object": {"metadata": {"name": name, "rev": rev}}}
            stored = known
        else:
            stored = {
                "metadata": {"name": name, "rev": rev, "created": 1, "finalizers": [], "deleting": False},
                "spec": spec,
                "status": status if status is not None else (known or {}).get("status"),
            }
            self.objects[(kind, name)] = stored
            event = {"removed": False, "object": stored}
        self.history.append((rev, kind, event))
        async with self.changed:
            self.changed.notify_all()
        return stored

    async def beat(self, name, spec):
        """Writes a replica's entry; only a change other than of `seq` is a change."""
        self.heard[name] = asyncio.get_running_loop().time()
        known = self.objects.get(("servers", name))
        strip = lambda entry: {key: value for key, value in entry.items() if key != "seq"}
        if known is None or strip(known["spec"]) != strip(spec):
            await self.write("servers", name, spec)

    async def expire(self):
        while True:
            await asyncio.sleep(0.1)
            now = asyncio.get_running_loop().time()
            for name, at in list(self.heard.items()):
                if now - at > 3 * HEARTBEAT_S:
                    del self.heard[name]
                    await self.write("servers", name, None)

    async def watch(self, kind, after, wait_ms):
        until = asyncio.get_running_loop().time() + wait_ms / 1000
        while True:
            events = [event for rev, of, event in self.history if rev > after and of == kind]
            left = until - asyncio.get_running_loop().time()
            if events or left <= 0:
                return {"events": events, "time": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def handle(self, request, writer):
        url = urlsplit(request.target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        parts = url.path.strip("/").split("/")
        status, answer = await self.answer(request, parts[2:], query)
        body = json.dumps(answer).encode()
        writer.write(http1.encode_response(status, {"Content-Type": "application/json"}, body))

    async def answer(self, request, parts, query):
        kind, name = parts[0], (parts[1] if len(parts) > 1 else None)
        if request.method == "GET" and name is None:
            if "watch" in query:
                return 200, await self.watch(kind, int(query["watch"]), int(query.get("wait_ms", 0)))
            names = sorted(key[1] for key in self.objects if key[0] == kind)
            names = [other for other in names if other > query.get("since_rev", "")]
            items = [self.objects[(kind, other)] for other in names]
            return 200, {"items": items, "more_pages": False, "time": self.revision}
        known = self.objects.get((kind, name))
        if request.method == "GET":
            return (200, known) if known else (404, {})
        if request.method == "DELETE":
            if known is None:
                return 404, {}
            if "rev" in query and int(query["rev"]) != known["metadata"]["rev"]:
                return 409, known
            return 200, await self.write(kind, name, None)
        body = json.loads(request.body)
        if request.method == "POST":
            name = body["metadata"]["name"]
            known = self.objects.get((kind, name))
            if known is not None:
                return 409, known
            if kind == "servers":
                await self.beat(name, body["spec"])
                return 200, self.objects[(kind, name)]
            return 200, await self.write(kind, name, body["spec"])
        if known is None:
            return 404, {}
        expected = body.get("metadata", {}).get("rev")
        if expected is not None and expected != known["metadata"]["rev"]:
            return 409, known
        if len(parts) > 2:
            return 200, await self.write(kind, name, known["spec"], body["status"])
        if kind == "servers":
            await self.beat(name, body["spec"])
            return 200, self.objects[(kind, name)]
        return 200, await self.write(kind, name, body["spec"])
