"""Steps for the allocation of links and replicas to proxies."""

from typing import Any

from behave import given, then

from cinderstair.pooler.link_allocation import Location, ProxyLocation, allocate_links, allocate_replicas


def locations(*, text: str) -> list[Location]:
    return [Location(each, each[:1]) for each in text.split() if each != "-"]


@given('proxies in zones "{text}"')
def given_proxies_in_zones(context: Any, text: str) -> None:
    context.proxy_locations = [ProxyLocation(n, each) for n, each in enumerate(locations(text=text))]


@given("{count:d} proxies in 6 zones of 3 regions")
def given_many_proxies(context: Any, count: int) -> None:
    zones = ("n1", "s1", "w1", "n2", "s2", "w2")
    context.proxy_locations = [ProxyLocation(n, Location(zones[n % 6], zones[n % 6][:1])) for n in range(count)]


@given('replicas in zones "{text}" with a cap of {cap:d} proxies each')
def given_replicas(context: Any, text: str, cap: int) -> None:
    context.replica_locations, context.cap = locations(text=text), cap
    context.allocated = allocate_replicas(
        proxies=context.proxy_locations, replicas=context.replica_locations, cap=cap
    )


@then('the proxies are allocated the replicas "{text}"')
def then_allocated(context: Any, text: str) -> None:
    found = " ".join(str(context.allocated.get(n, "-")) for n, _ in context.proxy_locations)
    assert found == text, found


@then("each proxy has at most one replica, and each replica at most its cap of proxies")
def then_caps_kept(context: Any) -> None:
    for number in range(len(context.replica_locations)):
        assert sum(n == number for n in context.allocated.values()) <= context.cap


@then("the replicas are allocated to {first:d} and {second:d} proxies")
def then_allocated_counts(context: Any, first: int, second: int) -> None:
    counts = [list(context.allocated.values()).count(n) for n in (0, 1)]
    assert counts == [first, second], counts


@then("removing any one proxy changes the replica of at most {most:d} others")
def then_few_replicas_change(context: Any, most: int) -> None:
    for gone, _ in context.proxy_locations:
        left = [entry for entry in context.proxy_locations if entry[0] != gone]
        allocated = allocate_replicas(proxies=left, replicas=context.replica_locations, cap=context.cap)
        moved = [n for n, _ in left if allocated.get(n) != context.allocated.get(n)]
        assert len(moved) <= most, (gone, moved)


def links_of(*, context: Any, proxies: list[ProxyLocation], backend: str) -> dict[int, int]:
    return allocate_links(proxies=proxies, backend=backend, location=context.backend_location, cap=context.cap)


@given('a backend "{name}" in zone "{site}" with a cap of {cap:d} links')
def given_backend_location(context: Any, name: str, site: str, cap: int) -> None:
    context.backend_location, context.cap = locations(text=site)[0], cap
    context.links = links_of(context=context, proxies=context.proxy_locations, backend=name)


@then('the proxies are allocated the links "{text}"')
def then_links(context: Any, text: str) -> None:
    found = " ".join(str(context.links.get(n, "-")) for n, _ in context.proxy_locations)
    assert found == text, found


@then("the allocated links add up to {count:d}")
def then_links_sum(context: Any, count: int) -> None:
    assert sum(context.links.values()) == count, context.links


@then('{home:d} proxies have links in region "n", {far:d} in "s" and {third:d} in "w"')
def then_proxies_with_links(context: Any, home: int, far: int, third: int) -> None:
    found = [
        sum(location.region == each and n in context.links for n, location in context.proxy_locations)
        for each in "nsw"
    ]
    assert found == [home, far, third], found


@then("each zone has a proxy with links")
def then_zones_have_links(context: Any) -> None:
    zones = {location.site for _, location in context.proxy_locations}
    assert zones == {location.site for n, location in context.proxy_locations if n in context.links}


@then('over {count:d} backends in that zone each proxy of region "{region}" has from 1 to {most:d} links')
def then_links_even(context: Any, count: int, region: str, most: int) -> None:
    held = {n: 0 for n, location in context.proxy_locations if location.region == region}
    for number in range(count):
        for n in links_of(context=context, proxies=context.proxy_locations, backend=f"i-{number}"):
            if n in held:
                held[n] += 1
    assert max(held.values()) <= most and min(held.values()) > 0, held


@then("removing any one proxy changes the links of at most {most:d} others")
def then_few_links_change(context: Any, most: int) -> None:
    worst = 0
    for gone, _ in context.proxy_locations:
        left = [entry for entry in context.proxy_locations if entry[0] != gone]
        links = links_of(context=context, proxies=left, backend="x")
        worst = max(worst, sum(links.get(n) != context.links.get(n) for n, _ in left))
    assert worst <= most, worst
