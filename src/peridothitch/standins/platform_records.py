"""Records and headers as the platform's operators, upstreams and callers write them."""

import json

__all__ = ["configuration", "host_record", "request_headers", "stream_headers"]


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
