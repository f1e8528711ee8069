"""Tests of the bound on the requests of a version on trial."""

import random

import pytest

from eelgrassrack.decisions.exposure import (
    COVERED_FACTOR,
    KEPT_FACTOR,
    Allowance,
    Holder,
    covers,
    find_gifts,
    find_kept_factor,
    find_moved_share,
    limit_share,
    limit_unseen,
    share_slack,
)

SHARE = 0.15
SLACK = 30.0
END_SECONDS = 0.5


def make_allowance(sent=0, sent_new=0, share=SHARE, slack=SLACK):
    return Allowance(sent=sent, sent_new=sent_new, share=share, slack=slack)


def find_share(allowance, *, rate=70.0, remaining=1.5):
    return find_moved_share(
        left=allowance.left,
        share=allowance.share,
        rate=rate,
        remaining=remaining,
        end_seconds=END_SECONDS,
    )


def is_covered(*holders, remaining=0.5):
    rate = sum(holder.rate for holder in holders)
    return covers(
        holders, share=SHARE, rate=rate, remaining=remaining, end_seconds=END_SECONDS
    )


class OneGateway:
    """A gateway that sends the version all requests that its allowance has room for."""

    def __init__(self, name, gateways):
        self.name = name
        self.sent = 0
        self.sent_new = 0
        self.slack = share_slack(SLACK, gateways=gateways)

    @property
    def allowance(self):
        return make_allowance(self.sent, self.sent_new, slack=self.slack)

    @property
    def holder(self):
        return Holder(self.name, self.allowance.left, float(self.sent))

    def send(self):
        self.sent_new += self.allowance.has_room
        self.sent += 1


@pytest.mark.parametrize("seed", range(20))
def test_gateways_keep_to_the_common_bound_at_any_moment(seed):
    """Each asks only itself, requests come as they like, and gifts arrive late."""
    rng = random.Random(seed)
    count = rng.choice([1, 4, 30])
    gateways = [OneGateway(f"g{number}", count) for number in range(count)]
    late = []
    for _ in range(3000):
        gateways[int(count * rng.random() ** 2)].send()
        if rng.random() < 0.02:
            giver, *others = rng.sample(gateways, count)
            gifts = find_gifts(
                own=giver.holder, others=[other.holder for other in others]
            )
            giver.slack -= sum(gifts.values())
            late += [(other, gifts.get(other.name, 0.0)) for other in others]
        if late and rng.random() < 0.1:
            receiver, gift = late.pop(rng.randrange(len(late)))
            receiver.slack += gift
        sent = sum(gateway.sent for gateway in gateways)
        sent_new = sum(gateway.sent_new for gateway in gateways)
        assert sent_new <= SHARE * sent + SLACK


def test_a_gateway_that_doesnt_know_the_others_uses_none_of_the_slack():
    assert share_slack(SLACK, gateways=None) == 0.0
    assert share_slack(SLACK, gateways=4) == 7.5


def test_gateways_give_what_makes_all_last_equally_long():
    """One has restarted and lost what it had, one gets more requests than before."""
    holders = [
        Holder("a", 40.0, 10.0),
        Holder("b", 0.0, 10.0),
        Holder("c", 30.0, 10.0),
        Holder("d", 10.0, 10.0),
    ]
    left = {holder.name: holder.left for holder in holders}
    for own in holders:
        others = [holder for holder in holders if holder is not own]
        gifts = find_gifts(own=own, others=others)
        left[own.name] -= sum(gifts.values())
        for name, gift in gifts.items():
            left[name] += gift
    assert left == pytest.approx(dict.fromkeys("abcd", 20.0))


def test_a_gateway_without_too_much_gives_nothing():
    assert not find_gifts(own=Holder("a", 5.0, 10.0), others=[Holder("b", 5.0, 10.0)])
    assert not find_gifts(own=Holder("a", 1.0, 10.0), others=[Holder("b", 5.0, 10.0)])
    assert not find_gifts(own=Holder("a", 5.0, 0.0), others=[])


def test_all_requests_use_the_version_while_enough_is_left():
    """What is kept back for the time after the end isn't used before."""
    kept = KEPT_FACTOR * 0.85 * 70.0 * END_SECONDS
    assert find_share(make_allowance(slack=kept + 60.0)) == 1.0
    assert find_share(make_allowance(slack=kept + 29.75)) == pytest.approx(0.5)
    assert find_share(make_allowance(slack=kept)) == 0.0
    assert find_share(make_allowance(slack=kept), remaining=0.5) == 1.0
    assert find_share(make_allowance(slack=kept - 1.0), remaining=0.5) == 0.0
    assert find_share(make_allowance(slack=0.0), remaining=0.0) == 1.0


def test_little_that_is_left_isnt_kept_back_whole():
    """Nothing would show how the version bears the load before its trial ends."""
    seconds = {"share": SHARE, "rate": 70.0, "seconds": END_SECONDS}
    assert find_kept_factor(left=200.0, **seconds) == KEPT_FACTOR
    assert 0.0 < find_kept_factor(left=30.0, **seconds) < KEPT_FACTOR / 2
    assert find_kept_factor(left=0.0, **seconds) == 0.0


def test_gateways_use_the_same_sessions_unless_one_has_far_less():
    assert limit_share(0.8, 1.0) == 0.8
    assert limit_share(0.8, 0.5) == 0.8
    assert limit_share(0.8, 0.1) < 0.8
    assert limit_share(0.8, 0.0) == 0.0


def test_a_trial_ends_only_if_all_requests_until_the_limit_are_allowed():
    needed = COVERED_FACTOR * 0.85 * 70.0 * END_SECONDS
    assert is_covered(Holder("a", needed + 1.0, 70.0))
    assert not is_covered(Holder("a", needed - 1.0, 70.0))
    assert is_covered(Holder("a", 0.0, 70.0), remaining=0.0)
    assert not is_covered(Holder("a", needed / 2, 50.0), Holder("b", 1.0, 20.0))


def test_a_peer_keeps_back_enough_though_its_report_is_old():
    """It may have sent all of its requests to the version since, but not the last."""
    assert is_covered(Holder("a", 60.0, 70.0, 2.0))
    assert not is_covered(Holder("a", 20.0, 70.0, 2.0))


def find_unseen(unseen, *, left, rate=70.0):
    return limit_unseen(unseen, left=left, share=SHARE, rate=rate, limit=24.0)


def test_a_trial_whose_order_was_seen_late_ends_earlier_as_far_as_enough_is_left():
    assert find_unseen(0.0, left=1_000.0) == 0.0
    assert find_unseen(0.8, left=1_000.0) == 0.8
    assert 0.0 < find_unseen(0.8, left=130.0) < 0.8
    assert find_unseen(0.8, left=10.0) == 0.0
    assert find_unseen(0.8, left=0.0, rate=0.0) == 0.8


@pytest.mark.parametrize("left", [80.0, 110.0, 160.0, 500.0])
def test_what_is_kept_back_covers_the_time_after_an_earlier_end(left):
    unseen = find_unseen(1.5, left=left)
    seconds = END_SECONDS + unseen
    kept = find_kept_factor(left=left, share=SHARE, rate=70.0, seconds=seconds)
    assert kept == pytest.approx(KEPT_FACTOR)
