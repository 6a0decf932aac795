"""The ``gingerturn`` command."""

import difflib
import pathlib
import sys
import typing

import click
import msgspec

import gingerturn
from gingerturn import configuration, errors, explain, metrics_text, settings
from gingerturn.internal import decoding, launch

if typing.TYPE_CHECKING:
    import httpx

EXIT_USAGE = 2
EXIT_REFUSED = 4
EXIT_UNKNOWN = 5
EXIT_UNREACHABLE = 6
ADMIN_TIMEOUT_S = 20.0
MAX_CAUSES = 3
"""Rules shown for each zone and kind by `gingerturn served`."""

_ADMIN = click.option(
    "--admin",
    default="http://127.0.0.1:8102",
    envvar="GINGERTURN_ADMIN",
    show_default=True,
    show_envvar=True,
    help="Address of a node's administration API.",
)
_METRICS = click.option(
    "--metrics",
    "sources",
    multiple=True,
    required=True,
    metavar="URL|FILE",
    help="Read this metrics address or saved metrics page; may be repeated.",
)
_JSON = click.option("--json", "as_json", is_flag=True, help="Print JSON.")


class _Problem(msgspec.Struct):
    """An RFC 9457 problem."""

    title: str = ""


_decode_reply = decoding.json_decoder(typing.cast(type[typing.Any], typing.Any))
_decode_problem = decoding.json_decoder(_Problem)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(gingerturn.__version__, prog_name="gingerturn")
def cli() -> None:
    """Overload control for deep service call graphs.

    Exit status: 0 success; 1 unexpected error; 2 wrong usage or an invalid file;
    3 calls in flight were cut at shutdown; 4 refused; 5 outcome unknown; 6 the node
    cannot be reached; 7 a node did not start because an address is in use.
    """


@cli.command()
@click.option(
    "--settings",
    "path",
    required=True,
    type=click.Path(path_type=pathlib.Path),
    help="The node's settings file (TOML).",
)
@click.option(
    "--record",
    type=click.File("wb"),
    help="Record every event to this file, for `gingerturn replay`.",
)
def node(path: pathlib.Path, record: typing.BinaryIO | None) -> None:
    """Run a node beside a backend server."""
    launch.begin(json=False)
    # Imported lazily: the other commands do not need these libraries.
    from gingerturn.internal import logs
    from gingerturn.internal.shell import (
        daemon,
        node as nodes,
        process,
        process_end,
        starting,
    )

    source = daemon.Source(path, settings.load)
    logs.set_up(settings.Logging(), node="")
    loaded = starting.load_when_complete(source.load)
    logs.set_up(loaded.logging, node=loaded.node.id)

    async def run() -> int:
        return await daemon.run(nodes.Node(loaded, record=record), source)

    status = process.run_loop(run())
    if record is not None:
        record.close()
    process_end.leave(status)


@cli.command()
@click.argument("trace_file", type=click.File("rb"))
@click.option("--effects", "show", is_flag=True, help="Print each event and effect.")
@_JSON
def replay(trace_file: typing.BinaryIO, show: bool, as_json: bool) -> None:
    """Replay a recorded trace and print the digest of its effects."""
    from gingerturn.internal.core import trace

    replayed = list(trace.replay(trace.read(trace_file)))
    if as_json:
        _echo_json({"events": len(replayed), "digest": trace.digest(replayed)})
        return
    if show:
        for event, out in replayed:
            click.echo(f"{event}")
            for effect in out:
                click.echo(f"    {effect}")
    click.echo(f"{len(replayed)} events, digest {trace.digest(replayed)}")


@cli.group()
def config() -> None:
    """Check, compare and publish the configuration."""


@config.command()
@click.argument(
    "files", nargs=-1, required=True, type=click.Path(path_type=pathlib.Path)
)
@_JSON
def check(files: tuple[pathlib.Path, ...], as_json: bool) -> None:
    """Validate documents, each alone and all together."""
    documents = {str(path): _read(path) for path in files}
    checked = configuration.Configuration(documents)
    if as_json:
        kinds = [rule.name for rule in checked.kinds()]
        _echo_json(
            {"services": checked.services, "kinds": kinds, "digest": checked.digest}
        )
        return
    click.echo(
        f"{len(files)} documents, {len(checked.services)} services,"
        f" {len(checked.kinds())} kinds: accepted. Digest {checked.digest}."
    )


