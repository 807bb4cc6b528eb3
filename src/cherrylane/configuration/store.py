"""Storage of configuration generations in the platform's object store.

An apply first writes each document as an immutable fragment named by the hash of its content. If
it is interrupted there, the configuration in force is unaffected. A conditional update of the
object ``current``, which references the fragments, then activates them atomically: a generation is
accepted as a whole or not at all.
"""

from collections.abc import Callable
from hashlib import sha256
from json import dumps
from typing import Any

from attrs import field, frozen
from result import Err, Ok, Result

from cherrylane.configuration.documents import Base, Overlay
from cherrylane.configuration.merging import FleetConfiguration, merge_documents
from cherrylane.errors import ConflictError, ObjectNotFoundError, SettingsError
from cherrylane.platform.client import PlatformClient
from cherrylane.platform.objects import Kind, PlatformObject
from cherrylane.settings.documents import structure_document, unstructure

CURRENT_GENERATION = "current"
# Number of past generations that are retained for rollback; each takes about 200 bytes.
HISTORY_LENGTH = 50
FRAGMENT_NAME_LENGTH = 32
BASE_KEY = "base"


# Unstructured documents as stored in fragments, keyed by ``base`` or the name of the site.
RawDocuments = dict[str, dict[str, Any]]


@frozen
class ConfigurationChange:
    """The documents before and after a change of the configuration."""

    before: RawDocuments
    after: RawDocuments


@frozen
class PastGeneration:
    """A generation that can be rolled back to."""

    number: int
    apply_id: str
    fragments: dict[str, str] = field(factory=dict)


@frozen
class Generation:
    """A version of the fleet configuration, which references the fragments it consists of.

    ``fragments`` maps ``base`` and the name of each site to the name of a fragment. ``history``
    holds the preceding generations, newest last.
    """

    number: int
    apply_id: str
    fragments: dict[str, str] = field(factory=dict)
    history: list[PastGeneration] = field(factory=list)

    def list_retained(self) -> list[PastGeneration]:
        """Return the retained generations, oldest first, ending with this one."""
        if not self.number:
            return []
        return [*self.history, PastGeneration(self.number, self.apply_id, self.fragments)]

    def precedes(self, other: "Generation") -> bool:
        """Return whether this generation is one of the retained ones before ``other``."""
        return any(past.apply_id == self.apply_id for past in other.history)

    def find(self, number: int) -> PastGeneration:
        """Return a retained generation; raises :class:`ObjectNotFoundError` if there is none."""
        retained = self.list_retained()
        for past in retained:
            if past.number == number:
                return past
        known = ", ".join(str(past.number) for past in retained) or "none"
        raise ObjectNotFoundError(
            f"generation {number} is not in the history", remedy=f"choose one of: {known}"
        )


EMPTY_GENERATION = Generation(number=0, apply_id="")


