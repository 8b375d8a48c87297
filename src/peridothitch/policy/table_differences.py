"""What differs between two versions of the forwarding rules."""

import dataclasses
import enum

__all__ = ["Change", "Difference", "find_differences"]


class Change(enum.Enum):
    """What happened to an entry."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclasses.dataclass(frozen=True)
class Difference:
    """An entry that differs.

    Attributes
    ----------
    path : str
        Section and name.
    change : Change
    fields : tuple of (str, str, str)
        Name, former and new value of each field that has changed.
    """

    path: str
    change: Change
    fields: tuple = ()

    def __str__(self):
        values = [f"{name} {old} -> {new}" for name, old, new in self.fields]
        return ": ".join(
            filter(None, (self.path, self.change.value, ", ".join(values)))
        )


def find_differences(old, new):
    """Yield a `Difference` for each entry of two tables that differs.

    Customers' keys are counted, never shown.

    Parameters
    ----------
    old, new : peridothitch.ports.forwarding.RoutingTable
    """
    yield from _compare("routes", _routes(old), _routes(new))
    yield from _compare("services", old.service_by_name, new.service_by_name)
    yield from _compare_customers(old, new)
    yield from _compare("limits", {"": old.limits}, {"": new.limits})


def _routes(table):
    return {route.name: route for route in table.routes}


def _compare(section, old_by_name, new_by_name):
    for name in sorted(old_by_name.keys() | new_by_name.keys()):
        path = f"{section}/{name}".rstrip("/")
        old, new = old_by_name.get(name), new_by_name.get(name)
        if old is None:
            yield Difference(path, Change.ADDED)
        elif new is None:
            yield Difference(path, Change.REMOVED)
        elif old != new:
            yield Difference(path, Change.CHANGED, tuple(_changed_fields(old, new)))


def _changed_fields(old, new):
    for field in dataclasses.fields(new):
        before, after = getattr(old, field.name), getattr(new, field.name)
        if before != after:
            yield field.name, str(before), str(after)


def _compare_customers(old, new):
    keys_by_name = [_keys_by_name(table) for table in (old, new)]
    customers = [
        {customer.name: customer for customer in table.customer_by_key.values()}
        for table in (old, new)
    ]
    yield from _compare("customers", *customers)
    for name in sorted(customers[0].keys() & customers[1].keys()):
        before, after = (keys[name] for keys in keys_by_name)
        if before != after:
            added, removed = len(after - before), len(before - after)
            keys = ("keys", str(len(before)), f"{len(after)} (+{added}, -{removed})")
            yield Difference(f"customers/{name}", Change.CHANGED, (keys,))


def _keys_by_name(table):
    keys_by_name = {}
    for key, customer in table.customer_by_key.items():
        keys_by_name.setdefault(customer.name, set()).add(key)
    return keys_by_name