@config.command()
@click.argument("team")
@click.argument("file", type=click.Path(path_type=pathlib.Path))
@_ADMIN
@_JSON
def diff(team: str, file: pathlib.Path, admin: str, as_json: bool) -> None:
    """Compare a file with the document of the team in force."""
    view = _get(admin, "/config")
    current = view["documents"].get(team, "")
    changed = view["changed"].get(team, 0)
    lines = list(
        difflib.unified_diff(
            current.splitlines(),
            _read(file).splitlines(),
            f"{team} at revision {changed}",
            str(file),
            lineterm="",
        )
    )
    if as_json:
        _echo_json({"team": team, "changed": changed, "diff": lines})
        return
    for line in lines:
        click.echo(line)


@config.command()
@click.argument("team")
@click.argument("file", type=click.Path(path_type=pathlib.Path))
@click.option(
    "--author", required=True, help="Author of the change, for the audit trail."
)
@click.option(
    "--base",
    type=int,
    help="Revision of the document that the change is based on; default: the current.",
)
@click.option("--token", envvar="GINGERTURN_TOKEN", default="", help="Team's token.")
@_ADMIN
@_JSON
def publish(
    team: str,
    file: pathlib.Path,
    author: str,
    base: int | None,
    token: str,
    admin: str,
    as_json: bool,
) -> None:
    """Publish the document of a team, which replaces the present one."""
    text = _read(file)
    configuration.parse(text, str(file))
    if base is None:
        base = _get(admin, "/config")["changed"].get(team, 0)
    body = {"author": author, "base": base, "text": text}
    headers = {"authorization": f"Bearer {token}"} if token else {}
    result = _request(admin, "POST", f"/config/{team}", json=body, headers=headers)
    if as_json:
        _echo_json(result)
    elif result["accepted"]:
        click.echo(f"Accepted as revision {result['revision']}.")
    else:
        outcome = "Refused" if result["accepted"] is False else "Outcome unknown"
        click.echo(f"{outcome}: {result['problem']}", err=True)
    if result["accepted"] is None:
        sys.exit(EXIT_UNKNOWN)
    if not result["accepted"]:
        sys.exit(EXIT_REFUSED)


@config.command()
@click.argument("team", required=False)
@_ADMIN
@_JSON
def show(team: str | None, admin: str, as_json: bool) -> None:
    """Show the configuration in force."""
    view = _get(admin, "/config")
    if as_json:
        _echo_json(view)
        return
    click.echo(f"# revision {view['revision']}, digest {view['digest']}")
    for name, text in sorted(view["documents"].items()):
        if team in {None, name}:
            click.echo(f"# team {name}, changed at {view['changed'][name]}\n{text}")


@config.command()
@_ADMIN
@_JSON
def history(admin: str, as_json: bool) -> None:
    """Show the publications whose outcome the node knows."""
    _echo_trail(_get(admin, "/config/history"), as_json)


@cli.command()
@click.argument("decision_id", metavar="ID")
@click.option(
    "--log",
    "logs",
    multiple=True,
    type=click.File("rb"),
    help="Search this log file instead of querying a node; may be repeated.",
)
@_ADMIN
@_JSON
def why(
    decision_id: str, logs: tuple[typing.BinaryIO, ...], admin: str, as_json: bool
) -> None:
    """Explain a decision; any node can be queried.

    With --log: explain the outcome of a request from log files, by the id of the
    request or of a decision.
    """
    if logs:
        _explain(decision_id, logs, as_json)
        return
    found = _get(admin, f"/why/{decision_id}")
    if as_json:
        _echo_json(found)
        return
    click.echo(found["words"])
    click.echo(f"  rule      {found['rule']}")
    click.echo(f"  kind      {found['kind']}")
    click.echo(f"  rank      {found['rank']}")
    click.echo(f"  request   {found['root']}")
    click.echo(f"  revision  {found['revision']}")
    for name, value in found["figures"].items():
        click.echo(f"  {name}: {value:g}")


@cli.command()
@click.option("--team", default="", help="Only changes of this team.")
@_ADMIN
@_JSON
def audit(team: str, admin: str, as_json: bool) -> None:
    """Show the audit trail."""
    _echo_trail(_get(admin, "/audit", params={"team": team}), as_json)


@cli.group()
def quarantine() -> None:
    """Requests in quarantine because backend servers crashed while running them."""


