"""``python -m gingerturn_demo brolga|coopcarga``."""

import pathlib

import click

from gingerturn_demo import scene, show


@click.command()
@click.argument("name", type=click.Choice(sorted(scene.SCENARIOS)))
@click.option(
    "--out",
    type=click.Path(path_type=pathlib.Path),
    default=pathlib.Path("out/demo"),
    show_default=True,
    help="Folder for logs, report and picture.",
)
def main(name: str, out: pathlib.Path) -> None:
    """Run a user's graph at reduced size through a surge and its recovery."""
    folder = out / name
    folder.mkdir(parents=True, exist_ok=True)
    outcome = scene.play(scene.SCENARIOS[name](), folder)
    picture = show.draw(outcome, folder / "report.svg")
    report = show.write(outcome, picture)
    (folder / "report.txt").write_text(report)
    click.echo(report)


if __name__ == "__main__":
    main()
