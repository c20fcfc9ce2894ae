"""Once the store has cut a waiting watch, a replica whose entry is removed gets
requests for longer than drain_ms. See claim.txt."""
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
from standins import ZONES, Process, Record, Replica, Store, now  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RELAYS = 5          # as sites/vppd.toml has `edge` machines
REPLICAS = 4        # and replicas of its plain service
LEAVES = 8
CUT_BEFORE_S = 0.1  # the store cuts the waiting watches, then the entry goes
LITTLE_LONGER_S = 0.2  # "a little longer" than drain_ms
CLIENTS = 40
PAUSE_S = 0.25      # between two requests of a client
DRAIN_MS = standins.BOUNDS["drain_ms"]


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


async def start_replica(store, record, prefix, number):
    replica = Replica(store, record, "booking-app", ZONES[number % 4], prefix + ".100",
                      work_s=0.06, slots=24)
    await replica.start()
    return replica


async def leave(store, record, replica):
    """Leaves as a replica does that never states `draining`: its entry goes, it
    serves on for drain_ms and a little longer, and ends."""
    store.remove("servers", replica.id)
    gone = now()
    record("leaves", time=round(gone, 4), replica=replica.id)
    await asyncio.sleep(DRAIN_MS / 1000 + LITTLE_LONGER_S)
    replica.end()
    record("ends", time=round(now(), 4), replica=replica.id)
    return gone


def judge(record, folder, gone):
    """DRAIN: a request, taken from the client and sent on by machines in touch,
    reaches a replica later than drain_ms after it was acknowledged that the
    replica is gone."""
    answers, statuses = {}, {}
    for line in open(os.path.join(folder, "sent")):
        entry = json.loads(line)
        statuses[entry["id"]] = entry["status"]
        answers[entry["status"]] = answers.get(entry["status"], 0) + 1
        record.stream.write(line)
    breaches = []
    runs = [e for e in record.entries if e["what"] == "run"]
    for run in runs:
        late = run["time"] - gone.get(run["replica"], run["time"])
        if late > DRAIN_MS / 1000:
            breaches.append((run, round(late * 1000)))
            record("breach", id=run["id"], replica=run["replica"], ms_after=round(late * 1000))
    print("requests: %d, answers: %s, runs: %d" % (sum(answers.values()), answers, len(runs)))
    print("requests that reached a replica over %d ms after its entry was removed: %d"
          % (DRAIN_MS, len(breaches)))
    lost = [run for run, _ in breaches if statuses.get(run["id"]) != 200]
    print("of these, requests that ran there and whose client got no answer of theirs: %d"
          % len(lost))
    for number, replica in enumerate(gone):
        late = [ms for run, ms in breaches if run["replica"] == replica]
        print("  leave %d: %d, the last after %s ms" % (number, len(late), max(late, default="-")))
    if answers.get(200, 0) < 1000:
        raise standins.CannotRun("too few requests were served")
    return 1 if breaches else 0


async def main():
    standins.needs_daemon()
    folder = standins.folder()
    record = Record(os.path.join(HERE, "record.txt"))
    prefix = standins.free_network()
    ports = standins.free_ports(prefix + ".1")
    relays, replicas, clients = [], [], None
    try:
        store = Store(record)
        write_config(store)
        for number in range(REPLICAS):
            replicas.append(await start_replica(store, record, prefix, number))
        for number in range(RELAYS):
            name = "edge-%d" % number
            relays.append(Process(folder, name, "edge", "%s.%d" % (prefix, 1 + number),
                                  ZONES[number % 4],
                                  await store.listen(name, prefix + ".200"), ports))
            relays[-1].start()
        await until_ready(relays)
        with open(os.path.join(folder, "keys"), "w") as stream:
            json.dump({"tenant-0": "key-of-tenant-0"}, stream)
        with open(os.path.join(folder, "clients.json"), "w") as stream:
            json.dump({"relays": [{"front": r.front, "readiness": r.readiness}
                                  for r in relays],
                       "clients": CLIENTS, "until": now() + 5 + LEAVES * 9,
                       "pause_s": PAUSE_S, "host": "app.example", "path": "/confirm/1",
                       "bytes": 600, "tenants": ["tenant-0"],
                       "keys": os.path.join(folder, "keys")}, stream)
        clients = subprocess.Popen(
            [sys.executable, os.path.join(LIB, "clients.py"),
             os.path.join(folder, "clients.json"), os.path.join(folder, "sent")])
        await asyncio.sleep(5)
        gone = {}
        for number in range(LEAVES):
            replicas.append(await start_replica(store, record, prefix, number))
            await asyncio.sleep(4 + random.random())
            replica = replicas[number]
            if TROUBLE:
                for relay in relays:
                    store.cut_watches(relay.name)
                record("watches-cut", time=round(now(), 4))
            await asyncio.sleep(CUT_BEFORE_S)
            gone[replica.id] = await leave(store, record, replica)
            await asyncio.sleep(1)
        while clients.poll() is None:
            await asyncio.sleep(0.1)
        if any(r.process.poll() is not None for r in relays):
            raise standins.CannotRun("a process of the system has ended")
        return judge(record, folder, gone)
    finally:
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
