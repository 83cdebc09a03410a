"""Configurations for the cases."""

from world import HOST


def service(name, engine=None, connections=360):
    """Returns a service of a configuration."""
    made = {"name": name, "health_path": "/health",
            "connection_limit": connections, "protocol": "h1", "tls": False}
    return made | ({"engine": engine} if engine else {})


def engine():
    """Returns the engine of tanuru-book's model servers."""
    return {
        "slots": 64, "kv_cache_tokens": 232000, "kv_token_bytes": 327680,
        "link_mbps": 1100000.0, "moves": True, "backups": True, "stride": 5,
        "at_most": 12, "host_mb": 140000.0, "disk_mb": 400000.0,
        "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0,
        "models": [{
            "name": "daka510000", "weights_mb": 65100.0, "load_time_s": 1.9,
            "adapters": 3000, "adapter_mb": 12.0, "warm_s": 0.38,
            "disk_load_s": 0.76}],
        "weights_mb": 66600.0, "adapter_slots": 18, "loads_per_s": 4.4,
    }


def route(name, prefix, target, kind="safe", timeout_ms=1000, goal_ms=200,
          attempts=2, **further):
    """Returns a route of a configuration."""
    return {"name": name, "host": HOST, "prefix": prefix, "kind": kind,
            "timeout_ms": timeout_ms, "goal_ms": goal_ms, "priority": 0,
            "service": target, "attempts": attempts, "session_affinity": False,
            "resumable": False} | further


def document(version, routes, services):
    """Returns a whole configuration."""
    return {"version": version, "routes": routes, "services": services,
            "limits": {"header_bytes": 16384, "body_bytes": 4194304,
                       "header_ms": 3000, "idle_ms": 15000}}
