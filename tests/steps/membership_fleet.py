"""Steps about a fleet: each check runs the script so far from its seed."""

import trio
from behave import given, then, when
from behave.runner import Context
from fleet_script import add_check, add_step, hosts, wait_for

from burdocksill_lab.fakes.world import World


def member_counts(world: World, domain: str) -> dict[str, int]:
    """Return the number of live members on each VM that is not paused."""
    return {
        name: len(running.node.membership.live(domain))
        for name, running in world.nodes.items()
        if running.host not in world.network.paused
    }


@given('a fleet of {count:d} entry VMs in each of "{domains}"')
def start_fleet(context: Context, count: int, domains: str) -> None:
    """Start a fleet."""
    context.script = ()

    async def step(world: World) -> None:
        for domain in domains.split():
            for number in range(1, count + 1):
                world.begin_node(f'{domain}-{number}', domain)
        for running in world.nodes.values():
            await running.node.serving.wait()
        await trio.sleep(3)

    add_step(context, step)


@given("the fleet's network loses {percent:d} % of all packets")
def lose_packets(context: Context, percent: int) -> None:
    """Lose packets from now on."""

    async def step(world: World) -> None:
        world.network.faults.loss = percent / 100

    add_step(context, step)


@given("the fleet's platform list has stopped changing")
def freeze_list(context: Context) -> None:
    """Freeze the content of the list."""

    async def step(world: World) -> None:
        world.platform.faults.list_stale_at = world.platform.revision

    add_step(context, step)


@when('the fleet runs for {seconds:g} seconds')
def run_fleet(context: Context, seconds: float) -> None:
    """Advance the time."""

    async def step(world: World) -> None:
        await trio.sleep(seconds)

    add_step(context, step)


@when('the fleet loses "{names}" abruptly')
def lose_nodes(context: Context, names: str) -> None:
    """Kill entry VMs."""

    async def step(world: World) -> None:
        for name in names.split():
            world.kill_node(name)

    add_step(context, step)


@when('the fleet\'s "{names}" are restarted together')
def restart_nodes(context: Context, names: str) -> None:
    """Kill entry VMs and start them under their names on new hosts."""

    async def step(world: World) -> None:
        for name in names.split():
            domain = world.nodes[name].node.settings.domain
            world.kill_node(name)
            world.begin_node(name, domain)

    add_step(context, step)


@when('the fleet\'s "{name}" restarts with its clock {seconds:d} s behind')
def restart_behind(context: Context, name: str, seconds: int) -> None:
    """Start a VM under its name with a clock that was set back."""

    async def step(world: World) -> None:
        domain = world.nodes[name].node.settings.domain
        world.kill_node(name)
        running = world.begin_node(name, domain, clock_offset=-seconds)
        await running.node.serving.wait()

    add_step(context, step)


@when('the fleet\'s "{name}" sets its clock {seconds:d} s ahead')
def set_ahead(context: Context, name: str, seconds: int) -> None:
    """Let a clock jump."""

    async def step(world: World) -> None:
        world.nodes[name].node.clock.offset += seconds

    add_step(context, step)


@when('the fleet\'s "{name}" is paused for {seconds:g} seconds')
def pause_node(context: Context, name: str, seconds: float) -> None:
    """Pause a VM and resume it."""

    async def step(world: World) -> None:
        host = world.nodes[name].host
        world.network.pause(host)
        await trio.sleep(seconds)
        world.network.resume(host)

    add_step(context, step)


@when('the fleet\'s "{name}" leaves')
def leave(context: Context, name: str) -> None:
    """Announce a leave."""

    async def step(world: World) -> None:
        await world.nodes[name].node.membership.leave()

    add_step(context, step)


@when('the fleet\'s "{name}" receives nothing from "{other}"')
def cut_one_way(context: Context, name: str, other: str) -> None:
    """Drop packets in one direction between two VMs."""

    async def step(world: World) -> None:
        some = [world.nodes[other].host]
        world.network.cut(some, [world.nodes[name].host], one_way=True)

    add_step(context, step)


