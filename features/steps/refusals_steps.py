import behave
import processes

from peridothitch.gateway import embedded

GUARANTEE = "    refuses_before_running: true\n"
PAYMENT = {"amount": "5.00"}
KEY = "refused-payment"


def _start(context, text):
    context.system = embedded.EmbeddedSystem(text)
    context.system.start()
    context.add_cleanup(context.system.stop)


def _pay(context):
    return processes.send_request(
        f"127.0.0.1:{context.system.port}",
        "POST",
        "/payments",
        PAYMENT,
        header_by_name={"idempotency-key": KEY},
    )


def _set_fault(context, name, value):
    for service in context.system.service_by_id.values():
        setattr(service.faults, name, value)


@behave.given("an embedded system whose services give no guarantee about refusals")
def start_without_guarantee(context):
    _start(context, embedded.EXAMPLE_DOCUMENT.replace(GUARANTEE, ""))


@behave.given("an embedded system whose services refuse before they run")
def start_with_guarantee(context):
    assert GUARANTEE in embedded.EXAMPLE_DOCUMENT
    _start(context, embedded.EXAMPLE_DOCUMENT)


@behave.when("a payment is refused after it ran and sent again with the same key")
def refuse_after_running(context):
    _set_fault(context, "refuse_after_running", True)
    context.answers = [_pay(context)]
    _set_fault(context, "refuse_after_running", False)
    context.answers.append(_pay(context))


@behave.then('the caller receives code {code:d} and ran "{ran}"')
def check_refused(context, code, ran):
    problem = context.answers[0].json()
    assert (problem["code"], problem["ran"]) == (code, ran), problem
    assert context.answers[1].json().get("ran") == ran, context.answers[1]


@behave.when("a payment is refused before it ran and sent again once that is over")
def refuse_before_running(context):
    _set_fault(context, "refuse", True)
    context.answers = [_pay(context)]
    _set_fault(context, "refuse", False)
    context.answers.append(_pay(context))


@behave.then(
    'the caller first received code {code:d} and ran "{ran}" and then the answer'
)
def check_answered(context, code, ran):
    problem = context.answers[0].json()
    assert (problem["code"], problem["ran"]) == (code, ran), problem
    assert context.answers[1].status == 200, context.answers[1]


@behave.then("the payment ran once")
def check_ran_once(context):
    counts = [
        service.run_count(KEY) for service in context.system.service_by_id.values()
    ]
    assert sum(counts) == 1, counts
