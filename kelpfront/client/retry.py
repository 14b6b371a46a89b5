"""When and where a client tries again. Pure: times are handed in, randomness comes from a seeded generator.

Both client libraries ask here after each attempt, so that they cannot differ. What makes clients of an
overloaded service harm it is excluded by construction: there is no attempt after the deadline, none after an
error that another attempt cannot mend, there are no more retries than a share of first attempts, and clients
do not return all at one instant.

Sources: full jitter from "Exponential Backoff and Jitter" (AWS Architecture Blog, 2015); retry budgets from
"Site Reliability Engineering", chapter 22, and gRPC's retry throttling (gRFC A6); outlier ejection as Envoy
describes it.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

INITIAL_BACKOFF_MS = 200.0  # the longest backoff before the first retry; it doubles with each
MAX_BACKOFF_MS = 5_000.0
RETRY_SHARE = 0.1  # of first attempts that may be retries, in the long run
RETRY_BURST = 3.0  # retries that may come at once, for a client that has done nothing for long
MIN_REMAINING_MS = 50.0  # of the deadline, for another attempt to be worth it
EJECT_AFTER_FAILURES = 3  # consecutive ones of one address
EJECTION_MS = 1_000.0  # the first time; it doubles with each consecutive ejection
MAX_EJECTION_MS = 30_000.0
MAX_EJECTED_SHARE = 0.5  # of all addresses
RESTART_ATTEMPTS = 2  # to reconnect, before the placer is taken to be away for longer than a restart
MAX_RECONNECT_SPREADS = 4.0  # the longest interval of reconnects, as a multiple of the spread
RETRYABLE_CODES = frozenset({429, 503, 504})  # the server says that nothing was done, and to come back later
RESUMABLE_STREAM_CODES = RETRYABLE_CODES | {500}  # with which a server may end a stream that can be resumed
RECONNECT_SPREAD_MS = 5_000.0  # the interval over which clients of a placer that restarted come back


class OutcomeKind(Enum):
    """How an attempt ended. The values are sent to the placer with the next attempt."""

    REFUSED = "refused"  # the server says that nothing was done, and to come back later
    NOT_SENT = "not-sent"  # there was no connection: nothing was done
    CUT = "cut"  # the request may have arrived
    FINAL = "final"  # the server's answer, which another attempt cannot change


@dataclass(frozen=True, slots=True)
class Outcome:
    """How an attempt ended, and how long the server asks to stay away."""

    kind: OutcomeKind
    retry_after_ms: float = 0.0


def outcome_of_error(code: int, retry_after_s: float) -> Outcome:
    """Return the outcome of an attempt that the server answered with an error."""
    if code in RETRYABLE_CODES:
        return Outcome(OutcomeKind.REFUSED, retry_after_s * 1000.0)
    return Outcome(OutcomeKind.FINAL)


def outcome_without_answer(*, may_have_arrived: bool) -> Outcome:
    """Return the outcome of an attempt that nobody answered."""
    return Outcome(OutcomeKind.CUT if may_have_arrived else OutcomeKind.NOT_SENT)


@dataclass(frozen=True, slots=True)
class Attempt:
    """Make an attempt at a time, at an address.

    `previous` says how the attempt before ended; it is empty for the first. With `check_first`, see whether
    an earlier one has arrived before the request is sent again.
    """

    at: float
    address: int
    number: int
    previous: str
    check_first: bool


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Make no more attempts. `outcome_unknown`: it is not known whether an earlier one arrived."""

    reason: str
    outcome_unknown: bool


@dataclass(slots=True)
class Call:
    """One request over its attempts.

    Attributes:
        deadline: When the call ends, in milliseconds of the client's clock.
        idempotent: Whether making the request twice, also at another address, does no harm.
        address: Where the last attempt went.
        attempt: The number of the last attempt, from 0.
        outcome_unknown: An attempt of a call that is not idempotent may have arrived, and may still be
            carried out, whatever a check has shown. The call stays with its address, and ends as unknown
            unless an answer settles it.
        pinned: The object of the call is known to one address only.
    """

    deadline: float
    idempotent: bool
    address: int | None = None
    attempt: int = 0
    outcome_unknown: bool = False
    pinned: bool = False