@when('the fleet\'s "{name}" is cut off from all others')
def cut_one_off(context: Context, name: str) -> None:
    """Partition a VM from all others."""

    async def step(world: World) -> None:
        others = [
            running.host for key, running in world.nodes.items() if key != name
        ]
        world.network.cut([world.nodes[name].host], others)

    add_step(context, step)


@when('the fleet\'s domain "{domain}" is cut off from "{other}"')
def cut_domains(context: Context, domain: str, other: str) -> None:
    """Partition two failure domains."""

    async def step(world: World) -> None:
        world.network.cut(hosts(world, domain), hosts(world, other))

    add_step(context, step)


@when("the fleet's cuts heal")
def heal(context: Context) -> None:
    """Heal all partitions."""

    async def step(world: World) -> None:
        world.network.heal()

    add_step(context, step)


@then('within {seconds:g} s the fleet counts {count:d} members in "{domain}"')
def check_count(
    context: Context, seconds: float, count: int, domain: str
) -> None:
    """Check the number of members on every VM."""

    async def step(world: World) -> None:
        await wait_for(
            seconds,
            lambda: set(member_counts(world, domain).values()) == {count},
            lambda: member_counts(world, domain),
        )

    add_check(context, step)


@then('in {seconds:g} s the fleet\'s "{name}" counts {count:d} in "{domain}"')
def check_one(
    context: Context, seconds: float, name: str, count: int, domain: str
) -> None:
    """Check the number of members on one VM."""

    async def step(world: World) -> None:
        await wait_for(
            seconds,
            lambda: member_counts(world, domain)[name] == count,
            lambda: member_counts(world, domain),
        )

    add_check(context, step)


@then('for {seconds:g} s the fleet always has {count:d} members in "{domain}"')
def check_steady(
    context: Context, seconds: float, count: int, domain: str
) -> None:
    """Check that no member is lost meanwhile."""

    async def step(world: World) -> None:
        deadline = trio.current_time() + seconds
        while trio.current_time() < deadline:
            found = member_counts(world, domain)
            assert set(found.values()) == {count}, found
            await trio.sleep(0.1)

    add_check(context, step)


@then('the fleet\'s "{name}" is quorate within {seconds:g} s')
def check_quorate(context: Context, name: str, seconds: float) -> None:
    """Check that a VM is quorate."""

    async def step(world: World) -> None:
        members = world.nodes[name].node.membership
        await wait_for(seconds, members.quorate, lambda: name)

    add_check(context, step)


@then('the fleet\'s "{name}" is not quorate within {seconds:g} s')
def check_not_quorate(context: Context, name: str, seconds: float) -> None:
    """Check that a VM is not quorate."""

    async def step(world: World) -> None:
        members = world.nodes[name].node.membership
        await wait_for(seconds, lambda: not members.quorate(), lambda: name)

    add_check(context, step)


@then('the fleet has suspected nobody')
def check_unsuspected(context: Context) -> None:
    """Check that no member was ever suspected."""

    async def step(world: World) -> None:
        for name, running in world.nodes.items():
            counters = running.node.counters
            assert not counters.value('members_suspected'), name

    add_check(context, step)


@then('the fleet still relays to "{name}"')
def check_found(context: Context, name: str) -> None:
    """Check that packets can still be relayed to a VM."""

    async def step(world: World) -> None:
        tag = world.nodes[name].node.membership.local_member.tag
        for running in world.nodes.values():
            assert running.node.membership.find(tag) is not None

    add_check(context, step)


@then('each VM of the fleet sends at most {limit:d} bytes a second')
def check_bytes(context: Context, limit: int) -> None:
    """Measure the traffic of the fleet's heartbeats."""

    async def step(world: World) -> None:
        before = {
            name: running.node.counters.value('peer_bytes_sent')
            for name, running in world.nodes.items()
        }
        await trio.sleep(20)
        for name, running in world.nodes.items():
            sent = running.node.counters.value('peer_bytes_sent')
            assert (sent - before[name]) / 20 <= limit, (name, sent)

    add_check(context, step)
