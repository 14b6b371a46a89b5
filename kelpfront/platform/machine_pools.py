"""The connection pools of all machines: created at the first send to a machine, closed when it is forgotten.

`connection_pool` handles the traffic on the connections.
"""

from __future__ import annotations

from kelpfront.platform.connection_pool import ConnectionPool, PoolContext
from kelpfront.platform.intents import (
    AbandonAttempt,
    ForgetMachine,
    KeepConnected,
    MachineIntent,
    Offer,
    RecoverReports,
    SendHealthCheck,
    SendToMachine,
)
from kelpfront.scheduling.events import AttemptOutcome, MachineId


class MachinePools:
    """One pool per machine, keyed by machine id, since an address may be reused by another machine.

    Attributes:
        pools: the open pools.
    """

    def __init__(self, context: PoolContext) -> None:
        self.pools: dict[MachineId, ConnectionPool] = {}
        self._context = context
        self._access = context.access

    def carry_out(self, intent: MachineIntent) -> None:
        """Pass an intent to the pool of its machine."""
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
            case RecoverReports():
                pool.recover_reports()

    def _on_unlisted(self, intent: MachineIntent) -> None:
        """Report an offer as not sent whose machine was removed from the list in the meantime.

        Otherwise nothing would end the attempt.
        """
        if isinstance(intent, Offer):
            now = self._access.now()
            self._access.core.on_attempt_failed(now, intent.key, AttemptOutcome.NOT_SENT)

    def _forget(self, machine_id: MachineId) -> None:
        pool = self.pools.pop(machine_id, None)
        if pool is not None:
            pool.close()

    def _pool(self, machine_id: MachineId) -> ConnectionPool | None:
        """Return the pool for the machine's present address, created on demand; None if it is unlisted."""
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
        """Close connections that have been idle for too long; serve pools that wait for a descriptor."""
        for pool in list(self.pools.values()):
            pool.sweep()
        self._context.budget.serve_waiting()  # a disconnected client may have released one

    async def close(self) -> None:
        """Abort all connections, and wait until all tasks of the pools have ended."""
        for pool in list(self.pools.values()):
            pool.close()
        await self._context.tasks.wait()
