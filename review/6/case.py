"""An account's allowance while a zone's links lose packets."""

import asyncio
import json
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-2"))
import bed  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Allowance of the page's example (wire: ratePerS, burst) and the bounds of the sheet.
RATE, BURST = 129_622, 129_622
WINDOW_S, OVERAGE, TOLERANCE = 8.0, 0.1, 17_000
TOKENS = 2_000  # a request without Token-Usage counts as rawTokens
LIMIT = (RATE * WINDOW_S + BURST) * (1 + OVERAGE) + TOLERANCE
DEMAND = 3.0  # the account asks for three times its rate

LOSS, LOSS_S = 0.025, 5.5  # site file: lossy, x = 0.025, for_s = 5.5
RESEND_S = 0.2  # least time after which TCP sends a lost segment again

LEAD_S, HOT_S, LOSSY_AT = 6.0, 18.0, 1.0

GATEWAYS = [("bp-a", 1), ("bp-a", 2), ("bp-b", 1), ("bp-b", 2), ("kecs", 1)]
AGENTS = [("bp-a", 1), ("bp-a", 2), ("bp-b", 1), ("bp-b", 2), ("kecs", 1), ("kecs", 2)]
KEY = "k7b2ex5wa5xwyhks8nbk"

CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-chat",
            "host": "ficu95.example",
            "pathPrefix": "/lohu930/",
            "type": "streaming",
            "timeoutMs": 5000,
            "targetLatencyMs": 1000,
            "priority": 1,
            "service": "huvo11a",
            "maxAttempts": 1,
            "public": False,
            "resumable": False,
            "targetGapMs": 400,
        },
        {
            "name": "r-hold",
            "host": "ficu95.example",
            "pathPrefix": "/puxa403/",
            "type": "unsafe",
            "timeoutMs": 1500,
            "targetLatencyMs": 300,
            "priority": 2,
            "service": "wuno96b",
            "maxAttempts": 1,
            "public": False,
            "resumable": False,
        },
    ],
    "services": [
        {
            "name": "huvo11a",
            "healthPath": "/healthz",
            "maxConnections": 360,
            "engine": {
                "slots": 64,
                "kvCapacity": 128390,
                "models": [
                    {
                        "name": "daka510000",
                        "weightsMb": 42700.0,
                        "loadTimeS": 2.5,
                        "adapters": 3000,
                        "adapterSizeMb": 66.0,
                    }
                ],
                "weightsMb": 44000.0,
                "maxAdapters": 6,
                "loadsPerS": 2.1,
            },
        },
        {"name": "wuno96b", "healthPath": "/healthz", "maxConnections": 190},
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [
        {
            "name": "hule930",
            "apiKeys": [KEY],
            "priority": 1,
            "unit": "token_stream",
            "rawTokens": TOKENS,
            "ratePerS": RATE,
            "burst": BURST,
        }
    ],
}


class Plain(bed.Upstream):
    """Plain server: 15 ms of work; tells the case what it runs."""

    runs = []

    async def handle(self, method, target, headers, body, writer):
        if target == "/healthz":
            return bed.answer(200, [("Instance-Id", self.id)])
        wrong = self.identity(headers)
        if wrong:
            return wrong
        Plain.runs.append((headers["request-id"], bed.now()))
        await asyncio.sleep(0.015)
        return bed.answer(200, self.signed(headers), b"b" * 800)


class Link(bed.Server):
    """Proxy before an agent: the links of its zone lose packets while `lossy` is set."""

    zones = {}
    lossy = None  # zone whose links to the others lose packets
    lost = 0

    def __init__(self, ip, port, zone, real):
        super().__init__(ip, port)
        self.zone, self.real = zone, real

    async def talk(self, reader, writer):
        self.channels.add(writer)
        try:
            up_reader, up_writer = await asyncio.open_connection(self.ip, self.real)
        except OSError:
            writer.transport.abort()
            return
        peer = {"zone": None}
        await asyncio.gather(
            self.pump(reader, up_writer, peer, True), self.pump(up_reader, writer, peer, False)
        )

    async def pump(self, reader, writer, peer, outward):
        try:
            while True:
                data = await reader.read(65536)
                if not data:
                    break
                if outward and peer["zone"] is None:
                    named = [z for n, z in Link.zones.items() if n.encode() in data]
                    peer["zone"] = named[0] if named else None
                if self.crosses(peer["zone"]) and random.random() < LOSS:
                    Link.lost += 1
                    await asyncio.sleep(RESEND_S)
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.transport.abort()
        finally:
            writer.close()

    def crosses(self, zone):
        ends = {zone, self.zone}
        return Link.lossy in ends and zone is not None and len(ends) == 2


