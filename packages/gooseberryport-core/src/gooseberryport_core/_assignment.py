"""Assignment of a region's pools to its members, computed from the table without side effects."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

from gooseberryport_core._hashing import rendezvous_weight
from gooseberryport_core._lease_table import NO_VM, Grant, Member, MemberId, Table
from gooseberryport_core.config import Config, pools_of, region_of_zone, slots_of
from gooseberryport_core.types import Epoch, Incarnation, PoolId, RegionName

NO_MEMBER = MemberId(NO_VM, Incarnation(0))


def region_pools(cfg: Config, region: RegionName) -> dict[PoolId, int]:
    """Return the pools of a region with their slot counts."""
    return {
        pool: sum(slots_of(cfg, name) for name in names)
        for pool, names in pools_of(cfg).items()
        if region_of_zone(cfg, pool.zone) == region
    }


class AssignmentPlan:
    """Compute the grants of the next table.

    Parameters
    ----------
    table
        The current table.
    pools
        Pools of the region with their slot counts.
    candidates
        Members that may receive pools.
    leaving
        Members that must hand their pools over.
    lapsed_ms
        Members whose lease has lapsed, each with the time since the end of its lease in
        milliseconds.
    """

    def __init__(
        self,
        *,
        table: Table,
        pools: Mapping[PoolId, int],
        candidates: Iterable[Member],
        leaving: frozenset[MemberId],
        lapsed_ms: Mapping[MemberId, int],
    ) -> None:
        self._pools = pools
        self._candidates = {member.id: member for member in candidates}
        self._leaving = leaving
        self._lapsed_ms = lapsed_ms
        self._grants = {grant.pool: grant for grant in table.grants}
        self._next_epoch = table.next_epoch
        self._slots = dict.fromkeys(self._candidates, 0)
        for grant in table.grants:
            self._add_slots(grant, 1)

    def apply_to(self, table: Table) -> Table:
        """Return the table with its new grants."""
        if self._candidates:
            self._grant_unowned()
            self._name_successors()
            self._balance()
        grants = tuple(self._grants[pool] for pool in sorted(self._grants))
        return msgspec.structs.replace(table, grants=grants, next_epoch=self._next_epoch)

    def _next_owner(self, grant: Grant) -> MemberId:
        return grant.owner if grant.successor == NO_MEMBER else grant.successor

    def _add_slots(self, grant: Grant, sign: int) -> None:
        next_owner = self._next_owner(grant)
        if next_owner in self._slots:
            self._slots[next_owner] += sign * self._pools.get(grant.pool, 0)

    def _set_grant(self, grant: Grant) -> None:
        former = self._grants.get(grant.pool)
        if former is not None:
            self._add_slots(former, -1)
        self._grants[grant.pool] = grant
        self._add_slots(grant, 1)

    def _grant_unowned(self) -> None:
        for pool in sorted(self._pools.keys() | self._grants.keys()):
            grant = self._grants.get(pool)
            if grant is None:
                self._grant_pool(pool, released=True, lapsed_ms=0)
            elif grant.owner == NO_MEMBER and pool in self._pools:
                self._grant_pool(pool, released=grant.released, lapsed_ms=0)
            elif grant.owner in self._lapsed_ms:
                self._grant_pool(pool, released=False, lapsed_ms=self._lapsed_ms[grant.owner])

    def _grant_pool(self, pool: PoolId, *, released: bool, lapsed_ms: int) -> None:
        owner = self._least_loaded(pool)
        self._set_grant(Grant(pool, owner, self._next_epoch, released, lapsed_ms, NO_MEMBER))
        self._next_epoch = Epoch(self._next_epoch + 1)

    def _eligible(self, pool: PoolId) -> list[MemberId]:
        zone = [m.id for m in self._candidates.values() if m.zone == pool.zone]
        return zone or list(self._candidates)

    def _least_loaded(self, pool: PoolId) -> MemberId:
        def cost(member: MemberId) -> tuple[int, int]:
            return (self._slots[member], -rendezvous_weight(member.vm, str(pool)))

        return min(self._eligible(pool), key=cost)

    def _name_successors(self) -> None:
        """Name a successor where the owner is leaving or is outside the pool's zone."""
        for pool in sorted(self._pools):
            grant = self._grants[pool]
            if grant.successor not in (NO_MEMBER, *self._candidates):
                grant = msgspec.structs.replace(grant, successor=NO_MEMBER)
                self._set_grant(grant)
            if self._must_move(self._next_owner(grant), pool):
                self._set_grant(msgspec.structs.replace(grant, successor=self._least_loaded(pool)))

    def _must_move(self, next_owner: MemberId, pool: PoolId) -> bool:
        if next_owner in self._candidates:
            return next_owner not in self._eligible(pool)
        return next_owner in self._leaving

    def _balance(self) -> None:
        """Move one pool to a less loaded member if that lowers the higher load of the two.

        No pool moves for balance while another handover is pending.
        """
        if any(grant.successor != NO_MEMBER for grant in self._grants.values()):
            return
        for pool in sorted(self._pools, key=lambda pool: (self._pools[pool], pool)):
            grant = self._grants[pool]
            target = min(self._eligible(pool), key=lambda member: (self._slots[member], member))
            surplus = self._slots.get(grant.owner, 0) - self._slots[target]
            if surplus > max(self._pools[pool], 1):
                self._set_grant(msgspec.structs.replace(grant, successor=target))
                return
