"""A key that was taken away while a relay stood still is accepted for a moment
once that relay goes on. See claim.txt."""
import asyncio
import json
import os
import random
import shutil
import signal
import subprocess
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
LIB = os.path.join(os.path.dirname(HERE), "lib")
sys.path.insert(0, LIB)
import standins  # noqa: E402
from standins import ZONES, Process, Record, Replica, Store, now  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RELAYS = 5       # as sites/vppd.toml has `edge` machines
SIDES = 9        # and `side` machines
FREEZE_S = 6.0   # "node_freeze", count = 1, for_s = 6.0: one relay at a time
REST_S = 1.5
CYCLES = 14
REVOKED = 3      # "revoke", count = 3, gap_s = 0.1
GAP_S = 0.1
CLIENTS = 1000   # of all relays
PROCESSES = 5
PAUSE_S = 7      # mean time between two requests of a client: 143 a second in all
BYTES = 18000    # of a request's body, as eligibility-check has
REVOKE_MS = standins.BOUNDS["revoke_ms"]
TENANTS = ["tenant-%d" % n for n in range(8)]
# "8, a few of them large": of ten clients, four each belong to two tenants.
TENANT_OF_CLIENT = (["tenant-1"] * 4 + ["tenant-2"] * 4) * 3 + [
    "tenant-0", "tenant-3", "tenant-4", "tenant-5", "tenant-6", "tenant-7"]


class Operator:
    """Writes configurations; some versions replace the keys of all tenants."""

    def __init__(self, store, record, keys_file):
        self.store, self.record, self.keys_file = store, record, keys_file
        self.version = 0
        self.keys = {t: self.make_key() for t in TENANTS}
        self.taken = {}  # when the removal of a key was acknowledged

    def make_key(self):
        return "%020x" % random.getrandbits(80)

    def write(self):
        self.version += random.randint(1, 4)
        routes = [{"name": "r-confirm", "host": "app.example", "path_prefix": "/confirm/",
                   "kind": "non_idempotent", "timeout_ms": 1500, "target_latency_ms": 300,
                   "priority": 2, "service": "booking-app", "max_attempts": 1,
                   "anonymous": False, "sticky": False, "resumable": False}]
        self.store.put("config", "main", {
            "version": self.version, "routes": routes,
            "services": [
                {"name": "booking-app", "health_check": "/healthz", "max_connections": 370,
                 "protocol": "h1", "tls": False},
                {"name": "lm", "health_check": "/healthz", "max_connections": 370,
                 "protocol": "h1", "tls": False,
                 "engine": {"slots": 64, "kv_capacity_tokens": 99487, "kv_bytes": 18432,
                            "link_mbps": 550000.0, "moves": False, "backups": False,
                            "max_inflight": 12, "models": [{"name": "m0"}]}}],
            "limits": {"header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": t, "api_keys": [self.keys[t]], "priority": 1,
                         "isolated": False} for t in TENANTS]})
        self.record("configuration", time=round(now(), 4), version=self.version)

    def tell_clients(self):
        with open(self.keys_file + ".new", "w") as stream:
            json.dump(self.keys, stream)
        os.replace(self.keys_file + ".new", self.keys_file)

    def replace_key(self, tenant):
        """Takes the key of a tenant away and makes a new one."""
        gone = self.keys[tenant]
        self.keys[tenant] = self.make_key()
        self.write()
        self.taken[gone] = now()
        self.record("revoked", time=round(self.taken[gone], 4), key=gone)


async def until_ready(relays):
    for _ in range(100):
        ready = await asyncio.gather(*(standins.is_ready(r.readiness) for r in relays))
        if all(ready):
            return
        await asyncio.sleep(0.2)
    raise standins.CannotRun("the relays do not get ready")


async def start_replicas(folder, store, prefix):
    """The plain replicas, in a process of their own, and their entries."""
    plan = {"service": "booking-app", "hosts": [prefix + ".100"] * 4, "work_s": 0.005,
            "ids": ["i-%08x" % random.getrandbits(32) for _ in range(4)]}
    with open(os.path.join(folder, "replicas.json"), "w") as stream:
        json.dump(plan, stream)
    file = os.path.join(folder, "addresses")
    process = subprocess.Popen(
        [sys.executable, os.path.join(LIB, "replicas.py"),
         os.path.join(folder, "replicas.json"), file, os.path.join(folder, "runs")],
        stdin=subprocess.PIPE)
    for _ in range(100):
        if os.path.exists(file):
            break
        await asyncio.sleep(0.1)
    for number, address in enumerate(json.load(open(file))):
        store.put("servers", plan["ids"][number], {
            "service": "booking-app", "address": address, "zone": ZONES[number],
            "version": "v1", "slots": 64, "state": "ready", "cold_remaining_ms": 0, "seq": 0})
    return process


