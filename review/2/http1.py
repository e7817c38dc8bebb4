"""Minimal HTTP/1.1 server for the stand-ins, on asyncio."""

import asyncio


class Request:
    """A request that was read completely."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body


async def read_request(reader):
    """Reads one request. Returns None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _version = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Request(method, target, headers, body)


def encode_response(status, headers, body):
    """Encodes a complete response."""
    lines = [f"HTTP/1.1 {status} -"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def serve(host, port, handler):
    """Serves connections. `handler(request, writer)` writes the response itself."""

    async def connection(reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                await handler(request, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, host, port, limit=1 << 20)
