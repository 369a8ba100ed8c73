"""The matrix of links compared to Vivaldi coordinates (Dabek et al., SIGCOMM 2004)."""

from __future__ import annotations

import itertools
import math
import random
import statistics
from collections.abc import Callable

DIMENSIONS = 3  # and a height
ADJUSTMENT_GAIN, ERROR_GAIN = 0.25, 0.25  # c_c and c_e of the paper
# of a zone's coordinate with its error, and of a link's report
COORDINATE_BYTES, LINK_BYTES = 4 * (DIMENSIONS + 2), 8
NOISE = 0.1  # of a round trip


class Coordinate:
    """A zone's coordinate.

    Attributes:
        position: In seconds.
        height: In seconds, added to each distance.
        error: Estimated relative error.
    """

    def __init__(self, rng: random.Random) -> None:
        """Initialize a coordinate near the origin."""
        self.position = [rng.uniform(-0.001, 0.001) for _ in range(DIMENSIONS)]
        self.height, self.error = 0.001, 1.0

    def distance(self, other: Coordinate) -> float:
        """Return the predicted round trip in seconds."""
        return math.dist(self.position, other.position) + self.height + other.height

    def update(self, other: Coordinate, seconds: float, rng: random.Random) -> None:
        """Adjust the coordinate to one measured round trip."""
        predicted = self.distance(other)
        weight = self.error / (self.error + other.error)
        relative_error = abs(predicted - seconds) / seconds
        self.error = min(1.0, relative_error * ERROR_GAIN * weight + self.error * (1 - ERROR_GAIN * weight))
        force = ADJUSTMENT_GAIN * weight * (seconds - predicted)
        direction = [a - b for a, b in zip(self.position, other.position, strict=True)]
        length = math.hypot(*direction)
        if length < 1e-9:
            direction = [rng.gauss(0.0, 1.0) for _ in direction]
            length = math.hypot(*direction)
        unit = predicted if predicted > 0 else 1.0
        self.position = [
            a + force * d / length * (length / unit) for a, d in zip(self.position, direction, strict=True)
        ]
        self.height = max(0.00005, self.height + force * (self.height + other.height) / unit)


def relative_errors(coordinates: list[Coordinate], true: list[list[float]]) -> list[float]:
    """Return the relative error of each predicted round trip."""
    pairs = itertools.combinations(range(len(coordinates)), 2)
    return [abs(coordinates[a].distance(coordinates[b]) - true[a][b]) / true[a][b] for a, b in pairs]


def space(
    sizes: list[int],
    row: Callable[..., None],
    matrix: Callable[[int, random.Random, float], list[list[float]]],
) -> None:
    """Print the error after 200 round trips a link, the bytes, and the effect of a slower link.

    Args:
        sizes: Numbers of zones.
        row: Prints one row.
        matrix: Returns round trips for a number of zones and a fraction of links with detours.
    """
    row(
        "halls", "links with detours", "way", "median error", "95% error", "bytes",
        "x10 link: predicted / true after 5 s", "after 60 s", "others off by > 50%, of 100",
    )  # fmt: skip
    for zones, detours in itertools.product(sizes, (0.0, 0.2)):
        rng = random.Random(f"{zones} {detours}")
        true = matrix(zones, rng, detours)
        coordinates = [Coordinate(rng) for _ in range(zones)]
        pairs = list(itertools.permutations(range(zones), 2))

        def measure(rounds: int, true: list[list[float]], coordinates: list[Coordinate],
                    pairs: list[tuple[int, int]], rng: random.Random) -> None:  # fmt: skip
            for _ in range(rounds):
                for a, b in rng.sample(pairs, len(pairs)):
                    coordinates[a].update(coordinates[b], true[a][b] * rng.lognormvariate(0.0, NOISE), rng)

        measure(200, true, coordinates, pairs, rng)
        errors = sorted(relative_errors(coordinates, true))
        direct_errors = sorted(
            abs(statistics.median(rng.lognormvariate(0.0, NOISE) for _ in range(20)) - 1) for _ in errors
        )
        true[0][1] = true[1][0] = 10 * true[0][1]
        ratios = []
        for rounds in (10, 110):  # two round trips a second of each link
            measure(rounds, true, coordinates, pairs, rng)
            ratios.append(coordinates[0].distance(coordinates[1]) / true[0][1])
        percent_distorted = (
            sum(error > 0.5 for error in relative_errors(coordinates, true)) / len(errors) * 100
        )
        p95_index = int(0.95 * (len(errors) - 1))
        row(
            zones,
            detours,
            "matrix",
            statistics.median(direct_errors),
            direct_errors[p95_index],
            LINK_BYTES * zones * (zones - 1),
            "-",
            "-",
            "-",
        )
        row(
            zones,
            detours,
            "Vivaldi",
            statistics.median(errors),
            errors[p95_index],
            COORDINATE_BYTES * zones,
            *ratios,
            percent_distorted,
        )
