"""Tests of edits: no text is lost, and a team changes only its own sections."""

from hypothesis import given, settings
from hypothesis import strategies as st

from eelgrassrack.document.edits import (
    Edit,
    EditRefused,
    join_sections,
    replace_sections,
    resolve_api_keys,
    set_key,
    split_sections,
)
from eelgrassrack.document.lines import SectionName, scan_text
from eelgrassrack.document.parser import digest_api_key
from eelgrassrack.document.sections import Team

LINES = st.sampled_from(
    ["", " ", "# note", "; note", "key = 1", "other = a,", "  b", "[x", " [in]", "\t"]
)
BODIES = st.lists(LINES, max_size=5)
NAMES = st.lists(
    st.sampled_from(["limits", "version a/1", "version a/2", "model a", "team t"]),
    unique=True,
    max_size=4,
)


@st.composite
def make_texts(draw):
    lines = draw(BODIES)
    for name in draw(NAMES):
        lines += [f"[{name}]", *draw(BODIES)]
    return "\n".join(lines) + draw(st.sampled_from(["", "\n", "\r\n"]))


@settings(derandomize=True, deadline=None, max_examples=200)
@given(text=make_texts())
def test_split_and_join_round_trip(text):
    sections = split_sections(text)
    assert join_sections(sections) == text
    headers = [section.name for section in scan_text(text, file="").sections]
    assert [name for name in sections if name.kind] == headers


@settings(derandomize=True, deadline=None, max_examples=200)
@given(current=make_texts(), proposed=make_texts())
def test_a_team_changes_only_its_sections(current, proposed):
    team = Team(name="t", sections=("version *",))
    edit = replace_sections(
        current=current, proposed=proposed, patterns=("*",), team=team
    )
    before, after = split_sections(current), split_sections(proposed)
    foreign = {
        name
        for name in {**before, **after}
        if name.kind not in ("", "version")
        and before.get(name, "\0").strip() != after.get(name, "\0").strip()
    }
    match edit:
        case EditRefused(sections=sections):
            named = {**before, **after}.keys() - {SectionName("")}
            assert set(sections) == {str(name) for name in foreign} or not named
        case Edit(text=text):
            assert not foreign
            result = split_sections(text)
            for name in before.keys() | after.keys():
                taken = name.kind == "version" or not before
                source = after if taken else before
                assert result.get(name, "").strip() == source.get(name, "").strip()


CURRENT = """\
# Ours.

[limits]
attempts = 3

# Stable.
[version a/1]
weight = 90

[version a/2]
weight = 10
"""


def test_a_stale_copy_of_another_section_is_left_out():
    proposed = CURRENT.replace("attempts = 3", "attempts = 1").replace("10", "20")
    edit = replace_sections(
        current=CURRENT,
        proposed=proposed,
        patterns=("version a/*",),
        team=Team(name="roll", sections=("version *",)),
    )
    assert edit == Edit(text=CURRENT.replace("10", "20"), changed=("version a/2",))


def test_a_section_that_is_gone_is_removed_and_a_new_one_added():
    edit = replace_sections(
        current=CURRENT,
        proposed="[version a/2]\nweight = 10\n[version a/3]\n",
        patterns=("version *",),
        team=Team(name="roll", sections=("version *",)),
    )
    assert edit.changed == ("version a/1", "version a/3")
    names = [str(name) for name in split_sections(edit.text)]
    assert names == ["", "limits", "version a/2", "version a/3"]


def test_refusals_name_the_sections():
    team = Team(name="roll", sections=("version *",))
    proposed = CURRENT.replace("attempts = 3", "attempts = 1")
    refused = replace_sections(
        current=CURRENT, proposed=proposed, patterns=("*",), team=team
    )
    assert refused == EditRefused(reason="team roll may not edit", sections=("limits",))
    refused = replace_sections(
        current=CURRENT, proposed=CURRENT, patterns=("domain *",), team=team
    )
    assert refused.reason == "no section matches"


def test_set_key():
    section = SectionName("version", "a/1")
    text = set_key(text=CURRENT, section=section, key="weight", value="80")
    assert text == CURRENT.replace("90", "80")
    text = set_key(text=CURRENT, section=section, key="state", value="withdrawn")
    withdrawn = "[version a/1]\nstate = withdrawn\n"
    assert text == CURRENT.replace("[version a/1]\n", withdrawn)
    section = SectionName("domain", "toledo")
    text = set_key(text=CURRENT, section=section, key="state", value="out")
    assert text == CURRENT + "\n[domain toledo]\nstate = out\n"
    text = "[team t]\nsections = limits,\n  policy\n# end\n"
    section = SectionName("team", "t")
    text = set_key(text=text, section=section, key="sections", value="limits")
    assert text == "[team t]\nsections = limits\n# end\n"


def test_api_keys_are_stored_as_digests():
    text = "[organisation a]\nkey_env = A\n[organisation b]\nkey_env = B\n"
    resolved = resolve_api_keys(
        text=text, patterns=("organisation a",), environment={"A": "x", "B": "y"}
    )
    assert resolved == text.replace(
        "key_env = A", f"key_digest = {digest_api_key('x')}"
    )
