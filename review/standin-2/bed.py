"""Test bed of the second review: store, engines, plain servers, proxies and clients.

They follow PROTOCOL.md where the programs under test use it and behave soundly elsewhere. All
sockets are on loopback addresses. Only the standard library is used.
"""

import asyncio
import base64
import json
import os
import random
import signal
import struct
import sys
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HEARTBEAT_S = 1.2


def now():
    return time.monotonic()


class Record:
    """Lines of record.txt, with seconds since the start of the run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = now()

    def line(self, text):
        self.file.write(f"{now() - self.start:8.3f} {text}\n")

    def close(self):
        self.file.close()


async def read_head(reader):
    """Head of a message: first line and headers; None at the end of the channel."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Body with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower().endswith("chunked"):
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += piece[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


def message(first, headers, body):
    head = first + "\r\n" + "".join(f"{n}: {v}\r\n" for n, v in headers)
    return head.encode("latin-1") + b"\r\n" + body


def answer(status, headers=(), body=b""):
    headers = list(headers) + [("Content-Length", len(body))]
    return message(f"HTTP/1.1 {status} X", headers, body)


class Server:
    """HTTP server; `handle(method, target, headers, body, writer)` gives bytes, or None to close."""

    buffer = 1 << 20  # bytes that are read ahead on a channel

    def __init__(self, ip, port=0):
        self.ip, self.port, self.server, self.channels = ip, port, None, set()

    async def open(self):
        self.server = await asyncio.start_server(self.talk, self.ip, self.port, limit=self.buffer)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def talk(self, reader, writer):
        self.channels.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, _ = head[0].split(" ")
                body = await read_body(reader, head[1])
                reply = await self.handle(method, target, head[1], body, writer)
                if reply is None:
                    break
                writer.write(reply)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.channels.discard(writer)
            writer.close()

    def shut(self):
        if self.server:
            self.server.close()
        for writer in list(self.channels):
            writer.transport.abort()


class Store(Server):
    """The platform's store: topics with one partition, keyed topics among them."""

    def __init__(self, ip):
        super().__init__(ip)
        self.topics = {}

    def topic(self, name):
        return self.topics.setdefault(name, {"records": [], "newest": {}, "news": asyncio.Event()})

    def append(self, name, records):
        topic = self.topic(name)
        first = len(topic["records"])
        for raw in records:
            offset = len(topic["records"])
            topic["records"].append(raw)
            if name.startswith("keyed."):
                key, value = raw[1 : 1 + raw[0]].decode(), raw[1 + raw[0] :]
                topic["newest"].pop(key, None)
                if value:
                    topic["newest"][key] = (value, offset)
        topic["news"].set()
        topic["news"] = asyncio.Event()
        return first

    def put(self, name, key, value):
        raw = bytes([len(key)]) + key.encode() + (json.dumps(value).encode() if value else b"")
        self.append(name, [raw])

    async def handle(self, method, target, headers, body, writer):
        path, _, query = target.partition("?")
        args = dict(pair.split("=", 1) for pair in query.split("&") if pair)
        await asyncio.sleep(0.004)
        json_type = [("Content-Type", "application/json")]
        if path == "/pumicecleat/log-newest":
            topic = self.topic(args["topic"])
            items = [
                {"key": k, "value": base64.b64encode(v).decode(), "offset": o}
                for k, (v, o) in sorted(topic["newest"].items())
                if k > args.get("after", "")
            ]
            page = {"items": items[:500], "hasMore": len(items) > 500}
            page["endOffset"] = len(topic["records"])
            return answer(200, json_type, json.dumps(page).encode())
        if path == "/pumicecleat/log-read":
            topic, start = self.topic(args["topic"]), int(args["from"])
            if start > len(topic["records"]):
                return answer(410, json_type, json.dumps({"firstOffset": 0}).encode())
            if start == len(topic["records"]) and int(args.get("waitMs", 0)) > 0:
                try:
                    await asyncio.wait_for(topic["news"].wait(), int(args["waitMs"]) / 1000)
                except asyncio.TimeoutError:
                    pass
            records = topic["records"][start:]
            out = struct.pack(">QQ", len(topic["records"]), 0)
            out += b"".join(struct.pack(">I", len(r)) + r for r in records)
            return answer(200, (), out)
        if path == "/pumicecleat/log-append":
            records = []
            while body:
                (size,) = struct.unpack(">I", body[:4])
                records.append(body[4 : 4 + size])
                body = body[4 + size :]
            first = self.append(args["topic"], records)
            reply = {"offset": first, "endOffset": first + len(records)}
            return answer(200, json_type, json.dumps(reply).encode())
        return answer(404)


class Upstream(Server):
    """A server that is listed in the store: common part of engines and plain servers."""

    def __init__(self, store, ip, service, zone, name):
        super().__init__(ip)
        self.store, self.service, self.zone, self.id = store, service, zone, name
        self.state, self.beats, self.slots, self.gone = "ready", 0, 64, False

    def entry(self):
        self.beats += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self.beats,
        }

    def beat(self):
        self.store.put("keyed.servers", self.id, self.entry())

    async def beats_on(self):
        while not self.gone:
            self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    def identity(self, headers):
        """421 for a request that another server was meant to get, else None."""
        wanted = headers.get("target-instance")
        if wanted is not None and wanted != self.id:
            mine = [("Instance-Id", self.id), ("Request-Id", headers.get("request-id", ""))]
            return answer(421, mine)
        return None

    def signed(self, headers):
        request = headers.get("request-id", "")
        return [("Request-Id", request), ("Response-Signature", f"{self.id}.{request}")]


