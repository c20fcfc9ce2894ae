"""STALE: a stream goes on at a replica with older weights, on memory that was
built under newer ones."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))

import fleet  # noqa: E402

TOKENS = 24
GAP_S = 0.2  # time of an event; the sheet allows pauses of 500 ms


async def play(trouble):
    system = fleet.Fleet(HERE, replicas=6, gap_s=GAP_S)
    try:
        return await run(system, trouble)
    finally:
        system.stop()


async def run(system, trouble):
    record = system.record
    await system.start([system.streaming("r-note", "/note/")], [system.model_service()])
    streams = [fleet.Stream(f"{0xa000 + n:016x}") for n in range(30)]
    calls = [
        system.call("/note/2f", stream, f"5c1e{number:04x}", TOKENS)
        for number, stream in enumerate(streams)
    ]
    await asyncio.sleep(0.8)
    system.name_version(2)
    if trouble:
        asyncio.ensure_future(lose_first(system))
    await asyncio.wait(calls)
    await asyncio.sleep(5.0)
    breaches = []
    for replica in system.replicas:
        for own_id, version, request, made_by in replica.memories:
            if any(made != version for made in made_by):
                breaches.append(
                    f"STALE: {request.id} runs at {own_id}, which has version {version}, "
                    f"on memory built under {made_by}"
                )
    whole = sum(stream.is_whole for stream in streams)
    record.write(f"{whole} of {len(streams)} streams are whole; {len(breaches)} breaches")
    for breach in breaches:
        record.write(breach)
    return breaches


async def lose_first(system):
    """The first replica that has the new weights, and still works on streams
    that it began on the older ones, crashes some moments later."""
    while True:
        for replica in system.replicas:
            if replica.version == 2 and len(replica.runs) >= 3:
                await asyncio.sleep(0.3)
                replica.crash()
                await asyncio.sleep(1.0)
                replica.start()
                return
        await asyncio.sleep(0.01)


if __name__ == "__main__":
    sys.exit(fleet.main(HERE, play))
