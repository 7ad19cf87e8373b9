"""Validation of resources; collects all findings, each with its place."""

from __future__ import annotations

import ipaddress
from typing import Any

import msgspec

from finchway._counts import MAX_COUNT
from finchway.exceptions import Finding, ResourceError
from finchway.resources import _specs as s
from finchway.resources._specs import OPERATOR_KINDS, SPECS, Name, Spec
from finchway.resources._status import MoveStatus
from finchway.resources._store import ResourceStore


def parse_spec(kind: str, raw: Any, place: str = "spec") -> Spec:
    """Convert decoded JSON or YAML to the spec of `kind`.

    Raises `ResourceError` with a finding for each field that is invalid, missing or unknown.
    """
    spec_type = SPECS.get(kind)
    if spec_type is None:
        known = ", ".join(OPERATOR_KINDS)
        raise ResourceError([Finding(place, f"unknown kind {kind!r}", f"one of {known}")])
    findings = _check_mapping(spec_type, raw, place)
    if findings:
        raise ResourceError(findings, f"{kind} spec")
    return msgspec.convert(raw, spec_type)


def _check_mapping(spec_type: type[Spec], raw: Any, place: str) -> list[Finding]:
    if not isinstance(raw, dict):
        return [Finding(place, f"expected a mapping, got {type(raw).__name__}")]
    fields = {field.encode_name: field for field in msgspec.structs.fields(spec_type)}
    findings = [
        Finding(f"{place}.{key}", "unknown field", f"known: {', '.join(fields)}")
        for key in raw
        if key not in fields
    ]
    for name, field in fields.items():
        if name not in raw:
            if field.required:
                findings.append(Finding(f"{place}.{name}", "required field is missing"))
            continue
        findings += _check_value(field.type, raw[name], f"{place}.{name}")
    return findings


def _check_value(value_type: Any, value: Any, place: str) -> list[Finding]:
    args = getattr(value_type, "__args__", ())
    origin = getattr(value_type, "__origin__", None)
    if origin is list and isinstance(value, list):
        return [
            finding
            for index, item in enumerate(value)
            for finding in _check_value(args[0], item, f"{place}[{index}]")
        ]
    if origin is dict and isinstance(value, dict):
        findings = []
        for key, item in value.items():
            findings += _check_value(args[0], key, f"{place}.{key}")
            findings += _check_value(args[1], item, f"{place}.{key}")
        return findings
    if isinstance(value_type, type) and issubclass(value_type, Spec):
        return _check_mapping(value_type, value, place)
    try:
        msgspec.convert(value, value_type)
    except msgspec.ValidationError as error:
        return [Finding(place, str(error))]
    return []


def check_sizes(spec: Spec, place: str) -> list[Finding]:
    """Return a finding for each value of a spec that processes could not compute with.

    Call it where a spec is read. It is no part of `parse_spec`, which also reads specs that have
    been accepted.
    """
    findings = _check_numbers(msgspec.to_builtins(spec), place)
    if isinstance(spec, s.ClientBlocks):
        findings += [
            Finding(f"{place}.blocks[{index}]", f"{block!r} is no IPv4 block")
            for index, block in enumerate(spec.blocks)
            if not _is_block(block)
        ]
    return findings


def _check_numbers(value: Any, place: str) -> list[Finding]:
    if isinstance(value, int) and abs(value) > MAX_COUNT:
        return [Finding(place, f"must be at most {MAX_COUNT}")]
    children: list[tuple[str, Any]] = []
    if isinstance(value, dict):
        children = [(f"{place}.{key}", child) for key, child in value.items()]
    elif isinstance(value, list | tuple):
        children = [(f"{place}[{index}]", child) for index, child in enumerate(value)]
    return [finding for name, child in children for finding in _check_numbers(child, name)]


def _is_block(text: str) -> bool:
    try:
        ipaddress.IPv4Network(text, strict=False)
    except ValueError:
        return False
    return True


class Draft(msgspec.Struct, frozen=True):
    """A resource from an operator whose spec is valid but which is not accepted yet."""

    kind: str
    name: str
    spec: Spec


def parse_document(documents: list[Any], source: str) -> list[Draft]:
    """Convert `{kind, name, spec}` mappings read from `source` to drafts.

    Raises `ResourceError` with the findings of all documents.
    """
    drafts: list[Draft] = []
    findings: list[Finding] = []
    for index, raw in enumerate(documents):
        place = f"{source}[{index}]"
        if not isinstance(raw, dict) or not {"kind", "name"} <= raw.keys():
            findings.append(Finding(place, "expected a mapping with kind, name and spec"))
            continue
        kind, name = str(raw["kind"]), str(raw["name"])
        if kind not in OPERATOR_KINDS:
            findings.append(Finding(f"{place}.kind", f"unknown kind {kind!r}"))
            continue
        findings += check_name(name, f"{place}.name")
        try:
            spec = parse_spec(kind, raw.get("spec", {}), f"{place}.spec")
        except ResourceError as error:
            findings += error.findings
            continue
        findings += check_sizes(spec, f"{place}.spec")
        drafts.append(Draft(kind, name, spec))
    if findings:
        raise ResourceError(findings, source)
    return drafts