class Engine(Upstream):
    """A model engine with its base model loaded."""

    def __init__(self, store, ip, service, zone, name, model):
        super().__init__(store, ip, service, zone, name)
        self.model, self.adapters, self.sequence = model, {}, 1
        self.runs = {}

    def entry(self):
        held = [f"{a}@{v}" for a, v in self.adapters.items()]
        models = [{"name": self.model, "version": 1, "adapters": held}]
        return {**super().entry(), "phase": "mixed", "models": models}

    def report(self):
        held = [f"{a}@{v}" for a, v in self.adapters.items()]
        return {
            "phase": "mixed",
            "models": [{"name": self.model, "version": 1, "adapters": held}],
            "busy": False,
            "sequence": self.sequence,
            "queued": 0,
            "active": len(self.runs),
            "kvUsed": 0,
            "kvTotal": 128390,
            "supportedModels": 0,
            "state": self.state,
            "pending": [],
            "runs": [[r, 100, n, 0] for r, n in self.runs.items()],
        }

    async def handle(self, method, target, headers, body, writer):
        if target == "/pumicecleat/report":
            kind = [("Content-Type", "application/json")]
            return answer(200, kind, json.dumps(self.report()).encode())
        if target == "/healthz":
            return answer(200, [("Instance-Id", self.id), ("Instance-Load", "0,0,64")])
        wrong = self.identity(headers)
        if wrong:
            return wrong
        if target == "/pumicecleat/order":
            return self.order(json.loads(body))
        return await self.run(method, target, headers, body, writer)

    def order(self, order):
        if order.get("expect", self.sequence) != self.sequence:
            return answer(409)
        self.sequence += 1
        if "adapter" in order:
            if order["operation"] == "model_load":
                self.adapters[order["adapter"]] = order.get("version", 1)
            else:
                self.adapters.pop(order["adapter"], None)
        return answer(202)

    async def run(self, method, target, headers, body, writer):
        return answer(503, [("Not-Executed", "1"), ("Request-Id", headers.get("request-id", ""))])


class Daemon:
    """A process of the system under test."""

    def __init__(self, args, log):
        self.args, self.log, self.process = args, log, None

    async def start(self):
        with open(self.log, "ab") as out:
            self.process = await asyncio.create_subprocess_exec(
                *self.args, cwd=ROOT, stdout=out, stderr=out, stdin=asyncio.subprocess.DEVNULL
            )

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process:
            await self.process.wait()


BOUNDS = {
    "repeat-ratio": "0.2",
    "repeat-slack": "54",
    "repeat-window": "10s",
    "leave-span": "2000ms",
    "apply-span": "2000ms",
    "revoke-span": "0ms",
    "allowance-window": "0s",
    "allowance-overage": "0",
    "allowance-slack": "0",
    "grace": "8s",
}


