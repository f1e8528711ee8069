"""Tests of a gateway's own requests during a roll-out."""

import pytest

from eelgrassrack.gateway.versions.requestaccount import (
    GIFT_REPORT_SECONDS,
    RequestAccount,
)


def make_account(*, has_slack=True, gateways=4):
    account = RequestAccount(began_at=0.0, has_slack=has_slack)
    account.note_gateways(gateways)
    return account


def find_left(account):
    return account.find_allowance(share=0.15, slack=30.0).left


def test_a_process_that_starts_during_a_roll_out_has_no_slack():
    """The one before it may have used its part."""
    assert find_left(make_account()) == 7.5
    assert find_left(make_account(has_slack=False)) == 0.0


def test_attempts_that_are_never_sent_dont_count():
    """They end at endpoints that refuse connections or don't answer."""
    account = make_account()
    for _ in range(100):
        account.count_sent(is_new=False, now=1.0)
        account.count_not_run(is_new=False, is_sent=False)
    account.count_sent(is_new=True, now=1.0)
    account.count_not_run(is_new=True, is_sent=False)
    assert (account.sent, account.sent_new) == (0, 0)
    assert find_left(account) == 7.5


def test_only_requests_that_are_answered_raise_what_is_allowed():
    account = make_account()
    account.count_sent(is_new=False, now=1.0)
    assert find_left(account) == 7.5
    account.count_reached()
    assert find_left(account) == 7.65


def test_a_gift_counts_once_however_often_it_is_reported():
    giver, receiver = make_account(), make_account()
    giver.give({"b": 2.0}, now=1.0)
    giver.give({"b": 1.0}, now=2.0)
    for now in (2.0, 2.5, 2.0 + GIFT_REPORT_SECONDS - 0.1):
        for gift in giver.list_gifts(now):
            receiver.receive("a", gift.requests)
    assert find_left(giver) == 4.5
    assert find_left(receiver) == 10.5


def test_gifts_dont_fill_updates_for_ever():
    """Among hundreds of gateways each would list all others in each update."""
    account = make_account()
    for number in range(100):
        account.give({f"g{number}": 0.01}, now=float(number))
    assert len(account.list_gifts(100.0)) <= GIFT_REPORT_SECONDS + 1


def test_an_order_that_stays_after_its_end_fills_no_memory():
    """Nothing asks for the rate of a version that has been taken over."""
    account = make_account()
    for number in range(10_000):
        account.count_sent(is_new=True, now=number / 10)
    assert len(account._marks) < 50


@pytest.mark.parametrize("rate", [20.0, 200.0])
def test_the_latest_rate_follows_a_burst(rate):
    """A mean since the order would hide it."""
    account = make_account()
    for number in range(100):
        account.count_sent(is_new=False, now=number / 10)
    for number in range(int(rate)):
        account.count_sent(is_new=False, now=10.0 + number / rate)
    assert account.find_rate(11.0) == pytest.approx(rate, rel=0.25)
    assert account.find_mean_rate(11.0) < 30.0
