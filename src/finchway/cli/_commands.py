"""The commands of `finchway`, one function each.

A command takes the context and its positional arguments. It raises an exception of
`finchway.exceptions` on failure, and the tool exits with the exception's `exit_code`. The doc
strings of the commands are printed by `finchway --help`.
"""

from __future__ import annotations

import hashlib
import secrets
import sys
import time
from pathlib import Path
from typing import Any

import msgspec
from absl import flags

from finchway._settings import check_address
from finchway.cli._client import ApiClient
from finchway.cli._explain import explain as explain_request
from finchway.cli._output import Printer, event_line, resource_row, status_text
from finchway.control import bootstrap as start_cluster
from finchway.exceptions import (
    FinchwayError,
    Finding,
    InputError,
    NotFoundError,
    ResourceError,
    UnavailableError,
)
from finchway.resources import OPERATOR_KINDS, parse_document
from finchway.transport import make_keys

_POLL_S = 0.2
_APPLY_ORDER = {kind: index for index, kind in enumerate(OPERATOR_KINDS)}
_HEADINGS = ["NAME", "GENERATION", "REVISION", "STATUS", "SPEC"]


class CommandContext:
    """The API client, printer and options of one invocation."""

    def __init__(self, options: flags.FlagValues) -> None:
        self._options = options
        self.printer = Printer(options["output"].value == "json")

    @property
    def api(self) -> ApiClient:
        """A new client of the resource API; raises `InputError` for invalid addresses."""
        addresses = [a.strip() for a in self._options["api"].value.split(",") if a.strip()]
        findings = [
            Finding(f"--api[{index}]", problem)
            for index, address in enumerate(addresses)
            if (problem := check_address(address))
        ]
        if not addresses:
            findings = [Finding("--api", "is required", "IP:port of a control process")]
        if findings:
            raise InputError(findings, "options")
        return ApiClient(addresses, self.option("credential"), self.option("ca_file"))

    def option(self, name: str) -> Any:
        """Return the value of an option."""
        return self._options[name].value


def apply(context: CommandContext, arguments: list[str]) -> None:
    """Accept the resources of YAML or JSON files: apply -f FILE [FILE...]."""
    paths = [*context.option("file"), *arguments]
    if not paths:
        raise _usage("apply -f FILE [FILE...]")
    drafts, findings = [], []
    for path in paths:
        try:
            drafts += parse_document(_read_documents(path), path)
        except ResourceError as error:
            findings += error.findings
    if findings:
        raise ResourceError(findings, "files")
    api = context.api
    revision = 0
    for draft in sorted(drafts, key=lambda d: _APPLY_ORDER[d.kind]):
        answer = api.put(draft.kind, draft.name, msgspec.to_builtins(draft.spec))
        revision = max(revision, answer["revision"])
        resource_id = f"{draft.kind}/{draft.name}"
        text = f"{resource_id} generation {answer['generation']} revision {answer['revision']}"
        context.printer.line({"resource": resource_id, **_generation_and_revision(answer)}, text)
    if context.option("wait"):
        _wait_in_force(context, api, revision)


def get(context: CommandContext, arguments: list[str]) -> None:
    """List resources, or print one: get KIND [NAME]."""
    if not 1 <= len(arguments) <= 2:
        raise _usage("get KIND [NAME]")
    if len(arguments) == 2:
        resource = context.api.get(*arguments)
        context.printer.table(resource, _HEADINGS, [resource_row(resource)])
        return
    listed = context.api.list(arguments[0])
    context.printer.table(listed, _HEADINGS, [resource_row(item) for item in listed["items"]])


def describe(context: CommandContext, arguments: list[str]) -> None:
    """Print everything about a resource: describe KIND NAME."""
    if len(arguments) != 2:
        raise _usage("describe KIND NAME")
    context.printer.value(context.api.get(*arguments))


def delete(context: CommandContext, arguments: list[str]) -> None:
    """Delete a resource: delete KIND NAME [--expected GENERATION]."""
    if len(arguments) != 2:
        raise _usage("delete KIND NAME")
    answer = context.api.delete(*arguments, expected=context.option("expected"))
    text = f"{'/'.join(arguments)} deleted at revision {answer['revision']}"
    context.printer.line(_generation_and_revision(answer), text)
    if context.option("wait"):
        _wait_in_force(context, context.api, answer["revision"])


