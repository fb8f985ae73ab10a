"""Stateful test of the claim ledger under faults, crashes and cancellations."""

from __future__ import annotations

from collections import Counter
from unittest import mock

import anyio
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from result import Err, Ok

from faulty_store import FaultyStore, cancel_plans, current_scope, read_plans
from quetzaldyke.parts import claim_groups, kv
from quetzaldyke.parts.claim_bucket import Claimed, Recorded
from quetzaldyke.parts.claims import ClaimLedger

ENTRIES = 3
KEYS = ('k0', 'k1', 'k2', 'k3')
NOW_MS = 1_000_000_000

entries = st.integers(0, ENTRIES - 1)
# 'record' runs the request and records the outcome, 'release' does not run
# it, and 'lose' runs it without recording, like a process that dies.
attempts = st.tuples(
    entries,
    st.sampled_from(KEYS),
    st.sampled_from(['record', 'record', 'release', 'lose']),
)


class LedgerMachine(RuleBasedStateMachine):
    """Attempts of several entries on a few keys in one faulty store."""

    def __init__(self) -> None:
        """Start with an empty store."""
        super().__init__()
        # With one bucket, all keys share writes.
        self.patch = mock.patch.object(claim_groups, 'BUCKETS', 1)
        self.patch.start()
        self.store = FaultyStore()
        self.ledgers = [self.make_ledger() for _ in range(ENTRIES)]
        self.runs: Counter[str] = Counter()
        self.offered_outcomes: dict[str, set[bytes]] = {
            key: set() for key in KEYS
        }
        self.acknowledged: dict[str, bytes] = {}
        # Keys whose claim may stay forever because a process died.
        self.stuck: set[str] = set()
        self.attempted: set[str] = set()

    def make_ledger(self) -> ClaimLedger:
        """Return the ledger of a new entry."""
        return ClaimLedger(self.store, now_ms=lambda: NOW_MS, commit_delay_s=0)

    @rule(reads=read_plans, writes=cancel_plans)
    def set_faults(self, reads: list[str], writes: list[str]) -> None:
        """Plan the faults of the next calls."""
        self.store.plan(reads, writes)

    @rule(given=st.lists(attempts, min_size=1, max_size=6))
    def attempt_all(self, given: list[tuple[int, str, str]]) -> None:
        """Run attempts concurrently."""

        async def main() -> None:
            async with anyio.create_task_group() as group:
                for entry, key, action in given:
                    group.start_soon(self.attempt, entry, key, action)

        with mock.patch.object(kv, 'RETRY_PAUSE_S', 0):
            anyio.run(main)

    async def attempt(self, entry: int, key: str, action: str) -> None:
        """Claim a key and, if claimed, run the request."""
        self.attempted.add(key)
        known = self.acknowledged.get(key)
        with anyio.CancelScope() as scope:
            current_scope.set(scope)
            answer = await self.ledgers[entry].claim(key, NOW_MS)
            if isinstance(answer, Err):
                return
            if known is not None:
                assert answer == Ok(Recorded(known))
            if isinstance(answer.ok_value, Recorded):
                assert answer.ok_value.outcome in self.offered_outcomes[key]
            if isinstance(answer.ok_value, Claimed):
                await self.run_or_release(
                    entry, key, action, answer.ok_value.claim_id
                )

    async def run_or_release(
        self,
        entry: int,
        key: str,
        action: str,
        claim_id: str,
    ) -> None:
        """Run the claimed request, or release the claim."""
        ledger = self.ledgers[entry]
        if action == 'release':
            await ledger.release(key, claim_id)
            return
        self.runs[key] += 1
        if action == 'lose':
            self.stuck.add(key)
            return
        outcome = f'{key} {claim_id}'.encode()
        self.offered_outcomes[key].add(outcome)
        answer = await ledger.record(key, claim_id, outcome)
        if isinstance(answer, Ok):
            self.acknowledged[key] = outcome

    @rule(entry=entries)
    def crash(self, entry: int) -> None:
        """Replace an entry by one without its memory."""
        self.ledgers[entry] = self.make_ledger()
        self.stuck |= self.attempted

    @rule()
    def heal(self) -> None:
        """End all faults and check the reply for each key."""
        self.store.plan([], [])
        with mock.patch.object(kv, 'RETRY_PAUSE_S', 0):
            anyio.run(self.check_keys)

    async def check_keys(self) -> None:
        """Compare the replies of the ledgers with the model."""
        await self.store.apply_delayed()
        for ledger in self.ledgers:
            await ledger.retry_failed_writes()
        for key in KEYS:
            answer = await self.ledgers[0].claim(key, NOW_MS)
            reply = answer.unwrap()
            if key in self.acknowledged:
                assert reply == Recorded(self.acknowledged[key])
            elif key not in self.stuck and self.runs[key]:
                assert isinstance(reply, Recorded)
            elif key not in self.stuck:
                assert isinstance(reply, Claimed)
            if isinstance(reply, Claimed):
                assert not self.runs[key]
                await self.ledgers[0].release(key, reply.claim_id)

    @invariant()
    def runs_at_most_once(self) -> None:
        """No request is run more than once."""
        assert all(count <= 1 for count in self.runs.values())

    def teardown(self) -> None:
        """Check all keys at the end of each example."""
        try:
            self.heal()
        finally:
            self.patch.stop()


LedgerMachine.TestCase.settings = settings(
    max_examples=150,
    stateful_step_count=15,
    deadline=None,
    derandomize=True,
)
TestLedger = LedgerMachine.TestCase
