"""`finchway`: the command-line tool for operators.

Exit codes: 0 success, 1 failure, 2 invalid arguments or input, 4 conflict, 5 not found, 6 history
compacted, 7 not allowed, 8 no quorum or timeout (whether a change took effect is unknown).
"""

from __future__ import annotations

import os
import sys

import msgspec
from absl import flags

from finchway.cli._commands import COMMANDS, CommandContext
from finchway.exceptions import ConflictError, FinchwayError

_HELP_TEMPLATE = """finchway: drives a finchway deployment

usage: finchway COMMAND [ARGUMENTS] [OPTIONS]

commands:
{commands}

options:
{options}

exit codes: 0 done, 1 failed, 2 wrong input, 4 conflict, 5 not found, 6 history gone,
7 not allowed, 8 no quorum or not in time
"""


def _define_flags(values: flags.FlagValues) -> None:
    environment = os.environ
    flags.DEFINE_string(
        "api",
        environment.get("FINCHWAY_API", "127.0.0.1:7300"),
        "Addresses of the API, separated by commas (FINCHWAY_API).",
        flag_values=values,
    )
    flags.DEFINE_string(
        "credential",
        environment.get("FINCHWAY_CREDENTIAL", ""),
        "Operator credential (FINCHWAY_CREDENTIAL).",
        flag_values=values,
    )
    flags.DEFINE_string(
        "ca_file",
        environment.get("FINCHWAY_CA_FILE", ""),
        "Certificates to trust; turns TLS on (FINCHWAY_CA_FILE).",
        flag_values=values,
    )
    flags.DEFINE_enum(
        "output",
        environment.get("FINCHWAY_OUTPUT", "table"),
        ["table", "json"],
        "Form of the output (FINCHWAY_OUTPUT).",
        short_name="o",
        flag_values=values,
    )
    flags.DEFINE_multi_string("file", [], "A file to apply.", short_name="f", flag_values=values)
    flags.DEFINE_bool(
        "wait", False, "Wait until in force or done, and show progress.", flag_values=values
    )
    flags.DEFINE_float("timeout", 120.0, "Seconds to wait at most.", flag_values=values)
    flags.DEFINE_integer("expected", None, "Generation to change.", flag_values=values)
    flags.DEFINE_integer("since", None, "Revision to watch from.", flag_values=values)
    flags.DEFINE_bool("follow", False, "Go on printing events.", flag_values=values)
    flags.DEFINE_float("percent", 100.0, "Goal of a move in percent.", flag_values=values)
    flags.DEFINE_float("step", 10.0, "Step of a move in percent.", flag_values=values)
    flags.DEFINE_float("interval", 10.0, "Seconds between steps.", flag_values=values)
    flags.DEFINE_bool("help", False, "Print this help.", flag_values=values)


def main(arguments: list[str] | None = None) -> None:
    """Run one command and exit with its exit code."""
    sys.exit(run(sys.argv[1:] if arguments is None else arguments))


def run(arguments: list[str]) -> int:
    """Run one command and return its exit code."""
    values = flags.FlagValues()
    _define_flags(values)
    values.set_gnu_getopt(True)
    try:
        positional = values(["finchway", *arguments])[1:]
    except flags.Error as error:
        print(f"finchway: {error}", file=sys.stderr)
        return 2
    if values["help"].value or not positional:
        print(_help_text(values))
        return 0 if values["help"].value else 2
    command = COMMANDS.get(positional[0])
    if command is None:
        known = ", ".join(COMMANDS)
        print(f"finchway: no command {positional[0]!r}; there are {known}", file=sys.stderr)
        return 2
    try:
        command(CommandContext(values), positional[1:])
    except FinchwayError as error:
        return _print_error(error)
    except KeyboardInterrupt:
        return 130
    return 0


def _print_error(error: FinchwayError) -> int:
    print(f"finchway: {error}", file=sys.stderr)
    if isinstance(error, ConflictError) and error.winner:
        winner = msgspec.json.format(error.winner, indent=2).decode()
        print(f"current resource:\n{winner}", file=sys.stderr)
    if error.hint:
        print(f"hint: {error.hint}", file=sys.stderr)
    return error.exit_code


def _help_text(values: flags.FlagValues) -> str:
    commands = "\n".join(
        f"  {name:<11} {(function.__doc__ or '').strip()}" for name, function in COMMANDS.items()
    )
    names = [name for name in values if len(name) > 1]
    options = "\n".join(f"  --{name:<11} {values[name].help}" for name in sorted(names))
    return _HELP_TEMPLATE.format(commands=commands, options=options)


if __name__ == "__main__":
    main()