def start_clients(folder, operator, relays, until):
    processes = []
    for part in range(PROCESSES):
        settings = os.path.join(folder, "clients-%d.json" % part)
        with open(settings, "w") as stream:
            json.dump({"relays": [{"front": r.front, "readiness": r.readiness}
                                  for r in relays],
                       "clients": CLIENTS // PROCESSES, "until": until,
                       "pause_s": PAUSE_S, "host": "app.example", "path": "/confirm/1",
                       "bytes": BYTES, "tenants": TENANT_OF_CLIENT, "keys": operator.keys_file},
                      stream)
        processes.append(subprocess.Popen(
            [sys.executable, os.path.join(LIB, "clients.py"), settings,
             os.path.join(folder, "sent-%d" % part)]))
    return processes


def judge(record, operator, folder, relays):
    """CONFIG: with revoke_strict, a request runs that was sent later than
    revoke_ms after the acknowledgement of the version that took its key away."""
    sent = {}
    answers = {}
    names = {relay.front: relay.name for relay in relays}
    for part in range(PROCESSES):
        for line in open(os.path.join(folder, "sent-%d" % part)):
            entry = json.loads(line)
            sent[entry["id"]] = dict(entry, relay=names[entry["front"]])
            answers[entry["status"]] = answers.get(entry["status"], 0) + 1
            record.stream.write(line)
    breaches = []
    runs = 0
    for line in open(os.path.join(folder, "runs")):
        runs += 1
        record.stream.write(line)
        run = json.loads(line)
        request = sent.get(run["id"])
        taken = operator.taken.get(request["key"]) if request else None
        if taken is not None and request["sent"] > taken + REVOKE_MS / 1000:
            late = round((request["sent"] - taken) * 1000)
            breaches.append((run, request, late))
            record("breach", id=run["id"], relay=request["relay"], ran=run["time"],
                   sent=request["sent"], ms_after_acknowledgement=late,
                   status=request["status"])
    print("requests: %d, answers: %s, runs: %d" % (len(sent), answers, runs))
    print("runs with a key that was taken away over %d ms before: %d"
          % (REVOKE_MS, len(breaches)))
    for run, request, late in breaches[:5]:
        print("  %s at %s: sent %d ms after the acknowledgement, answered %s"
              % (run["id"], request["relay"], late, request["status"]))
    if runs < 500:
        raise standins.CannotRun("too few requests were served")
    return 1 if breaches else 0


async def main():
    standins.needs_daemon()
    folder = standins.folder()
    record = Record(os.path.join(HERE, "record.txt"))
    prefix = standins.free_network()
    ports = standins.free_ports(prefix + ".1")
    processes, helpers, engines = [], [], []
    try:
        store = Store(record)
        operator = Operator(store, record, os.path.join(folder, "keys.json"))
        operator.write()
        operator.tell_clients()
        helpers.append(await start_replicas(folder, store, prefix))
        for number in range(SIDES):
            engine = Replica(store, record, "lm", ZONES[number % 4],
                             "%s.%d" % (prefix, 30 + number), model="m0")
            await engine.start()
            engines.append(engine)
        relays = []
        for number in range(RELAYS):
            name = "edge-%d" % number
            relays.append(Process(folder, name, "edge", "%s.%d" % (prefix, 1 + number),
                                  ZONES[number % 4],
                                  await store.listen(name, prefix + ".200"), ports))
        for number, engine in enumerate(engines):
            name = "side-%d" % number
            processes.append(Process(folder, name, "side", engine.host, engine.zone,
                                     await store.listen(name, prefix + ".200"), ports,
                                     app=engine.address, service="lm"))
        processes += relays
        for process in processes:
            process.start()
        await until_ready(relays)
        until = now() + 3 + CYCLES * (FREEZE_S + REST_S)
        clients = start_clients(folder, operator, relays, until)
        helpers += clients
        await asyncio.sleep(3)
        for _ in range(CYCLES):
            relay = random.choice(relays)
            if TROUBLE:
                relay.signal(signal.SIGSTOP)
                record("stands-still", time=round(now(), 4), relay=relay.name)
            thaw = now() + FREEZE_S
            for tenant in TENANTS[:REVOKED]:
                await asyncio.sleep(GAP_S)
                operator.replace_key(tenant)
            await asyncio.sleep(thaw - now())
            relay.signal(signal.SIGCONT)
            record("goes-on", time=round(now(), 4), relay=relay.name)
            await asyncio.sleep(REST_S - 0.5)
            operator.tell_clients()
            await asyncio.sleep(0.5)
        for process in clients:
            while process.poll() is None:
                await asyncio.sleep(0.1)
        if any(p.process.poll() is not None for p in processes):
            raise standins.CannotRun("a process of the system has ended")
        return judge(record, operator, folder, relays)
    finally:
        for process in helpers:
            if process.poll() is None:
                process.kill()
            process.wait()
        for process in processes:
            process.end()
        for engine in engines:
            engine.end()
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
