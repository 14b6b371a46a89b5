"""The connection pools of all machines: made when a machine is first sent something, closed with it.

What goes over a connection is the affair of `connection_pool`.
"""

from __future__ import annotations

from kelpfront.platform.connection_pool import ConnectionPool, PoolContext
from kelpfront.platform.intents import (
    AbandonAttempt,
    ForgetMachine,
    KeepConnected,
    Offer,
    SendHealthCheck,
    SendToMachine,
)
from kelpfront.scheduling.events import AttemptOutcome, MachineId

MachineIntent = Offer | AbandonAttempt | SendToMachine | SendHealthCheck | KeepConnected | ForgetMachine


class MachinePools:
    """One pool a machine, by machine id: an address may get a new machine.

    Attributes:
        pools: those that are open.
    """

    def __init__(self, context: PoolContext) -> None:
        self.pools: dict[MachineId, ConnectionPool] = {}
        self._context = context
        self._access = context.access

    def carry_out(self, intent: MachineIntent) -> None:
        """Hand an intent to the pool of its machine."""
        if isinstance(intent, ForgetMachine):
            self._forget(intent.machine)
            return
        pool = self._pool(intent.machine)
        if pool is None:
            self._on_unlisted(intent)
            return
        match intent:
            case Offer() | SendHealthCheck():
                pool.send(intent)
            case AbandonAttempt():
                pool.abandon(intent)
            case SendToMachine():
                pool.send_line(intent.data)
            case KeepConnected():
                pool.keep_connected()

    def _on_unlisted(self, intent: MachineIntent) -> None:
        """Close an attempt whose machine left the list before its turn came: nobody else would."""
        if isinstance(intent, Offer):
            now = self._access.now()
            self._access.core.on_attempt_failed(now, intent.key, AttemptOutcome.NOT_SENT)

    def _forget(self, machine_id: MachineId) -> None:
        pool = self.pools.pop(machine_id, None)
        if pool is not None:
            pool.close()

    def _pool(self, machine_id: MachineId) -> ConnectionPool | None:
        """Return the machine's pool, which is made where there is none for its address yet."""
        machine = self._access.core.endpoints.machines.get(machine_id)
        if machine is None:
            return None
        pool = self.pools.get(machine_id)
        if pool is not None and pool.address == machine.address:
            return pool
        if pool is not None:
            pool.close()
        pool = ConnectionPool(machine_id, machine.address, self._context)
        self.pools[machine_id] = pool
        return pool

    def sweep(self) -> None:
        """Close connections that have been idle for long; serve pools that wait for a descriptor."""
        for pool in list(self.pools.values()):
            pool.sweep()
        self._context.budget.serve_waiting()  # a client may have left

    async def close(self) -> None:
        """Break all connections, and wait until no task of a pool runs any more."""
        for pool in list(self.pools.values()):
            pool.close()
        await self._context.tasks.wait()
