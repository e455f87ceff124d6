"""Measures the memory and time that a used one-time token takes."""

import random
import time
import tracemalloc

import defopt

from ebonyvalve.process import identity, token_memory
from ebonyvalve.request import outcome, token

LIFE_S = 300.0
ANSWERED = outcome.Outcome(verdict=outcome.Verdict.ANSWERED, status=200)


def use_tokens(state: token_memory.Memory, count: int, rng: random.Random) -> None:
    """Issue and use tokens until the token memory holds a number of them.

    :param state: the token memory.
    :param count: the number of tokens.
    :param rng: draws keys and nonces.
    """
    for index in range(count):
        now = index * LIFE_S / count / 2
        key = identity.KeyId(str(rng.randrange(10**9)))
        text = token.issue(state, key=key, now=now, random_bytes=rng.randbytes(token.NONCE_BYTES))
        token.begin(state, text, key=key, now=now)
        token.finish(state, text, ANSWERED, now=now)


def create() -> token_memory.Memory:
    """Return an empty token memory with the default limit."""
    return token_memory.create(
        shard=identity.ShardId("inventario/7"),
        fence=identity.Fence(1),
        life_s=LIFE_S,
        quota=token_memory.Quota(),
    )


def run(*, seed: int = 1) -> None:
    """Print the memory and time that a full token memory takes.

    :param seed: seeds the random numbers.
    """
    count = token_memory.DEFAULT_LIMIT
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    state = create()
    use_tokens(state, count, random.Random(seed))
    memory_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    start_s = time.perf_counter()
    use_tokens(create(), count, random.Random(seed))
    use_s = time.perf_counter() - start_s
    start_s = time.perf_counter()
    exported = token_memory.export_memory(state, LIFE_S / 2)
    export_s = time.perf_counter() - start_s
    start_s = time.perf_counter()
    token_memory.import_memory(create(), exported, 0.0)
    import_s = time.perf_counter() - start_s
    print(f"seed {seed}, {count} tokens, life {LIFE_S:.0f} s")
    print(f"bytes per token          {memory_bytes / count:8.0f}")
    print(f"full memory, MB          {memory_bytes / 1e6:8.1f}")
    print(f"sustained requests/s     {count / LIFE_S:8.0f}")
    print(f"µs to issue and use one  {use_s / count * 1e6:8.1f}")
    print(f"ms to export all         {export_s * 1e3:8.1f}")
    print(f"ms to import all         {import_s * 1e3:8.1f}")


if __name__ == "__main__":
    defopt.run(run)
