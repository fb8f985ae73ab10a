"""Places models on endpoints and orders loads, from one elected entry.

Rank selects the entry that leads; the epoch ensures that only one leader's
orders take effect. For every order the leader first requests a nonce from
the sidecar and then checks the stored epoch. A leader that was paused at any
point either reads the new epoch, or its nonce has expired, or its token is
below the highest one that the sidecar has seen.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Final, Literal

import anyio
from anyio.abc import TaskGroup
from result import Err, Ok, Result

from quetzaldyke.connection.messages import OrderResult
from quetzaldyke.connection.peer import PeerSession
from quetzaldyke.parts.hlc import wall_clock_ms
from quetzaldyke.parts.kv import KeyValueStore, KvError, Refused, swap
from quetzaldyke.parts.rendezvous import first_for
from quetzaldyke.process.fleet import Fleet
from quetzaldyke.process.logs import LogEvent
from quetzaldyke.version.configuration import Pool
from quetzaldyke.version.endpoint_reports import EndpointReports
from quetzaldyke.version.holder import ConfigHolder
from quetzaldyke.version.order_calls import OrderCalls, load_order
from quetzaldyke.version.placement import (
    Move,
    Placement,
    ShortageTracker,
    apply_move,
    ended_loads,
    managed_pools,
    misplaced,
    plan_move,
)

PLACEMENT_KEY: Final = 'placement'
RANK_KEY: Final = 'placement'
RECONCILE_INTERVAL_S: Final = 2.0
# Two entries with different instance lists may both rank first. The one that
# lost the epoch waits this long before it claims it again, so that the two
# don't keep taking it from each other.
RECLAIM_DELAY_MS: Final = 10_000
# A load that an earlier leader ordered is ordered again after this time.
INHERITED_LOAD_TIMEOUT_MS: Final = 120_000

DeclineReason = Literal['epoch', 'full', 'same']


@dataclass(slots=True)
class PlacementController:
    """Reconciles the endpoints with the placement while this entry leads."""

    store: KeyValueStore
    holder: ConfigHolder
    fleet: Fleet
    log_event: LogEvent
    group: TaskGroup
    reports: EndpointReports
    calls: OrderCalls
    read_wall_ms: Callable[[], int] = wall_clock_ms
    # Epoch that this entry holds as leader; 0 while it does not lead.
    epoch: int = 0
    epoch_lost_ms: int = -RECLAIM_DELAY_MS
    shortages: ShortageTracker = field(default_factory=ShortageTracker)
    # Endpoints with an order in progress, and those that refused their order.
    in_progress: set[str] = field(default_factory=set)
    refused: set[str] = field(default_factory=set)
    refusal_counts: Counter[str] = field(default_factory=Counter)
    # Endpoints that were sent an order under the current epoch.
    ordered_in_epoch: set[str] = field(default_factory=set)

    def subscribe(self) -> None:
        """Subscribe to order replies and endpoint reports."""
        self.calls.subscribe()
        self.reports.subscribe()

    def ranks_first(self) -> bool:
        """Tell whether this entry ranks first among the live entries."""
        return (
            first_for(self.fleet.live_entries(), RANK_KEY)
            == self.fleet.own.instance
        )

    def step_down(self) -> None:
        """Stop leading after another entry claimed the epoch."""
        if self.epoch:
            self.log_event('placement_lost', epoch=self.epoch)
        self.epoch = 0
        self.epoch_lost_ms = self.read_wall_ms()

    async def reconcile(self) -> None:
        """Compare desired and reported state and order the missing loads.

        Does nothing on an entry that doesn't rank first or can't claim the
        epoch.
        """
        if not self.ranks_first():
            self.epoch = 0
            return
        if not managed_pools(self.holder.current):
            return
        if not self.epoch and not await self.claim_epoch():
            return
        await self.reports.poll(managed_pools(self.holder.current))
        updated = await self.store_plan()
        if isinstance(updated, Err):
            return
        self.start_load_orders(updated.ok_value)

    async def claim_epoch(self) -> bool:
        """Claim the next epoch; False after a recent loss or a failed write."""
        if self.read_wall_ms() - self.epoch_lost_ms < RECLAIM_DELAY_MS:
            return False
        own = self.fleet.own.instance
        claimed = await self.update_placement(
            lambda now: replace(now, epoch=now.epoch + 1, leader=own),
        )
        if isinstance(claimed, Err):
            return False
        self.epoch = claimed.ok_value.epoch
        self.shortages = ShortageTracker()
        self.ordered_in_epoch.clear()
        self.log_event('placement_claimed', epoch=self.epoch)
        return True

    async def update_placement(
        self,
        decide: Callable[[Placement], Placement | Refused[DeclineReason]],
    ) -> Result[Placement, KvError | Refused[DeclineReason]]:
        """Store the placement that `decide` returns for the stored one.

        Fails if `decide` refuses or the store can't be updated.
        """

        def apply(payload: bytes) -> bytes | Refused[DeclineReason]:
            decided = decide(Placement.unpack(payload))
            return decided if isinstance(decided, Refused) else decided.pack()

        outcome = await swap(self.store, PLACEMENT_KEY, apply)
        return outcome.map(lambda stored: Placement.unpack(stored.payload))

    async def update_as_leader(
        self,
        decide: Callable[[Placement], Placement | Refused[DeclineReason]],
    ) -> Result[Placement, KvError | Refused[DeclineReason]]:
        """Update the placement if this entry still holds the epoch.

        Otherwise refuses with `epoch` and steps down.
        """
        epoch = self.epoch

        def guarded(now: Placement) -> Placement | Refused[DeclineReason]:
            if not epoch or now.epoch != epoch:
                return Refused('epoch')
            return decide(now)

        outcome = await self.update_placement(guarded)
        if isinstance(outcome, Err) and outcome.err_value == Refused('epoch'):
            self.step_down()
        return outcome

    async def store_plan(
        self,
    ) -> Result[Placement, KvError | Refused[DeclineReason]]:
        """Store ended loads and the next move; return the placement."""
        now_ms = self.read_wall_ms()
        pools = managed_pools(self.holder.current)
        endpoints = self.reports.endpoints()
        # Endpoints that were never polled would count as missing.
        all_polled = self.reports.all_polled(pools)
        unchanged: list[Placement] = []
        moves: list[Move] = []

        def decide(now: Placement) -> Placement | Refused[DeclineReason]:
            moves.clear()
            ended = ended_loads(now, pools, endpoints, self.refused, now_ms)
            loads = {
                name: started
                for name, started in now.loads.items()
                if name not in ended
            }
            updated = replace(now, loads=loads)
            move = plan_move(updated, pools, endpoints, self.shortages, now_ms)
            if move is not None and all_polled:
                moves.append(move)
                own_pool = self.reports.own_pool_of(move.instance)
                moved = {**now.moved_ms, move.instance: now_ms}
                updated = apply_move(updated, move, own_pool)
                updated = replace(updated, moved_ms=moved)
            if updated == now:
                unchanged.append(now)
                return Refused('same')
            return updated

        outcome = await self.update_as_leader(decide)
        if isinstance(outcome, Err):
            same = outcome.err_value == Refused('same')
            return Ok(unchanged[-1]) if same else outcome
        self.refused.clear()
        for move in moves:
            self.log_event(
                'replica_moved',
                endpoint=move.instance,
                from_pool=move.from_pool,
                to_pool=move.to_pool,
            )
        return outcome

    def start_load_orders(self, placement: Placement) -> None:
        """Start load orders for misplaced endpoints, up to the load limit.

        A reserved load is ordered again, unless its order is still in progress
        or an earlier leader's load may still be running.
        """
        configuration = self.holder.current
        pools = managed_pools(configuration)
        waiting = [
            endpoint
            for endpoint in misplaced(
                placement, pools, self.reports.endpoints()
            )
            if endpoint.instance not in self.in_progress
        ]
        repeated = [
            endpoint
            for endpoint in waiting
            if endpoint.instance in placement.loads
            and not self.is_inherited_load(endpoint.instance, placement)
        ]
        # Endpoints that refuse every order go last; otherwise they would take
        # the load slots from the others in every round.
        fresh = sorted(
            (
                endpoint
                for endpoint in waiting
                if endpoint.instance not in placement.loads
            ),
            key=lambda endpoint: self.refusal_counts[endpoint.instance],
        )
        limit = configuration.weight_store.concurrent_loads
        free_slots = max(limit - len(placement.loads), 0)
        for endpoint in (*repeated, *fresh[:free_slots]):
            pool = pools[placement.pool_of(endpoint)]
            self.in_progress.add(endpoint.instance)
            self.group.start_soon(self.order_load, endpoint.instance, pool)

    def is_inherited_load(self, name: str, placement: Placement) -> bool:
        """Tell whether an earlier leader's load may still be running.

        Ordering it again at once would load the weights twice.
        """
        age_ms = self.read_wall_ms() - placement.loads[name]
        return (
            name not in self.ordered_in_epoch
            and age_ms < INHERITED_LOAD_TIMEOUT_MS
        )

    async def order_load(self, instance: str, pool: Pool) -> None:
        """Send one load order, on a temporary connection if needed."""
        try:
            async with anyio.create_task_group() as group:
                session = await self.reports.session_to(instance, group)
                if session is not None:
                    await self.send_load_order(session, pool)
                group.cancel_scope.cancel()
        finally:
            self.in_progress.discard(instance)

    async def send_load_order(self, session: PeerSession, pool: Pool) -> None:
        """Request a nonce, reserve the load, send the order, await the result.

        Sends no order without a nonce, a free load slot and the epoch.
        """
        instance = session.remote.instance
        order_id = self.calls.new_order_id()
        try:
            nonce = await self.calls.request_nonce(session, order_id)
            token = self.epoch
            if not nonce or not await self.reserve_load(instance):
                return
            self.ordered_in_epoch.add(instance)
            self.log_event(
                'order_given',
                order_id=order_id,
                endpoint=instance,
                model=pool.model,
                fencing_token=token,
            )
            order = load_order(order_id, nonce, token, pool)
            self.handle_result(
                instance, await self.calls.send_order(session, order)
            )
        finally:
            self.calls.forget(order_id)

    def handle_result(self, instance: str, outcome: OrderResult | None) -> None:
        """Record a refusal, which frees its load slot in the next round."""
        if outcome is None or outcome.accepted:
            return
        self.refused.add(instance)
        self.refusal_counts[instance] += 1
        self.log_event(
            'order_refused',
            order_id=outcome.order_id,
            endpoint=instance,
            reason=outcome.reason,
        )

    async def reserve_load(self, instance: str) -> bool:
        """Reserve a load slot, or keep the one that the instance has.

        Returns False if none is free, the epoch was lost or the store failed.
        This checks the stored epoch and must run after the nonce was issued.
        """
        limit = self.holder.current.weight_store.concurrent_loads
        now_ms = self.read_wall_ms()

        def decide(now: Placement) -> Placement | Refused[DeclineReason]:
            if instance not in now.loads and len(now.loads) >= limit:
                return Refused('full')
            loads = {instance: now_ms, **now.loads}
            return replace(now, loads=loads)

        return (await self.update_as_leader(decide)).is_ok()
