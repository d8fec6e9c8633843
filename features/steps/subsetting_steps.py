"""Steps for deterministic subsetting."""

import random
from collections import Counter
from typing import Any

from behave import given, then, when

from cinderstair.http_frontend.subsetting import allotment, proxies_using, shuffled, subset, with_replacements

RECORDED_ORDERS = {
    0: "b04 b08 b05 b11 b10 b03 b00 b02 b01 b07 b09 b06",
    1: "b01 b03 b07 b10 b04 b06 b02 b11 b08 b09 b00 b05",
}


def names(*, count: int) -> list[str]:
    return [f"b{number:02}" for number in range(count)]


def subsets(*, context: Any) -> list[tuple[str, ...]]:
    return [
        subset(names=context.names, http_proxy_id=http_proxy_id, subset_size=context.size)
        for http_proxy_id in range(context.http_proxies)
    ]


@given("{backends:d} backends, {http_proxies:d} HTTP proxies and subsets of {size:d}")
def given_sizes(context: Any, backends: int, http_proxies: int, size: int) -> None:
    context.names, context.http_proxies, context.size = names(count=backends), http_proxies, size


@then("every backend is in between {least:d} and {most:d} subsets")
def then_spread(context: Any, least: int, most: int) -> None:
    counts = Counter(name for each in subsets(context=context) for name in each)
    found = [counts[name] for name in context.names]
    assert (min(found), max(found)) == (least, most), (min(found), max(found))


@then("every HTTP proxy's subset holds between {least:d} and {most:d} backends")
def then_sizes(context: Any, least: int, most: int) -> None:
    found = [len(each) for each in subsets(context=context)]
    assert min(found) >= least and max(found) <= most, found


@then("the subsets of HTTP proxies {first:d} to {last:d} contain every backend once")
def then_round(context: Any, first: int, last: int) -> None:
    held = [name for each in subsets(context=context)[first : last + 1] for name in each]
    assert sorted(held) == context.names, held


@then("no two rounds have the same order")
def then_orders(context: Any) -> None:
    orders = {tuple(shuffled(names=context.names, seed=seed)) for seed in range(50)}
    assert len(orders) == 50


@then("the order of 12 backends in rounds 0 and 1 is the recorded one")
def then_recorded(context: Any) -> None:
    for seed, order in RECORDED_ORDERS.items():
        assert " ".join(shuffled(names=names(count=12), seed=seed)) == order, (
            seed,
            " ".join(shuffled(names=names(count=12), seed=seed)),
        )


@then("the reversed list gives the same subsets")
def then_canonical(context: Any) -> None:
    before = subsets(context=context)
    context.names = context.names[::-1]
    assert subsets(context=context) == before


@when("backend {number:d} becomes unfit")
def when_unfit(context: Any, number: int) -> None:
    context.before = subsets(context=context)
    context.lost = context.names[number]
    context.after = [
        with_replacements(
            names=context.names,
            http_proxy_id=http_proxy_id,
            subset_size=context.size,
            unfit=frozenset([context.lost]),
        )
        for http_proxy_id in range(context.http_proxies)
    ]


@then("each subset with that backend gets one replacement and loses no other backend")
def then_one_replacement(context: Any) -> None:
    held = 0
    for before, after in zip(context.before, context.after, strict=True):
        expected = 1 if context.lost in before else 0
        held += expected
        assert len(set(after) - set(before)) == expected
        assert set(before) - set(after) == ({context.lost} if expected else set())
    assert held > 0


@then("the replacements are spread over at least {count:d} backends")
def then_replacements(context: Any, count: int) -> None:
    new = {name for b, a in zip(context.before, context.after, strict=True) for name in set(a) - set(b)}
    assert len(new) >= count, new


@then("every subset is as before once the backend is fit again")
def then_return(context: Any) -> None:
    assert subsets(context=context) == context.before


@then("the ratio of most to least used backend is {ratio:g}, and above {random_ratio:g} with random subsets")
def then_random(context: Any, ratio: float, random_ratio: float) -> None:
    counts = Counter(name for each in subsets(context=context) for name in each)
    assert max(counts.values()) / min(counts.values()) == ratio
    rng = random.Random(20)
    randoms = Counter(name for _ in range(context.http_proxies) for name in rng.sample(context.names, context.size))
    assert max(randoms.values()) / min(randoms.values()) > random_ratio


@then("the allotments of a cap of {cap:d} add up to it and differ by at most 1")
def then_cap(context: Any, cap: int) -> None:
    for name in context.names:
        ids = proxies_using(
            names=context.names, http_proxy_ids=range(context.http_proxies), subset_size=context.size, name=name
        )
        parts = [allotment(cap=cap, user_ids=ids, http_proxy_id=http_proxy_id) for http_proxy_id in ids]
        assert sum(parts) == cap and max(parts) - min(parts) <= 1, parts


@when("an HTTP proxy joins")
def when_joins(context: Any) -> None:
    context.before = subsets(context=context)
    context.http_proxies += 1


@when("an HTTP proxy is lost")
def when_lost(context: Any) -> None:
    context.before = subsets(context=context)[:-1]
    context.http_proxies -= 1


@when("a backend is new")
def when_new(context: Any) -> None:
    context.before = subsets(context=context)
    context.names = [*context.names, "b99"]


@then("at most {sets:d} subset members change")
def then_churn(context: Any, sets: int) -> None:
    after = subsets(context=context)
    moved = sum(len(set(a) - set(b)) for b, a in zip(context.before, after, strict=False))
    assert moved <= sets, moved
