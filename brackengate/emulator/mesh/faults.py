"""Fault injection of the mesh simulation: applies the faults of a scenario to the simulated machines."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import partial

from brackengate.control.actions import Store
from brackengate.emulator.loop import MS, S
from brackengate.emulator.mesh.people import LostAcks
from brackengate.emulator.mesh.scenario import CHANGE_FAULTS, Fault, MeshScenario
from brackengate.emulator.mesh.world import FIRST_REQUEST_AT_US, RESTART_DELAY_US, Machine, World

# from sending a configuration change to the fault, where `wait` is 0: least and (exclusive) greatest delay
DELAY_AFTER_SENT_US = (5 * MS, 400 * MS)
# from the loss of a replica to the start of its replacement; planned: from that start to SIGTERM
REPLACEMENT_DELAY_US = S
REPLACEMENT_OVERLAP_US = 6 * S  # from the start of the replacement to the removal of the old replica
UPSTREAM_RESTART_DELAY_US = S  # from an upstream's crash to its restart


def schedule(world: World) -> Iterable[Callable[[], None]]:
    """Functions that each schedule one fault of the scenario. Its time counts from the first request."""
    for fault in world.scenario.fault:
        yield partial(world.loop.at, FIRST_REQUEST_AT_US + int(fault.at), partial(_start_fault, world, fault))


def end_time(scenario: MeshScenario) -> int:
    """Simulated time (us) at which the last fault and its direct consequences have ended."""
    ends = [0]
    for fault in scenario.fault:
        last = int(scenario.length) if fault.every or fault.after else int(fault.at)
        ends.append(FIRST_REQUEST_AT_US + last + max(int(fault.lasts), _duration_after_start(fault)))
    return max(ends)


def _duration_after_start(fault: Fault) -> int:
    if fault.kind == "replace_core":
        return REPLACEMENT_OVERLAP_US + (int(fault.lasts) or REPLACEMENT_DELAY_US)
    return REPLACEMENT_OVERLAP_US if fault.kind == "seeds" else fault.count * S


def _start_fault(world: World, fault: Fault) -> None:
    """Apply a fault now, or register it for the event that it waits for; repeat it where it has `every`."""
    if fault.every and world.loop.now + int(fault.every) < FIRST_REQUEST_AT_US + int(world.scenario.length):
        world.loop.after(int(fault.every), partial(_start_fault, world, fault))
    if fault.kind == "close":
        _apply_closing_fault(world, fault)
    elif fault.kind == "loss":
        _apply_loss(world, fault)
    elif fault.kind in CHANGE_FAULTS:
        _apply_change_fault(world, fault)
    elif fault.after == "ack":
        world.operators.on_next_ack.append(partial(_apply_fault, world, fault))
        world.operators.send_valid_change()
    elif fault.after == "sent":
        world.operators.send_valid_change()
        wait = int(fault.wait) or world.rng.randrange(*DELAY_AFTER_SENT_US)
        world.loop.after(wait, partial(_apply_fault, world, fault))
    elif fault.after == "sync":
        for machine in _find_machines(world, fault.on):
            machine.disk.on_commit = partial(_on_claim_synced, world, fault, machine)
    else:
        _apply_fault(world, fault)


def _find_machines(world: World, names: Iterable[str]) -> list[Machine]:
    """The machines that names in `on` or `to` of a fault stand for at this moment, without duplicates."""
    found: dict[Machine, None] = {}
    for name in names:
        if name in ("core", "pilots"):
            found |= dict.fromkeys(world.current_controls() if name == "core" else world.proxy_machines)
        elif name in ("head", "middle", "tail"):
            members = world.members_in_order()
            if members:
                at = {"head": 0, "middle": len(members) // 2, "tail": -1}[name]
                found[world.machine(members[at])] = None
        elif name == "acker":
            address = world.operators.answered_by
            if address is not None:
                found[world.machine_at(address)] = None
        elif name == "lot":
            found[world.rng.choice(world.current_controls())] = None
        else:
            found[world.machine(name)] = None
    return list(found)


def _apply_change_fault(world: World, fault: Fault) -> None:
    """Apply a fault of the operators' configuration changes."""
    world.trace("fault", fault.kind, ())
    operators, troubles, count = world.operators, world.operators.troubles, fault.count
    match fault.kind:
        case "ack_lost":
            operators.lost_acks = LostAcks(world.loop.now + int(fault.lasts), float(fault.part))
        case "bad_order":
            troubles.repeat(count, partial(troubles.send_bad_change, fault.order))
        case "config_race":
            troubles.repeat(count, troubles.send_race)
        case "resend":
            troubles.repeat(count, troubles.resend_earlier)
        case "overtaken_order":
            troubles.repeat(count, troubles.send_overtaken)
        case "big_order":
            send = partial(troubles.send_big_change, int(fault.routes), fault.content)
            troubles.repeat(count, send)


