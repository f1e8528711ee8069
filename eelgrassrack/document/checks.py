"""Checks that convert and validate one value of an INI file."""

import enum
import math
import re

import msgspec

from .errors import DocumentError


class Invalid(msgspec.Struct, kw_only=True, frozen=True):
    """A text that failed its check; `allowed` describes the valid values."""

    allowed: str


class Number(msgspec.Struct, kw_only=True, frozen=True):
    """A number from `low` to `high`, both included; an integer with `whole`."""

    low: float
    high: float
    whole: bool = False


class Flag(msgspec.Struct, kw_only=True, frozen=True):
    """A boolean, written `yes` or `no`."""


class Choice(msgspec.Struct, kw_only=True, frozen=True):
    """The value of a member of the enumeration `options`."""

    options: type[enum.Enum]


class OneOf(msgspec.Struct, kw_only=True, frozen=True):
    """One of the texts in `options`."""

    options: tuple[str, ...]


class Text(msgspec.Struct, kw_only=True, frozen=True):
    """A text that matches a pattern; `allowed` describes the pattern."""

    pattern: str
    allowed: str


class Items(msgspec.Struct, kw_only=True, frozen=True):
    """A comma-separated list of different items.

    `min_items` is the fewest items allowed.  With `unordered` the value is
    a frozenset instead of a tuple.
    """

    item: Text
    min_items: int = 0
    unordered: bool = False


Check = Number | Flag | Choice | OneOf | Text | Items

FLAGS = {"yes": True, "no": False}


def describe_check(check: Check) -> str:
    """Return a description of the values that a check allows."""
    match check:
        case Number(low=low, high=high, whole=whole):
            kind = "whole number" if whole else "number"
            return f"{kind} from {low:.12g} to {high:.12g}"
        case Flag():
            return "yes or no"
        case Choice(options=options):
            return "one of " + ", ".join(option.value for option in options)
        case OneOf(options=options):
            return "one of " + ", ".join(options)
        case Text(allowed=allowed):
            return allowed
        case Items(item=item, min_items=min_items):
            count = f"at least {min_items}, " if min_items else ""
            return f"list of different items, {count}each {item.allowed}"
    raise DocumentError(f"no such check: {check!r}")


def convert_text(check: Check, text: str) -> object | Invalid:
    """Convert a text to its value; return `Invalid` if the check fails."""
    value = _convert(check, text)
    return Invalid(allowed=describe_check(check)) if value is None else value


def format_value(check: Check, value: object) -> str:
    """Return a value in the form that `convert_text` reads."""
    match check, value:
        case Flag(), bool():
            return "yes" if value else "no"
        case Number(), int() | float():
            return f"{value:.12g}"
        case _, enum.Enum():
            return str(value.value)
        case Items(), _:
            return ", ".join(value)
    return str(value)


def _convert(check: Check, text: str) -> object | None:
    match check:
        case Number():
            return _convert_number(check, text)
        case Flag():
            return FLAGS.get(text)
        case Choice(options=options):
            matches = (option for option in options if option.value == text)
            return next(matches, None)
        case OneOf(options=options):
            return text if text in options else None
        case Text(pattern=pattern):
            return text if re.fullmatch(pattern, text) else None
        case Items():
            return _convert_items(check, text)
    raise DocumentError(f"no such check: {check!r}")


def _convert_number(check: Number, text: str) -> int | float | None:
    try:
        number = int(text) if check.whole else float(text)
    except ValueError:
        return None
    in_range = math.isfinite(number) and check.low <= number <= check.high
    return number if in_range else None


def _convert_items(check: Items, text: str) -> tuple | frozenset | None:
    items = [item.strip() for item in text.split(",")] if text.strip() else []
    if len(items) < check.min_items or len(set(items)) < len(items):
        return None
    if not all(re.fullmatch(check.item.pattern, item) for item in items):
        return None
    return frozenset(items) if check.unordered else tuple(items)
