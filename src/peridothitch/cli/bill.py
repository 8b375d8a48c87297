"""``peridothitch bill``: what the system costs, by customer, route and cause."""

import datetime
import json

import click

from peridothitch.adapters import (
    etcd_store,
    http_transport,
    system_clock,
    yaml_codec,
)
from peridothitch.cli import output, settings
from peridothitch.coordination import documents, local_budgets, slice_ledger, usage
from peridothitch.policy import bill as bills
from peridothitch.policy import spending
from peridothitch.ports import upstream

__all__ = ["bill"]

_LEDGER_HOLDER = "bill"


@click.command(cls=settings.SettingsCommand)
@click.option(
    "--store",
    required=True,
    type=settings.ADDRESS,
    help="IP number and port of the key-value service.",
)
@click.option(
    "--host-list",
    type=settings.ADDRESS,
    default=None,
    help="IP number and port of the platform's host list.  [default: none, no "
    "price of hosts]",
)
@click.option("--day", default="", help="Day in UTC as YYYY-MM-DD.  [default: today]")
@output.option
def bill(store, host_list, day, output):
    """Print usage, forecasts against the limits and the price of the hosts."""
    now = system_clock.SystemClock().now()
    report = _make_bill(
        etcd_store.EtcdStore(store), host_list or "", _parse_day(day, now), now
    )
    if output.as_json:
        click.echo(json.dumps(_to_json_fields(report), indent=2))
        return
    _print_text(report)


def _parse_day(text, now):
    if not text:
        return now.date()
    try:
        return datetime.date.fromisoformat(text)
    except ValueError as error:
        raise click.BadParameter(str(error), param_hint="--day") from None


def _make_bill(service, host_list, day, now):
    usage_by_key = usage.read_usage(service, day)
    document = documents.DocumentStore(service, yaml_codec.YamlCodec()).load().document
    price = _price_per_hour(host_list)
    return bills.Bill(
        usage_by_key=usage_by_key,
        forecast_by_limit=_forecast(service, document, now),
        host_cost_per_hour=price,
        host_cost_per_hour_by_customer=bills.share_host_cost(price, usage_by_key),
    )


def _forecast(service, document, now):
    ledger = slice_ledger.SliceLedger(service, _LEDGER_HOLDER)
    forecast_by_limit = {}
    for name, limit in document.limit_by_name.items():
        period = spending.find_period(now, limit.period)
        allotment = local_budgets.Allotment(
            limit_name=name,
            start=period.start,
            end=period.end,
            limit_micros=spending.to_micros(limit.amount),
            revision=document.revision,
        )
        budget = slice_ledger.Budget(
            name=local_budgets.budget_name(allotment), limit_micros=0
        )
        granted = ledger.granted(budget)
        forecast_by_limit[name] = bills.forecast_limit(name, limit, granted, now)
    return forecast_by_limit


def _price_per_hour(address):
    if not address:
        return 0.0
    hosts = http_transport.HttpHostList(address).read().values()
    return sum(
        host.price_per_hour for host in hosts if host.state is upstream.HostState.LIVE
    )


def _to_json_fields(report):
    return {
        "usage": [
            {
                "customer": key.customer,
                "route": key.route,
                "cause": key.cause,
                "requests": amount.request_count,
                "tokens": amount.token_count,
                "micros": amount.micros,
            }
            for key, amount in sorted(report.usage_by_key.items())
        ],
        "limits": [
            {
                "limit": name,
                "customer": forecast.customer,
                "limit_micros": forecast.limit_micros,
                "granted_micros": forecast.spent_micros,
                "forecast_micros": forecast.forecast_micros,
                "reached_at": _format_time(forecast.reached_at),
                "ends": _format_time(forecast.ends),
                "alert": forecast.alert.value,
            }
            for name, forecast in report.forecast_by_limit.items()
        ],
        "hosts": {
            "price_per_hour": report.host_cost_per_hour,
            "price_per_hour_by_customer": report.host_cost_per_hour_by_customer,
        },
    }


def _format_time(moment):
    return moment.isoformat() if moment is not None else None


def _print_text(report):
    click.echo("customer route cause requests tokens micros")
    for key, amount in sorted(report.usage_by_key.items()):
        click.echo(
            f"{key.customer} {key.route} {key.cause} {amount.request_count} "
            f"{amount.token_count} {amount.micros}"
        )
    for name, forecast in report.forecast_by_limit.items():
        click.echo(
            f"limit {name}: {forecast.spent_micros} of {forecast.limit_micros} micros "
            f"granted, forecast {forecast.forecast_micros}, alert: "
            f"{forecast.alert.value}"
        )
    click.echo(f"hosts: {report.host_cost_per_hour:.4f} an hour")
