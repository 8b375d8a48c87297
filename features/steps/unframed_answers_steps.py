"""Steps for answers that end with their connection."""

import behave


@behave.when('one replica\'s next stream is "{name}"')
def set_stream_of_one(context, name):
    context.faulty = context.bench.replica_by_id["model-a"]
    context.faulty.queue_behaviours(name)


@behave.then("the caller got the events 1 to {last:d} each time")
def check_streams(context, last):
    events = b"".join(
        b"id: %d\ndata: token %d\n\n" % (number, number)
        for number in range(1, last + 1)
    )
    for response in context.responses:
        assert response.status == 200 and response.complete, response
        assert response.body == events, response.body
