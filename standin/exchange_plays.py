"""What happens in a world of keepers: troubles that the users allow, and changes of machines, by its seed.

`play` has troubles one after another, `play_changes` replacements, cuts and troubles that meet them. Both end
with a comparison of all machines.
"""

from __future__ import annotations

from typing import Any

from standin.exchange_world import AFTER_S, RARE_KEY, STOP_S, World


def trouble(world: World) -> None:
    """One trouble that the users' `Survive` allows, ended before the next."""
    chance, name = world.chance, world.chance.choice(world.names)
    lead = world.primary() or name
    match chance.randrange(9):
        case 0:
            world.kill(lead)
        case 1:
            world.kill(name, 2.0)
        case 2:
            world.kill(chance.choice((lead, name)), 1.0, wipe=True)
        case 3:
            world.cut({chance.choice((lead, name))}, 3.0, one_way=chance.random() < 0.4)
        case 4:
            world.freeze(chance.choice((lead, name)), 2.0)
        case 5:
            world.slow(chance.choice((lead, name)), 400.0, 2.5)
        case 6:
            for other in world.names:
                world.kill(other, chance.uniform(0.5, 1.5))
        case 7:
            for other in world.names:
                world.kill(other, chance.uniform(0.5, 2.5), wipe=other == lead)
        case _:
            world.mangle = 0.2
            world.after(2.0, lambda: setattr(world, "mangle", 0.0))


def begun(seed: int, size: int, lost_most: int, mutate: Any, every_s: float) -> World:
    """A world with a primary and all its voters, operators at work."""
    world = World(seed, size, lost_most, mutate)
    if not (world.settles(4.0) and world.whole(4.0)):
        world.broken.append("no first primary, or too few voters")
    else:
        world.put(str(world.primary()), RARE_KEY)
        world.until(world.now + 0.2)
    world.operate(every_s)
    return world


def play(seed: int, size: int = 3, lost_most: int = 1, troubles: int = 4, mutate: Any = None) -> World:
    """Some troubles in a row, each ended for the catch-up time before the next; then all must be well."""
    world = begun(seed, size, lost_most, mutate, 0.05)
    for _ in range(troubles):
        world.until(world.now + world.chance.uniform(0.0, 0.3))
        trouble(world)
        world.until(world.now + 3.5 + 4.0)
    if not world.settles(6.0):
        world.broken.append(f"{world.now:.3f} no write is taken any more")
    world.rest()
    world.converges()
    return world


def cut_off(world: World, name: str) -> float:
    """Cuts a machine off, both ways, one way, or from one other alone; for how long."""
    chance = world.chance
    seconds = chance.uniform(5.0, 30.0)
    others = [other for other in world.names if other != name]
    match chance.randrange(4):
        case 0:
            world.cut({name}, seconds)
        case 1:
            world.cut({name}, seconds, one_way=True)
        case 2:  # it hears nobody
            world.cut_ways({(other, name) for other in world.boxes if other != name}, seconds)
        case _:
            other = chance.choice(others)
            world.cut_ways({(name, other), (other, name)}, seconds)
    return seconds


def change(world: World) -> float:
    """A change of the machines, or a trouble that meets one; the seconds until all is over."""
    chance = world.chance
    lead = world.primary() or world.names[0]
    name = chance.choice((lead, chance.choice(world.names)))
    draw = chance.randrange(12)
    if draw < 3:
        world.replace(name, planned=True)
        return AFTER_S + STOP_S + 1.0
    if draw < 6:
        world.replace(name, planned=False)
        return AFTER_S + 4.0
    if draw == 6:
        world.terminate(name, back=True)
        return STOP_S + 1.0
    if draw == 7:
        return cut_off(world, name)
    if draw == 8:  # a planned end, and another machine lost while it hands over
        world.come()
        world.after(AFTER_S, lambda: world.terminate(name, back=False))
        others = [other for other in world.names if other != name]
        other, wipe = chance.choice(others), chance.random() < 0.5
        world.after(AFTER_S + STOP_S * chance.random() ** 3, lambda: world.kill(other, 1.0, wipe=wipe))
        return AFTER_S + STOP_S + 2.0
    if draw == 9:  # all killed while a replacement is under way
        world.replace(name, planned=chance.random() < 0.5)
        world.after(AFTER_S + 3.0 * chance.random(), world.kill_all)
        return AFTER_S + STOP_S + 2.0
    if draw == 10:  # cut off while a standby is there, so that it may lose its seat and come back
        world.come()
        world.after(1.5, lambda: world.cut({name}, 6.0) if name in world.names else None)
        return 8.0
    world.answers_lost = 0.7
    world.after(3.0, lambda: setattr(world, "answers_lost", 0.0))
    trouble(world)
    return 3.5


def play_changes(seed: int, size: int = 3, lost_most: int = 1, changes: int = 5, mutate: Any = None) -> World:
    """Replacements, cuts and troubles that meet them; then the voters are as many as they should be."""
    world = begun(seed, size, lost_most, mutate, 0.1)
    for _ in range(changes):
        world.until(world.now + world.chance.uniform(0.0, 0.3))
        world.until(world.now + change(world) + 5.0)
        if not world.settles(6.0):
            world.fault("no write is taken any more")
            break
    if not world.whole(10.0):
        world.fault("the voters are not as many as they should be, or do not run")
    world.rest()
    world.converges()
    return world
