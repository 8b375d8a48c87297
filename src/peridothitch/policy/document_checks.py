"""Finds the faults of a document that its schema can't express."""

from peridothitch import errors

__all__ = ["find_faults", "find_reference_faults"]


def _fault(path, detail):
    return errors.DocumentError(errors.Code.DOCUMENT_REFERENCE, detail, path)


def find_reference_faults(document):
    """Yield a `DocumentError` for each name that is used but not defined.

    Parameters
    ----------
    document : peridothitch.policy.document.Document
    """
    services = document.service_by_name
    for name, route in document.route_by_name.items():
        if route.service not in services:
            yield _undefined(f"routes/{name}/service", "service", route.service)
    for name, service in services.items():
        if service.current not in service.versions:
            yield _undefined(f"versions/{name}/current", "version", service.current)
    for name, limit in document.limit_by_name.items():
        if limit.customer not in document.customer_by_name:
            yield _undefined(f"spending/{name}/customer", "customer", limit.customer)
    for name, limit in document.host_limit_by_name.items():
        if limit.service not in services:
            yield _undefined(f"hosts/{name}/service", "service", limit.service)
    for name, move in document.move_by_name.items():
        service = services.get(move.service)
        if service is None:
            yield _undefined(f"moves/{name}/service", "service", move.service)
        elif move.to_version not in service.versions:
            yield _undefined(f"moves/{name}/to_version", "version", move.to_version)


def _undefined(path, kind, name):
    return _fault(path, f"{kind} {name!r} is undefined")


def find_faults(document, sections):
    """Yield a `DocumentError` for each fault.

    Parameters
    ----------
    document : peridothitch.policy.document.Document
    sections : sequence of str
        Names of a document's sections.
    """
    yield from find_reference_faults(document)
    for section in document.owner_by_section:
        if section not in sections:
            yield _fault(f"owners/{section}", f"section {section!r} is undefined")
    yield from _find_duplicate_routes(document)
    yield from _find_duplicate_keys(document)
    for name, limit in document.host_limit_by_name.items():
        if limit.streams_per_host <= 0.0:
            yield _fault(f"hosts/{name}/streams_per_host", "it is not positive")
    for name, move in document.move_by_name.items():
        if move.finish_by <= move.start:
            yield _fault(f"moves/{name}/finish_by", "finish_by is not after start")


def _find_duplicate_routes(document):
    name_by_target = {}
    for name, route in document.route_by_name.items():
        first = name_by_target.setdefault((route.method, route.path), name)
        if first != name:
            yield _fault(f"routes/{name}", f"method and path are those of {first!r}")


def _find_duplicate_keys(document):
    name_by_digest = {}
    for name, customer in document.customer_by_name.items():
        for digest in customer.key_sha256:
            first = name_by_digest.setdefault(digest, name)
            if first != name:
                yield _fault(
                    f"customers/{name}/key_sha256",
                    f"a key is {first!r}'s",
                )