async def main(work):
    record = bed.Record(os.path.join(HERE, "record.txt"))
    store = await bed.Store("127.0.0.9").open()
    store.put("keyed.op", "config", CONFIG)
    tasks, daemons, servers = [], [], [store]
    agent_ips = [f"127.0.1.{i + 11}" for i in range(len(AGENTS))]
    agent_port = bed.common_port(agent_ips)

    for (zone, n), ip in zip(AGENTS, agent_ips):
        name = f"i-{zone}-{n}"
        engine = await bed.Engine(store, ip, "huvo11a", zone, name, "daka510000").open()
        real = bed.free_port(ip)
        link = await Link(ip, agent_port, zone, real).open()
        tasks.append(asyncio.ensure_future(engine.beats_on()))
        servers += [engine, link]
        log = os.path.join(work, f"agent-{zone}-{n}.log")
        ports = (real, bed.free_port(ip))
        name = f"side-{zone}-{n}"
        daemons.append(
            bed.agent(name, zone, ip, ports, store.address, engine.address, "huvo11a", log)
        )
    for i, zone in enumerate(("bp-a", "bp-b", "kecs")):
        plain = Plain(store, f"127.0.2.{i + 11}", "wuno96b", zone, f"i-plain-{zone}")
        plain.slots = 6
        await plain.open()
        tasks.append(asyncio.ensure_future(plain.beats_on()))
        servers.append(plain)

    gateways = []
    for i, (zone, n) in enumerate(GATEWAYS):
        ip, name = f"127.0.3.{i + 11}", f"edge-{zone}-{n}"
        Link.zones[name] = zone
        ports = [bed.free_port(ip) for _ in range(3)]
        log = os.path.join(work, f"{name}.log")
        bounds = {
            "revoke_span": "5000ms",
            "allowance_window": f"{WINDOW_S:.0f}s",
            "allowance_overage": str(OVERAGE),
            "allowance_slack": str(TOLERANCE),
        }
        daemons.append(
            bed.gateway(name, zone, ip, ports, store.address, agent_port, log, **bounds)
        )
        gateways.append((ip, ports, log))

    sent, ends = {}, {}
    try:
        for daemon in daemons:
            await daemon.start()
        for ip, ports, _ in gateways:
            if not await bed.wait_ready(ip, ports[1]):
                record.line(f"gateway {ip} isn't ready")
                return 2
        clients = [bed.Client(ip, ports[0]) for ip, ports, _ in gateways]

        async def ask(number):
            request = f"r{number:08x}"
            headers = [
                ("Host", "ficu95.example"),
                ("Request-Id", request),
                ("Authorization", f"Token {KEY}"),
                ("Deadline-Ms", "1500"),
            ]
            sent[request] = bed.now()
            client = clients[number % len(clients)]
            status, _, _ = await client.send("POST", "/puxa403/2f", headers, b"x" * 100, 2.5)
            ends[status] = ends.get(status, 0) + 1
            record.line(f"request {request} answered {status}")

        start, number = bed.now(), 0
        pending = set()
        hot_at, end_at = start + LEAD_S, start + LEAD_S + HOT_S
        while bed.now() < end_at:
            hot = bed.now() >= hot_at
            after = bed.now() - hot_at - LOSSY_AT
            if TROUBLE and 0 <= after < LOSS_S:
                if Link.lossy is None:
                    Link.lossy = pool_zone(gateways, agent_ips)
                    record.line(f"links of {Link.lossy} lose packets")
            elif Link.lossy is not None:
                Link.lossy = None
                record.line(f"links are whole again; {Link.lost} segments were lost")
            task = asyncio.ensure_future(ask(number))
            pending.add(task)
            task.add_done_callback(pending.discard)
            number += 1
            rate = RATE / TOKENS * (DEMAND if hot else 0.3)
            due = start + sum_due(number, hot_at - start)
            await asyncio.sleep(max(0.0, due - bed.now()) if rate else 0)
        await asyncio.gather(*pending)
        return judge(record, sent, ends)
    finally:
        for task in tasks:
            task.cancel()
        for daemon in daemons:
            await daemon.end()
        for server in servers:
            server.shut()
        for ip, _, log in gateways:
            for line in open(log, encoding="utf-8", errors="replace"):
                if "pool" in line.lower():
                    record.line(f"{ip} {line.strip()[:300]}")
        record.close()


def sum_due(number, lead):
    """Time of a request since the start: three tenths of the rate at first, then the hot account."""
    quiet = RATE / TOKENS * 0.3
    if number < quiet * lead:
        return number / quiet
    return lead + (number - quiet * lead) / (RATE / TOKENS * DEMAND)


def pool_zone(gateways, agent_ips):
    """Zone of the agent that the gateways have logged as their pool."""
    zones = {ip: zone for (zone, _), ip in zip(AGENTS, agent_ips)}
    for _, _, log in gateways:
        for line in open(log, encoding="utf-8", errors="replace"):
            for ip, zone in zones.items():
                if f'"pool":"{ip}:' in line.replace(" ", ""):
                    return zone
    return "kecs"


def judge(record, sent, ends):
    """Compares each window of the account's use with its limit."""
    runs = sorted((sent[r], at) for r, at in Plain.runs if r in sent)
    most, at = 0, 0.0
    for first, _ in runs:
        inside = [1 for s, t in runs if s >= first and t <= first + WINDOW_S]
        if len(inside) * TOKENS > most:
            most, at = len(inside) * TOKENS, first - record.start
    record.line(f"answers by status: {json.dumps(ends)}; {len(runs)} requests ran")
    record.line(f"most tokens in {WINDOW_S:.0f} s: {most}, from {at:.2f} s; limit {LIMIT:.0f}")
    print(f"most {most}, limit {LIMIT:.0f}, lost segments {Link.lost}, ends {ends}")
    return 1 if most > LIMIT else 0


if __name__ == "__main__":
    sys.exit(bed.play(main, "6"))