def check_name(name: str, place: str) -> list[Finding]:
    """Validate the name of a resource."""
    return _check_value(Name, name, place)


def check_references(kind: str, name: str, spec: Spec, store: ResourceStore) -> list[Finding]:
    """Check that the resources a spec refers to exist and that the spec is consistent with them."""
    findings: list[Finding] = []
    for field, target in _references(spec):
        if store.get(target[0], target[1]) is None:
            findings.append(
                Finding(f"{kind}/{name}.{field}", f"no such {target[0]}: {target[1]!r}")
            )
    return findings + _check_rules(kind, name, spec, store)


def _references(spec: Spec) -> list[tuple[str, tuple[str, str]]]:
    match spec:
        case s.Zone(region=region) | s.Site(region=region):
            return [("region", ("region", region))]
        case s.ClientBlocks(site=site):
            return [("site", ("site", site))]
        case s.Pool(service=service, region=region, upstreams=upstreams):
            zones = [(f"upstreams[{i}].zone", ("zone", u.zone)) for i, u in enumerate(upstreams)]
            return [("service", ("service", service)), ("region", ("region", region)), *zones]
        case s.Capacity(service=service, region=region):
            return [("service", ("service", service)), ("region", ("region", region))]
        case s.Organisation(contracts=contracts):
            return [
                reference
                for service, contract in contracts.items()
                for reference in (
                    (f"contracts.{service}", ("service", service)),
                    (f"contracts.{service}.priority", ("priority", contract.priority)),
                )
            ]
        case s.Move(service=service, source=source, target=target):
            return [
                ("service", ("service", service)),
                ("source", ("region", source)),
                ("target", ("region", target)),
            ]
    return []


def _check_rules(kind: str, name: str, spec: Spec, store: ResourceStore) -> list[Finding]:
    place = f"{kind}/{name}"
    match spec:
        case s.Move(source=source, target=target) if source == target:
            return [Finding(f"{place}.target", "source and target are the same region")]
        case s.Pool(region=region, upstreams=upstreams):
            return _check_pool(name, region, upstreams, store)
        case s.Drain(target=target):
            target_kind, _, target_name = target.partition("/")
            if target_kind != "upstream" and store.get(target_kind, target_name) is None:
                return [Finding(f"{place}.target", f"no such {target_kind}: {target_name!r}")]
            if target_kind == "upstream" and not _upstream_exists(target_name, store):
                return [Finding(f"{place}.target", f"no pool has an upstream {target_name!r}")]
    return []


def _check_pool(name: str, region: str, upstreams: list, store: ResourceStore) -> list[Finding]:
    findings = []
    others = [pool for pool in store.of_kind("pool") if pool.name != name]
    owners = {u.address: pool.name for pool in others for u in pool.spec.upstreams}
    seen: set[str] = set()
    for index, upstream in enumerate(upstreams):
        place = f"pool/{name}.upstreams[{index}]"
        if upstream.address in seen:
            findings.append(Finding(f"{place}.address", f"{upstream.address} is listed twice"))
        if upstream.address in owners:
            problem = f"{upstream.address} belongs to pool/{owners[upstream.address]}"
            findings.append(Finding(f"{place}.address", problem))
        seen.add(upstream.address)
        zone = store.get("zone", upstream.zone)
        if zone is not None and zone.spec.region != region:
            findings.append(Finding(f"{place}.zone", f"{upstream.zone} is not in region {region}"))
    return findings


def _upstream_exists(address: str, store: ResourceStore) -> bool:
    pools = store.of_kind("pool")
    return any(u.address == address for pool in pools for u in pool.spec.upstreams)


def find_dependents(kind: str, name: str, store: ResourceStore) -> list[Finding]:
    """Return a finding for each reason that prevents the deletion of a resource."""
    resource = store.get(kind, name)
    if (
        resource is not None
        and isinstance(resource.status, MoveStatus)
        and resource.status.percent > 0
    ):
        problem = f"the move still shifts {resource.status.percent:g}% of the callers"
        hint = "set goal_percent to 0 and wait until it is done"
        return [Finding(f"{kind}/{name}.status.percent", problem, hint)]
    return [
        Finding(f"{other.kind}/{other.name}.{field}", f"still refers to {kind}/{name}")
        for other in store
        for field, target in _references(other.spec)
        if target == (kind, name)
    ]