def watch(context: CommandContext, arguments: list[str]) -> None:
    """Follow accepted configuration and produced state: watch [KIND] [--since REVISION]."""
    if len(arguments) > 1:
        raise _usage("watch [KIND]")
    kind = arguments[0] if arguments else ""
    api = context.api
    since = context.option("since")
    if since is None:
        since = api.list(kind or "service")["revision"]
    last_in_force = -1
    for line in api.watch(since, kind):
        if "resource" in line:
            resource = line["resource"]
            resource_id = f"{resource['kind']}/{resource['name']}"
            status = status_text(resource.get("status"))
            text = f"{line['revision']:>6} {line['operation']:<6} {resource_id} {status}"
            context.printer.line(line, text)
        elif "in_force" in line and line["in_force"] != last_in_force:
            last_in_force = line["in_force"]
            context.printer.line(line, f"{last_in_force:>6} in force at every serving entry")


def drain(context: CommandContext, arguments: list[str]) -> None:
    """Drain upstream/IP:PORT, zone/NAME, region/NAME or instance/NAME: drain TARGET [--wait]."""
    if len(arguments) != 1:
        raise _usage("drain TARGET")
    api = context.api
    name = drain_name(arguments[0])
    answer = api.put("drain", name, {"target": arguments[0]})
    context.printer.line(
        _generation_and_revision(answer), f"drain/{name} accepted at {answer['revision']}"
    )
    if context.option("wait"):
        _wait_done(context, api, "drain", name)


def undrain(context: CommandContext, arguments: list[str]) -> None:
    """End a drain: undrain TARGET [--wait]."""
    if len(arguments) != 1:
        raise _usage("undrain TARGET")
    delete(context, ["drain", drain_name(arguments[0])])


def move(context: CommandContext, arguments: list[str]) -> None:
    """Move a service's callers between regions: move SERVICE SOURCE TARGET [--percent N]."""
    if len(arguments) != 3:
        raise _usage("move SERVICE SOURCE TARGET [--percent N] [--step N] [--interval S]")
    service, source, target = arguments
    spec = {
        "service": service,
        "source": source,
        "target": target,
        "goal_percent": context.option("percent"),
        "step_percent": context.option("step"),
        "interval_s": context.option("interval"),
    }
    api = context.api
    name = f"{service}.{source}.{target}"
    answer = api.put("move", name, spec)
    context.printer.line(
        _generation_and_revision(answer), f"move/{name} accepted at {answer['revision']}"
    )
    if context.option("wait"):
        _wait_done(context, api, "move", name)


def status(context: CommandContext, arguments: list[str]) -> None:
    """Show which entries have which revision in force, and the control replicas."""
    entries = context.api.read("/v1/entries")
    replicas = context.api.read("/v1/replicas")
    if context.printer.as_json:
        context.printer.value({"entries": entries, "replicas": replicas})
        return
    print(f"revision {entries['revision']}, in force at {_revision_in_force(entries)}")
    rows = [
        [e["instance"], e["state"], str(e["revision"]), str(e["in_flight"]), e["peer"]]
        for e in entries["entries"]
    ]
    context.printer.table(entries, ["ENTRY", "STATE", "REVISION", "IN FLIGHT", "PEER"], rows)
    print()
    _print_replicas(context, replicas)


def events(context: CommandContext, arguments: list[str]) -> None:
    """Print the time line of all processes: events [--follow]."""
    api = context.api
    after = ""
    while True:
        answer = api.read("/v1/events", {"after": after})
        after = msgspec.json.encode(answer["after"]).decode()
        for event in answer["events"]:
            context.printer.line(event, event_line(event))
        for peer in answer["unreachable"]:
            print(f"finchway: no events from {peer}", file=sys.stderr)
        if not answer["events"]:
            if not context.option("follow"):
                return
            time.sleep(1.0)


def replica(context: CommandContext, arguments: list[str]) -> None:
    """Show or change the control replicas: replica list | add NAME | remove NAME | replace NAME."""
    match arguments:
        case ["list"]:
            _print_replicas(context, context.api.read("/v1/replicas"))
        case ["add" | "remove" as action, name]:
            _print_replicas(context, context.api.post("/v1/replicas", {action: name}))
        case ["replace", name]:
            api = context.api
            api.post("/v1/replicas", {"remove": name})
            _retry(lambda: api.post("/v1/replicas", {"add": name}), context.option("timeout"))
            _print_replicas(context, api.read("/v1/replicas"))
        case _:
            raise _usage("replica list | add NAME | remove NAME | replace NAME")


