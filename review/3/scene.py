"""A model server whose streams end with their channel is killed while it reads prompts."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from standins import *  # noqa: E402,F403

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# With `chunked` the case passes: the streams go on at another server.
FRAMING = os.environ.get("FRAMING", "none")
FOLDER = os.path.dirname(os.path.abspath(__file__))
SERVERS = 4
STREAMS = 24
EVENTS = 10


class ServerProcess:
    def __init__(self, record, folder):
        self.record = record
        self.ip = fresh_ip()
        self.port = free_port(self.ip)
        self.id = "i-%08x" % int.from_bytes(os.urandom(4), "big")
        self.log_path = os.path.join(folder, self.id)
        with open(self.log_path, "wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, os.path.join(FOLDER, "server.py"), self.ip, str(self.port), self.id, FRAMING], stdout=log)
        self.born = now_ms()

    def entry(self):
        return {"service": "models", "address": "%s:%d" % (self.ip, self.port), "zone": "recife-hall",
                "version": "v1", "slots": 128, "state": "ready", "coldRemainingMs": 0, "sequence": 1,
                "born": self.born}

    def lines(self, word):
        with open(self.log_path) as log:
            return [line.split()[1] for line in log if line.startswith(word)]

    def kill(self):
        self.process.kill()
        self.process.wait()


async def main(folder):
    record, store = Record(FOLDER), Store()
    await store.start()
    servers = [ServerProcess(record, folder) for _ in range(SERVERS)]
    await asyncio.sleep(1)
    for server in servers:
        store.put("servers/" + server.id, server.entry())
    models = {"name": "models", "healthCheck": "/health", "maxConnections": 620, "protocol": "h1",
              "tls": False, "engine": {"slots": 128, "kvCapacityTokens": 631559, "stride": 5}}
    chat = route("chat", "/chat/", "streaming", "models", timeoutMs=15000, targetLatencyMs=1500, priority=0,
                 maxAttempts=2, sticky=True, resumable=True, targetGapMs=250)
    store.put("op/config", config(1, [chat], [models]))
    ip = fresh_ip()
    node = Node(folder, store, common_ports(ip), ip=ip)
    try:
        node.start()
        if not await node.wait_ready():
            record("the node did not get ready")
            return 2
        return await play(record, node, servers)
    finally:
        node.kill()
        for server in servers:
            server.kill()


async def play(record, node, servers):
    async def call(number):
        tokens = ("X-Model: m\r\nX-Token-Counts: 9190,50\r\nX-Prompt-Prefix: a1:2520,%x:3780,%x:2890\r\n"
                  % (0x7000 + number, 0x9000 + number))
        client = await Client(node.front()).open()
        id = "stream-%02d" % number
        status, headers, body = await client.call(
            request_bytes("POST", "/chat/%d" % number, id, b"{}", more=tokens, deadline=15000), 16)
        client.close()
        return id, status, headers, body.count(b"\n\n")

    calls = [asyncio.create_task(call(n)) for n in range(STREAMS)]
    await asyncio.sleep(0.5)
    killed = max(servers, key=lambda s: len(s.lines("begins")))
    if TROUBLE:
        killed.kill()
        record("server %s is killed while it reads the prompts of %s" % (killed.id, killed.lines("begins")))
        # Back after some seconds; its entry is removed meanwhile.
    else:
        record("server %s reads the prompts of %s" % (killed.id, killed.lines("begins")))
    early, others = [], []
    for task in calls:
        id, status, headers, events = await task
        ran = [s.id for s in servers if id in s.lines("begins")]
        record("client %s: status %s, %d of %d events, ends as complete (%s), seal %s, begun at %s" % (
            id, status, events, EVENTS,
            "content-length" if "content-length" in headers else "last chunk" if status else "no",
            headers.get("x-server-seal"), ran))
        if status == 200 and events < EVENTS:
            early.append(id)
        elif status != 200:
            others.append(id)
    if TROUBLE and not killed.lines("begins"):
        record("the case could not run: the server had no request")
        return 2
    record("streams: %d; complete for the client before the last event: %d; failed visibly: %d" % (
        STREAMS, len(early), len(others)))
    record("ORDER is broken" if early else "ORDER holds")
    return 1 if early else 0


if __name__ == "__main__":
    run_case(main, FOLDER, 2)
