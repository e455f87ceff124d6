"""Moves token memories of shards in and out of a node, and waits for or cancels their requests."""

import collections.abc

import trio

from ebonyvalve.process import accounting, identity, message, site, target, timer, token_memory

# How often a release checks the requests that it waits for.
RECHECK_INTERVAL_S = 0.05

FindTokenLife = collections.abc.Callable[[identity.ServiceId], float]


async def release(
    here: site.Site, clock: timer.Timer, shards: list[identity.ShardId]
) -> list[message.TokenMemory]:
    """Return and drop the token memories of shards once none of their requests can run here.

    :param here: the node's state.
    :param clock: the timer service.
    :param shards: the shards; no new request of them may start.
    """
    await _wait_until_ended(here, clock, shards)
    ends = [here.possible_runs.pop(shard) for shard in shards if shard in here.possible_runs]
    await timer.wait_until(clock, max(ends, default=0.0))
    moved = []
    for shard in shards:
        memory = here.token_memories.get(shard)
        if memory is not None and not memory.is_closed:
            moved.append(token_memory.export_memory(memory, here.now()))
    forget(here, shards)
    return moved


async def _wait_until_ended(
    here: site.Site, clock: timer.Timer, shards: list[identity.ShardId]
) -> None:
    """Wait for the requests of shards at the target.

    A target that is down may never reply. Its requests are cancelled once it cannot run them any
    longer, and replies that have begun at their callers are not waited for.
    """
    while flights := site.list_flights(here, shards):
        if not target.is_up(here.target):
            flights = [flight for flight in flights if not flight.is_reply_begun()]
            if not flights:
                return
            for flight in flights:
                if flight.find_run_end() <= here.now():
                    flight.scope.cancel()
        async with trio.open_nursery() as nursery:

            async def recheck(scope: trio.CancelScope) -> None:
                await timer.wait_until(clock, here.now() + RECHECK_INTERVAL_S)
                scope.cancel()

            nursery.start_soon(recheck, nursery.cancel_scope)
            await here.flights_ended.wait()
            nursery.cancel_scope.cancel()


def install(
    here: site.Site, moved: list[message.TokenMemory], find_token_life: FindTokenLife
) -> None:
    """Import the token memories of granted shards.

    :param here: the node's state; the node must hold the shards already.
    :param moved: the memories from the former owners.
    :param find_token_life: returns the life in seconds of a service's tokens.
    """
    for entry in moved:
        holding = here.read_node().holdings.get(entry.shard)
        if holding is None:
            continue
        life_s = find_token_life(identity.split_shard(entry.shard)[0])
        memory = site.find_memory(here, entry.shard, holding.fence, life_s=life_s)
        token_memory.import_memory(memory, entry, here.now())


def inherit(
    here: site.Site,
    source: message.Holding,
    recipient: message.Holding,
    find_token_life: FindTokenLife,
) -> None:
    """Transfer the memory of one holding to another holding at this node.

    A key that is split off takes its part of its partition's memory. A key that is merged back, and
    a shard that stays under a higher fencing token, transfer all of theirs.

    :param here: the node's state.
    :param source: the holding whose memory is transferred.
    :param recipient: the holding that receives it.
    :param find_token_life: returns the life in seconds of a service's tokens.
    """
    service, _, key = identity.split_shard(recipient.shard)
    life_s = find_token_life(service)
    source_memory = site.find_memory(here, source.shard, source.fence, life_s=life_s)
    if key is not None and source.shard != recipient.shard:
        accounting.forget_key(here.account, source.shard, key)
        here.token_memories[recipient.shard] = token_memory.split(
            source_memory, key=key, shard=recipient.shard, fence=recipient.fence, now=here.now()
        )
        return
    moved = token_memory.export_memory(source_memory, here.now())
    token_memory.drop(source_memory)
    recipient_memory = site.find_memory(here, recipient.shard, recipient.fence, life_s=life_s)
    token_memory.import_memory(recipient_memory, moved, here.now())


def forget(here: site.Site, shards: list[identity.ShardId]) -> None:
    """Drop the token memories and the load accounts of shards.

    :param here: the node's state.
    :param shards: shards that the node no longer holds, or holds without their former memory.
    """
    for shard in shards:
        memory = here.token_memories.pop(shard, None)
        if memory is not None:
            token_memory.drop(memory)
        accounting.forget(here.account, shard)


def cancel_requests(here: site.Site, shards: list[identity.ShardId]) -> None:
    """Cancel the requests of shards that the node must not serve at present.

    Those that cannot be sent again are left: the target refuses them after their grant, or the
    coordinator waits for their deadline before it assigns the shards.

    :param here: the node's state.
    :param shards: the shards.
    """
    site.cancel_flights(here, set(shards))
    site.notify(here)