def bootstrap(context: CommandContext, arguments: list[str]) -> None:
    """Start a new cluster in an empty folder: bootstrap NAME PEER_ADDRESS FOLDER [EXPECTED...]."""
    if len(arguments) < 3:
        raise _usage("bootstrap NAME PEER_ADDRESS FOLDER [EXPECTED_REPLICA...]")
    name, address, folder, *expected = arguments
    problem = check_address(address)
    if problem:
        raise InputError([Finding("PEER_ADDRESS", problem)], "arguments")
    result = start_cluster(Path(folder), name, address, expected, context.option("credential"))
    text = f"cluster {result.cluster}\noperator {result.operator}\ncredential {result.credential}"
    context.printer.line(result, text)


def credential(context: CommandContext, arguments: list[str]) -> None:
    """Make a credential for an organisation or operator, and the digest to declare."""
    token = secrets.token_urlsafe(24)
    digest = hashlib.sha256(token.encode()).hexdigest()
    value = {"credential": token, "digest": digest}
    context.printer.line(value, f"credential {token}\ndigest {digest}")


def keys(context: CommandContext, arguments: list[str]) -> None:
    """Make the key pair that encrypts links between processes: keys FILE."""
    if len(arguments) != 1:
        raise _usage("keys FILE")
    try:
        make_keys(Path(arguments[0]))
    except OSError as error:
        raise FinchwayError(f"cannot write {arguments[0]}: {error}") from error
    context.printer.line({"file": arguments[0]}, f"wrote {arguments[0]}")


def drain_name(target: str) -> str:
    """Return the name of the drain resource for a target."""
    return target.replace("/", ".").replace("[", "").replace("]", "").lower()


def _read_documents(path: str) -> list[Any]:
    try:
        data = sys.stdin.buffer.read() if path == "-" else Path(path).read_bytes()
        decoded = msgspec.yaml.decode(data)
    except OSError as error:
        raise ResourceError([Finding(path, error.strerror or str(error))], path) from error
    except msgspec.MsgspecError as error:
        raise ResourceError([Finding(path, f"is not YAML or JSON: {error}")], path) from error
    return decoded if isinstance(decoded, list) else [decoded]


def _generation_and_revision(answer: dict[str, Any]) -> dict[str, int]:
    return {"generation": answer["generation"], "revision": answer["revision"]}


def _wait_in_force(context: CommandContext, api: ApiClient, revision: int) -> None:
    deadline = time.monotonic() + context.option("timeout")
    while True:
        entries = api.read("/v1/entries")
        if _revision_in_force(entries) >= revision:
            context.printer.line({"in_force": revision}, f"revision {revision} is in force")
            return
        if time.monotonic() > deadline:
            behind = [e["instance"] for e in entries["entries"] if e["revision"] < revision]
            raise UnavailableError(f"not in force yet at {', '.join(behind)}")
        time.sleep(_POLL_S)


def _revision_in_force(entries: dict[str, Any]) -> int:
    serving = [e["revision"] for e in entries["entries"] if e["state"] not in ("silent", "gone")]
    return min(serving, default=entries["revision"])


def change(context: CommandContext, arguments: list[str]) -> None:
    """Set and drop routes, services and limits as one unit: change -f FILE."""
    paths = [*context.option("file"), *arguments]
    if not paths:
        raise _usage("change -f FILE [FILE...]")
    items = [document for path in paths for document in _read_documents(path)]
    answer = context.api.post("/v1/steering/items", items)
    text = f"{len(items)} items are held at steering revision {answer['revision']}"
    context.printer.line(answer, text)


def steering(context: CommandContext, arguments: list[str]) -> None:
    """Show routes, upstreams, gateways and what each has in force: steering."""
    view = context.api.read("/v1/steering")
    if context.printer.as_json:
        context.printer.value(view)
        return
    print(f"steering revision {view['revision']}, evacuated: {', '.join(view['evacuated']) or '-'}")
    items = [[i["kind"], i["name"], str(i["version"])] for i in view["items"]]
    context.printer.table(view, ["ITEM", "NAME", "VERSION"], items)
    columns = ("instance", "service", "address", "zone", "state", "age_s")
    rows = [[str(row[name]) for name in columns] for row in view["upstreams"]]
    context.printer.table(view, ["UPSTREAM", "SERVICE", "ADDRESS", "ZONE", "STATE", "AGE S"], rows)
    columns = ("name", "zone", "ready", "leaving", "cut_off", "revision", "age_s")
    rows = [[str(row[name]) for name in columns] for row in view["gateways"]]
    headings = ["GATEWAY", "ZONE", "READY", "LEAVING", "CUT OFF", "REVISION", "AGE S"]
    context.printer.table(view, headings, rows)
    rows = [
        [s["request"], s["state"], str(s["ends"]), ", ".join(s["ended"]), str(s["seconds"])]
        for s in view["suspects"]
    ]
    headings = ["SUSPECT REQUEST", "STATE", "ENDS", "UPSTREAMS", "FOR S"]
    context.printer.table(view, headings, rows)


