"""Fault: gateways that start again run out of memory, as another writer's keys are in the store.

Two gateways serve a service. Another writer adds 520 entries that name no server, with ids such
as R&D-0001. Then the gateways are stopped and started in turn. With TROUBLE=0 the ids of the same
entries are written without the sign &.

The platform's part: a process above its memory is killed, and one that has ended starts again.
"""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-2"))

from harness import main, read_body, read_head

FOREIGN_ENTRIES = 520
ENDS_MAX = 3
RESTART_DELAY_S = 0.5
WATCHED_S = 25
ENTRY = b"\xff\x00 not a server".ljust(1000, b".")

CONFIG = {
    "version": 1,
    "routes": [{
        "name": "receipt", "hostname": "desk.example", "prefix": "/receipt/",
        "kind": "idempotent", "timeoutMs": 1000, "targetLatencyMs": 150, "priority": 2,
        "service": "desk", "maxAttempts": 2, "public": False, "sticky": False}],
    "services": [{"name": "desk", "healthCheck": "/health", "maxConnections": 110,
                  "protocol": "h1", "tls": False}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
               "idleTimeoutMs": 15000},
    "tenants": [{"name": "t1", "apiKeys": ["key-1"], "priority": 1}],
}


async def answer(server, writer, _method, _target, headers, _body):
    await asyncio.sleep(0.03)
    writer.write(server.head(headers["x-request-id"], b"Content-Length: 2\r\n\r\nok"))
    await writer.drain()
    return True


class Machine:
    """What the platform does with a gateway's process."""

    def __init__(self, fleet, gateway):
        self.fleet, self.gateway = fleet, gateway
        self.own_ends = 0
        self.is_stopping = False
        self.most_mb = 0.0

    async def watch(self):
        while True:
            used = self.gateway.memory_mb()
            self.most_mb = max(self.most_mb, used)
            if used > self.gateway.memory_max_mb:
                self.fleet.record.line(
                    f"gateway {self.gateway.name}: {used:.0f} MB, above its "
                    f"{self.gateway.memory_max_mb}; killed")
                self.gateway.process.kill()
            if self.gateway.process.poll() is not None:
                if not self.is_stopping:
                    self.own_ends += 1
                    self.fleet.record.line(f"gateway {self.gateway.name}: end {self.own_ends} "
                                           "of its own")
                self.is_stopping = False
                await asyncio.sleep(RESTART_DELAY_S)
                self.gateway.write(bootstrap=False)
                self.gateway.start()
            await asyncio.sleep(0.02)

    async def restart(self):
        self.is_stopping = True
        self.gateway.signal(signal.SIGTERM)
        while self.is_stopping:
            await asyncio.sleep(0.05)


async def request(gateway, ident):
    reader = writer = None
    try:
        reader, writer = await asyncio.open_connection(gateway.ip, gateway.front)
        writer.write((f"GET /receipt/{ident} HTTP/1.1\r\nHost: desk.example\r\n"
                      f"X-Request-Id: {ident}\r\nX-Deadline-Ms: 1000\r\n"
                      f"Authorization: Bearer key-1\r\n\r\n").encode())
        head = await asyncio.wait_for(read_head(reader), 2)
        if head is None:
            return "no answer"
        await read_body(reader, head[1])
        return head[0].split(" ")[1]
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return "no answer"
    finally:
        if writer is not None:
            writer.close()


async def clients(fleet):
    """Sends ten requests a second to each gateway and records each second's answers."""
    number = 0
    while True:
        sent = []
        for _ in range(10):
            sent += [asyncio.create_task(request(g, f"q{number + n}"))
                     for n, g in enumerate(fleet.gateways)]
            number += len(fleet.gateways)
            await asyncio.sleep(0.1)
        answers = {}
        for result in await asyncio.gather(*sent):
            answers[result] = answers.get(result, 0) + 1
        fleet.record.line(f"clients: {answers}")


async def case(fleet, trouble):
    await fleet.start(gateways=2, memory_mb=88)
    fleet.store.put("op/config", CONFIG)
    for number in (1, 2):
        await fleet.add_server(f"i-{number}", "desk", answer, slots=6).start()
    await fleet.run()
    machines = [Machine(fleet, gateway) for gateway in fleet.gateways]
    background = [asyncio.create_task(machine.watch()) for machine in machines]
    background.append(asyncio.create_task(clients(fleet)))
    await asyncio.sleep(3)
    sign = "&" if trouble else "-"
    for number in range(FOREIGN_ENTRIES):
        fleet.store.put(f"servers/R{sign}D-{number:04}", ENTRY)
    fleet.record.line(f"another writer: {FOREIGN_ENTRIES} entries, servers/R{sign}D-0000 and so on")
    await asyncio.sleep(3)
    for machine in machines:
        await machine.restart()
        await asyncio.sleep(2)
    await asyncio.sleep(WATCHED_S)
    for task in background:
        task.cancel()
    for machine in machines:
        text = (f"{machine.gateway.name}: {machine.own_ends} ends of its own, "
                f"{machine.most_mb:.0f} MB at most")
        fleet.record.line(text)
        print(text)
    return sum(machine.own_ends >= ENDS_MAX for machine in machines) >= 2


main(case, HERE)
