"""One faulty replica ends the relays by a length in the head of an answer that it
cuts short. See claim.txt."""
import asyncio
import json
import os
import random
import shutil
import subprocess
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
LIB = os.path.join(os.path.dirname(HERE), "lib")
sys.path.insert(0, LIB)
import standins  # noqa: E402
from standins import ZONES, Process, Record, Replica, Store, message, now  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RELAYS = 5          # as sites/vppd.toml has `edge` machines
REPLICAS = 4        # and replicas of its plain service
# "garble", share = 0.35, x = 0.02, for_s = 5.5: one of four replicas
SPOILT = 0.02
SPOILT_S, SOUND_S, BOUTS = 5.5, 4.5, 5
LENGTH = 9223372036854775807  # the largest signed number of 64 bits
RESTART_S = 0.5     # "started again after a short delay"
CLIENTS = 40
PAUSE_S = 0.25      # between two requests of a client
LOST_ALLOWED = 3


class FaultyReplica(Replica):
    """Cuts a share of its answers short; their heads name a length that the
    rest never reaches."""
    is_faulty = False

    async def run(self, first, fields, body, arrived):
        answer = await super().run(first, fields, body, arrived)
        if not self.is_faulty or b" 200 OK" not in answer or random.random() >= SPOILT:
            return answer
        attempt = fields.get("x-shuntjunction-attempt-id", "")
        self.record("cut-short", time=round(now(), 4), id=attempt, replica=self.id)
        raise standins.CutShort(
            message("HTTP/1.1 200 OK",
                    [("X-Shuntjunction-Attempt-Id", attempt),
                     ("X-Shuntjunction-Upstream-Seal", f"{self.id}.{attempt}"),
                     ("Content-Type", "application/json"),
                     ("Content-Length", LENGTH)], b"{\"ok\":"))


def write_config(store):
    routes = [{"name": "r-confirm", "host": "app.example", "path_prefix": "/confirm/",
               "kind": "non_idempotent", "timeout_ms": 1500, "target_latency_ms": 300,
               "priority": 2, "service": "booking-app", "max_attempts": 1,
               "anonymous": False, "sticky": False, "resumable": False}]
    store.put("config", "main", {
        "version": 7, "routes": routes,
        "services": [{"name": "booking-app", "health_check": "/healthz",
                      "max_connections": 110, "protocol": "h1", "tls": False}],
        "limits": {"header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "tenant-0", "api_keys": ["key-of-tenant-0"], "priority": 1,
                     "isolated": False}]})


async def until_ready(relays):
    for _ in range(100):
        ready = await asyncio.gather(*(standins.is_ready(r.readiness) for r in relays))
        if all(ready):
            return
        await asyncio.sleep(0.2)
    raise standins.CannotRun("the relays do not get ready")


async def keep_running(relays, record, ends):
    """The platform starts a process that ends again after a short delay."""
    while True:
        for relay in relays:
            code = relay.process.poll()
            if code is not None:
                ends.append((relay.name, code))
                record("ended", time=round(now(), 4), relay=relay.name, code=code)
                await asyncio.sleep(RESTART_S)
                relay.start()
        await asyncio.sleep(0.02)


def judge(record, folder, relays, faulty, ends):
    """LOST: a machine in touch passes a request from a kept connection on to a
    sound replica and closes that connection without an answer, more than three
    times. Nothing disturbs the relays' machines here."""
    ran = {e["id"]: e["replica"] for e in record.entries if e["what"] == "run"}
    names = {relay.front: relay.name for relay in relays}
    answers, lost, used = {}, {}, set()
    for line in open(os.path.join(folder, "sent")):
        record.stream.write(line)
        entry = json.loads(line)
        answers[entry["status"]] = answers.get(entry["status"], 0) + 1
        if entry["status"] is not None or not entry.get("closed"):
            continue
        sound = ran.get(entry["id"], faulty) != faulty
        if sound and entry["kept"]:
            relay = names[entry["front"]]
            lost[relay] = lost.get(relay, 0) + 1
    total = sum(lost.values())
    spoilt = sum(e["what"] == "cut-short" for e in record.entries)
    print("requests: %d, answers: %s, answers cut short by the faulty replica: %d"
          % (sum(answers.values()), answers, spoilt))
    print("relays that ended by themselves: %d times (%s)"
          % (len(ends), ", ".join(sorted({"%s with %d" % end for end in ends}))))
    print("requests that a sound replica ran and whose kept connection was closed: %d %s"
          % (total, lost))
    if answers.get(200, 0) < 1000:
        raise standins.CannotRun("too few requests were served")
    return 1 if ends or total > LOST_ALLOWED else 0


async def main():
    standins.needs_daemon()
    folder = standins.folder()
    record = Record(os.path.join(HERE, "record.txt"))
    prefix = standins.free_network()
    ports = standins.free_ports(prefix + ".1")
    relays, replicas, clients, ends = [], [], None, []
    keeper = None
    try:
        store = Store(record)
        write_config(store)
        for number in range(REPLICAS):
            kind = FaultyReplica if number == 0 else Replica
            replicas.append(kind(store, record, "booking-app", ZONES[number],
                                 prefix + ".100", work_s=0.06, slots=24))
            await replicas[-1].start()
        for number in range(RELAYS):
            name = "edge-%d" % number
            relays.append(Process(folder, name, "edge", "%s.%d" % (prefix, 1 + number),
                                  ZONES[number % 4],
                                  await store.listen(name, prefix + ".200"), ports))
            relays[-1].start()
        await until_ready(relays)
        keeper = asyncio.create_task(keep_running(relays, record, ends))
        with open(os.path.join(folder, "keys"), "w") as stream:
            json.dump({"tenant-0": "key-of-tenant-0"}, stream)
        with open(os.path.join(folder, "clients.json"), "w") as stream:
            json.dump({"relays": [{"front": r.front, "readiness": r.readiness}
                                  for r in relays],
                       "clients": CLIENTS, "until": now() + 3 + BOUTS * (SPOILT_S + SOUND_S),
                       "pause_s": PAUSE_S, "host": "app.example", "path": "/confirm/1",
                       "bytes": 600, "tenants": ["tenant-0"],
                       "keys": os.path.join(folder, "keys")}, stream)
        clients = subprocess.Popen(
            [sys.executable, os.path.join(LIB, "clients.py"),
             os.path.join(folder, "clients.json"), os.path.join(folder, "sent")])
        await asyncio.sleep(3)
        for _ in range(BOUTS):
            replicas[0].is_faulty = TROUBLE
            await asyncio.sleep(SPOILT_S)
            replicas[0].is_faulty = False
            await asyncio.sleep(SOUND_S)
        while clients.poll() is None:
            await asyncio.sleep(0.1)
        keeper.cancel()
        return judge(record, folder, relays, replicas[0].id, ends)
    finally:
        if keeper is not None:
            keeper.cancel()
        if clients is not None:
            if clients.poll() is None:
                clients.kill()
            clients.wait()
        for process in relays:
            process.end()
        for replica in replicas:
            replica.end()
        record.close()
        if not os.environ.get("KEEP"):
            shutil.rmtree(folder, ignore_errors=True)


try:
    sys.exit(asyncio.run(main()))
except standins.CannotRun as error:
    print("cannot run:", error)
    sys.exit(2)
except Exception:  # the case itself failed, which says nothing
    import traceback
    traceback.print_exc(limit=3)
    sys.exit(2)
