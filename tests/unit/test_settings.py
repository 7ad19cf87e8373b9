"""Settings: precedence of flags over the environment, and validation."""

from __future__ import annotations

import pytest
from absl import flags
from hypothesis import given, settings
from hypothesis import strategies as st

from finchway._settings import CLI_VARIABLES, Settings, define_flags, read_settings
from finchway.daemon import main
from finchway.exceptions import SettingsError

VALID_ENVIRONMENT = {
    "FINCHWAY_INSTANCE": "e1",
    "FINCHWAY_ROLES": "entry",
    "FINCHWAY_ZONE": "za",
    "FINCHWAY_ENTRY_ADDRESS": "127.0.0.1:7100",
    "FINCHWAY_PEER_ADDRESS": "127.0.0.1:7200",
    "FINCHWAY_CONTROL_PEERS": "127.0.0.1:7201,127.0.0.1:7202",
}


def read(arguments: list[str], environment: dict[str, str]) -> Settings:
    values = flags.FlagValues()
    define_flags(values)
    values(["finchwayd", *arguments])
    return read_settings(values, environment)


def test_flag_takes_precedence_over_environment_variable():
    assert read([], VALID_ENVIRONMENT).zone == "za"
    assert read(["--zone=zb"], VALID_ENVIRONMENT).zone == "zb"


def test_all_findings_are_reported_with_their_place():
    environment = {
        **VALID_ENVIRONMENT,
        "FINCHWAY_CONTROL_PEERS": "127.0.0.1:7201,example:1",
        "FINCHWAY_LEASE_S": "soon",
        "FINCHWAY_TYPO": "1",
    }
    with pytest.raises(SettingsError) as caught:
        read(["--roles=entry,cook", "--entry_address=localhost:1", "--peer_address="], environment)
    places = [finding.place for finding in caught.value.findings]
    assert places == [
        "FINCHWAY_TYPO",
        "--roles",
        "--entry_address",
        "--peer_address",
        "FINCHWAY_CONTROL_PEERS[1]",
        "FINCHWAY_LEASE_S",
    ]


def test_variables_of_the_command_line_tool_are_accepted():
    tool = dict.fromkeys(CLI_VARIABLES, "x")
    assert read([], {**VALID_ENVIRONMENT, **tool}).instance == "e1"


def test_inconsistent_settings_are_rejected():
    with pytest.raises(SettingsError, match="shorter than three heartbeats"):
        read(["--lease_s=0.5", "--heartbeat_s=0.2"], VALID_ENVIRONMENT)
    with pytest.raises(SettingsError, match="given together"):
        read([f"--tls_key={__file__}"], VALID_ENVIRONMENT)


def test_control_role_requires_its_own_settings():
    with pytest.raises(SettingsError) as caught:
        read(["--roles=control"], VALID_ENVIRONMENT)
    assert {f.place for f in caught.value.findings} == {"--api_address", "--data_folder"}


def test_daemon_exits_with_status_2_for_invalid_settings(capsys):
    with pytest.raises(SystemExit) as caught:
        main(["--roles=entry"])
    assert caught.value.code == 2
    text = capsys.readouterr().err
    assert "--instance: is required" in text and "--peer_address: is required" in text
    with pytest.raises(SystemExit) as caught:
        main(["--no_such_flag=1"])
    assert caught.value.code == 2


def test_help_lists_settings_and_variables(capsys):
    main(["--help"])
    text = capsys.readouterr().out
    assert "FINCHWAY_DATA_FOLDER" in text and "--entry_address" in text


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    name=st.sampled_from(sorted(VALID_ENVIRONMENT)),
    value=st.text(st.characters(blacklist_characters="\x00", blacklist_categories=["Cs"])),
)
def test_any_text_is_accepted_or_rejected_with_its_place(name, value):
    try:
        read([], {**VALID_ENVIRONMENT, name: value})
    except SettingsError as error:
        assert all(f.place and f.problem for f in error.findings)


def test_memory_and_descriptors_have_defaults_and_smallest_values():
    settings = read([], VALID_ENVIRONMENT)
    assert (settings.memory_mb, settings.max_descriptors) == (300, 4096)
    settings = read(["--memory_mb=200", "--max_descriptors=1024"], VALID_ENVIRONMENT)
    assert (settings.memory_mb, settings.max_descriptors) == (200, 1024)
    with pytest.raises(SettingsError) as raised:
        read(["--memory_mb=99", "--max_descriptors=many"], VALID_ENVIRONMENT)
    assert "--memory_mb: 99 is too small" in str(raised.value)
    assert "--max_descriptors: 'many' is not a whole number" in str(raised.value)
