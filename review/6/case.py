"""ORDER: events of a stream come twice after a second replica is lost."""

import asyncio
import collections
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))

import fleet  # noqa: E402

TOKENS = 16
GAP_S = 0.4  # time of an event; the sheet allows pauses of 500 ms


async def play(trouble):
    system = fleet.Fleet(HERE, replicas=4, gap_s=GAP_S)
    try:
        return await run(system, trouble)
    finally:
        system.stop()


async def run(system, trouble):
    record = system.record
    await system.start([system.streaming("r-note", "/note/")], [system.model_service()])
    streams = [fleet.Stream(f"{0xa000 + n:016x}") for n in range(6)]
    calls = [system.call("/note/2f", stream, "5c1e07a2", TOKENS) for stream in streams]
    await asyncio.sleep(1.5)
    if trouble:
        await lose_two(system)
    await asyncio.wait(calls)
    breaches = []
    for stream in streams:
        twice = stream.twice()
        if twice:
            breaches.append(f"ORDER: {stream.id}: events {twice} came twice: {stream.events}")
        elif stream.is_whole and stream.events != list(range(1, TOKENS + 1)):
            breaches.append(f"ORDER: {stream.id}: is complete with {stream.events}")
    whole = sum(stream.is_whole for stream in streams)
    record.write(f"{whole} of {len(streams)} streams are whole; {len(breaches)} breaches")
    for breach in breaches:
        record.write(breach)
    return breaches


async def lose_two(system):
    """The busiest replica crashes. A moment later one that took over some of
    its streams loses power; both are back a second later."""
    first = max(system.replicas, key=lambda replica: len(replica.runs))
    lost = set(first.runs)
    first.crash()
    await asyncio.sleep(0.2)
    taken = collections.Counter(
        {replica: len(lost & set(replica.runs)) for replica in system.replicas}
    )
    second = taken.most_common(1)[0][0]
    system.record.write(f"{taken[second]} of the lost streams go on at {second.id}")
    second.go_dark()
    await asyncio.sleep(1.0)
    second.return_from_dark()
    first.start()


if __name__ == "__main__":
    sys.exit(fleet.main(HERE, play))
