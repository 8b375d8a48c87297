import behave
import processes

from peridothitch.gateway import embedded

SERVICE = "    service: assistant\n"


def _ask(context, **fields):
    body = {"messages": [{"role": "user", "content": "Hello"}], **fields}
    context.answer = processes.send_request(
        f"127.0.0.1:{context.system.port}", "POST", "/v1/chat/completions", body
    )


@behave.given(
    "an embedded system whose chat route has a first-byte timeout of {seconds} seconds"
)
def start_with_timeout(context, seconds):
    with_timeout = f"{SERVICE}    first_byte_timeout: PT{seconds}S\n"
    assert SERVICE in embedded.EXAMPLE_DOCUMENT
    text = embedded.EXAMPLE_DOCUMENT.replace(SERVICE, with_timeout, 1)
    context.system = embedded.EmbeddedSystem(text)
    context.system.start()
    context.add_cleanup(context.system.stop)


@behave.when("a caller asks for an unstreamed answer of {count:d} tokens")
def ask_unstreamed(context, count):
    _ask(context, max_tokens=count)


@behave.when("a caller asks for an unstreamed answer without a token limit")
def ask_without_limit(context):
    _ask(context)


@behave.then("the unstreamed answer has {count:d} tokens")
def check_tokens(context, count):
    assert context.answer.status == 200, context.answer
    assert context.answer.json()["usage"]["completion_tokens"] == count
