"""Reading of YAML documents into ``attrs`` classes, with errors that name the file and the key."""

from enum import Enum
from math import isfinite
from pathlib import Path
from typing import Any, TypeVar

from attrs import fields, has
from cattrs import ClassValidationError, Converter, ForbiddenExtraKeysError, IterableValidationError
from cattrs.gen import make_dict_structure_fn
from result import Err, Ok, Result
from yaml import YAMLError, safe_load

from cherrylane.errors import SettingsError
from cherrylane.fields import show

T = TypeVar("T")


def make_converter() -> Converter:
    """Return a converter that rejects unknown keys and coerces no value but an int to a float."""
    converter = Converter(forbid_extra_keys=True, detailed_validation=True)
    for expected_type in (str, bool, int):
        converter.register_structure_hook(expected_type, _make_exact_type_hook(expected_type))
    converter.register_structure_hook(float, _structure_float)
    converter.register_structure_hook_func(_is_enum, _structure_enum)
    converter.register_structure_hook_factory(
        has, lambda cls: make_dict_structure_fn(cls, converter, _cattrs_forbid_extra_keys=True)
    )
    return converter


def read_document(path: Path, cls: type[T]) -> Result[T, SettingsError]:
    """Read the YAML file at ``path`` into an instance of ``cls``.

    All problems in the file are reported in one error, each with its key, the value found and what
    is allowed.

    Example::

        match read_document(Path("host.yaml"), DaemonSettings):
            case Ok(settings): ...
            case Err(error): print(error)
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err(
            SettingsError(
                f"{path}: cannot be read ({error})", remedy="give the path of a readable UTF-8 file"
            )
        )
    return parse_document(text, cls, source=str(path))


def parse_document(text: str, cls: type[T], *, source: str) -> Result[T, SettingsError]:
    """Parse YAML ``text`` into an instance of ``cls``; ``source`` names the text in errors."""
    try:
        raw = safe_load(text)
    except YAMLError as error:
        return Err(
            SettingsError(f"{source}: not valid YAML ({error})", remedy="fix the YAML syntax")
        )
    return structure_document(raw, cls, source=source)


def structure_document(raw: Any, cls: type[T], *, source: str) -> Result[T, SettingsError]:
    """Convert parsed data to an instance of ``cls``; ``source`` names the data in errors."""
    if not isinstance(raw, dict):
        problem = f"{source}: found {_describe(raw)}, expected a mapping"
        return Err(SettingsError(problem, remedy=f"allowed keys: {_list_keys(cls)}"))
    try:
        return Ok(_CONVERTER.structure(raw, cls))
    except ClassValidationError as error:
        problems = list(_explain(error, path="", raw=raw))
        listing = "; ".join(f"{source}: {problem}" for problem in problems)
        return Err(SettingsError(listing, remedy="correct these keys and try again"))


def unstructure(value: Any) -> Any:
    """Return ``value`` as plain data that YAML and JSON can represent."""
    return _CONVERTER.unstructure(value)


def _make_exact_type_hook(expected_type: type) -> Any:
    def structure(value: Any, _: Any) -> Any:
        if type(value) is not expected_type:
            raise TypeError(f"found {_describe(value)}, expected {_TYPE_NAMES[expected_type]}")
        return value

    return structure


def _structure_float(value: Any, _: Any) -> float:
    if type(value) not in (int, float):
        raise TypeError(f"found {_describe(value)}, expected a number")
    if not isfinite(value):
        raise ValueError(f"found {_describe(value)}, expected a finite number")
    return float(value)


def _is_enum(cls: Any) -> bool:
    return isinstance(cls, type) and issubclass(cls, Enum)


def _structure_enum(value: Any, cls: type[Enum]) -> Enum:
    for member in cls:
        if member.value == value:
            return member
    allowed = ", ".join(str(member.value) for member in cls)
    raise ValueError(f"found {_describe(value)}, expected one of {allowed}")


def _describe(value: Any) -> str:
    if value is None:
        return "nothing"
    if isinstance(value, dict | list):
        return f"a {_TYPE_NAMES[type(value)].split(' ')[-1]}"
    return show(value)


def _list_keys(cls: type) -> str:
    return ", ".join(attribute.name for attribute in fields(cls))


def _explain(error: BaseException, *, path: str, raw: Any) -> list[str]:
    match error:
        case ClassValidationError() | IterableValidationError():
            return _explain_group(error, path=path, raw=raw)
        case ForbiddenExtraKeysError():
            unknown = ", ".join(sorted(str(key) for key in error.extra_fields))
            where = path or "the top level"
            return [f"{where}: unknown key {unknown}, allowed are {_list_keys(error.cl)}"]
        case KeyError():
            return [f"{path}: required key is missing"]
        case ValueError() | TypeError():
            return [f"{path or 'the top level'}: {_describe_error(error, raw)}"]
        case _:
            return [f"{path}: {error}"]


def _explain_group(
    group: ClassValidationError | IterableValidationError, *, path: str, raw: Any
) -> list[str]:
    problems: list[str] = []
    located, unlocated = group.group_exceptions()
    for error, note in located:
        key = note.name if hasattr(note, "name") else note.index
        child = _get_child(raw, key)
        problems += _explain(error, path=_join_path(path, str(key)), raw=child)
    for error in unlocated:
        problems += _explain(error, path=path, raw=raw)
    return problems


def _get_child(raw: Any, key: Any) -> Any:
    try:
        return raw[key]
    except (KeyError, IndexError, TypeError):
        return None


def _describe_error(error: BaseException, raw: Any) -> str:
    text = str(error.args[0]) if error.args else str(error)
    return text if text.startswith("found ") else f"found {_describe(raw)}, but {text}"


def _join_path(path: str, key: str) -> str:
    return f"{path}.{key}" if path else key


_TYPE_NAMES: dict[type, str] = {
    str: "a string",
    bool: "true or false",
    int: "an integer",
    dict: "a mapping",
    list: "a list",
}
_CONVERTER = make_converter()