@quarantine.command("show")
@_ADMIN
@_JSON
def show_quarantine(admin: str, as_json: bool) -> None:
    """Show the requests that a node has in quarantine."""
    found = _get(admin, "/quarantine")
    if as_json:
        _echo_json(found)
        return
    for row in found:
        click.echo(
            f"{row['request']}: {row['ends']} backend servers crashed, the last"
            f" {row['last_end_s']:.0f} s ago; next trial in {row['trial_in_s']:.0f} s"
        )


@quarantine.command("clear")
@click.argument("request")
@click.option(
    "--author", required=True, help="Author of the change, for the audit trail."
)
@_ADMIN
def clear_quarantine(request: str, author: str, admin: str) -> None:
    """Release a request from quarantine, at all nodes."""
    path = f"/quarantine/{request}"
    _send("DELETE", admin.rstrip("/") + path, params={"author": author})
    click.echo(f"{request} may run again")


@cli.command()
@click.option(
    "--metrics",
    "sources",
    multiple=True,
    metavar="URL|FILE",
    help="Read this metrics address or saved metrics page; may be repeated.",
)
@_ADMIN
@_JSON
def status(sources: tuple[str, ...], admin: str, as_json: bool) -> None:
    """Show a node, its backend server and the members that it knows.

    With --metrics: show a summary of the metrics of nodes that serve no administration
    API.
    """
    if sources:
        _show_metrics(sources, as_json)
        return
    found = _get(admin, "/status")
    if as_json:
        _echo_json(found)
        return
    backend = found["backend"]
    click.echo(
        f"{found['node']} in {found['zone']}, revision {found['revision']},"
        f" {found['calls']} calls, {found['hosted']} hosted"
    )
    click.echo(
        f"backend {backend['service'] or '-'}: {backend['running']} running,"
        f" {backend['queued']} queued, limit {backend['limit']:.0f} of"
        f" {backend['slots']}, level: {backend['level_words']}"
    )
    for row in found["members"]:
        click.echo(
            f"  {row['node']:<20} {row['state']:<8} {row['zone']:<12}"
            f" {row['service'] or '-':<14} {row['slots']:>5} slots"
        )


@cli.command()
@_METRICS
@_JSON
def workspaces(sources: tuple[str, ...], as_json: bool) -> None:
    """Show the requests of workspaces at some nodes in total, those refused by caps,
    and those shed while their workspace used more than its share of a service."""
    found = metrics_text.workspaces(_metrics_pages(sources))
    if as_json:
        _echo_json(msgspec.to_builtins(found))
        return
    head = f"{'workspace':<24} {'passed':>10} {'refused':>10} {'cap a second':>13}"
    has_unanswered = any(use.unanswered for use in found)
    if has_unanswered:
        head += f" {'unanswered':>10}"
    has_shares = any(use.shed_for_share or use.factor for use in found)
    if has_shares:
        head += f" {'shed for share':>15} {'factor':>7}"
    click.echo(head)
    for use in found:
        cap = f"{use.cap:g}" if use.cap else "-"
        row = f"{use.workspace:<24} {use.passed:>10.0f} {use.refused:>10.0f} {cap:>13}"
        if has_unanswered:
            row += f" {use.unanswered:>10.0f}"
        if has_shares:
            factor = f"{use.factor:.1f}" if use.factor else "-"
            row += f" {use.shed_for_share:>15.0f} {factor:>7}"
        click.echo(row)


@cli.command()
@_METRICS
@click.option(
    "--since",
    "earlier",
    multiple=True,
    metavar="FILE",
    help="Count from this saved metrics page of one of the nodes; may be repeated.",
)
@_JSON
def served(sources: tuple[str, ...], earlier: tuple[str, ...], as_json: bool) -> None:
    """Show which share of the calls was answered, by availability zone and by kind,
    and by which rules the others were refused or failed."""
    found = metrics_text.served(_metrics_pages(sources), _metrics_pages(earlier))
    if as_json:
        _echo_json(msgspec.to_builtins(found))
        return
    click.echo(f"{'zone':<12} {'kind':<24} {'calls':>10} {'answered':>9}  causes")
    for row in found:
        causes = list(row.causes.items())[:MAX_CAUSES]
        text = ", ".join(f"{rule} {number:.0f}" for rule, number in causes)
        kind = row.kind or "(all)"
        click.echo(
            f"{row.zone or '-':<12} {kind:<24} {row.ended:>10.0f} {row.share:>9.3f}"
            f"  {text}".rstrip()
        )


