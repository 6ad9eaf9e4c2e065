"""What goes wrong with a mesh, and when."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import partial

from brackengate.control.actions import Store
from brackengate.emulator.loop import MS, S
from brackengate.emulator.mesh.people import LostAcks
from brackengate.emulator.mesh.scenario import ORDERS, Fault, MeshScenario
from brackengate.emulator.mesh.world import FIRST_REQUEST_AT_US, RESTART_DELAY_US, Machine, World

SOON_AFTER = (5 * MS, 400 * MS)  # a blow comes so long after an order was sent
REPLACED = S  # from the loss of a core machine to the start of the next, or from that start to SIGTERM
OVERLAP = 6 * S  # a machine of the core goes so long after the one that takes its place has come
CRASHED = S  # from an upstream's crash to its next life


def schedule(world: World) -> Iterable[Callable[[], None]]:
    """Times of faults are counted from the first request."""
    for fault in world.scenario.fault:
        yield partial(world.loop.at, FIRST_REQUEST_AT_US + int(fault.at), partial(_begins, world, fault))


def over(told: MeshScenario) -> int:
    """When the last fault is over, and what comes of it."""
    ends = [0]
    for fault in told.fault:
        last = int(told.length) if fault.every or fault.after else int(fault.at)
        ends.append(FIRST_REQUEST_AT_US + last + max(int(fault.lasts), _ends_after(fault)))
    return max(ends)


def _ends_after(fault: Fault) -> int:
    if fault.kind == "replace_core":
        return OVERLAP + (int(fault.lasts) or REPLACED)
    return OVERLAP if fault.kind == "seeds" else fault.count * S


def _begins(world: World, fault: Fault) -> None:
    if fault.every and world.loop.now + int(fault.every) < FIRST_REQUEST_AT_US + int(world.scenario.length):
        world.loop.after(int(fault.every), partial(_begins, world, fault))
    if fault.kind == "close":
        _close(world, fault)
    elif fault.kind == "loss":
        _loss(world, fault)
    elif fault.kind in ORDERS:
        _orders(world, fault)
    elif fault.after == "ack":
        world.operators.on_next_ack.append(partial(_strike, world, fault))
        world.operators.send_valid_change()
    elif fault.after == "sent":
        world.operators.send_valid_change()
        wait = int(fault.wait) or world.rng.randrange(*SOON_AFTER)
        world.loop.after(wait, partial(_strike, world, fault))
    elif fault.after == "sync":
        for machine in _named(world, fault.on):
            machine.disk.on_commit = partial(_synced, world, fault, machine)
    else:
        _strike(world, fault)


def _named(world: World, names: Iterable[str]) -> list[Machine]:
    found: dict[Machine, None] = {}
    for name in names:
        if name in ("core", "pilots"):
            found |= dict.fromkeys(world.current_controls() if name == "core" else world.proxy_machines)
        elif name in ("head", "middle", "tail"):
            seats = world.members_in_order()
            if seats:
                at = {"head": 0, "middle": len(seats) // 2, "tail": -1}[name]
                found[world.machine(seats[at])] = None
        elif name == "acker":
            address = world.operators.answered_by
            if address is not None:
                found[world.machine_at(address)] = None
        elif name == "lot":
            found[world.rng.choice(world.current_controls())] = None
        else:
            found[world.machine(name)] = None
    return list(found)


def _orders(world: World, fault: Fault) -> None:
    """What strikes the operators' orders."""
    world.trace("fault", fault.kind, ())
    operators, troubles, count = world.operators, world.operators.troubles, fault.count
    match fault.kind:
        case "ack_lost":
            operators.lost_acks = LostAcks(world.loop.now + int(fault.lasts), float(fault.part))
        case "bad_order":
            troubles.again_and_again(count, partial(troubles.bad_order, fault.order))
        case "config_race":
            troubles.again_and_again(count, troubles.race)
        case "resend":
            troubles.again_and_again(count, troubles.resend)
        case "overtaken_order":
            troubles.again_and_again(count, troubles.overtaken)
        case "big_order":
            order = partial(troubles.big_order, int(fault.routes), fault.content)
            troubles.again_and_again(count, order)


def _synced(world: World, fault: Fault, machine: Machine, stores: list[Store]) -> None:
    """A commit with a claim is on the disk, and its process has not heard of it yet."""
    if any(row[0] == "key" for store in stores for _, row in store.rows):
        machine.disk.on_commit = lambda stores: None
        _strike(world, fault, _named(world, fault.to) or [machine])


