"""The retry policy of the clients: whether, when and at which address a call is retried.

No I/O: callers pass the time and a seeded random generator. Both client libraries use this policy. To avoid
overloading a service further, it makes no attempt after the deadline and none after an error that a retry
cannot resolve, limits retries to a share of first attempts, and spreads the reconnects of clients over time.

Sources: full jitter from "Exponential Backoff and Jitter" (AWS Architecture Blog, 2015); retry budgets from
"Site Reliability Engineering", chapter 22, and gRPC's retry throttling (gRFC A6); outlier ejection as Envoy
describes it.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

INITIAL_BACKOFF_MS = 200.0  # upper bound of the first backoff; it doubles with each retry
MAX_BACKOFF_MS = 5_000.0
RETRY_SHARE = 0.1  # long-run ratio of retries to first attempts
RETRY_BURST = 3.0  # retries that a client may make at once after an idle period
MIN_REMAINING_MS = 50.0  # minimum time until the deadline for another attempt
EJECT_AFTER_FAILURES = 3  # consecutive failures of one address
EJECTION_MS = 1_000.0  # of the first ejection; doubles with each consecutive one
MAX_EJECTION_MS = 30_000.0
MAX_EJECTED_SHARE = 0.5  # of all addresses
RESTART_ATTEMPTS = 2  # failed reconnects after which the outage is assumed to be longer than a restart
MAX_RECONNECT_SPREADS = 4.0  # maximum interval of reconnects, as a multiple of the spread
RETRYABLE_CODES = frozenset({429, 503, 504})  # the request was not executed and may be retried later
RESUMABLE_STREAM_CODES = RETRYABLE_CODES | {500}  # HTTP status codes of a stream that can be resumed
RECONNECT_SPREAD_MS = 5_000.0  # interval over which clients reconnect to a restarted placer


class OutcomeKind(Enum):
    """How an attempt ended. The value is sent to the placer with the next attempt."""

    REFUSED = "refused"  # the server did not execute the request and allows a retry
    NOT_SENT = "not-sent"  # there was no connection, so the request was not executed
    NO_RESPONSE = "cut"  # the request may have arrived, but its response did not
    FINAL = "final"  # the server responded, and a retry cannot change the response


@dataclass(frozen=True, slots=True)
class Outcome:
    """How an attempt ended, and the delay that the server requests before a retry."""

    kind: OutcomeKind
    retry_after_ms: float = 0.0


def outcome_of_error(code: int, retry_after_s: float) -> Outcome:
    """Return the outcome of an attempt to which the server responded with an error."""
    if code in RETRYABLE_CODES:
        return Outcome(OutcomeKind.REFUSED, retry_after_s * 1000.0)
    return Outcome(OutcomeKind.FINAL)


def outcome_without_response(*, may_have_arrived: bool) -> Outcome:
    """Return the outcome of an attempt without a response."""
    return Outcome(OutcomeKind.NO_RESPONSE if may_have_arrived else OutcomeKind.NOT_SENT)


@dataclass(frozen=True, slots=True)
class Attempt:
    """A decision to make an attempt at `start_ms`, at an address.

    `previous_outcome` is the outcome of the previous attempt, empty for the first. If `check_first` is set,
    the client checks whether an earlier attempt arrived before it sends the request again.
    """

    start_ms: float
    address: int
    number: int
    previous_outcome: str
    check_first: bool


@dataclass(frozen=True, slots=True)
class GiveUp:
    """A decision to make no more attempts. `outcome_unknown` is set if an earlier one may have arrived."""

    reason: str
    outcome_unknown: bool


@dataclass(slots=True)
class Call:
    """One request and the state of its attempts.

    Attributes:
        deadline: When the call ends, in milliseconds of the client's clock.
        idempotent: Whether it is safe to execute the request twice, also at different addresses.
        address: The address of the last attempt.
        attempt: The number of the last attempt, starting at 0.
        outcome_unknown: Whether an attempt of a call that is not idempotent may have arrived. It may still
            be executed, even if a check did not find its result. Further attempts go to the same address,
            and the call ends with an unknown outcome unless a response determines it.
        pinned: Whether only one address has the object of the call.
    """

    deadline: float
    idempotent: bool
    address: int | None = None
    attempt: int = 0
    outcome_unknown: bool = False
    pinned: bool = False


class RetryBudget:
    """A token bucket, refilled by first attempts, that limits retries to a share of them plus a burst."""

    def __init__(self, share: float = RETRY_SHARE, burst: float = RETRY_BURST) -> None:
        self._share = share
        self._burst = burst
        self._tokens = burst

    @property
    def tokens(self) -> float:
        """The number of retries that may be made now."""
        return self._tokens

    def record_first_attempt(self) -> None:
        """Refill the budget by the share of one first attempt."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def try_retry(self) -> bool:
        """Take a retry from the budget; return False if the budget is exhausted."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


@dataclass(slots=True)
class _Address:
    consecutive_failures: int = 0
    consecutive_ejections: int = 0
    ejected_until: float = 0.0


class AddressSelector:
    """Selects one of several placers: round robin, without those ejected after consecutive failures."""

    def __init__(self, count: int, rng: random.Random) -> None:
        if count < 1:
            raise ValueError("at least one address is required")
        self._addresses = [_Address() for _ in range(count)]
        self._rng = rng
        self._next = rng.randrange(count)  # so that clients started together choose different first addresses

    def __len__(self) -> int:
        return len(self._addresses)

    def ejected(self, now: float) -> list[int]:
        """Return the addresses that are currently ejected."""
        return [number for number, address in enumerate(self._addresses) if address.ejected_until > now]

    def choose(self, now: float, excluding: int | None = None) -> int:
        """Return the next address that is not ejected, other than `excluding` if possible."""
        count = len(self._addresses)
        candidates = [(self._next + offset) % count for offset in range(count)]
        if count > 1:
            candidates = [number for number in candidates if number != excluding]
        available = [number for number in candidates if self._addresses[number].ejected_until <= now]
        chosen = available[0] if available else candidates[0]
        self._next = (chosen + 1) % count
        return chosen

    def record_success(self, address: int) -> None:
        """Reset the failures of an address."""
        self._addresses[address] = _Address()

    def record_failure(self, now: float, address: int) -> None:
        """Count a failure of an address that did not respond, and eject it after several.

        Refusals do not count as failures, because an address that refuses requests is reachable.
        """
        state = self._addresses[address]
        state.consecutive_failures += 1
        if state.consecutive_failures < EJECT_AFTER_FAILURES or state.ejected_until > now:
            return
        if len(self.ejected(now)) + 1 > MAX_EJECTED_SHARE * len(self._addresses):
            return  # if most addresses fail, none of them is an outlier
        ejection_ms = min(MAX_EJECTION_MS, EJECTION_MS * 2.0**state.consecutive_ejections)
        state.ejected_until = now + ejection_ms * (0.5 + self._rng.random() / 2)
        state.consecutive_ejections += 1


@dataclass(slots=True)
class AttemptCounts:
    """Numbers of attempts. `retries` divided by `first` is the load that retries add."""

    first: int = 0
    retries: int = 0
    late: int = 0  # attempts started after their deadline; must stay 0
    given_up: dict[str, int] = field(default_factory=dict)


class RetryPolicy:
    """Decides on the retries of all calls of one client.

    Times are milliseconds of a monotonic clock.
    """

    def __init__(
        self,
        addresses: int,
        rng: random.Random,
        budget: RetryBudget | None = None,
        spread_ms: float = RECONNECT_SPREAD_MS,
    ) -> None:
        self.rng = rng
        self.addresses = AddressSelector(addresses, rng)
        self.budget = budget or RetryBudget()
        self.spread_ms = spread_ms
        self.counts = AttemptCounts()

    def first_attempt(self, now: float, call: Call) -> Attempt | GiveUp:
        """Return the first attempt of a call."""
        if call.deadline - now <= 0:
            return self._give_up(call, "the deadline has expired")
        self.budget.record_first_attempt()
        self.counts.first += 1
        if call.address is None:
            call.address = self.addresses.choose(now)
        return Attempt(now, call.address, number=0, previous_outcome="", check_first=False)

    def next_attempt(self, now: float, call: Call, outcome: Outcome) -> Attempt | GiveUp:
        """Return the next attempt after a failed one, or the decision to give up."""
        assert call.address is not None
        self._record_outcome(now, call, outcome)
        if outcome.kind is OutcomeKind.FINAL:
            return self._give_up(call, "the server's response does not allow a retry")
        start_ms = now + self._backoff_ms(call.attempt, outcome.retry_after_ms)
        if start_ms + MIN_REMAINING_MS > call.deadline:
            return self._give_up(call, "the deadline leaves no time for a retry")
        if not self.budget.try_retry():
            return self._give_up(call, "the retry budget is exhausted")
        self.counts.retries += 1
        call.attempt += 1
        if not (call.outcome_unknown or call.pinned):
            # A request that may have arrived keeps its address: only that placer recognizes a repeated one.
            call.address = self.addresses.choose(now, call.address)
        return Attempt(
            start_ms,
            call.address,
            number=call.attempt,
            previous_outcome=outcome.kind.value,
            check_first=call.outcome_unknown,
        )

    def _record_outcome(self, now: float, call: Call, outcome: Outcome) -> None:
        assert call.address is not None
        if outcome.kind in (OutcomeKind.NOT_SENT, OutcomeKind.NO_RESPONSE):
            self.addresses.record_failure(now, call.address)
        else:
            self.addresses.record_success(call.address)
        if outcome.kind is OutcomeKind.FINAL:
            call.outcome_unknown = False  # the response applies to every attempt of this request
        elif outcome.kind is OutcomeKind.NO_RESPONSE and not call.idempotent:
            call.outcome_unknown = True

    def record_success(self, call: Call) -> None:
        """Record that the last attempt of a call succeeded."""
        assert call.address is not None
        self.addresses.record_success(call.address)

    def stream_backoff_ms(self, failures: int, code: int, retry_after_s: float = 0.0) -> float | None:
        """Return the delay before reopening a stream that the server ended; None if it cannot be resumed."""
        if code not in RESUMABLE_STREAM_CODES:
            return None
        return retry_after_s * 1000.0 + self.reconnect_backoff_ms(failures)

    def reconnect_backoff_ms(self, failures: int) -> float:
        """Return the delay before reconnecting a broken stream, after `failures` failed reconnects.

        Even the first delay is uniformly distributed over the spread, so that clients disconnected at the
        same moment do not reconnect together. The interval grows only if the outage outlasts a restart.
        """
        beyond_restart = max(0, failures - RESTART_ATTEMPTS)
        return self.rng.uniform(0.0, self.spread_ms * min(MAX_RECONNECT_SPREADS, 2.0**beyond_restart))

    def _backoff_ms(self, attempt: int, retry_after_ms: float) -> float:
        jitter_ms = self.rng.uniform(0.0, min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2.0**attempt))
        if not retry_after_ms:
            return jitter_ms
        # The requested delay is a minimum; jitter separates clients that got the same delay from the server.
        return retry_after_ms * (1.0 + 0.5 * self.rng.random()) + jitter_ms

    def _give_up(self, call: Call, reason: str) -> GiveUp:
        self.counts.given_up[reason] = self.counts.given_up.get(reason, 0) + 1
        return GiveUp(reason, call.outcome_unknown)


def worst_window_share(times: Sequence[float], interval_ms: float, window_ms: float) -> float:
    """Return the ratio of the peak rate, over any window, to the mean rate over an interval.

    The result is the largest number of `times` in a window of `window_ms`, divided by the number that an even
    distribution over `interval_ms` would put into it; 0 if `times` is empty.
    """
    if not times:
        return 0.0
    ordered = sorted(times)
    peak_count = 0
    first = 0
    for last, time_ms in enumerate(ordered):
        while ordered[first] <= time_ms - window_ms:
            first += 1
        peak_count = max(peak_count, last - first + 1)
    return peak_count / (len(ordered) * window_ms / interval_ms)
