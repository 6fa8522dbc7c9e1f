"""Stand-ins and helpers for the scripts of the review: the platform's store, engines of a plain
service, clients, a proxy, and the project's daemons started with the commands of the deploy file.

All of it follows PROTOCOL.md; where that page is silent, a stand-in behaves like a sound one.
Addresses are loopback addresses, one for each machine."""

import asyncio
import base64
import json
import os
import random
import re
import signal
import struct
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

# Settings of SYSTEM.md, "Csillagkapu Booking Routing Requirements Sheet".
BOUNDS = {
    "drainMs": 2000, "graceS": 8, "configApplyMs": 2000, "retryBudgetRatio": 0.2,
    "retryWindowS": 10, "retrySlack": 54,
}


class Record:
    """Lines of record.txt, with seconds since the start of the script."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


def lookup(fields, path):
    value = fields
    for part in path.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        else:
            value = value.get(part) if isinstance(value, dict) else None
        if value is None:
            return None
    return value


def render(text, fields):
    """Fills the placeholders of a command of the deploy file, as DEPLOY.md tells."""
    def section(match):
        kind, name, inner = match.groups()
        value = lookup(fields, name)
        if kind == "^":
            return inner if not value else ""
        return inner.replace("{{.}}", str(value)) if value else ""
    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, text)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(lookup(fields, m.group(1)) or ""), text)


def command(role, fields):
    with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as f:
        words = tomllib.load(f)["roles"][role]["run"]
    return render(words, fields).split(" ")


class Daemon:
    """One of the project's daemons as a process of its own."""

    def __init__(self, role, fields, log, record):
        self.role, self.fields, self.log, self.record = role, fields, log, record
        self.process = None

    def address(self, name):
        host, port = self.fields["listen"][name].split(":")
        return host, int(port)

    def start(self):
        words = command(self.role, self.fields)
        env = {"PATH": os.environ.get("PATH", ""), "HOME": "/tmp", "LANG": "C"}
        with open(self.log, "ab") as out:
            self.process = subprocess.Popen(words, cwd=ROOT, env=env, stdout=out, stderr=out)
        self.record.line(f"start {self.fields['nodeName']} pid {self.process.pid}")

    def signal(self, number):
        self.record.line(f"signal {number} to {self.fields['nodeName']}")
        self.process.send_signal(number)

    def stop(self):
        if self.process and self.process.poll() is None:
            try:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            except ProcessLookupError:
                pass
        if self.process:
            self.process.wait()

    def rss_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/statm") as f:
                return int(f.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6
        except (FileNotFoundError, ProcessLookupError, IndexError):
            return 0.0


class Closed(Exception):
    """The peer ended the connection."""


async def read_head(reader):
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        raise Closed from None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, until_close=False):
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int((await reader.readline()).split(b";")[0].strip() or b"x", 16)
                body += await reader.readexactly(size)
                await reader.readexactly(2)
                if size == 0:
                    return body
        if "content-length" in headers:
            return await reader.readexactly(int(headers["content-length"]))
        return await reader.read() if until_close else b""
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        raise Closed from None


