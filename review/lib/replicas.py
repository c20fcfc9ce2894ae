"""Plain replicas in a process of their own.

Arguments: a JSON file with `hosts` and `ids`, a file that gets the addresses, a
file that gets a line for each run: time, id of the request, id of the replica,
tenant. Ends with its standard input.
"""
import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from standins import Replica  # noqa: E402


class Entries:
    """In place of the store: the caller of this program writes the entries."""

    def put(self, kind, name, spec):
        pass


async def main():
    plan = json.load(open(sys.argv[1]))
    runs = open(sys.argv[3], "w", buffering=1)

    def record(kind, **values):
        runs.write(json.dumps(dict(values, what=kind)) + "\n")
    addresses = []
    for host, name in zip(plan["hosts"], plan["ids"]):
        replica = Replica(Entries(), record, plan["service"], "", host,
                          work_s=plan["work_s"])
        replica.id = name
        await replica.start()
        addresses.append(replica.address)
    with open(sys.argv[2] + ".new", "w") as stream:
        json.dump(addresses, stream)
    os.replace(sys.argv[2] + ".new", sys.argv[2])
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
    os._exit(0)


asyncio.run(main())
