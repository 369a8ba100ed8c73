"""Order, folding and scaling: rules that hold for whatever comes."""

from __future__ import annotations

from collections import Counter, defaultdict

from hypothesis import given
from hypothesis import strategies as st

from ironrail.recorded.clock import STEP_AFTER, Sorter
from ironrail.recorded.entry import Entry
from ironrail.recorded.folding import Folder
from ironrail.recorded.mix import differences, mix_of
from ironrail.recorded.scaling import SAFE, Chains, squeeze, superpose, thin
from tests.recorded.samples import START, entry

WINDOW = 2.5  # seconds in which a repeat of a key is dropped
times = st.lists(st.floats(0, 300, allow_nan=False), max_size=60)
chained = st.lists(
    st.tuples(st.integers(0, 60_000), st.sampled_from(["", "a", "b", "c"])), min_size=1, max_size=60
).map(
    lambda rows: [
        entry(at / 1000, idempotency=name, key=f"k{n % 7}") for n, (at, name) in enumerate(sorted(rows))
    ]
)


@given(times, st.floats(0, 50))
def test_a_sorter_loses_nothing_and_gives_in_order(rows: list[float], window: float) -> None:
    sorter: Sorter[int] = Sorter(window)
    out = [given_on for n, at in enumerate(rows) for given_on in sorter.add(at, n)]
    out += sorter.rest()
    assert sorted([n for _, n in out] + sorter.late) == list(range(len(rows)))
    assert [at for at, _ in out] == sorted(at for at, _ in out)


def test_lines_out_of_order_within_the_window_are_sorted() -> None:
    sorter: Sorter[str] = Sorter(2.0)
    out = [w for at, w in ((10, "c"), (9, "b"), (8.5, "a"), (13, "d")) for _, w in sorter.add(at, w)]
    assert out == ["a", "b", "c"] and not sorter.late


def test_a_straggler_is_late_and_a_clock_set_back_is_a_step() -> None:
    sorter: Sorter[int] = Sorter(2.0)
    out = [w for n, at in enumerate([100.0, 101, 50, 102, 103]) for w in sorter.add(at, n)]
    assert sorter.late == [2]
    for n in range(2 * STEP_AFTER):  # an hour back, and on from there
        out += sorter.add(104 - 3600 + n * 0.5, 10 + n)
    out += sorter.rest()
    assert len(sorter.late) == 1 and [round(step.back) for step in sorter.steps] == [3599]
    assert [at for at, _ in out] == sorted(at for at, _ in out) and out[-1][0] < 130


def test_a_retry_of_what_failed_is_folded_and_a_new_wish_is_not() -> None:
    folder = Folder(within=5.0)
    first = entry(0, client="c", status=503, took=0.2)
    assert [
        folder.retry(e)
        for e in (
            first,
            entry(1, client="c", status=503),  # its retry, which failed as well
            entry(2, client="c", status=200),  # and the retry of that
            entry(3, client="c", status=200),  # a wish of its own: the one before was served
            entry(3, client="d", status=200),  # somebody else's
            entry(4, client="c", key="other", status=0),
            entry(9.5, client="c", key="other"),  # too late to be a retry
        )
    ] == [False, True, True, False, False, False, False]
    assert not folder.retry(entry(10, status=503)) and not folder.retry(entry(10.1))  # nobody to be told


def gaps(entries: list[Entry]) -> dict[str, list[float]]:
    """Times between the repeats of each idempotency key."""
    chains = defaultdict(list)
    for e in sorted(entries, key=lambda e: e.at):
        if e.idempotency:
            chains[e.idempotency].append(e.at)
    return {name: [round(b - a, 5) for a, b in zip(at, at[1:], strict=False)] for name, at in chains.items()}


def test_a_chain_is_not_forgotten_as_another_one_s_repeat_is_put_off() -> None:
    """Two chains of 3 s each, three times as fast: the second came after 1 s, within the window."""
    rows = [entry(at, idempotency=name, key=name) for at, name in ((0, "a"), (0, "b"), (3, "a"), (3, "b"))]
    assert gaps(list(squeeze(rows, 3.0, WINDOW))) == {"a": [3.0], "b": [3.0]}