def _metrics_pages(sources: tuple[str, ...]) -> list[metrics_text.NodeMetrics]:
    return [
        metrics_text.parse(_read_metrics(source), origin=source) for source in sources
    ]


def _show_metrics(sources: tuple[str, ...], as_json: bool) -> None:
    found = {
        source: metrics_text.parse(_read_metrics(source), origin=source)
        for source in sources
    }
    if as_json:
        _echo_json(msgspec.to_builtins(found))
        return
    for source, metrics in found.items():
        click.echo(source)
        for line in metrics_text.summary(metrics):
            click.echo(f"  {line}")


def _read_metrics(source: str) -> str:
    """Return a metrics page from a URL or a file."""
    if not source.startswith(("http://", "https://")):
        return _read(pathlib.Path(source))
    return _send("GET", source).text


def main() -> None:
    """Run the command; errors are printed as one line."""
    try:
        cli()
    except errors.GingerturnError as error:
        click.echo(f"gingerturn: {error}", err=True)
        sys.exit(EXIT_USAGE)


def _read(path: pathlib.Path) -> str:
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.InvalidArgument(
            f"cannot be read: {error}", peer=str(path)
        ) from None


def _get(admin: str, path: str, **options: typing.Any) -> typing.Any:
    return _request(admin, "GET", path, **options)


def _request(admin: str, method: str, path: str, **options: typing.Any) -> typing.Any:
    hint = "is the node running, and is --admin its admin_port?"
    url = admin.rstrip("/") + path
    reply = _send(method, url, hint=hint, **options)
    try:
        return _decode_reply(reply.content)
    except errors.DecodeError as error:
        click.echo(f"gingerturn: the answer of {url} is no JSON: {error}", err=True)
        sys.exit(EXIT_UNREACHABLE)


def _send(
    method: str,
    url: str,
    *,
    hint: str = "is the node running?",
    **options: typing.Any,
) -> "httpx.Response":
    """Send a request; exit with a message if it fails."""
    # Imported lazily: it takes 9 MB, and `gingerturn node` does not need it.
    import httpx

    try:
        with httpx.Client(timeout=ADMIN_TIMEOUT_S, trust_env=False) as client:
            reply = client.request(method, url, **options)
    except httpx.HTTPError as error:
        click.echo(f"gingerturn: {url} cannot be reached ({error}); {hint}", err=True)
        sys.exit(EXIT_UNREACHABLE)
    if reply.status_code >= 400:
        try:
            title = _decode_problem(reply.content).title or reply.text
        except errors.DecodeError:
            title = reply.text
        click.echo(f"gingerturn: {title}", err=True)
        sys.exit(EXIT_REFUSED)
    return reply


def _explain(wanted: str, logs: tuple[typing.BinaryIO, ...], as_json: bool) -> None:
    explanation = explain.explain(explain.read(logs), wanted)
    if as_json:
        _echo_json(explanation)
        return
    for line in explanation.lines:
        figures = ", ".join(f"{name} {value:g}" for name, value in line.figures.items())
        status = f" status {line.status}" if line.status else ""
        version = f", version {line.version}" if line.version else ""
        click.echo(
            f"{line.time} {line.node} {line.part} {line.request} {line.rule}{status}"
            f" after {line.waited_ms:g} ms{version}"
            + (f" ({figures})" if figures else _connection_text(line))
        )
    if explanation.end is None:
        click.echo("No line has its outcome.")
    elif explanation.cause is None:
        click.echo(f"Response status {explanation.end.status}.")
    if explanation.cause is not None:
        cause = explanation.cause
        click.echo(f"Cause: {cause.text} At {cause.node}, for {cause.request}.")


def _connection_text(line: explain.Line) -> str:
    if not line.connection:
        return ""
    return (
        f" (connection {line.connection}, exchange {line.exchange},"
        f" answer to {line.answer_id!r})"
    )


def _echo_trail(rows: typing.Any, as_json: bool) -> None:
    """Print entries of the audit trail, one a line."""
    if as_json:
        _echo_json(rows)
        return
    for row in rows:
        click.echo(_audit_line(row))


def _audit_line(row: dict[str, typing.Any]) -> str:
    return (
        f"{row['at']:.0f} {row['who']} {row['what']} {row['subject']}:"
        f" {row['outcome']}, base {row['base']}, revision {row['revision']}"
    )


def _echo_json(value: typing.Any) -> None:
    content = msgspec.json.encode(value)
    click.echo(msgspec.json.format(content, indent=2).decode())


if __name__ == "__main__":
    main()