def release(context: CommandContext, arguments: list[str]) -> None:
    """Have a request that is suspected of ending upstreams sent to them again: release DIGEST."""
    if len(arguments) != 1:
        raise _usage("release DIGEST")
    answer = context.api.post(f"/v1/steering/suspects/{arguments[0]}/release", {})
    context.printer.line(answer, f"request {arguments[0]} may be sent to upstreams again")


def evacuate(context: CommandContext, arguments: list[str]) -> None:
    """Send nothing new to the upstreams of an availability zone: evacuate ZONE."""
    _set_evacuation(context, arguments, True)


def readmit(context: CommandContext, arguments: list[str]) -> None:
    """Take an evacuated availability zone back: readmit ZONE."""
    _set_evacuation(context, arguments, False)


def _set_evacuation(context: CommandContext, arguments: list[str], active: bool) -> None:
    if len(arguments) != 1:
        raise _usage(f"{'evacuate' if active else 'readmit'} ZONE")
    answer = context.api.post(f"/v1/steering/evacuations/{arguments[0]}", {"active": active})
    text = f"zone {arguments[0]} is {'evacuated' if active else 'in use'}"
    context.printer.line(answer, text)


def explain(context: CommandContext, arguments: list[str]) -> None:
    """explain ID FILE...: tell the story of one request from log files."""
    if len(arguments) < 2:
        raise _usage("explain ID FILE...")
    for line in explain_request(arguments[0], [Path(path) for path in arguments[1:]]):
        print(line)


def _wait_done(context: CommandContext, api: ApiClient, kind: str, name: str) -> None:
    deadline = time.monotonic() + context.option("timeout")
    last_shown = ""
    while True:
        resource = api.get(kind, name)
        text = status_text(resource.get("status"))
        if text != last_shown:
            last_shown = text
            context.printer.line(resource.get("status"), f"{kind}/{name} {text}")
        if (resource.get("status") or {}).get("phase") == "done":
            return
        if time.monotonic() > deadline:
            raise UnavailableError(f"{kind}/{name} is not done: {text}")
        time.sleep(_POLL_S)


def _retry(call, timeout: float) -> None:
    deadline = time.monotonic() + timeout
    while True:
        try:
            call()
            return
        except FinchwayError as error:
            if isinstance(error, NotFoundError) or time.monotonic() > deadline:
                raise
            time.sleep(_POLL_S)


def _print_replicas(context: CommandContext, answer: dict[str, Any]) -> None:
    voters = {_member_id(m) for m in answer["members"]["voters"]}
    rows = []
    for item in answer["replicas"]:
        vote = "voter" if item["id"] in voters else "learner"
        columns = [str(item.get(key, "-")) for key in ("term", "commit", "revision")]
        rows.append([item["id"], vote, item["role"], *columns])
    for member in answer["asking"]:
        rows.append([_member_id(member), "asking", "-", "-", "-", "-"])
    headings = ["REPLICA", "VOTE", "ROLE", "TERM", "COMMIT", "REVISION"]
    context.printer.table(answer, headings, rows)


def _member_id(member: dict[str, Any]) -> str:
    return f"{member['name']}@{member['incarnation']}"


def _usage(text: str) -> InputError:
    return InputError([Finding("arguments", f"usage: finchway {text}")], "command line")


COMMANDS = {
    "apply": apply,
    "get": get,
    "describe": describe,
    "delete": delete,
    "watch": watch,
    "drain": drain,
    "undrain": undrain,
    "move": move,
    "status": status,
    "events": events,
    "change": change,
    "steering": steering,
    "evacuate": evacuate,
    "readmit": readmit,
    "release": release,
    "explain": explain,
    "replica": replica,
    "bootstrap": bootstrap,
    "credential": credential,
    "keys": keys,
}
