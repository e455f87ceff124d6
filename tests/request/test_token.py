"""Tests that a token runs at most once, whatever happens between its uses."""

import base64
import collections.abc
import dataclasses

import hypothesis
from hypothesis import stateful, strategies
import msgspec
import pytest

from ebonyvalve.process import identity, message, token_memory
from ebonyvalve.request import outcome, token

SERVICE = identity.ServiceId("inventario")
KEYS = [identity.KeyId("a"), identity.KeyId("b")]
PARTITION = identity.name_partition(SERVICE, identity.Partition(7))
KEY_SHARD = identity.name_key(SERVICE, KEYS[0])
LIFE_S = 10.0
# The nodes' clocks have different zero points.
CLOCKS = [0.0, 5000.0, -400.0]
ANSWERED = outcome.Outcome(verdict=outcome.Verdict.ANSWERED, status=201)
ENDINGS = [ANSWERED, outcome.unknown(outcome.Reason.CONNECTION_LOST)]
SETTINGS = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=500,
    stateful_step_count=30,
    database=None,
    report_multiple_bugs=False,
    phases=[hypothesis.Phase.generate],
)


@dataclasses.dataclass(kw_only=True)
class Issued:
    """An issued token, the time of its issue, and how often its request ran."""

    text: str
    key: identity.KeyId
    at: float
    runs: int = 0
    is_lost: bool = False


