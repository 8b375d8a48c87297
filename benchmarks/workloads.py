"""Requests of the two deployments, drawn from a seed."""

import dataclasses
import functools

import queueing
import xxhash

from peridothitch.policy import affinity
from peridothitch.policy import document as documents
from peridothitch.ports import upstream


@dataclasses.dataclass(frozen=True, kw_only=True)
class Deployment:
    """One deployment's shape."""

    name: str
    regions: dict
    replicas: int
    entry_hosts: int
    make_session: object
    on_demand_every: int = 6

    def hosts(self):
        """Return the hosts of the deployment."""
        centres = list(self.regions)
        for index in range(self.replicas):
            centre = centres[index % len(centres)]
            reclaimable = index % self.on_demand_every != 0
            price = 1.0 + 0.15 * centres.index(centre)
            yield upstream.Host(
                host_id=f"{centre}-{index}",
                address="",
                service="model",
                version="v1",
                data_centre=centre,
                region=self.regions[centre],
                machine_class="standard",
                reclaimable=reclaimable,
                price_per_hour=price if reclaimable else 2.6 * price,
            )

    def scaled(self, factor):
        """Return the deployment at a multiple of its size."""
        return dataclasses.replace(
            self,
            name=f"{self.name} x{factor}" if factor > 1 else self.name,
            replicas=self.replicas * factor,
            entry_hosts=self.entry_hosts * factor,
        )


def _fresh(source, tokens):
    count = int(tokens) // queueing.TOKENS_PER_BLOCK
    return tuple(source.getrandbits(64) for _ in range(count))


@functools.cache
def _shared(name, tokens):
    """Blocks that every request of a customer or parish starts with."""
    count = tokens // queueing.TOKENS_PER_BLOCK
    return tuple(xxhash.xxh3_64_intdigest(name.encode(), i) for i in range(count))


def _turns(source, arrival, prefix, plan):
    """Yield the requests of a conversation whose prompt grows by each turn."""
    blocks = prefix + _fresh(source, plan["context"](source))
    conversation_key = source.getrandbits(64)
    for turn in range(plan["turns"](source)):
        blocks += _fresh(source, plan["question"])
        output = int(min(1500, 1 + source.expovariate(1 / plan["output"])))
        yield queueing.Request(
            arrival=arrival,
            entry=source.randrange(1 << 20),
            prefix=affinity.Prefix(
                blocks=blocks,
                shared_count=len(prefix),
                shared_key=prefix[-1],
                conversation_key=conversation_key,
                continued=turn > 0,
            ),
            prompt_tokens=len(blocks) * queueing.TOKENS_PER_BLOCK + 40,
            output_tokens=output,
            priority=plan["priority"],
            deadline_seconds=plan["deadline"],
        )
        blocks += _fresh(source, output)
        arrival += output * 0.035 + source.expovariate(1 / plan["pause"])


_ASSISTANT = {
    "context": lambda source: source.uniform(300, 1500),
    "turns": lambda source: 1 + min(9, int(source.expovariate(1 / 3))),
    "question": 128,
    "output": 220,
    "pause": 12,
    "priority": documents.Priority.NORMAL,
    "deadline": 60.0,
}
_HEADLINE = {
    "context": lambda source: source.uniform(128, 400),
    "turns": lambda source: 1 + (source.random() < 0.4),
    "question": 0,
    "output": 60,
    "pause": 8,
    "priority": documents.Priority.URGENT,
    "deadline": 30.0,
}
_COMPOSITION = {
    "context": lambda source: source.uniform(1500, 4000),
    "turns": lambda source: 1 + min(5, int(source.expovariate(1 / 2))),
    "question": 256,
    "output": 700,
    "pause": 20,
    "priority": documents.Priority.BATCH,
    "deadline": 120.0,
}
_CUSTOMER_WEIGHTS = (50, 25, 10, 10, 5)
_PARISHES = 200


def lanark_session(source, arrival):
    customer = source.choices(range(5), _CUSTOMER_WEIGHTS)[0]
    yield from _turns(source, arrival, _shared(f"customer-{customer}", 768), _ASSISTANT)


def faelles_session(source, arrival):
    parish = int(_PARISHES * source.random() ** 2)
    plan = _HEADLINE if source.random() < 0.7 else _COMPOSITION
    yield from _turns(source, arrival, _shared(f"parish-{parish}", 1024), plan)


LANARK = Deployment(
    name="Lanark",
    regions={"lothian": "east", "fife": "east", "ayrshire": "west"},
    replicas=6,
    entry_hosts=7,
    make_session=lanark_session,
)
FAELLES = Deployment(
    name="Fælles",
    regions={"jylland": "west", "fyn": "west", "sjaelland": "east"},
    replicas=9,
    entry_hosts=7,
    make_session=faelles_session,
)


def draw(deployment, source, rate, seconds):
    """Return requests of about `rate` per second, in order of arrival."""
    mean_length = sum(
        len(list(deployment.make_session(source, 0.0))) for _ in range(2000)
    )
    session_rate = rate / (mean_length / 2000)
    requests = []
    # Sessions under way at the start are drawn as well.
    arrival = -60.0
    while arrival < seconds:
        arrival += source.expovariate(session_rate)
        requests.extend(deployment.make_session(source, arrival))
    found = [request for request in requests if 0.0 <= request.arrival < seconds]
    return sorted(found, key=lambda request: request.arrival)
