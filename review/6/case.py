"""The instances that read the store restart together while a runner's entry is
removed. See claim.txt."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support-2"))

import bench  # noqa: E402

ZONES = {"tallinn-a": "tallinn", "tartu-a": "tartu", "parnu-a": "parnu"}
INSTANCES_PER_ZONE = 7
# The number of instances of a region that read the store.
READERS_PER_ZONE = 4
# How long the runner serves after the drain time ("at times many seconds").
SERVES_ON_S = 8.0
DOWN_S = 0.8
# Requests a second at each instance of the region.
PER_SECOND = 12
# Pause between the restarts of the instances of a zone.
RESTART_GAP_S = 0.3
ROUTES = [("POST", "/reserve/x"), ("GET", "/status/x")]


async def case(folder):
    fleet = bench.Fleet(folder, ZONES)
    try:
        return await play(fleet)
    finally:
        await fleet.stop()


async def play(fleet):
    record = fleet.record
    await fleet.store.start()
    await fleet.store.put("op/config", bench.desk_config())
    for zone in ZONES:
        for number in (1, 2, 3):
            await fleet.add_runner(
                f"{zone}-{number}", "order-desk", zone, work_s=0.06
            )
    leaving = await fleet.add_runner(
        "tallinn-a-0", "order-desk", "tallinn-a", work_s=0.06
    )
    for zone in ZONES:
        fleet.add_gateways(INSTANCES_PER_ZONE, zone)
    await fleet.start_gateways()
    await fleet.wait_ready(fleet.gateways)
    readers = [
        gateway
        for gateway in fleet.gateways
        if int(gateway.name.rsplit("-", 1)[1]) <= READERS_PER_ZONE
    ]
    local = [g for g in fleet.gateways if g.zone == leaving.zone]
    end = {"at": float("inf")}
    loads = []
    for gateway in local:
        loads.append(
            asyncio.create_task(
                fleet.load(gateway, ROUTES, PER_SECOND, lambda: end["at"])
            )
        )
        await asyncio.sleep(1 / PER_SECOND / len(local))
    await asyncio.sleep(10)

    if bench.TROUBLE:
        for gateway in readers:
            await gateway.kill()
    await asyncio.sleep(DOWN_S / 2)
    # A planned removal of a runner that does not report `draining`.
    acked = await fleet.store.remove(f"servers/{leaving.name}")
    await asyncio.sleep(DOWN_S / 2)
    if bench.TROUBLE:
        for number in range(READERS_PER_ZONE):
            for gateway in readers[number::READERS_PER_ZONE]:
                await gateway.start()
            await asyncio.sleep(RESTART_GAP_S)

    await asyncio.sleep(acked + bench.DRAIN_S + SERVES_ON_S - record.now())
    ended = record.now()
    await leaving.end()
    end["at"] = ended + 1
    await asyncio.gather(*loads)

    # An instance that was killed is in touch `contactMs` after its start.
    in_touch_from = {
        g.name: g.started_at + bench.CONTACT_S if bench.TROUBLE and g in readers else 0
        for g in local
    }
    sender = {answer[3]: answer for answer in fleet.answers}
    late = {}
    for ran_at, request in leaving.runs:
        sent_at, name = sender[request][:2]
        if ran_at > acked + bench.DRAIN_S and sent_at > in_touch_from[name]:
            late.setdefault(name, []).append(ran_at - acked)
    for name, times in sorted(late.items()):
        record.say(
            f"{name}: {len(times)} requests reached the removed runner",
            f"{times[0]:.1f} s to {times[-1]:.1f} s after the acknowledgement",
        )
    begun = {q for ran_at, q in leaving.runs if ran_at > ended - leaving.work_s}
    cut = [a for a in fleet.answers if a[3] in begun and a[4] != 200]
    record.say(f"{len(cut)} requests failed as the runner ended with them")
    for answer in cut:
        record.write("cut", *answer)
    if not late:
        record.say("DRAIN held")
        return bench.HELD
    record.say("DRAIN broken")
    return bench.BROKEN


bench.main(case, FOLDER)