class RetryBudget:
    """A token bucket that first attempts fill: retries stay a share of them, but for a burst."""

    def __init__(self, share: float = RETRY_SHARE, burst: float = RETRY_BURST) -> None:
        self._share = share
        self._burst = burst
        self._tokens = burst

    @property
    def tokens(self) -> float:
        """How many retries may be made now."""
        return self._tokens

    def record_first_attempt(self) -> None:
        """Add a first attempt's share of a retry."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def try_retry(self) -> bool:
        """Take a retry from the budget; False where there is none."""
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
    """Which of several placers to ask: round robin, without those that failed repeatedly of late."""

    def __init__(self, count: int, rng: random.Random) -> None:
        if count < 1:
            raise ValueError("at least one address is needed")
        self._addresses = [_Address() for _ in range(count)]
        self._rng = rng
        self._next = rng.randrange(count)  # clients that start together must not all begin with the first

    def __len__(self) -> int:
        return len(self._addresses)

    def ejected(self, now: float) -> list[int]:
        """Return the addresses that are avoided at present."""
        return [number for number, address in enumerate(self._addresses) if address.ejected_until > now]

    def choose(self, now: float, excluding: int | None = None) -> int:
        """Return the next address that is not ejected, and another than `excluding` where there is one."""
        count = len(self._addresses)
        others = [(self._next + offset) % count for offset in range(count)]
        if count > 1:
            others = [number for number in others if number != excluding]
        available = [number for number in others if self._addresses[number].ejected_until <= now]
        chosen = available[0] if available else others[0]
        self._next = (chosen + 1) % count
        return chosen

    def record_success(self, address: int) -> None:
        """Forget the failures of an address."""
        self._addresses[address] = _Address()

    def record_failure(self, now: float, address: int) -> None:
        """Count that an address was unreachable or cut a call, and eject it after some.

        Refusals are no failures, because an address that refuses is alive.
        """
        state = self._addresses[address]
        state.consecutive_failures += 1
        if state.consecutive_failures < EJECT_AFTER_FAILURES or state.ejected_until > now:
            return
        if len(self.ejected(now)) + 1 > MAX_EJECTED_SHARE * len(self._addresses):
            return  # where most of them fail, none is an outlier
        ejection_ms = min(MAX_EJECTION_MS, EJECTION_MS * 2.0**state.consecutive_ejections)
        state.ejected_until = now + ejection_ms * (0.5 + self._rng.random() / 2)
        state.consecutive_ejections += 1


@dataclass(slots=True)
class AttemptCounts:
    """Attempts made: `retries` over `first` is what this client adds to the load."""

    first: int = 0
    retries: int = 0
    late: int = 0  # attempts begun after their deadline, of which there must be none
    given_up: dict[str, int] = field(default_factory=dict)


class RetryPolicy:
    """The retries of one client, over all its calls.

    Times are milliseconds of one clock that does not step.
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
            return self._give_up(call, "its deadline is over")
        self.budget.record_first_attempt()
        self.counts.first += 1
        if call.address is None:
            call.address = self.addresses.choose(now)
        return Attempt(now, call.address, number=0, previous="", check_first=False)

    def next_attempt(self, now: float, call: Call, outcome: Outcome) -> Attempt | GiveUp:
        """Return what follows an attempt that failed."""
        assert call.address is not None
        self._record_outcome(now, call, outcome)
        if outcome.kind is OutcomeKind.FINAL:
            return self._give_up(call, "the answer is final")
        at = now + self._backoff_ms(call.attempt, outcome.retry_after_ms)
        if at + MIN_REMAINING_MS > call.deadline:
            return self._give_up(call, "its deadline comes first")
        if not self.budget.try_retry():
            return self._give_up(call, "the retry budget is used up")
        self.counts.retries += 1
        call.attempt += 1
        if not (call.outcome_unknown or call.pinned):
            # A request that may have arrived is known to that placer alone; only others may go elsewhere.
            call.address = self.addresses.choose(now, call.address)
        return Attempt(
            at,
            call.address,
            number=call.attempt,
            previous=outcome.kind.value,
            check_first=call.outcome_unknown,
        )

    def _record_outcome(self, now: float, call: Call, outcome: Outcome) -> None:
        assert call.address is not None
        if outcome.kind in (OutcomeKind.NOT_SENT, OutcomeKind.CUT):
            self.addresses.record_failure(now, call.address)
        else:
            self.addresses.record_success(call.address)
        if outcome.kind is OutcomeKind.FINAL:
            call.outcome_unknown = False  # the request itself is not acceptable, in whichever attempt
        elif outcome.kind is OutcomeKind.CUT and not call.idempotent:
            call.outcome_unknown = True

    def record_success(self, call: Call) -> None:
        """Record that the last attempt of a call succeeded."""
        assert call.address is not None
        self.addresses.record_success(call.address)

    def stream_backoff_ms(self, failures: int, code: int, retry_after_s: float = 0.0) -> float | None:
        """Return how long to stay away after the server ended a stream; None where coming back is no use."""
        if code not in RESUMABLE_STREAM_CODES:
            return None
        return retry_after_s * 1000.0 + self.reconnect_backoff_ms(failures)

    def reconnect_backoff_ms(self, failures: int) -> float:
        """Return how long to stay away from a placer whose stream broke, after `failures` reconnects failed.

        It is uniform over the spread from the first on, so that clients which were cut at one instant come
        back over it. It grows only when the placer stays away for longer than a restart takes.
        """
        beyond_restart = max(0, failures - RESTART_ATTEMPTS)
        return self.rng.uniform(0.0, self.spread_ms * min(MAX_RECONNECT_SPREADS, 2.0**beyond_restart))

    def _backoff_ms(self, attempt: int, retry_after_ms: float) -> float:
        jitter_ms = self.rng.uniform(0.0, min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2.0**attempt))
        if not retry_after_ms:
            return jitter_ms
        # What the server asks for is the minimum; clients that it told the same must not return together.
        return retry_after_ms * (1.0 + 0.5 * self.rng.random()) + jitter_ms

    def _give_up(self, call: Call, reason: str) -> GiveUp:
        self.counts.given_up[reason] = self.counts.given_up.get(reason, 0) + 1
        return GiveUp(reason, call.outcome_unknown)


def worst_window_share(times: Sequence[float], interval_ms: float, window_ms: float) -> float:
    """Return the fullest window of an interval, as a multiple of its even share; 0 for no times."""
    if not times:
        return 0.0
    ordered = sorted(times)
    fullest = 0
    first = 0
    for last, time_ms in enumerate(ordered):
        while ordered[first] <= time_ms - window_ms:
            first += 1
        fullest = max(fullest, last - first + 1)
    return fullest / (len(ordered) * window_ms / interval_ms)