def _strike(world: World, fault: Fault, machines: list[Machine] | None = None) -> None:
    machines = _named(world, fault.on) if machines is None else machines
    machines = [machine for machine in machines if machine.started and not machine.removed]
    world.trace("fault", fault.kind, tuple(machine.name for machine in machines))
    if fault.kind == "cut":
        _cut(world, fault, machines)
        return
    all_gone = world.rng.random() < 0.5
    for machine in machines:
        _one(world, fault, machine, all_gone)


def _one(world: World, fault: Fault, machine: Machine, all_gone: bool) -> None:
    loop, lasts = world.loop, int(fault.lasts)
    match fault.kind:
        case "kill":
            machine.kill()
            loop.after(max(RESTART_DELAY_US, lasts), machine.start)
        case "term":
            machine.terminate()
        case "power" | "wipe":
            machine.lose_power(wipe=fault.kind == "wipe", lose_unsynced=all_gone)
            loop.after(lasts, machine.restore_power)
        case "freeze":
            process = machine.process
            if process.alive:
                world.trace("frozen", machine.name)
                process.pause()

                def wakes() -> None:
                    if process.alive:
                        world.trace("thawed", machine.name)
                        process.resume()

                loop.after(lasts, wakes)
        case "stall" | "full":
            until = loop.now + lasts
            if fault.kind == "stall":
                machine.disk.stalled_until = max(machine.disk.stalled_until, until)
            else:
                machine.disk.full_until = max(machine.disk.full_until, until)
            world.trace("sick", machine.name)
            loop.after(lasts, partial(world.trace, "well", machine.name))
        case "reset":
            world.trace("reset", machine.name)
            machine.process.reset()
        case "clock":
            machine.clock_offset += -int(fault.by) if fault.back else int(fault.by)
            world.trace("clock", machine.name)
        case "reset_conns":
            _reset_some(world, fault, machine, loop.now + lasts)
        case "seeds":
            _exchange(world, machine)
        case "replace_core":
            _replace(world, machine, fault.planned, lasts or REPLACED)
        case "crash":
            if machine.upstream is not None:
                machine.upstream.die()
                loop.after(max(CRASHED, lasts), machine.start_upstream)
        case "replace" | "reuse":
            _leaves(world, machine, fault.kind == "reuse")


def _loss(world: World, fault: Fault) -> None:
    """On all links: what is lost comes later, as TCP sends it again."""
    world.trace("fault", fault.kind, ())
    machines = [one.name for one in (*world.control_machines, *world.proxy_machines) if one.started]
    for on in (True, False):

        def turn(on: bool = on) -> None:
            world.net.loss = float(fault.part) if on else 0.0
            for name in machines:
                world.trace("sick" if on else "well", name)

        world.loop.after(0 if on else int(fault.lasts), turn)


def _cut(world: World, fault: Fault, machines: list[Machine]) -> None:
    others = _named(world, fault.to) or [*world.current_controls(), *world.proxy_machines]
    pairs = [(one, other) for one in machines for other in others if other not in machines]
    ways = [(one, other) for one, other in pairs] + (
        [] if fault.one_way else [(other, one) for one, other in pairs]
    )
    for on in (True, False):

        def turn(on: bool = on) -> None:
            for one, other in ways:
                world.trace("cut" if on else "joined", one.name, other.name)
                world.net.set_cut(one.ip, other.ip, on)

        world.loop.after(0 if on else int(fault.lasts), turn)
    if fault.seeds_first:
        world.put_seeds_first([machine.name for machine in machines if machine.is_control])
    _restarts(world, fault, machines)


