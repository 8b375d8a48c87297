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
    """Size, regions and workload of one deployment."""

    name: str
    regions: dict
    replicas: int
    entry_hosts: int
    make_session: object
    on_demand_every: int = 6

    def hosts(self):
        """Yield the hosts of the deployment."""
        data_centres = list(self.regions)
        for index in range(self.replicas):
            centre_name = data_centres[index % len(data_centres)]
            reclaimable = index % self.on_demand_every != 0
            price = 1.0 + 0.15 * data_centres.index(centre_name)
            yield upstream.Host(
                host_id=f"{centre_name}-{index}",
                address="",
                service="model",
                version="v1",
                data_centre=centre_name,
                region=self.regions[centre_name],
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


def _make_blocks(random_source, tokens):
    count = int(tokens) // queueing.TOKENS_PER_BLOCK
    return tuple(random_source.getrandbits(64) for _ in range(count))


@functools.cache
def _shared_blocks(name, tokens):
    """Return the prefix blocks that all requests of a customer or parish share."""
    count = tokens // queueing.TOKENS_PER_BLOCK
    return tuple(xxhash.xxh3_64_intdigest(name.encode(), i) for i in range(count))


def _make_requests(random_source, arrival, prefix, profile):
    """Yield the requests of a conversation whose prompt grows with each turn."""
    blocks = prefix + _make_blocks(random_source, profile["context"](random_source))
    conversation_key = random_source.getrandbits(64)
    for turn in range(profile["turns"](random_source)):
        blocks += _make_blocks(random_source, profile["question"])
        output = int(min(1500, 1 + random_source.expovariate(1 / profile["output"])))
        yield queueing.Request(
            arrival=arrival,
            entry=random_source.randrange(1 << 20),
            prefix=affinity.Prefix(
                blocks=blocks,
                shared_count=len(prefix),
                shared_key=prefix[-1],
                conversation_key=conversation_key,
                continued=turn > 0,
            ),
            prompt_tokens=len(blocks) * queueing.TOKENS_PER_BLOCK + 40,
            output_tokens=output,
            priority=profile["priority"],
            deadline_seconds=profile["deadline"],
        )
        blocks += _make_blocks(random_source, output)
        arrival += output * 0.035 + random_source.expovariate(1 / profile["pause"])


_ASSISTANT = {
    "context": lambda random_source: random_source.uniform(300, 1500),
    "turns": lambda random_source: 1 + min(9, int(random_source.expovariate(1 / 3))),
    "question": 128,
    "output": 220,
    "pause": 12,
    "priority": documents.Priority.NORMAL,
    "deadline": 60.0,
}
_HEADLINE = {
    "context": lambda random_source: random_source.uniform(128, 400),
    "turns": lambda random_source: 1 + (random_source.random() < 0.4),
    "question": 0,
    "output": 60,
    "pause": 8,
    "priority": documents.Priority.URGENT,
    "deadline": 30.0,
}
_COMPOSITION = {
    "context": lambda random_source: random_source.uniform(1500, 4000),
    "turns": lambda random_source: 1 + min(5, int(random_source.expovariate(1 / 2))),
    "question": 256,
    "output": 700,
    "pause": 20,
    "priority": documents.Priority.BATCH,
    "deadline": 120.0,
}
_CUSTOMER_WEIGHTS = (50, 25, 10, 10, 5)
_PARISH_COUNT = 200


def lanark_session(random_source, arrival):
    customer = random_source.choices(range(5), _CUSTOMER_WEIGHTS)[0]
    yield from _make_requests(
        random_source, arrival, _shared_blocks(f"customer-{customer}", 768), _ASSISTANT
    )


def faelles_session(random_source, arrival):
    parish = int(_PARISH_COUNT * random_source.random() ** 2)
    profile = _HEADLINE if random_source.random() < 0.7 else _COMPOSITION
    yield from _make_requests(
        random_source, arrival, _shared_blocks(f"parish-{parish}", 1024), profile
    )


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


def draw(deployment, random_source, rate, seconds):
    """Return requests of about `rate` per second, in order of arrival."""
    mean_length = sum(
        len(list(deployment.make_session(random_source, 0.0))) for _ in range(2000)
    )
    session_rate = rate / (mean_length / 2000)
    requests = []
    # Sessions that started up to 60 s earlier are in progress at the start.
    arrival = -60.0
    while arrival < seconds:
        arrival += random_source.expovariate(session_rate)
        requests.extend(deployment.make_session(random_source, arrival))
    in_window = [request for request in requests if 0.0 <= request.arrival < seconds]
    return sorted(in_window, key=lambda request: request.arrival)
