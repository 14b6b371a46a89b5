"""When and where a client tries again. Pure: the clock is handed in, chance comes from a seeded generator.

Both client libraries ask here after each try, so that they cannot differ. What makes clients of an overloaded
service its worst enemy is left out by construction: no try after its deadline, no try after an error that
trying cannot mend, no more retries than a share of first tries, no return all at one instant.

Sources: full jitter from "Exponential Backoff and Jitter" (AWS Architecture Blog, 2015); retry budgets from
"Site Reliability Engineering", chapter 22, and gRPC's retry throttling (gRFC A6); outlier ejection as Envoy
describes it.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

FIRST_MS = 200.0  # the longest pause before the first retry; it doubles with each
MOST_MS = 5_000.0
SHARE = 0.1  # of first tries that may be retries, in the long run
BURST = 3.0  # retries that may come at once: a client that has done nothing for long
LEAST_LEFT_MS = 50.0  # of the deadline, for another try to be worth it
EJECT_AFTER = 3  # failures in a row of one address
EJECT_MS = 1_000.0  # for the first time; it doubles with each in a row
EJECT_MOST_MS = 30_000.0
EJECT_SHARE = 0.5  # of all addresses that may be avoided at a time
RESTART_TRIES = 2  # to reconnect, before the placer is taken to be away for longer than a restart
REFUSALS = frozenset({429, 503, 504})  # the server's word that nothing was done and that later may do
STREAM_AGAIN = REFUSALS | {500}  # with which a server may end a stream that can be taken up again
SPREAD_MS = 5_000.0  # the interval over which clients of a placer that went away come back


class Kind(Enum):
    """How a try ended."""

    REFUSED = "refused"  # the server's word: nothing was done, come back later
    NOT_SENT = "not-sent"  # no connection: nothing was done
    CUT = "cut"  # it may have arrived
    FINAL = "final"  # the server's word, and trying again cannot mend it


@dataclass(frozen=True, slots=True)
class Outcome:
    kind: Kind
    retry_after_ms: float = 0.0


def told(code: int, retry_after_s: float) -> Outcome:
    """The outcome of a try that the server answered with an error."""
    if code in REFUSALS:
        return Outcome(Kind.REFUSED, retry_after_s * 1000.0)
    return Outcome(Kind.FINAL)


def untold(may_have_arrived: bool) -> Outcome:
    """The outcome of a try that nobody answered."""
    return Outcome(Kind.CUT if may_have_arrived else Kind.NOT_SENT)


@dataclass(frozen=True, slots=True)
class Try:
    """Make a try at a time, at an address. `look_first`: see whether an earlier one has arrived."""

    at: float
    address: int
    attempt: int
    previous: str  # how the try before ended; empty for the first
    look_first: bool


@dataclass(frozen=True, slots=True)
class GiveUp:
    """No more tries. `unknown`: whether an earlier one arrived was not found out."""

    why: str
    unknown: bool


@dataclass(slots=True)
class Call:
    """One request over its tries. `repeatable`: making it twice, also at another address, does no harm.

    `unknown`: a try of one that is not repeatable may have arrived, and may be carried out yet, whatever a
    look has shown. It stays with its address for good, and ends as unknown unless an answer settles it.
    """

    deadline: float
    repeatable: bool
    address: int | None = None  # where the last try went
    attempt: int = 0
    unknown: bool = False
    pinned: bool = False  # its object is known to one address only


class Budget:
    """A token bucket filled by first tries: retries stay a share of them, but for a burst."""

    def __init__(self, share: float = SHARE, burst: float = BURST) -> None:
        self._share, self._burst = share, burst
        self._tokens = burst

    @property
    def tokens(self) -> float:
        return self._tokens

    def first(self) -> None:
        self._tokens = min(self._burst, self._tokens + self._share)

    def take(self) -> bool:
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


@dataclass(slots=True)
class _Address:
    failures: int = 0  # in a row
    ejections: int = 0  # in a row
    until: float = 0.0  # avoided till then


class Addresses:
    """Which of several placers to ask: by turns, without those that failed again and again of late."""

    def __init__(self, count: int, rng: random.Random) -> None:
        if count < 1:
            raise ValueError("at least one address is needed")
        self._all = [_Address() for _ in range(count)]
        self._rng = rng
        self._next = rng.randrange(count)  # clients that start together must not all begin with the first

    def __len__(self) -> int:
        return len(self._all)

    def avoided(self, now: float) -> list[int]:
        return [n for n, address in enumerate(self._all) if address.until > now]

    def choose(self, now: float, but: int | None = None) -> int:
        """The next in turn that is not avoided, and another than `but` where there is one."""
        count = len(self._all)
        order = [(self._next + n) % count for n in range(count)]
        fit = [n for n in order if self._all[n].until <= now and n != but]
        chosen = fit[0] if fit else next((n for n in order if n != but), order[0])
        self._next = (chosen + 1) % count
        return chosen

    def worked(self, address: int) -> None:
        self._all[address] = _Address()

    def failed(self, now: float, address: int) -> None:
        """It was unreachable, or cut a call. Refusals are no failures: it lives and says so."""
        its = self._all[address]
        its.failures += 1
        if its.failures < EJECT_AFTER or its.until > now:
            return
        if len(self.avoided(now)) + 1 > EJECT_SHARE * len(self._all):
            return  # with most of them failing it is not they that are the outliers
        pause = min(EJECT_MOST_MS, EJECT_MS * 2.0**its.ejections)
        its.until = now + pause * (0.5 + self._rng.random() / 2)
        its.ejections += 1


@dataclass(slots=True)
class Counts:
    """Tries made: `retries` over `first` is what this client adds to the load."""

    first: int = 0
    retries: int = 0
    late: int = 0  # tries begun after their deadline: none, ever
    given_up: dict[str, int] = field(default_factory=dict)


class Discipline:
    """Of one client, over all its calls; times are milliseconds of one clock that does not step."""

    def __init__(
        self, addresses: int, rng: random.Random, budget: Budget | None = None, spread_ms: float = SPREAD_MS
    ) -> None:
        self.rng = rng
        self.addresses = Addresses(addresses, rng)
        self.budget = budget or Budget()
        self.spread_ms = spread_ms
        self.counts = Counts()

    def first(self, now: float, call: Call) -> Try | GiveUp:
        """The first try of a call."""
        if call.deadline - now <= 0:
            return self._give_up(call, "its deadline is over")
        self.budget.first()
        self.counts.first += 1
        if call.address is None:
            call.address = self.addresses.choose(now)
        return Try(now, call.address, 0, "", False)

    def after(self, now: float, call: Call, outcome: Outcome) -> Try | GiveUp:
        """What follows a try that did not work."""
        assert call.address is not None
        if outcome.kind in (Kind.NOT_SENT, Kind.CUT):
            self.addresses.failed(now, call.address)
        else:
            self.addresses.worked(call.address)
        if outcome.kind is Kind.FINAL:
            call.unknown = False  # it is the request that cannot be taken, whichever try of it is meant
            return self._give_up(call, "the answer is final")
        if outcome.kind is Kind.CUT and not call.repeatable:
            call.unknown = True
        at = now + self._pause(call.attempt, outcome.retry_after_ms)
        if at + LEAST_LEFT_MS > call.deadline:
            return self._give_up(call, "its deadline comes first")
        if not self.budget.take():
            return self._give_up(call, "the retry budget is used up")
        self.counts.retries += 1
        call.attempt += 1
        if not (call.unknown or call.pinned):
            # Whatever may have arrived is known to that placer alone; only what did not may go elsewhere.
            call.address = self.addresses.choose(now, call.address)
        return Try(at, call.address, call.attempt, outcome.kind.value, call.unknown)

    def worked(self, call: Call) -> None:
        assert call.address is not None
        self.addresses.worked(call.address)

    def stream_pause_ms(self, failures: int, code: int, retry_after_s: float = 0.0) -> float | None:
        """How long to stay away after the server ended a stream; None where to come again is no use."""
        if code not in STREAM_AGAIN:
            return None
        return retry_after_s * 1000.0 + self.reconnect_ms(failures)

    def reconnect_ms(self, failures: int) -> float:
        """How long to stay away from a placer whose stream broke, `failures` tries to reconnect ago.

        Evenly over the spread from the first on: those that were cut at one instant come back over it. It
        grows only when the placer stays away for longer than a restart takes.
        """
        longer = max(0, failures - RESTART_TRIES)
        return self.rng.uniform(0.0, self.spread_ms * min(4.0, 2.0**longer))

    def _pause(self, attempt: int, retry_after_ms: float) -> float:
        jittered = self.rng.uniform(0.0, min(MOST_MS, FIRST_MS * 2.0**attempt))
        # What the server asks for is the least; those that it told the same must not come as one.
        return retry_after_ms * (1.0 + 0.5 * self.rng.random()) + jittered if retry_after_ms else jittered

    def _give_up(self, call: Call, why: str) -> GiveUp:
        self.counts.given_up[why] = self.counts.given_up.get(why, 0) + 1
        return GiveUp(why, call.unknown)


def even_share_worst(times: Sequence[float], interval_ms: float, window_ms: float) -> float:
    """The fullest window of an interval, as a multiple of its even share; 0 for no times."""
    if not times:
        return 0.0
    ordered = sorted(times)
    most, first = 0, 0
    for last, t in enumerate(ordered):
        while ordered[first] <= t - window_ms:
            first += 1
        most = max(most, last - first + 1)
    return most / (len(ordered) * window_ms / interval_ms)
