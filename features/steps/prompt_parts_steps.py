"""Steps for prompt parts that crash upstreams."""

import json
import time

import behave

_SETTLING_SECONDS = 1.0
"""Time from a crash until an entry host has weighed it."""

_REFUSED_CODE = 1017


@behave.given('{count:d} more replicas of "{service}"')
def add_replicas(context, count, service):
    for number in range(count):
        context.bench.add_replica(f"{service}-{number}", service)


@behave.given(
    'each replica crashes when it begins an answer on the prompt part "{part}"'
)
def set_deadly_part(context, part):
    for replica in context.bench.replica_by_id.values():
        replica.deadly_parts = frozenset({part})


def _send(context, parts, number):
    prompt = ",".join(f"{part}:20" for part in (*parts, f"own{number}"))
    return context.bench.request(f"/helper/{number}", Peridothitch_Prompt_Prefix=prompt)


def _crash_count(context):
    return sum(
        not replica.is_listening for replica in context.bench.replica_by_id.values()
    )


@behave.when(
    'callers send different prompts with the part "{part}" until it is refused'
)
def send_until_refused(context, part):
    for number in range(len(context.bench.replica_by_id)):
        sound = _send(context, ("system",), f"sound-{number}")
        assert sound.status == 200, sound
        response = _send(context, ("system", part), number)
        if response.status == 503:
            assert json.loads(response.body)["code"] == _REFUSED_CODE, response
            return
        time.sleep(_SETTLING_SECONDS)
    raise AssertionError(f"never refused; {_crash_count(context)} replicas crashed")


@behave.then("at most {count:d} replicas have crashed")
def check_crashes(context, count):
    assert _crash_count(context) <= count, _crash_count(context)


@behave.then("a prompt with the same first part is answered")
def check_sound(context):
    response = _send(context, ("system",), "sound")
    assert response.status == 200, response
