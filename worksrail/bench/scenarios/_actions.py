"""What can happen in a scenario, one maker for each rule of the grammar."""

from dataclasses import dataclass
from functools import partial

from worksrail.bench.scenarios._bundles import variant
from worksrail.bench.scenarios._steps import Doing
from worksrail.bench.world import Traffic, World
from worksrail.core.identity import Place
from worksrail.core.requests import Ticket


@dataclass(frozen=True, slots=True)
class Writes:
    """Share of requests that are not idempotent."""

    share: float
    """The share."""


@dataclass(frozen=True, slots=True)
class Target:
    """Entry that gets the load."""

    name: str
    """Its name."""


def load(
    service: str,
    rate: float,
    region: str,
    *rest: Writes | Target | float,
) -> Doing:
    """Send requests at a rate from the callers of a region."""
    writes = [one.share for one in rest if isinstance(one, Writes)]
    entry = [one.name for one in rest if isinstance(one, Target)]
    seconds = next(one for one in rest if isinstance(one, float))

    def do(world: World) -> None:
        traffic = Traffic(
            service,
            region,
            rate,
            world.clock.now + seconds,
            writes=writes[0] if writes else 0,
            entry=entry[0] if entry else '',
        )
        world.load(traffic)

    return do


def kill(name: str) -> Doing:
    """End a process at once."""
    return lambda world: world.kill(name)


def stop(name: str) -> Doing:
    """Ask a process to stop gracefully."""
    return lambda world: world.stop(name)


def restart(name: str) -> Doing:
    """Start a process, in the place it had or that its name tells."""

    def do(world: World) -> None:
        old = world.processes.get(name)
        world.start(name, old.place if old else _place_of(world, name))

    return do


def pause(name: str, seconds: float) -> Doing:
    """Freeze a process."""
    return lambda world: world.pause(name, seconds)


def cut(one: str, other: str, seconds: float) -> Doing:
    """Let nothing pass between two places."""

    def do(world: World) -> None:
        pair = frozenset((one, other))
        world.network.cuts.add(pair)
        world.clock.after(seconds, lambda: world.network.cuts.discard(pair))

    return do


def store_down(seconds: float) -> Doing:
    """Let the store answer nobody."""

    def do(world: World) -> None:
        world.store.down = True
        world.clock.after(seconds, lambda: _store_up(world))

    return do


def store_cut(place: str, seconds: float) -> Doing:
    """Let the store not answer one instance, zone or region."""

    def do(world: World) -> None:
        world.store.unreachable.add(place)
        world.clock.after(
            seconds, lambda: world.store.unreachable.discard(place)
        )

    return do


def lose_answers(count: int) -> Doing:
    """Let the next writes take effect without an answer."""

    def do(world: World) -> None:
        world.store.lose_answers = count

    return do


def stale_reads(count: int) -> Doing:
    """Let the next reads give what was before."""

    def do(world: World) -> None:
        world.store.stale_reads = count

    return do


def restore(*unused: str) -> Doing:
    """Restore the store to the head before the last change."""

    def do(world: World) -> None:
        world.store.head = world.store.old_head

    return do


def hide(name: str, seconds: float) -> Doing:
    """Let the platform's list not show a live instance."""

    def do(world: World) -> None:
        world.store.hidden.add(name)
        world.clock.after(seconds, lambda: world.store.hidden.discard(name))

    return do


def keep(name: str) -> Doing:
    """Let the platform's list show an instance after its end."""
    return lambda world: world.store.ghosts.add(name)


def lose(share: float, seconds: float) -> Doing:
    """Lose a share of the messages."""

    def do(world: World) -> None:
        world.network.loss = share
        world.clock.after(seconds, lambda: _no_loss(world))

    return do


def repeat(share: float, seconds: float) -> Doing:
    """Deliver a share of the messages twice."""

    def do(world: World) -> None:
        world.network.repetition = share
        world.clock.after(seconds, lambda: _no_repetition(world))

    return do


def disorder(most: float, seconds: float) -> Doing:
    """Delay each message by a random time, so that they overtake."""

    def do(world: World) -> None:
        world.network.disorder = most
        world.clock.after(seconds, lambda: _no_disorder(world))

    return do


def roll(name: str) -> Doing:
    """Roll a variant of the bundle."""
    return lambda world: world.roll(variant(world.plan.bundle, name))


def drain(target: str) -> Doing:
    """Add a drain."""

    def do(world: World) -> None:
        drains = {*world.store.head.drains, target}
        world.set_drains(tuple(sorted(drains)))

    return do


def undrain(target: str) -> Doing:
    """Take a drain off."""

    def do(world: World) -> None:
        drains = set(world.store.head.drains) - {target}
        world.set_drains(tuple(sorted(drains)))

    return do


def misbehave(name: str, how: str, seconds: float) -> Doing:
    """Let an upstream misbehave."""
    faults: dict[str, tuple[str, object]] = {
        'sheds': ('shed', True),
        'breaks': ('breaks', True),
        'down': ('down', True),
        'crawls': ('slow', 10),
    }
    attribute, fault = faults[how]

    def do(world: World) -> None:
        upstream = world.upstreams[name]
        before = getattr(upstream, attribute)
        setattr(upstream, attribute, fault)
        world.clock.after(seconds, lambda: setattr(upstream, attribute, before))

    return do


def race(service: str, count: int, region: str) -> Doing:
    """Send each of some writes to two entries at once, with one key."""

    def do(world: World) -> None:
        entries = [one.name for one in world.live()]
        for number in range(count):
            key = f'race-{world.clock.now}-{number}'
            first = world.callers.request(service, region, write=True, key=key)
            other = world.rng.choice(entries)
            if first.key:
                world.callers.request(
                    service, region, write=True, key=key, entry=other
                )

    return do


def resend(service: str, count: int, region: str) -> Doing:
    """Send some writes, and each again a second and ten seconds later."""

    def do(world: World) -> None:
        for number in range(count):
            key = f'again-{world.clock.now}-{number}'
            world.callers.request(service, region, write=True, key=key)
            cached = world.callers.answers.get((service, region))
            ticket = cached[1].ticket if cached else None
            again = partial(_request_again, world, service, region, key, ticket)
            for delay in (1, 10):
                world.clock.after(delay, again)

    return do


def _request_again(
    world: World,
    service: str,
    region: str,
    key: str,
    ticket: Ticket | None,
) -> None:
    world.callers.request(service, region, write=True, key=key, ticket=ticket)


def _place_of(world: World, name: str) -> Place:
    zone = name.rpartition('-')[0]
    regions = {one.name: one.region for one in world.plan.bundle.zones}
    return Place(zone, regions[zone])


def _store_up(world: World) -> None:
    world.store.down = False


def _no_loss(world: World) -> None:
    world.network.loss = 0


def _no_repetition(world: World) -> None:
    world.network.repetition = 0


def _no_disorder(world: World) -> None:
    world.network.disorder = 0