def _restarts(world: World, fault: Fault, cut_off: list[Machine]) -> None:
    """Some machines are restarted during a cut, so that they read the seeds anew."""
    lasts = int(fault.lasts)
    if fault.restart == "others":
        rest = [one for one in world.proxy_machines if one not in cut_off]
        for machine in rest[: (len(rest) + 1) // 2]:
            world.loop.after(world.rng.randrange(lasts // 4, lasts // 2), partial(_restart, world, machine))
    elif fault.restart == "both":
        others = [one for one in world.current_controls() if one not in cut_off]
        for number, machine in enumerate([*cut_off, *others]):
            world.loop.after(lasts // 4 + number * S, partial(_restart, world, machine))


def _restart(world: World, machine: Machine) -> None:
    machine.kill()
    world.loop.after(RESTART_DELAY_US, machine.start)


def _exchange(world: World, old: Machine) -> None:
    """Another machine, with an empty disk, takes its place; it goes for good, or until it is a spare."""
    spare = _spare(world, old)
    if spare is None:
        return
    _comes_new(spare)

    def goes() -> None:
        world.replace(old, spare)
        _goes_for_good(world, old)

    world.loop.after(OVERLAP, goes)


def _replace(world: World, old: Machine, planned: bool, pause: int) -> None:
    """One goes for good, an empty one comes at another address; planned: it comes first, and the old one
    gets SIGTERM a pause later; else it comes a pause after the loss."""
    spare = _spare(world, old)
    if spare is None:
        return
    if not planned:
        _goes_for_good(world, old)

    def then() -> None:
        world.replace(old, spare)
        if planned:
            _stops_for_good(world, old)
        else:
            _comes_new(spare)

    if planned:
        _comes_new(spare)
    world.loop.after(pause, then)


def _spare(world: World, old: Machine) -> Machine | None:
    """An empty machine that may take the place of this one, if it still has one: the longest unused one."""
    if old not in world.current_controls():
        return None
    free = [
        one for one in world.control_machines if one not in world.current_controls() and not one.process.alive
    ]
    return min(free, key=lambda one: one.removed_at) if free else None


def _comes_new(spare: Machine) -> None:
    spare.removed = False
    spare.disk.wipe()
    if not spare.powered:
        spare.restore_power()
    spare.start()


def _goes_for_good(world: World, old: Machine) -> None:
    old.lose_power(wipe=True)
    world.trace("removed", old.name)
    old.removed, old.removed_at = True, world.loop.now


def _stops_for_good(world: World, old: Machine) -> None:
    """SIGTERM, then its disk goes with it."""
    old.removed, old.removed_at = True, world.loop.now
    old.terminate()
    world.trace("removed", old.name)

    def ends() -> None:
        if old.removed:  # it was not started again meanwhile, as an empty machine
            old.lose_power(wipe=True)

    world.loop.after(int(world.scenario.limits.grace) + MS, ends)


def _reset_some(world: World, fault: Fault, machine: Machine, until: int) -> None:
    """A share of its connections, again every second."""
    world.trace("reset", machine.name)
    machine.process.reset(lambda: world.rng.random() < float(fault.part))
    if world.loop.now + S < until:
        world.loop.after(S, partial(_reset_some, world, fault, machine, until))


def _leaves(world: World, machine: Machine, reuse: bool) -> None:
    """Its upstream drains and ends, then its pilot gets SIGTERM; new ones come to the same address."""
    upstream = machine.upstream
    if upstream is None or not upstream.process.alive:
        return

    def ended() -> None:
        if reuse:
            at = world.services.index(machine.service)
            machine.next_service = world.services[(at + 1) % len(world.services)]
        machine.terminate()
        delay = int(world.scenario.limits.reuse_delay)
        world.loop.after(delay + 2 * RESTART_DELAY_US, partial(_comes, world, machine))

    upstream.shut_down(ended)


def _comes(world: World, machine: Machine) -> None:
    """Once the pilot that is to be beside it is the new one."""
    if machine.next_service != machine.service and not machine.removed:
        world.loop.after(200 * MS, partial(_comes, world, machine))
    elif machine.upstream is None or not machine.upstream.process.alive:
        machine.start_upstream()


def _close(world: World, fault: Fault) -> None:
    """The closing fault, right after a configuration was acknowledged."""

    def strikes() -> None:
        world.trace("closing", fault.how)
        core = world.current_controls()
        lasts = int(fault.lasts) or 500 * MS
        if fault.how == "kill":
            for machine in (*core, *world.proxy_machines):
                machine.kill()
                world.loop.after(lasts, machine.start)
            return
        all_gone = world.rng.random() < 0.7
        wiped = core[: world.scenario.core.tolerance] if fault.how == "wipe" else []
        for machine in (*core, *world.proxy_machines):
            if fault.how == "power" or machine.is_control:
                machine.lose_power(machine in wiped, all_gone)
                world.loop.after(lasts, machine.restore_power)

    def back() -> None:
        world.trace("back")

    def then() -> None:
        strikes()
        world.loop.after(int(fault.lasts) or 500 * MS, back)

    world.operators.on_next_ack.append(then)
    world.operators.send_valid_change()
