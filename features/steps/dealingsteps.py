"""Steps for how links and copies are assigned to booths."""

from typing import Any

from behave import given, then

from cinderstair.pooler.dealing import Spot, dealt_copies, dealt_links


def spots(*, text: str) -> list[Spot]:
    return [Spot(each, each[:1]) for each in text.split() if each != "-"]


@given('booths in "{text}"')
def given_booth_spots(context: Any, text: str) -> None:
    context.booth_spots = list(enumerate(spots(text=text)))


@given("{count:d} booths in 6 zones of 3 regions")
def given_many_spots(context: Any, count: int) -> None:
    zones = ("n1", "s1", "w1", "n2", "s2", "w2")
    context.booth_spots = [(n, Spot(zones[n % 6], zones[n % 6][:1])) for n in range(count)]


@given('copies in "{text}", with room for {room:d} each')
def given_copy_spots(context: Any, text: str, room: int) -> None:
    context.copy_spots, context.room = spots(text=text), room
    context.dealt = dealt_copies(booths=context.booth_spots, copies=context.copy_spots, room=room)


@then('the copies are dealt "{text}"')
def then_dealt(context: Any, text: str) -> None:
    found = " ".join(str(context.dealt.get(n, "-")) for n, _ in context.booth_spots)
    assert found == text, found


@then("no booth is dealt more than one copy, and no copy more than its room")
def then_dealt_room(context: Any) -> None:
    for number in range(len(context.copy_spots)):
        assert sum(n == number for n in context.dealt.values()) <= context.room


@then("the copies are dealt to {first:d} and {second:d} booths")
def then_dealt_counts(context: Any, first: int, second: int) -> None:
    counts = [list(context.dealt.values()).count(n) for n in (0, 1)]
    assert counts == [first, second], counts


@then("with any one booth less at most {most:d} others are dealt another copy")
def then_little_changes(context: Any, most: int) -> None:
    for gone, _ in context.booth_spots:
        left = [entry for entry in context.booth_spots if entry[0] != gone]
        dealt = dealt_copies(booths=left, copies=context.copy_spots, room=context.room)
        moved = [n for n, _ in left if dealt.get(n) != context.dealt.get(n)]
        assert len(moved) <= most, (gone, moved)


def links_of(*, context: Any, booths: list[tuple[int, Spot]], backend: str) -> dict[int, int]:
    return dealt_links(booths=booths, backend=backend, spot=context.backend_spot, room=context.room)


@given('a backend "{name}" in "{site}" that takes {room:d} links')
def given_backend_spot(context: Any, name: str, site: str, room: int) -> None:
    context.backend_spot, context.room = spots(text=site)[0], room
    context.links = links_of(context=context, booths=context.booth_spots, backend=name)


@then('the links are dealt "{text}"')
def then_links(context: Any, text: str) -> None:
    found = " ".join(str(context.links.get(n, "-")) for n, _ in context.booth_spots)
    assert found == text, found


@then("all links dealt are {count:d}")
def then_links_sum(context: Any, count: int) -> None:
    assert sum(context.links.values()) == count, context.links


@then('of the region "n" {home:d} booths hold links, of "s" {far:d} and of "w" {third:d}')
def then_link_holders(context: Any, home: int, far: int, third: int) -> None:
    found = [sum(spot.region == each and n in context.links for n, spot in context.booth_spots) for each in "nsw"]
    assert found == [home, far, third], found


@then("in each zone somebody holds links")
def then_zones_hold(context: Any) -> None:
    zones = {spot.site for _, spot in context.booth_spots}
    assert zones == {spot.site for n, spot in context.booth_spots if n in context.links}


@then('over {count:d} backends at that place no booth of "{region}" holds for more than {most:d} and none for nobody')
def then_links_even(context: Any, count: int, region: str, most: int) -> None:
    held = {n: 0 for n, spot in context.booth_spots if spot.region == region}
    for number in range(count):
        for n in links_of(context=context, booths=context.booth_spots, backend=f"i-{number}"):
            if n in held:
                held[n] += 1
    assert max(held.values()) <= most and min(held.values()) > 0, held


@then("with any one booth less at most {most:d} others hold another number of links")
def then_links_churn(context: Any, most: int) -> None:
    worst = 0
    for gone, _ in context.booth_spots:
        left = [entry for entry in context.booth_spots if entry[0] != gone]
        links = links_of(context=context, booths=left, backend="x")
        worst = max(worst, sum(links.get(n) != context.links.get(n) for n, _ in left))
    assert worst <= most, worst