def _on_claim_synced(world: World, fault: Fault, machine: Machine, stores: list[Store]) -> None:
    """Apply the fault if the commit holds a claim: it is on disk, and the process is not notified yet."""
    if any(row[0] == "key" for store in stores for _, row in store.rows):
        machine.disk.on_commit = lambda stores: None
        _apply_fault(world, fault, _find_machines(world, fault.to) or [machine])


def _apply_fault(world: World, fault: Fault, machines: list[Machine] | None = None) -> None:
    """Record the fault and apply it to `machines`, by default to the targets of the fault."""
    machines = _find_machines(world, fault.on) if machines is None else machines
    machines = [machine for machine in machines if machine.started and not machine.removed]
    world.trace("fault", fault.kind, tuple(machine.name for machine in machines))
    if fault.kind == "cut":
        _apply_partition(world, fault, machines)
        return
    drop_unsynced = world.rng.random() < 0.5
    for machine in machines:
        _apply_to_machine(world, fault, machine, drop_unsynced)


def _apply_to_machine(world: World, fault: Fault, machine: Machine, drop_unsynced: bool) -> None:
    loop, lasts = world.loop, int(fault.lasts)
    match fault.kind:
        case "kill":
            machine.kill()
            loop.after(max(RESTART_DELAY_US, lasts), machine.start)
        case "term":
            machine.terminate()
        case "power" | "wipe":
            machine.lose_power(wipe=fault.kind == "wipe", lose_unsynced=drop_unsynced)
            loop.after(lasts, machine.restore_power)
        case "freeze":
            process = machine.process
            if process.alive:
                world.trace("frozen", machine.name)
                process.pause()

                def resume() -> None:
                    if process.alive:
                        world.trace("thawed", machine.name)
                        process.resume()

                loop.after(lasts, resume)
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
            _reset_some_connections(world, fault, machine, loop.now + lasts)
        case "seeds":
            _swap_with_spare(world, machine)
        case "replace_core":
            _replace_member(world, machine, fault.planned, lasts or REPLACEMENT_DELAY_US)
        case "crash":
            if machine.upstream is not None:
                machine.upstream.die()
                loop.after(max(UPSTREAM_RESTART_DELAY_US, lasts), machine.start_upstream)
        case "replace" | "reuse":
            _replace_upstream(world, machine, fault.kind == "reuse")


def _apply_loss(world: World, fault: Fault) -> None:
    """Packet loss on all links: lost data arrives late, as TCP retransmits it."""
    world.trace("fault", fault.kind, ())
    machines = [one.name for one in (*world.control_machines, *world.proxy_machines) if one.started]
    for enabled in (True, False):

        def switch(enabled: bool = enabled) -> None:
            world.net.loss = float(fault.part) if enabled else 0.0
            for name in machines:
                world.trace("sick" if enabled else "well", name)

        world.loop.after(0 if enabled else int(fault.lasts), switch)


def _apply_partition(world: World, fault: Fault, machines: list[Machine]) -> None:
    others = _find_machines(world, fault.to) or [*world.current_controls(), *world.proxy_machines]
    pairs = [(one, other) for one in machines for other in others if other not in machines]
    directions = [(one, other) for one, other in pairs] + (
        [] if fault.one_way else [(other, one) for one, other in pairs]
    )
    for enabled in (True, False):

        def switch(enabled: bool = enabled) -> None:
            for one, other in directions:
                world.trace("cut" if enabled else "joined", one.name, other.name)
                world.net.set_cut(one.ip, other.ip, enabled)

        world.loop.after(0 if enabled else int(fault.lasts), switch)
    if fault.seeds_first:
        world.put_seeds_first([machine.name for machine in machines if machine.is_control])
    _schedule_restarts(world, fault, machines)


