"""The endpoint list: subscribing to it, retrying failed polls, and applying its updates.

It synchronizes `fleet` with the list. For a machine that is new, has returned or was restarted, it calls the
methods of other components that reset their state of that machine.
"""

from __future__ import annotations

import math
from dataclasses import replace

from kelpfront.scheduling.actions import SetTimer, Subscribe
from kelpfront.scheduling.attempts import AttemptTable
from kelpfront.scheduling.context import SchedulingContext
from kelpfront.scheduling.events import Endpoint, EndpointList, EndpointListKind, MachineState
from kelpfront.scheduling.fleet import Fleet
from kelpfront.scheduling.guardrails import Guardrails
from kelpfront.scheduling.model import VIEW_LAG_MS, Machine
from kelpfront.scheduling.slow_start import SlowStart
from kelpfront.scheduling.timer_tokens import TimerKind, encode_token

BASE_BACKOFF_DIVISOR = 16
"""The base of the backoff is its maximum divided by this; each failed poll, even the first, doubles it."""


class EndpointUpdates:
    """Applies the endpoint list to the fleet, and requests the list in deployments that require a request."""

    def __init__(
        self,
        context: SchedulingContext,
        fleet: Fleet,
        guardrails: Guardrails,
        slow_start: SlowStart,
        attempts: AttemptTable,
    ) -> None:
        self._context = context
        self._fleet = fleet
        self._guardrails = guardrails
        self._slow_start = slow_start
        self._attempts = attempts
        self._is_subscribing = False
        self._failed_polls = 0

    def subscribe(self) -> None:
        """Request the endpoint list."""
        self._is_subscribing = True
        self._context.emit(Subscribe(on=True))

    def on_poll_failed(self) -> None:
        """Schedule the next request, with exponential backoff and jitter, well within the poll deadline."""
        settings = self._context.settings
        self._is_subscribing = False
        self._failed_polls += 1
        max_backoff_ms = settings.endpoint_poll_within_ms / 2 or VIEW_LAG_MS
        backoff_ms = min(max_backoff_ms, max_backoff_ms / BASE_BACKOFF_DIVISOR * 2**self._failed_polls)
        jitter = 0.5 + self._context.random.random() / 2
        poll_at = self._context.now + backoff_ms * jitter
        self._context.emit(SetTimer(poll_at, encode_token(TimerKind.POLL_ENDPOINT_LIST)))

    def on_poll_timer(self) -> None:
        """Request the list again, unless it has arrived in the meantime."""
        if self._failed_polls and not self._is_subscribing:
            self.subscribe()

    def on_received(self, event: EndpointList) -> None:
        """Apply an update of the endpoint list."""
        if event.kind is not EndpointListKind.CACHED:
            self._is_subscribing = False
            self._failed_polls = 0
        for endpoint in event.endpoints:
            self._apply(endpoint)
        if event.kind is not EndpointListKind.CHANGES:
            self._mark_missing_removed(event)
        machines = self._fleet.machines.values()
        removed = [m for m in machines if m.endpoint.state is MachineState.REMOVED and not m.open_attempts]
        self._fleet.remove(removed)

    def _mark_missing_removed(self, event: EndpointList) -> None:
        """Mark machines as removed that are missing from a complete list."""
        listed_ids = {endpoint.id for endpoint in event.endpoints}
        missing = [
            m
            for m in self._fleet.machines.values()
            if m.id not in listed_ids and m.endpoint.state is not MachineState.REMOVED
        ]
        for machine in missing:
            machine.apply_endpoint(replace(machine.endpoint, state=MachineState.REMOVED))
        if missing:
            self._fleet.update_ready()

    def _apply(self, endpoint: Endpoint) -> None:
        """Apply one entry; an entry with an unknown kind or non-finite values is ignored."""
        is_known_kind = 0 <= endpoint.kind < len(self._context.settings.kind_cores)
        is_finite = math.isfinite(endpoint.free_cores) and math.isfinite(endpoint.free_memory)
        if not (is_known_kind and is_finite):
            return
        machine = self._fleet.get(endpoint.id)
        if machine is None:
            machine = self._add(endpoint)
        else:
            self._update(machine, endpoint)
        self._slow_start.start_warming(machine, endpoint.started_at)
        if self._context.settings.endpoint_list_reports_free and self._is_empty(machine):
            self._guardrails.reset_counters(machine)

    def _add(self, endpoint: Endpoint) -> Machine:
        settings = self._context.settings
        cores, memory = settings.kind_cores[endpoint.kind], settings.kind_memory[endpoint.kind]
        machine = Machine(endpoint.id, endpoint, cores, memory)
        self._slow_start.withhold_current_slot(machine)
        machine.apply_endpoint(endpoint)
        self._fleet.add(machine)
        self._attempts.assign_unlisted(machine)
        self._guardrails.reset_counters(machine)
        return machine

    def _update(self, machine: Machine, endpoint: Endpoint) -> None:
        was_ready = machine.is_ready
        is_restarted = endpoint.started_at > machine.endpoint.started_at
        has_returned = endpoint.state is MachineState.READY and not was_ready
        if is_restarted or has_returned:
            self._guardrails.reset_counters(machine)
        if is_restarted:
            machine.reset_incarnation()
        machine.apply_endpoint(endpoint)
        if machine.is_ready != was_ready:
            self._fleet.update_ready()

    def _is_empty(self, machine: Machine) -> bool:
        """Return whether the machine is listed as empty, has no open attempt and got no offer just now."""
        is_listed_empty = machine.endpoint.free_cores >= machine.cores
        return is_listed_empty and not machine.open_attempts and self._context.now > machine.last_offer_at
