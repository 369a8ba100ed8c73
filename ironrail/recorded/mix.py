"""What a trace is made of, in bounded memory, and how far two of them differ. Pure."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from ironrail.recorded.entry import Entry

MOST_KEYS = 200_000  # counted one by one; beyond that the rare ones are dropped and said to be
HOT = 20  # keys that are told of
SIZES = tuple(2**n for n in range(6, 23, 2))  # bytes: upper bounds of the classes of size


def size_class(size: int) -> str:
    """The class of a size, named by its upper bound."""
    if size <= 0:
        return "unknown"
    bound = next((bound for bound in SIZES if size <= bound), None)
    return f"up to {bound} B" if bound else "larger"


@dataclass(slots=True)
class Mix:
    """Counts by what matters."""

    entries: int = 0
    first: float = math.inf  # Unix times
    last: float = -math.inf
    kinds: Counter[str] = field(default_factory=Counter)
    titles: Counter[str] = field(default_factory=Counter)
    sizes: Counter[str] = field(default_factory=Counter)
    keys: Counter[str] = field(default_factory=Counter)
    statuses: Counter[int] = field(default_factory=Counter)
    seconds: Counter[int] = field(default_factory=Counter)  # requests in each second from the first
    dropped: int = 0  # requests for keys too rare to be kept count of
    chains: int = 0  # requests with an idempotency key

    def add(self, entry: Entry) -> None:
        if not self.entries:
            self.first = entry.at
        self.entries += 1
        self.last = max(self.last, entry.at)
        self.kinds[entry.kind] += 1
        self.titles[entry.title] += 1
        self.sizes[size_class(entry.size)] += 1
        self.statuses[entry.status] += 1
        self.seconds[int(entry.at - self.first)] += 1
        self.chains += bool(entry.idempotency)
        self.keys[entry.key] += 1
        if len(self.keys) > MOST_KEYS:
            kept = Counter(dict(self.keys.most_common(MOST_KEYS // 2)))
            self.dropped += self.keys.total() - kept.total()
            self.keys = kept

    @property
    def length(self) -> float:
        """Seconds from the first request to the last."""
        return max(0.0, self.last - self.first) if self.entries else 0.0

    @property
    def rate(self) -> float:
        """Requests a second."""
        return self.entries / self.length if self.length > 0 else 0.0

    def burstiness(self) -> float:
        """Variance over mean of the requests a second: 1 where they come by chance alone."""
        seconds = int(self.length) + 1
        mean = self.entries / seconds
        if mean == 0:
            return 0.0
        squares = sum(count * count for count in self.seconds.values())
        return (squares / seconds - mean * mean) / mean


def mix_of(entries: Iterable[Entry]) -> Mix:
    """The mix of all of them."""
    mix = Mix()
    for entry in entries:
        mix.add(entry)
    return mix


@dataclass(slots=True, frozen=True)
class Difference:
    """A share that is not the same in two mixes."""

    what: str  # of which property
    name: str
    before: float  # shares of all requests
    after: float

    @property
    def points(self) -> float:
        """By how much of all requests they differ."""
        return abs(self.after - self.before)


def differences(before: Mix, after: Mix) -> Iterator[Difference]:
    """Each share by class, title and size, and of the hottest keys of either."""
    counted: list[tuple[str, Counter[str], Counter[str]]] = [
        ("class", before.kinds, after.kinds),
        ("title", before.titles, after.titles),
        ("size", before.sizes, after.sizes),
    ]
    for what, one, other in counted:
        for name in sorted(one.keys() | other.keys()):
            yield _difference(what, name, one[name], before.entries, other[name], after.entries)
    hot = {key for mix in (before, after) for key, _ in mix.keys.most_common(HOT)}
    for key in sorted(hot):
        yield _difference("key", key, before.keys[key], before.entries, after.keys[key], after.entries)


def _difference(what: str, name: str, one: int, all_of_one: int, other: int, all_of_other: int) -> Difference:
    return Difference(what, name, one / max(1, all_of_one), other / max(1, all_of_other))


def largest(before: Mix, after: Mix) -> Difference | None:
    """The share that differs most."""
    return max(differences(before, after), key=lambda d: d.points, default=None)
