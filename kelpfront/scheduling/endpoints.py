"""The endpoint list: subscribing to it, polls that failed, and what its updates say of machines.

It keeps `fleet` in step with the list. What other parts keep of a machine that is new, back or restarted is
reset here by their own methods.
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

FIRST_BACKOFF_DIVISOR = 16
"""The backoff before the first is the longest one divided by this; each failed poll doubles it."""


class EndpointUpdates:
    """Applies the endpoint list to the fleet, and asks for the list where it has to be asked for."""

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
        """Ask for the endpoint list."""
        self._is_subscribing = True
        self._context.emit(Subscribe(on=True))

    def on_poll_failed(self) -> None:
        """Ask anew after a backoff that doubles, with randomness in it, well inside the time to poll."""
        settings = self._context.settings
        self._is_subscribing = False
        self._failed_polls += 1
        max_backoff_ms = settings.endpoint_poll_within_ms / 2 or VIEW_LAG_MS
        backoff_ms = min(max_backoff_ms, max_backoff_ms / FIRST_BACKOFF_DIVISOR * 2**self._failed_polls)
        jitter = 0.5 + self._context.random.random() / 2
        poll_at = self._context.now + backoff_ms * jitter
        self._context.emit(SetTimer(poll_at, encode_token(TimerKind.POLL_ENDPOINT_LIST)))

    def on_poll_timer(self) -> None:
        """Ask anew, unless the list has come in the meantime."""
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
        """Mark as removed the machines that a whole list does not name."""
        named = {endpoint.id for endpoint in event.endpoints}
        missing = [
            m
            for m in self._fleet.machines.values()
            if m.id not in named and m.endpoint.state is not MachineState.REMOVED
        ]
        for machine in missing:
            machine.apply_endpoint(replace(machine.endpoint, state=MachineState.REMOVED))
        if missing:
            self._fleet.update_ready()

    def _apply(self, endpoint: Endpoint) -> None:
        """Apply one entry; an entry that makes no sense changes nothing."""
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
        self._slow_start.withhold_present_slot(machine)
        machine.apply_endpoint(endpoint)
        self._fleet.add(machine)
        self._attempts.assign_unlisted(machine)
        self._guardrails.reset_counters(machine)
        return machine

    def _update(self, machine: Machine, endpoint: Endpoint) -> None:
        was_ready = machine.is_ready
        is_restarted = endpoint.started_at > machine.endpoint.started_at
        is_back = endpoint.state is MachineState.READY and not was_ready
        if is_restarted or is_back:
            self._guardrails.reset_counters(machine)
        if is_restarted:
            machine.reset_incarnation()
        machine.apply_endpoint(endpoint)
        if machine.is_ready != was_ready:
            self._fleet.update_ready()

    def _is_empty(self, machine: Machine) -> bool:
        """Return whether a list newer than the last offer shows the machine empty, without own attempts."""
        is_listed_empty = machine.endpoint.free_cores >= machine.cores
        return is_listed_empty and not machine.open_attempts and self._context.now > machine.last_offer_at
