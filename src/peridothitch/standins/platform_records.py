"""Records and headers as the platform's operators, upstreams and callers write them."""

import json

__all__ = [
    "CONFIGURATION_KEY",
    "configuration",
    "customer",
    "host_key",
    "host_record",
    "request_headers",
    "stream_headers",
    "stream_route",
]

CONFIGURATION_KEY = "op/config"
"""Key of the record that operators write."""


def host_key(host_id):
    """Return the key of an upstream's record."""
    return f"servers/{host_id}"


def customer(name, key):
    """Return a customer with one key, as operators write it."""
    return {"name": name, "api_keys": [key]}


def stream_route(name, host_name, prefix, service):
    """Return a route for streams that may be resumed, as operators write it."""
    return {
        "name": name,
        "host": host_name,
        "prefix": prefix,
        "route_type": "streaming",
        "service": service,
        "max_attempts": 2,
        "stream_resume": True,
        "timeout_ms": 10000,
        "target_latency_ms": 500,
        "target_gap_ms": 300,
    }


def configuration(version, routes, services, tenants, **others):
    """Return the operators' record as bytes.

    Parameters
    ----------
    version : int
    routes, services, tenants : sequence of dict
    **others
        Further fields.
    """
    fields = {
        "version": version,
        "routes": list(routes),
        "services": list(services),
        "tenants": list(tenants),
    }
    return json.dumps(fields | others).encode()


def host_record(address, service, data_centre, **changes):
    """Return an upstream's record as bytes.

    Parameters
    ----------
    address : str
        IP number and port.
    service, data_centre : str
    **changes
        Fields that differ from those of a host that is ready.
    """
    fields = {
        "service": service,
        "address": address,
        "zone": data_centre,
        "version": "v1",
        "capacity": 8,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": 1,
        "born": 1,
    }
    return json.dumps(fields | changes).encode()


def request_headers(host_name, key, request_id):
    """Return the headers of a caller's request as a dict of name to value."""
    return {
        "Host": host_name,
        "Peridothitch-Attempt-Id": request_id,
        "X-Api-Key": key,
    }


def stream_headers():
    """Return the further headers of a request for a stream."""
    return {
        "Peridothitch-Model": "m",
        "Peridothitch-Token-Usage": "100,20",
        "Peridothitch-Prompt-Prefix": "a1:60,b2:40",
    }
