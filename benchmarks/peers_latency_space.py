"""The direct matrix beside coordinates (Vivaldi with heights, Dabek, Cox, Kaashoek, Morris, SIGCOMM 2004)."""

from __future__ import annotations

import itertools
import math
import random
import statistics
from collections.abc import Callable

DIMENSIONS = 3  # and a height
GAIN, TRUST = 0.25, 0.25  # c_c and c_e of the paper
COORDINATE, LINK = 4 * (DIMENSIONS + 2), 8  # bytes of a hall's coordinate with its error, of a link's word
NOISE = 0.1


class Place:
    """A hall's coordinate."""

    def __init__(self, draws: random.Random) -> None:
        self.at = [draws.uniform(-0.001, 0.001) for _ in range(DIMENSIONS)]
        self.height, self.error = 0.001, 1.0

    def far(self, other: Place) -> float:
        return math.dist(self.at, other.at) + self.height + other.height

    def pull(self, other: Place, seconds: float, draws: random.Random) -> None:
        """One measured round trip to the other."""
        told = self.far(other)
        weight = self.error / (self.error + other.error)
        off = abs(told - seconds) / seconds
        self.error = min(1.0, off * TRUST * weight + self.error * (1 - TRUST * weight))
        force = GAIN * weight * (seconds - told)
        away = [a - b for a, b in zip(self.at, other.at, strict=True)]
        length = math.hypot(*away)
        if length < 1e-9:
            away = [draws.gauss(0.0, 1.0) for _ in away]
            length = math.hypot(*away)
        unit = told if told > 0 else 1.0
        self.at = [a + force * d / length * (length / unit) for a, d in zip(self.at, away, strict=True)]
        self.height = max(0.00005, self.height + force * (self.height + other.height) / unit)


def off(places: list[Place], true: list[list[float]]) -> list[float]:
    pairs = itertools.combinations(range(len(places)), 2)
    return [abs(places[a].far(places[b]) - true[a][b]) / true[a][b] for a, b in pairs]


def space(
    sizes: list[int],
    row: Callable[..., None],
    matrix: Callable[[int, random.Random, float], list[list[float]]],
) -> None:
    """Error after 200 round trips a link, bytes of all of it, and what is said of a link 10 times slower."""
    row(
        "halls", "links round about", "way", "median error", "95% error", "bytes",
        "x10 link: told / true after 5 s", "after 60 s", "others off by > 50%, of 100",
    )  # fmt: skip
    for halls, detours in itertools.product(sizes, (0.0, 0.2)):
        draws = random.Random(f"{halls} {detours}")
        true = matrix(halls, draws, detours)
        places = [Place(draws) for _ in range(halls)]
        pairs = list(itertools.permutations(range(halls), 2))

        def measure(rounds: int, true: list[list[float]], places: list[Place], pairs: list[tuple[int, int]],
                    draws: random.Random) -> None:  # fmt: skip
            for _ in range(rounds):
                for a, b in draws.sample(pairs, len(pairs)):
                    places[a].pull(places[b], true[a][b] * draws.lognormvariate(0.0, NOISE), draws)

        measure(200, true, places, pairs, draws)
        errors = sorted(off(places, true))
        direct = sorted(
            abs(statistics.median(draws.lognormvariate(0.0, NOISE) for _ in range(20)) - 1) for _ in errors
        )
        true[0][1] = true[1][0] = 10 * true[0][1]
        told = []
        for rounds in (10, 110):  # two round trips a second of each link
            measure(rounds, true, places, pairs, draws)
            told.append(places[0].far(places[1]) / true[0][1])
        spoilt = sum(error > 0.5 for error in off(places, true)) / len(errors) * 100
        top = int(0.95 * (len(errors) - 1))
        row(
            halls,
            detours,
            "matrix",
            statistics.median(direct),
            direct[top],
            LINK * halls * (halls - 1),
            "-",
            "-",
            "-",
        )
        row(
            halls,
            detours,
            "Vivaldi",
            statistics.median(errors),
            errors[top],
            COORDINATE * halls,
            *told,
            spoilt,
        )