def _schedule_restarts(world: World, fault: Fault, partitioned: list[Machine]) -> None:
    """Restart some machines during a partition, so that they read the seeds again."""
    lasts = int(fault.lasts)
    if fault.restart == "others":
        remaining = [one for one in world.proxy_machines if one not in partitioned]
        for machine in remaining[: (len(remaining) + 1) // 2]:
            world.loop.after(world.rng.randrange(lasts // 4, lasts // 2), partial(_restart, world, machine))
    elif fault.restart == "both":
        others = [one for one in world.current_controls() if one not in partitioned]
        for number, machine in enumerate([*partitioned, *others]):
            world.loop.after(lasts // 4 + number * S, partial(_restart, world, machine))


def _restart(world: World, machine: Machine) -> None:
    machine.kill()
    world.loop.after(RESTART_DELAY_US, machine.start)


def _swap_with_spare(world: World, old: Machine) -> None:
    """Replace a replica by a machine with an empty disk. The old one is removed; it may return as a spare."""
    spare = _find_spare(world, old)
    if spare is None:
        return
    _start_empty(spare)

    def swap() -> None:
        world.replace(old, spare)
        _remove_permanently(world, old)

    world.loop.after(REPLACEMENT_OVERLAP_US, swap)


def _replace_member(world: World, old: Machine, planned: bool, pause: int) -> None:
    """Remove a replica permanently and start an empty one at another address.

    Planned: the new one starts first, and the old one gets SIGTERM `pause` later.  Otherwise the new one
    starts `pause` after the loss of the old one.
    """
    spare = _find_spare(world, old)
    if spare is None:
        return
    if not planned:
        _remove_permanently(world, old)

    def finish() -> None:
        world.replace(old, spare)
        if planned:
            _stop_permanently(world, old)
        else:
            _start_empty(spare)

    if planned:
        _start_empty(spare)
    world.loop.after(pause, finish)


def _find_spare(world: World, old: Machine) -> Machine | None:
    """The machine that has been unused for longest, to replace this one if it is still listed; else None."""
    if old not in world.current_controls():
        return None
    free = [
        one for one in world.control_machines if one not in world.current_controls() and not one.process.alive
    ]
    return min(free, key=lambda one: one.removed_at) if free else None


def _start_empty(spare: Machine) -> None:
    spare.removed = False
    spare.disk.wipe()
    if not spare.powered:
        spare.restore_power()
    spare.start()


def _remove_permanently(world: World, old: Machine) -> None:
    old.lose_power(wipe=True)
    world.trace("removed", old.name)
    old.removed, old.removed_at = True, world.loop.now


def _stop_permanently(world: World, old: Machine) -> None:
    """Stop the process by SIGTERM, then remove the machine with its disk."""
    old.removed, old.removed_at = True, world.loop.now
    old.terminate()
    world.trace("removed", old.name)

    def remove_disk() -> None:
        if old.removed:  # false if it was started again meanwhile, as an empty machine
            old.lose_power(wipe=True)

    world.loop.after(int(world.scenario.limits.grace) + MS, remove_disk)


def _reset_some_connections(world: World, fault: Fault, machine: Machine, until: int) -> None:
    """Reset a share of the machine's connections, every second until `until`."""
    world.trace("reset", machine.name)
    machine.process.reset(lambda: world.rng.random() < float(fault.part))
    if world.loop.now + S < until:
        world.loop.after(S, partial(_reset_some_connections, world, fault, machine, until))


def _replace_upstream(world: World, machine: Machine, reuse: bool) -> None:
    """Drain and stop the upstream, then send SIGTERM to its proxy; new ones start at the same address.

    `reuse`: the new ones belong to another service.
    """
    upstream = machine.upstream
    if upstream is None or not upstream.process.alive:
        return

    def ended() -> None:
        if reuse:
            at = world.services.index(machine.service)
            machine.next_service = world.services[(at + 1) % len(world.services)]
        machine.terminate()
        delay = int(world.scenario.limits.reuse_delay)
        world.loop.after(delay + 2 * RESTART_DELAY_US, partial(_start_upstream, world, machine))

    upstream.shut_down(ended)


def _start_upstream(world: World, machine: Machine) -> None:
    """Start the new upstream as soon as the proxy beside it is the new one."""
    if machine.next_service != machine.service and not machine.removed:
        world.loop.after(200 * MS, partial(_start_upstream, world, machine))
    elif machine.upstream is None or not machine.upstream.process.alive:
        machine.start_upstream()


def _apply_closing_fault(world: World, fault: Fault) -> None:
    """Apply the closing fault right after the next acknowledgement of a configuration change."""

    def apply() -> None:
        world.trace("closing", fault.how)
        core = world.current_controls()
        lasts = int(fault.lasts) or 500 * MS
        if fault.how == "kill":
            for machine in (*core, *world.proxy_machines):
                machine.kill()
                world.loop.after(lasts, machine.start)
            return
        drop_unsynced = world.rng.random() < 0.7
        wiped = core[: world.scenario.core.tolerance] if fault.how == "wipe" else []
        for machine in (*core, *world.proxy_machines):
            if fault.how == "power" or machine.is_control:
                machine.lose_power(machine in wiped, drop_unsynced)
                world.loop.after(lasts, machine.restore_power)

    def record_recovery() -> None:
        world.trace("back")

    def start() -> None:
        apply()
        world.loop.after(int(fault.lasts) or 500 * MS, record_recovery)

    world.operators.on_next_ack.append(start)
    world.operators.send_valid_change()