class ConfigurationStore:
    """Reads and writes generations in the platform's object store."""

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    def read_current(self) -> Generation | None:
        """Return the generation in force, or None before the first apply."""
        stored = self._read_stored()
        return None if stored is None else _read_generation(stored)

    def read_fragment(self, name: str) -> dict[str, Any]:
        """Return the document stored in the fragment ``name``."""
        return dict(self._client.get(Kind.FRAGMENTS, name).spec)

    def load(self, generation: Generation) -> Result[FleetConfiguration, SettingsError]:
        """Read the fragments of ``generation`` and merge them into one configuration."""
        documents = self.read_documents(generation.fragments)
        return merge_raw_documents(documents, generation=generation.number)

    def apply(
        self, base: Base | None, overlays: list[Overlay], *, apply_id: str
    ) -> Result[Generation, SettingsError]:
        """Replace the given documents and keep all others, as a new generation.

        An apply whose response was lost can be repeated with the same ``apply_id`` and takes
        effect only once. Raises :class:`ConflictError` if another operator changed the
        configuration concurrently.
        """
        documents = _unstructure_documents(base, overlays)
        return self._update_documents(lambda current: current | documents, apply_id)

    def plan(
        self, base: Base | None, overlays: list[Overlay]
    ) -> Result[ConfigurationChange, SettingsError]:
        """Return the change that an apply of the same documents would make (dry run)."""
        before = self.read_documents(self.read_current_or_empty().fragments)
        after = before | _unstructure_documents(base, overlays)
        match merge_raw_documents(after, generation=0):
            case Err(error):
                return Err(error)
        return Ok(ConfigurationChange(before, after))

    def roll_back(self, number: int, *, apply_id: str) -> Result[Generation, SettingsError]:
        """Restore the documents of a retained generation, as a new generation."""
        past = self.read_current_or_empty().find(number)
        return self._update_documents(lambda current: self.read_documents(past.fragments), apply_id)

    def withdraw(self, site: str, *, apply_id: str) -> Result[Generation, SettingsError]:
        """Remove a site's overlay and its declaration in the base; keep all other sites.

        Raises :class:`ObjectNotFoundError` if there is no such site.
        """
        return self._update_documents(lambda current: _remove_site(current, site), apply_id)

    def read_current_or_empty(self) -> Generation:
        """Return the generation in force, or generation 0 before the first apply."""
        return self.read_current() or EMPTY_GENERATION

    def read_documents(self, fragments: dict[str, str]) -> RawDocuments:
        """Return the documents in ``fragments``, keyed by ``base`` or the name of the site."""
        return {key: self.read_fragment(name) for key, name in fragments.items()}

    def restore(self, generation: Generation) -> bool:
        """Put a generation back in force that the store has lost by coming back from an older copy.

        Returns False if it cannot be put back: the store no longer has all of its fragments.
        Nothing is done if the store has it, or a later one.
        """
        stored = self._read_stored()
        current = EMPTY_GENERATION if stored is None else _read_generation(stored)
        if current.number and not current.precedes(generation):
            return True
        try:
            self.read_documents(generation.fragments)
        except ObjectNotFoundError:
            return False
        try:
            self._write_generation(generation, stored)
        except ConflictError:
            pass  # Another host has put it back, or an operator has applied a later one.
        return True

    def _update_documents(
        self, edit: Callable[[RawDocuments], RawDocuments], apply_id: str
    ) -> Result[Generation, SettingsError]:
        stored = self._read_stored()
        current = EMPTY_GENERATION if stored is None else _read_generation(stored)
        if current.apply_id == apply_id:
            return Ok(current)
        documents = edit(self.read_documents(current.fragments))
        match merge_raw_documents(documents, generation=current.number + 1):
            case Err(error):
                return Err(error)
        accepted = Generation(
            number=current.number + 1,
            apply_id=apply_id,
            fragments={
                key: self._store_fragment(document, current) for key, document in documents.items()
            },
            history=current.list_retained()[-HISTORY_LENGTH:],
        )
        self._write_generation(accepted, stored)
        return Ok(accepted)

    def _store_fragment(self, document: dict[str, Any], current: Generation) -> str:
        name = fragment_name(document)
        return name if name in current.fragments.values() else self._create_fragment(document)

    def _read_stored(self) -> PlatformObject | None:
        try:
            return self._client.get(Kind.GENERATIONS, CURRENT_GENERATION)
        except ObjectNotFoundError:
            return None

    def _create_fragment(self, document: dict[str, Any]) -> str:
        name = fragment_name(document)
        try:
            self._client.create(PlatformObject(kind=Kind.FRAGMENTS, name=name, spec=document))
        except ConflictError:
            pass  # The name is a hash of the content, so the stored fragment is identical.
        return name

    def _write_generation(self, accepted: Generation, stored: PlatformObject | None) -> None:
        spec = unstructure(accepted)
        if stored is None:
            self._client.create(
                PlatformObject(kind=Kind.GENERATIONS, name=CURRENT_GENERATION, spec=spec)
            )
            return
        changed = PlatformObject(
            kind=Kind.GENERATIONS, name=CURRENT_GENERATION, spec=spec, version=stored.version
        )
        self._client.update(changed)


def fragment_name(document: dict[str, Any]) -> str:
    """Return the name of the fragment for ``document``, a truncated hash of its content."""
    canonical = dumps(document, sort_keys=True, separators=(",", ":"))
    return sha256(canonical.encode()).hexdigest()[:FRAGMENT_NAME_LENGTH]


def merge_raw_documents(
    documents: RawDocuments, *, generation: int
) -> Result[FleetConfiguration, SettingsError]:
    """Structure and merge unstructured documents, keyed by ``base`` or the name of the site."""
    if BASE_KEY not in documents:
        return Err(
            SettingsError("there is no base document yet", remedy="apply the base file first")
        )
    overlays: list[Overlay] = []
    for key, raw in documents.items():
        if key == BASE_KEY:
            continue
        match structure_document(raw, Overlay, source=f"overlay {key}"):
            case Ok(overlay):
                overlays.append(overlay)
            case Err(error):
                return Err(error)
    match structure_document(documents[BASE_KEY], Base, source="base"):
        case Ok(base):
            return merge_documents(base, overlays, generation=generation)
        case Err(error):
            return Err(error)


def read_generation_spec(spec: dict[str, Any]) -> Generation:
    """Parse a generation from the ``spec`` of an object; raises :class:`SettingsError`."""
    match structure_document(spec, Generation, source="generation object"):
        case Ok(generation):
            return generation
        case Err(error):
            raise error


def _read_generation(stored: PlatformObject) -> Generation:
    return read_generation_spec(stored.spec)


def _remove_site(documents: RawDocuments, site: str) -> RawDocuments:
    base = documents.get(BASE_KEY, {})
    sites = base.get("sites", {})
    if site == BASE_KEY or (site not in documents and site not in sites):
        known = ", ".join(sorted(sites)) or "none"
        raise ObjectNotFoundError(f"site {site} does not exist", remedy=f"choose one of: {known}")
    remaining = {key: document for key, document in documents.items() if key != site}
    others = {name: entry for name, entry in sites.items() if name != site}
    return remaining | {BASE_KEY: base | {"sites": others}}


def _unstructure_documents(base: Base | None, overlays: list[Overlay]) -> RawDocuments:
    documents = {overlay.site: unstructure(overlay) for overlay in overlays}
    if base is not None:
        documents[BASE_KEY] = unstructure(base)
    return documents