class Tokens(stateful.RuleBasedStateMachine):
    """A state machine of one partition and a key that is split off, moved, lost and merged back."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0
        self.lag_s = 0.0
        self.life_s = LIFE_S
        self.fence = 1
        self.quotas = [token_memory.Quota(limit=6) for _ in CLOCKS]
        self.place = {PARTITION: 0}
        self.states = {PARTITION: self.create(PARTITION, 0)}
        self.former: list[tuple[int, token_memory.Memory]] = []
        self.issued: list[Issued] = []
        self.running: list[tuple[token_memory.Memory, int, Issued]] = []

    def create(self, shard: identity.ShardId, node: int) -> token_memory.Memory:
        self.fence += 1
        return token_memory.create(
            shard=shard,
            fence=identity.Fence(self.fence),
            life_s=self.life_s,
            quota=self.quotas[node],
        )

    def read_clock(self, node: int) -> float:
        return self.now + CLOCKS[node]

    def find_shard(self, key: identity.KeyId) -> identity.ShardId:
        return KEY_SHARD if key == KEYS[0] and KEY_SHARD in self.states else PARTITION

    @stateful.rule(key=strategies.sampled_from(KEYS))
    def issue(self, key: identity.KeyId) -> None:
        shard = self.find_shard(key)
        now = self.read_clock(self.place[shard])
        nonce = len(self.issued).to_bytes(token.NONCE_BYTES, "big")
        text = token.issue(self.states[shard], key=key, now=now, random_bytes=nonce)
        self.issued.append(Issued(text=text, key=key, at=self.now))

    @stateful.precondition(lambda self: self.issued)
    @stateful.rule(index=strategies.integers(0, 2), is_quick=strategies.booleans())
    def send(self, index: int, is_quick: bool) -> None:
        issued = self.issued[-1 - index % len(self.issued)]
        shard = self.find_shard(issued.key)
        state, node = self.states[shard], self.place[shard]
        standing = token.begin(
            state, issued.text, key=issued.key, now=self.read_clock(node)
        ).standing
        if standing is token.Standing.FRESH:
            issued.runs += 1
            assert issued.runs == 1, "a token ran twice"
            # A handed-over clock lags by the duration of each handover, and so does the memory.
            age_s = self.now - issued.at - self.lag_s
            assert age_s < self.life_s + token_memory.CLOCK_TOLERANCE_S, "an expired token ran"
            if is_quick:
                token.finish(state, issued.text, ANSWERED, now=self.read_clock(node))
            else:
                self.running.append((state, node, issued))
        elif issued.runs == 0 and not issued.is_lost and self.now - issued.at < LIFE_S - 2:
            assert standing is token.Standing.MEMORY_FULL, f"an unused token is {standing}"

    @stateful.precondition(lambda self: self.former and self.issued)
    @stateful.rule(index=strategies.integers(0, 2), which=strategies.integers(0, 2))
    def send_to_former_owner(self, index: int, which: int) -> None:
        issued = self.issued[-1 - index % len(self.issued)]
        node, state = self.former[-1 - which % len(self.former)]
        found = token.begin(state, issued.text, key=issued.key, now=self.read_clock(node))
        assert found.standing is not token.Standing.FRESH, "a former owner runs a token"

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(
        index=strategies.integers(0, 2),
        ending=strategies.sampled_from([*ENDINGS, outcome.refuse(outcome.Reason.TARGET_SHED)]),
    )
    def end(self, index: int, ending: outcome.Outcome) -> None:
        state, node, issued = self.running.pop(index % len(self.running))
        is_recorded = token.finish(state, issued.text, ending, now=self.read_clock(node))
        # Once exported, a running token counts as used: the next owner cannot learn that it did not
        # run.
        if ending.verdict is outcome.Verdict.NOT_RUN and is_recorded:
            issued.runs -= 1

    @stateful.rule(
        seconds=strategies.sampled_from([1.0, LIFE_S]),
        life_s=strategies.sampled_from([LIFE_S, 2 * LIFE_S]),
        is_resent=strategies.booleans(),
    )
    def pass_time(self, seconds: float, life_s: float, is_resent: bool) -> None:
        self.now += seconds
        for shard, state in self.states.items():
            token_memory.forget(state, self.read_clock(self.place[shard]))
        self.life_s = life_s
        for state in self.states.values():
            state.life_s = life_s
        if is_resent and self.issued:
            self.send(0, True)

    @stateful.rule(
        node=strategies.sampled_from([0, 1, 2]),
        transit_s=strategies.sampled_from([0.0, 0.5]),
        is_own=strategies.booleans(),
        grants=strategies.integers(1, 2),
    )
    def move(self, node: int, transit_s: float, is_own: bool, grants: int) -> None:
        shard = KEY_SHARD if is_own and KEY_SHARD in self.states else PARTITION
        state, before = self.states[shard], self.place[shard]
        moved = token_memory.export_memory(state, self.read_clock(before))
        self.former.append((before, state))
        self.now += transit_s
        self.lag_s += transit_s
        after = self.create(shard, node)
        for _ in range(grants):
            if not token_memory.import_memory(after, moved, self.read_clock(node)):
                self.mark_lost(shard)
        self.states[shard], self.place[shard] = after, node

    @stateful.rule(node=strategies.sampled_from([0, 1, 2]), is_own=strategies.booleans())
    def lose(self, node: int, is_own: bool) -> None:
        shard = KEY_SHARD if is_own and KEY_SHARD in self.states else PARTITION
        token_memory.drop(self.states[shard])
        self.states[shard], self.place[shard] = self.create(shard, node), node
        self.mark_lost(shard)

    def mark_lost(self, shard: identity.ShardId) -> None:
        for issued in self.issued:
            if self.find_shard(issued.key) == shard:
                issued.is_lost = True

    @stateful.precondition(lambda self: KEY_SHARD not in self.states)
    @stateful.rule()
    def split(self) -> None:
        self.fence += 1
        node = self.place[PARTITION]
        self.states[KEY_SHARD] = token_memory.split(
            self.states[PARTITION],
            key=KEYS[0],
            shard=KEY_SHARD,
            fence=identity.Fence(self.fence),
            now=self.read_clock(node),
        )
        self.place[KEY_SHARD] = node

    @stateful.precondition(lambda self: KEY_SHARD not in self.states and self.issued)
    @stateful.rule(index=strategies.integers(0, 2))
    def lose_after_split(self, index: int) -> None:
        self.split()
        self.send(index, True)
        self.lose(self.place[PARTITION], True)

    @stateful.precondition(lambda self: KEY_SHARD in self.states)
    @stateful.rule()
    def merge(self) -> None:
        self.move(self.place[PARTITION], 0.0, True, 1)
        state, node = self.states.pop(KEY_SHARD), self.place.pop(KEY_SHARD)
        moved = token_memory.export_memory(state, self.read_clock(node))
        self.former.append((node, state))
        self.now += 0.005
        self.lag_s += 0.005
        if not token_memory.import_memory(self.states[PARTITION], moved, self.read_clock(node)):
            for issued in self.issued:
                issued.is_lost = issued.is_lost or issued.key == KEYS[0]

    @stateful.invariant()
    def check_quota(self) -> None:
        for node, quota in enumerate(self.quotas):
            memories = [self.states[shard] for shard in self.states if self.place[shard] == node]
            memories += [state for place, state in self.former if place == node]
            assert quota.count == sum(len(state.used) + len(state.running) for state in memories)
            assert quota.count <= token_memory.MAX_IMPORT_FACTOR * quota.limit
            if quota.count > quota.limit // 2:
                self.drop_former()

    def drop_former(self) -> None:
        for _, state in self.former:
            token_memory.drop(state)


def test_token_runs_at_most_once() -> None:
    """Guards against a second run after resend, handover, split, merge, loss or expiry."""
    explained = hypothesis.settings(SETTINGS, phases=[*hypothesis.Phase])
    stateful.run_state_machine_as_test(Tokens, settings=explained)


def create_state(limit: int = 4) -> token_memory.Memory:
    return token_memory.create(
        shard=PARTITION,
        fence=identity.Fence(3),
        life_s=LIFE_S,
        quota=token_memory.Quota(limit=limit),
    )


def issue(
    state: token_memory.Memory, now: float, nonce: int = 0, key: identity.KeyId = KEYS[0]
) -> str:
    return token.issue(state, key=key, now=now, random_bytes=nonce.to_bytes(12, "big"))


@pytest.mark.parametrize(
    ("change", "standing"),
    [
        (lambda text: text, token.Standing.FRESH),
        (lambda text: "", token.Standing.MALFORMED),
        (lambda text: text + "=", token.Standing.MALFORMED),
        (lambda text: text[:-1], token.Standing.MALFORMED),
        # The last character contains bits that decoders ignore.
        (lambda text: text[:-1] + chr(ord(text[-1]) + 1), token.Standing.MALFORMED),
        (lambda text: "é" + text, token.Standing.MALFORMED),
        (lambda text: "A" * 100_000, token.Standing.MALFORMED),
        (lambda text: base64.b64encode(b"\xdc\xff\xff").decode(), token.Standing.MALFORMED),
        (lambda text: replace(text, issued_ms=10**9), token.Standing.MALFORMED),
        (lambda text: replace(text, issued_ms=0), token.Standing.EXPIRED),
        (lambda text: replace(text, nonce=b""), token.Standing.MALFORMED),
        (lambda text: replace(text, fence=identity.Fence(2)), token.Standing.EPOCH_LOST),
        (
            lambda text: replace(text, key=token_memory.digest_key(KEYS[1])),
            token.Standing.WRONG_SHARD,
        ),
        (lambda text: replace(text, shard="paquetes/7"), token.Standing.WRONG_SHARD),
    ],
)
def test_standing_of_altered_tokens(
    change: collections.abc.Callable[[str], str], standing: token.Standing
) -> None:
    """Guards against an altered text that is accepted as another token and runs again."""
    state = create_state()
    text = change(issue(state, 100.0))
    assert token.check(state, text, key=KEYS[0], now=101.0).standing is standing


def replace(text: str, **changes: object) -> str:
    fields = token.parse(text)
    assert fields is not None
    return token.write(msgspec.structs.replace(fields, **changes))


def test_resend_waits_then_gets_the_recorded_outcome() -> None:
    """Guards against a resend that runs, and against an outcome lost by a split in between."""
    state = create_state()
    text = issue(state, 100.0)
    assert token.begin(state, text, key=KEYS[0], now=101.0).standing is token.Standing.FRESH
    assert token.begin(state, text, key=KEYS[0], now=102.0).standing is token.Standing.IN_PROGRESS
    own = token_memory.split(
        state, key=KEYS[0], shard=KEY_SHARD, fence=identity.Fence(4), now=102.0
    )
    token.finish(state, text, ANSWERED, now=103.0)
    found = token.begin(own, text, key=KEYS[0], now=104.0)
    assert found.standing is token.Standing.USED
    assert found.used is not None
    assert (found.used.verdict, found.used.status) == (outcome.Verdict.ANSWERED, 201)


def test_full_memory_refuses_until_tokens_expire() -> None:
    """Guards against a full memory that drops a token, which could then run again."""
    state = create_state(limit=2)
    texts = [issue(state, 100.0, nonce) for nonce in range(3)]
    for text in texts[:2]:
        token.begin(state, text, key=KEYS[0], now=100.0)
        token.finish(state, text, ANSWERED, now=100.0)
    found = [token.begin(state, text, key=KEYS[0], now=101.0).standing for text in texts]
    assert found == [token.Standing.USED, token.Standing.USED, token.Standing.MEMORY_FULL]
    assert token.REFUSALS[token.Standing.MEMORY_FULL].verdict is outcome.Verdict.NOT_RUN
    late = issue(state, 100.0 + LIFE_S, 9)
    assert token.begin(state, late, key=KEYS[0], now=110.0).standing is token.Standing.FRESH
    assert token.begin(state, texts[0], key=KEYS[0], now=110.0).standing is token.Standing.EXPIRED


def test_issuer_is_found_only_in_tokens_of_nodes() -> None:
    """Guards against a token without a key that is sent to a node that cannot check it."""
    node = identity.NodeId("n-3")
    state = token_memory.create(
        shard=token_memory.name_node_shard(SERVICE, node),
        fence=token_memory.derive_fence(identity.Incarnation("first")),
        life_s=LIFE_S,
        quota=token_memory.Quota(),
    )
    text = token.issue(state, key=None, now=5.0, random_bytes=bytes(12))
    assert token.find_issuer(text) == node
    assert token.find_issuer(issue(create_state(), 5.0)) is None
    again = dataclasses.replace(state, coverage={}, fence=identity.Fence(1))
    assert token.check(again, text, key=None, now=6.0).standing is token.Standing.EPOCH_LOST


def forget_horizon(memory_: token_memory.Memory, now: float) -> int:
    past = [name for name, used in memory_.used.items() if used.used_at <= now - memory_.life_s]
    for name in past:
        del memory_.used[name]
    memory_.quota.count -= len(past)
    return len(past)


def split_without_departure(state: token_memory.Memory, **details: object) -> token_memory.Memory:
    key_memory = ORIGINAL_SPLIT(state, **details)  # type: ignore[arg-type]
    for coverage in state.coverage.values():
        coverage.split_keys.clear()
    return key_memory


def export_open(state: token_memory.Memory, now: float) -> message.TokenMemory:
    moved = ORIGINAL_EXPORT(state, now)
    state.is_closed = False
    return moved


def export_used(state: token_memory.Memory, now: float) -> message.TokenMemory:
    state.running.clear()
    return ORIGINAL_EXPORT(state, now)


def import_without_clock(
    state: token_memory.Memory, moved: message.TokenMemory, now: float
) -> bool:
    is_done = ORIGINAL_IMPORT(state, moved, now)
    for coverage in state.coverage.values():
        coverage.offset_s = 0.0
    return is_done


def find_any_coverage(
    state: token_memory.Memory, *args: object, **kwargs: object
) -> token_memory.EpochCoverage:
    return ORIGINAL_FIND(state, *args, **kwargs) or token_memory.EpochCoverage()  # type: ignore[arg-type]


ORIGINAL_SPLIT = token_memory.split
ORIGINAL_EXPORT = token_memory.export_memory
ORIGINAL_IMPORT = token_memory.import_memory
ORIGINAL_FIND = token_memory.find_coverage


@pytest.mark.parametrize(
    ("name", "broken"),
    [
        ("forget", forget_horizon),
        ("split", split_without_departure),
        ("export_memory", export_open),
        ("export_memory", export_used),
        ("import_memory", import_without_clock),
        ("find_coverage", find_any_coverage),
    ],
    ids=lambda value: getattr(value, "__name__", ""),
)
def test_broken_memory_is_found(
    monkeypatch: pytest.MonkeyPatch, name: str, broken: collections.abc.Callable[..., object]
) -> None:
    """Guards against a state machine that no longer finds the faults it was written for."""
    monkeypatch.setattr(token_memory, name, broken)
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(Tokens, settings=SETTINGS)
