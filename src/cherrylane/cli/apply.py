"""``cherrylane apply``, ``plan``, ``rollback`` and ``withdraw``: configuration changes."""

from argparse import Namespace
from collections.abc import Callable
from pathlib import Path
from secrets import token_hex
from typing import Any

from attrs import define, field
from result import Err, Ok, Result
from yaml import YAMLError, safe_load

from cherrylane.cli.connection import open_store
from cherrylane.cli.differences import make_difference_table
from cherrylane.cli.output import Table, print_table
from cherrylane.configuration.documents import Base, Overlay
from cherrylane.configuration.store import ConfigurationStore, Generation
from cherrylane.errors import PlatformUnavailableError, SettingsError
from cherrylane.settings.documents import structure_document

APPLY_ID_BYTES = 8


@define
class ParsedDocuments:
    """The documents parsed from the files on the command line."""

    base: Base | None = None
    overlays: list[Overlay] = field(factory=list)


def apply_documents(arguments: Namespace) -> None:
    """Apply the documents in the given files as one new generation."""
    documents = read_documents(arguments.files)
    _apply_change(
        arguments,
        lambda store, apply_id: store.apply(documents.base, documents.overlays, apply_id=apply_id),
    )


def plan_documents(arguments: Namespace) -> None:
    """Show what applying the given files would change."""
    documents = read_documents(arguments.files)
    match open_store(arguments).plan(documents.base, documents.overlays):
        case Err(problem):
            raise problem
        case Ok(change):
            print_table(make_difference_table(change), arguments.output)


def roll_back(arguments: Namespace) -> None:
    """Restore the documents of a past generation as a new generation."""
    _apply_change(
        arguments,
        lambda store, apply_id: store.roll_back(arguments.generation, apply_id=apply_id),
    )


def withdraw_site(arguments: Namespace) -> None:
    """Remove a site from the configuration; all other sites keep their documents."""
    _apply_change(
        arguments, lambda store, apply_id: store.withdraw(arguments.site, apply_id=apply_id)
    )


def _apply_change(
    arguments: Namespace,
    change: Callable[[ConfigurationStore, str], Result[Generation, SettingsError]],
) -> None:
    apply_id = arguments.apply_id or token_hex(APPLY_ID_BYTES)
    try:
        accepted = change(open_store(arguments), apply_id)
    except PlatformUnavailableError as error:
        raise PlatformUnavailableError(
            f"{error.problem}; it is unknown whether the change took effect",
            remedy=f"repeat the command with --apply-id {apply_id}; it is not applied twice",
        ) from error
    match accepted:
        case Err(problem):
            raise problem
        case Ok(generation):
            row = (generation.number, generation.apply_id, sorted(generation.fragments))
            print_table(Table(("generation", "apply_id", "documents"), [row]), arguments.output)


def read_documents(paths: list[Path]) -> ParsedDocuments:
    """Read documents; a file with the key ``site`` is an overlay, any other is the base."""
    documents = ParsedDocuments()
    for path in paths:
        raw = _read_yaml(path)
        if "site" in raw:
            match structure_document(raw, Overlay, source=str(path)):
                case Ok(overlay):
                    documents.overlays.append(overlay)
                case Err(error):
                    raise error
            continue
        if documents.base is not None:
            raise SettingsError(
                f"{path}: more than one base file given", remedy="give at most one base file"
            )
        match structure_document(raw, Base, source=str(path)):
            case Ok(base):
                documents.base = base
            case Err(error):
                raise error
    return documents


def _read_yaml(path: Path) -> dict[str, Any]:
    try:
        raw = safe_load(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, YAMLError) as error:
        raise SettingsError(
            f"cannot read {path}: {error}", remedy="give a readable YAML file"
        ) from error
    if not isinstance(raw, dict):
        raise SettingsError(
            f"{path}: expected a mapping at the top level, found {type(raw).__name__}",
            remedy="see docs/OPERATIONS.md",
        )
    return raw
