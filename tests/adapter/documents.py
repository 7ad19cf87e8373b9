"""Builders for the platform's documents."""

import copy

PORTS = {"front": 8548, "readiness": 8542, "control": 8544, "directory": 8546}


def settings(ip="10.1.0.34", edge=True, seeds=("10.1.0.37", "10.2.0.36", "10.3.0.17"), **own):
    """Return the settings document of one machine."""
    names = ("front", "readiness") if edge else ("control", "directory")
    kind = "edge" if edge else "core"
    return {
        "self": {
            "node_name": f"{kind}-{ip}",
            "role": "r",
            "machine_class": kind,
            "serves": ["edge"] if edge else ["control_plane", "directory"],
            "ip": ip,
            "zone": "col-a",
            "region": "colombo",
            "in_tolerance": not edge,
            "bootstrap": True,
            "data_dir": None if edge else "/data",
            "limits": {"cpu_share": 0.86, "memory_mb": 300},
        }
        | own,
        "network": {
            "listen": {name: f"{ip}:{PORTS[name]}" for name in names},
            "internal_port_range": [7540, 7555],
            "seeds": [f"{seed}:{PORTS['control']}" for seed in seeds],
            "zones": {"col-a": "colombo", "kdy-a": "kandy"},
        },
        "provider": {"discovery": "registration", "heartbeat": "1500ms"},
        "terms": {
            "contracts": ["base"],
            "fault_tolerance": {"machines": 2, "zones": 1, "regions": 1},
            "bounds": {
                "drain": "2000ms",
                "grace": "6s",
                "config_apply": "2000ms",
                "retry_budget_ratio": 0.2,
                "retry_budget_slack": 64,
                "budget_window": "10s",
                "ttl_max": "5s",
                "max_shift": 0.15,
                "cold_overage": 1.5,
                "cold_slack": 5,
                "something_new": "9s",
            },
        },
    }


def route(name="r-1", version=7, **spec):
    """Return a route entry."""
    fields = {
        "host": "jepu9.example",
        "path_prefix": "/lepu270/",
        "type": "safe",
        "timeout": "800ms",
        "target_latency": "300ms",
        "priority": 2,
        "service": "huvo11a",
        "max_attempts": 2,
        "session_affinity": True,
        "allowed_regions": [],
    } | spec
    return {
        "resource_type": "routes",
        "metadata": {"name": name, "version": version},
        "spec": {key: value for key, value in fields.items() if value is not None},
    }


def service(name="huvo11a", version=7):
    """Return a service entry."""
    spec = {
        "health_path": "/health",
        "max_connections": 390,
        "protocol": "h1",
        "tls": False,
        "cold_start": "3s",
        "cold_per_s": 9.0,
    }
    metadata = {"name": name, "version": version}
    return {"resource_type": "services", "metadata": metadata, "spec": spec}


LIMITS = {
    "resource_type": "limits",
    "metadata": {"version": 7},
    "spec": {
        "max_header_bytes": 16384,
        "max_body_bytes": 67108864,
        "header_timeout": "3000ms",
        "idle_timeout": "15000ms",
    },
}


def patch(*entries, remove=()):
    """Return a configuration patch."""
    removed = [{"name": name, "version": version} for name, version in remove]
    return {
        "upsert": {"resources": copy.deepcopy(list(entries))},
        "remove": {"routes": removed},
    }


def heartbeat(address="127.0.0.1:1", state="ready", sequence=1, **fields):
    """Return a worker's heartbeat."""
    return {
        "address": address,
        "info": {"service": "huvo11a", "version": "v1", "zone": "col-a", "slots": 6} | fields,
        "status": {"state": state, "sequence": sequence, "cold_remaining": "0ms"},
    }
