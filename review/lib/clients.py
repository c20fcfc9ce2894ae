"""Clients, in a process of their own.

Each client keeps its connection and sends a request of a non_idempotent route
from time to time. It gives a request up at its deadline and closes the
connection then. A new connection goes to a relay that says it is ready, as the
platform's balancer would pass it on. A client takes its tenant's new key when
the file of keys names one.

Arguments: a JSON file with the settings, a file that gets a line for each
request. Ends by itself.
"""
import json
import os
import random
import select
import socket
import sys
import threading
import time
import urllib.request

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from standins import message, now  # noqa: E402


class Client:
    def __init__(self, number, settings):
        self.settings = settings
        self.tenant = settings["tenants"][number % len(settings["tenants"])]
        self.front = settings["relays"][number % len(settings["relays"])]["front"]
        self.key = None
        self.due = 0.0
        self.socket = None
        self.request = None
        self.received = b""

    def connect(self):
        host, port = self.front.split(":")
        try:
            self.socket = socket.create_connection((host, int(port)), 1.0)
            self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.socket.setblocking(False)
            self.answers = 0
        except OSError:
            self.socket = None

    def prepare(self):
        self.id = "%016x" % random.getrandbits(64)
        size = self.settings["bytes"]
        self.text = message("POST %s HTTP/1.1" % self.settings["path"],
                            [("Host", self.settings["host"]),
                             ("X-Shuntjunction-Attempt-Id", self.id),
                             ("X-Shuntjunction-Deadline-Ms", 3000),
                             ("Authorization", "Bearer " + self.key),
                             ("Content-Length", size)], b"x" * size)

    def send(self):
        self.request = {"what": "request", "id": self.id, "sent": round(now(), 5),
                        "front": self.front, "key": self.key,
                        "kept": self.answers > 0}
        try:
            self.socket.sendall(self.text)
        except OSError:
            self.drop()

    def drop(self):
        if self.socket:
            self.socket.close()
        self.socket, self.request, self.received = None, None, b""

    def receive(self):
        """Reads; returns the finished request, if it is."""
        try:
            data = self.socket.recv(65536)
        except BlockingIOError:
            return None
        except OSError:
            data = b""
        self.received += data
        head, end, body = self.received.partition(b"\r\n\r\n")
        length = 0
        for line in head.split(b"\r\n")[1:]:
            if line.lower().startswith(b"content-length:"):
                length = int(line.split(b":")[1])
        done = self.request
        if end and len(body) >= length:
            status = int(head.split(b" ")[1])
            closes = b"connection: close" in head.lower()
            self.request, self.received = None, b""
            self.answers += 1
            if closes:
                self.drop()
            if done:
                done.update(status=status, answered=round(now(), 5))
            return done
        if not data:
            self.drop()
            if done:
                done.update(status=None, closed=True, answered=round(now(), 5))
            return done
        return None


class Balancer(threading.Thread):
    """Asks each relay once a second; two misses in a row take it out."""

    def __init__(self, relays):
        super().__init__(daemon=True)
        self.relays = relays
        self.misses = {relay["front"]: 0 for relay in relays}

    def run(self):
        while True:
            for relay in self.relays:
                threading.Thread(target=self.ask, args=(relay,), daemon=True).start()
            time.sleep(1)

    def ask(self, relay):
        try:
            url = "http://%s/api/readyz" % relay["readiness"]
            ready = urllib.request.urlopen(url, timeout=0.9).status == 200
        except OSError:
            ready = False
        self.misses[relay["front"]] = 0 if ready else self.misses[relay["front"]] + 1

    def choose(self):
        ready = [front for front, misses in self.misses.items() if misses < 2]
        return random.choice(ready or list(self.misses))


def main():
    settings = json.load(open(sys.argv[1]))
    out = open(sys.argv[2], "w")
    balancer = Balancer(settings["relays"])
    balancer.start()
    pause = settings["pause_s"]
    clients = [Client(n, settings) for n in range(settings["clients"])]
    keys, keys_at = {}, 0
    poll = select.epoll()
    by_descriptor = {}
    for client in clients:
        client.connect()
        client.due = now() + random.random() * pause

    def finish(client, done, descriptor):
        if done:
            out.write(json.dumps(done) + "\n")
        if client.request is None:
            by_descriptor.pop(descriptor, None)
            if client.socket is not None:
                poll.unregister(descriptor)
            client.due = now() + random.uniform(0.6, 1.4) * pause

    while now() < settings["until"]:
        at = os.stat(settings["keys"]).st_mtime_ns
        if at != keys_at:
            keys, keys_at = json.load(open(settings["keys"])), at
        time_now = now()
        for client in clients:
            if client.request is None and client.due <= time_now:
                if client.socket is None:
                    client.front = balancer.choose()
                    client.connect()
                if client.socket is None:
                    client.due = now() + 1
                    continue
                client.key = keys[client.tenant]
                client.prepare()
                descriptor = client.socket.fileno()
                client.send()
                if client.request is None:
                    client.due = now() + 0.2
                    continue
                by_descriptor[descriptor] = client
                poll.register(descriptor, select.EPOLLIN)
            elif client.request and time_now - client.request["sent"] > 3.0:
                descriptor = client.socket.fileno()
                done = dict(client.request, status=None, answered=round(now(), 5))
                client.drop()
                finish(client, done, descriptor)
        for descriptor, _ in poll.poll(0.005):
            client = by_descriptor.get(descriptor)
            if client is not None:
                finish(client, client.receive(), descriptor)
    for client in clients:
        if client.request:
            out.write(json.dumps(dict(client.request, status=None)) + "\n")
    out.close()


main()