def gateway(name, zone, ip, ports, store, agent_port, log, **bounds):
    """Gateway with the command line of deploy/system.toml; `ports` are those of its listeners."""
    args = ["target/release/platform-gateway", "--vm", name, "--data-centre", zone]
    args += ["--region", "hu-central", "--listen", f"{ip}:{ports[0]}"]
    args += ["--ready-listen", f"{ip}:{ports[1]}", "--admin", f"{ip}:{ports[2]}"]
    args += ["--store", store, "--agent-port", str(agent_port)]
    for flag, value in {**BOUNDS, **{k.replace("_", "-"): v for k, v in bounds.items()}}.items():
        args += ["--" + flag, value]
    return Daemon(args + ["--log-format", "json"], log)


def agent(name, zone, ip, ports, store, engine, service, log):
    """Agent with the command line of deploy/system.toml."""
    args = ["target/release/platform-agent", "--vm", name, "--data-centre", zone]
    args += ["--region", "hu-central", "--peer-listen", f"{ip}:{ports[0]}"]
    args += ["--admin", f"{ip}:{ports[1]}", "--store", store, "--engine", engine]
    args += ["--service", service, "--leave-span", "2000ms", "--apply-span", "2000ms"]
    args += ["--pause-guard", "0.4", "--min-loads", "0.25", "--return-times", "true"]
    return Daemon(args + ["--log-format", "json"], log)


def free_port(ip):
    import socket

    with socket.socket() as s:
        s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        s.bind((ip, 0))
        return s.getsockname()[1]


def common_port(ips):
    """A port that is free on each of these addresses."""
    import socket

    for _ in range(200):
        port = random.randint(20000, 29999)
        try:
            for ip in ips:
                with socket.socket() as s:
                    s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    s.bind((ip, port))
            return port
        except OSError:
            continue
    raise RuntimeError("no free port")


class Client:
    """Kept channels to one gateway."""

    def __init__(self, ip, port):
        self.ip, self.port, self.idle = ip, port, []

    async def channel(self):
        while self.idle:
            reader, writer = self.idle.pop()
            if not reader.at_eof() and not writer.is_closing():
                return reader, writer
        return await asyncio.open_connection(self.ip, self.port, limit=1 << 20)

    async def send(self, method, path, headers, body=b"", timeout=5.0):
        """Status, headers and body of the answer; (0, {}, reason) without a whole one."""
        try:
            return await asyncio.wait_for(self.exchange(method, path, headers, body), timeout)
        except asyncio.TimeoutError:
            return 0, {}, b"timeout"
        except (OSError, asyncio.IncompleteReadError, ValueError) as e:
            return 0, {}, repr(e).encode()

    async def exchange(self, method, path, headers, body):
        reader, writer = await self.channel()
        kept = False
        try:
            head = list(headers) + [("Content-Length", len(body))]
            writer.write(message(f"{method} {path} HTTP/1.1", head, body))
            await writer.drain()
            got = await read_head(reader)
            if got is None:
                return 0, {}, b"closed"
            status = int(got[0].split(" ")[1])
            content = await read_body(reader, got[1])
            kept = got[1].get("connection", "").lower() != "close"
            return status, got[1], content
        finally:
            if kept:
                self.idle.append((reader, writer))
            else:
                writer.close()


async def wait_ready(ip, port, seconds=10.0):
    """Waits until a gateway says that it is ready."""
    end = now() + seconds
    client = Client(ip, port)
    while now() < end:
        status, _, _ = await client.send("GET", "/pumicecleat/readyz", [("Host", "x")], timeout=1.0)
        if status == 200:
            return True
        await asyncio.sleep(0.1)
    return False


def play(main, name, seconds=110):
    """Runs `main(folder)` with a temporary folder; 10 if the rule was broken, 0 if it held, else 2.

    A program of Python that fails exits with 1, so that this isn't used here; run.sh gives 1 for 10.
    """
    import shutil
    import tempfile

    # Channels that are still open when the loop ends are of no interest.
    sys.unraisablehook = lambda _: None
    folder = tempfile.mkdtemp(prefix=f"review-{name}-")

    async def bounded():
        task = asyncio.ensure_future(main(folder))
        loop = asyncio.get_running_loop()
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, task.cancel)
        return 10 if (code := await asyncio.wait_for(task, seconds)) == 1 else code

    try:
        return asyncio.run(bounded())
    except (Exception, asyncio.CancelledError) as e:
        print(f"the case couldn't run: {e!r}")
        return 2
    finally:
        if os.environ.get("KEEP"):
            print(folder)
        else:
            shutil.rmtree(folder, ignore_errors=True)