@given(chained, st.sampled_from([0.1, 0.5, 1.0, 3.0, 10.0, 100.0]))
def test_repeats_keep_their_side_of_the_window_at_every_speed(rows: list[Entry], speed: float) -> None:
    out = list(squeeze(rows, speed, WINDOW))
    assert [e.at for e in out] == sorted(e.at for e in out)
    assert Counter((e.key, e.idempotency) for e in out) == Counter((e.key, e.idempotency) for e in rows)
    for name, before in gaps(rows).items():
        for was, now in zip(before, gaps(out)[name], strict=True):
            if was <= WINDOW:
                assert abs(now - was) < 1e-4
            else:
                assert now >= min(was, SAFE * WINDOW) - 1e-4
    single = [e for e in rows if not e.idempotency]
    moved = [e for e in out if not e.idempotency]
    for was_entry, now_entry in zip(single, moved, strict=True):
        assert abs((now_entry.at - rows[0].at) - (was_entry.at - rows[0].at) / speed) < 1e-4


def test_ten_times_the_speed_moves_no_repeat_across_the_window() -> None:
    rows = [entry(0, idempotency="x"), entry(2.0, idempotency="x"), entry(10, idempotency="y")]
    rows += [entry(13.0, idempotency="y"), entry(100, idempotency="z"), entry(400, idempotency="z")]
    out = {name: found[0] for name, found in gaps(list(squeeze(rows, 10, WINDOW))).items()}
    assert out == {"x": 2.0, "y": 3.0, "z": 30.0}


def test_a_repeat_that_speed_would_bring_into_the_window_stays_out_of_it() -> None:
    rows = [entry(0, idempotency="x"), entry(8, idempotency="x"), entry(20, idempotency="x")]
    assert gaps(list(squeeze(rows, 10, WINDOW)))["x"] == [3.0, 3.0]
    assert gaps(list(squeeze(rows, 2, WINDOW)))["x"] == [4.0, 6.0]
    assert gaps(list(squeeze(rows, 0.5, WINDOW)))["x"] == [16.0, 24.0]


def test_chains_are_forgotten_once_nothing_holds_them() -> None:
    chains = Chains(WINDOW)
    for n in range(10_000):
        chains.place(f"k{n}", n, n / 10)
    assert len(chains._last) <= 10 * SAFE * WINDOW + 1


@given(chained, st.floats(0.01, 0.99), st.integers(0, 99))
def test_thinning_keeps_or_drops_a_chain_whole(rows: list[Entry], share: float, seed: int) -> None:
    kept = Counter(e.idempotency for e in thin(rows, share, seed) if e.idempotency)
    whole = Counter(e.idempotency for e in rows if e.idempotency)
    assert all(kept[name] in (0, count) for name, count in whole.items())


@given(chained, st.sampled_from([1.0, 1.5, 2.0, 4.0]), st.integers(0, 99))
def test_copies_laid_over_one_another_keep_the_chains(rows: list[Entry], rate: float, seed: int) -> None:
    out = superpose(rows, rate, seed)
    assert [e.at for e in out] == sorted(e.at for e in out)
    assert len(out) == len(rows) * rate if rate == int(rate) else len(rows) <= len(out) <= 2 * len(rows)
    told = gaps(out)
    for name, before in gaps(rows).items():
        for copy in range(1, int(rate)):
            assert sorted(told[f"{name}+{copy}"]) == sorted(before)


def test_scaling_keeps_the_mix() -> None:
    rows = [entry(n / 50, key=f"k{(n * n) % 97}", title="ab"[n % 3 == 0]) for n in range(6000)]
    before = mix_of(rows)
    for out in (squeeze(rows, 10, WINDOW), superpose(rows, 2.5, 1)):
        assert max(d.points for d in differences(before, mix_of(out))) < 0.01
    assert max(d.points for d in differences(before, mix_of(thin(rows, 0.5, 1)))) < 0.02


def test_an_empty_trace_has_no_figures() -> None:
    mix = mix_of([])
    assert (mix.length, mix.rate, mix.burstiness()) == (0.0, 0.0, 0.0) and START > 0