def answer(status, body, headers=()):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """The platform's store: `keyed.*` topics, appends, reads that wait, newest records."""

    def __init__(self):
        self.topics = {}
        self.changed = asyncio.Event()

    def append(self, topic, data):
        records = self.topics.setdefault(topic, [])
        records.append(data)
        self.changed.set()
        self.changed = asyncio.Event()
        return len(records) - 1

    def put(self, topic, key, value):
        """A keyed record of the operator or of an engine; without a value the key is dropped."""
        key = key.encode()
        value = b"" if value is None else json.dumps(value).encode()
        return self.append(topic, bytes([len(key)]) + key + value)

    def newest(self, topic):
        found = {}
        for offset, data in enumerate(self.topics.get(topic, [])):
            key, value = data[1:1 + data[0]], data[1 + data[0]:]
            found.pop(key, None)
            if value:
                found[key] = (value, offset)
        return found

    async def serve(self, host):
        self.server = await asyncio.start_server(self.converse, host, 0)
        return self.server.sockets[0].getsockname()[1]

    async def converse(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ")
                path, _, query = target.partition("?")
                query = dict(part.split("=", 1) for part in query.split("&") if part)
                writer.write(await self.call(path, query, body))
                await writer.drain()
        except (Closed, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def call(self, path, query, body):
        topic = query.get("topic", "")
        if path == "/pumicecleat/log-newest":
            after = query.get("after", "").encode()
            rows = sorted(self.newest(topic).items())
            rows = [row for row in rows if row[0] > after]
            items = [{"key": k.decode(), "value": base64.b64encode(v).decode(), "offset": o}
                     for k, (v, o) in rows[:500]]
            end = len(self.topics.get(topic, []))
            text = {"items": items, "hasMore": len(rows) > 500, "endOffset": end}
            return answer(200, json.dumps(text).encode(), [("Content-Type", "application/json")])
        if path == "/pumicecleat/log-read":
            start, wait = int(query["from"]), int(query.get("waitMs", 0)) / 1000
            until = time.monotonic() + wait
            while len(self.topics.get(topic, [])) <= start and time.monotonic() < until:
                try:
                    await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
                except TimeoutError:
                    break
            records = self.topics.get(topic, [])
            out = struct.pack(">QQ", len(records), 0)
            for data in records[start:]:
                out += struct.pack(">I", len(data)) + data
            return answer(200, out)
        if path == "/pumicecleat/log-append":
            first = len(self.topics.get(topic, []))
            while body:
                size = struct.unpack(">I", body[:4])[0]
                self.append(topic, body[4:4 + size])
                body = body[4 + size:]
            text = {"offset": first, "endOffset": len(self.topics.get(topic, []))}
            return answer(200, json.dumps(text).encode(), [("Content-Type", "application/json")])
        return answer(404, b"")


def network():
    """Prefix of loopback addresses for one run."""
    return f"127.{random.randrange(64, 250)}.{random.randrange(1, 250)}."


def configuration(version, routes, service="foglalo", **limits):
    """A configuration as the operator writes it, with one plain service."""
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
              "idleTimeoutMs": 15000} | limits
    services = [{"name": service, "healthPath": "/healthz", "maxConnections": 100,
                 "protocol": "h1", "tls": False}]
    return {"version": version, "routes": routes, "services": services, "limits": limits}


def route(kind, sort, path, attempts, service="foglalo", timeout=1500):
    """A route of the sheet of Csillagkapu, which aims at 300 ms."""
    return {"name": f"r-{kind}", "host": "ficu95.example", "pathPrefix": path, "type": sort,
            "timeoutMs": timeout, "targetLatencyMs": 300, "priority": 2, "service": service,
            "maxAttempts": attempts}


def gateway(net, number, store_port, folder, record):
    """A gateway on an address of its own, with the bounds of the sheet; not started yet."""
    ip = f"{net}{number}"
    fields = {
        "nodeName": f"edge-bp-a-{number}", "zone": "bp-a", "region": "hu-central", "ip": ip,
        "listen": {"frontend": f"{ip}:{free_port(ip)}", "ready": f"{ip}:{free_port(ip)}"},
        "platform": {"address": f"{net}1:{store_port}"}, "internalPorts": [7380, 7395],
        "bounds": BOUNDS}
    return Daemon("gateway", fields, os.path.join(folder, f"gateway-{number}.log"), record)


# Exit code of a case that found its rule broken; run.sh makes 1 of it. Python itself ends with 1 on
# an error.
BROKEN = 10


def run(here, play):
    """Plays a case, whose result is 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    record = Record(here)
    code = 2
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    with tempfile.TemporaryDirectory() as folder:
        try:
            code = asyncio.run(play(record, folder))
        except Exception as error:
            record.line(f"error: {error!r}")
            print(f"couldn't run: {error!r}")
    sys.exit(BROKEN if code == 1 else code)


class Upstream:
    """One engine of a plain service, which writes its entry to the store."""

    def __init__(self, store, service, name, zone, record, work=0.06, slots=6):
        self.store, self.service, self.name, self.zone = store, service, name, zone
        self.record, self.work, self.slots = record, work, slots
        self.runs = []
        self.state, self.sequence, self.listed = "ready", 0, True
        self.tasks = set()

    async def serve(self, host):
        self.host = host
        self.server = await asyncio.start_server(self.converse, host, 0, limit=1 << 16)
        self.port = self.server.sockets[0].getsockname()[1]
        self.beat = asyncio.ensure_future(self.write())

    async def write(self):
        while self.listed:
            self.sequence += 1
            self.store.put("keyed.servers", self.name, {
                "service": self.service, "address": f"{self.host}:{self.port}",
                "zone": self.zone, "version": "1", "slots": self.slots, "state": self.state,
                "coldRemainingMs": 0, "sequence": self.sequence})
            await asyncio.sleep(1.2)

    async def converse(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                method, target, _ = line.split(" ")
                if target == "/healthz":
                    status = 200 if self.state == "ready" else 503
                    writer.write(answer(status, b"", [("Instance-Id", self.name)]))
                    continue
                body = await read_body(reader, headers)
                if headers.get("target-instance", self.name) != self.name:
                    writer.write(answer(421, b"", [("Instance-Id", self.name)]))
                    continue
                ident = headers.get("request-id", "")
                if not ident:
                    writer.write(answer(400, b"", [("Not-Executed", "1")]))
                    continue
                self.runs.append((self.record.now(), ident, method, target, len(body)))
                self.record.line(f"run {ident} at {self.name} ({method} {target}, {len(body)} B)")
                await asyncio.sleep(self.work)
                if not await self.respond(ident, reader, writer):
                    return
        except (Closed, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def whole_answer(self, ident, body=b"x" * 800):
        return answer(200, body, [
            ("Request-Id", ident), ("Response-Signature", f"sig-{ident}"),
            ("Instance-Load", f"1,0,{self.slots}")])

    async def respond(self, ident, reader, writer):
        """Answers a request; returns whether the channel stays."""
        writer.write(self.whole_answer(ident))
        await writer.drain()
        return True


async def wait_ready(host, port, patience=10.0):
    until = time.monotonic() + patience
    while time.monotonic() < until:
        try:
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(b"GET /pumicecleat/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line, _ = await read_head(reader)
            writer.close()
            if " 200 " in line:
                return True
        except (OSError, Closed):
            pass
        await asyncio.sleep(0.05)
    return False


def free_port(host):
    import socket
    with socket.socket() as s:
        s.bind((host, 0))
        return s.getsockname()[1]
