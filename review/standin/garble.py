"""Engines of a plain service that hand out wrong bytes in place of some answers (`garble`), and
clients who judge what they get. The bytes, and what counts as broken, are the case's."""

import asyncio
import os

import bed

TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Routes of the sheet: kind, type, method, path, requests a second, attempts; time budget.
ROUTES = [("ticket-issue", "safe", "GET", "/ticket/", 9.18, 2),
          ("seat-hold", "unsafe", "POST", "/seat/", 10.2, 1)]
UNSAFE = [kind for kind, sort, *_ in ROUTES if sort == "unsafe"]
BUDGET_MS = 3000

# garble: share 0.5 of the engines (two of four), x 0.02 of their answers of a kind, for 5.5 s.
ENGINES, GARBLING, GARBLE_EACH, GARBLE_S = 4, 2, 50, 5.5
GARBLE_AT = [4.0 + 9.0 * k for k in range(8)]
LENGTH_S = GARBLE_AT[-1] + GARBLE_S + 2.0


class Engine(bed.Upstream):
    """An engine that runs each request, and garbles one answer in fifty while it is told to."""

    wrong = b""

    def __init__(self, *args):
        super().__init__(*args)
        self.garbles, self.answers, self.garbled = False, {}, 0

    async def respond(self, ident, reader, writer):
        if self.garbles:
            kind = ident.rsplit("-", 1)[0]
            count = self.answers[kind] = self.answers.get(kind, 0) + 1
            if count % GARBLE_EACH == GARBLE_EACH // 2:
                self.garbled += 1
                self.record.line(f"garble {ident} at {self.name}: {self.wrong!r}")
                writer.write(self.wrong)
                await writer.drain()
                return False
        return await super().respond(ident, reader, writer)


class Client:
    """Sends each request on a channel of its own and waits for its time budget. After a promise
    that a request has not run, it repeats it once, under an id of its own."""

    def __init__(self, record, address, engines, judge):
        self.record, self.address, self.engines, self.judge = record, address, engines, judge
        self.broken, self.twice, self.ends, self.count = [], [], {}, 0

    def runs(self, ident):
        return sum(run[1] == ident for engine in self.engines for run in engine.runs)

    async def request(self, kind, method, path):
        first = await self.attempt(kind, method, path)
        if first[1] in ("503", "429", "408"):
            second = await self.attempt(kind, method, path)
            if kind in UNSAFE and self.runs(first[0]) and self.runs(second[0]):
                self.twice.append(first[0])
                self.record.line(f"{first[0]} and its repeat {second[0]} have both run")

    async def attempt(self, kind, method, path):
        self.count += 1
        ident = f"{kind}-{self.count}"
        body = b"b" * 600 if method == "POST" else b""
        head = [f"{method} {path}2f HTTP/1.1", "Host: ficu95.example", f"Request-Id: {ident}",
                f"Deadline-Ms: {BUDGET_MS}", f"Content-Length: {len(body)}"]
        fault = None
        try:
            reader, writer = await asyncio.open_connection(*self.address)
            writer.write(("\r\n".join(head) + "\r\n\r\n").encode() + body)
            self.record.line(f"sent {ident}")
            line, headers, body = await asyncio.wait_for(self.read(reader), BUDGET_MS / 1000)
            end = line.split(" ")[1]
            fault = self.judge(kind, ident, end, headers, body, self.runs(ident))
            writer.close()
        except bed.Closed:
            end = "closed"
        except TimeoutError:
            end = "time budget over"
        except OSError:
            end = "failed to connect"
        self.record.line(f"end {ident}: {end}")
        if fault:
            self.broken.append(ident)
            self.record.line(f"BROKEN {ident}: {fault}")
        self.ends[end] = self.ends.get(end, 0) + 1
        return ident, end

    @staticmethod
    async def read(reader):
        line, headers = await bed.read_head(reader)
        return line, headers, await bed.read_body(reader, headers)


async def play(record, folder, rule, wrong, judge):
    net = bed.network()
    store = bed.Store()
    port = await store.serve(net + "1")
    engines = [Engine(store, "foglalo", f"i-{k}", "bp-a", record) for k in range(ENGINES)]
    for k, engine in enumerate(engines):
        engine.wrong = wrong
        await engine.serve(f"{net}{10 + k}")
    routes = [bed.route(kind, sort, path, attempts) for kind, sort, _, path, _, attempts in ROUTES]
    store.put("keyed.op", "config", bed.configuration(7, routes))
    gateway = bed.gateway(net, 40, port, folder, record)
    tasks = []
    try:
        gateway.start()
        if not await bed.wait_ready(*gateway.address("ready")):
            return 2
        await asyncio.sleep(2.0)
        client = Client(record, gateway.address("frontend"), engines, judge)
        start = record.now()

        async def traffic(kind, method, path, rate):
            while record.now() - start < LENGTH_S:
                tasks.append(asyncio.ensure_future(client.request(kind, method, path)))
                await asyncio.sleep(1 / rate)

        async def trouble():
            for at in GARBLE_AT:
                await asyncio.sleep(max(0, start + at - record.now()))
                record.line(f"garble at {GARBLING} engines" if TROUBLE else "no garble")
                for engine in engines[:GARBLING]:
                    engine.garbles = TROUBLE
                await asyncio.sleep(GARBLE_S)
                for engine in engines:
                    engine.garbles = False
                record.line("garble ends")

        work = [traffic(kind, method, path, rate) for kind, _, method, path, rate, _ in ROUTES]
        await asyncio.gather(*work, trouble())
        await asyncio.gather(*tasks)
        if gateway.process.poll() is not None:
            return 2
    finally:
        for task in tasks:
            task.cancel()
        gateway.stop()
    garbled = sum(e.garbled for e in engines)
    text = (f"requests {client.count}, garbled answers {garbled}, ends {client.ends},"
            f" unsafe ones run twice after a promise {len(client.twice)}: {rule}"
            f" {'broken ' + str(len(client.broken)) + ' times' if client.broken else 'held'}")
    record.line(text)
    print(text)
    return 1 if client.broken else 0
